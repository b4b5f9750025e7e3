package mtpoison

import "magnoliaturn/core/mtclock"

// addCrash records a crash, or merges it with the same crash recorded before, and
// makes suspects of the requests in flight.
func (t *Table[R]) addCrash(now mtclock.Instant, c *Crash) {
	known, ok := t.crashes[c.ID]
	if !ok {
		known = &Crash{ID: c.ID, At: c.At}
		t.crashes[c.ID] = known
	}
	known.Complete = known.Complete || c.Complete
	if len(known.Cleared) == 0 {
		known.Cleared = c.Cleared[:min(len(c.Cleared), t.limits.Fingerprints)]
	}
	for _, p := range c.Fingerprints {
		if known.add(p, t.limits.Fingerprints) {
			t.suspect(p, c.At)
		}
	}
	only := t.onlyCommon(known)
	for _, p := range known.Fingerprints {
		t.evaluate(now, p, Coincidence{Crashes: t.crashesOf(p), Alone: c.alone, Only: only[p]})
	}
	t.evictCrashes()
}

// evaluate quarantines a suspect if c satisfies the rule.
func (t *Table[R]) evaluate(now mtclock.Instant, p Fingerprint, c Coincidence) {
	if _, ok := t.suspects[p]; ok && t.rule.Quarantines(c) {
		t.quarantine(now, p)
	}
}

// crashesOf returns the number of recorded crashes at which the fingerprint was in
// flight.
func (t *Table[R]) crashesOf(p Fingerprint) int {
	count := 0
	for _, c := range t.crashes {
		if c.contains(p) {
			count++
		}
	}
	return count
}

// onlyCommon returns each fingerprint that is the only one in common between c and
// another crash, if the requests in flight at both are completely known.
func (t *Table[R]) onlyCommon(c *Crash) map[Fingerprint]bool {
	only := make(map[Fingerprint]bool)
	for _, other := range t.crashes {
		if other == c || !c.Complete || !other.Complete {
			continue
		}
		if p, ok := c.onlyCommon(other); ok {
			only[p] = true
		}
	}
	return only
}

// evictCrashes removes the oldest crashes above the limit.
func (t *Table[R]) evictCrashes() {
	for len(t.crashes) > t.limits.Crashes {
		var oldest *Crash
		for _, c := range t.crashes {
			if oldest == nil || c.older(oldest) {
				oldest = c
			}
		}
		delete(t.crashes, oldest.ID)
	}
}
