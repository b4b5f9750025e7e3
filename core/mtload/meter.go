package mtload

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtsketch"
)

// HalfLife is how fast a meter forgets: short enough that a new hot key shows
// within seconds, long enough that single requests don't.
const HalfLife = 3 * time.Second

// Sizes of a meter's counters. The memory that a meter takes is Bytes.
const (
	meterShards = 512
	meterPoints = 64
)

// Meter counts the requests of one service at one gate.
type Meter struct {
	mu       sync.Mutex
	shards   *mtsketch.Sketch[mtid.Point]
	points   *mtsketch.Sketch[mtid.Point]
	busy     mean
	sequence uint64
}

// mean is a moving average over requests.
type mean struct {
	value time.Duration
	known bool
}

// meanWeight is the share of a new value in a moving average.
const meanWeight = 1.0 / 64

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += time.Duration(float64(d-m.value) * meanWeight)
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{
		shards: mtsketch.New[mtid.Point](meterShards, HalfLife),
		points: mtsketch.New[mtid.Point](meterPoints, HalfLife),
	}
}

// Arrive counts a request for the key at point, in the shard that begins at
// low. The gate calls it for each request that it is the owner for, whether it
// lets the request in or sheds it.
func (m *Meter) Arrive(now mtclock.Instant, low, point mtid.Point) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards.Add(now, low, 1)
	m.points.Add(now, point, 1)
}

// Finish counts how long a request kept a slot of the backend server. The gate
// calls it when the slot is free again.
func (m *Meter) Finish(busy time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy.add(busy)
}

// Report returns the present load of the shards that owns says are the
// daemon's. Each call is a new measurement. Shards that were handed over keep
// fading counts for a while, which must not be reported as load of the others.
func (m *Meter) Report(now mtclock.Instant, from mtid.Holder, service mtid.Ref, owns func(low mtid.Point) bool) *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	each := m.busy.value.Seconds()
	r := &Report{From: from, Service: service, Sequence: m.sequence, Load: m.shards.Total(now) * each}
	for _, c := range m.shards.Top(now, meterShards) {
		if !owns(c.Key) {
			r.Load -= c.Rate * each
			continue
		}
		if len(r.Shards) < MaxShards {
			r.Shards = append(r.Shards, ShardLoad{Low: c.Key, Load: c.Rate * each})
		}
	}
	r.Load = max(0, r.Load)
	for _, c := range m.points.Top(now, MaxPoints) {
		// The lower bound is stated: a key that has just taken over a counter
		// carries its predecessor's count, and would be split off for nothing.
		r.Points = append(r.Points, PointLoad{Point: c.Key, Load: (c.Rate - c.Error) * each})
	}
	return r
}

// Bytes returns the most memory that the meter takes.
func (m *Meter) Bytes() int { return m.shards.Bytes() + m.points.Bytes() }

// Cut sorts loads and cuts them to what a report may hold.
func Cut(shards []ShardLoad, points []PointLoad) ([]ShardLoad, []PointLoad) {
	slices.SortFunc(shards, func(a, b ShardLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Low, b.Low))
	})
	slices.SortFunc(points, func(a, b PointLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Point, b.Point))
	})
	return shards[:min(len(shards), MaxShards)], points[:min(len(points), MaxPoints)]
}

// fade returns the factor by which a value falls in d.
func fade(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(d, 0)) / float64(halfLife))
}
