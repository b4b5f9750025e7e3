package mtbackend

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// slowMemory is the time after which the last word counts for 1/e: machines that are
	// shared become slow and quick again several times a second.
	slowMemory = 300 * time.Millisecond
	// slowAveraging is the weight of a word in the mean, one over it.
	slowAveraging = 64
)

// Slowness is how long work takes on the server's machine, as a multiple of what is usual
// there: other work runs beside it. Each answer of the server may tell. The zero value is
// that of a machine of which nothing was told: all is as usual.
//
// It isn't safe for concurrent use.
type Slowness struct {
	last float64
	at   mtclock.Instant
	mean float64
}

// Note takes in a word that comes now. What no machine can mean is passed over.
func (s *Slowness) Note(now mtclock.Instant, multiple float64) {
	if !(multiple > 0) || math.IsInf(multiple, 0) {
		return
	}
	if s.mean == 0 {
		s.mean = multiple
	}
	s.mean += (multiple - s.mean) / slowAveraging
	s.last, s.at = multiple, now
}

// Now returns how much longer work takes now than it does on average, as a multiple.
func (s *Slowness) Now(now mtclock.Instant) float64 {
	if s.mean == 0 {
		return 1
	}
	left := math.Exp(-max(now.Sub(s.at), 0).Seconds() / slowMemory.Seconds())
	return 1 + (s.last/s.mean-1)*left
}
