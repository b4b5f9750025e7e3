package mtgrant

import (
	"context"
	"errors"
	"slices"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

const (
	// period is how often the duty looks, besides whenever something changes.
	period = 250 * time.Millisecond
	// orderTimeout bounds a grant, which a server answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// slowClock is by how much a server's clock may run slow, so that a grant
	// lasts longer than it says.
	slowClock = 0.02
	// spare is added to the end of a grant before others may take its keys: for
	// what neither clock nor time-out covers.
	spare = 300 * time.Millisecond
	// failing is how much of the certain time may be left before all grants are
	// renewed once more: the store seems to be away, and what is granted now has
	// to last until it is back. The later that is, the longer an outage is outlived;
	// it leaves 0.4 s for the orders beside the time-out of the last one, and is less
	// than what is left before a renewal of the lease that succeeds, 1.3 s.
	failing = 800 * time.Millisecond
	// grantRetry is when to ask again for a key that is about to be granted.
	grantRetry = 200 * time.Millisecond
	// awayRetry is the same while the store turns this daemon away: about what its
	// record takes to be back after that.
	awayRetry = 800 * time.Millisecond
	// behindFor is how long the copy may be older than the own record before
	// everything is read anew. A watch brings the record within 0.25 s, over two hops;
	// one that has gone deaf would keep the server idle until it is cut.
	behindFor = 400 * time.Millisecond
)

// mayOrder reports whether others still have to reckon with grants of this daemon, and
// this daemon knows of all that they took over before. From the time on up to which its
// record is certain, others count until they take its keys. It is asked before each
// order: servers answer late, and while one answer after the other was waited for, the
// time ran out.
func (g *Grants) mayOrder(now mtclock.Instant) bool {
	return g.Directory.RecordValidUntil().Sub(now) > orderTimeout && g.Directory.Current()
}

// catchUp sees to it that a copy that is older than the own record does not stay so: a
// watch that pauses tries again at once, and one that hears nothing reads everything anew.
func (g *Grants) catchUp(now mtclock.Instant) {
	older := g.Directory.RecordValidUntil().After(now) && !g.Directory.Current()
	g.mu.Lock()
	since := g.behind
	switch {
	case !older:
		g.behind = 0
	case since == 0 || now.Sub(since) >= behindFor:
		g.behind = now
	}
	g.mu.Unlock()
	switch {
	case !older:
	case since == 0:
		g.Directory.RetryWatch()
	case now.Sub(since) >= behindFor:
		g.Log.Warn("copy stays older than the own record: reading everything", "own", uint64(g.Directory.RecordVersion()), "copy", uint64(g.Directory.View().Revision))
		g.Directory.Resync()
	}
}

// due returns the grants to renew now. A server that leaves is granted nothing that it
// does not hold: it got calls after its time for new work, from a daemon that had just
// been restarted and granted the keys only to release them.
func (g *Grants) due(record mtbackend.Record) []*grant {
	now := g.Clock.Now()
	if !g.mayOrder(now) {
		return nil
	}
	certain := g.Directory.RecordValidUntil().Sub(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []*grant
	for _, held := range g.grants {
		if held.moving || held.granted == 0 && record.State == mtbackend.Draining {
			continue
		}
		age := now.Sub(held.granted)
		if certain > failing {
			held.overdue = false
		}
		switch {
		case held.granted == 0 || age > g.Hold/renewals:
		case certain <= failing && !held.overdue:
			held.overdue = true
		default:
			continue
		}
		due = append(due, held)
	}
	return due
}

// renewals is how many renewals fit into a hold.
const renewals = 3

// order grants one range. An order that is not answered may be carried out until
// its time has run out, counted from its arrival.
func (g *Grants) order(ctx context.Context, address string, held *grant) {
	if !g.Host.Bound(held.life) {
		return // it would obey as another life; the host wakes the duty
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := g.Clock.Now()
	if !g.mayOrder(sent) {
		return
	}
	until := sent.Add(orderTimeout + g.longest())
	g.mu.Lock()
	if held.moving || !slices.Contains(g.grants, held) {
		// Since it was found due, the range has begun to move. An order now could
		// reach the server after the release, and the server would hold the keys
		// beside their new owner until the grant runs out.
		g.mu.Unlock()
		return
	}
	g.ordering = held
	r := held.Range
	first := held.granted == 0
	held.ordered = true
	g.mu.Unlock()
	err := g.Port.Grant(ctx, address, r, g.Hold)
	var absent *AbsentError
	if errors.As(err, &absent) {
		g.Host.Suspect(held.life)
		until = 0 // nothing was delivered
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ordering = nil
	g.lasts = max(g.lasts, until)
	if err != nil {
		g.doubt[held.life] = max(g.doubt[held.life], until)
		g.Log.Warn("grant failed", "server", held.life.String(), "low", r.Low, "high", r.High, "epoch", uint64(r.Epoch), "error", err)
		return
	}
	held.granted = sent
	if first {
		g.Host.Gain(r.Low, r.High)
		g.Log.Info("granted", "server", held.life.String(), "low", r.Low, "high", r.High, "epoch", uint64(r.Epoch), "hold", g.Hold, "warm", r.WarmupState != "")
	}
}

// longest returns how long a grant lasts at most, by a true clock.
func (g *Grants) longest() time.Duration {
	return time.Duration(float64(g.Hold) * (1 + slowClock))
}
