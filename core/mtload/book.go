package mtload

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Times and bounds of a book.
const (
	// fallTime is the half-life with which an estimate falls to a lower report.
	// A higher one counts at once. So a report that wrongly says "idle" can't
	// draw shards within a round, and a load that swings is seen at its height.
	fallTime = 4 * time.Second
	// arriveTime is how long a report may still come from before a shard's
	// arrival at its sender, and leave it out.
	arriveTime = 20 * time.Second
	// freshReports is how many reports after a split may still count what was
	// split off, since the meter files it under the low that both had.
	freshReports = 2
	// maxPoints bounds the hot keys that a book remembers.
	maxPoints = 4096
)

// Book is what the planner of one service knows of its load. Estimates belong
// to shards, not to servers: when a shard moves, its load counts at the new
// owner in the same instant, however late the reports are. That is what keeps
// late reports from making the same server shed twice.
type Book struct {
	entries []entry // by low, covering the ring once Sync has run
	spare   []entry
	points  []pointEntry // by point
	heard   map[mtid.Holder]hearing
	audit   audit
}

type entry struct {
	low mtid.Point
	// The estimate falls from peak at the time at towards load, the last word.
	load float64
	peak float64
	at   mtclock.Instant
	// by is who reported last, and listed whether with a figure of its own.
	by     mtid.Holder
	listed bool
	single bool // holds one point only
	// fresh is how many reports may still count what was split off.
	fresh int
	// test is what the owner before by claimed, until by's claim is compared
	// with it.
	test claim
}

// value returns the estimate now.
func (e *entry) value(now mtclock.Instant) float64 {
	return e.load + (e.peak-e.load)*fade(now.Sub(e.at), fallTime)
}

// claim is what an owner said of a shard that has moved on.
type claim struct {
	by   mtid.Holder
	load float64
	at   mtclock.Instant // when the next owner reported the shard first
}

type pointEntry struct {
	point mtid.Point
	load  float64
	by    mtid.Holder
	at    mtclock.Instant
}

// hearing is what is known of a reporter.
type hearing struct {
	sequence uint64
	at       mtclock.Instant // of the last new measurement
	repeated bool            // the last report repeated an older measurement
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{heard: make(map[mtid.Holder]hearing), audit: newAudit()}
}

// Sync brings the book's shards in line with lows, the lows of all shards in
// order. A split divides its load by the hot keys known and by width, a merge
// adds up. It is called before Take and Load.
func (b *Book) Sync(lows []mtid.Point) {
	next := b.spare[:0]
	old := b.entries
	i := 0
	for k, low := range lows {
		high := ^mtid.Point(0)
		if k+1 < len(lows) {
			high = lows[k+1] - 1
		}
		for i+1 < len(old) && old[i+1].low <= low {
			i++
		}
		next = append(next, b.inherit(old, i, low, high))
	}
	b.spare, b.entries = b.entries, next
}

// inherit returns the entry for [low, high] from the old ones, the first of
// which that overlaps is old[i].
func (b *Book) inherit(old []entry, i int, low, high mtid.Point) entry {
	e := entry{low: low, single: low == high}
	for ; i < len(old) && old[i].low <= high; i++ {
		oldHigh := ^mtid.Point(0)
		if i+1 < len(old) {
			oldHigh = old[i+1].low - 1
		}
		if old[i].low == low && oldHigh == high {
			return old[i]
		}
		from, to := max(low, old[i].low), min(high, oldHigh)
		e.load += b.part(&old[i], oldHigh, from, to, old[i].load)
		e.peak += b.part(&old[i], oldHigh, from, to, old[i].peak)
		e.at = max(e.at, old[i].at)
		e.by = old[i].by
		if old[i].low == low && oldHigh > high {
			e.fresh = freshReports
		}
	}
	return e
}

// part returns what of an entry's load lies in [low, high].
func (b *Book) part(e *entry, eHigh, low, high mtid.Point, load float64) float64 {
	if low == e.low && high == eHigh {
		return load
	}
	var all, inside float64
	first, _ := b.findPoint(e.low)
	for _, p := range b.points[first:] {
		if p.point > eHigh {
			break
		}
		all += p.load
		if p.point >= low && p.point <= high {
			inside += p.load
		}
	}
	if all > load {
		return load * inside / all
	}
	width := (float64(high-low) + 1) / (float64(eHigh-e.low) + 1)
	return inside + (load-all)*width
}

// Take notes a report, and reports whether another one is wanted soon although
// nothing may change: one that knows of what has happened to the shards since.
// owned are the shards that the table gives its sender.
// What the report does not list is spread evenly over the sender's other
// shards.
func (b *Book) Take(now mtclock.Instant, r *Report, owned []mtshard.Shard) (again bool) {
	h, ok := b.heard[r.From]
	if ok && r.Sequence <= h.sequence {
		h.repeated = true
		b.heard[r.From] = h
		return true
	}
	b.heard[r.From] = hearing{sequence: r.Sequence, at: now}
	factor := b.audit.factor(r.From)
	listed := make(map[mtid.Point]float64, len(r.Shards))
	for _, s := range r.Shards {
		listed[s.Low] = s.Load * factor
	}
	rest := r.Load * factor
	var others []*entry
	for _, s := range owned {
		e := b.find(s.Low)
		if e == nil {
			continue
		}
		load, ok := listed[s.Low]
		if ok {
			rest -= load
			again = b.set(now, e, r.From, load, true) || again
			continue
		}
		// The shard has just arrived, and the report may be from before: the
		// former owner's word stands, else the new one looks emptier than it
		// is and is given more.
		if e.by != r.From && !e.by.IsZero() && now.Sub(e.at) < arriveTime {
			again = true
			continue
		}
		others = append(others, e)
	}
	for _, e := range others {
		again = b.set(now, e, r.From, max(0, rest)/float64(len(others)), false) || again
	}
	b.takePoints(now, r.From, r.Points, factor)
	return again
}

// find returns the entry of the shard that begins at low, or nil.
func (b *Book) find(low mtid.Point) *entry {
	i, ok := slices.BinarySearchFunc(b.entries, low, func(e entry, low mtid.Point) int {
		return cmp.Compare(e.low, low)
	})
	if !ok {
		return nil
	}
	return &b.entries[i]
}

// set notes a figure, and reports whether the next one will be a better one.
func (b *Book) set(now mtclock.Instant, e *entry, from mtid.Holder, load float64, listed bool) bool {
	b.compare(now, e, from, load, listed)
	before := e.value(now)
	if e.fresh > 0 {
		// The owner may still count what has been split off, under the low
		// that both had.
		e.fresh--
		load = min(load, before)
	}
	e.load, e.peak, e.at = load, max(load, before), now
	return e.fresh > 0 || e.test.load > 0
}

// compare holds the claims of two successive owners of a shard against each
// other.
func (b *Book) compare(now mtclock.Instant, e *entry, from mtid.Holder, load float64, listed bool) {
	if e.by != from {
		e.test = claim{}
		if e.listed && !e.single && e.load >= testLoad && e.load <= testLimit && now.Sub(e.at) <= testAge {
			e.test = claim{by: e.by, load: e.load, at: now}
		}
		e.by, e.listed = from, listed
		return
	}
	e.listed = listed
	if e.test.load == 0 || now.Sub(e.test.at) < testWait {
		return
	}
	if listed && now.Sub(e.test.at) <= testAge {
		b.audit.add(e.test.by, from, e.test.load, load)
	}
	e.test = claim{}
}

// findPoint returns the place of point among the hot keys, or where it belongs.
func (b *Book) findPoint(point mtid.Point) (int, bool) {
	return slices.BinarySearchFunc(b.points, point, func(p pointEntry, point mtid.Point) int {
		return cmp.Compare(p.point, point)
	})
}

// takePoints puts a reporter's hot keys in the place of those that it reported
// before.
func (b *Book) takePoints(now mtclock.Instant, from mtid.Holder, points []PointLoad, factor float64) {
	b.points = slices.DeleteFunc(b.points, func(p pointEntry) bool {
		return p.by == from || now.Sub(p.at) > 2*Refresh
	})
	for _, p := range points {
		if p.Load <= 0 {
			continue
		}
		i, ok := b.findPoint(p.Point)
		if !ok {
			b.points = slices.Insert(b.points, i, pointEntry{})
		}
		b.points[i] = pointEntry{point: p.Point, load: p.Load * factor, by: from, at: now}
	}
	for len(b.points) > maxPoints {
		i := b.lightest()
		b.points = slices.Delete(b.points, i, i+1)
	}
}

// lightest returns the place of the hot key with the least load.
func (b *Book) lightest() int {
	least := 0
	for i, p := range b.points {
		if p.load < b.points[least].load {
			least = i
		}
	}
	return least
}

// Loads appends the estimate of each shard now, in the order of the last Sync.
func (b *Book) Loads(now mtclock.Instant, into []float64) []float64 {
	for i := range b.entries {
		into = append(into, b.entries[i].value(now))
	}
	return into
}

// Total returns the load of all shards as last reported. Loads may add up to
// more, while estimates fall: a key that has moved on to another shard would
// else count twice in the mean, and hide who is above it.
func (b *Book) Total() float64 {
	sum := 0.0
	for i := range b.entries {
		sum += b.entries[i].load
	}
	return sum
}

// Points returns the hot keys that each reporter named last, by point.
func (b *Book) Points() []PointLoad {
	hot := make([]PointLoad, 0, len(b.points))
	for _, p := range b.points {
		hot = append(hot, PointLoad{Point: p.point, Load: p.load})
	}
	return hot
}

// Heard reports whether holder's load is known: it has reported, its last
// report was a new measurement, and not more than two refreshes have passed.
// Silence within that time means that the load is where it was.
func (b *Book) Heard(now mtclock.Instant, holder mtid.Holder) bool {
	h, ok := b.heard[holder]
	return ok && !h.repeated && now.Sub(h.at) <= 2*Refresh
}

// HeardAt returns when the last new measurement of holder came in.
func (b *Book) HeardAt(holder mtid.Holder) (mtclock.Instant, bool) {
	h, ok := b.heard[holder]
	return h.at, ok
}

// Forget drops what is known of reporters that are not in live. It is called
// now and then, so that a book doesn't grow with the fleet's turnover.
func (b *Book) Forget(live func(mtid.Holder) bool) {
	for holder := range b.heard {
		if !live(holder) {
			delete(b.heard, holder)
			b.audit.forget(holder)
		}
	}
}
