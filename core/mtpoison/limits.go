package mtpoison

import "time"

// Limits bound the size of a Table and the age of its evidence. Zero fields take
// the defaults.
type Limits struct {
	Crashes      int           // crashes retained
	Fingerprints int           // fingerprints retained per crash
	Quarantined  int           // fingerprints in quarantine
	Suspicion    time.Duration // how long evidence of a crash counts
	Quarantine   time.Duration // how long a quarantine outlasts the last request
}

// Defaults for the fields of Limits.
const (
	DefaultCrashes      = 128
	DefaultFingerprints = 256
	DefaultQuarantined  = 512
	DefaultSuspicion    = 10 * time.Minute
	DefaultQuarantine   = time.Hour
)

// withDefaults returns l with its zero fields set to the defaults.
func (l Limits) withDefaults() Limits {
	setDefault(&l.Crashes, DefaultCrashes)
	setDefault(&l.Fingerprints, DefaultFingerprints)
	setDefault(&l.Quarantined, DefaultQuarantined)
	setDefault(&l.Suspicion, DefaultSuspicion)
	setDefault(&l.Quarantine, DefaultQuarantine)
	return l
}

// setDefault sets a zero field to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
