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

// firstRevision is the revision of an empty store. It is not zero, since a
// watch from revision zero answers at once: a watcher of an empty store would
// never wait.
const firstRevision = 1

// Memory is a store in the memory of one process, with switchable faults. It
// implements the Store of core/mtstore and is safe for concurrent use. Lapsed
// leases and late writes take effect when their time has come by the clock and
// the next call, or a watch that waits, looks.
type Memory struct {
	clock  func() time.Time
	counts counts

	mu       sync.Mutex
	items    map[string]*item
	revision mtid.Revision
	leases   map[mtstore.LeaseID]*lease
	granted  uint64
	late     []lateWrite
	faults   Faults
	writes   *rate.Limiter
	reads    *rate.Limiter
	changed  chan struct{} // closed and replaced with each change
}

// item is a name that has, or had, a value.
type item struct {
	entry mtstore.Entry
	// count outlives a deletion, so that no two lives of a name share a
	// version: a late write that expects a version of the former life would
	// else succeed on the next.
	count mtid.Version
	lease mtstore.LeaseID
}

type lease struct {
	ttl   time.Duration
	until time.Time
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

// fate is what the faults hold for one call.
type fate struct {
	slow time.Duration
	hang bool
	lose bool
	drop bool
	late time.Duration
}

// NewMemory returns an empty store whose leases, late writes and rates go by
// the clock. Delays and the waits of watches take real time.
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

// Vars returns the counters: calls by kind, failures by kind, and "watching",
// the number of watches that wait now.
func (m *Memory) Vars() *expvar.Map { return m.counts.vars }

// Faults returns the faults that are switched on.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces the faults. Watches that wait notice at once; other calls
// that are under way keep the fate that they met.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.writes = limiter(f.WriteRate)
	m.reads = limiter(f.ReadRate)
	m.wake()
}

// Lapse ends every lease now, as though its time had run out.
func (m *Memory) Lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.end(id)
	}
}

// Settle attempts the late writes that are under way now, in the order of
// their time, and returns how many there were.
func (m *Memory) Settle() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.late
	m.late = nil
	for _, w := range due {
		_, _ = m.apply(w.write)
	}
	return len(due)
}

// Get implements the Store of core/mtstore.
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
	if err := m.read(ctx, opGet); err != nil {
		return mtstore.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(m.clock())
	entry, ok := m.present(name)
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

// Swap implements the Store of core/mtstore.
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
	met, err := m.enter(ctx, opSwap, w.name, now)
	if err != nil {
		return 0, err
	}
	unknown := func(err error) error { return &mtstore.UnknownError{Op: opSwap, Name: w.name, Err: err} }
	switch {
	case met.drop:
		return 0, unknown(&FaultError{Fault: fieldDropWrites})
	case met.late > 0:
		m.postpone(w, now.Add(met.late))
		return 0, unknown(&FaultError{Fault: fieldLateWrites})
	case met.hang:
		<-ctx.Done()
		return 0, unknown(ctx.Err())
	}
	if err := pause(ctx, met.slow); err != nil {
		m.postpone(w, now.Add(met.slow))
		return 0, unknown(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(m.clock())
	version, err := m.apply(w)
	if met.lose {
		return 0, unknown(&FaultError{Fault: fieldLoseAnswers})
	}
	return version, err
}

// Watch implements the Store of core/mtstore.
func (m *Memory) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	m.counts.call(opWatch)
	m.counts.waiting.Add(1)
	defer m.counts.waiting.Add(-1)
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
	if err := m.read(ctx, opWatch); err != nil {
		return mtstore.Changes{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for last := false; ; {
		seen, err := m.look(prefix, after)
		if err != nil {
			return mtstore.Changes{}, err
		}
		if last || after == 0 || len(seen.changes.Entries) > 0 {
			return m.report(ctx, seen)
		}
		due := time.NewTimer(seen.due)
		select {
		case <-seen.changed:
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

// sight is what a watch sees when it looks.
type sight struct {
	changes mtstore.Changes
	changed <-chan struct{}
	due     time.Duration // until a lease lapses or a late write lands
	late    time.Duration
}

func (m *Memory) look(prefix string, after mtid.Revision) (sight, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sweep(now)
	if m.faults.Down {
		return sight{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldDown}}
	}
	if m.faults.CutWatches {
		return sight{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldCutWatches}}
	}
	return sight{
		changes: m.collect(prefix, after),
		changed: m.changed,
		due:     m.nextDue(now),
		late:    m.faults.LateWatches,
	}, nil
}

// report returns what a watch saw, held back if reports are late.
func (m *Memory) report(ctx context.Context, seen sight) (mtstore.Changes, error) {
	if err := pause(ctx, seen.late); err != nil {
		return mtstore.Changes{}, &mtstore.UnavailableError{Op: opWatch, Err: err}
	}
	return seen.changes, nil
}

// Grant implements the Store of core/mtstore.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	m.counts.call(opGrant)
	if err := checkTTL(ttl); err != nil {
		return "", err
	}
	lose, err := m.leaseCall(ctx, opGrant, "")
	if err != nil {
		m.counts.fail(err)
		return "", err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.granted++
	id := mtstore.LeaseID(fmt.Sprintf("lease-%d", m.granted))
	m.leases[id] = &lease{ttl: ttl, until: m.clock().Add(ttl)}
	m.wake()
	return id, m.answer(opGrant, string(id), lose)
}

// Renew implements the Store of core/mtstore.
func (m *Memory) Renew(ctx context.Context, id mtstore.LeaseID) error {
	m.counts.call(opRenew)
	lose, err := m.leaseCall(ctx, opRenew, string(id))
	if err != nil {
		m.counts.fail(err)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.sweep(now)
	held, ok := m.leases[id]
	if !ok {
		return &mtstore.LeaseExpiredError{Lease: id}
	}
	held.until = now.Add(held.ttl)
	return m.answer(opRenew, string(id), lose)
}

// leaseCall lets a call for a lease meet the faults, and says whether its
// answer is to be lost. Late and dropped calls have no effect.
func (m *Memory) leaseCall(ctx context.Context, op, name string) (bool, error) {
	met, err := m.enter(ctx, op, name, m.clock())
	if err != nil {
		return false, err
	}
	if met.drop || met.late > 0 {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldDropWrites}}
	}
	if met.hang {
		<-ctx.Done()
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: ctx.Err()}
	}
	if err := pause(ctx, met.slow); err != nil {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: err}
	}
	return met.lose, nil
}

// answer returns nil, or the error of an answer that is lost.
func (m *Memory) answer(op, name string, lose bool) error {
	if !lose {
		return nil
	}
	err := &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldLoseAnswers}}
	m.counts.fail(err)
	return err
}

// read lets a call without effect meet the faults. It fails with an
// *UnavailableError only, since nothing was done.
func (m *Memory) read(ctx context.Context, op string) error {
	met, err := m.enter(ctx, op, "", m.clock())
	if err != nil {
		return err
	}
	if met.hang {
		<-ctx.Done()
		return &mtstore.UnavailableError{Op: op, Err: ctx.Err()}
	}
	if err := pause(ctx, met.slow); err != nil {
		return &mtstore.UnavailableError{Op: op, Err: err}
	}
	return nil
}

// enter decides the fate of one call at now. It fails with an
// *UnavailableError, and then the call has had no effect and never will.
func (m *Memory) enter(ctx context.Context, op, name string, now time.Time) (fate, error) {
	refuse := func(err error) (fate, error) { return fate{}, &mtstore.UnavailableError{Op: op, Err: err} }
	if err := ctx.Err(); err != nil {
		return refuse(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return refuse(&FaultError{Fault: fieldDown})
	}
	isRead := op == opGet || op == opWatch
	limit, field := m.writes, fieldWriteRate
	if isRead {
		limit, field = m.reads, fieldReadRate
	}
	if limit != nil && !limit.AllowN(now, 1) {
		return refuse(&FaultError{Fault: field})
	}
	met := fate{slow: m.faults.Slow, hang: m.faults.Hang}
	if !isRead && m.faults.strikes(name) {
		met.lose, met.drop, met.late = m.faults.LoseAnswers, m.faults.DropWrites, m.faults.LateWrites
		m.faults.spend()
	}
	return met, nil
}

// postpone keeps a write that lands later.
func (m *Memory) postpone(w write, due time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, _ := slices.BinarySearchFunc(m.late, due, func(l lateWrite, due time.Time) int {
		if l.due.After(due) {
			return 1
		}
		return -1
	})
	m.late = slices.Insert(m.late, at, lateWrite{write: w, due: due})
	m.wake()
}

// sweep lets everything happen whose time has come.
func (m *Memory) sweep(now time.Time) {
	for id, held := range m.leases {
		if !held.until.After(now) {
			m.end(id)
		}
	}
	for len(m.late) > 0 && !m.late[0].due.After(now) {
		w := m.late[0].write
		m.late = m.late[1:]
		_, _ = m.apply(w)
	}
}

// nextDue returns the time until sweep has something to do.
func (m *Memory) nextDue(now time.Time) time.Duration {
	next := MaxWait
	for _, held := range m.leases {
		next = min(next, held.until.Sub(now))
	}
	if len(m.late) > 0 {
		next = min(next, m.late[0].due.Sub(now))
	}
	return max(next, time.Millisecond)
}

// apply attempts a write. It fails with a *ConflictError or a *LapsedError.
func (m *Memory) apply(w write) (mtid.Version, error) {
	current, _ := m.present(w.name)
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
	it.count++
	it.lease = w.lease
	m.revision++
	it.entry = mtstore.Entry{Name: w.name, Value: w.value, Version: it.count, Revision: m.revision}
	m.wake()
	return it.count, nil
}

// end removes a lease with everything that was written under it.
func (m *Memory) end(id mtstore.LeaseID) {
	delete(m.leases, id)
	for name, it := range m.items {
		if it.lease != id {
			continue
		}
		m.revision++
		it.lease = ""
		it.entry = mtstore.Entry{Name: name, Revision: m.revision}
	}
	m.wake()
}

// present returns a copy of the entry, and whether it exists.
func (m *Memory) present(name string) (mtstore.Entry, bool) {
	it := m.items[name]
	if it == nil || it.entry.Version == 0 {
		return mtstore.Entry{}, false
	}
	entry := it.entry
	entry.Value = bytes.Clone(entry.Value)
	return entry, true
}

// collect returns the changes after a revision, cut at the size limit.
func (m *Memory) collect(prefix string, after mtid.Revision) mtstore.Changes {
	var entries []mtstore.Entry
	for name, it := range m.items {
		gone := it.entry.Version == 0
		if it.entry.Revision <= after || !strings.HasPrefix(name, prefix) || (gone && after == 0) {
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

// wake lets the watches that wait look again.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// FaultError says that a fault which was switched on struck a call.
type FaultError struct{ Fault string }

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// limiter returns nil for no limit. The burst is a tenth of a second's worth.
func limiter(perSecond float64) *rate.Limiter {
	const burstPart = 10
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstPart)))
}

// pause waits for d, or returns the context's error.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !mtduty.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
