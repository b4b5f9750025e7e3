// Package mtingress accepts callers' HTTP requests, routes them by host and path, sends
// each of them to a backend server and returns the response.
//
// It is the only layer that retries calls. It retries a call only if the call was
// provably not run, or if it is idempotent and the shared retry budget allows it. A
// call that it abandons is answered at once: with 503 and a Retry-After header if it
// was not run, with 504 or 502 if it may have run.
//
// # Usage
//
//	ingress := mtingress.New(config)
//	mux.Any("/*", ingress.Handle)
//
// An Ingress is safe for concurrent use.
package mtingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtattempt"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtnested"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtshutdown"
)

type clock interface{ Now() mtclock.Instant }

// sender sends a call to backend servers one after the other, to at most attempts of them,
// until one answers.
type sender interface {
	Send(ctx context.Context, call *mtcall.Call, attempts int) (*mtcall.Answer, error)
	// BeginShutdown refuses tries from now on that could outlast the daemon.
	BeginShutdown(mtshutdown.Schedule)
}

const (
	// unconfiguredRetry is the Retry-After while the configuration is unknown or may be
	// outdated.
	unconfiguredRetry = 500 * time.Millisecond
	// maxBody is the largest request body in bytes, and the limit if the configuration
	// sets none.
	maxBody = 16 << 20
	// maxFailedTries is how many failed tries are remembered in order to recognize their
	// retries: enough for 200 failures per second and deadlines of up to 10 s.
	maxFailedTries = 2048
)

// Config holds the settings and dependencies of an Ingress.
type Config struct {
	HeaderNames mtheader.Names
	Service     mtid.Service // service of the backend server on this VM
	// Parent returns the call of which a request with this ID is a part: the ID is derived
	// from that of a request that the backend server on this VM runs.
	Parent func(id mtcall.ID) (mtcall.Parent, bool)
	// ConfigFresh reports whether the configuration in force was confirmed as the newest so
	// recently that requests without a route in it can be answered with 404.
	ConfigFresh func(now mtclock.Instant) bool
	Sender      sender
	Clock       clock
	Log         *slog.Logger
	// OnNested is called when a nested call has ended. It may be nil.
	OnNested func(call *mtcall.Call, result mtnested.Result)
	// OnCompletion is called with the outcome of each request.
	OnCompletion func(call *mtcall.Call, answer *mtcall.Answer, status int, err error, took time.Duration)
}

// Ingress handles the HTTP requests of callers.
type Ingress struct {
	Config
	config   atomic.Pointer[mtroute.Config]
	mu       sync.Mutex // protects splitter and attempts
	splitter *mtroute.Splitter
	attempts *mtattempt.Attempts
	// shutdown is the schedule of the shutdown, or nil before it begins.
	shutdown atomic.Pointer[mtshutdown.Schedule]
	// lifetime is canceled when the last answers of a shutdown are due. Calls that are still
	// in flight get their final responses then.
	lifetime    context.Context
	endLifetime context.CancelFunc
}

// New returns an Ingress without a configuration. It answers all requests with 503 until
// Configure is called.
func New(config Config) *Ingress {
	in := &Ingress{Config: config, splitter: mtroute.NewSplitter(), attempts: mtattempt.New(maxFailedTries)}
	in.lifetime, in.endLifetime = context.WithCancel(context.Background())
	return in
}

// Configure puts a configuration in force and reports whether it did so: a version that
// is not newer than the current one is ignored, so versions never go back within one
// incarnation of the daemon.
func (in *Ingress) Configure(c *mtroute.Config) bool {
	for {
		old := in.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if in.config.CompareAndSwap(old, c) {
			in.Log.Info("configuration in force", "version", uint64(c.Version), "routes", len(c.Routes()), "services", len(c.Services))
			return true
		}
	}
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (in *Ingress) Configuration() *mtroute.Config { return in.config.Load() }

// BeginShutdown begins a shutdown: each response from now on closes its connection, and calls
// that could outlast the daemon are refused. Calls that are still in flight when the last
// answers are due get their final responses then, because a caller whose connection closes
// without a response can't know whether its call was run.
func (in *Ingress) BeginShutdown(s mtshutdown.Schedule) {
	in.shutdown.Store(&s)
	in.Sender.BeginShutdown(s)
	time.AfterFunc(s.CutOff().Sub(in.Clock.Now()), in.endLifetime)
}

// callContext returns the context of a call, which is canceled when its answer is no longer
// awaited after the time left, and at the end of a shutdown.
func (in *Ingress) callContext(ctx context.Context, left time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, left+mtcall.CallerAnswerMargin)
	stop := context.AfterFunc(in.lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Handle is the Echo handler for all requests of callers.
func (in *Ingress) Handle(c echo.Context) error {
	arrived := in.Clock.Now()
	r, w := c.Request(), c.Response()
	if in.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call, route, err := in.parseRequest(arrived, r)
	if err != nil {
		in.writeError(w, call, err)
		in.OnCompletion(call, nil, w.Status, err, in.Clock.Now().Sub(arrived))
		return nil
	}
	ctx, cancel := in.callContext(r.Context(), call.Deadline.Sub(arrived))
	defer cancel()
	answer, err := in.Sender.Send(ctx, call, route.MaxAttempts)
	if err == nil {
		err = in.writeAnswer(w, call, answer)
	} else {
		call.EndedBy = in.endedBy(ctx, r.Context(), call, route)
		in.writeError(w, call, err)
	}
	in.observeNested(call, answer, err)
	in.recordFailure(call, w.Status)
	in.OnCompletion(call, answer, w.Status, err, in.Clock.Now().Sub(arrived))
	return nil
}

// endedBy returns the limit that ended a call with the context ctx, whose caller is there as
// long as the context caller is not canceled, or an empty limit if none did.
func (in *Ingress) endedBy(ctx, caller context.Context, call *mtcall.Call, route *mtroute.Route) mtcall.Limit {
	switch {
	case caller.Err() != nil:
		return mtcall.LimitCallerLeft
	case in.lifetime.Err() != nil:
		return mtcall.LimitGracePeriod
	case ctx.Err() == nil && in.Clock.Now().Before(call.Deadline):
		return ""
	case call.Deadline == call.CallerDeadline:
		return mtcall.LimitCallerDeadline
	case call.Deadline == call.Arrived.Add(route.Timeout):
		return mtcall.LimitRouteTimeout
	}
	return mtcall.LimitGracePeriod
}

// parseRequest converts a request to a call. If it fails, the call holds what is known.
func (in *Ingress) parseRequest(now mtclock.Instant, r *http.Request) (*mtcall.Call, *mtroute.Route, error) {
	call := &mtcall.Call{
		ID: mtcall.ID(r.Header.Get(in.HeaderNames.ID)), Method: r.Method, Target: r.RequestURI, Host: r.Host, Caller: in.Service, Arrived: now,
	}
	config := in.config.Load()
	if config == nil {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: unconfiguredRetry, Detail: "no configuration is known yet"}
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
	call.Parent, call.Nested = in.Parent(call.ID)
	if call.Nested {
		call.Priority = call.Parent.Priority
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

// recordFailure remembers a failed call, so that a retry of its caller is recognized.
func (in *Ingress) recordFailure(call *mtcall.Call, status int) {
	if call.FirstArrived == 0 || status < http.StatusInternalServerError {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attempts.RecordFailure(in.Clock.Now(), call.Fingerprint(), call.FirstArrived, call.CallerDeadline)
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

// writeAnswer sends the caller the response of the backend server unchanged.
func (in *Ingress) writeAnswer(w http.ResponseWriter, call *mtcall.Call, answer *mtcall.Answer) error {
	h := w.Header()
	h["Content-Type"] = nil // prevents net/http from guessing one
	for _, f := range answer.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if bodyAllowed(answer.Status) {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	if call.Method == http.MethodHead || !bodyAllowed(answer.Status) {
		return nil
	}
	_, err := io.Copy(w, bytes.NewReader(answer.Body))
	return err
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

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

// writeError answers a call that the backend server has not answered.
func (in *Ingress) writeError(w http.ResponseWriter, call *mtcall.Call, err error) {
	h := w.Header()
	if call.ID != "" {
		h.Set(in.HeaderNames.ID, string(call.ID))
	}
	status, retry := Status(err)
	if retry >= 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Status returns the HTTP status for a failed call, and the time after which to retry, or
// a negative duration if the response has no Retry-After. The status 503 guarantees that
// the call was not run and never will be; 502 and 504 guarantee nothing.
func Status(err error) (status int, retry time.Duration) {
	var refused *mtreply.RefusedError
	var unknown *mtreply.UnknownError
	var route *routeError
	var request *requestError
	switch {
	case errors.As(err, &route):
		return http.StatusNotFound, -1
	case errors.As(err, &request):
		return request.status, -1
	case errors.As(err, &refused):
		return http.StatusServiceUnavailable, refused.RetryAfter
	case errors.As(err, &unknown) && (unknown.Cause == mtreply.CauseTimeout || unknown.Cause == mtreply.CauseGone):
		return http.StatusGatewayTimeout, -1
	}
	return http.StatusBadGateway, -1
}
