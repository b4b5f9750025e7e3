// Package mtrange holds the assignment of a service with numbered keys: which
// incarnation of which backend server owns which range of keys, and under which
// epoch.
//
// Adjacent keys are busy at the same time, so ranges can be cut along the load,
// while hashing would only scatter it. An owner is an incarnation of a backend
// server, not of the daemon beside it: a daemon that restarts beside a running
// server continues with the same ranges and epochs, and no key changes owner.
//
// # Usage
//
//	table, err := mtrange.Spread(service, era, owners)
//	next, err := table.Move(low, high, to, warmup)
//	r, ok := next.Lookup(key)
//
// A Table is immutable: each change returns a new one, which takes effect once it
// has replaced its predecessor in the platform's store.
package mtrange

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaturn/core/mtid"
)

// Owner identifies an incarnation of a backend server and the daemon beside it.
type Owner struct {
	Daemon      mtid.Daemon
	Incarnation mtid.ServerIncarnation
}

// IsZero reports whether o names no server.
func (o Owner) IsZero() bool { return o == Owner{} }

// Compare orders owners by daemon, then by incarnation of the server.
func (o Owner) Compare(other Owner) int {
	return cmp.Or(cmp.Compare(o.Daemon, other.Daemon), o.Incarnation.Compare(other.Incarnation))
}

// Range is a run of adjacent keys with one owner. Both ends are inclusive.
type Range struct {
	Low   mtid.KeyNumber
	High  mtid.KeyNumber
	Owner Owner
	Epoch mtid.Epoch
	// WarmupState is the warm-up state that the previous owner handed over, so that
	// the new owner starts warm. It is opaque, and empty if the previous owner
	// was lost.
	WarmupState string
}

// Keys returns the number of keys in the range.
func (r Range) Keys() int { return int(r.High) - int(r.Low) + 1 }

// Covers reports whether the range contains the key.
func (r Range) Covers(key mtid.KeyNumber) bool { return r.Low <= key && key <= r.High }

// Table is the complete assignment of one service.
type Table struct {
	Service mtid.Service
	// Next is the epoch of the next change. It only grows, so no two owners of a
	// key ever have the same epoch, and a later owner never has a lower one. It carries
	// the era of the store, since the store alone remembers the newest one.
	Next   mtid.Epoch
	Ranges []Range // in order, without gaps, from 0 to mtid.LastKeyNumber
}

// RangeError reports that a change is not possible for a range of keys.
type RangeError struct {
	Low, High mtid.KeyNumber
	Reason    string
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("range %d to %d: %s", e.Low, e.High, e.Reason)
}

// Spread divides all keys evenly among the owners, in an era of the store. It fails with a
// *RangeError if there are no owners.
func Spread(service mtid.Service, era mtid.Era, owners []Owner) (*Table, error) {
	if len(owners) == 0 {
		return nil, &RangeError{High: mtid.LastKeyNumber, Reason: "no owners to assign keys to"}
	}
	t := &Table{Service: service, Next: mtid.FirstEpoch(era)}
	for i, part := range splitEvenly(0, mtid.LastKeyNumber, len(owners)) {
		part.Owner = owners[i]
		part.Epoch = t.Next
		t.Next++
		t.Ranges = append(t.Ranges, part)
	}
	return t, nil
}

// splitEvenly divides the keys from low to high into n runs of nearly equal length.
func splitEvenly(low, high mtid.KeyNumber, n int) []Range {
	keys := int(high) - int(low) + 1
	n = min(n, keys)
	result := make([]Range, 0, n)
	for i := range n {
		from, to := i*keys/n, (i+1)*keys/n-1
		result = append(result, Range{Low: low + mtid.KeyNumber(from), High: low + mtid.KeyNumber(to)})
	}
	return result
}

// Lookup returns the range that contains the key. It is called for each request.
func (t *Table) Lookup(key mtid.KeyNumber) (Range, bool) {
	i, found := slices.BinarySearchFunc(t.Ranges, key, func(r Range, key mtid.KeyNumber) int {
		switch {
		case r.High < key:
			return -1
		case r.Low > key:
			return 1
		}
		return 0
	})
	if !found {
		return Range{}, false
	}
	return t.Ranges[i], true
}

// Owned returns the ranges of an owner, in order.
func (t *Table) Owned(owner Owner) []Range {
	var owned []Range
	for _, r := range t.Ranges {
		if r.Owner == owner {
			owned = append(owned, r)
		}
	}
	return owned
}

// Owners returns the owners of all ranges that are not fallow, in order, each once.
func (t *Table) Owners() []Owner {
	var owners []Owner
	for _, r := range t.Ranges {
		if !t.Fallow(r) {
			owners = append(owners, r.Owner)
		}
	}
	slices.SortFunc(owners, Owner.Compare)
	return slices.Compact(owners)
}

// Keys returns the number of keys that an owner has.
func (t *Table) Keys(owner Owner) int {
	n := 0
	for _, r := range t.Ranges {
		if r.Owner == owner {
			n += r.Keys()
		}
	}
	return n
}

// KeyCounts returns the number of keys of each owner.
func (t *Table) KeyCounts() map[Owner]int {
	counts := make(map[Owner]int)
	for _, r := range t.Ranges {
		counts[r.Owner] += r.Keys()
	}
	return counts
}

// Move assigns the keys from low to high, which must have a single owner, to
// another one, with the warm-up state that the previous owner handed over. It
// fails with a *RangeError if the keys are not contained in one range or the new
// owner is empty.
func (t *Table) Move(low, high mtid.KeyNumber, to Owner, warmupState string) (*Table, error) {
	if low > high {
		return nil, &RangeError{Low: low, High: high, Reason: "low is above high"}
	}
	if to.IsZero() {
		return nil, &RangeError{Low: low, High: high, Reason: "new owner is empty"}
	}
	i := slices.IndexFunc(t.Ranges, func(r Range) bool { return r.Covers(low) })
	if i < 0 || !t.Ranges[i].Covers(high) {
		return nil, &RangeError{Low: low, High: high, Reason: "keys are not contained in a single range"}
	}
	containing := t.Ranges[i]
	next := &Table{Service: t.Service, Next: t.Next + 1}
	before, after := containing.remainder(low, high)
	moved := Range{Low: low, High: high, Owner: to, Epoch: t.Next, WarmupState: warmupState}
	next.Ranges = slices.Concat(t.Ranges[:i], before, []Range{moved}, after, t.Ranges[i+1:])
	return next, nil
}

// remainder returns what a range has before and after the keys from low to high,
// which it contains: one range each, or none.
func (r Range) remainder(low, high mtid.KeyNumber) (before, after []Range) {
	if r.Low < low {
		before = []Range{subrange(r, r.Low, low-1)}
	}
	if high < r.High {
		after = []Range{subrange(r, high+1, r.High)}
	}
	return before, after
}

// subrange returns a copy of a range that is limited to the keys from low to high.
func subrange(r Range, low, high mtid.KeyNumber) Range {
	r.Low, r.High = low, high
	return r
}

// maxPieces is the maximum number of runs that one lost range is cut into, so that
// the table stays small when many servers are lost one after another.
const maxPieces = 8

// TakeOver assigns all lost ranges to the survivors. If a new incarnation of
// the same server is among them, it gets all ranges of the previous one, since these
// were balanced by load before; otherwise the survivors with the fewest keys get the
// most. Without the preference for the same server, the first server to come up
// after a power loss of all VMs was assigned every key.
//
// It fails with a *RangeError if there are no survivors.
func (t *Table) TakeOver(lost func(Range) bool, survivors []Owner) (*Table, error) {
	if len(survivors) == 0 {
		return nil, &RangeError{High: mtid.LastKeyNumber, Reason: "no surviving server to take over the keys"}
	}
	next := &Table{Service: t.Service, Next: t.Next}
	counts := t.KeyCounts()
	keys := make(map[Owner]int, len(survivors))
	successors := make(map[mtid.Daemon]Owner, len(survivors))
	for _, s := range survivors {
		keys[s] = counts[s]
		successors[s.Daemon] = s
	}
	piecesPerRange := t.piecesPerRange(lost, len(survivors))
	for _, r := range t.Ranges {
		if !lost(r) {
			next.Ranges = append(next.Ranges, r)
			continue
		}
		successor, hasSuccessor := successors[r.Owner.Daemon]
		parts := piecesPerRange
		if hasSuccessor {
			parts = 1
		}
		for _, piece := range splitEvenly(r.Low, r.High, parts) {
			piece.Owner = successor
			if !hasSuccessor {
				piece.Owner = fewestKeys(survivors, keys)
			}
			piece.Epoch = next.Next
			next.Next++
			keys[piece.Owner] += piece.Keys()
			next.Ranges = append(next.Ranges, piece)
		}
	}
	next.Ranges = mergeAdjacent(next.Ranges, t.Next)
	return next, nil
}

// piecesPerRange returns the number of runs that each lost range is cut into: just
// enough for every survivor to get one. If there are at least as many lost ranges as
// survivors, they are not cut: with a cut each time, the ranges grew from 41 to 116 in
// one takeover, and each range costs a command to a server every few seconds.
func (t *Table) piecesPerRange(lost func(Range) bool, survivors int) int {
	ranges := 0
	for _, r := range t.Ranges {
		if lost(r) {
			ranges++
		}
	}
	return min((survivors+max(ranges, 1)-1)/max(ranges, 1), maxPieces)
}

// fewestKeys returns the owner with the fewest keys, the first of equals.
func fewestKeys(owners []Owner, keys map[Owner]int) Owner {
	best := owners[0]
	for _, o := range owners[1:] {
		if keys[o] < keys[best] {
			best = o
		}
	}
	return best
}

// mergeAdjacent merges adjacent ranges that one owner has just taken over, with
// consecutive epochs from first on; the merged range gets the higher one. Older
// ranges stay separate, since the epoch of a key only changes with its owner.
func mergeAdjacent(ranges []Range, first mtid.Epoch) []Range {
	var result []Range
	for _, r := range ranges {
		last := len(result) - 1
		if last >= 0 && result[last].Owner == r.Owner && result[last].Epoch >= first && result[last].Epoch+1 == r.Epoch {
			result[last].High = r.High
			result[last].Epoch = r.Epoch
			continue
		}
		result = append(result, r)
	}
	return result
}
