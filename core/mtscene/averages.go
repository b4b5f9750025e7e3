package mtscene

import (
	"math"
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtload"
)

// noiseSource supplies normally distributed numbers. A run needs hundreds of
// millions, so they come from a sample that is drawn once and read with random
// strides.
type noiseSource struct {
	source  *rand.Rand
	samples []float64 // the length is a power of two
}

func newNoiseSource(seed uint64) *noiseSource {
	const count = 1 << 14
	d := &noiseSource{source: rand.New(rand.NewPCG(seed, 1)), samples: make([]float64, count)}
	for i := range d.samples {
		d.samples[i] = d.source.NormFloat64()
	}
	return d
}

// randomStride returns a random start index and an odd stride, which visits every
// sample before it repeats one.
func (d *noiseSource) randomStride() (at, stride int) {
	return d.source.IntN(len(d.samples)), 2*d.source.IntN(len(d.samples)) + 1
}

// keyAverages models the moving average that the meters maintain for each key.
type keyAverages struct {
	decay    float64   // weight of the previous average after a second
	stdDev   float64   // standard deviation of the measurement noise at a load of one slot
	expected []float64 // averages without noise
	noise    []float64 // current noise, in standard deviations
	measured []float64
}

func newKeyAverages(halfLife, serviceTime time.Duration, keys int) *keyAverages {
	window := 2 * halfLife.Seconds() / math.Ln2
	return &keyAverages{
		decay:    math.Exp2(-time.Second.Seconds() / halfLife.Seconds()),
		stdDev:   math.Sqrt(serviceTime.Seconds() / window),
		expected: make([]float64, keys),
		noise:    make([]float64, keys),
		measured: make([]float64, keys),
	}
}

// update advances the averages by a second under the given load. The noise is
// that of request counts, since the arrivals of a key are a Poisson process. It
// can make the average of a single key negative, which is harmless: only sums over
// many keys and the averages of hot keys are used.
func (m *keyAverages) update(load []float64, d *noiseSource) {
	noiseWeight := math.Sqrt(1 - m.decay*m.decay)
	at, stride := d.randomStride()
	for i := range load {
		expected := m.expected[i]
		if expected == 0 {
			expected = load[i]
		}
		expected = load[i] + (expected-load[i])*m.decay
		at = (at + stride) & (len(d.samples) - 1)
		noise := m.noise[i]*m.decay + d.samples[at]*noiseWeight
		m.measured[i] = expected + noise*m.stdDev*math.Sqrt(expected)
		m.expected[i], m.noise[i] = expected, noise
	}
}

// smoothedLoad returns the load that a meter reports, given its short-term and
// long-term averages.
func (r *run[P]) smoothedLoad(short, long float64) float64 {
	serviceTime := r.scenario.ServiceTime.Seconds()
	return mtload.SmoothRate(max(0, short)/serviceTime, max(0, long)/serviceTime) * serviceTime
}
