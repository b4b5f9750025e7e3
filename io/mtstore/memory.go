package mtstore

import (
	"bytes"
	"cmp"
	"context"
	"expvar"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtduty"
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

	mu       sync.Mutex
	items    map[string]*item
	revision mtid.Revision
	leases   map[mtstore.LeaseID]*lease
	grants   uint64
	late     []lateWrite
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	changed  chan struct{} // closed and replaced at each change
}

// item is the state of a name that has, or had, a value.
type item struct {
	entry mtstore.Entry
	// lastVersion is retained after a deletion, so that versions are unique across
	// deletions and re-creations of a name. Otherwise a late write that expects a
	// version from before a deletion could succeed afterwards.
	lastVersion mtid.Version
	lease       mtstore.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type write struct {
	name     string
	expected mtid.Version
	value    []byte
	lease    mtstore.LeaseID
}

type lateWrite struct {
	write write
	due   time.Time
}

// callFaults are the faults that apply to one call.
type callFaults struct {
	slow       time.Duration
	hang       bool
	loseAnswer bool
	dropped    bool
	late       time.Duration
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

// Watch implements the Store interface of core/mtstore.
func (m *Memory) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	m.counts.call(opWatch)
	m.counts.watching.Add(1)
	defer m.counts.watching.Add(-1)
	changes, err := m.watch(ctx, prefix, after, wait)
	if err != nil {
		m.counts.fail(err)
	}
	return changes, err
}

func (m *Memory) watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if err := checkWait(wait); err != nil {
		return mtstore.Changes{}, err
	}
	if err := m.admitRead(ctx, opWatch); err != nil {
		return mtstore.Changes{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for last := false; ; {
		snap, err := m.snapshot(prefix, after)
		if err != nil {
			return mtstore.Changes{}, err
		}
		if last || after == 0 || len(snap.changes.Entries) > 0 {
			return m.report(ctx, snap)
		}
		due := time.NewTimer(snap.due)
		select {
		case <-snap.changed:
		case <-due.C:
		case <-end.C:
			last = true
		case <-ctx.Done():
			due.Stop()
			return mtstore.Changes{}, &mtstore.UnavailableError{Op: opWatch, Err: ctx.Err()}
		}
		due.Stop()
	}
}

// watchSnapshot is the state that a watch has read.
type watchSnapshot struct {
	changes mtstore.Changes
	changed <-chan struct{}
	due     time.Duration // until a lease expires or a late write is applied
	delay   time.Duration
}

func (m *Memory) snapshot(prefix string, after mtid.Revision) (watchSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.applyDue(now)
	if m.faults.Down {
		return watchSnapshot{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldDown}}
	}
	if m.faults.CutWatches {
		return watchSnapshot{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldCutWatches}}
	}
	return watchSnapshot{
		changes: m.changesAfter(prefix, after),
		changed: m.changed,
		due:     m.nextDue(now),
		delay:   m.faults.LateWatches,
	}, nil
}

// report returns the result of a watch, after the delay of LateWatches.
func (m *Memory) report(ctx context.Context, snap watchSnapshot) (mtstore.Changes, error) {
	if err := pause(ctx, snap.delay); err != nil {
		return mtstore.Changes{}, &mtstore.UnavailableError{Op: opWatch, Err: err}
	}
	return snap.changes, nil
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

// admitLeaseCall applies the faults to a lease call and reports whether its response
// must be lost. Late and dropped calls have no effect.
func (m *Memory) admitLeaseCall(ctx context.Context, op, name string) (bool, error) {
	faults, err := m.admit(ctx, op, name, m.clock())
	if err != nil {
		return false, err
	}
	if faults.dropped || faults.late > 0 {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldDropWrites}}
	}
	if faults.hang {
		<-ctx.Done()
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: ctx.Err()}
	}
	if err := pause(ctx, faults.slow); err != nil {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: err}
	}
	return faults.loseAnswer, nil
}

// leaseResult returns nil, or the error for a lost response.
func (m *Memory) leaseResult(op, name string, loseAnswer bool) error {
	if !loseAnswer {
		return nil
	}
	err := &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldLoseAnswers}}
	m.counts.fail(err)
	return err
}

// admitRead applies the faults to a call without effect. It fails only with an
// *UnavailableError, since nothing was written.
func (m *Memory) admitRead(ctx context.Context, op string) error {
	faults, err := m.admit(ctx, op, "", m.clock())
	if err != nil {
		return err
	}
	if faults.hang {
		<-ctx.Done()
		return &mtstore.UnavailableError{Op: op, Err: ctx.Err()}
	}
	if err := pause(ctx, faults.slow); err != nil {
		return &mtstore.UnavailableError{Op: op, Err: err}
	}
	return nil
}

// admit determines the faults that apply to a call at now. If it rejects the call, it
// fails with an *UnavailableError, and the call never has an effect.
func (m *Memory) admit(ctx context.Context, op, name string, now time.Time) (callFaults, error) {
	reject := func(err error) (callFaults, error) { return callFaults{}, &mtstore.UnavailableError{Op: op, Err: err} }
	if err := ctx.Err(); err != nil {
		return reject(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return reject(&FaultError{Fault: fieldDown})
	}
	isRead := op == opGet || op == opWatch
	limit, field := m.writes, fieldWriteRate
	if isRead {
		limit, field = m.reads, fieldReadRate
	}
	if limit != nil && !limit.AllowN(now, 1) {
		return reject(&FaultError{Fault: field})
	}
	faults := callFaults{slow: m.faults.Slow, hang: m.faults.Hang}
	if !isRead && m.faults.affectsWrite(name) {
		faults.loseAnswer, faults.dropped, faults.late = m.faults.LoseAnswers, m.faults.DropWrites, m.faults.LateWrites
		m.faults.countWrite()
	}
	return faults, nil
}

// scheduleWrite stores a write that is applied later.
func (m *Memory) scheduleWrite(w write, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, _ := slices.BinarySearchFunc(m.late, due, func(l lateWrite, due time.Time) int {
		if l.due.After(due) {
			return 1
		}
		return -1
	})
	m.late = slices.Insert(m.late, at, lateWrite{write: w, due: due})
	m.notifyWatches()
}

// applyDue expires leases and applies late writes that are due.
func (m *Memory) applyDue(now time.Time) {
	for id, l := range m.leases {
		if !l.expires.After(now) {
			m.endLease(id)
		}
	}
	for len(m.late) > 0 && !m.late[0].due.After(now) {
		w := m.late[0].write
		m.late = m.late[1:]
		_, _ = m.apply(w)
	}
}

// nextDue returns the time until applyDue has something to do.
func (m *Memory) nextDue(now time.Time) time.Duration {
	next := MaxWait
	for _, l := range m.leases {
		next = min(next, l.expires.Sub(now))
	}
	if len(m.late) > 0 {
		next = min(next, m.late[0].due.Sub(now))
	}
	return max(next, time.Millisecond)
}

// apply attempts a write. It fails with a *ConflictError or a *LeaseExpiredError.
func (m *Memory) apply(w write) (mtid.Version, error) {
	current, _ := m.lookup(w.name)
	if current.Version != w.expected {
		return 0, &mtstore.ConflictError{Name: w.name, Expected: w.expected, Current: current}
	}
	if w.lease != "" && m.leases[w.lease] == nil {
		return 0, &mtstore.LeaseExpiredError{Lease: w.lease}
	}
	it := m.items[w.name]
	if it == nil {
		it = &item{}
		m.items[w.name] = it
	}
	it.lastVersion++
	it.lease = w.lease
	m.revision++
	it.entry = mtstore.Entry{Name: w.name, Value: w.value, Version: it.lastVersion, Revision: m.revision}
	m.notifyWatches()
	return it.lastVersion, nil
}

// endLease removes a lease and deletes everything that was written under it.
func (m *Memory) endLease(id mtstore.LeaseID) {
	delete(m.leases, id)
	for name, it := range m.items {
		if it.lease != id {
			continue
		}
		m.revision++
		it.lease = ""
		it.entry = mtstore.Entry{Name: name, Revision: m.revision}
	}
	m.notifyWatches()
}

// lookup returns a copy of the entry, and whether it exists.
func (m *Memory) lookup(name string) (mtstore.Entry, bool) {
	it := m.items[name]
	if it == nil || it.entry.Version == 0 {
		return mtstore.Entry{}, false
	}
	entry := it.entry
	entry.Value = bytes.Clone(entry.Value)
	return entry, true
}

// changesAfter returns the changes after a revision, truncated at the size limit.
func (m *Memory) changesAfter(prefix string, after mtid.Revision) mtstore.Changes {
	var entries []mtstore.Entry
	for name, it := range m.items {
		deleted := it.entry.Version == 0
		if it.entry.Revision <= after || !strings.HasPrefix(name, prefix) || (deleted && after == 0) {
			continue
		}
		entry := it.entry
		entry.Value = bytes.Clone(entry.Value)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b mtstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	size := 0
	for i, entry := range entries {
		size += len(entry.Name) + len(entry.Value)
		if i > 0 && size > mtstore.MaxValue {
			return mtstore.Changes{Entries: entries[:i], Revision: entries[i-1].Revision, More: true}
		}
	}
	return mtstore.Changes{Entries: entries, Revision: max(m.revision, after)}
}

// notifyWatches makes waiting watches read the state again.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// FaultError reports that a call failed because of a fault that was switched on.
type FaultError struct{ Fault string }

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// limiter returns a rate limiter, or nil for no limit. The burst is a tenth of the
// calls per second.
func limiter(perSecond float64) *rate.Limiter {
	const burstPart = 10
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstPart)))
}

// pause waits for d, or returns the error of the context.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !mtduty.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
