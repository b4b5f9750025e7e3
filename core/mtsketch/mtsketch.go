// Package mtsketch finds the keys that weigh most in a stream, in bounded
// memory, with counts that fade as time goes by.
//
// It is the space-saving algorithm: a fixed number of counters, and a key that
// finds none takes over the smallest one together with its count. A key that
// carries more than 1/size of the total weight is therefore always among the
// counters, and no count is too high by more than the Error stated with it.
//
// # Usage
//
//	sketch := mtsketch.New[mtid.Point](64, 3*time.Second)
//	sketch.Add(now, point, 1)
//	for _, count := range sketch.Top(now, 8) { ... count.Rate ... }
//
// A sketch is not safe for concurrent use. Its memory is Bytes, whatever the
// stream.
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

// Count is one key with its decayed weight.
type Count[K comparable] struct {
	Key K
	// Rate is weight per second, averaged over about one and a half half-lives
	// back. It is never too low, and too high by at most Error.
	Rate  float64
	Error float64
}

// Sketch holds the counters.
type Sketch[K comparable] struct {
	size     int
	halfLife time.Duration
	start    mtclock.Instant // all weights are scaled to this instant
	total    float64
	places   map[K]*counter[K]
	heap     counters[K]
}

// counter holds weights scaled up to the sketch's start: a weight w added d
// after the start counts as w*2^(d/halfLife), so that old weights fade without
// being touched.
type counter[K comparable] struct {
	key    K
	weight float64
	excess float64
	place  int
}

// maxExponent is how many half-lives may pass before the scale starts anew,
// well inside a float64's exponent.
const maxExponent = 256

// New returns a sketch with that many counters, at least one, whose weights
// halve every halfLife.
func New[K comparable](size int, halfLife time.Duration) *Sketch[K] {
	size = max(1, size)
	return &Sketch[K]{
		size:     size,
		halfLife: halfLife,
		places:   make(map[K]*counter[K], size),
		heap:     make(counters[K], 0, size),
	}
}

// Add counts weight for key. It is called for each request; it costs one map
// lookup and at most log(size) swaps. A now before an earlier one counts as
// that earlier one's scale demands, and is no error.
func (s *Sketch[K]) Add(now mtclock.Instant, key K, weight float64) {
	scaled := weight * s.scale(now)
	s.total += scaled
	if c, ok := s.places[key]; ok {
		c.weight += scaled
		heap.Fix(&s.heap, c.place)
		return
	}
	if len(s.heap) < s.size {
		c := &counter[K]{key: key, weight: scaled}
		s.places[key] = c
		heap.Push(&s.heap, c)
		return
	}
	least := s.heap[0]
	delete(s.places, least.key)
	least.key = key
	least.excess = least.weight
	least.weight += scaled
	s.places[key] = least
	heap.Fix(&s.heap, 0)
}

// Top returns the n heaviest keys, heaviest first.
func (s *Sketch[K]) Top(now mtclock.Instant, n int) []Count[K] {
	rate := s.rate(now)
	sorted := slices.Clone(s.heap)
	slices.SortFunc(sorted, func(a, b *counter[K]) int { return cmp.Compare(b.weight, a.weight) })
	sorted = sorted[:min(n, len(sorted))]
	top := make([]Count[K], 0, len(sorted))
	for _, c := range sorted {
		top = append(top, Count[K]{Key: c.key, Rate: c.weight * rate, Error: c.excess * rate})
	}
	return top
}

// Total returns the rate of all weights together.
func (s *Sketch[K]) Total(now mtclock.Instant) float64 {
	return s.total * s.rate(now)
}

// Bytes returns the most memory that the sketch can take, without what keys
// point to. A map entry is counted twice over for the room that maps keep.
func (s *Sketch[K]) Bytes() int {
	var c counter[K]
	var k K
	const pointer = unsafe.Sizeof(uintptr(0))
	each := unsafe.Sizeof(c) + pointer + 2*(unsafe.Sizeof(k)+pointer)
	return s.size * int(each)
}

// scale returns what a weight added now is multiplied by.
func (s *Sketch[K]) scale(now mtclock.Instant) float64 {
	exponent := float64(now.Sub(s.start)) / float64(s.halfLife)
	if exponent > maxExponent {
		s.rescale(now, math.Exp2(-exponent))
		exponent = 0
	}
	return math.Exp2(exponent)
}

// rescale moves the start, so that the numbers stay in range.
func (s *Sketch[K]) rescale(now mtclock.Instant, factor float64) {
	s.start = now
	s.total *= factor
	for _, c := range s.heap {
		c.weight *= factor
		c.excess *= factor
	}
}

// rate returns what turns a scaled weight into weight per second now: the
// decayed sum of a steady stream is its rate times halfLife/ln 2.
func (s *Sketch[K]) rate(now mtclock.Instant) float64 {
	return math.Ln2 / s.halfLife.Seconds() / s.scale(now)
}

// counters is a heap with the least weight on top.
type counters[K comparable] []*counter[K]

func (h counters[K]) Len() int           { return len(h) }
func (h counters[K]) Less(i, j int) bool { return h[i].weight < h[j].weight }

func (h counters[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push implements heap.Interface.
func (h *counters[K]) Push(x any) {
	c := x.(*counter[K])
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counters[K]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
