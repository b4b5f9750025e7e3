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
	service = mtid.Service("maps")
	hold    = 8 * time.Second
	lease   = 3 * time.Second
)

// clock is set by hand. Both of its instants are the same.
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

// host is a backend server as the daemon knows it.
type host struct {
	mu      sync.Mutex
	record  mtbackend.Record
	unbound atomic.Bool // another life may answer
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

func (*host) Stop(mtid.KeyNumber, mtid.KeyNumber)    {}
func (*host) Resume(mtid.KeyNumber, mtid.KeyNumber)  {}
func (*host) Release(mtid.KeyNumber, mtid.KeyNumber) {}
func (*host) Forget(mtid.KeyNumber, mtid.KeyNumber)  {}
func (*host) Gain(mtid.KeyNumber, mtid.KeyNumber)    {}
func (*host) Suspect(mtid.ServerIncarnation)         {}
func (h *host) Bound(mtid.ServerIncarnation) bool    { return !h.unbound.Load() }

// Spill gives each range to one of the others, in turn.
func (*host) Spill(ranges []mtrange.Range, _ mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove {
	var runs []mtrange.KeyMove
	for i, r := range ranges {
		if len(others) > 0 {
			runs = append(runs, mtrange.KeyMove{Low: r.Low, High: r.High, To: others[i%len(others)].Owner})
		}
	}
	return runs
}

// Cut gives a hundred keys for each gift.
func (*host) Cut(ranges []mtrange.Range, gifts []mtrange.Offload) []mtrange.KeyMove {
	var runs []mtrange.KeyMove
	low := ranges[0].Low
	for _, g := range gifts {
		runs = append(runs, mtrange.KeyMove{Low: low, High: low + 99, To: g.To})
		low += 100
	}
	return runs
}

// port notes the orders and lets a test hold them up.
type port struct {
	mu     sync.Mutex
	orders []string
	before func(order string)
}

func (p *port) note(format string, args ...any) {
	order := fmt.Sprintf(format, args...)
	p.mu.Lock()
	p.orders = append(p.orders, order)
	before := p.before
	p.mu.Unlock()
	if before != nil {
		before(order)
	}
}

func (p *port) Grant(_ context.Context, _ string, r mtrange.Range, _ time.Duration) error {
	p.note("grant %d-%d at %d", r.Low, r.High, r.Epoch)
	return nil
}

func (p *port) Release(_ context.Context, _ string, low, high mtid.KeyNumber, epoch mtid.Epoch) (string, error) {
	p.note("release %d-%d at %d", low, high, epoch)
	return "warm", nil
}

func (p *port) seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

func (p *port) count(prefix string) int {
	n := 0
	for _, o := range p.seen() {
		if strings.HasPrefix(o, prefix) {
			n++
		}
	}
	return n
}

// fleet is a store with daemon "a" under test and others that only have records.
type fleet struct {
	t         *testing.T
	clock     *clock
	store     *mtstandin.Revisions
	directory *mtdirectory.Directory
	host      *host
	port      *port
	grants    *mtgrant.Grants

	closeGrants func()

	mu       sync.Mutex
	inform   func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch)
	standing mtrange.LoadReport
	others   []mtrange.LoadReport
	// surveys counts how often others were asked for their load.
	surveys atomic.Int64
	// source is where daemon a hears of changes; nil is the store.
	source mtwatch.Source
	// delegate writes for daemon a; nil is daemon a itself.
	delegate func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool)
}

func lifeOf(daemon mtid.Daemon) mtid.ServerIncarnation {
	return mtid.ServerIncarnation{Server: mtid.Server("of-" + daemon), Started: 1}
}

func record(daemon mtid.Daemon, s mtbackend.State) mtbackend.Record {
	return mtbackend.Record{Daemon: daemon, Address: string(daemon) + ":1", Service: service, Incarnation: lifeOf(daemon), Slots: 10, State: s}
}

func ownerOf(daemon mtid.Daemon) mtrange.Owner {
	return mtrange.Owner{Daemon: daemon, Incarnation: lifeOf(daemon)}
}

func (f *fleet) write(r mtbackend.Record) {
	value, err := r.Encode()
	assert.NilError(f.t, err)
	f.store.Put(mtstore.BackendName(r.Daemon), value)
}

// newFleet starts daemon a, with keys divided among the given owners.
func newFleet(t *testing.T, assigned ...mtid.Daemon) *fleet {
	t.Helper()
	f := &fleet{t: t, clock: &clock{now: mtclock.Instant(time.Hour)}, host: &host{record: record("a", mtbackend.Ready)}, port: &port{}}
	f.store = mtstandin.NewRevisions(f.clock.time)
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
	grants, closeGrants := mtgrant.New(mtgrant.Config{
		Self: "a", Service: service, Keyed: func() bool { return true }, Hold: hold, Directory: directory,
		Store: f.store, Host: f.host, Port: f.port, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
		Standings: func() (mtrange.LoadReport, []mtrange.LoadReport) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.standing, f.others
		},
		Survey:   func(context.Context) { f.surveys.Add(1) },
		Inform:   f.inform,
		Delegate: f.delegate,
	})
	f.grants = grants
	f.closeGrants = sync.OnceFunc(closeGrants)
	f.t.Cleanup(func() {
		f.closeGrants()
		closeDirectory()
	})
}

// until waits for a condition.
func (f *fleet) until(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s; orders %v", what, f.port.seen())
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// turns lets the duties look several times.
func (f *fleet) turns() { time.Sleep(700 * time.Millisecond) }

func (f *fleet) owner(key mtid.KeyNumber) mtid.Daemon {
	a, ok := f.directory.View().Assignments[service]
	if !ok {
		return ""
	}
	r, _ := a.Lookup(key)
	return r.Owner.Daemon
}

// lapseB makes the record of daemon b disappear, as when its VM is lost.
func (f *fleet) lapseB() {
	lease, err := f.store.Grant(context.Background(), time.Hour)
	assert.NilError(f.t, err)
	entry, err := f.store.Get(context.Background(), mtstore.BackendName("b"))
	assert.NilError(f.t, err)
	_, err = f.store.Swap(context.Background(), entry.Name, entry.Version, entry.Value, lease)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.store.End(context.Background(), lease))
	f.until("the record of b is seen gone", func() bool { return f.directory.View().Members["b"].Expired })
}

// A server leaves while its daemon renews grants. A renewal that was found due
// before the move began was sent after the release was answered; the server held
// the keys for two more seconds, beside their new owner.
func TestNoOrderFollowsARelease(t *testing.T) {
	f := newFleet(t, "a", "b", "a")
	gate := make(chan struct{})
	f.start()
	f.until("both ranges are granted", func() bool { return f.port.count("grant") == 2 })
	f.port.mu.Lock()
	f.port.before = func(order string) {
		if strings.HasPrefix(order, "grant 0-") {
			<-gate
		}
	}
	f.port.mu.Unlock()
	f.clock.advance(hold / 2) // both are due; the renewal of the first hangs
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.port.count("grant 0-") == 2 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the other range has moved", func() bool { return f.owner(mtid.LastKeyNumber) == "b" })
	close(gate)
	f.until("all keys have moved", func() bool { return f.owner(0) == "b" })
	f.turns()
	released := map[string]bool{}
	for _, order := range f.port.seen() {
		kind, rest, _ := strings.Cut(order, " ")
		if kind == "release" {
			released[rest] = true
		}
		assert.Assert(t, kind != "grant" || !released[rest], "%s was ordered after the release: %v", rest, f.port.seen())
	}
}

// A wing of a hotel wakes up, and one server has the work of four. Its daemon gives
// runs of keys to three others at once; releases that are answered together are
// written together, and none is ordered or written twice.
func TestReliefGoesToSeveralServersAtOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	var writes atomic.Int64
	f.store.Lose(func(_, name string) error {
		if name == mtstore.RangeName(service) {
			writes.Add(1)
		}
		return nil
	})
	free := func(d mtid.Daemon) mtrange.LoadReport {
		return mtrange.LoadReport{Owner: ownerOf(d), Slots: 10, Demand: 1, ServiceTime: time.Second, Keys: 100, Known: true}
	}
	f.mu.Lock()
	f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 40, ServiceTime: time.Second, Keys: 100, Known: true}
	f.others = []mtrange.LoadReport{free("b"), free("c"), free("d")}
	f.mu.Unlock()
	f.until("three runs have gone", func() bool {
		return f.owner(0) != "a" && f.owner(100) != "a" && f.owner(200) != "a"
	})
	assert.Assert(t, writes.Load() <= 3, "%d writes", writes.Load())
	assert.Equal(t, f.owner(300), mtid.Daemon("a"))
	for _, low := range []string{"0-99", "100-199", "200-299"} {
		assert.Equal(t, f.port.count("release "+low), 1)
	}
}

// A VM is lost with its server. Its last grant may have been ordered up to a lease after
// the record went, and lasts on a slow clock; only after that may the keys be given to
// another server, and then they are.
func TestKeysOfALostVMWaitForItsGrantsToRunOut(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.lapseB()
	f.clock.advance(hold)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.turns()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken while a grant may still be in force")
	f.clock.advance(lease + time.Second)
	f.until("the keys are taken over", func() bool { return f.owner(mtid.LastKeyNumber) == "a" })
	f.until("and granted", func() bool { return f.port.count("grant") >= 2 })
}

// The store takes a daemon's record away before its lease has run out, and turns that
// daemon away. It goes by its last renewal, counts the record as certain for the rest
// of the lease, and orders grants until then, which last a hold longer. Another daemon
// counts from the moment at which the record went, and takes the keys before that:
// two servers hold them.
func TestKeysOfADaemonWhoseRecordWentEarlyWaitForItsGrants(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.lapseB() // just after a renewal
	const lastOrder = lease * 98 / 100
	f.clock.advance(lastOrder + hold)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.turns()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken while a grant may still be in force")
}

// All VMs of a large fleet lose power while the store is away, and once it is back
// forty servers are found lost at the same moment. The store takes no more than
// thirty conditions in one step; a takeover of all at once was rejected, and tried
// again for ever.
func TestAMassLossIsTakenOverInSteps(t *testing.T) {
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

// The daemon beside a lost server lives and says so: its server's process is
// gone, or has another life. Nobody has to wait then.
func TestKeysOfAnEndedServerAreTakenAtOnce(t *testing.T) {
	for name, change := range map[string]func(r *mtbackend.Record){
		"ended":                     func(r *mtbackend.Record) { r.State = mtbackend.Ended },
		"another life":              func(r *mtbackend.Record) { r.Incarnation.Server = "next" },
		"another life of that name": func(r *mtbackend.Record) { r.Incarnation.Started++ },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.start()
			f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
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

// Somebody writes over the record of a daemon that lives and can't be reached just now.
// One that has started since knows nothing else of it. The entry proves no end, however
// long it stands: taken over, the keys had two owners.
func TestKeysAreNotTakenWhileAForeignRecordStands(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Put(mtstore.BackendName("b"), []byte(`{"daemon":"b","state":"resting"}`))
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.clock.advance(hold + lease + time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.turns()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

// A move's taker learns of its keys only by its watch, a tenth of a second later, and
// nobody serves them until then. It is told at once, by what has changed.
func TestTheTakerOfKeysIsToldOfThem(t *testing.T) {
	f := newFleet(t, "a", "b")
	told := make(chan mtrange.Owner, 8)
	f.inform = func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch) {
		assert.Check(t, to == "b" && since < a.Next)
		for _, r := range a.Since(since).Ranges {
			if r.Low == 0 {
				told <- r.Owner
			}
		}
	}
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	assert.Equal(t, <-told, ownerOf("b"))
}

// A daemon was restarted and has not heard from its server yet. That says nothing
// of the server, which goes on with the keys that it was granted.
func TestARestartedDaemonKeepsItsServersKeys(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.write(mtbackend.Record{Daemon: "b", Service: service, State: mtbackend.Unknown})
	f.clock.advance(time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.turns()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

func asRefused(err error, into **mtreply.RefusedError) bool {
	r, ok := err.(*mtreply.RefusedError)
	*into = r
	return ok
}

// The new owner was written and the store's answer was lost. Were the keys
// granted here again meanwhile, two servers would hold them.
func TestAMoveInDoubtIsNeverTakenBack(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Deafen(true) // the watch does not tell either
	f.store.Lose(func(op, name string) error {
		if name != mtstore.RangeName(service) {
			return nil
		}
		return &mtstore.UnknownError{Op: op, Name: name, Err: context.DeadlineExceeded}
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the move has been found written", func() bool { return f.owner(0) == "b" })
	f.turns()
	assert.Equal(t, f.port.count("grant"), 1)
}

// A daemon dies while the write of a move is on its way, and comes back beside its
// living server. The late write must not land after the keys were granted again.
// It was made under the condition that the record is that of the former life.
func TestAFormerLifesMoveCannotLandAfterTheFirstGrant(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.write(record("a", mtbackend.Ready))
	former, err := f.store.Get(context.Background(), mtstore.BackendName("a"))
	assert.NilError(t, err)
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(service))
	assert.NilError(t, err)
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	late, err := mtrange.Decode(entry.Value)
	assert.NilError(t, err)
	moved, err := late.Move(0, 10, ownerOf("b"), "")
	assert.NilError(t, err)
	value, err := moved.Encode()
	assert.NilError(t, err)
	own := mtstore.Condition{Name: former.Name, Version: former.Version}
	_, err = f.store.SwapIf(context.Background(), []mtstore.Condition{own}, entry.Name, entry.Version, value, "")
	conflict, _ := err.(*mtstore.ConflictError)
	assert.Assert(t, conflict != nil, "the late write landed: %v", err)
}

// A move is written only while the record is that of this life: another life
// has begun when it differs.
func TestAMoveIsBoundToTheOwnRecord(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	var bound atomic.Bool
	f.store.Lose(func(_, name string) error {
		if name == mtstore.RangeName(service) {
			bound.Store(true)
		}
		return nil
	})
	f.write(record("a", mtbackend.Ready)) // by another life
	f.host.set(mtbackend.Draining)        // and this one does not publish any more
	f.until("the release is ordered", func() bool { return f.port.count("release") > 0 })
	f.turns()
	assert.Assert(t, !bound.Load(), "the move was written although another life has begun")
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
}

// A renewal for a former life is under way to the address at which another life
// answers now. What it gives that life is taken back, but not before it has been
// answered; the life that owns the keys keeps them.
func TestClear(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	assert.NilError(t, f.grants.Clear(t.Context(), lifeOf("a"), "server"))
	assert.Equal(t, f.port.count("release"), 0)
	gate := make(chan struct{})
	f.port.mu.Lock()
	f.port.before = func(order string) {
		if strings.HasPrefix(order, "grant") {
			<-gate
		}
	}
	f.port.mu.Unlock()
	f.clock.advance(hold / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.port.count("grant") == 2 })
	cleared := make(chan error)
	go func() { cleared <- f.grants.Clear(t.Context(), mtid.ServerIncarnation{Server: "next"}, "server") }()
	f.turns()
	assert.Equal(t, f.port.count("release"), 0, "cleared while an order was under way")
	close(gate)
	assert.NilError(t, <-cleared)
	assert.Equal(t, f.port.count("release 0-65535 at 2"), 1)
}

// All daemons start together and find no assignment.
func TestTheFirstAssignmentWaitsForAllServers(t *testing.T) {
	f := newFleet(t)
	f.start()
	f.until("the own record stands", func() bool { return len(f.directory.View().Members) == 1 })
	f.turns()
	assert.Equal(t, f.owner(0), mtid.Daemon(""))
	f.write(record("b", mtbackend.Ready))
	f.until("the other is seen", func() bool { return len(f.directory.View().Members) == 2 })
	f.turns()
	f.clock.advance(2 * time.Second)
	f.until("keys are assigned", func() bool { return f.owner(0) == "a" && f.owner(mtid.LastKeyNumber) == "b" })
}

// The daemon that writes for all is cut off with a move in its hands: it may write it
// seconds later, or never. Granted here again meanwhile, the keys had two owners once it
// did. So this daemon writes the move itself until the table tells that it has landed, and
// a late write of the other one finds that it does not stand any more.
func TestAMoveInAnotherDaemonsHandsIsNotTakenBack(t *testing.T) {
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
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	var away atomic.Bool
	away.Store(true)
	f.store.Fail(func(op, name string) error {
		if away.Load() && name == mtstore.RangeName(service) {
			return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
		}
		return nil
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	<-asked
	f.turns()
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
	assert.Equal(t, f.port.count("grant"), 1, "granted again while the move is in doubt")
	away.Store(false)
	f.until("the move has landed", func() bool { return f.owner(0) == "b" })
	assert.Equal(t, f.port.count("grant"), 1)
	assert.Assert(t, !f.directory.View().Assignments[service].CanApply(batch.Load().Transfers[0]))
}

// Every server has more than it can do. Each owner asked a dozen others every 0.7 s whether
// they had room, in vain, and a tenth of all processor time went into that. Once one has
// room it is still found.
func TestAnOwnerAsksSeldomForRoomThatNobodyHas(t *testing.T) {
	f := newFleet(t, "a", "b")
	busy := mtrange.LoadReport{Owner: ownerOf("b"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.others = []mtrange.LoadReport{busy}
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	const looks = 20
	for range looks {
		f.clock.advance(mtrange.MoveCooldown)
		time.Sleep(250 * time.Millisecond) // the duty looks once at least, or the test asks for less
	}
	assert.Assert(t, f.surveys.Load() <= looks/2, "asked %d times", f.surveys.Load())
	idle := busy
	idle.Demand = 1
	f.mu.Lock()
	f.others = []mtrange.LoadReport{idle}
	f.mu.Unlock()
	f.until("keys have gone to the other server", func() bool {
		f.clock.advance(mtrange.MoveCooldown)
		return f.port.count("release") > 0
	})
}

// deafWatch is a watch that hears of nothing for a while.
type deafWatch struct {
	mtwatch.Source
	deaf atomic.Bool
}

func (w *deafWatch) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	changes, err := w.Source.Watch(ctx, prefix, after, wait)
	for w.deaf.Load() && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	return changes, err
}

// Another daemon has written a move, and this one has not heard of the new assignment yet:
// its watch is deaf, and what it was told of the write did not fit. It took the move for
// done, found the keys assigned to its server by the old assignment, and granted them
// again: two servers held them until the watch was back.
func TestAMoveThatAnotherDaemonWroteEndsOnceItIsHeardOf(t *testing.T) {
	f := newFleet(t, "a", "b")
	watch := &deafWatch{Source: f.store}
	f.source = watch
	wrote := make(chan struct{})
	told := sync.OnceFunc(func() { close(wrote) })
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
		told()
		return []mtrange.Outcome{mtrange.Written}, true
	}
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.mu.Lock()
	f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.others = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
	f.mu.Unlock()
	watch.deaf.Store(true)
	f.clock.advance(mtrange.MoveCooldown)
	<-wrote
	f.turns()
	for _, order := range f.port.seen() {
		assert.Assert(t, !strings.HasPrefix(order, "grant 0-99 "), "granted after its release: %v", f.port.seen())
	}
	assert.Equal(t, f.port.count("grant 0-"), 1, "granted after its release: %v", f.port.seen())
	watch.deaf.Store(false)
	f.until("the move is heard of", func() bool { return f.owner(0) == "b" })
}

// The daemon is told to stop with a move in another daemon's hands. It gave the move up and
// took the keys back into service on its last steps, and the other one wrote it after that.
func TestAMoveInDoubtIsNotTakenBackInAShutdown(t *testing.T) {
	for range 10 {
		f := newFleet(t, "a", "b")
		asked := make(chan struct{})
		told := sync.OnceFunc(func() { close(asked) })
		f.delegate = func(ctx context.Context, _ mtrange.Batch) ([]mtrange.Outcome, bool) {
			told()
			<-ctx.Done()
			return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
		}
		f.start()
		f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
		f.mu.Lock()
		f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
		f.others = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
		f.mu.Unlock()
		f.clock.advance(mtrange.MoveCooldown)
		<-asked
		before := f.port.count("grant")
		f.closeGrants()
		assert.Equal(t, f.port.count("grant"), before, "granted after its release: %v", f.port.seen())
	}
}

// The store goes away while an owner has more than it can do and others have room. It
// released the keys that it wanted to give away, nobody could be written as their owner, and
// they were served by nobody until the store was back, eight seconds later.
func TestNoKeysAreReleasedWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the keys are granted", func() bool { return f.port.count("grant") >= 1 })
	f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("away")} })
	f.until("the outage is noticed", func() bool { return !f.directory.StoreAvailable() })
	f.mu.Lock()
	f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.others = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
	f.mu.Unlock()
	f.turns()
	assert.Equal(t, f.port.count("release"), 0)
	f.store.Fail(nil)
	f.until("keys are given away once it is back", func() bool { return f.port.count("release") > 0 })
}

// The store turns a daemon away while its move is left to another one, whose table is newer: the
// keys have changed hands, and the move is refused. Taken back at once by the own copy, which does
// not show it yet, they were granted here again beside their new owner.
func TestARefusedMoveIsNotTakenBackByAnOldCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	refused := make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("turned away")} })
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
	f.until("the keys are granted", func() bool { return f.port.count("grant") >= 1 })
	granted := f.port.count("grant")
	f.mu.Lock()
	f.standing = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.others = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
	f.mu.Unlock()
	<-refused
	f.turns()
	assert.Equal(t, f.port.count("grant"), granted, "%v", f.port.seen())
}
