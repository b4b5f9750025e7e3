package mtscene

import (
	"math"
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtload"
)

// dice is a supply of normally distributed numbers, drawn once and walked
// through by chance strides, since a run needs hundreds of millions.
type dice struct {
	source *rand.Rand
	drawn  []float64 // a power of two of them
}

func newDice(seed uint64) *dice {
	const count = 1 << 14
	d := &dice{source: rand.New(rand.NewPCG(seed, 1)), drawn: make([]float64, count)}
	for i := range d.drawn {
		d.drawn[i] = d.source.NormFloat64()
	}
	return d
}

// walk returns where to begin and how far to go each time.
func (d *dice) walk() (at, stride int) {
	return d.source.IntN(len(d.drawn)), 2*d.source.IntN(len(d.drawn)) + 1
}

// memory is an average that the meters keep of each key.
type memory struct {
	keep   float64   // what is left of it after a second
	spread float64   // standard deviation by chance of a load of one slot
	smooth []float64 // what it would be without chance
	chance []float64 // in standard deviations
	seen   []float64
}

func newMemory(halfLife, busy time.Duration, keys int) *memory {
	window := 2 * halfLife.Seconds() / math.Ln2
	return &memory{
		keep:   math.Exp2(-time.Second.Seconds() / halfLife.Seconds()),
		spread: math.Sqrt(busy.Seconds() / window),
		smooth: make([]float64, keys),
		chance: make([]float64, keys),
		seen:   make([]float64, keys),
	}
}

// follow lets the average follow the load for a second. It is off by chance as
// counts of requests are: the arrivals of a key are Poisson. A key's own average
// may fall below zero by that; only sums over many are looked at.
func (m *memory) follow(load []float64, d *dice) {
	fresh := math.Sqrt(1 - m.keep*m.keep)
	at, stride := d.walk()
	for i := range load {
		smooth := m.smooth[i]
		if smooth == 0 {
			smooth = load[i]
		}
		smooth = load[i] + (smooth-load[i])*m.keep
		at = (at + stride) & (len(d.drawn) - 1)
		chance := m.chance[i]*m.keep + d.drawn[at]*fresh
		m.seen[i] = smooth + chance*m.spread*math.Sqrt(smooth)
		m.smooth[i], m.chance[i] = smooth, chance
	}
}

// steady returns the load that a meter states, given its two averages of it.
func (r *run[P]) steady(short, long float64) float64 {
	busy := r.scene.Busy.Seconds()
	return mtload.SmoothRate(max(0, short)/busy, max(0, long)/busy) * busy
}
