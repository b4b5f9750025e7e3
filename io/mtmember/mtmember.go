// Package mtmember holds the duties that make a process a member of the fleet:
// one keeps the daemon's own record (registration, witnesses, offers, state),
// one looks for lost daemons, and a few take over what they owned.
//
// # Usage
//
//	member, cleanUp, err := mtmember.New(mtmember.Config{...})
//	defer cleanUp()
//	member.Offer(offers)
//	member.Leave(mtroster.Leaving)
//	holder := member.Holder() // zero until registered
//
// All methods are safe for concurrent use.
package mtmember

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtring"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwitness"
	"magnoliaturn/io/mtduty"
)

// View is what the duties need of the live state. What it returns is shared
// and never changed.
type View interface {
	Roster() []*mtroster.Record
	Record(mtid.Daemon) (*mtroster.Record, mtid.Version, bool)
	Tables() []*mtshard.Table
}

// Lease is what the duties need of the duty that renews. *mtrenew.Duty is one.
type Lease interface {
	Register(mtid.Holder, mtlease.Set)
	Propose(mtlease.Set) bool
	Ready() bool
	Until() mtclock.Instant
	Attempt() bool
	Settle(mtlease.Set)
	Withdraw()
	Close()
	Vouch(since mtclock.Instant)
	Vouched() mtclock.Instant
	Wants() (mtlease.Defects, []mtid.Holder)
	Lapsed(mtid.Holder) bool
	Revoke(mtwitness.Request) mtwitness.Reply
}

// Clock is the time that the duties need: Now never runs slow, and Steady never
// runs ahead.
type Clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
	Wall() time.Time
}

// Config is what a member is made of.
type Config struct {
	Profile mtmember.Profile
	Store   mtstore.Store
	View    View
	Lease   Lease
	Clock   Clock
	// Dial returns a connection to the gRPC server of another daemon. It is
	// kept by whoever gave it.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Registered is called after each registration; it may be nil.
	Registered func(mtid.Holder)
	// Wrote is called with each value that a duty wrote or found in the store,
	// so that the live state needn't wait for a watch; it may be nil.
	Wrote func(mtstore.Entry)
	// Heat returns how much load the shards of a holder bear, in any unit: the
	// hottest lost daemon is taken over first. It may be nil.
	Heat func(mtid.Holder) float64
	Log  *slog.Logger
}

// Counters are what a member did. Store calls count each call that was sent.
type Counters struct {
	StoreReads     expvar.Int
	StoreWrites    expvar.Int
	StoreConflicts expvar.Int
	StoreUnknown   expvar.Int
	Registrations  expvar.Int
	SetChanges     expvar.Int
	Takeovers      expvar.Int // records that this daemon wrote as revoked
	Failovers      expvar.Int // chunks that this daemon wrote
	Suspicions     expvar.Int // takeovers that were begun
}

const (
	keepTick    = 100 * time.Millisecond
	watchTick   = 50 * time.Millisecond
	callTimeout = 2 * time.Second
	askTimeout  = 300 * time.Millisecond
	takers      = 4
	jobs        = 1024
)

// Member keeps one daemon in the fleet.
type Member struct {
	config   Config
	counters Counters
	store    countedStore
	holder   atomic.Pointer[mtid.Holder]
	stop     context.Context

	mu     sync.Mutex
	offers []mtroster.Offer
	state  mtroster.State

	running *mtring.Ring[job]
	busy    sync.Map // mtid.Holder -> struct{}: takeovers under way
	fenced  sync.Map // mtid.Daemon -> *mtroster.Record: revoked by this process
}

// New starts the duties. Registration goes on in the background until the
// store answers. The clean-up ends the duties; it doesn't leave the fleet.
func New(config Config) (*Member, func()) {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	stop, cancel := context.WithCancel(context.Background())
	m := &Member{config: config, stop: stop, running: mtring.New[job](jobs)}
	m.store = countedStore{store: config.Store, counters: &m.counters}
	m.holder.Store(&mtid.Holder{})
	var duties sync.WaitGroup
	duties.Go(func() { newKeeper(m).run() })
	duties.Go(func() { newWatcher(m).run() })
	for range takers {
		duties.Go(func() { m.takeOver() })
	}
	return m, func() {
		cancel()
		duties.Wait()
	}
}

// Holder returns the life under which this daemon is registered; zero before
// registration, and after a takeover until it has registered again.
func (m *Member) Holder() mtid.Holder { return *m.holder.Load() }

// Counters returns what the member did so far.
func (m *Member) Counters() *Counters { return &m.counters }

// Vars returns the counters as one expvar map, for publication.
func (m *Member) Vars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("store_reads", &m.counters.StoreReads)
	vars.Set("store_writes", &m.counters.StoreWrites)
	vars.Set("store_conflicts", &m.counters.StoreConflicts)
	vars.Set("store_unknown", &m.counters.StoreUnknown)
	vars.Set("registrations", &m.counters.Registrations)
	vars.Set("set_changes", &m.counters.SetChanges)
	vars.Set("takeovers", &m.counters.Takeovers)
	vars.Set("failovers", &m.counters.Failovers)
	vars.Set("suspicions", &m.counters.Suspicions)
	return vars
}

// Offer sets the backend servers that the record names. It returns at once;
// the record is written as soon as the store takes it.
func (m *Member) Offer(offers []mtroster.Offer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offers = offers
}

// Enter sets what the daemon says of itself. With mtroster.Gone its lease ends
// for good before the record is written, since the record then counts as a
// proof that this life serves no more.
func (m *Member) Enter(state mtroster.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// desired returns what the record should say.
func (m *Member) desired() ([]mtroster.Offer, mtroster.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.offers, m.state
}

// sleep waits for d, or returns false once the member stops.
func (m *Member) sleep(d time.Duration) bool { return mtduty.Sleep(m.stop, d) }

// wrote passes a value on to the live state.
func (m *Member) wrote(name string, version mtid.Version, value []byte) {
	if m.config.Wrote != nil {
		m.config.Wrote(mtstore.Entry{Name: name, Version: version, Value: value})
	}
}

// countedStore counts the calls, and bounds each in time.
type countedStore struct {
	store    mtstore.Store
	counters *Counters
}

func (s countedStore) get(ctx context.Context, name string) (mtstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.StoreReads.Add(1)
	return s.store.Get(ctx, name)
}

func (s countedStore) swap(ctx context.Context, name string, expected mtid.Version, value []byte) (mtid.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.counters.StoreWrites.Add(1)
	version, err := s.store.Swap(ctx, name, expected, value, "")
	switch outcomeOf(err) {
	case lost:
		s.counters.StoreConflicts.Add(1)
	case doubtful:
		s.counters.StoreUnknown.Add(1)
	}
	return version, err
}
