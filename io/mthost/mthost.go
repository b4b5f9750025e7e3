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
	"net"
	"strings"
	"sync"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroute"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mtduty"
	iogate "magnoliaturn/io/mtgate"
)

type clock interface{ Now() mtclock.Instant }

// runner sends one call to the server.
type runner interface {
	Do(ctx context.Context, target iobackend.Target, call *mtcall.Call) (*mtcall.Answer, error)
	// Identify asks which life of the server answers at an address.
	Identify(ctx context.Context, address, path string) (mtid.Server, error)
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
)

// Config is what a Host works with.
type Config struct {
	Daemon  mtid.Daemon
	Zone    mtid.Zone
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
	// Holds reports whether the server has been granted the key; it fails with
	// a *mtreply.RefusedError. It is called for keyed calls.
	Holds func(server mtid.Server, key mtid.Number) error
	// Fenced is told that the server denied holding a key that it was granted.
	Fenced func(key mtid.Number)
	// Quiet is called when nothing is in flight in a stopped range.
	Quiet func(low, high mtid.Point)
	// Clear takes from a new life of the server what orders meant for a former
	// one may have given it. It may take a moment.
	Clear func(ctx context.Context, server mtid.Server, address string) error
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
	ended    map[mtid.Server]bool // lives that are over
	door     *iogate.Door[*mtgate.Urgent]
	classes  []mtbundle.Class
	drains   mtclock.Instant // Draining: no new work from then on; zero if not draining
	checking bool
	clearing bool
	stranger mtbackend.Beat // the last beat of a life that is not known here
	// identifying says that the server is being asked which life runs.
	identifying bool
	beaten      mtclock.Instant // last beat
	checked     mtclock.Instant // last look after a silent server

	runMu   sync.Mutex
	running map[mtcall.ID]int // calls at the server, by identifier

	meterMu sync.Mutex
	meter   *mtrange.Meter
	service time.Duration // mean time of a call at the server
}

// New returns a Host whose server has not been heard of, and its clean-up
// function.
func New(config Config) (*Host, func()) {
	h := &Host{
		Config:  config,
		address: config.Address,
		ended:   make(map[mtid.Server]bool),
		running: make(map[mtcall.ID]int),
		meter:   mtrange.NewMeter(config.Clock.Now()),
	}
	h.record = mtbackend.Record{
		Daemon: config.Daemon, Address: config.Peer, Zone: config.Zone, Service: config.Service, State: mtbackend.Unknown,
	}
	h.beaten = config.Clock.Now()
	h.door = h.newDoor()
	config.Publish(h.record)
	return h, mtduty.Every(iogate.ExpireEvery, func(context.Context) { h.tick(h.Clock.Now()) })
}

func (h *Host) newDoor() *iogate.Door[*mtgate.Urgent] {
	limits := mtgate.Limits{Waiting: waiting, Patience: 1}
	door := iogate.New(h.Clock, mtgate.NewUrgent(), limits, h.Quiet)
	for _, c := range h.classes {
		door.Declare("", c)
	}
	return door
}

// Declare sets the classes of calls that the gate tells apart: the routes of the
// configuration in force.
func (h *Host) Declare(routes []mtroute.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.classes = h.classes[:0]
	for _, r := range routes {
		// Routes rank the most urgent lowest, classes highest.
		c := mtbundle.Class{Name: r.Name, Idempotent: r.Idempotent, Timeout: r.Timeout, Priority: -r.Priority, Queue: waiting}
		h.classes = append(h.classes, c)
		h.door.Declare("", c)
	}
}

// tick refuses what has waited too long, and ends the time in which a leaving
// server takes new work.
func (h *Host) tick(now mtclock.Instant) {
	h.mu.Lock()
	door := h.door
	drain := h.drains != 0 && !now.Before(h.drains)
	if drain {
		h.drains = 0
	}
	h.mu.Unlock()
	if drain {
		door.Drain()
	}
	door.Expire(now)
	h.listen(now)
}

// listen looks after a server that has fallen silent, or was never heard of.
func (h *Host) listen(now mtclock.Instant) {
	h.mu.Lock()
	silent := now.Sub(h.beaten) > silence && now.Sub(h.checked) > silence
	server, state := h.record.Server, h.record.State
	if silent {
		h.checked = now
	}
	h.mu.Unlock()
	if silent && state != mtbackend.Ended {
		h.check(server)
	}
}

// Beat takes in what the server says. It returns after what the beat tells is in
// force here: the answer to a beat that announces the server's leaving binds
// this daemon.
//
// A beat may be held up and arrive after its sender has crashed and another life
// has begun. So one of a life that is not known here only makes the daemon ask
// the server itself. Taken at its word, it would make the keys of the life that
// runs look free, and they would be given to another server.
func (h *Host) Beat(b mtbackend.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ended[b.Server]:
		h.Log.Info("beat of a former life passed over", "server", b.Server, "sequence", b.Sequence)
	case h.record.Server == b.Server:
		h.take(b)
	default:
		h.identify(b)
	}
}

// identify finds out whether the sender of a beat is the life that runs. If the
// server can't be asked, a second beat of the same life shows it too.
func (h *Host) identify(b mtbackend.Beat) {
	former := h.stranger
	h.stranger = b
	if former.Server == b.Server && b.Sequence > former.Sequence {
		h.begin(b)
		return
	}
	path := h.Health()
	if path == "" || h.identifying {
		return
	}
	h.identifying = true
	go func() {
		server, err := h.Client.Identify(context.Background(), b.Address, path)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.identifying = false
		switch {
		case err != nil || server == "":
			h.Log.Info("server could not be asked which life runs", "beat", b.Server, "error", err)
		case h.record.Server == server:
			// A second beat has shown it meanwhile.
		case server == h.stranger.Server:
			h.begin(h.stranger)
		default:
			h.Log.Warn("beat of another life than the one that runs", "beat", b.Server, "server", server)
		}
	}()
}

// take takes in a beat of the present life.
func (h *Host) take(b mtbackend.Beat) {
	now := h.Clock.Now()
	h.beaten = now
	if b.Sequence < h.sequence {
		return
	}
	h.sequence = b.Sequence
	h.address = b.Address
	h.record.Slots = b.Slots
	h.door.Resize(b.Slots, b.Slots)
	switch {
	case h.record.State == mtbackend.Unknown:
		h.clear(b)
	case b.Draining:
		h.leave(now, "beat")
	default:
		h.Publish(h.record)
	}
}

// clear brings a life of the server into service, once it holds no keys but its
// own.
//
// A server crashes and starts again at the same address. Until its next beat the
// daemon takes it for the former life, and renews that life's grants: the new one
// obeys. Were the new life told at once, others would take the former one's keys
// over, and two servers would hold them.
func (h *Host) clear(b mtbackend.Beat) {
	if h.clearing {
		return
	}
	h.clearing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		err := h.Clear(ctx, b.Server, b.Address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.clearing = false
		if err != nil {
			h.Log.Warn("new life of the server could not be cleared", "server", b.Server, "error", err)
			return // the next beat tries again
		}
		if h.record.Server != b.Server || h.record.State != mtbackend.Unknown {
			return
		}
		h.state(mtbackend.Ready)
		if b.Draining {
			h.leave(h.Clock.Now(), "beat")
		}
	}()
}

// clearTimeout bounds the clearing of a new life, which runs nothing yet.
const clearTimeout = time.Second

// begin starts a new life of the server.
func (h *Host) begin(b mtbackend.Beat) {
	if h.record.Server != "" {
		h.ended[h.record.Server] = true
		h.Log.Info("server has another life", "former", h.record.Server, "server", b.Server)
		h.door.Drain()
		h.door = h.newDoor()
	}
	h.record.Server = b.Server
	h.record.Service = b.Service
	h.record.State = mtbackend.Unknown
	h.sequence = 0
	h.drains = 0
	h.take(b)
}

// state changes the state and tells all daemons.
func (h *Host) state(s mtbackend.State) {
	h.Log.Info("server state", "server", h.record.Server, "from", h.record.State, "to", s, "slots", h.record.Slots, "sequence", h.sequence)
	h.record.State = s
	h.Publish(h.record)
	h.Changed()
}

// leave begins the leaving of the server. Calls without a key go elsewhere from
// now on; keyed ones are served until their keys have moved, but not for long.
func (h *Host) leave(now mtclock.Instant, why string) {
	if h.record.State == mtbackend.Draining || h.record.State == mtbackend.Ended {
		return
	}
	h.Log.Info("server is leaving", "server", h.record.Server, "why", why)
	h.drains = now.Add(time.Duration(float64(h.Drain) * drainPart))
	h.state(mtbackend.Draining)
}

// Leave takes in that the server takes itself out. It serves on for a while and
// exits then.
func (h *Host) Leave(server mtid.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Server != server {
		h.ended[server] = true
		return
	}
	h.leave(h.Clock.Now(), "deregistered")
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

// Owner returns the present life of the server as an owner of keys, and whether
// it may be given some.
func (h *Host) Owner() (mtrange.Owner, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return mtrange.Owner{Daemon: h.Daemon, Server: h.record.Server}, h.record.Takes()
}

// Record returns the present record and the server's address.
func (h *Host) Record() (mtbackend.Record, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, h.address
}

// Stop lets new calls for keys wait, while the keys move to another owner.
func (h *Host) Stop(low, high mtid.Number) { h.gate().Stop(low.Point(), high.LastPoint()) }

// Resume takes keys back into service here.
func (h *Host) Resume(low, high mtid.Number) { h.gate().Resume(low.Point(), high.LastPoint()) }

// Release sends the calls that wait for keys to their new owner.
func (h *Host) Release(low, high mtid.Number) { h.gate().Release(low.Point(), high.LastPoint()) }

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
	load := h.Load()
	record, _ := h.Record()
	attrs := []any{
		"id", string(call.ID), "route", string(call.Route), "server", record.Server, "state", record.State,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "service", load.Service.String(),
		"left", call.Deadline.Sub(h.Clock.Now()).String(), "error", err.Error(),
	}
	if call.Keyed {
		attrs = append(attrs, "key", int(call.Key))
	}
	h.Log.Info("call "+string(reply.Outcome)+": "+string(reply.Cause), attrs...)
}

func (h *Host) run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	arrived := h.Clock.Now()
	h.count(arrived, call)
	record, door, err := h.ready(call)
	if err != nil {
		return nil, err
	}
	ticket := mtgate.Ticket{
		Class: call.Route, Deadline: call.Deadline, Objective: call.Objective, Nested: call.Nested,
	}
	if call.Keyed {
		ticket.Point = call.Key.Point()
	}
	end, err := door.Admit(ctx, ticket)
	if err != nil {
		return nil, err
	}
	defer end()
	// What held on arrival may have changed while the call waited.
	if call.Keyed {
		if err := h.Holds(record.Server, call.Key); err != nil {
			return nil, err
		}
	}
	defer h.track(call.ID)()
	started := h.Clock.Now()
	_, address := h.Record()
	answer, err := h.Client.Do(ctx, iobackend.Target{Address: address, Server: record.Server}, call)
	if err != nil {
		h.failed(record.Server, call, err)
		return nil, err
	}
	answer.Queued = started.Sub(arrived)
	answer.Served = h.Clock.Now().Sub(started)
	h.served(answer.Served)
	return answer, nil
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
	record, door := h.record, h.door
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
	}
	if call.Keyed {
		if err := h.Holds(record.Server, call.Key); err != nil {
			return record, nil, err
		}
	}
	return record, door, nil
}

// averaging is the weight of a new service time in the mean: one over it.
const averaging = 16

// count notes the offered work of a keyed call.
func (h *Host) count(now mtclock.Instant, call *mtcall.Call) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	if call.Keyed && !call.Repeat {
		h.meter.Arrive(now, call.Key, h.service)
	}
}

// served notes how long a call took at the server.
func (h *Host) served(took time.Duration) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	if h.service == 0 {
		h.service = took
		return
	}
	h.service += (took - h.service) / averaging
}

// Cut finds keys of the ranges whose work comes closest to amount, in slots.
func (h *Host) Cut(ranges []mtrange.Range, amount float64) (low, high mtid.Number, ok bool) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.Cut(h.Clock.Now(), ranges, h.meter, amount)
}

// Forget drops the measured work of keys that have gone to another owner.
func (h *Host) Forget(low, high mtid.Number) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.meter.Forget(h.Clock.Now(), low, high)
}

// Load returns how loaded the server is.
func (h *Host) Load() mtcall.Load {
	record, _ := h.Record()
	running, waiting := h.gate().Busy()
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtcall.Load{
		Running: running,
		Waiting: waiting,
		Slots:   record.Slots,
		Service: h.service,
		Demand:  h.meter.Demand(h.Clock.Now()),
	}
}

// failed looks into a failure that says something of the server itself.
func (h *Host) failed(server mtid.Server, call *mtcall.Call, err error) {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		switch refused.Cause {
		case mtreply.CauseFenced:
			h.Fenced(call.Key)
		case mtreply.CauseNoServer:
			h.check(server)
		}
		return
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && unknown.Cause == mtreply.CauseLost {
		h.check(server)
	}
}

// check finds out whether the server's process is gone, unless a check runs.
func (h *Host) check(server mtid.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checking || h.record.Server != server || h.record.State == mtbackend.Ended {
		return
	}
	h.checking = true
	address := h.address
	silent := h.Clock.Now().Sub(h.beaten) > silence
	go func() {
		gone := processGone(address, silent)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.checking = false
		if !gone || h.record.Server != server {
			return
		}
		h.Log.Warn("server's process is gone", "server", server, "address", address)
		h.ended[server] = true
		h.drains = 0
		h.state(mtbackend.Ended)
		h.door.Resize(0, 0)
	}()
}

// processGone reports whether nothing listens at the address any more: the
// kernel of the own VM refuses each of several connections. Of a server that
// has been silent too, connections that nobody answers show the same: a server
// that lives accepts connections, or resets them, within its VM at once.
func processGone(address string, silent bool) bool {
	for i := range deadChecks {
		if i > 0 {
			time.Sleep(deadPause)
		}
		conn, err := net.DialTimeout("tcp", address, deadPause)
		if err == nil {
			_ = conn.Close()
			return false
		}
		if !iobackend.Refused(err) && !(silent && iobackend.TimedOut(err)) {
			return false
		}
	}
	return true
}
