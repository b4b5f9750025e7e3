// Package mtmember makes a process a member of the fleet. One goroutine maintains
// the daemon's own record (registration, witnesses, offers, state), one detects
// lost daemons, and a few workers take over the shards that those owned.
//
// # Usage
//
//	member, cleanUp, err := mtmember.New(mtmember.Config{...})
//	defer cleanUp()
//	member.SetOffers(offers)
//	member.SetState(mtroster.Leaving)
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

// View provides the live state. The values it returns are shared and must not be
// modified.
type View interface {
	Roster() []*mtroster.Record
	Record(mtid.Daemon) (*mtroster.Record, mtid.Version, bool)
	Tables() []*mtshard.Table
}

// Lease renews this daemon's lease and answers as a witness. It is implemented by
// *mtrenew.Renewer.
type Lease interface {
	Register(mtid.Holder, mtlease.Set)
	Propose(mtlease.Set) bool
	Ready() bool
	Until() mtclock.Instant
	Attempt() bool
	Settle(mtlease.Set)
	Withdraw()
	Close()
	Confirm(since mtclock.Instant)
	ConfirmedUntil() mtclock.Instant
	Defects() (mtlease.Defects, []mtid.Holder)
	PromiseExpired(mtid.Holder) bool
	Revoke(mtwitness.Request) mtwitness.Reply
}

// Clock provides the time. Now never runs slow, and Steady never runs ahead.
type Clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
	Wall() time.Time
}

// Config holds the identity, dependencies and callbacks of a Member.
type Config struct {
	Profile mtmember.Profile
	Store   mtstore.Store
	View    View
	Lease   Lease
	Clock   Clock
	// Dial returns a connection to the gRPC server of another daemon. The member
	// does not close it.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Registered is called after each registration; it may be nil.
	Registered func(mtid.Holder)
	// OnEntry is called with each value that the member wrote to or read from the
	// store, so that the live state is updated before a watch reports the value;
	// it may be nil.
	OnEntry func(mtstore.Entry)
	// Load returns the total load of a holder's shards, in any unit: the lost
	// daemon with the highest load is taken over first. It may be nil.
	Load func(mtid.Holder) float64
	Log  *slog.Logger
}

// Counters count the actions of a member. Store reads and writes include calls
// that failed.
type Counters struct {
	StoreReads     expvar.Int
	StoreWrites    expvar.Int
	StoreConflicts expvar.Int
	StoreUnknown   expvar.Int
	Registrations  expvar.Int
	SetChanges     expvar.Int
	Takeovers      expvar.Int // revoked records that this daemon wrote
	Failovers      expvar.Int // chunks that this daemon failed over
	Suspicions     expvar.Int // takeovers that this daemon started
}

const (
	recordInterval  = 100 * time.Millisecond
	watchInterval   = 50 * time.Millisecond
	callTimeout     = 2 * time.Second
	revokeTimeout   = 300 * time.Millisecond
	takeoverWorkers = 4
	jobQueueSize    = 1024
)

// Member registers one daemon in the fleet and takes over lost ones.
type Member struct {
	config   Config
	counters Counters
	store    countedStore
	holder   atomic.Pointer[mtid.Holder]
	ctx      context.Context

	mu     sync.Mutex
	offers []mtroster.Offer
	state  mtroster.State

	jobs       *mtring.Ring[job]
	inProgress sync.Map // mtid.Holder -> struct{}: running takeovers; the zero Holder means a failover
	fenced     sync.Map // mtid.Daemon -> *mtroster.Record: revoked by this process
}

// New starts the goroutines of a member. Registration is retried in the background
// until it succeeds. The clean-up stops the goroutines; it does not deregister the
// daemon.
func New(config Config) (*Member, func()) {
	if config.Log == nil {
		config.Log = slog.Default()
	}
	stop, cancel := context.WithCancel(context.Background())
	m := &Member{config: config, ctx: stop, jobs: mtring.New[job](jobQueueSize)}
	m.store = countedStore{store: config.Store, counters: &m.counters}
	m.holder.Store(&mtid.Holder{})
	var workers sync.WaitGroup
	workers.Go(func() { newRegistrar(m).run() })
	workers.Go(func() { newWatcher(m).run() })
	for range takeoverWorkers {
		workers.Go(func() { m.runJobs() })
	}
	return m, func() {
		cancel()
		workers.Wait()
	}
}

// Holder returns the incarnation under which this daemon is registered. It is zero
// before registration, and after a takeover until it has registered again.
func (m *Member) Holder() mtid.Holder { return *m.holder.Load() }

// Counters returns the live counters of the member.
func (m *Member) Counters() *Counters { return &m.counters }

// Vars returns the counters as an expvar map, to be published as metrics.
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

// SetOffers sets the backend servers that the record lists. It does not wait: the
// record is written in the background, and retried until the store accepts it.
func (m *Member) SetOffers(offers []mtroster.Offer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offers = offers
}

// SetState sets the state that the record publishes. With mtroster.Gone the lease is
// closed permanently before the record is written, since that record proves to
// other daemons that this incarnation no longer serves.
func (m *Member) SetState(state mtroster.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// desired returns the offers and the state that the record should publish.
func (m *Member) desired() ([]mtroster.Offer, mtroster.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.offers, m.state
}

// sleep waits for d. It returns false if the member stops first.
func (m *Member) sleep(d time.Duration) bool { return mtduty.Sleep(m.ctx, d) }

// reportEntry passes a value from the store to the live state.
func (m *Member) reportEntry(name string, version mtid.Version, value []byte) {
	if m.config.OnEntry != nil {
		m.config.OnEntry(mtstore.Entry{Name: name, Version: version, Value: value})
	}
}

// countedStore counts store calls and sets a timeout on each.
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
	case conflicted:
		s.counters.StoreConflicts.Add(1)
	case unknown:
		s.counters.StoreUnknown.Add(1)
	}
	return version, err
}
