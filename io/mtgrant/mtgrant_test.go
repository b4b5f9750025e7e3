package mtgrant_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtgrant"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mtwatch"
)

const (
	service       = mtid.Service("maps")
	grantDuration = 8 * time.Second
	lease         = 3 * time.Second
)

// clock is a manual clock. Now and Steady return the same instant.
type clock struct {
	mu  sync.Mutex
	now mtclock.Instant
}

func (c *clock) Now() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) Steady() mtclock.Instant { return c.Now() }

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *clock) time() time.Time { return time.Unix(0, int64(c.Now())) }

// host is a fake of the component that manages the backend server.
type host struct {
	mu           sync.Mutex
	record       mtbackend.Record
	disconnected atomic.Bool // another incarnation may answer
}

func (h *host) Record() (mtbackend.Record, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.record, "server"
}

func (h *host) set(s mtbackend.State) mtbackend.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.State = s
	return h.record
}

func (*host) Stop(mtid.KeyNumber, mtid.KeyNumber)       {}
func (*host) Resume(mtid.KeyNumber, mtid.KeyNumber)     {}
func (*host) Release(mtid.KeyNumber, mtid.KeyNumber)    {}
func (*host) Forget(mtid.KeyNumber, mtid.KeyNumber)     {}
func (*host) AddKeys(mtid.KeyNumber, mtid.KeyNumber)    {}
func (*host) CheckServer(mtid.ServerIncarnation)        {}
func (h *host) ConnectedTo(mtid.ServerIncarnation) bool { return !h.disconnected.Load() }

// Spill assigns each range to one of the other servers, round-robin.
func (*host) Spill(ranges []mtrange.Range, _ mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove {
	var runs []mtrange.KeyMove
	for i, r := range ranges {
		if len(others) > 0 {
			runs = append(runs, mtrange.KeyMove{Low: r.Low, High: r.High, To: others[i%len(others)].Owner})
		}
	}
	return runs
}

// SelectMoves selects a hundred keys for each offload.
func (*host) SelectMoves(ranges []mtrange.Range, offloads []mtrange.Offload) []mtrange.KeyMove {
	var runs []mtrange.KeyMove
	low := ranges[0].Low
	for _, g := range offloads {
		runs = append(runs, mtrange.KeyMove{Low: low, High: low + 99, To: g.To})
		low += 100
	}
	return runs
}

// fakeServer records the commands and lets a test delay their answers.
type fakeServer struct {
	mu       sync.Mutex
	commands []string
	before   func(command string)
}

func (s *fakeServer) record(format string, args ...any) {
	command := fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.commands = append(s.commands, command)
	before := s.before
	s.mu.Unlock()
	if before != nil {
		before(command)
	}
}

func (s *fakeServer) Grant(_ context.Context, _ string, r mtrange.Range, _ time.Duration) error {
	s.record("grant %d-%d at %d", r.Low, r.High, r.Epoch)
	return nil
}

func (s *fakeServer) Release(_ context.Context, _ string, low, high mtid.KeyNumber, epoch mtid.Epoch) (string, error) {
	s.record("release %d-%d at %d", low, high, epoch)
	return "warm", nil
}

func (s *fakeServer) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

func (s *fakeServer) count(prefix string) int {
	n := 0
	for _, c := range s.sent() {
		if strings.HasPrefix(c, prefix) {
			n++
		}
	}
	return n
}

// fleet is a store with daemon "a", which is under test, and the records of other daemons.
type fleet struct {
	t         *testing.T
	clock     *clock
	store     *mtstandin.RevisionStore
	directory *mtdirectory.Directory
	host      *host
	server    *fakeServer
	client    mtgrant.ServerClient // nil means server
	// restarted makes daemon a the successor of a process that has just ended. Otherwise it
	// has run for long.
	restarted bool
	grants    *mtgrant.Grants

	closeGrants    func()
	closeDirectory func()

	mu         sync.Mutex
	notify     func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
	ownLoad    mtrange.LoadReport
	otherLoads []mtrange.LoadReport
	// surveys counts the queries for the load of other servers.
	surveys atomic.Int64
	// source is where daemon a watches for changes; nil means the store.
	source mtwatch.Source
	// delegate writes for daemon a; nil means that a writes itself.
	delegate func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool)
}

func incarnationOf(daemon mtid.Daemon) mtid.ServerIncarnation {
	return mtid.ServerIncarnation{Server: mtid.Server("of-" + daemon), Started: 1}
}

func record(daemon mtid.Daemon, s mtbackend.State) mtbackend.Record {
	return mtbackend.Record{Daemon: daemon, Address: string(daemon) + ":1", Service: service, Incarnation: incarnationOf(daemon), Slots: 10, State: s}
}

func ownerOf(daemon mtid.Daemon) mtrange.Owner {
	return mtrange.Owner{Daemon: daemon, Incarnation: incarnationOf(daemon)}
}

func (f *fleet) write(r mtbackend.Record) {
	value, err := r.Encode()
	assert.NilError(f.t, err)
	f.store.Put(mtstore.BackendName(r.Daemon), value)
}

// newFleet sets up a store in which the keys are divided among the owners. It does not
// start daemon a.
func newFleet(t *testing.T, assigned ...mtid.Daemon) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: &clock{now: mtclock.Instant(time.Hour)}, host: &host{record: record("a", mtbackend.Ready)}, server: &fakeServer{}}
	f.store = mtstandin.NewRevisionStore(f.clock.time)
	var owners []mtrange.Owner
	for _, d := range assigned {
		owners = append(owners, ownerOf(d))
		if d != "a" {
			f.write(record(d, mtbackend.Ready))
		}
	}
	if len(owners) > 0 {
		table, err := mtrange.Spread(service, owners)
		assert.NilError(t, err)
		value, err := table.Encode()
		assert.NilError(t, err)
		f.store.Put(mtstore.RangeName(service), value)
	}
	return f
}

func (f *fleet) start() {
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: f.store, Clock: f.clock, Lease: lease, Log: slog.New(slog.DiscardHandler), Source: f.source,
	})
	f.directory = directory
	r, _ := f.host.Record()
	directory.Publish(r)
	client := f.client
	if client == nil {
		client = f.server
	}
	runningSince := f.clock.Now().Add(-time.Minute)
	if f.restarted {
		runningSince = f.clock.Now()
	}
	grants, closeGrants := mtgrant.New(mtgrant.Config{
		Self: "a", RunningSince: runningSince, Service: service, Keyed: func() bool { return true }, GrantDuration: grantDuration, Directory: directory,
		Store: f.store, Host: f.host, Client: client, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
		LoadReports: func() (mtrange.LoadReport, []mtrange.LoadReport) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.ownLoad, f.otherLoads
		},
		QueryLoads:  func(context.Context) { f.surveys.Add(1) },
		NotifyOwner: f.notify,
		Delegate:    f.delegate,
	})
	f.grants = grants
	f.closeGrants = sync.OnceFunc(closeGrants)
	f.closeDirectory = sync.OnceFunc(closeDirectory)
	f.t.Cleanup(f.stop)
}

// stop ends daemon a. Its server keeps running.
func (f *fleet) stop() {
	f.closeGrants()
	f.closeDirectory()
}

// until polls until a condition holds.
func (f *fleet) until(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s; commands %v", what, f.server.sent())
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// letLoopsRun waits until each loop has run several times.
func (f *fleet) letLoopsRun() { time.Sleep(700 * time.Millisecond) }

func (f *fleet) owner(key mtid.KeyNumber) mtid.Daemon {
	a, ok := f.directory.View().Assignments[service]
	if !ok {
		return ""
	}
	r, _ := a.Lookup(key)
	return r.Owner.Daemon
}

// expireRecordOfB removes the record of daemon b, as when its VM is lost.
func (f *fleet) expireRecordOfB() {
	lease, err := f.store.Grant(context.Background(), time.Hour)
	assert.NilError(f.t, err)
	entry, err := f.store.Get(context.Background(), mtstore.BackendName("b"))
	assert.NilError(f.t, err)
	_, err = f.store.Swap(context.Background(), entry.Name, entry.Version, entry.Value, lease)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.store.End(context.Background(), lease))
	f.until("the record of b has expired in the copy", func() bool { return f.directory.View().Members["b"].Expired })
}

// A server starts to leave while its daemon renews grants. If a renewal that was found due
// before the move is sent after the release has been answered, the server holds the keys
// alongside their new owner for two more seconds.
func TestNoGrantIsSentAfterRelease(t *testing.T) {
	f := newFleet(t, "a", "b", "a")
	gate := make(chan struct{})
	f.start()
	f.until("both ranges are granted", func() bool { return f.server.count("grant") == 2 })
	f.server.mu.Lock()
	f.server.before = func(command string) {
		if strings.HasPrefix(command, "grant 0-") {
			<-gate
		}
	}
	f.server.mu.Unlock()
	f.clock.advance(grantDuration / 2) // both are due; the renewal of the first blocks
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.server.count("grant 0-") == 2 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the other range has moved", func() bool { return f.owner(mtid.LastKeyNumber) == "b" })
	close(gate)
	f.until("all keys have moved", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	released := map[string]bool{}
	for _, command := range f.server.sent() {
		kind, rest, _ := strings.Cut(command, " ")
		if kind == "release" {
			released[rest] = true
		}
		assert.Assert(t, kind != "grant" || !released[rest], "keys %s were granted after their release: %v", rest, f.server.sent())
	}
}

// A hot run of keys gives one server the work of four. Its daemon must offload runs of keys
// to three others at once, write releases that are answered together in one step, and send
// or write nothing twice.
func TestOffloadToSeveralServersAtOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var writes atomic.Int64
	f.store.LoseReplies(func(_, name string) error {
		if name == mtstore.RangeName(service) {
			writes.Add(1)
		}
		return nil
	})
	free := func(d mtid.Daemon) mtrange.LoadReport {
		return mtrange.LoadReport{Owner: ownerOf(d), Slots: 10, Demand: 1, ServiceTime: time.Second, Keys: 100, Known: true}
	}
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 40, ServiceTime: time.Second, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{free("b"), free("c"), free("d")}
	f.mu.Unlock()
	f.until("three runs of keys have moved", func() bool {
		return f.owner(0) != "a" && f.owner(100) != "a" && f.owner(200) != "a"
	})
	assert.Assert(t, writes.Load() <= 3, "%d writes", writes.Load())
	assert.Equal(t, f.owner(300), mtid.Daemon("a"))
	for _, low := range []string{"0-99", "100-199", "200-299"} {
		assert.Equal(t, f.server.count("release "+low), 1)
	}
}

// A VM is lost with its server. Its last grant may have been sent up to a lease after the
// record disappeared, and lasts longer on a slow clock. The keys must be taken over only
// after that time, and then must be.
func TestTakeoverWaitsForGrantsOfLostVM(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.expireRecordOfB()
	f.clock.advance(grantDuration)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over while a grant may still be in effect")
	f.clock.advance(lease + time.Second)
	f.until("the keys are taken over", func() bool { return f.owner(mtid.LastKeyNumber) == "a" })
	f.until("the keys are granted to a", func() bool { return f.server.count("grant") >= 2 })
}

// The store removes a daemon's record before its lease has expired, and rejects that
// daemon. The daemon goes by its last renewal: it considers the record certain for the rest
// of the lease and sends grants until then, which last for the grant duration. Another
// daemon that counted only the grant duration from the removal would take over the keys too
// early, and two servers would hold them.
func TestTakeoverWaitsForGrantsAfterEarlyRecordRemoval(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.expireRecordOfB() // just after a renewal of the lease
	const lastCommand = lease * 98 / 100
	f.clock.advance(lastCommand + grantDuration)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over while a grant may still be in effect")
}

// All VMs of a large fleet lose power while the store is unavailable, and forty servers are
// found lost at once when it returns. The store accepts at most thirty conditions in one
// write, so a takeover of all owners in one step would be rejected and retried forever.
func TestMassTakeoverRespectsConditionLimit(t *testing.T) {
	daemons := []mtid.Daemon{"a"}
	for n := range 40 {
		daemons = append(daemons, mtid.Daemon(fmt.Sprintf("b%02d", n)))
	}
	f := newFleet(t, daemons...)
	for _, d := range daemons[1:] {
		f.write(record(d, mtbackend.Ended))
	}
	f.start()
	f.until("all keys are taken over", func() bool {
		a, ok := f.directory.View().Assignments[service]
		return ok && a.Keys(ownerOf("a")) == int(mtid.LastKeyNumber)+1
	})
}

// The daemon of a lost server is alive and reports that the server's process has
// terminated, or that another incarnation runs. The takeover must not wait then.
func TestKeysOfTerminatedServerAreTakenOverAtOnce(t *testing.T) {
	for name, change := range map[string]func(r *mtbackend.Record){
		"ended":                            func(r *mtbackend.Record) { r.State = mtbackend.Ended },
		"another incarnation":              func(r *mtbackend.Record) { r.Incarnation.Server = "next" },
		"another incarnation of that name": func(r *mtbackend.Record) { r.Incarnation.Started++ },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.start()
			f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
			r := record("b", mtbackend.Ready)
			change(&r)
			f.write(r)
			f.until("the keys are taken over", func() bool {
				a := f.directory.View().Assignments[service]
				return a.Keys(ownerOf("b")) == 0
			})
		})
	}
}

// Another writer overwrites the record of a daemon that is alive but unreachable. A daemon
// that has started since knows nothing else about it. The entry does not prove that the
// server has terminated, however long it exists: after a takeover the keys would have two
// owners.
func TestNoTakeoverWhileRecordIsOverwritten(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Put(mtstore.BackendName("b"), []byte(`{"daemon":"b","state":"resting"}`))
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.clock.advance(grantDuration + lease + time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

// The new owner of moved keys would see them through its watch only after a tenth of a
// second, and no server would serve them until then. It must be notified at once, with the
// changes.
func TestNewOwnerIsNotified(t *testing.T) {
	f := newFleet(t, "a", "b")
	notified := make(chan mtrange.Owner, 8)
	f.notify = func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch) {
		assert.Check(t, to == "b" && since < a.Next)
		for _, r := range a.Since(since).Ranges {
			if r.Low == 0 {
				notified <- r.Owner
			}
		}
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	assert.Equal(t, <-notified, ownerOf("b"))
}

// A daemon has restarted and has not received a heartbeat from its server yet. Its record
// does not show whether the server is alive, so the server must keep the keys that it was
// granted.
func TestServerOfRestartedDaemonKeepsItsKeys(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.write(mtbackend.Record{Daemon: "b", Service: service, State: mtbackend.Unknown})
	f.clock.advance(time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

func asRefused(err error, into **mtreply.RefusedError) bool {
	r, ok := err.(*mtreply.RefusedError)
	*into = r
	return ok
}

// The new owner was written, but the store's answer was lost. If the keys were granted here
// again, two servers would hold them.
func TestMoveWithUnknownOutcomeIsNotReverted(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.SuppressWatchEvents(true) // the watch does not show the move either
	f.store.LoseReplies(func(op, name string) error {
		if name != mtstore.RangeName(service) {
			return nil
		}
		return &mtstore.UnknownError{Op: op, Name: name, Err: context.DeadlineExceeded}
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the copy shows the move", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1)
}

// A daemon terminates while its write of a move is on the way, and restarts while its
// server keeps running. The late write must not take effect after the keys have been
// granted again. It is conditional on the record of the daemon's previous incarnation.
func TestLateMoveOfPreviousIncarnationIsRejected(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.write(record("a", mtbackend.Ready))
	previous, err := f.store.Get(context.Background(), mtstore.BackendName("a"))
	assert.NilError(t, err)
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(service))
	assert.NilError(t, err)
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	late, err := mtrange.Decode(entry.Value)
	assert.NilError(t, err)
	moved, err := late.Move(0, 10, ownerOf("b"), "")
	assert.NilError(t, err)
	value, err := moved.Encode()
	assert.NilError(t, err)
	own := mtstore.Condition{Name: previous.Name, Version: previous.Version}
	_, err = f.store.SwapIf(context.Background(), []mtstore.Condition{own}, entry.Name, entry.Version, value, "")
	conflict, _ := err.(*mtstore.ConflictError)
	assert.Assert(t, conflict != nil, "the late write took effect: %v", err)
}

// A move must be written only while the store holds the record that this process wrote. Any
// other record means that another incarnation of the daemon has started.
func TestMoveIsConditionalOnOwnRecord(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var written atomic.Bool
	f.store.LoseReplies(func(_, name string) error {
		if name == mtstore.RangeName(service) {
			written.Store(true)
		}
		return nil
	})
	f.write(record("a", mtbackend.Ready)) // by another incarnation of the daemon
	f.host.set(mtbackend.Draining)        // and this one no longer publishes
	f.until("the release is sent", func() bool { return f.server.count("release") > 0 })
	f.letLoopsRun()
	assert.Assert(t, !written.Load(), "the move was written although another incarnation has started")
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
}

// A renewal for the previous incarnation of the server is on its way to an address at which
// another incarnation answers now. ReleaseUnowned must revoke what the renewal grants, but
// only after it has been answered. An incarnation that owns keys keeps them.
func TestUnownedKeysAreReleasedAfterPendingGrant(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	assert.NilError(t, f.grants.ReleaseUnowned(t.Context(), incarnationOf("a"), "server"))
	assert.Equal(t, f.server.count("release"), 0)
	gate := make(chan struct{})
	f.server.mu.Lock()
	f.server.before = func(command string) {
		if strings.HasPrefix(command, "grant") {
			<-gate
		}
	}
	f.server.mu.Unlock()
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.server.count("grant") == 2 })
	cleared := make(chan error)
	go func() {
		cleared <- f.grants.ReleaseUnowned(t.Context(), mtid.ServerIncarnation{Server: "next"}, "server")
	}()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("release"), 0, "cleared while a grant was not answered yet")
	close(gate)
	assert.NilError(t, <-cleared)
	assert.Equal(t, f.server.count("release 0-65535 at 2"), 1)
}

// All daemons start together without an assignment. The first assignment must not be
// written before all servers have appeared.
func TestFirstAssignmentWaitsForAllServers(t *testing.T) {
	f := newFleet(t)
	f.start()
	f.until("the copy contains the own record", func() bool { return len(f.directory.View().Members) == 1 })
	f.letLoopsRun()
	assert.Equal(t, f.owner(0), mtid.Daemon(""))
	f.write(record("b", mtbackend.Ready))
	f.until("the copy contains the other record", func() bool { return len(f.directory.View().Members) == 2 })
	f.letLoopsRun()
	f.clock.advance(2 * time.Second)
	f.until("keys are assigned", func() bool { return f.owner(0) == "a" && f.owner(mtid.LastKeyNumber) == "b" })
}

// The daemon that writes for all daemons is disconnected while it has a move to write: it
// may write it seconds later, or never. If the keys were granted here again, they would
// have two owners once it did. So this daemon must write the move itself until the
// assignment shows it, and a late write of the other daemon must no longer apply.
func TestDelegatedMoveWithUnknownOutcomeIsNotReverted(t *testing.T) {
	f := newFleet(t, "a", "b")
	var batch atomic.Pointer[mtrange.Batch]
	asked := make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		if batch.CompareAndSwap(nil, &b) {
			close(asked)
		}
		return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var unavailable atomic.Bool
	unavailable.Store(true)
	f.store.Fail(func(op, name string) error {
		if unavailable.Load() && name == mtstore.RangeName(service) {
			return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
		}
		return nil
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	<-asked
	f.letLoopsRun()
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
	assert.Equal(t, f.server.count("grant"), 1, "granted again while the outcome of the move is unknown")
	unavailable.Store(false)
	f.until("the move is written", func() bool { return f.owner(0) == "b" })
	assert.Equal(t, f.server.count("grant"), 1)
	assert.Assert(t, !f.directory.View().Assignments[service].CanApply(batch.Load().Transfers[0]))
}

// Every server is overloaded. Each owner queried a dozen others for spare capacity every
// 0.7 s, without success, and a tenth of all CPU time went into that. The queries must
// become rarer, and spare capacity must still be found once there is some.
func TestLoadQueriesBackOffWithoutSpareCapacity(t *testing.T) {
	f := newFleet(t, "a", "b")
	busy := mtrange.LoadReport{Owner: ownerOf("b"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{busy}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	const attempts = 20
	for range attempts {
		f.clock.advance(mtrange.MoveCooldown)
		time.Sleep(250 * time.Millisecond) // at least one run of the loop; fewer would make the test weaker
	}
	assert.Assert(t, f.surveys.Load() <= attempts/2, "%d queries for the load of others", f.surveys.Load())
	idle := busy
	idle.Demand = 1
	f.mu.Lock()
	f.otherLoads = []mtrange.LoadReport{idle}
	f.mu.Unlock()
	f.until("keys are released for the other server", func() bool {
		f.clock.advance(mtrange.MoveCooldown)
		return f.server.count("release") > 0
	})
}

// delayedWatch is a watch whose results can be delayed.
type delayedWatch struct {
	mtwatch.Source
	delayed atomic.Bool
}

func (w *delayedWatch) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	changes, err := w.Source.Watch(ctx, prefix, after, wait)
	for w.delayed.Load() && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	return changes, err
}

// Another daemon has written a move, but this one does not see the new assignment yet: its
// watch receives nothing, and the update that came with the answer could not be applied. If
// it considered the move done, it would find the keys assigned to its server by the old
// assignment and grant them again: two servers would hold them until the watch recovered.
func TestDelegatedMoveEndsOnlyWhenCopyShowsIt(t *testing.T) {
	f := newFleet(t, "a", "b")
	watch := &delayedWatch{Source: f.store}
	f.source = watch
	wrote := make(chan struct{})
	signalWritten := sync.OnceFunc(func() { close(wrote) })
	f.delegate = func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		entry, err := f.store.Get(ctx, mtstore.RangeName(service))
		assert.Check(t, err)
		table, err := mtrange.Decode(entry.Value)
		assert.Check(t, err)
		if !table.CanApply(b.Transfers[0]) {
			return []mtrange.Outcome{mtrange.Refused}, true
		}
		tr := b.Transfers[0]
		next, err := table.Move(tr.Low, tr.High, tr.To, tr.WarmupState)
		assert.Check(t, err)
		value, err := next.Encode()
		assert.Check(t, err)
		_, err = f.store.Swap(ctx, entry.Name, entry.Version, value, "")
		assert.Check(t, err)
		signalWritten()
		return []mtrange.Outcome{mtrange.Written}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
	f.mu.Unlock()
	watch.delayed.Store(true)
	f.clock.advance(mtrange.MoveCooldown)
	<-wrote
	f.letLoopsRun()
	for _, command := range f.server.sent() {
		assert.Assert(t, !strings.HasPrefix(command, "grant 0-99 "), "granted after its release: %v", f.server.sent())
	}
	assert.Equal(t, f.server.count("grant 0-"), 1, "granted after its release: %v", f.server.sent())
	watch.delayed.Store(false)
	f.until("the copy shows the move", func() bool { return f.owner(0) == "b" })
}

// The daemon is shut down while another daemon has its move to write. If it aborted the
// move and put the keys back into service in its last steps, the other daemon could still
// write it afterwards.
func TestMoveWithUnknownOutcomeIsNotRevertedOnShutdown(t *testing.T) {
	for range 10 {
		f := newFleet(t, "a", "b")
		asked := make(chan struct{})
		signalRequested := sync.OnceFunc(func() { close(asked) })
		f.delegate = func(ctx context.Context, _ mtrange.Batch) ([]mtrange.Outcome, bool) {
			signalRequested()
			<-ctx.Done()
			return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
		}
		f.start()
		f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
		f.mu.Lock()
		f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
		f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
		f.mu.Unlock()
		f.clock.advance(mtrange.MoveCooldown)
		<-asked
		before := f.server.count("grant")
		f.closeGrants()
		assert.Equal(t, f.server.count("grant"), before, "granted after its release: %v", f.server.sent())
	}
}

// The store becomes unavailable while an owner is overloaded and others have spare
// capacity. If the owner released keys to offload them, no new owner could be written, and
// the keys would not be served until the store returned, eight seconds later.
func TestNoOffloadWhileStoreIsUnavailable(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("unavailable")} })
	f.until("the outage is detected", func() bool { return !f.directory.StoreAvailable() })
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
	f.mu.Unlock()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("release"), 0)
	f.store.Fail(nil)
	f.until("keys are released once the store is available again", func() bool { return f.server.count("release") > 0 })
}

// The store rejects a daemon that has delegated its move to another one. The other daemon
// has a newer table, by which the keys have changed hands, and refuses the move. If this
// daemon resumed the keys at once, by a copy that does not show the change yet, it would
// grant them again alongside their new owner.
func TestRefusedMoveIsNotRevertedByStaleCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	refused := make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("rejected")} })
		for f.directory.StoreAvailable() {
			time.Sleep(time.Millisecond)
		}
		close(refused)
		outcomes := make([]mtrange.Outcome, len(b.Transfers))
		for i := range outcomes {
			outcomes[i] = mtrange.Refused
		}
		return outcomes, true
	}
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	granted := f.server.count("grant")
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
	f.mu.Unlock()
	<-refused
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), granted, "granted again after the refusal: %v", f.server.sent())
}

// The daemon that writes for all others reports conflicts only, since the keys have changed
// hands, and the own copy does not show that. If the move were given up by that copy, the
// keys would be granted here again alongside their new owner.
func TestMoveIsNotGivenUpByStaleCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	var takeOver sync.Once
	var tries atomic.Int32
	f.delegate = func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		takeOver.Do(func() {
			f.store.SuppressWatchEvents(true)
			entry, err := f.store.Get(ctx, mtstore.RangeName(service))
			assert.Check(t, err)
			table, err := mtrange.Decode(entry.Value)
			assert.Check(t, err)
			next, err := table.Move(0, mtid.LastKeyNumber/2, ownerOf("b"), "")
			assert.Check(t, err)
			value, err := next.Encode()
			assert.Check(t, err)
			f.store.Put(entry.Name, value)
		})
		tries.Add(1)
		outcomes := make([]mtrange.Outcome, len(b.Transfers))
		for i := range outcomes {
			outcomes[i] = mtrange.Conflicted
		}
		return outcomes, true
	}
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	granted := f.server.count("grant 0-")
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	f.until("the move was tried", func() bool { return tries.Load() >= 12 })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant 0-"), granted, "granted again by a stale copy: %v", f.server.sent())
}
