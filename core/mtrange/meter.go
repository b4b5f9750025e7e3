package mtrange

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// MeterMemory is the time after which an arrival counts for 1/e. Hot keys change
// within seconds, and a server of the usual size sees some ten requests a
// second: three seconds hold enough of them to tell a hot key from chance.
const MeterMemory = 3 * time.Second

// Meter measures the offered work of each key at one server, in slots: arrivals
// a second, refused ones included, times the mean time that a request takes. It
// keeps growing past the server's slots, where the work done would not.
//
// It isn't safe for concurrent use.
type Meter struct {
	work [int(mtid.LastNumber) + 1]float32 // seconds of server time in memory
	sum  float64
	at   mtclock.Instant
	// scale turns stored work into present work: all of it fades by one number
	// instead of 65,536.
	scale float64
}

// rescaleAt is the scale below which the stored numbers are brought up to date,
// far above where 32 bits lose precision.
const rescaleAt = 1e-6

// NewMeter returns a meter that has seen nothing.
func NewMeter(now mtclock.Instant) *Meter { return &Meter{at: now, scale: 1} }

// Arrive counts a request for a key that takes about so long.
func (m *Meter) Arrive(now mtclock.Instant, key mtid.Number, takes time.Duration) {
	m.fade(now)
	m.work[key] += float32(takes.Seconds() / m.scale)
	m.sum += takes.Seconds()
}

// Demand returns the offered work of all keys, in slots.
func (m *Meter) Demand(now mtclock.Instant) float64 {
	m.fade(now)
	return m.sum / MeterMemory.Seconds()
}

// Of returns the offered work of one key, in slots.
func (m *Meter) Of(now mtclock.Instant, key mtid.Number) float64 {
	m.fade(now)
	return float64(m.work[key]) * m.scale / MeterMemory.Seconds()
}

// Forget drops what was measured of keys that have gone to another owner.
func (m *Meter) Forget(now mtclock.Instant, low, high mtid.Number) {
	m.fade(now)
	for key := int(low); key <= int(high); key++ {
		m.sum -= float64(m.work[key]) * m.scale
		m.work[key] = 0
	}
	m.sum = max(m.sum, 0)
}

// fade lets the past count less.
func (m *Meter) fade(now mtclock.Instant) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	m.at = now
	factor := math.Exp(-passed.Seconds() / MeterMemory.Seconds())
	m.sum *= factor
	m.scale *= factor
	if m.scale >= rescaleAt {
		return
	}
	for key := range m.work {
		m.work[key] *= float32(m.scale)
	}
	m.scale = 1
}
