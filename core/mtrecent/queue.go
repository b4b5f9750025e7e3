package mtrecent

import (
	"cmp"
	"slices"
)

// queue holds ended entries, oldest first, in a slice. The consumed front of the slice
// is released from time to time.
type queue struct {
	entries []*entry
	head    int // index of the oldest entry
}

// minCompact is the least number of consumed slots for which compaction is worth a copy.
const minCompact = 1024

// push appends an entry, which must have ended last.
func (q *queue) push(e *entry) { q.entries = append(q.entries, e) }

// oldest returns the entry that ended first.
func (q *queue) oldest() (*entry, bool) {
	if q.head == len(q.entries) {
		return nil, false
	}
	return q.entries[q.head], true
}

// pop removes the oldest entry, and compacts the slice once half of it is consumed.
func (q *queue) pop() {
	q.entries[q.head] = nil
	q.head++
	if q.head >= minCompact && q.head*2 >= len(q.entries) {
		q.entries = slices.Clone(q.entries[q.head:])
		q.head = 0
	}
}

// sort restores the order after entries of a previous owner were pushed.
func (q *queue) sort() {
	slices.SortStableFunc(q.entries[q.head:], func(a, b *entry) int { return cmp.Compare(a.ended, b.ended) })
}
