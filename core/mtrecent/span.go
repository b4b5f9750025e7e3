package mtrecent

import (
	"cmp"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// noHorizon is before every identifier.
const noHorizon = math.MinInt64

// span is a range of the ring that this Table answers for. Spans don't overlap
// and needn't be shards: a shard that is split or merged here changes nothing.
type span struct {
	low, high mtid.Point // both included
	horizon   int64      // identifiers up to it may have run at an earlier owner
}

// Handover is the memory of a range on its way to a new owner.
type Handover struct {
	Low, High mtid.Point
	Spans     []Span
	Entries   []Entry
}

// Span is a part of the range with its limit of knowledge: identifiers up to
// Horizon that are not among the entries may have run. It is in milliseconds
// since 1970.
type Span struct {
	Low, High mtid.Point
	Horizon   int64
}

// Entry is one identifier in a Handover.
type Entry struct {
	Name        Name
	Fingerprint Fingerprint
	Age         time.Duration // since it ended
	Answered    bool          // else it may have run
	Answer      *Answer       // nil if it was not kept
}

// FullError says that a handover doesn't fit. Nothing of it was taken in; the
// move must not go on.
type FullError struct {
	Need int
	Room int
}

// Error implements error.
func (e *FullError) Error() string { return "recent: handover does not fit" }

// RangeError says that a range ends before it begins, or that a handover names
// something outside its own range.
type RangeError struct{ Low, High mtid.Point }

// Error implements error.
func (e *RangeError) Error() string { return "recent: not a range" }

// Grant makes this Table answer for a range from low to high, both included,
// whose memory is lost with an earlier owner. It is called when the owner may
// serve, never before; at is the wall time then. The zero time says that the
// range has had no owner before. What the Table remembers of the range stays,
// since a fact holds whoever owns the key.
func (t *Table) Grant(low, high mtid.Point, at time.Time) error {
	if high < low {
		return &RangeError{Low: low, High: high}
	}
	horizon := int64(noHorizon)
	if !at.IsZero() {
		// Rounded up: an identifier of the same millisecond counts as older.
		horizon = at.Add(2*t.limits.Skew + time.Millisecond).UnixMilli()
	}
	t.cut(low, high)
	t.insert(span{low: low, high: high, horizon: horizon})
	return nil
}

// Revoke ends that this Table answers for a range. What ended there is dropped;
// what runs still is kept until its end.
func (t *Table) Revoke(low, high mtid.Point) {
	t.cut(low, high)
	for _, e := range t.entries {
		if e.state != running && low <= e.name.Point && e.name.Point <= high {
			t.remove(e)
		}
	}
}

// Lost returns up to which time of an identifier a request for p may have run
// at an owner that is lost, and false if the range had none.
func (t *Table) Lost(p mtid.Point) (time.Time, bool) {
	s, ok := t.find(p)
	if !ok || s.horizon == noHorizon {
		return time.Time{}, false
	}
	return time.UnixMilli(s.horizon), true
}

// Owns reports whether the Table answers for p.
func (t *Table) Owns(p mtid.Point) bool {
	_, ok := t.find(p)
	return ok
}

// Export returns the memory of a range for its new owner. It is called when
// nothing of the range is in flight and nothing new is let in; what runs
// nevertheless is handed over as unknown. The Table stays as it is, since the
// move may yet fail; Revoke follows once the new owner is in the store.
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
		if e.name.Point < low || high < e.name.Point {
			continue
		}
		h.Entries = append(h.Entries, e.export(now))
	}
	slices.SortFunc(h.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Name.Point, b.Name.Point), slices.Compare(a.Name.ID[:], b.Name.ID[:]))
	})
	return h
}

// export returns the entry as it is handed over.
func (e *entry) export(now mtclock.Instant) Entry {
	out := Entry{Name: e.name, Fingerprint: e.print, Answered: e.state == answered, Answer: e.answer}
	if e.state != running {
		out.Age = now.Sub(e.ended)
	}
	return out
}

// Import makes this Table answer for a range with the memory that its earlier
// owner handed over. It is called before the first request of the range is let
// in. Parts of the range that no span of h covers aren't answered for. It fails
// with a *FullError or a *RangeError, and then nothing has changed.
func (t *Table) Import(now mtclock.Instant, h Handover) error {
	t.Expire(now)
	if err := h.check(); err != nil {
		return err
	}
	fresh := 0
	for _, e := range h.Entries {
		if _, ok := t.entries[e.Name]; !ok {
			fresh++
		}
	}
	if room := t.limits.Count - len(t.entries); fresh > room {
		return &FullError{Need: fresh, Room: room}
	}
	t.cut(h.Low, h.High)
	for _, s := range h.Spans {
		t.insert(span{low: s.Low, high: s.High, horizon: s.Horizon})
	}
	for _, e := range h.Entries {
		t.take(now, e)
	}
	t.ended.sort()
	return nil
}

// take remembers an entry of a handover.
func (t *Table) take(now mtclock.Instant, in Entry) {
	if old, ok := t.entries[in.Name]; ok {
		if old.state == running {
			return
		}
		t.remove(old)
	}
	e := &entry{name: in.Name, print: in.Fingerprint, ended: now.Add(-in.Age), state: unknown}
	if in.Answered {
		e.state = answered
		t.keep(e, in.Answer)
	}
	t.entries[in.Name] = e
	t.ended.push(e)
}

// check returns a *RangeError if h isn't one well-formed range.
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
		if e.Name.Point < h.Low || e.Name.Point > h.High || e.Age < 0 {
			return &RangeError{Low: e.Name.Point, High: e.Name.Point}
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

// cut takes the range out of all spans.
func (t *Table) cut(low, high mtid.Point) {
	var kept []span
	for _, s := range t.ranges {
		if s.high < low || high < s.low {
			kept = append(kept, s)
			continue
		}
		if s.low < low {
			kept = append(kept, span{low: s.low, high: low - 1, horizon: s.horizon})
		}
		if high < s.high {
			kept = append(kept, span{low: high + 1, high: s.high, horizon: s.horizon})
		}
	}
	t.ranges = kept
}

// insert adds a span where none is, and joins it to neighbours that know as
// much, so that years of moves leave no trail of small spans.
func (t *Table) insert(s span) {
	i, _ := slices.BinarySearchFunc(t.ranges, s.low, func(s span, p mtid.Point) int { return cmp.Compare(s.low, p) })
	t.ranges = slices.Insert(t.ranges, i, s)
	t.join(i + 1)
	t.join(i)
}

// join makes one span of the i-th and the one before it, if they touch and
// their horizons are equal or both passed by the Table's own.
func (t *Table) join(i int) {
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
