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
	// reconcilePeriod is the interval of the reconcile loop, which also runs after every
	// change.
	reconcilePeriod = 250 * time.Millisecond
	// commandTimeout bounds a grant, which a server answers within milliseconds.
	commandTimeout = 400 * time.Millisecond
	// maxClockError is by how much a server's clock may run slow, so that a grant lasts
	// longer than intended.
	maxClockError = 0.02
	// takeoverMargin is added to the end of a grant before other servers may take over its
	// keys. It allows for delays that neither the clock error nor a timeout covers.
	takeoverMargin = 300 * time.Millisecond
	// lastRenewalWindow starts when this much time is left until the record is no longer
	// certain to exist. All grants are then renewed once more: the store appears to be
	// unavailable, and the grants have to last until it is available again. The later they
	// are renewed, the longer an outage they survive. The window leaves 0.4 s for sending
	// the commands, in addition to the timeout of the last one. It is shorter than the time
	// left before a renewal of the lease that succeeds, 1.3 s.
	lastRenewalWindow = 800 * time.Millisecond
	// grantRetry is when callers should retry a key that is about to be granted.
	grantRetry = 200 * time.Millisecond
	// unavailableRetry is when callers should retry while the store rejects this daemon.
	// The record takes about this long to return afterwards.
	unavailableRetry = 800 * time.Millisecond
	// maxStaleness is how long the copy may be older than this daemon's record before the
	// daemon reads everything again. A watch brings the record within 0.25 s, over two
	// hops. A watch that receives nothing would keep the server idle until its connection
	// is cut.
	maxStaleness = 400 * time.Millisecond
)

// maySendGrants reports whether a grant can be sent now: this daemon's copy includes all
// earlier takeovers of its keys, and its record is certain to exist for as long as sending
// may take. From the time at which the record is no longer certain, other daemons may
// already be waiting for the grants to expire. The check is repeated before each command:
// servers answer late, and while answers were awaited one after the other, that time
// passed.
func (g *Grants) maySendGrants(now mtclock.Instant) bool {
	return g.Directory.RecordValidUntil().Sub(now) > commandTimeout && g.Directory.Current()
}

// refreshStaleCopy updates a copy that is older than this daemon's record. A watch that is
// pausing after a failure retries at once, and one that receives nothing is replaced by
// reading everything again.
func (g *Grants) refreshStaleCopy(now mtclock.Instant) {
	stale := g.Directory.RecordValidUntil().After(now) && !g.Directory.Current()
	g.mu.Lock()
	since := g.staleSince
	switch {
	case !stale:
		g.staleSince = 0
	case since == 0 || now.Sub(since) >= maxStaleness:
		g.staleSince = now
	}
	g.mu.Unlock()
	switch {
	case !stale:
	case since == 0:
		g.Directory.RetryWatch()
	case now.Sub(since) >= maxStaleness:
		g.Log.Warn("copy stays older than the own record: reading everything", "era", g.Directory.RecordVersion().Era(), "own", g.Directory.RecordVersion().Number(), "copy-era", g.Directory.View().Era(), "copy", g.Directory.View().Revision.Number())
		g.Directory.Resync()
	}
}

// dueGrants returns the grants to send now. None is sent under an epoch of an earlier era of the
// store: a higher one may be lost, under which another server has the keys. A server that is leaving is granted no keys
// that it does not hold already. Otherwise a daemon that has just been restarted would
// grant them only to release them, and the server would get calls after it has stopped
// accepting new work.
func (g *Grants) dueGrants(record mtbackend.Record) []*grant {
	now, steady := g.Clock.Now(), g.Clock.Steady()
	if !g.maySendGrants(now) {
		return nil
	}
	certain := g.Directory.RecordValidUntil().Sub(now)
	era := g.Directory.View().Era()
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []*grant
	for _, held := range g.grants {
		if held.moving || held.Epoch.Era() != era || held.grantedAt == 0 && record.State == mtbackend.Draining {
			continue
		}
		age := now.Sub(held.grantedAt)
		if certain > lastRenewalWindow {
			held.renewedEarly = false
		}
		switch {
		case held.grantedAt == 0 || age > g.GrantDuration/renewalsPerGrant || steady.Before(held.earlierUntil):
		case certain <= lastRenewalWindow && !held.renewedEarly:
			held.renewedEarly = true
		default:
			continue
		}
		due = append(due, held)
	}
	return due
}

// renewalsPerGrant is how often a grant is renewed within its duration.
const renewalsPerGrant = 3

// sendGrant grants one range. A grant that is not answered may still be executed. It is in
// effect until its duration has passed, counted from its arrival.
func (g *Grants) sendGrant(ctx context.Context, address string, held *grant) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	sent := g.Clock.Now()
	if !g.maySendGrants(sent) || !g.beginCommand(held) {
		return
	}
	// The command counts as in flight before this is asked: either the host sees it in
	// LastExpiry and does not end the server, or it has ended the server and nothing is sent.
	if !g.Host.ConnectedTo(held.incarnation) {
		g.clearInFlight() // another incarnation might execute it; the host wakes the loop
		return
	}
	// The server may end, and its next incarnation start, between that and the opening of a connection.
	confirmed := WithConfirmation(ctx, func() bool { return g.Host.ConnectedTo(held.incarnation) })
	err := g.Client.Grant(confirmed, address, held.Range, g.GrantDuration)
	// The time counts from here: if this process was paused in the meantime, the command may
	// have left only after the pause, and it is in effect from its arrival.
	until := g.commandExpiry(g.Clock.Steady())
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		g.Host.CheckServer(held.incarnation)
		until = 0 // nothing was delivered
	}
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) {
		until = 0
	}
	g.endCommand(held, sent, until, err)
}

// beginCommand marks a grant as in flight, if it still matches the copy and its keys do not move.
func (g *Grants) beginCommand(held *grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// The copy may have changed since the grants were compared with it.
	view := g.Directory.View()
	assigned, _ := view.Assignments[g.Service].Lookup(held.Low)
	if held.Epoch.Era() != view.Era() || assigned.Owner != held.Owner || assigned.Epoch != held.Epoch || !assigned.Covers(held.High) {
		return false
	}
	if held.moving || !slices.Contains(g.grants, held) {
		// The range has started to move since it was found due. A command sent now could
		// reach the server after the release, and the server would hold the keys alongside
		// their new owner until the grant expires.
		return false
	}
	g.inFlight = held
	return true
}

// endCommand records what became of the grant in flight, which may be in effect until a time.
func (g *Grants) endCommand(held *grant, sent, until mtclock.Instant, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight = nil
	g.lastExpiry = max(g.lastExpiry, until)
	held.attempted = true
	log := g.Log.With("server", held.incarnation.String(), "low", held.Low, "high", held.High, "epoch", uint64(held.Epoch))
	if err != nil {
		held.until = max(held.until, until)
		log.Warn("grant failed", "error", err)
		return
	}
	first := held.grantedAt == 0
	held.grantedAt, held.earlierUntil = sent, 0
	if first {
		g.Host.AddKeys(held.Low, held.High)
		log.Info("granted", "hold", g.GrantDuration, "warm", held.WarmupState != "")
	}
}

// clearInFlight records that the grant in flight was not sent.
func (g *Grants) clearInFlight() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight = nil
}

// commandExpiry returns until when a command that is sent now may be in effect, answered or
// not, by the steady clock. By one that jumps ahead with the time of day, a command that is in
// effect would seem to have expired.
func (g *Grants) commandExpiry(now mtclock.Instant) mtclock.Instant {
	return now.Add(commandTimeout + g.maxGrantDuration())
}

// maxGrantDuration returns how long a grant can last, by an accurate clock.
func (g *Grants) maxGrantDuration() time.Duration {
	return time.Duration(float64(g.GrantDuration) * (1 + maxClockError))
}
