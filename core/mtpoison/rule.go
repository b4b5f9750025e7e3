package mtpoison

// Coincidence is the evidence that a fingerprint causes crashes.
type Coincidence struct {
	Crashes int  // number of crashes at which it was in flight
	Alone   bool // nothing else was in flight at the last of them
	Only    bool // it is the only one in flight at two completely known crashes
}

// Rule decides when a suspect is quarantined and whether suspects run alone.
type Rule interface {
	// Quarantines reports whether c suffices to quarantine the fingerprint.
	Quarantines(c Coincidence) bool
	// Alone reports whether suspects run alone.
	Alone() bool
}

// Narrow is the rule for production: suspects run alone, and a suspect is
// quarantined only after a crash that no other request can have caused.
type Narrow struct{}

// Quarantines implements Rule.
func (Narrow) Quarantines(c Coincidence) bool { return c.Alone || c.Only }

// Alone implements Rule.
func (Narrow) Alone() bool { return true }

// Count is the simple rule that Narrow is compared with: a fingerprint that was
// in flight at Crashes crashes is quarantined, and suspects run beside others.
type Count struct{ Crashes int }

// Quarantines implements Rule.
func (r Count) Quarantines(c Coincidence) bool { return c.Crashes >= r.Crashes }

// Alone implements Rule.
func (Count) Alone() bool { return false }
