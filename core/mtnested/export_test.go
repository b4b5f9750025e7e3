package mtnested

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Sums returns what the decision for a request of a route rests on: the sum over its callees and
// the part to refuse, which sums over all routes.
func (t *Tracker) Sums(now mtclock.Instant, name mtid.Class) (failed, refused float64) {
	r := t.routes[name]
	return r.failedPerRequest(now), t.refusedPart(now, r)
}
