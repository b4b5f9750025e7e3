package mtstore

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// firstRevision is the revision of an empty store. It is not zero, because a watch
// after revision zero returns immediately, so a watcher of an empty store would never
// wait.
const firstRevision = 1

// Memory is an in-memory store with faults that can be switched on. It implements the
// Store interface of core/mtstore and is safe for concurrent use. Expired leases and
// late writes take effect at the first call after they are due by the clock, or when
// they are due if a watch is waiting.
type Memory struct {
	clock  func() time.Time
	counts counts

	mu       sync.Mutex // guards the fields below
	items    map[string]*item
	revision mtid.Revision
	leases   map[mtstore.LeaseID]*lease
	grants   uint64
	late     []lateWrite // by due time
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	changed  chan struct{} // closed and replaced at each change
}

// NewMemory returns an empty store whose leases, late writes and rates use the given
// clock. Delays and the waits of watches use real time.
func NewMemory(clock func() time.Time) *Memory {
	return &Memory{
		clock:    clock,
		counts:   newCounts(),
		items:    make(map[string]*item),
		revision: firstRevision,
		leases:   make(map[mtstore.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// Vars returns the counters: calls by kind, failures by kind, and "watching", the
// number of watches that are currently waiting.
func (m *Memory) Vars() *expvar.Map { return m.counts.vars }

// Faults returns the faults that are switched on.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the faults. They apply immediately to waiting watches; other
// calls in progress keep the faults that applied when they started.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.writes = limiter(f.WriteRate)
	m.reads = limiter(f.ReadRate)
	m.notifyWatches()
}

// ExpireLeases expires all leases immediately.
func (m *Memory) ExpireLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// ApplyLateWrites attempts to apply the pending late writes, in the order of their due
// times, and returns their number.
func (m *Memory) ApplyLateWrites() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.late
	m.late = nil
	for _, w := range due {
		_, _ = m.apply(w.write)
	}
	return len(due)
}

// Get implements the Store interface of core/mtstore.
func (m *Memory) Get(ctx context.Context, name string) (mtstore.Entry, error) {
	m.counts.call(opGet)
	entry, err := m.get(ctx, name)
	if err != nil {
		m.counts.fail(err)
	}
	return entry, err
}

func (m *Memory) get(ctx context.Context, name string) (mtstore.Entry, error) {
	if err := checkName(opGet, name); err != nil {
		return mtstore.Entry{}, err
	}
	if err := m.admitRead(ctx, opGet); err != nil {
		return mtstore.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(m.clock())
	entry, ok := m.lookup(name)
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

// Swap implements the Store interface of core/mtstore.
func (m *Memory) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	m.counts.call(opSwap)
	version, err := m.swap(ctx, write{name: name, expected: expected, value: bytes.Clone(value), lease: lease})
	if err != nil {
		m.counts.fail(err)
	}
	return version, err
}

func (m *Memory) swap(ctx context.Context, w write) (mtid.Version, error) {
	if err := checkName(opSwap, w.name); err != nil {
		return 0, err
	}
	if err := checkValue(opSwap, w.value); err != nil {
		return 0, err
	}
	now := m.clock()
	faults, err := m.admit(ctx, opSwap, w.name, now)
	if err != nil {
		return 0, err
	}
	unknown := func(err error) error { return &mtstore.UnknownError{Op: opSwap, Name: w.name, Err: err} }
	switch {
	case faults.dropped:
		return 0, unknown(&FaultError{Fault: fieldDropWrites})
	case faults.late > 0:
		m.scheduleWrite(w, now.Add(faults.late))
		return 0, unknown(&FaultError{Fault: fieldLateWrites})
	case faults.hang:
		<-ctx.Done()
		return 0, unknown(ctx.Err())
	}
	if err := pause(ctx, faults.slow); err != nil {
		m.scheduleWrite(w, now.Add(faults.slow))
		return 0, unknown(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(m.clock())
	version, err := m.apply(w)
	if faults.loseAnswer {
		return 0, unknown(&FaultError{Fault: fieldLoseAnswers})
	}
	return version, err
}

// Grant implements the Store interface of core/mtstore.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	m.counts.call(opGrant)
	if err := checkTTL(ttl); err != nil {
		return "", err
	}
	loseAnswer, err := m.admitLeaseCall(ctx, opGrant, "")
	if err != nil {
		m.counts.fail(err)
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grants++
	id := mtstore.LeaseID(fmt.Sprintf("lease-%d", m.grants))
	m.leases[id] = &lease{ttl: ttl, expires: m.clock().Add(ttl)}
	m.notifyWatches()
	return id, m.leaseResult(opGrant, string(id), loseAnswer)
}

// Renew implements the Store interface of core/mtstore.
func (m *Memory) Renew(ctx context.Context, id mtstore.LeaseID) error {
	m.counts.call(opRenew)
	loseAnswer, err := m.admitLeaseCall(ctx, opRenew, string(id))
	if err != nil {
		m.counts.fail(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.applyDue(now)
	l, ok := m.leases[id]
	if !ok {
		return &mtstore.LeaseExpiredError{Lease: id}
	}
	l.expires = now.Add(l.ttl)
	return m.leaseResult(opRenew, string(id), loseAnswer)
}
