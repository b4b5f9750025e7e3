package mtload

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Intervals and limits of Estimates.
const (
	// decayHalfLife is the half-life with which an estimate decays to a lower
	// reported load. A higher load counts at once. So a report that wrongly
	// shows no load cannot attract shards within one round, and a fluctuating
	// load counts at its peaks.
	decayHalfLife = 4 * time.Second
	// arrivalGrace is how long after a shard's arrival its new owner may still
	// send a report that was measured before and omits the shard.
	arrivalGrace = 20 * time.Second
	// maxSplitReports is how many reports after a split may still include the
	// load that was split off, since the meter still counts it under the low of
	// the unsplit shard.
	maxSplitReports = 2
	// maxPoints bounds the hot keys in Estimates.
	maxPoints = 4096
)

// Estimates holds the load estimates of one service for its planner. An
// estimate belongs to a shard, not to a server: when a shard moves, its load
// counts for the new owner at once, however late the reports are. Otherwise
// late reports would make the planner move load off the same server twice.
type Estimates struct {
	entries     []entry // sorted by low, covering the ring after Sync
	buffer      []entry
	points      []pointEntry // sorted by point
	reporters   map[mtid.Holder]reporter
	calibration calibration
}

type entry struct {
	low mtid.Point
	// The estimate decays from peak, its value at the time at, to load, the
	// latest reported load.
	load float64
	peak float64
	at   mtclock.Instant
	// by is the holder that reported last. listed is whether that report listed
	// the load of this shard separately.
	by     mtid.Holder
	listed bool
	single bool // holds only one point
	// splitReports is how many reports may still include the load that was
	// split off.
	splitReports int
	// previous is the load that the previous owner reported, until it is
	// compared with the load that the next owner reports.
	previous reportedLoad
}

// value returns the estimate at now.
func (e *entry) value(now mtclock.Instant) float64 {
	return e.load + (e.peak-e.load)*decay(now.Sub(e.at), decayHalfLife)
}

// reportedLoad is the load that an owner reported for a shard before the shard
// moved.
type reportedLoad struct {
	by   mtid.Holder
	load float64
	at   mtclock.Instant // when the next owner first reported the shard
}

type pointEntry struct {
	point mtid.Point
	load  float64
	by    mtid.Holder
	at    mtclock.Instant
}

// reporter is the state of one reporting daemon.
type reporter struct {
	sequence uint64
	at       mtclock.Instant // arrival of the last new measurement
	repeated bool            // whether the last report repeated an older measurement
}

// NewEstimates returns Estimates without shards.
func NewEstimates() *Estimates {
	return &Estimates{reporters: make(map[mtid.Holder]reporter), calibration: newCalibration()}
}

// Sync sets the estimated shards to those that begin at lows, which must be
// sorted and complete. A split divides the load of a shard by its known hot
// keys and by width, and a merge adds loads up. Call it before AddReport and
// Loads.
func (es *Estimates) Sync(lows []mtid.Point) {
	next := es.buffer[:0]
	old := es.entries
	i := 0
	for k, low := range lows {
		high := ^mtid.Point(0)
		if k+1 < len(lows) {
			high = lows[k+1] - 1
		}
		for i+1 < len(old) && old[i+1].low <= low {
			i++
		}
		next = append(next, es.inherit(old, i, low, high))
	}
	es.buffer, es.entries = es.entries, next
}

// inherit returns the entry for [low, high], computed from the old entries.
// old[i] is the first of them that overlaps it.
func (es *Estimates) inherit(old []entry, i int, low, high mtid.Point) entry {
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
		e.load += es.partialLoad(&old[i], oldHigh, from, to, old[i].load)
		e.peak += es.partialLoad(&old[i], oldHigh, from, to, old[i].peak)
		e.at = max(e.at, old[i].at)
		e.by = old[i].by
		if old[i].low == low && oldHigh > high {
			e.splitReports = maxSplitReports
		}
	}
	return e
}

// partialLoad returns the portion of an entry's load that lies in [low, high].
func (es *Estimates) partialLoad(e *entry, eHigh, low, high mtid.Point, load float64) float64 {
	if low == e.low && high == eHigh {
		return load
	}
	var all, inside float64
	first, _ := es.findPoint(e.low)
	for _, p := range es.points[first:] {
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

// AddReport applies a report, and returns whether the planner needs another one
// soon even if the load does not change, because this one may predate recent
// changes to the shards. owned are the shards that the table assigns to the
// sender. The load that the report does not attribute to listed shards is
// spread evenly over the sender's other shards.
func (es *Estimates) AddReport(now mtclock.Instant, r *Report, owned []mtshard.Shard) (again bool) {
	h, ok := es.reporters[r.From]
	if ok && r.Sequence <= h.sequence {
		h.repeated = true
		es.reporters[r.From] = h
		return true
	}
	es.reporters[r.From] = reporter{sequence: r.Sequence, at: now}
	factor := es.calibration.factor(r.From)
	listed := make(map[mtid.Point]float64, len(r.Shards))
	for _, s := range r.Shards {
		listed[s.Low] = s.Load * factor
	}
	rest := r.Load * factor
	var others []*entry
	for _, s := range owned {
		e := es.find(s.Low)
		if e == nil {
			continue
		}
		load, ok := listed[s.Low]
		if ok {
			rest -= load
			again = es.update(now, e, r.From, load, true) || again
			continue
		}
		// The shard has just arrived, and the report may have been measured
		// before. The previous owner's load remains valid; otherwise the new
		// owner would appear less loaded than it is and receive even more.
		if e.by != r.From && !e.by.IsZero() && now.Sub(e.at) < arrivalGrace {
			again = true
			continue
		}
		others = append(others, e)
	}
	for _, e := range others {
		again = es.update(now, e, r.From, max(0, rest)/float64(len(others)), false) || again
	}
	es.replacePoints(now, r.From, r.Points, factor)
	return again
}

// find returns the entry of the shard that begins at low, or nil.
func (es *Estimates) find(low mtid.Point) *entry {
	i, ok := slices.BinarySearchFunc(es.entries, low, func(e entry, low mtid.Point) int {
		return cmp.Compare(e.low, low)
	})
	if !ok {
		return nil
	}
	return &es.entries[i]
}

// update applies a reported load to an entry, and reports whether the next
// report will be more accurate.
func (es *Estimates) update(now mtclock.Instant, e *entry, from mtid.Holder, load float64, listed bool) bool {
	es.compareOwners(now, e, from, load, listed)
	before := e.value(now)
	if e.splitReports > 0 {
		// The owner may still count the load that was split off under the low
		// of the unsplit shard.
		e.splitReports--
		load = min(load, before)
	}
	e.load, e.peak, e.at = load, max(load, before), now
	return e.splitReports > 0 || e.previous.load > 0
}

// compareOwners compares the loads that two successive owners reported for a
// shard.
func (es *Estimates) compareOwners(now mtclock.Instant, e *entry, from mtid.Holder, load float64, listed bool) {
	if e.by != from {
		e.previous = reportedLoad{}
		if e.listed && !e.single && e.load >= minComparedLoad && e.load <= maxComparedLoad && now.Sub(e.at) <= maxCompareAge {
			e.previous = reportedLoad{by: e.by, load: e.load, at: now}
		}
		e.by, e.listed = from, listed
		return
	}
	e.listed = listed
	if e.previous.load == 0 || now.Sub(e.previous.at) < compareDelay {
		return
	}
	if listed && now.Sub(e.previous.at) <= maxCompareAge {
		es.calibration.add(e.previous.by, from, e.previous.load, load)
	}
	e.previous = reportedLoad{}
}

// findPoint returns the index of point among the hot keys, or where to insert
// it.
func (es *Estimates) findPoint(point mtid.Point) (int, bool) {
	return slices.BinarySearchFunc(es.points, point, func(p pointEntry, point mtid.Point) int {
		return cmp.Compare(p.point, point)
	})
}

// replacePoints replaces the hot keys that a daemon reported before.
func (es *Estimates) replacePoints(now mtclock.Instant, from mtid.Holder, points []PointLoad, factor float64) {
	es.points = slices.DeleteFunc(es.points, func(p pointEntry) bool {
		return p.by == from || now.Sub(p.at) > 2*Refresh
	})
	for _, p := range points {
		if p.Load <= 0 {
			continue
		}
		i, ok := es.findPoint(p.Point)
		if !ok {
			es.points = slices.Insert(es.points, i, pointEntry{})
		}
		es.points[i] = pointEntry{point: p.Point, load: p.Load * factor, by: from, at: now}
	}
	for len(es.points) > maxPoints {
		i := es.lightest()
		es.points = slices.Delete(es.points, i, i+1)
	}
}

// lightest returns the index of the hot key with the least load.
func (es *Estimates) lightest() int {
	least := 0
	for i, p := range es.points {
		if p.load < es.points[least].load {
			least = i
		}
	}
	return least
}

// Loads appends the estimate of each shard at now to into, in the order of the
// last Sync.
func (es *Estimates) Loads(now mtclock.Instant, into []float64) []float64 {
	for i := range es.entries {
		into = append(into, es.entries[i].value(now))
	}
	return into
}

// Total returns the load of all shards as last reported. The sum of Loads may
// be higher while estimates decay: a key that moved to another shard would
// count twice in the mean, and hide which servers are above it.
func (es *Estimates) Total() float64 {
	sum := 0.0
	for i := range es.entries {
		sum += es.entries[i].load
	}
	return sum
}

// HotKeys returns the hot keys of the last report of each daemon, sorted by
// point.
func (es *Estimates) HotKeys() []PointLoad {
	hot := make([]PointLoad, 0, len(es.points))
	for _, p := range es.points {
		hot = append(hot, PointLoad{Point: p.point, Load: p.load})
	}
	return hot
}

// LoadKnown reports whether the load of holder is known: its last report was a
// new measurement and arrived no more than two Refresh intervals ago. If none
// arrives within that time, the load has not changed.
func (es *Estimates) LoadKnown(now mtclock.Instant, holder mtid.Holder) bool {
	h, ok := es.reporters[holder]
	return ok && !h.repeated && now.Sub(h.at) <= 2*Refresh
}

// LastReport returns when the last new measurement of holder arrived, and false
// if none has.
func (es *Estimates) LastReport(holder mtid.Holder) (mtclock.Instant, bool) {
	h, ok := es.reporters[holder]
	return h.at, ok
}

// Retain removes the reporters for which live returns false. Call it from time
// to time, so that the estimates do not grow as daemons are replaced.
func (es *Estimates) Retain(live func(mtid.Holder) bool) {
	for holder := range es.reporters {
		if !live(holder) {
			delete(es.reporters, holder)
			es.calibration.remove(holder)
		}
	}
}
