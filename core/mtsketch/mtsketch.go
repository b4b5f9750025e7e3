// Package mtsketch finds the heaviest keys of a stream in bounded memory, with
// counts that decay exponentially over time.
//
// It implements the space-saving algorithm: the number of counters is fixed, and a
// key without a counter takes over the smallest one, including its count. A key
// with more than 1/size of the total weight is therefore always among the
// counters, and no count is too high by more than the Error reported with it.
//
// # Usage
//
//	sketch := mtsketch.New[mtid.Point](64, 3*time.Second)
//	sketch.Add(now, point, 1)
//	for _, count := range sketch.Top(now, 8) { ... count.Rate ... }
//
// A sketch is not safe for concurrent use. It takes at most Bytes of memory,
// whatever the stream contains.
package mtsketch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
	"unsafe"

	"magnoliaturn/core/mtclock"
)

// Estimate is the estimated rate of one key.
type Estimate[K comparable] struct {
	Key K
	// Rate is the weight per second, averaged over about the last one and a half
	// half-lives. It is never too low, and too high by at most Error.
	Rate  float64
	Error float64
}

// Sketch estimates the rates of the heaviest keys of a stream.
type Sketch[K comparable] struct {
	size     int
	halfLife time.Duration
	origin   mtclock.Instant // weights are scaled relative to this instant
	total    float64
	counters map[K]*counter[K]
	heap     counterHeap[K]
}

// counter holds the weight of one key, scaled relative to the sketch's origin: a
// weight w added at a time d after the origin counts as w*2^(d/halfLife), so that
// old weights decay without being updated.
type counter[K comparable] struct {
	key       K
	weight    float64
	overcount float64
	index     int
}

// maxExponent is the number of half-lives after which the weights are rescaled to
// a new origin, well within the range of a float64's exponent.
const maxExponent = 256

// New returns a sketch with size counters, at least one, whose weights decay by
// half every halfLife.
func New[K comparable](size int, halfLife time.Duration) *Sketch[K] {
	size = max(1, size)
	return &Sketch[K]{
		size:     size,
		halfLife: halfLife,
		counters: make(map[K]*counter[K], size),
		heap:     make(counterHeap[K], 0, size),
	}
}

// Add adds weight to the count of key. It is called for each request and costs one
// map lookup and at most log(size) swaps. Calls need not be in the order of now: a
// weight is scaled by its own time, even if that is before the time of a previous
// call.
func (s *Sketch[K]) Add(now mtclock.Instant, key K, weight float64) {
	scaled := weight * s.scale(now)
	s.total += scaled
	if c, ok := s.counters[key]; ok {
		c.weight += scaled
		heap.Fix(&s.heap, c.index)
		return
	}
	if len(s.heap) < s.size {
		c := &counter[K]{key: key, weight: scaled}
		s.counters[key] = c
		heap.Push(&s.heap, c)
		return
	}
	smallest := s.heap[0]
	delete(s.counters, smallest.key)
	smallest.key = key
	smallest.overcount = smallest.weight
	smallest.weight += scaled
	s.counters[key] = smallest
	heap.Fix(&s.heap, 0)
}

// Top returns the n heaviest keys, heaviest first.
func (s *Sketch[K]) Top(now mtclock.Instant, n int) []Estimate[K] {
	factor := s.unscale(now)
	sorted := slices.Clone(s.heap)
	slices.SortFunc(sorted, func(a, b *counter[K]) int { return cmp.Compare(b.weight, a.weight) })
	sorted = sorted[:min(n, len(sorted))]
	top := make([]Estimate[K], 0, len(sorted))
	for _, c := range sorted {
		top = append(top, Estimate[K]{Key: c.key, Rate: c.weight * factor, Error: c.overcount * factor})
	}
	return top
}

// TotalRate returns the total rate of all keys.
func (s *Sketch[K]) TotalRate(now mtclock.Instant) float64 {
	return s.total * s.unscale(now)
}

// Bytes returns the maximum memory of the sketch, without what keys point to. Map
// entries are counted twice, to allow for the spare capacity of maps.
func (s *Sketch[K]) Bytes() int {
	var c counter[K]
	var k K
	const pointer = unsafe.Sizeof(uintptr(0))
	perCounter := unsafe.Sizeof(c) + pointer + 2*(unsafe.Sizeof(k)+pointer)
	return s.size * int(perCounter)
}

// scale returns the factor by which a weight added now is multiplied.
func (s *Sketch[K]) scale(now mtclock.Instant) float64 {
	exponent := float64(now.Sub(s.origin)) / float64(s.halfLife)
	if exponent > maxExponent {
		s.rescale(now, math.Exp2(-exponent))
		exponent = 0
	}
	return math.Exp2(exponent)
}

// rescale moves the origin to now, so that the scaled weights do not overflow.
func (s *Sketch[K]) rescale(now mtclock.Instant, factor float64) {
	s.origin = now
	s.total *= factor
	for _, c := range s.heap {
		c.weight *= factor
		c.overcount *= factor
	}
}

// unscale returns the factor that converts a scaled weight into weight per second
// now: the decayed sum of a steady stream is its rate times halfLife/ln 2.
func (s *Sketch[K]) unscale(now mtclock.Instant) float64 {
	return math.Ln2 / s.halfLife.Seconds() / s.scale(now)
}

// counterHeap is a heap with the smallest weight on top.
type counterHeap[K comparable] []*counter[K]

func (h counterHeap[K]) Len() int           { return len(h) }
func (h counterHeap[K]) Less(i, j int) bool { return h[i].weight < h[j].weight }

func (h counterHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counterHeap[K]) Push(x any) {
	c := x.(*counter[K])
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap[K]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
