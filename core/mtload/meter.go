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

// Half-lives of the two rates of a meter. The short-term rate shows a new hot
// key within seconds; the long-term rate averages out the random arrivals of
// slow requests. SmoothRate chooses between them.
const (
	HalfLife     = 3 * time.Second
	SlowHalfLife = 40 * time.Second
)

// fastWindow is the length in seconds of a plain average whose variance equals
// that of a rate with HalfLife.
var fastWindow = 2 * HalfLife.Seconds() / math.Ln2

// noiseDeviations is by how many standard deviations two averages may differ by
// chance.
const noiseDeviations = 3.5

// SmoothRate returns the long-term rate per second unless the short-term rate
// differs from it by more than chance allows. With the short-term rate alone, a
// service with 20 requests per second would appear to fluctuate by 10%, and
// shards would be moved because of noise.
func SmoothRate(fast, slow float64) float64 {
	deviation := math.Sqrt(max(fast, slow) / fastWindow)
	if math.Abs(fast-slow) > noiseDeviations*deviation {
		return fast
	}
	return slow
}

// Sizes of a meter's counters. Meter.Bytes returns the resulting memory.
const (
	meterShards = 512
	meterPoints = 64
)

// Meter measures the load of one service at one gate.
type Meter struct {
	mu         sync.Mutex
	shards     *mtsketch.Sketch[mtid.Point]
	slowShards *mtsketch.Sketch[mtid.Point] // shards, long-term rate
	points     *mtsketch.Sketch[mtid.Point]
	slotTime   movingAverage
	sequence   uint64
}

// movingAverage is an exponential moving average over requests.
type movingAverage struct {
	value time.Duration
	known bool
}

// averageWeight is the weight of a new value in a movingAverage.
const averageWeight = 1.0 / 64

func (m *movingAverage) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += time.Duration(float64(d-m.value) * averageWeight)
}

// NewMeter returns a Meter without counts.
func NewMeter() *Meter {
	return &Meter{
		shards:     mtsketch.New[mtid.Point](meterShards, HalfLife),
		slowShards: mtsketch.New[mtid.Point](meterShards, SlowHalfLife),
		points:     mtsketch.New[mtid.Point](meterPoints, HalfLife),
	}
}

// Arrive counts a request for the key at point, in the shard that begins at
// low. The gate calls it for every request that its daemon is the owner for,
// whether the request is admitted or shed.
func (m *Meter) Arrive(now mtclock.Instant, low, point mtid.Point) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards.Add(now, low, 1)
	m.slowShards.Add(now, low, 1)
	m.points.Add(now, point, 1)
}

// Finish records how long a request occupied a slot of the backend server. The
// gate calls it when the slot is free again.
func (m *Meter) Finish(occupied time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slotTime.add(occupied)
}

// Report returns the current load of the shards for which owns returns true.
// Each call is a new measurement. The counts of shards that were handed over
// decay for a while and must not be reported as load of the other shards.
func (m *Meter) Report(now mtclock.Instant, from mtid.Holder, service mtid.Ref, owns func(low mtid.Point) bool) *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	slotTime := m.slotTime.value.Seconds()
	r := &Report{From: from, Service: service, Sequence: m.sequence}
	fast, fastSum := ownedRates(m.shards.Top(now, meterShards), owns)
	slow, slowSum := ownedRates(m.slowShards.Top(now, meterShards), owns)
	sum := 0.0
	for low := range fast {
		// Every shard with a relevant long-term rate has a short-term rate too.
		rate := SmoothRate(fast[low], slow[low])
		sum += rate
		r.Shards = append(r.Shards, ShardLoad{Low: low, Load: rate * slotTime})
	}
	r.Load = SmoothRate(fastSum, slowSum) * slotTime
	r.Shards = ScaleLoads(r.Shards, r.Load, sum*slotTime)
	r.Shards, _ = Truncate(r.Shards, nil)
	for _, c := range m.points.Top(now, MaxPoints) {
		// Report the lower bound: a key that has just taken over a counter inherits
		// the count of the evicted key, and would be split off unnecessarily.
		r.Points = append(r.Points, PointLoad{Point: c.Key, Load: (c.Rate - c.Error) * slotTime})
	}
	return r
}

// ownedRates returns the rates of the shards for which owns returns true, and
// their sum.
func ownedRates(counts []mtsketch.Estimate[mtid.Point], owns func(low mtid.Point) bool) (map[mtid.Point]float64, float64) {
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

// ScaleLoads scales loads that add up to sum so that they add up to total. The total
// may have changed beyond noise while no single shard has.
func ScaleLoads(shards []ShardLoad, total, sum float64) []ShardLoad {
	if sum <= 0 {
		return shards
	}
	for i := range shards {
		shards[i].Load *= total / sum
	}
	return shards
}

// Bytes returns the maximum memory that the meter uses.
func (m *Meter) Bytes() int { return m.shards.Bytes() + m.slowShards.Bytes() + m.points.Bytes() }

// Truncate sorts loads, the heaviest first, and truncates them to the limits of a
// report.
func Truncate(shards []ShardLoad, points []PointLoad) ([]ShardLoad, []PointLoad) {
	slices.SortFunc(shards, func(a, b ShardLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Low, b.Low))
	})
	slices.SortFunc(points, func(a, b PointLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Point, b.Point))
	})
	return shards[:min(len(shards), MaxShards)], points[:min(len(points), MaxPoints)]
}

// decay returns the factor by which a value with the given half-life decays in
// d.
func decay(d, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(d, 0)) / float64(halfLife))
}
