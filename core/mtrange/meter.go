package mtrange

import (
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// MeterMemory is the time after which an arrival counts for 1/e. Hot keys change
// within seconds, and a server of the usual size sees some twenty requests a
// second: two seconds hold enough of them to tell a hot key from chance.
const MeterMemory = 2 * time.Second

// Meter measures the offered work of each key at one server, in slots: arrivals
// a second, refused ones included, times the mean time that a request takes. It
// keeps growing past the server's slots, where the work done would not.
//
// What has been measured for a moment only is scaled up to what it will come to.
// A server that has just been given a hot run would else report hardly more work
// than before for two seconds, and all owners would go on giving to it, back and
// forth: 39 servers moved keys fifty times a second.
//
// It isn't safe for concurrent use.
type Meter struct {
	work [int(mtid.LastKeyNumber) + 1]float32 // seconds of server time in memory
	sum  float64
	at   mtclock.Instant
	// scale turns stored work into present work: all of it fades by one number
	// instead of 65,536.
	scale float64
	young []*span
}

// span is a run of keys that came to the server not long ago.
type span struct {
	low, high mtid.KeyNumber
	since     mtclock.Instant
	sum       float64 // of its keys' work, in seconds
	at        mtclock.Instant
}

const (
	// leastAge is the age up to which a run counts as so old: of fewer arrivals
	// nothing can be told.
	leastAge = 400 * time.Millisecond
	// grownUp is the age from which the measured work is taken as it is.
	grownUp = 2 * MeterMemory
)

// left returns what is left of measured work after a time, as a part.
func left(passed time.Duration) float64 {
	return math.Exp(-passed.Seconds() / MeterMemory.Seconds())
}

// share returns the part of the work that has come into the measurement by now.
func (s *span) share(now mtclock.Instant) float64 {
	return 1 - left(max(now.Sub(s.since), leastAge))
}

func (s *span) covers(key mtid.KeyNumber) bool { return s.low <= key && key <= s.high }

// add counts work of the span's keys, and lets the past count less.
func (s *span) add(now mtclock.Instant, work float64) {
	if passed := now.Sub(s.at); passed > 0 {
		s.sum *= left(passed)
		s.at = now
	}
	s.sum += work
}

// rescaleAt is the scale below which the stored numbers are brought up to date,
// far above where 32 bits lose precision.
const rescaleAt = 1e-6

// NewMeter returns a meter that has seen nothing.
func NewMeter(now mtclock.Instant) *Meter { return &Meter{at: now, scale: 1} }

// Arrive counts a request for a key that takes about so long.
func (m *Meter) Arrive(now mtclock.Instant, key mtid.KeyNumber, takes time.Duration) {
	m.fade(now)
	m.work[key] += float32(takes.Seconds() / m.scale)
	m.sum += takes.Seconds()
	if s := m.youngAt(key); s != nil {
		s.add(now, takes.Seconds())
	}
}

// Gain says that keys came to the server just now, so that nothing was measured of
// them yet.
func (m *Meter) Gain(now mtclock.Instant, low, high mtid.KeyNumber) {
	m.Forget(now, low, high)
	m.young = slices.DeleteFunc(m.young, func(s *span) bool { return now.Sub(s.since) > grownUp })
	m.young = append(m.young, &span{low: low, high: high, since: now, at: now})
}

// youngAt returns the youngest run that holds the key, or nil.
func (m *Meter) youngAt(key mtid.KeyNumber) *span {
	for i := len(m.young) - 1; i >= 0; i-- {
		if m.young[i].covers(key) {
			return m.young[i]
		}
	}
	return nil
}

// Demand returns the offered work of all keys, in slots.
func (m *Meter) Demand(now mtclock.Instant) float64 {
	m.fade(now)
	sum := m.sum
	for _, s := range m.young {
		s.add(now, 0)
		sum += s.sum * (1/s.share(now) - 1)
	}
	return sum / MeterMemory.Seconds()
}

// Of returns the offered work of one key, in slots.
func (m *Meter) Of(now mtclock.Instant, key mtid.KeyNumber) float64 {
	m.fade(now)
	work := float64(m.work[key]) * m.scale / MeterMemory.Seconds()
	if work == 0 {
		return 0
	}
	if s := m.youngAt(key); s != nil {
		work /= s.share(now)
	}
	return work
}

// Forget drops what was measured of keys that have gone to another owner.
func (m *Meter) Forget(now mtclock.Instant, low, high mtid.KeyNumber) {
	m.fade(now)
	for key := int(low); key <= int(high); key++ {
		if m.work[key] == 0 {
			continue
		}
		work := float64(m.work[key]) * m.scale
		m.sum -= work
		m.work[key] = 0
		if s := m.youngAt(mtid.KeyNumber(key)); s != nil {
			s.add(now, -min(work, s.sum))
		}
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
	factor := left(passed)
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
