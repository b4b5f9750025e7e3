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
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtattempt"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmemory"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtshutdown"
	iomemory "magnoliaturn/io/mtmemory"
)

type clock interface{ Now() mtclock.Instant }

// sender sends a call to backend servers one after the other, to at most attempts of them,
// until one answers.
type sender interface {
	Send(ctx context.Context, call *mtcall.Call, attempts int) (*mtcall.Answer, error)
	// BeginShutdown refuses tries from now on that could outlast the daemon, and withdraws those
	// that wait.
	BeginShutdown(mtshutdown.Schedule)
}

// maxFailedTries is how many failed tries are remembered in order to recognize their
// retries: enough for 200 failures per second and deadlines of up to 10 s.
const maxFailedTries = 2048

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
	// Outdated reports whether requests must not be served by a version of the configuration, since there is a
	// later one. Nil stands for never.
	Outdated func(now mtclock.Instant, version mtid.Version) bool
	Sender   sender
	// Memory is the budget from which requests take their memory; nil stands for one of their own.
	Memory *iomemory.Budget
	Clock  clock
	Log    *slog.Logger
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
	if config.Memory == nil {
		config.Memory = iomemory.New(0)
	}
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
	hold := in.Memory.Hold(mtmemory.Request)
	defer hold.Release()
	bodyEnded := in.endBodyInTime(w, r)
	call, route, err := in.parseRequest(arrived, r, hold)
	bodyEnded()
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

// recordFailure remembers a failed call, so that a retry of its caller is recognized.
func (in *Ingress) recordFailure(call *mtcall.Call, status int) {
	if call.FirstArrived == 0 || status < http.StatusInternalServerError {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.attempts.RecordFailure(in.Clock.Now(), call.Fingerprint(), call.FirstArrived, call.CallerDeadline)
}
