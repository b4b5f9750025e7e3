package mtrecent

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// noHorizon is older than every identifier.
const noHorizon = math.MinInt64

// span is a range of the ring that a Table covers. Spans don't overlap and needn't
// match shards: splitting or merging a shard here has no effect on them.
type span struct {
	low, high mtid.Point // both inclusive
	horizon   int64      // identifiers up to this time may have run at a previous owner
}

// Handover is the state of a range that its owner transfers to the new owner.
type Handover struct {
	Low, High mtid.Point
	Spans     []Span
	Entries   []Entry
}

// Span is a part of the range of a Handover. Identifiers up to Horizon, in milliseconds
// since 1970, that have no entry may have run.
type Span struct {
	Low, High mtid.Point
	Horizon   int64
}

// Entry is one identifier in a Handover.
type Entry struct {
	DedupKey    DedupKey
	Fingerprint Fingerprint
	Age         time.Duration // since it ended
	Answered    bool          // false if it may or may not have run
	Answer      *Answer       // nil if it was not retained
}

// FullError reports that a handover has more entries than the Table can take. None of it
// was imported, and the move must be aborted.
type FullError struct {
	Need     int // new entries in the handover
	Capacity int // entries that the Table can still take
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("recent: handover has %d new entries, table has capacity for %d more", e.Need, e.Capacity)
}

// RangeError reports a range that ends before it starts, or a part of a handover outside
// the range expected.
type RangeError struct{ Low, High mtid.Point }

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("recent: range %d to %d is inverted or out of bounds", e.Low, e.High)
}

// Grant adds the range from low to high, both inclusive, whose records were lost with its
// previous owner. It is called when this owner may start to serve the range, never before;
// at is the wall time of that, or zero if the range had no owner before. Entries that the
// Table already has in the range stay, since they are valid regardless of who owned the
// key.
func (t *Table) Grant(low, high mtid.Point, at time.Time) error {
	if high < low {
		return &RangeError{Low: low, High: high}
	}
	horizon := int64(noHorizon)
	if !at.IsZero() {
		// Rounded up, so that an identifier from the same millisecond counts as older.
		horizon = at.Add(2*t.limits.Skew + time.Millisecond).UnixMilli()
	}
	t.removeRange(low, high)
	t.insert(span{low: low, high: high, horizon: horizon})
	return nil
}

// Revoke removes a range and the entries in it, except those of requests that are still
// running.
func (t *Table) Revoke(low, high mtid.Point) {
	t.removeRange(low, high)
	for _, e := range t.entries {
		if e.state != running && low <= e.key.Point && e.key.Point <= high {
			t.remove(e)
		}
	}
}

// Horizon returns the horizon of the range of p: a request whose identifier isn't newer may
// have run at a lost owner. It returns false if no owner of the range was lost.
func (t *Table) Horizon(p mtid.Point) (time.Time, bool) {
	s, ok := t.find(p)
	if !ok || s.horizon == noHorizon {
		return time.Time{}, false
	}
	return time.UnixMilli(s.horizon), true
}

// Owns reports whether the Table covers p.
func (t *Table) Owns(p mtid.Point) bool {
	_, ok := t.find(p)
	return ok
}

// Export returns the state of a range for its new owner. It is called when no request in
// the range is in flight and none is admitted; an entry that is running nevertheless is
// exported as unknown. The Table keeps the range, since the move may still fail; the
// caller calls Revoke once the store holds the new owner.
func (t *Table) Export(now mtclock.Instant, low, high mtid.Point) Handover {
	t.Expire(now)
	h := Handover{Low: low, High: high}
	for _, s := range t.ranges {
		if s.high < low || high < s.low {
			continue
		}
		h.Spans = append(h.Spans, Span{
			Low:     max(s.low, low),
			High:    min(s.high, high),
			Horizon: max(s.horizon, t.horizon),
		})
	}
	for _, e := range t.entries {
		if e.key.Point < low || high < e.key.Point {
			continue
		}
		h.Entries = append(h.Entries, e.export(now))
	}
	slices.SortFunc(h.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.DedupKey.Point, b.DedupKey.Point), slices.Compare(a.DedupKey.ID[:], b.DedupKey.ID[:]))
	})
	return h
}

// export returns the form of e in a Handover.
func (e *entry) export(now mtclock.Instant) Entry {
	out := Entry{DedupKey: e.key, Fingerprint: e.fingerprint, Answered: e.state == answered, Answer: e.answer}
	if e.state != running {
		out.Age = now.Sub(e.ended)
	}
	return out
}

// Import adds a range with the state that its previous owner exported. It is called
// before the first request in the range is admitted. Parts of the range that no span of h
// covers are not covered afterwards. Errors are of type *FullError or *RangeError and
// leave the Table unchanged.
func (t *Table) Import(now mtclock.Instant, h Handover) error {
	t.Expire(now)
	if err := h.check(); err != nil {
		return err
	}
	added := 0
	for _, e := range h.Entries {
		if _, ok := t.entries[e.DedupKey]; !ok {
			added++
		}
	}
	if capacity := t.limits.Entries - len(t.entries); added > capacity {
		return &FullError{Need: added, Capacity: capacity}
	}
	t.removeRange(h.Low, h.High)
	for _, s := range h.Spans {
		t.insert(span{low: s.Low, high: s.High, horizon: s.Horizon})
	}
	for _, e := range h.Entries {
		t.importEntry(now, e)
	}
	t.ended.sort()
	return nil
}

// importEntry adds an entry of a handover. It replaces an existing entry of the same
// identifier unless that one is still running here.
func (t *Table) importEntry(now mtclock.Instant, in Entry) {
	if old, ok := t.entries[in.DedupKey]; ok {
		if old.state == running {
			return
		}
		t.remove(old)
	}
	e := &entry{key: in.DedupKey, fingerprint: in.Fingerprint, ended: now.Add(-in.Age), state: unknown}
	if in.Answered {
		e.state = answered
		t.retain(e, in.Answer)
	}
	t.entries[in.DedupKey] = e
	t.ended.push(e)
}

// check returns a *RangeError unless the spans of h are ordered and disjoint, and all
// spans and entries are within its range.
func (h *Handover) check() error {
	if h.High < h.Low {
		return &RangeError{Low: h.Low, High: h.High}
	}
	for i, s := range h.Spans {
		if s.Low < h.Low || s.High > h.High || s.High < s.Low || (i > 0 && s.Low <= h.Spans[i-1].High) {
			return &RangeError{Low: s.Low, High: s.High}
		}
	}
	for _, e := range h.Entries {
		if e.DedupKey.Point < h.Low || e.DedupKey.Point > h.High || e.Age < 0 {
			return &RangeError{Low: e.DedupKey.Point, High: e.DedupKey.Point}
		}
	}
	return nil
}

// find returns the span that covers p.
func (t *Table) find(p mtid.Point) (span, bool) {
	i, found := slices.BinarySearchFunc(t.ranges, p, func(s span, p mtid.Point) int { return cmp.Compare(s.low, p) })
	if !found {
		i--
	}
	if i < 0 || t.ranges[i].high < p {
		return span{}, false
	}
	return t.ranges[i], true
}

// removeRange removes a range from the spans, splitting those that it covers in part.
func (t *Table) removeRange(low, high mtid.Point) {
	var rest []span
	for _, s := range t.ranges {
		if s.high < low || high < s.low {
			rest = append(rest, s)
			continue
		}
		if s.low < low {
			rest = append(rest, span{low: s.low, high: low - 1, horizon: s.horizon})
		}
		if high < s.high {
			rest = append(rest, span{low: high + 1, high: s.high, horizon: s.horizon})
		}
	}
	t.ranges = rest
}

// insert adds a span that overlaps no other, and joins it with adjacent spans of the
// same horizon, so that the number of spans doesn't grow with every move.
func (t *Table) insert(s span) {
	i, _ := slices.BinarySearchFunc(t.ranges, s.low, func(s span, p mtid.Point) int { return cmp.Compare(s.low, p) })
	t.ranges = slices.Insert(t.ranges, i, s)
	t.joinBefore(i + 1)
	t.joinBefore(i)
}

// joinBefore merges the i-th span with the one before it if they are adjacent and their
// horizons are equal, or both not newer than the Table's own.
func (t *Table) joinBefore(i int) {
	if i < 1 || i >= len(t.ranges) {
		return
	}
	before, s := &t.ranges[i-1], t.ranges[i]
	if before.high == math.MaxUint64 || before.high+1 != s.low {
		return
	}
	if max(before.horizon, t.horizon) != max(s.horizon, t.horizon) {
		return
	}
	before.high = s.high
	before.horizon = max(before.horizon, s.horizon)
	t.ranges = slices.Delete(t.ranges, i, i+1)
}
