package mtrange

import (
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// MeterMemory is the time constant of the measurement: an arrival this old counts
// for 1/e. Hot keys change within seconds, and a typical server receives some
// twenty requests a second, so two seconds contain enough of them to distinguish a
// hot key from chance.
const MeterMemory = 2 * time.Second

// Meter measures the offered work of each key on one server, in slots: the
// arrival rate, including refused requests, times the mean service time. Unlike
// the completed work, it keeps growing beyond the server's slots.
//
// Ranges that the server acquired recently are extrapolated from the time they
// have been measured. Otherwise a server that has just received a hot run would
// report hardly more work than before for two seconds, and all owners would keep
// moving keys to it and back again: 39 servers moved keys fifty times a second.
//
// A Meter is not safe for concurrent use.
type Meter struct {
	work [int(mtid.LastKeyNumber) + 1]float32 // decayed service time in seconds; multiply by scale
	sum  float64
	at   mtclock.Instant
	// scale converts stored to current work, so that one factor decays instead of
	// 65,536 values.
	scale  float64
	recent []*recentRange
}

// recentRange is a range of keys that the server acquired recently.
type recentRange struct {
	low, high mtid.KeyNumber
	since     mtclock.Instant
	sum       float64 // decayed service time of its keys, in seconds
	at        mtclock.Instant
}

const (
	// minAge is the least age used for the extrapolation: with fewer arrivals an
	// estimate is meaningless.
	minAge = 400 * time.Millisecond
	// settledAge is the age from which the measured work is used without
	// extrapolation.
	settledAge = 2 * MeterMemory
)

// decayFactor returns the fraction of measured work that still counts after the
// elapsed time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / MeterMemory.Seconds())
}

// measuredShare returns the fraction of the steady-state value that a constant
// load would have reached by now.
func (s *recentRange) measuredShare(now mtclock.Instant) float64 {
	return 1 - decayFactor(max(now.Sub(s.since), minAge))
}

func (s *recentRange) covers(key mtid.KeyNumber) bool { return s.low <= key && key <= s.high }

// add decays the past work of the range, then adds the new work.
func (s *recentRange) add(now mtclock.Instant, work float64) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.sum *= decayFactor(elapsed)
		s.at = now
	}
	s.sum += work
}

// rescaleThreshold is the scale below which the stored values are rescaled, well
// before the 32-bit floats lose precision.
const rescaleThreshold = 1e-6

// NewMeter returns a meter without any arrivals.
func NewMeter(now mtclock.Instant) *Meter { return &Meter{at: now, scale: 1} }

// RecordArrival records a request for a key with its expected service time.
func (m *Meter) RecordArrival(now mtclock.Instant, key mtid.KeyNumber, serviceTime time.Duration) {
	m.decay(now)
	m.work[key] += float32(serviceTime.Seconds() / m.scale)
	m.sum += serviceTime.Seconds()
	if s := m.recentAt(key); s != nil {
		s.add(now, serviceTime.Seconds())
	}
}

// AddKeys records that the server has just acquired a range of keys, for which
// nothing has been measured yet.
func (m *Meter) AddKeys(now mtclock.Instant, low, high mtid.KeyNumber) {
	m.Forget(now, low, high)
	m.recent = slices.DeleteFunc(m.recent, func(s *recentRange) bool { return now.Sub(s.since) > settledAge })
	m.recent = append(m.recent, &recentRange{low: low, high: high, since: now, at: now})
}

// recentAt returns the most recently acquired range that contains the key, or nil.
func (m *Meter) recentAt(key mtid.KeyNumber) *recentRange {
	for i := len(m.recent) - 1; i >= 0; i-- {
		if m.recent[i].covers(key) {
			return m.recent[i]
		}
	}
	return nil
}

// Demand returns the offered work of all keys, in slots.
func (m *Meter) Demand(now mtclock.Instant) float64 {
	m.decay(now)
	sum := m.sum
	for _, s := range m.recent {
		s.add(now, 0)
		sum += s.sum * (1/s.measuredShare(now) - 1)
	}
	return sum / MeterMemory.Seconds()
}

// KeyDemand returns the offered work of one key, in slots.
func (m *Meter) KeyDemand(now mtclock.Instant, key mtid.KeyNumber) float64 {
	m.decay(now)
	work := float64(m.work[key]) * m.scale / MeterMemory.Seconds()
	if work == 0 {
		return 0
	}
	if s := m.recentAt(key); s != nil {
		work /= s.measuredShare(now)
	}
	return work
}

// Forget drops the measurements of keys that have moved to another owner.
func (m *Meter) Forget(now mtclock.Instant, low, high mtid.KeyNumber) {
	m.decay(now)
	for key := int(low); key <= int(high); key++ {
		if m.work[key] == 0 {
			continue
		}
		work := float64(m.work[key]) * m.scale
		m.sum -= work
		m.work[key] = 0
		if s := m.recentAt(mtid.KeyNumber(key)); s != nil {
			s.add(now, -min(work, s.sum))
		}
	}
	m.sum = max(m.sum, 0)
}

// decay reduces the weight of past arrivals.
func (m *Meter) decay(now mtclock.Instant) {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	m.at = now
	factor := decayFactor(elapsed)
	m.sum *= factor
	m.scale *= factor
	if m.scale >= rescaleThreshold {
		return
	}
	for key := range m.work {
		m.work[key] *= float32(m.scale)
	}
	m.scale = 1
}
