package mtingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
)

const (
	// unconfiguredRetry is the Retry-After while the configuration is unknown or may be
	// outdated.
	unconfiguredRetry = 500 * time.Millisecond
	// maxBody is the largest request body in bytes, and the limit if the configuration
	// sets none.
	maxBody = 16 << 20
)

// routeError reports that no route in the configuration in force matches the request.
type routeError struct{ version mtid.Version }

// Error implements error.
func (e *routeError) Error() string {
	return "no route in version " + strconv.FormatUint(uint64(e.version), 10)
}

// requestError reports an invalid request, and the HTTP status to answer it with.
type requestError struct {
	status int
	reason string
}

// Error implements error.
func (e *requestError) Error() string { return e.reason }

// parseRequest converts a request to a call. If it fails, the call holds what is known.
func (in *Ingress) parseRequest(now mtclock.Instant, r *http.Request) (*mtcall.Call, *mtroute.Route, error) {
	call := &mtcall.Call{
		ID: mtcall.ID(r.Header.Get(in.HeaderNames.ID)), Method: r.Method, Target: r.RequestURI, Host: r.Host, Caller: in.Service, Arrived: now,
	}
	config := in.config.Load()
	if config == nil {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: unconfiguredRetry, Detail: "no configuration is known yet"}
	}
	if in.Outdated != nil && in.Outdated(now, config.Version) {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseOutdated, RetryAfter: unconfiguredRetry, Detail: "other daemons have a later configuration"}
	}
	route, ok := config.Match(r.Host, r.RequestURI)
	if !ok && !in.ConfigFresh(now) {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: unconfiguredRetry, Detail: "the route may be newer than the configuration"}
	}
	if !ok {
		return call, nil, &routeError{version: config.Version}
	}
	if call.ID == "" || len(call.ID) > mtcall.MaxID {
		return call, nil, &requestError{status: http.StatusBadRequest, reason: "identifier is missing or too long"}
	}
	call.Route, call.Idempotent, call.Priority = route.Name, route.Idempotent, route.Priority
	if parent, ok := in.Parent(call.ID); ok {
		call.Nested, call.Parent, call.Priority = true, parent, parent.Priority
	}
	call.Objective, call.TypicalService = route.ObjectiveAt(now), route.ExpectedDuration()
	left := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(in.HeaderNames.Deadline), 10, 64); err == nil {
		given := time.Duration(ms) * time.Millisecond
		left = min(left, given)
		call.CallerDeadline = now.Add(given)
	}
	call.Deadline = now.Add(left)
	in.mu.Lock()
	call.Service = in.splitter.Pick(route)
	in.mu.Unlock()
	if err := in.readKey(call, config, r); err != nil {
		return call, nil, err
	}
	call.Header = in.forwardedFields(r.Header)
	if err := in.readBody(call, config, r); err != nil {
		return call, nil, err
	}
	// The shutdown may have begun while the body arrived.
	if err := in.checkShutdown(in.Clock.Now(), call); err != nil {
		return call, nil, err
	}
	in.adjustObjective(now, call)
	return call, route, nil
}

// checkShutdown refuses a call that could outlast the daemon. A nested call gets the time that
// is left instead: the call that waits for it was accepted, and would fail.
func (in *Ingress) checkShutdown(now mtclock.Instant, call *mtcall.Call) error {
	s := in.shutdown.Load()
	if s == nil {
		return nil
	}
	if call.Nested {
		call.Deadline = min(call.Deadline, s.LastAnswers)
		return nil
	}
	return s.CheckNew(now, call.Deadline)
}

// adjustObjective counts the objective of a retried call from its caller's first try.
// Nested calls are not retried by their callers.
func (in *Ingress) adjustObjective(now mtclock.Instant, call *mtcall.Call) {
	if call.Nested {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	call.FirstArrived = in.attempts.FirstArrival(now, call.Fingerprint(), call.CallerDeadline)
	if call.Objective != 0 {
		call.Objective = call.Objective.Add(call.FirstArrived.Sub(now))
	}
}

// readKey reads the key of a call from the header if the service is divided by key.
func (in *Ingress) readKey(call *mtcall.Call, config *mtroute.Config, r *http.Request) error {
	if !config.Services[call.Service].Keyed {
		return nil
	}
	n, err := strconv.ParseUint(r.Header.Get(in.HeaderNames.Key), 10, 16)
	if err != nil {
		return &requestError{status: http.StatusBadRequest, reason: "key is missing or not a number up to 65535"}
	}
	call.Keyed, call.Key = true, mtid.KeyNumber(n)
	return nil
}

// readBody reads the whole body into memory, because a retry sends it again.
func (in *Ingress) readBody(call *mtcall.Call, config *mtroute.Config, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := config.Limits.BodyBytes
	if limit <= 0 || limit > maxBody {
		limit = maxBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return &requestError{status: http.StatusBadRequest, reason: err.Error()}
	}
	if len(body) > limit {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	call.Body = body
	return nil
}

// forwardedFields returns the header fields to forward: all but hop-by-hop fields and those
// that this system sets itself.
func (in *Ingress) forwardedFields(h http.Header) []mtcall.Field {
	hopByHop := connectionFields(h)
	out := make([]mtcall.Field, 0, len(h))
	for name, values := range h {
		if mtheader.HopByHop(name) || in.reserved(name) || hopByHop[name] {
			continue
		}
		for _, v := range values {
			out = append(out, mtcall.Field{Name: name, Value: v})
		}
	}
	return out
}

// reserved reports whether this system sets a header field itself, so that the value of a
// caller must not be forwarded.
func (in *Ingress) reserved(name string) bool {
	n := in.HeaderNames
	return name == n.ID || name == n.Deadline || name == n.Key || name == n.Caller || name == n.TargetServer
}

// connectionFields returns the names that the Connection header lists, which are
// hop-by-hop fields too.
func connectionFields(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
