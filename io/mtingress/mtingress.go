// Package mtingress takes callers' HTTP requests by host and path, and sees each
// of them to a backend server and back.
//
// It is the only layer that sends a call again, and it does so only if the call
// was proved not run, or is idempotent and the shared budget pays for it. What
// it gives up gets its final answer at once: 503 if it was not run, with the
// time after which to ask again, 504 or 502 if it may have run.
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
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
)

type clock interface{ Now() mtclock.Instant }

// sender takes a call to a backend server.
type sender interface {
	Send(ctx context.Context, call *mtcall.Call, attempts int) (*mtcall.Answer, error)
}

const (
	// unconfigured is when to ask again while no configuration is known.
	unconfigured = 500 * time.Millisecond
	// maxBody bounds a body where the configuration names no limit, in bytes.
	maxBody = 16 << 20
	// remembered is how many tries that failed are remembered: those of the
	// longest deadlines, ten seconds, at two hundred a second.
	remembered = 2048
)

// Config is what an Ingress works with.
type Config struct {
	Names   mtheader.Names
	Service mtid.Service // on this VM
	// Parent reports whether the backend server on this VM makes a request as a
	// part of one that it runs.
	Parent func(id mtcall.ID) bool
	// Denies reports whether the configuration in force is so certainly the newest
	// that a route which it does not have can be denied.
	Denies func(now mtclock.Instant) bool
	Send   sender
	Clock  clock
	Log    *slog.Logger
	// Done is told what became of each request.
	Done func(call *mtcall.Call, answer *mtcall.Answer, status int, err error, took time.Duration)
}

// Ingress serves callers.
type Ingress struct {
	Config
	config   atomic.Pointer[mtroute.Config]
	mu       sync.Mutex // guards what follows
	splitter *mtroute.Splitter
	attempts *mtattempt.Attempts
	closing  atomic.Bool
	// ending ends when the calls that are still under way in a shutdown get
	// their final answers, at the instant end.
	ending context.Context
	finish context.CancelFunc
	end    atomic.Int64
}

// New returns an Ingress that knows no configuration yet.
func New(config Config) *Ingress {
	in := &Ingress{Config: config, splitter: mtroute.NewSplitter(), attempts: mtattempt.New(remembered)}
	in.ending, in.finish = context.WithCancel(context.Background())
	return in
}

// Configure puts a configuration in force, unless a newer one is. Versions never
// go back within one life.
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

// Configuration returns what is in force, or nil.
func (in *Ingress) Configuration() *mtroute.Config { return in.config.Load() }

// Retire makes each answer from now on the last one on its connection. What is
// still under way at the instant end gets its final answer then: a connection
// that closes without one leaves its caller in the dark.
func (in *Ingress) Retire(end mtclock.Instant) {
	in.end.Store(int64(end))
	in.closing.Store(true)
	time.AfterFunc(end.Sub(in.Clock.Now()), in.finish)
}

// within returns the context of a call.
func (in *Ingress) within(ctx context.Context, left time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, left)
	stop := context.AfterFunc(in.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Handle is the handler of all callers' requests.
func (in *Ingress) Handle(c echo.Context) error {
	arrived := in.Clock.Now()
	r, w := c.Request(), c.Response()
	if in.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, route, err := in.read(arrived, r)
	if err != nil {
		in.fail(w, call, err)
		in.Done(call, nil, w.Status, err, in.Clock.Now().Sub(arrived))
		return nil
	}
	ctx, cancel := in.within(r.Context(), call.Deadline.Sub(arrived))
	defer cancel()
	answer, err := in.Send.Send(ctx, call, route.MaxAttempts)
	if err == nil {
		err = in.write(w, call, answer)
	} else {
		in.fail(w, call, err)
	}
	in.remember(call, w.Status)
	in.Done(call, answer, w.Status, err, in.Clock.Now().Sub(arrived))
	return nil
}

// read turns a request into a call.
func (in *Ingress) read(now mtclock.Instant, r *http.Request) (*mtcall.Call, *mtroute.Route, error) {
	call := &mtcall.Call{
		ID: mtcall.ID(r.Header.Get(in.Names.ID)), Method: r.Method, Target: r.RequestURI, Host: r.Host, Caller: in.Service, Arrived: now,
	}
	config := in.config.Load()
	if config == nil {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: unconfigured, Detail: "no configuration is known yet"}
	}
	route, ok := config.Match(r.Host, r.RequestURI)
	if !ok && !in.Denies(now) {
		return call, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoService, RetryAfter: unconfigured, Detail: "the route may be newer than the configuration"}
	}
	if !ok {
		return call, nil, &routeError{version: config.Version}
	}
	if call.ID == "" || len(call.ID) > mtcall.MaxID {
		return call, nil, &requestError{status: http.StatusBadRequest, reason: "identifier is missing or too long"}
	}
	call.Route, call.Idempotent, call.Priority = route.Name, route.Idempotent, route.Priority
	call.Nested = in.Parent(call.ID)
	call.Objective, call.TypicalService = now.Add(route.Objective), route.ExpectedDuration()
	left := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(in.Names.Deadline), 10, 64); err == nil {
		given := time.Duration(ms) * time.Millisecond
		left = min(left, given)
		call.CallerDeadline = now.Add(given)
	}
	call.Deadline = now.Add(left)
	if in.closing.Load() {
		call.Deadline = min(call.Deadline, mtclock.Instant(in.end.Load()))
	}
	in.mu.Lock()
	call.Service = in.splitter.Pick(route)
	in.mu.Unlock()
	if err := in.readKey(call, config, r); err != nil {
		return call, nil, err
	}
	call.Header = in.fields(r.Header)
	if err := in.readBody(call, config, r); err != nil {
		return call, nil, err
	}
	in.recall(now, call)
	return call, route, nil
}

// recall counts the objective of a call from its caller's first try. A nested call
// has no second one.
func (in *Ingress) recall(now mtclock.Instant, call *mtcall.Call) {
	if call.Nested {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	call.FirstArrived = in.attempts.FirstArrival(now, call.Fingerprint(), call.CallerDeadline)
	call.Objective = call.Objective.Add(call.FirstArrived.Sub(now))
}

// remember notes a call that failed, after which its caller may ask again.
func (in *Ingress) remember(call *mtcall.Call, status int) {
	if call.FirstArrived == 0 || status < http.StatusInternalServerError {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attempts.RecordFailure(in.Clock.Now(), call.Fingerprint(), call.FirstArrived, call.CallerDeadline)
}

// readKey reads the key of a call to a service that is divided by key.
func (in *Ingress) readKey(call *mtcall.Call, config *mtroute.Config, r *http.Request) error {
	if !config.Services[call.Service].Keyed {
		return nil
	}
	n, err := strconv.ParseUint(r.Header.Get(in.Names.Key), 10, 16)
	if err != nil {
		return &requestError{status: http.StatusBadRequest, reason: "key is missing or not a number up to 65535"}
	}
	call.Keyed, call.Key = true, mtid.KeyNumber(n)
	return nil
}

// readBody reads the whole body: a call that may be sent again needs all of it.
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

// fields returns the header to pass on: not what concerns the caller's
// connection, and not what the system sets itself.
func (in *Ingress) fields(h http.Header) []mtcall.Field {
	dropped := connectionFields(h)
	out := make([]mtcall.Field, 0, len(h))
	for name, values := range h {
		if mtheader.HopByHop(name) || in.own(name) || dropped[name] {
			continue
		}
		for _, v := range values {
			out = append(out, mtcall.Field{Name: name, Value: v})
		}
	}
	return out
}

// own reports whether the system sets a field itself.
func (in *Ingress) own(name string) bool {
	n := in.Names
	return name == n.ID || name == n.Deadline || name == n.Key || name == n.Caller || name == n.TargetServer
}

// connectionFields returns the fields that the Connection field names.
func connectionFields(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// write gives the caller the answer as the backend server made it.
func (in *Ingress) write(w http.ResponseWriter, call *mtcall.Call, answer *mtcall.Answer) error {
	h := w.Header()
	h["Content-Type"] = nil // none is made up
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

// bodyAllowed reports whether answers with that status have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// routeError says that the configuration in force has no such route.
type routeError struct{ version mtid.Version }

// Error implements error.
func (e *routeError) Error() string {
	return "no route in version " + strconv.FormatUint(uint64(e.version), 10)
}

// requestError says what is wrong with a request.
type requestError struct {
	status int
	reason string
}

// Error implements error.
func (e *requestError) Error() string { return e.reason }

// fail gives the caller the final answer to a call that has none.
func (in *Ingress) fail(w http.ResponseWriter, call *mtcall.Call, err error) {
	h := w.Header()
	if call.ID != "" {
		h.Set(in.Names.ID, string(call.ID))
	}
	status, retry := Status(err)
	if retry >= 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Status returns the status for a failed call, and when to ask again, or a
// negative time. 503 promises that the call was not run and never will be; 502
// and 504 promise nothing.
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
