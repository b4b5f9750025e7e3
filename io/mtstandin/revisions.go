package mtstandin

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// RevisionStore is an in-memory store with conditional writes, for tests. Versions
// are revisions of the whole store, and Compact discards the history. Leases that
// are over by the clock are ended at the next call.
//
// It is safe for concurrent use.
type RevisionStore struct {
	clock func() time.Time

	mu                    sync.Mutex
	era                   mtid.Era
	revision              uint64
	items                 map[string]item
	deleted               map[string]uint64 // revision of the deletion, by name
	leases                map[mtstore.LeaseID]leaseState
	granted               uint64
	compacted             uint64 // the history up to this revision is discarded
	watchEventsSuppressed bool
	failBefore            func(op, name string) error
	failAfter             func(op, name string) error
	changed               chan struct{}
}

type item struct {
	value    []byte
	revision uint64
	lease    mtstore.LeaseID
}

type leaseState struct {
	ttl   time.Duration
	until time.Time
}

// NewRevisionStore returns an empty store whose leases end by the given clock.
func NewRevisionStore(clock func() time.Time) *RevisionStore {
	return &RevisionStore{
		clock: clock, revision: 1, items: make(map[string]item), deleted: make(map[string]uint64),
		leases: make(map[mtstore.LeaseID]leaseState), changed: make(chan struct{}),
	}
}

// Fail makes calls fail, before they have any effect, with the error that f returns
// if it is not nil. A nil f makes calls succeed again.
func (s *RevisionStore) Fail(f func(op, name string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failBefore = f
	s.notifyWatchers()
}

// Failing reports whether Fail makes calls fail now, for servers that put a network
// protocol in front of the store.
func (s *RevisionStore) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure("any", "") != nil
}

// LoseReplies makes swaps fail, after they have taken effect, with the error that f
// returns if it is not nil, as when the reply is lost. A nil f ends it.
func (s *RevisionStore) LoseReplies(f func(op, name string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAfter = f
}

// SuppressWatchEvents makes watches that continue from a revision report no changes
// while suppressed is true. Watches that start with a full read still return it.
func (s *RevisionStore) SuppressWatchEvents(suppressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchEventsSuppressed = suppressed
	s.notifyWatchers()
}

// Compact discards the history: watches from an earlier revision fail.
func (s *RevisionStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.notifyWatchers()
}

// Put writes a name unconditionally, as an operator may.
func (s *RevisionStore) Put(name string, value []byte) mtid.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionOf(s.put(name, value, ""))
}

// Delete removes a name unconditionally, as another writer may. The lease it was
// written under continues.
func (s *RevisionStore) Delete(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(name)
	s.notifyWatchers()
}

// Get implements mtstore.Store.
func (s *RevisionStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if err := s.failure("get", name); err != nil {
		return mtstore.Entry{}, err
	}
	i, ok := s.items[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return s.entry(name, i), nil
}

// LeaseOf returns whether an entry that was read has a lease, or LeaseUnknown if it has changed since.
func (s *RevisionStore) LeaseOf(e mtstore.Entry) mtstore.LeaseShown {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[e.Name]
	switch {
	case !ok || s.versionOf(i.revision) != e.Version:
		return mtstore.LeaseUnknown
	case i.lease == "":
		return mtstore.Unleased
	}
	return mtstore.Leased
}

// LeaseIDOf returns the lease of an entry that was read, or an empty one if it has none or has changed since.
func (s *RevisionStore) LeaseIDOf(e mtstore.Entry) mtstore.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[e.Name]; ok && s.versionOf(i.revision) == e.Version {
		return i.lease
	}
	return ""
}

// Swap implements mtstore.Store.
func (s *RevisionStore) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	return s.SwapIf(ctx, nil, name, expected, value, lease)
}

// SwapIf implements mtstore.ConditionalStore.
func (s *RevisionStore) SwapIf(ctx context.Context, conditions []mtstore.Condition, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	all := append([]mtstore.Condition{{Name: name, Version: expected}}, conditions...)
	return s.Commit(ctx, all, mtstore.Put{Name: name, Value: value, Lease: lease})
}

// Commit implements mtstore.ConditionalStore.
func (s *RevisionStore) Commit(_ context.Context, conditions []mtstore.Condition, puts ...mtstore.Put) (mtid.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(conditions)+len(puts) > mtstore.MaxEntries {
		return 0, &mtstore.RejectedError{Op: "swap", Reason: "too many entries"}
	}
	for _, p := range puts {
		if err := s.failure("swap", p.Name); err != nil {
			return 0, err
		}
		if _, ok := s.leases[p.Lease]; p.Lease != "" && !ok {
			return 0, &mtstore.LeaseExpiredError{Lease: p.Lease}
		}
	}
	for _, c := range conditions {
		if now := s.items[c.Name]; s.versionOf(now.revision) != c.Version {
			conflict := &mtstore.ConflictError{Name: c.Name, Expected: c.Version}
			if now.revision != 0 {
				conflict.Current = s.entry(c.Name, now)
			}
			return 0, conflict
		}
	}
	s.revision++
	for _, p := range puts {
		s.set(p.Name, p.Value, p.Lease)
	}
	version := s.versionOf(s.revision)
	if s.failAfter == nil {
		return version, nil
	}
	for _, p := range puts {
		if err := s.failAfter("swap", p.Name); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// Watch implements mtstore.Store.
func (s *RevisionStore) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, changed, err := s.changesAfter(prefix, after)
		if err != nil || after == 0 || len(changes.Entries) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

// changesAfter returns the changes under the prefix after a revision, and a channel
// that is closed at the next change.
func (s *RevisionStore) changesAfter(prefix string, known mtid.Revision) (mtstore.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if err := s.failure("watch", prefix); err != nil {
		return mtstore.Changes{}, nil, err
	}
	after := known.Number()
	if after != 0 && (after < s.compacted || known.Era() != s.era) || after > s.revision {
		return mtstore.Changes{}, nil, &mtstore.CompactedError{After: known}
	}
	if s.watchEventsSuppressed && after != 0 {
		return mtstore.Changes{Revision: known}, s.changed, nil
	}
	changes := mtstore.Changes{Revision: mtid.RevisionOf(s.era, s.revision)}
	for name, i := range s.items {
		if strings.HasPrefix(name, prefix) && i.revision > after {
			changes.Entries = append(changes.Entries, s.entry(name, i))
		}
	}
	for name, revision := range s.deleted {
		if strings.HasPrefix(name, prefix) && revision > after && after != 0 {
			changes.Entries = append(changes.Entries, mtstore.Entry{Name: name, Revision: mtid.RevisionOf(s.era, revision)})
		}
	}
	slices.SortFunc(changes.Entries, func(a, b mtstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, s.changed, nil
}

// Grant implements mtstore.Store.
func (s *RevisionStore) Grant(_ context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if err := s.failure("grant", ""); err != nil {
		return "", err
	}
	s.granted++
	id := mtstore.LeaseID(strconv.FormatUint(s.granted, 10))
	s.leases[id] = leaseState{ttl: ttl, until: s.clock().Add(ttl)}
	return id, nil
}

// Renew implements mtstore.Store.
func (s *RevisionStore) Renew(_ context.Context, lease mtstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if err := s.failure("renew", string(lease)); err != nil {
		return err
	}
	l, ok := s.leases[lease]
	if !ok {
		return &mtstore.LeaseExpiredError{Lease: lease}
	}
	l.until = s.clock().Add(l.ttl)
	s.leases[lease] = l
	return nil
}

// End implements mtstore.ConditionalStore.
func (s *RevisionStore) End(_ context.Context, lease mtstore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failure("end", string(lease)); err != nil {
		return err
	}
	s.endLease(lease)
	return nil
}

// EndLeases ends all leases at once, as an outage of the store may.
func (s *RevisionStore) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// ExpireLeases ends the leases that are over by the clock and notifies waiting
// watchers.
func (s *RevisionStore) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *RevisionStore) failure(op, name string) error {
	if s.failBefore == nil {
		return nil
	}
	return s.failBefore(op, name)
}

func (s *RevisionStore) put(name string, value []byte, lease mtstore.LeaseID) uint64 {
	s.revision++
	s.set(name, value, lease)
	return s.revision
}

// set writes a name at the current revision.
func (s *RevisionStore) set(name string, value []byte, lease mtstore.LeaseID) {
	s.items[name] = item{value: slices.Clone(value), revision: s.revision, lease: lease}
	delete(s.deleted, name)
	s.notifyWatchers()
}

func (s *RevisionStore) expire() {
	now := s.clock()
	for id, l := range s.leases {
		if !now.Before(l.until) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes all entries written under it.
func (s *RevisionStore) endLease(lease mtstore.LeaseID) {
	delete(s.leases, lease)
	for name, i := range s.items {
		if i.lease == lease {
			s.remove(name)
		}
	}
	s.notifyWatchers()
}

func (s *RevisionStore) remove(name string) {
	s.revision++
	delete(s.items, name)
	s.deleted[name] = s.revision
}

func (s *RevisionStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *RevisionStore) entry(name string, i item) mtstore.Entry {
	return mtstore.Entry{Name: name, Value: slices.Clone(i.value), Version: s.versionOf(i.revision), Revision: mtid.RevisionOf(s.era, i.revision)}
}

func (s *RevisionStore) versionOf(revision uint64) mtid.Version {
	return mtid.VersionOf(s.era, revision)
}

var _ mtstore.ConditionalStore = (*RevisionStore)(nil)
