package mtstore

import (
	"bytes"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

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

// lateWrite is a write whose caller was told that its outcome is unknown, and that is
// attempted when it is due.
type lateWrite struct {
	write write
	due   time.Time
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

// applyDue expires leases and applies late writes that are due. Like all that follows
// here, it is called with the lock held.
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
