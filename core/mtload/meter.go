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

// A meter counts with two memories: a short one, in which a new hot key shows
// within seconds, and a long one, in which the chance arrivals of slow requests
// even out. Steady chooses between them.
const (
	HalfLife     = 3 * time.Second
	SlowHalfLife = 40 * time.Second
)

// window is the length of a plain average that varies as much by chance as one
// with HalfLife.
var window = 2 * HalfLife.Seconds() / math.Ln2

// chance is how many standard deviations two averages may differ by chance.
const chance = 3.5

// Steady returns the long-memory rate, a second, unless the short-memory one
// differs from it by more than chance allows. A service with twenty requests a
// second would else seem to swing by a tenth, and shards be moved after noise.
func Steady(fast, slow float64) float64 {
	deviation := math.Sqrt(max(fast, slow) / window)
	if math.Abs(fast-slow) > chance*deviation {
		return fast
	}
	return slow
}

// Sizes of a meter's counters. The memory that a meter takes is Bytes.
const (
	meterShards = 512
	meterPoints = 64
)

// Meter counts the requests of one service at one gate.
type Meter struct {
	mu       sync.Mutex
	shards   *mtsketch.Sketch[mtid.Point]
	slow     *mtsketch.Sketch[mtid.Point] // shards, with the long memory
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
		slow:   mtsketch.New[mtid.Point](meterShards, SlowHalfLife),
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
	m.slow.Add(now, low, 1)
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
	r := &Report{From: from, Service: service, Sequence: m.sequence}
	fast, fastSum := owned(m.shards.Top(now, meterShards), owns)
	slow, slowSum := owned(m.slow.Top(now, meterShards), owns)
	sum := 0.0
	for low := range fast {
		// Every shard of the long memory that matters is in the short one too.
		rate := Steady(fast[low], slow[low])
		sum += rate
		r.Shards = append(r.Shards, ShardLoad{Low: low, Load: rate * each})
	}
	r.Load = Steady(fastSum, slowSum) * each
	r.Shards = Fit(r.Shards, r.Load, sum*each)
	r.Shards, _ = Cut(r.Shards, nil)
	for _, c := range m.points.Top(now, MaxPoints) {
		// The lower bound is stated: a key that has just taken over a counter
		// carries its predecessor's count, and would be split off for nothing.
		r.Points = append(r.Points, PointLoad{Point: c.Key, Load: (c.Rate - c.Error) * each})
	}
	return r
}

// owned returns the rates of the shards that are the daemon's, and their sum.
func owned(counts []mtsketch.Estimate[mtid.Point], owns func(low mtid.Point) bool) (map[mtid.Point]float64, float64) {
	rates := make(map[mtid.Point]float64, len(counts))
	sum := 0.0
	for _, c := range counts {
		if owns(c.Key) {
			rates[c.Key] = c.Rate
			sum += c.Rate
		}
	}
	return rates, sum
}

// Fit scales loads that add up to sum so that they add up to total. What all
// shards together have gained may be plain while no single one tells.
func Fit(shards []ShardLoad, total, sum float64) []ShardLoad {
	if sum <= 0 {
		return shards
	}
	for i := range shards {
		shards[i].Load *= total / sum
	}
	return shards
}

// Bytes returns the most memory that the meter takes.
func (m *Meter) Bytes() int { return m.shards.Bytes() + m.slow.Bytes() + m.points.Bytes() }

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
