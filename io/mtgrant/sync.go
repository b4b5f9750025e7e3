package mtgrant

import (
	"context"
	"slices"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// reconcile makes the grants match the assignment and sends those that are due.
func (g *Grants) reconcile(ctx context.Context) {
	record, address := g.Host.Record()
	owner := record.Owner()
	g.updateClaims(ctx) // also what a server had that has ended
	if record.State == mtbackend.Ended {
		return // the record lets others take over the keys, and no copy is current
	}
	g.refreshStaleCopy(g.Clock.Now())
	g.observePreviousEpochs()
	if owner.Incarnation.IsZero() || record.State == mtbackend.Unknown {
		return
	}
	if _, ok := g.Directory.View().Assignments[g.Service]; !ok {
		return
	}
	g.releaseUnassigned(ctx, address, g.syncGrants(owner))
	for _, held := range g.dueGrants(record) {
		g.sendGrant(ctx, address, held)
	}
	g.reportUngranted(record)
}

// releaseUnassigned releases keys that the assignment has given to another server although
// this process did not move them.
func (g *Grants) releaseUnassigned(ctx context.Context, address string, unassigned []*grant) {
	for _, held := range unassigned {
		g.Log.Warn("grant is no longer assigned here", "server", held.incarnation.String(), "low", held.Low, "high", held.High, "epoch", uint64(held.Epoch))
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		if _, err := g.Client.Release(ctx, address, held.Low, held.High, held.Epoch); err != nil {
			g.Log.Warn("release failed", "low", held.Low, "high", held.High, "error", err)
		}
		cancel()
	}
}

// syncGrants updates the grants to the ranges that the assignment gives to the server. It
// returns the grants that are no longer assigned to the server and were not moved by this
// daemon.
//
// It reads the assignment with mu held: a move ends, with mu held, only once this daemon's copy
// includes it. With a copy from before that, keys that have just moved away would seem to be
// assigned but not granted, and would be granted here again.
func (g *Grants) syncGrants(owner mtrange.Owner) (unassigned []*grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.Directory.View()
	if g.Directory.RecordVersion().Era() != view.Era() {
		// In a new era of the store it is known what to claim once the record is written. Until then
		// an assignment without the claims would seem to have taken the keys away.
		return nil
	}
	g.observeTenure(view, g.Clock.Now())
	owned := view.Assignments[g.Service].Owned(owner)
	var next []*grant
	for _, r := range owned {
		next = append(next, g.grantsOf(owner.Incarnation, r)...)
	}
	for _, held := range g.grants {
		assigned := slices.ContainsFunc(next, func(n *grant) bool {
			return n.Covers(held.Low) && (n.Epoch == held.Epoch || n.renewedFrom == held.Epoch)
		})
		switch {
		case assigned:
		case held.moving, g.claimed(held.Range):
			next = append(next, held) // removed when its move ends, or its claim is refused
		case held.attempted && held.incarnation == owner.Incarnation:
			unassigned = append(unassigned, held)
		}
	}
	g.grants = next
	return unassigned
}

// grantsOf returns the grants for a range: the existing ones, the remaining part of a wider
// one, or a new one.
func (g *Grants) grantsOf(incarnation mtid.ServerIncarnation, r mtrange.Range) []*grant {
	var inside []*grant
	keys := 0
	for _, held := range g.grants {
		if held.incarnation != incarnation || held.Epoch != r.Epoch {
			continue
		}
		if r.Covers(held.Low) && r.Covers(held.High) {
			inside = append(inside, held)
			keys += held.Keys()
			continue
		}
		if held.Covers(r.Low) && held.Covers(r.High) && !held.moving {
			rest := *held
			rest.Low, rest.High = r.Low, r.High
			return []*grant{&rest}
		}
	}
	if keys == r.Keys() {
		return inside
	}
	return []*grant{g.newGrant(incarnation, r)}
}
