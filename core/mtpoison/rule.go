package mtpoison

// Coincidence is what is known against a fingerprint.
type Coincidence struct {
	Crashes int  // of which it was in flight
	Alone   bool // in the last of them nothing else was in flight
	Only    bool // it alone is on two complete lists of requests in flight
}

// Rule decides when a suspect is quarantined, and how suspects run.
type Rule interface {
	// Quarantines reports whether a fingerprint is to be quarantined.
	Quarantines(c Coincidence) bool
	// Alone reports whether suspects run alone.
	Alone() bool
}

// Narrow is the rule meant for service: suspects run alone, and only a crash
// that nothing else can have caused is held against one.
type Narrow struct{}

// Quarantines implements Rule.
func (Narrow) Quarantines(c Coincidence) bool { return c.Alone || c.Only }

// Alone implements Rule.
func (Narrow) Alone() bool { return true }

// Count is the plain rule: what was in flight at so many crashes is
// quarantined.
type Count struct{ Crashes int }

// Quarantines implements Rule.
func (r Count) Quarantines(c Coincidence) bool { return c.Crashes >= r.Crashes }

// Alone implements Rule.
func (Count) Alone() bool { return false }
