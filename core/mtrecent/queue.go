package mtrecent

import (
	"cmp"
	"slices"
)

// queue holds ended entries, oldest first, in a slice whose taken front is cut
// off now and then.
type queue struct {
	entries []*entry
	head    int
}

// minCut is the least number of taken places that is worth a copy.
const minCut = 1024

// push adds an entry that ended last.
func (q *queue) push(e *entry) { q.entries = append(q.entries, e) }

// oldest returns the entry that ended first.
func (q *queue) oldest() (*entry, bool) {
	if q.head == len(q.entries) {
		return nil, false
	}
	return q.entries[q.head], true
}

// pop takes the oldest entry out.
func (q *queue) pop() {
	q.entries[q.head] = nil
	q.head++
	if q.head >= minCut && q.head*2 >= len(q.entries) {
		q.entries = slices.Clone(q.entries[q.head:])
		q.head = 0
	}
}

// sort restores the order after entries of another owner came in.
func (q *queue) sort() {
	slices.SortStableFunc(q.entries[q.head:], func(a, b *entry) int { return cmp.Compare(a.ended, b.ended) })
}
