// Package mtrange is the assignment of a service with numbered keys: which life
// of which backend server owns which range of keys, under which epoch.
//
// Neighbouring keys are busy together, so ranges of numbers divide the load
// where hashes would only scatter it. An owner is a life of a backend server,
// not of the daemon beside it: a daemon that comes back beside a living server
// goes on with the same ranges and epochs, and no key changes hands.
//
// # Usage
//
//	table := mtrange.Spread(service, owners)
//	next, err := table.Move(low, high, to, handover)
//	r, ok := next.Lookup(key)
//
// A Table is immutable: each change returns a new one, which holds once it has
// been written to the platform's store in place of the one it was made from.
package mtrange

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaturn/core/mtid"
)

// Owner is a life of a backend server, with the daemon beside it.
type Owner struct {
	Daemon mtid.Daemon
	Life   mtid.ServerIncarnation
}

// IsZero reports whether o names no server.
func (o Owner) IsZero() bool { return o == Owner{} }

// Compare orders owners by daemon, then by life of the server.
func (o Owner) Compare(other Owner) int {
	return cmp.Or(cmp.Compare(o.Daemon, other.Daemon), o.Life.Compare(other.Life))
}

// Range is a run of keys with one owner, both ends included.
type Range struct {
	Low   mtid.KeyNumber
	High  mtid.KeyNumber
	Owner Owner
	Epoch mtid.Epoch
	// Warmth is what the former owner left for the next one, so that it starts
	// warm. It is opaque, and empty if the former owner was lost.
	Warmth string
}

// Keys returns how many keys the range holds.
func (r Range) Keys() int { return int(r.High) - int(r.Low) + 1 }

// Covers reports whether the key lies in the range.
func (r Range) Covers(key mtid.KeyNumber) bool { return r.Low <= key && key <= r.High }

// Table is the whole assignment of one service.
type Table struct {
	Service mtid.Service
	// Next is the epoch of the next change. It only grows, so that no two
	// owners of one key ever carry the same epoch, nor the later one a lower.
	Next   mtid.Epoch
	Ranges []Range // in order, without gaps, from 0 to mtid.LastKeyNumber
}

// RangeError says that a change does not fit its table.
type RangeError struct {
	Low, High mtid.KeyNumber
	Reason    string
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("range %d to %d: %s", e.Low, e.High, e.Reason)
}

// Spread divides all keys among the owners, in equal runs. It fails with a
// *RangeError if there are none.
func Spread(service mtid.Service, owners []Owner) (*Table, error) {
	if len(owners) == 0 {
		return nil, &RangeError{High: mtid.LastKeyNumber, Reason: "no owner to give keys to"}
	}
	t := &Table{Service: service, Next: 1}
	for i, part := range pieces(0, mtid.LastKeyNumber, len(owners)) {
		part.Owner = owners[i]
		part.Epoch = t.Next
		t.Next++
		t.Ranges = append(t.Ranges, part)
	}
	return t, nil
}

// pieces divides low to high into n runs of nearly equal width.
func pieces(low, high mtid.KeyNumber, n int) []Range {
	keys := int(high) - int(low) + 1
	n = min(n, keys)
	out := make([]Range, 0, n)
	for i := range n {
		from, to := i*keys/n, (i+1)*keys/n-1
		out = append(out, Range{Low: low + mtid.KeyNumber(from), High: low + mtid.KeyNumber(to)})
	}
	return out
}

// Lookup returns the range of a key. It is called for each request.
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

// Owners returns all owners, ordered.
func (t *Table) Owners() []Owner {
	var owners []Owner
	for _, r := range t.Ranges {
		owners = append(owners, r.Owner)
	}
	slices.SortFunc(owners, Owner.Compare)
	return slices.Compact(owners)
}

// Keys returns how many keys an owner has.
func (t *Table) Keys(owner Owner) int {
	n := 0
	for _, r := range t.Ranges {
		if r.Owner == owner {
			n += r.Keys()
		}
	}
	return n
}

// Shares returns how many keys each owner has.
func (t *Table) Shares() map[Owner]int {
	shares := make(map[Owner]int)
	for _, r := range t.Ranges {
		shares[r.Owner] += r.Keys()
	}
	return shares
}

// Move gives the keys from low to high, which have one owner, to another one,
// with what the former owner left for it. It fails with a *RangeError.
func (t *Table) Move(low, high mtid.KeyNumber, to Owner, warmth string) (*Table, error) {
	if low > high {
		return nil, &RangeError{Low: low, High: high, Reason: "is empty"}
	}
	if to.IsZero() {
		return nil, &RangeError{Low: low, High: high, Reason: "names no owner"}
	}
	i := slices.IndexFunc(t.Ranges, func(r Range) bool { return r.Covers(low) })
	if i < 0 || !t.Ranges[i].Covers(high) {
		return nil, &RangeError{Low: low, High: high, Reason: "does not lie in one range"}
	}
	whole := t.Ranges[i]
	next := &Table{Service: t.Service, Next: t.Next + 1}
	before, after := whole.around(low, high)
	moved := Range{Low: low, High: high, Owner: to, Epoch: t.Next, Warmth: warmth}
	next.Ranges = slices.Concat(t.Ranges[:i], before, []Range{moved}, after, t.Ranges[i+1:])
	return next, nil
}

// around returns what is left of a range before and behind the keys from low to
// high, which lie in it: one part each, or none.
func (r Range) around(low, high mtid.KeyNumber) (before, after []Range) {
	if r.Low < low {
		before = []Range{part(r, r.Low, low-1)}
	}
	if high < r.High {
		after = []Range{part(r, high+1, r.High)}
	}
	return before, after
}

// part returns the keys from low to high of a range, with all else as it is.
func part(r Range, low, high mtid.KeyNumber) Range {
	r.Low, r.High = low, high
	return r
}

// maxPieces bounds into how many runs one lost range is cut, so that the table
// stays small when many servers are lost one after the other.
const maxPieces = 8

// Take gives all ranges of the lost owners to the survivors: to the next life of
// the same server if there is one, since the keys were spread by load before, and
// else the most to those with the fewest keys. After all VMs lost power, whoever
// came up first was given everything.
//
// It fails with a *RangeError if there are no survivors.
func (t *Table) Take(lost func(Owner) bool, survivors []Owner) (*Table, error) {
	if len(survivors) == 0 {
		return nil, &RangeError{High: mtid.LastKeyNumber, Reason: "no survivor to give keys to"}
	}
	next := &Table{Service: t.Service, Next: t.Next}
	shares := t.Shares()
	keys := make(map[Owner]int, len(survivors))
	heirs := make(map[mtid.Daemon]Owner, len(survivors))
	for _, s := range survivors {
		keys[s] = shares[s]
		heirs[s.Daemon] = s
	}
	cuts := t.cuts(lost, len(survivors))
	for _, r := range t.Ranges {
		if !lost(r.Owner) {
			next.Ranges = append(next.Ranges, r)
			continue
		}
		heir, inherits := heirs[r.Owner.Daemon]
		parts := cuts
		if inherits {
			parts = 1
		}
		for _, piece := range pieces(r.Low, r.High, parts) {
			piece.Owner = heir
			if !inherits {
				piece.Owner = fewest(survivors, keys)
			}
			piece.Epoch = next.Next
			next.Next++
			keys[piece.Owner] += piece.Keys()
			next.Ranges = append(next.Ranges, piece)
		}
	}
	next.Ranges = joined(next.Ranges, t.Next)
	return next, nil
}

// cuts returns into how many runs each lost range is cut: so many that every
// survivor can be given one. Where much is lost in many ranges already they stay
// whole; cut each time, they grew from 41 to 116 in one takeover, and each range
// is an order to a server every few seconds.
func (t *Table) cuts(lost func(Owner) bool, survivors int) int {
	ranges := 0
	for _, r := range t.Ranges {
		if lost(r.Owner) {
			ranges++
		}
	}
	return min((survivors+max(ranges, 1)-1)/max(ranges, 1), maxPieces)
}

// fewest returns the owner with the fewest keys; the first of equals.
func fewest(owners []Owner, keys map[Owner]int) Owner {
	best := owners[0]
	for _, o := range owners[1:] {
		if keys[o] < keys[best] {
			best = o
		}
	}
	return best
}

// joined joins neighbours that were taken by one owner just now, under epochs
// from first on. These follow each other, and the higher one holds for both.
// Older neighbours stay apart: a key's epoch changes only with its owner.
func joined(ranges []Range, first mtid.Epoch) []Range {
	var out []Range
	for _, r := range ranges {
		last := len(out) - 1
		if last >= 0 && out[last].Owner == r.Owner && out[last].Epoch >= first && out[last].Epoch+1 == r.Epoch {
			out[last].High = r.High
			out[last].Epoch = r.Epoch
			continue
		}
		out = append(out, r)
	}
	return out
}
