package mtgrant

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// A command that was not answered may be executed seconds later. If its keys had moved to
// another owner by then, two servers would hold them. So keys with such a command don't
// start to move until it must have expired.
//
// That is too late for the keys of a server that is leaving. For these the daemon writes a
// new epoch under the same owner: once the server has answered a grant under that epoch, it
// refuses all commands under earlier ones, and the keys can move.

// uncertainty is what may become of the unanswered commands for a range of keys. Its times are
// by the steady clock.
type uncertainty struct {
	// until is until when an unanswered command under the current epoch may be in effect.
	until mtclock.Instant
	// earlierUntil is the same for earlier epochs of the same owner. It is zero once the
	// server has answered a command under the current epoch.
	earlierUntil mtclock.Instant
	// renewedFrom is the previous epoch of the same owner, and renewedAt is when the current
	// one was seen; zero if the owner has had one epoch only.
	renewedFrom mtid.Epoch
	renewedAt   mtclock.Instant
	renewing    bool // a new epoch is being written
}

// uncertain reports whether an unanswered command may be in effect or come into effect.
func (u uncertainty) uncertain(now mtclock.Instant) bool {
	return now.Before(max(u.until, u.earlierUntil))
}

// previousProcess describes the commands that the previous process of this daemon may have
// left unanswered. Its successor must respect them too: it restarts beside the same server.
type previousProcess struct {
	expiry mtclock.Instant // until when any of them may be in effect, by the steady clock
	// next is the next epoch of the first assignment that includes everything that was
	// written while the previous process ran. That process has sent no command under it or
	// a later epoch. Zero until this process has that assignment.
	next mtid.Epoch
}

// uncertainty returns the uncertainty of a range that is first seen under the epoch.
func (p previousProcess) uncertainty(epoch mtid.Epoch) uncertainty {
	if p.next != 0 && epoch >= p.next {
		return uncertainty{}
	}
	return uncertainty{until: p.expiry}
}

// observePreviousEpochs records which epochs the previous process may have used, once this
// daemon's copy is as new as the record of this process.
func (g *Grants) observePreviousEpochs() {
	view := g.Directory.View()
	assignment := view.Assignments[g.Service]
	if !g.Directory.Current() || assignment.Table != nil && assignment.Era() != view.Era() {
		return // in an earlier era it may have used epochs that are lost
	}
	next := max(assignment.NextEpoch(), 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.previous.next == 0 {
		g.previous.next = next
	}
}

// newGrant returns the grant for a range that is first seen under its epoch. If the server held
// all of its keys under one earlier epoch, they stay in service under that one until the
// server has answered a command under the new one.
func (g *Grants) newGrant(incarnation mtid.ServerIncarnation, r mtrange.Range) *grant {
	created := &grant{Range: r, incarnation: incarnation, uncertainty: g.previous.uncertainty(r.Epoch)}
	var earlier []*grant
	for _, held := range g.grants {
		if held.incarnation == incarnation && held.Epoch < r.Epoch && held.Low <= r.High && r.Low <= held.High {
			earlier = append(earlier, held)
			created.earlierUntil = max(created.earlierUntil, held.until, held.earlierUntil)
		}
	}
	if grantedAt, ok := grantedThroughout(earlier, r); ok {
		created.grantedAt, created.attempted = grantedAt, true
		created.renewedFrom, created.renewedAt = earlier[0].Epoch, g.Clock.Steady()
	}
	return created
}

// grantedThroughout reports whether grants under one epoch cover a range, none of them moving,
// and returns when the oldest of them was granted.
func grantedThroughout(grants []*grant, r mtrange.Range) (mtclock.Instant, bool) {
	keys := 0
	var grantedAt mtclock.Instant
	for _, held := range grants {
		if held.Epoch != grants[0].Epoch || held.moving || held.grantedAt == 0 || !r.Covers(held.Low) || !r.Covers(held.High) {
			return 0, false
		}
		if keys == 0 || held.grantedAt < grantedAt {
			grantedAt = held.grantedAt
		}
		keys += held.Keys()
	}
	return grantedAt, keys == r.Keys()
}

// epochRenewalPause is the minimum time between two new epochs of a range, each of which is
// a write to the store. Where most commands go unanswered, a new epoch helps little.
const epochRenewalPause = 2 * time.Second

// renewEpoch writes a new epoch for a range that this server owns and keeps, so that the
// server refuses earlier commands.
func (g *Grants) renewEpoch(r mtrange.Range) {
	if !g.beginRenewal(r) {
		return
	}
	written := g.writeTransfer(r, r.Low, r.High, r.Owner, "")
	g.endRenewal(r)
	g.Log.Info("epoch renewed", "low", r.Low, "high", r.High, "epoch", uint64(r.Epoch), "written", written)
	g.Wake()
}

// beginRenewal marks the grants of a range, and reports whether its epoch may be renewed: all
// of the range is granted and none of it moves, and the last renewal was answered and is not
// too recent.
func (g *Grants) beginRenewal(r mtrange.Range) bool {
	now := g.Clock.Steady()
	g.mu.Lock()
	defer g.mu.Unlock()
	parts := g.partsOf(r)
	for _, held := range parts {
		recent := held.renewedAt != 0 && now.Sub(held.renewedAt) < epochRenewalPause
		if held.moving || held.grantedAt == 0 || held.renewing || recent || now.Before(held.earlierUntil) {
			return false
		}
	}
	for _, held := range parts {
		held.renewing = true
	}
	return len(parts) > 0
}

// endRenewal lets the grants of a range be renewed again if the new epoch was not written.
func (g *Grants) endRenewal(r mtrange.Range) {
	now := g.Clock.Steady()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, held := range g.partsOf(r) {
		held.renewing, held.renewedAt = false, now
	}
}

// partsOf returns the grants of a range under its epoch. It is called with mu held.
func (g *Grants) partsOf(r mtrange.Range) []*grant {
	var parts []*grant
	for _, held := range g.grants {
		if held.Epoch == r.Epoch && r.Covers(held.Low) {
			parts = append(parts, held)
		}
	}
	return parts
}
