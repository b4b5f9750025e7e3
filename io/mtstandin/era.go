package mtstandin

import (
	"bytes"
	"maps"
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// Copy is the content of a RevisionStore at one moment.
type Copy struct {
	revision uint64
	granted  uint64
	items    map[string]item
	deleted  map[string]uint64
	leases   map[mtstore.LeaseID]leaseState
}

// Copy returns a copy of the store to which StepBack can return.
func (s *RevisionStore) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copyLocked()
}

func (s *RevisionStore) copyLocked() *Copy {
	return &Copy{
		revision: s.revision, granted: s.granted,
		items: maps.Clone(s.items), deleted: maps.Clone(s.deleted), leases: maps.Clone(s.leases),
	}
}

// Era returns how often the store has stepped back.
func (s *RevisionStore) Era() mtid.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// StepBack makes the store return to a copy: whatever was written since is lost, leases too, and
// revisions and names of leases are given out again. A lease that the copy has and the store no
// longer had is in force for its whole duration again. The returned function writes again what
// another writer had written or deleted under a prefix by then.
func (s *RevisionStore) StepBack(to *Copy) (rewrite func(prefix string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.copyLocked()
	s.era++
	s.revision, s.granted = to.revision, to.granted
	s.items, s.deleted = maps.Clone(to.items), maps.Clone(to.deleted)
	s.leases = make(map[mtstore.LeaseID]leaseState, len(to.leases))
	for id, l := range to.leases {
		if current, ok := lost.leases[id]; ok {
			l.until = current.until
		} else {
			l.until = s.clock().Add(l.ttl)
		}
		s.leases[id] = l
	}
	s.compacted = min(s.compacted, s.revision)
	s.notifyWatchers()
	return func(prefix string) { s.rewrite(prefix, lost) }
}

// rewrite makes the names under a prefix what they were in a copy, by new writes.
func (s *RevisionStore) rewrite(prefix string, wanted *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, i := range wanted.items {
		if strings.HasPrefix(name, prefix) && !bytes.Equal(s.items[name].value, i.value) {
			s.put(name, i.value, "")
		}
	}
	for name := range s.items {
		if _, ok := wanted.items[name]; strings.HasPrefix(name, prefix) && !ok {
			s.remove(name)
		}
	}
	s.notifyWatchers()
}

// Revision returns the number of the store's revision in the copy.
func (c *Copy) Revision() uint64 { return c.revision }
