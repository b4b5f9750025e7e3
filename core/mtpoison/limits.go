package mtpoison

import "time"

// Limits bound a Table. Zero fields take the defaults.
type Limits struct {
	Crashes     int           // crashes that are remembered
	Prints      int           // fingerprints of one crash
	Quarantined int           // fingerprints in quarantine
	Suspicion   time.Duration // how long a crash makes suspects
	Quarantine  time.Duration // how long after the last request it ends
}

// Defaults of Limits.
const (
	DefaultCrashes     = 128
	DefaultPrints      = 256
	DefaultQuarantined = 512
	DefaultSuspicion   = 10 * time.Minute
	DefaultQuarantine  = time.Hour
)

// filled returns l with its zero fields set to the defaults.
func (l Limits) filled() Limits {
	fill(&l.Crashes, DefaultCrashes)
	fill(&l.Prints, DefaultPrints)
	fill(&l.Quarantined, DefaultQuarantined)
	fill(&l.Suspicion, DefaultSuspicion)
	fill(&l.Quarantine, DefaultQuarantine)
	return l
}

// fill sets a zero field to its default.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
