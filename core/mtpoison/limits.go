package mtpoison

import (
	"cmp"
	"time"
)

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
	l.Crashes = cmp.Or(l.Crashes, DefaultCrashes)
	l.Fingerprints = cmp.Or(l.Fingerprints, DefaultFingerprints)
	l.Quarantined = cmp.Or(l.Quarantined, DefaultQuarantined)
	l.Suspicion = cmp.Or(l.Suspicion, DefaultSuspicion)
	l.Quarantine = cmp.Or(l.Quarantine, DefaultQuarantine)
	return l
}
