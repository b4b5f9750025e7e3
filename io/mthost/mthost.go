// Package mthost stands for the backend server on this VM: it hears its beats,
// knows which life of it runs, admits calls to it and runs them there.
//
// Nobody but this daemon reaches the server, so all that must hold of it is
// decided here: a server that is leaving gets no new work, a key is served only
// while it is owned, and no more calls are in flight than the server has slots.
//
// # Usage
//
//	host, cleanUp := mthost.New(config)
//	host.Beat(beat)                   // from the server
//	answer, err := host.Run(ctx, call) // from callers
//
// Run fails with a *mtreply.RefusedError if the call was not run, else with a
// *mtreply.UnknownError. A Host is safe for concurrent use.
package mthost

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtzone"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mtduty"
	iogate "magnoliaturn/io/mtgate"
)

// clock has an elapsed time that is never too short, and a steady one that never runs
// ahead.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// runner sends one call to the server.
type runner interface {
	Do(ctx context.Context, target iobackend.Target, call *mtcall.Call) (*mtcall.Answer, error)
	// Identify asks which life of the server answers at an address, and how it is.
	Identify(ctx context.Context, address, path string) (iobackend.Health, error)
}

const (
	// deadChecks refused connections, deadPause apart, show that the server's
	// process is gone. A single one may be a full queue of new connections.
	deadChecks = 3
	deadPause  = 100 * time.Millisecond
	// waiting is how many calls may wait at the gate, and in one queue of it. A
	// queue that holds more work than fits into any deadline helps nobody; the
	// gate refuses by estimate long before.
	waiting = 1024
	// silence is how long nothing is heard of a server before its process is
	// looked after. A server beats about once a second, and a beat may come
	// seconds late.
	silence = 2500 * time.Millisecond
	// drainPart is the part of the time that a leaving server still takes new
	// calls, in which this daemon sends it some: its keys move to other servers
	// meanwhile.
	drainPart = 0.6
	// lookEvery is how often the host looks at its server. A server comes into service, and
	// one that leaves takes its last new work, so much later at most.
	lookEvery = 50 * time.Millisecond
	// elsewhereRetry is when to ask again for a key whose server has left, before its
	// keys have moved: a move takes 0.1 to 0.3 s while the store answers, and a record
	// is back 0.6 s after an outage.
	elsewhereRetry = 500 * time.Millisecond
)

// Config is what a Host works with.
type Config struct {
	Daemon  mtid.Daemon
	Zone    mtid.Zone
	Link    mtbackend.Bandwidth
	Service mtid.Service // of the server on this VM
	Address string       // of the server, as the settings name it
	Peer    string       // of this daemon, for other daemons
	// Drain is how long new work may reach a server after its leaving was
	// acknowledged.
	Drain  time.Duration
	Clock  clock
	Client runner
	Log    *slog.Logger
	// Health returns the path of the server's health check, or an empty one if it
	// is not known yet.
	Health func() string
	// Publish is told the record whenever it changes.
	Publish func(mtbackend.Record)
	// Named reports whether the configuration in force declares a service.
	Named func(service mtid.Service) bool
	// Keyed reports whether the service is divided by key.
	Keyed func() bool
	// Holds reports whether the server has been granted the key; it fails with
	// a *mtreply.RefusedError. It is called for keyed calls.
	Holds func(life mtid.ServerIncarnation, key mtid.KeyNumber) error
	// Fenced is told that the server denied holding a key that it was granted.
	Fenced func(key mtid.KeyNumber)
	// Clear takes from a new life of the server what orders meant for a former
	// one may have given it. It may take a moment.
	Clear func(ctx context.Context, life mtid.ServerIncarnation, address string) error
	// Lasts returns until when an order may be in force at the server. It may be
	// nil, if orders end by themselves at no known time.
	Lasts func() mtclock.Instant
	// Changed is called when the server has another life or state. It must not
	// block.
	Changed func()
}

// Host is the backend server on this VM.
type Host struct {
	Config

	mu       sync.Mutex
	record   mtbackend.Record
	sequence uint64
	address  string
	over     map[mtid.ServerIncarnation]bool // lives that have ended
	// leaving is since when lives are known to leave.
	leaving  map[mtid.ServerIncarnation]mtclock.Instant
	door     *iogate.Door[*mtgate.Urgent]
	routes   []mtroute.Route
	drains   mtclock.Instant // Draining: no new work from then on; zero if not draining
	checking bool
	clearing bool
	stranger mtbackend.Heartbeat // the last beat of a life that is not known here
	strange  mtclock.Instant     // when it came
	askAgain mtclock.Instant     // not asked before which life runs
	// uncleared is the last beat of a life that still has to be cleared.
	uncleared  mtbackend.Heartbeat
	clearAgain mtclock.Instant
	// identifying says that the server is being asked which life runs.
	identifying bool
	beaten      mtclock.Instant         // last beat
	checked     mtclock.Instant         // last look after a silent server
	tether      *tether                 // nil if there is none
	tying       bool                    // one is being opened
	tieAgain    mtclock.Instant         // none is opened before
	recognised  mtid.ServerIncarnation  // that was known to be at the end of a tether
	denied      map[mtid.KeyNumber]bool // keys that the server said not to hold, since its last beat
	zone        mtzone.Door
	shut        bool // the gate is closed for the zone
	warmth      mtbackend.WarmupTracker
	most        mtgate.StartRate // while the server is cold; zero is no limit
	cold        bool             // the gate is limited to it
	awake       mtclock.Instant  // this process ran then

	runMu   sync.Mutex
	running map[mtcall.ID]int // calls at the server, by identifier

	crashMu   sync.Mutex
	recurring *mtpoison.RecurrenceDetector

	meterMu  sync.Mutex
	meter    *mtrange.Meter
	slowness mtbackend.Slowness
	pace     float64 // mean time of calls, as a multiple of what is usual for them
	times    map[mtid.Class]time.Duration
	usual    map[mtid.Class]time.Duration // by the configuration
}

// New returns a Host whose server has not been heard of, and its clean-up
// function.
func New(config Config) (*Host, func()) {
	h := &Host{
		Config:  config,
		address: config.Address,
		over:    make(map[mtid.ServerIncarnation]bool),
		leaving: make(map[mtid.ServerIncarnation]mtclock.Instant),
		denied:  make(map[mtid.KeyNumber]bool),
		running: make(map[mtcall.ID]int),
		pace:    1,
		times:   make(map[mtid.Class]time.Duration),
		usual:   make(map[mtid.Class]time.Duration),
		meter:   mtrange.NewMeter(config.Clock.Now()),

		recurring: mtpoison.NewRecurrenceDetector(),
	}
	h.record = mtbackend.Record{
		Daemon: config.Daemon, Address: config.Peer, Zone: config.Zone, Link: config.Link, Service: config.Service, State: mtbackend.Unknown,
	}
	h.beaten = config.Clock.Now()
	h.door = h.newDoor()
	// The process before this one may have sent requests until just now.
	h.door.Unseen()
	h.warmth.MarkPossiblyCold(h.beaten)
	h.awake = h.beaten
	config.Publish(h.record)
	stop := mtduty.Every(lookEvery, func(context.Context) { h.tick(h.Clock.Now()) })
	return h, func() {
		stop()
		h.untie()
	}
}

// quiet is told that nothing is in flight in a stopped range. Nobody waits for it
// here: the server itself answers a release only then.
func quiet(mtid.Point, mtid.Point) {}

func (h *Host) newDoor() *iogate.Door[*mtgate.Urgent] {
	limits := mtgate.Limits{Waiting: waiting, MaxWaitFraction: 1}
	door := iogate.New(h.Clock, mtgate.NewUrgent(), limits, quiet)
	for _, r := range h.routes {
		declare(door, r)
	}
	return door
}

// declare makes a route known to a gate, as a class of calls.
func declare(door *iogate.Door[*mtgate.Urgent], r mtroute.Route) {
	// Routes rank the most urgent lowest, classes highest.
	class := mtbundle.Class{Name: r.Name, Idempotent: r.Idempotent, Timeout: r.Timeout, Priority: -r.Priority, Queue: waiting}
	door.Declare("", class)
	door.Expect("", r.Name, r.Usual())
}

// Declare sets the classes of calls that the gate tells apart: the routes of the
// configuration in force.
func (h *Host) Declare(routes []mtroute.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routes = routes
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	for _, r := range routes {
		h.usual[r.Name] = r.Usual()
		declare(h.door, r)
	}
}

// tick ends the time in which a leaving server takes new work, and goes on with what
// waits for the server.
func (h *Host) tick(now mtclock.Instant) {
	h.mu.Lock()
	door := h.door
	drain := h.drains != 0 && !now.Before(h.drains)
	if drain {
		h.drains = 0
	}
	h.ran(now)
	h.fit(now)
	h.mu.Unlock()
	if drain {
		door.Drain()
	}
	h.slowGate(now)
	h.listen(now)
	h.settle(now)
}

// Retire tells the others that this daemon shuts down while its server lives on.
// They may not hear of it while the store is away, so calls that can go
// elsewhere are refused from now on.
func (h *Host) Retire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.Leaving = true
	h.Publish(h.record)
}

// Close refuses all new calls; what is in flight finishes.
func (h *Host) Close() { h.gate().Drain() }

// Record returns the present record and the server's address.
func (h *Host) Record() (mtbackend.Record, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, h.address
}

// Stop lets new calls for keys wait, while the keys move to another owner.
func (h *Host) Stop(low, high mtid.KeyNumber) { h.gate().Stop(low.Point(), high.LastPoint()) }

// Resume takes keys back into service here.
func (h *Host) Resume(low, high mtid.KeyNumber) { h.gate().Resume(low.Point(), high.LastPoint()) }

// Release sends the calls that wait for keys to their new owner.
func (h *Host) Release(low, high mtid.KeyNumber) { h.gate().Release(low.Point(), high.LastPoint()) }

func (h *Host) gate() *iogate.Door[*mtgate.Urgent] {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.door
}

// Run runs a call on the server.
func (h *Host) Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	answer, err := h.run(ctx, call)
	if err != nil {
		h.note(call, err)
	}
	return answer, err
}

// note writes the line of a call that was not answered, with what decided it. Its
// message holds the cause, so that a frequent one does not use up the room of
// the others.
func (h *Host) note(call *mtcall.Call, err error) {
	reply := mtrequest.FromError(err)
	h.Log.Info("call "+string(reply.Outcome)+": "+string(reply.Cause), slog.Any("", unanswered{host: h, call: call, err: err}))
}

// unanswered is what decided about a call that was not answered. It is gathered only if
// its line is written: under load most are left out.
type unanswered struct {
	host *Host
	call *mtcall.Call
	err  error
}

// LogValue implements slog.LogValuer.
func (u unanswered) LogValue() slog.Value {
	load := u.host.Load()
	record, _ := u.host.Record()
	attrs := []slog.Attr{
		slog.String("id", string(u.call.ID)), slog.String("route", string(u.call.Route)),
		slog.String("server", record.Incarnation.String()), slog.String("state", string(record.State)),
		slog.Int("running", load.Running), slog.Int("waiting", load.Waiting), slog.Int("slots", load.Slots),
		slog.String("service", load.ServiceTime.String()),
		slog.String("left", u.call.Deadline.Sub(u.host.Clock.Now()).String()), slog.String("error", u.err.Error()),
	}
	if u.call.Keyed {
		attrs = append(attrs, slog.Int("key", int(u.call.Key)))
	}
	return slog.GroupValue(attrs...)
}

func (h *Host) run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	arrived := h.Clock.Now()
	record, door, err := h.ready(call)
	if err != nil {
		return nil, err
	}
	mark := call.Fingerprint()
	if err := h.contain(arrived, mark, call.Proven); err != nil {
		return nil, err
	}
	h.count(arrived, call)
	ticket := mtgate.Ticket{
		Class: call.Route, Deadline: call.Deadline, Objective: call.Objective, Nested: call.Nested,
	}
	if call.Keyed {
		ticket.Point = call.Key.Point()
	}
	end, err := door.Admit(ctx, ticket)
	if err != nil {
		return nil, left(call, err)
	}
	defer end()
	// What held on arrival may have changed while the call waited.
	if call.Keyed {
		if err := h.Holds(record.Incarnation, call.Key); err != nil {
			return nil, err
		}
	}
	started := h.Clock.Now()
	if err := h.contain(started, mark, call.Proven); err != nil {
		return nil, err
	}
	defer h.track(call.ID)()
	_, address := h.Record()
	h.began(mark)
	answer, err := h.Client.Do(ctx, iobackend.Target{Address: address, Server: record.Incarnation.Server}, call)
	h.ended(mark, err)
	if err != nil {
		h.failed(record.Incarnation, call, err)
		return nil, err
	}
	answer.Queued = started.Sub(arrived)
	ended := h.Clock.Now()
	answer.Served = ended.Sub(started)
	h.noteSlowness(ended, answer.Slowness)
	h.served(call.Route, answer.Served)
	return answer, nil
}

// left returns the refusal of a call, with the time after which its key can be elsewhere
// if the server is leaving or its zone is out of service. Without one the caller asks again
// at once, and nothing can have changed.
func left(call *mtcall.Call, err error) error {
	var refused *mtreply.RefusedError
	if !call.Keyed || !errors.As(err, &refused) || refused.Cause != mtreply.CauseDraining && refused.Cause != mtreply.CauseZoneOut {
		return err
	}
	return &mtreply.RefusedError{Cause: refused.Cause, RetryAfter: elsewhereRetry, Detail: refused.Detail}
}

// track notes that a call runs at the server, until the returned function is
// called.
func (h *Host) track(id mtcall.ID) func() {
	h.runMu.Lock()
	defer h.runMu.Unlock()
	h.running[id]++
	return func() {
		h.runMu.Lock()
		defer h.runMu.Unlock()
		h.running[id]--
		if h.running[id] == 0 {
			delete(h.running, id)
		}
	}
}

// Parent reports whether an identifier is derived from that of a call which runs
// at this VM's server: the same with a part of its own behind a dot. The server
// makes that request then, as a part of the call.
func (h *Host) Parent(id mtcall.ID) bool {
	dot := strings.LastIndexByte(string(id), '.')
	if dot < 0 {
		return false
	}
	h.runMu.Lock()
	defer h.runMu.Unlock()
	return h.running[id[:dot]] > 0
}

// ready returns the server if it takes the call.
func (h *Host) ready(call *mtcall.Call) (mtbackend.Record, *iogate.Door[*mtgate.Urgent], error) {
	h.mu.Lock()
	now := h.Clock.Now()
	h.ran(now)
	record, door := h.record, h.door
	open := h.zone.Open(now, call.Keyed)
	h.mu.Unlock()
	switch {
	case record.Service != call.Service:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Detail: "another service runs here"}
	case record.State == mtbackend.Unknown || record.State == mtbackend.Ended:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: time.Second}
	case record.Leaving && !call.Keyed:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseStopping}
	case record.State == mtbackend.Draining && !call.Keyed:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseDraining}
	case !open:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseZoneOut, RetryAfter: elsewhereRetry}
	}
	if call.Keyed {
		if err := h.Holds(record.Incarnation, call.Key); err != nil {
			return record, nil, err
		}
	}
	return record, door, nil
}
