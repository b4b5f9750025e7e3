package mtingress

import (
	"context"
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
	iomemory "magnoliaturn/io/mtmemory"
)

const (
	// maxDeadline is the longest time that a caller is taken to wait.
	maxDeadline = 24 * time.Hour
	// unconfiguredRetry is the Retry-After while the configuration is unknown or may be
	// outdated.
	unconfiguredRetry = 500 * time.Millisecond
	// defaultBody is the limit of a request body in bytes if the configuration sets none.
	defaultBody = 16 << 20
	// firstChunkedSegment is the size of the first segment of a body whose length is not known, in bytes.
	firstChunkedSegment = 4 << 10
	// memoryRetry is the Retry-After of a request for which there is no memory.
	memoryRetry = 500 * time.Millisecond
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

// parseRequest converts a request to a call, which takes its memory from hold. If it fails, the call
// holds what is known.
func (in *Ingress) parseRequest(now mtclock.Instant, r *http.Request, hold *iomemory.Hold) (*mtcall.Call, *mtroute.Route, error) {
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
		given := time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
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
	if err := in.takeMemory(hold, headerSize(call)); err != nil {
		return call, nil, err
	}
	if err := in.readBody(call, config, r, hold); err != nil {
		return call, nil, in.bodyError(call, err)
	}
	// The shutdown may have begun while the body arrived.
	if err := in.checkShutdown(in.Clock.Now(), call); err != nil {
		return call, nil, err
	}
	in.adjustObjective(now, call)
	return call, route, nil
}

// endBodyInTime makes the read of a body fail when the last answers of a shutdown are due, until the
// returned function is called.
func (in *Ingress) endBodyInTime(w http.ResponseWriter, r *http.Request) func() bool {
	if r.ContentLength == 0 {
		return func() bool { return true }
	}
	return context.AfterFunc(in.lifetime, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })
}

// bodyError returns the error of a call whose body couldn't be read. At the end of a shutdown that is a
// refusal: the call has not run.
func (in *Ingress) bodyError(call *mtcall.Call, err error) error {
	if in.lifetime.Err() == nil {
		return err
	}
	return in.shutdown.Load().CheckNew(in.Clock.Now(), call.Deadline)
}

// checkShutdown refuses a call that could outlast the daemon. A nested call that arrives early gets
// the time that is left instead: the call that waits for it was accepted, and would fail.
func (in *Ingress) checkShutdown(now mtclock.Instant, call *mtcall.Call) error {
	s := in.shutdown.Load()
	if s == nil {
		return nil
	}
	if !call.Nested {
		return s.CheckNew(now, call.Deadline)
	}
	deadline, err := s.LimitNested(now, call.Deadline)
	call.Deadline = deadline
	return err
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

// takeMemory takes memory for a request, or refuses it.
func (in *Ingress) takeMemory(hold *iomemory.Hold, n int) error {
	if err := hold.Take(n); err != nil {
		return &mtreply.RefusedError{Cause: mtreply.CauseMemoryFull, RetryAfter: memoryRetry, Detail: err.Error()}
	}
	return nil
}

// headerSize returns the size of what is forwarded of a request besides its body, in bytes.
func headerSize(call *mtcall.Call) int {
	n := len(call.Target) + len(call.Host)
	for _, f := range call.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// readBody reads the whole body into memory, because a retry sends it again. A body whose length is
// declared gets its memory, or is refused, before it is read.
func (in *Ingress) readBody(call *mtcall.Call, config *mtroute.Config, r *http.Request, hold *iomemory.Hold) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := int64(config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return &requestError{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if r.ContentLength > 0 {
		return in.readDeclared(call, r, hold)
	}
	return in.readChunked(call, r, limit, hold)
}

// readDeclared reads a body whose length is declared.
func (in *Ingress) readDeclared(call *mtcall.Call, r *http.Request, hold *iomemory.Hold) error {
	if err := in.takeMemory(hold, int(r.ContentLength)); err != nil {
		return err
	}
	for left := r.ContentLength; left > 0; {
		segment := make([]byte, min(left, mtcall.SegmentSize))
		if _, err := io.ReadFull(r.Body, segment); err != nil {
			return &requestError{status: http.StatusBadRequest, reason: err.Error()}
		}
		call.Body = append(call.Body, segment)
		left -= int64(len(segment))
	}
	// The connection is watched for the caller's leaving once the end of the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return &requestError{status: http.StatusBadRequest, reason: err.Error()}
	}
	return nil
}

// readChunked reads a body of at most limit bytes whose length is not known.
func (in *Ingress) readChunked(call *mtcall.Call, r *http.Request, limit int64, hold *iomemory.Hold) error {
	size := firstChunkedSegment
	for total := int64(0); ; {
		if err := in.takeMemory(hold, size); err != nil {
			return err
		}
		segment := make([]byte, size)
		n, err := readSegment(r.Body, segment)
		if total += int64(n); total > limit {
			return &requestError{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
		}
		if n > 0 {
			call.Body = append(call.Body, segment[:n])
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return &requestError{status: http.StatusBadRequest, reason: err.Error()}
		}
		size = mtcall.SegmentSize
	}
}

// readSegment reads until the segment is full or reading fails. Unlike io.ReadFull it returns that error as it
// is: at the end of a body another one than where its connection breaks off.
func readSegment(r io.Reader, segment []byte) (int, error) {
	total := 0
	for total < len(segment) {
		n, err := r.Read(segment[total:])
		total += n
		if err != nil {
			return total, err
		}
	}
	return total, nil
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
