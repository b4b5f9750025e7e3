package mtbackend

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// slowdownMemory is the time constant of the current value: a report this old
	// counts for 1/e. Shared machines become slow and fast again several times a
	// second.
	slowdownMemory = 300 * time.Millisecond
	// meanWindow is the inverse weight of a new report in the long-term mean.
	meanWindow = 64
)

// Slowness tracks how long work takes on the server's machine, as a multiple of the
// usual time; it varies with other load on the same machine. Each reply of the server
// may contain a report. The zero value has no reports and assumes the usual speed.
//
// A Slowness is not safe for concurrent use.
type Slowness struct {
	last float64
	at   mtclock.Instant
	mean float64
}

// Observe adds a report that arrives now. Values that are not finite and positive are
// ignored.
func (s *Slowness) Observe(now mtclock.Instant, multiple float64) {
	if !(multiple > 0) || math.IsInf(multiple, 0) {
		return
	}
	if s.mean == 0 {
		s.mean = multiple
	}
	s.mean += (multiple - s.mean) / meanWindow
	s.last, s.at = multiple, now
}

// Factor returns how much longer work takes now than on average, as a multiple.
func (s *Slowness) Factor(now mtclock.Instant) float64 {
	if s.mean == 0 {
		return 1
	}
	weight := math.Exp(-max(now.Sub(s.at), 0).Seconds() / slowdownMemory.Seconds())
	return 1 + (s.last/s.mean-1)*weight
}
