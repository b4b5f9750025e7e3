package mtgrant_test

import (
	"context"
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

// clock is a manual clock. Now and Steady return the same instant until Now jumps ahead.
type clock struct {
	mu    sync.Mutex
	now   mtclock.Instant
	ahead time.Duration
}

func (c *clock) Now() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now.Add(c.ahead)
}

func (c *clock) Steady() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// jump makes Now jump ahead, as when the time of day is set.
func (c *clock) jump(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += d
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func (c *clock) time() time.Time { return time.Unix(0, int64(c.Steady())) }

// host is a fake of the component that manages the backend server.
type host struct {
	mu           sync.Mutex
	record       mtbackend.Record
	disconnected atomic.Bool            // another incarnation may answer
	onConnected  atomic.Pointer[func()] // called whenever ConnectedTo is asked; may be nil
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
func (*host) AddKeys(mtid.KeyNumber, mtid.KeyNumber) {}
func (*host) CheckServer(mtid.ServerIncarnation)     {}

func (h *host) ConnectedTo(mtid.ServerIncarnation) bool {
	if f := h.onConnected.Load(); f != nil {
		(*f)()
	}
	return !h.disconnected.Load()
}

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
	answers   func(ctx context.Context, daemon mtid.Daemon) bool // nil: all daemons answer
	t         *testing.T
	clock     *clock
	store     *mtstandin.RevisionStore
	storeOfA  mtstore.ConditionalStore // the store as daemon a reaches it; nil means store
	directory *mtdirectory.Directory
	host      *host
	server    *fakeServer
	client    mtgrant.ServerClient // nil means server
	// restarted makes daemon a the successor of a process that has just ended. Otherwise it
	// has run for long.
	restarted bool
	// again reports that the whole system has run before.
	again  bool
	grants *mtgrant.Grants

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
	f.store.Put(mtstore.BackendName(0, r.Daemon), value)
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
		table, err := mtrange.Spread(service, 0, owners)
		assert.NilError(t, err)
		value, err := table.Encode()
		assert.NilError(t, err)
		f.store.Put(mtstore.RangeName(0, service), value)
	}
	return f
}

func (f *fleet) start() {
	var store mtstore.ConditionalStore = f.store
	if f.storeOfA != nil {
		store = f.storeOfA
	}
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{
		Self: "a", Store: store, Clock: f.clock, Lease: lease, Log: slog.New(slog.DiscardHandler), Source: f.source,
	})
	f.directory = directory
	r, _ := f.host.Record()
	directory.Publish(r)
	client := f.client
	if client == nil {
		client = f.server
	}
	runningSince := f.clock.Steady().Add(-time.Minute)
	if f.restarted {
		runningSince = f.clock.Steady()
	}
	grants, closeGrants := mtgrant.New(mtgrant.Config{
		Self: "a", Bootstrap: !f.again, RunningSince: runningSince, Service: service, Keyed: func() bool { return true }, GrantDuration: grantDuration, Directory: directory,
		Store: store, Host: f.host, Client: client, Clock: f.clock, Log: slog.New(slog.DiscardHandler),
		LoadReports: func() (mtrange.LoadReport, []mtrange.LoadReport) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.ownLoad, f.otherLoads
		},
		QueryLoads:  func(context.Context) { f.surveys.Add(1) },
		NotifyOwner: f.notify,
		Delegate:    f.delegate,
		Answers:     f.answers,
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
	entry, err := f.store.Get(context.Background(), mtstore.BackendName(0, "b"))
	assert.NilError(f.t, err)
	_, err = f.store.Swap(context.Background(), entry.Name, entry.Version, entry.Value, lease)
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.store.End(context.Background(), lease))
	f.until("the record of b has expired in the copy", func() bool { return f.directory.View().Members["b"].Expired })
}

func asRefused(err error, into **mtreply.RefusedError) bool {
	r, ok := err.(*mtreply.RefusedError)
	*into = r
	return ok
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
