package mtgrant

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
)

// claim is a range of keys that this daemon's server had when an era of the store ended.
type claim struct {
	mtrange.Range
	// until is the time after which others may have taken the keys: those who don't know of the
	// claim wait until no grant of the ended era can be in force.
	until mtclock.Instant
}

// claimPause is the longest pause between two attempts to write claims.
const claimPause = 100 * time.Millisecond

// updateClaims makes claims when an era of the store has ended, drops those that are settled, and
// has the others written.
func (g *Grants) updateClaims(ctx context.Context) {
	view, now := g.Directory.View(), g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeTenure(view, now)
	g.dropClaims(view, now)
	if len(g.claims) == 0 || g.claiming || g.Directory.RecordVersion().Era() != view.Era() {
		return
	}
	g.claiming = true
	g.offloads.Go(func() { g.writeClaims(ctx) })
}

// observeTenure makes claims when a tenure has ended with its era. It is called with mu held.
func (g *Grants) observeTenure(view *mtdirectory.View, now mtclock.Instant) {
	tenure, ok := g.Directory.FormerTenure()
	if ok && tenure.Era() < view.Era() && (!g.claimedFirst || tenure.Era() > g.claimedEra) {
		g.claimedEra, g.claimedFirst = tenure.Era(), true
		g.makeClaims(view, tenure, now)
	}
}

// makeClaims claims what the server had in a tenure that ended with its era. It is called with mu
// held.
//
// While the record let the server hold its keys, only this daemon could give them to another
// owner. So they are its own, if its copy had every takeover from before the tenure, if the tenure
// ended so recently that nobody can have counted the record as missing for long enough, and if
// this daemon was not moving them away.
func (g *Grants) makeClaims(view *mtdirectory.View, tenure mtdirectory.Tenure, now mtclock.Instant) {
	last, until := g.lastAssignment(view, tenure), tenure.Until.Add(g.GrantDuration)
	complete := uint64(view.RevisionIn(tenure.Era())) >= uint64(tenure.Since)
	if last.Table == nil || !complete || !now.Before(until) {
		g.Log.Warn("no keys are claimed: others may have taken them", "era", view.Era(), "held", tenure.Era(), "complete", complete, "ago", now.Sub(tenure.Until))
		return
	}
	for _, r := range last.Owned(mtrange.Owner{Daemon: g.Self, Incarnation: tenure.Incarnation}) {
		if r.Epoch.Era() == tenure.Era() && !g.leavesHere(r) {
			g.claims = append(g.claims, claim{Range: r, until: until})
		}
	}
	g.forgone = nil
	g.Log.Info("keys are claimed in a new era of the store", "era", view.Era(), "held", tenure.Era(), "server", tenure.Incarnation.String(), "claims", len(g.claims))
}

// lastAssignment returns the last assignment of the era of a tenure, without a table if there is
// none.
func (g *Grants) lastAssignment(view *mtdirectory.View, tenure mtdirectory.Tenure) mtdirectory.Assignment {
	for _, a := range []mtdirectory.Assignment{view.Assignments[g.Service], view.Former[g.Service]} {
		if a.Table != nil && a.Era() == tenure.Era() {
			return a
		}
	}
	return mtdirectory.Assignment{}
}

// leavesHere reports whether any keys of a range are moving away, or may have moved away. It is
// called with mu held.
func (g *Grants) leavesHere(r mtrange.Range) bool {
	overlaps := func(o mtrange.Range) bool { return o.Low <= r.High && r.Low <= o.High }
	return slices.ContainsFunc(g.forgone, overlaps) ||
		slices.ContainsFunc(g.grants, func(held *grant) bool { return held.moving && overlaps(held.Range) })
}

// checkFallow returns nil for a key of the server, fallow in the store's era, that it may still have
// by a grant of this daemon's previous process: the server itself refuses a call for a key that it
// does not have. After that time the error asks the caller to come back when the key can be granted.
func (g *Grants) checkFallow(view *mtdirectory.View, key mtid.KeyNumber) error {
	now := g.Clock.Steady()
	if now.Before(g.previous.expiry) {
		return nil
	}
	r := mtrange.AllKeys
	if assigned, ok := view.Assignments[g.Service].Lookup(key); ok {
		r = mtrange.Span{Low: assigned.Low, High: assigned.High}
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: max(g.fallowLeft(view, now, r.Low, r.High), grantRetry)}
}

// forgo records that a move was under way when its era ended, so that its keys are not claimed. A
// new epoch under the same owner is no move.
func (g *Grants) forgo(t mtrange.Transfer) {
	if t.From == t.To {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgone = append(g.forgone, mtrange.Range{Low: t.Low, High: t.High, Epoch: t.Epoch})
}

// dropClaims drops the claims that are written, and those that have become too old. It is called
// with mu held.
func (g *Grants) dropClaims(view *mtdirectory.View, now mtclock.Instant) {
	table := view.Assignments[g.Service].Table
	g.claims = slices.DeleteFunc(g.claims, func(c claim) bool {
		if table != nil && table.Era() == view.Era() && table.Settled(c.Low, c.High) {
			return true
		}
		seal := view.Seals[g.Service]
		sealed := seal.Version != 0 && uint64(view.Revision) >= uint64(seal.Version)
		given := sealed || !now.Before(c.until)
		if given {
			g.Log.Warn("claim of keys is given up: others may have taken them", "low", c.Low, "high", c.High, "epoch", uint64(c.Epoch), "sealed", sealed)
		}
		return given
	})
}

// claimed reports whether a range is claimed and the claim is not settled. It is called with mu
// held.
func (g *Grants) claimed(r mtrange.Range) bool {
	return slices.ContainsFunc(g.claims, func(c claim) bool { return c.Epoch == r.Epoch && c.Covers(r.Low) && c.Covers(r.High) })
}

// writeClaims writes all claims in one step.
func (g *Grants) writeClaims(ctx context.Context) {
	g.mu.Lock()
	b := mtrange.Batch{Service: g.Service, Daemon: g.Self, RecordVersion: g.Directory.RecordVersion(), KnownEpoch: g.Directory.View().Assignments[g.Service].NextEpoch()}
	for _, c := range g.claims {
		b.Transfers = append(b.Transfers, mtrange.Transfer{From: c.Owner, Epoch: c.Epoch, Low: c.Low, High: c.High, To: c.Owner})
	}
	direct := g.claimFailed
	g.mu.Unlock()
	written := 0
	for _, outcome := range g.write(b, direct) {
		if outcome == mtrange.Written {
			written++
		}
	}
	g.Log.Info("claims of keys written", "claims", len(b.Transfers), "written", written, "direct", direct)
	mtduty.Sleep(ctx, rand.N(claimPause))
	g.mu.Lock()
	// The daemon that writes for all may not have noticed the new era yet. If all wrote themselves
	// from then on, nearly every write would conflict with another one.
	g.claiming, g.claimFailed = false, !direct && written < len(b.Transfers)
	g.mu.Unlock()
	g.Wake()
}
