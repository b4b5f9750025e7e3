package mtgrant

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
)

// balancePeriod is the interval of the loop that offloads work from an overloaded server
// and moves the keys of a leaving one.
const balancePeriod = 200 * time.Millisecond

// moveReason is why keys move away from this server.
type moveReason string

const (
	leaving  moveReason = "server is leaving"
	zoneOut  moveReason = "zone is out of service"
	overload moveReason = "relief"
)

// urgent reports whether the keys are not served for long if they don't move soon.
func (r moveReason) urgent() bool { return r != overload }

// balance moves keys away from this server: all of them if it is leaving or its zone is out
// of service, some if it is overloaded and other servers are not.
func (g *Grants) balance(ctx context.Context) {
	record, _ := g.Host.Record()
	owner := record.Owner()
	assignment, ok := g.Directory.View().Assignments[g.Service]
	if !ok || owner.Incarnation.IsZero() {
		return
	}
	owned := assignment.Owned(owner)
	switch {
	case len(owned) == 0:
	case record.State == mtbackend.Draining, record.Leaving:
		// While a daemon restarts, its server is unreachable for longer than a warm move
		// takes.
		g.drain(ctx, owned)
	case !g.Directory.StoreAvailable():
		// Keys that are released now have no owner until the store is available again, for
		// seconds. Until then this server can serve them. Only a leaving server can't wait:
		// if its keys are released before it ends, the next owner starts warm.
	case g.Directory.View().OutOfService.Has(record.Zone):
		g.spill(ctx, owner, owned)
	case record.AcceptsWork():
		g.offload(ctx, owned)
	}
}

// drain distributes all keys of a leaving server evenly among the others.
func (g *Grants) drain(ctx context.Context, owned []mtrange.Range) {
	// This daemon's record in the directory may still be the one from before the server was
	// leaving.
	now := g.Clock.Steady()
	survivors := slices.DeleteFunc(g.survivors(g.Directory.View()), func(o mtrange.Owner) bool {
		return o.Daemon == g.Self || g.receivers.excluded(now, o.Daemon)
	})
	if len(survivors) == 0 {
		g.Log.Warn("leaving server keeps its keys: no other server accepts work", "ranges", len(owned))
		return
	}
	var runs []mtrange.KeyMove
	for i, r := range owned {
		runs = append(runs, mtrange.KeyMove{Low: r.Low, High: r.High, To: survivors[i%len(survivors)]})
	}
	g.moveAll(ctx, owned, runs, leaving)
}

// spill moves all keys of a server whose zone is out of service to servers in other zones.
func (g *Grants) spill(ctx context.Context, owner mtrange.Owner, owned []mtrange.Range) {
	g.QueryLoads(ctx)
	_, others := g.LoadReports()
	runs := g.Host.Spill(owned, g.spillPosition(owner), g.otherReports(others))
	if len(runs) == 0 {
		g.Log.Warn("server keeps its keys: no other zone is in service", "ranges", len(owned))
		return
	}
	g.moveAll(ctx, owned, runs, zoneOut)
}

// spillPosition returns the position of this server among the servers of its service that
// move all their keys because their zones are out of service.
func (g *Grants) spillPosition(owner mtrange.Owner) mtrange.SpillPosition {
	view := g.Directory.View()
	var position mtrange.SpillPosition
	for _, m := range view.Members {
		if m.Service != g.Service || !view.OutOfService.Has(m.Zone) {
			continue
		}
		position.Total++
		if m.Owner().Compare(owner) < 0 {
			position.Index++
		}
	}
	return position
}

// offload moves some keys if this server is overloaded. It does not wait for the moves: a
// release waits for running calls, and the server may start to leave in the meantime.
func (g *Grants) offload(ctx context.Context, owned []mtrange.Range) {
	now := g.Clock.Now()
	g.mu.Lock()
	tooEarly := g.offloading || now.Sub(g.lastOffload) < offloadPause(g.writeConflicts+g.emptyPlans)
	g.mu.Unlock()
	if tooEarly {
		return
	}
	self, others := g.LoadReports()
	if self.Overloaded() || mtrange.ProbeDue(now, self, others) {
		g.QueryLoads(ctx)
		self, others = g.LoadReports()
	}
	runs := g.Host.SelectMoves(owned, mtrange.PlanAll(now, self, g.otherReports(others)))
	g.mu.Lock()
	g.lastOffload = now
	g.offloading = len(runs) > 0
	g.writeConflicts = 0
	g.emptyPlans++
	if len(runs) > 0 || !self.Overloaded() {
		g.emptyPlans = 0
	}
	g.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	g.Log.Info("relief", "demand", self.Demand, "slots", self.Slots, "service", self.ServiceTime.String(), "runs", len(runs), "others", len(others))
	g.offloads.Go(func() {
		g.moveAll(ctx, owned, runs, overload)
		g.mu.Lock()
		g.offloading, g.lastOffload = false, g.Clock.Now()
		g.mu.Unlock()
	})
}

// maxOffloadPause limits the pause between two offloads of an owner, so that a hot run of
// keys that lasts for five seconds is spread at least once.
const maxOffloadPause = 3 * time.Second

// offloadPause returns how long an owner waits after a number of failed attempts to offload
// work: writes that lost against conflicting ones, each of which the store charges for, or
// plans that found no spare capacity. Each attempt queries a dozen other servers first. If
// all are overloaded, they would otherwise query each other all the time.
func offloadPause(failed int) time.Duration {
	return min(mtrange.MoveCooldown*time.Duration(1+failed), maxOffloadPause)
}

// moveAll moves runs of keys in the owned ranges concurrently and waits for all of them. Moves to servers whose daemons
// don't answer are left out.
func (g *Grants) moveAll(ctx context.Context, owned []mtrange.Range, runs []mtrange.KeyMove, why moveReason) {
	var moves sync.WaitGroup
	for _, run := range g.answeredMoves(ctx, runs) {
		i := slices.IndexFunc(owned, func(r mtrange.Range) bool { return r.Covers(run.Low) })
		if i < 0 {
			continue
		}
		moves.Go(func() { g.move(ctx, owned[i], run.Low, run.High, run.To, why) })
	}
	moves.Wait()
}

// releaseTimeout bounds a release, which waits for running calls.
const releaseTimeout = 6 * time.Second

// move releases keys of a range from the server and makes another server their owner. New
// calls for the keys wait at the gate in the meantime, and go to the new owner once the
// assignment names it.
func (g *Grants) move(ctx context.Context, r mtrange.Range, low, high mtid.KeyNumber, to mtrange.Owner, why moveReason) {
	record, address := g.Host.Record()
	begun, uncertain := g.beginMove(r, low, high, record.State == mtbackend.Draining)
	if uncertain && why.urgent() {
		g.renewEpoch(r) // the keys move in a later run of the loop
	}
	if !begun {
		return
	}
	started := g.Clock.Now()
	g.Host.Stop(low, high)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	warmupState, err := g.Client.Release(ctx, address, low, high, r.Epoch)
	if err != nil {
		g.Log.Warn("release failed", "why", why, "low", low, "high", high, "epoch", uint64(r.Epoch), "error", err)
		g.abortMove(r, low, high)
		return
	}
	if !g.writeTransfer(r, low, high, to, warmupState) {
		// During a shutdown the outcome of the move may be unknown. If the keys were
		// resumed, the last run of the reconcile loop could grant them.
		if g.baseCtx.Err() == nil {
			g.abortMove(r, low, high)
		}
		return
	}
	g.Host.Forget(low, high)
	g.Host.Release(low, high)
	g.endMove(low, r.Epoch)
	g.Log.Info("moved", "why", why, "low", low, "high", high, "to", to.Daemon, "took", g.Clock.Now().Sub(started))
}

// writeTransfer writes the new owner of released keys. It returns false only if it is
// certain that the keys stay here, or if the Grants is shutting down. A write whose outcome
// is unknown is retried until the outcome is known: if the keys were granted here in the
// meantime, the write could still take effect, and two servers would hold them. For the same
// reason a move is given up only after a new read of the assignment: a refusal may mean that
// the keys have changed hands, which this daemon's copy may not show yet. When the store has
// begun a new era, nobody can tell any more whether the move was written: the keys are left to
// whoever has them, and to the time after which nobody can.
func (g *Grants) writeTransfer(r mtrange.Range, low, high mtid.KeyNumber, to mtrange.Owner, warmupState string) bool {
	ctx := g.baseCtx
	uncertain, direct := false, false
	wanted := mtrange.Transfer{From: r.Owner, Epoch: r.Epoch, Low: low, High: high, To: to, WarmupState: warmupState}
	for tries := 0; ctx.Err() == nil; tries++ {
		if r.Epoch.Era() != g.Directory.View().Era() {
			g.forgo(wanted)
			return true
		}
		if !g.Directory.View().Assignments[g.Service].CanApply(wanted) {
			return true // the move was written, or the keys were taken over by another server
		}
		if tries >= maxConflicts && !uncertain {
			if g.readAssignment(ctx) {
				return !g.Directory.View().Assignments[g.Service].CanApply(wanted)
			}
			mtduty.Sleep(ctx, rand.N(refusedPause))
			g.awaitStore(ctx)
			continue
		}
		t := &pendingTransfer{Transfer: wanted, retry: tries > 0, direct: direct, result: make(chan mtrange.Outcome, 1)}
		pause := refusedPause
		switch g.commit(t) {
		case mtrange.Written:
			if g.awaitWritten(ctx, wanted) {
				return true
			}
			uncertain, direct = true, true
		case mtrange.OutcomeUnknown:
			// The daemon that was to write it may have terminated, or may still write it.
			uncertain, direct = true, true
		case mtrange.Conflicted:
			pause = conflictPause
			g.mu.Lock()
			g.writeConflicts++
			g.mu.Unlock()
		case mtrange.Refused:
			direct = true
		}
		mtduty.Sleep(ctx, rand.N(pause))
		if uncertain {
			g.awaitStore(ctx)
		}
	}
	return false
}

// readAssignment reads the assignment from the store into this daemon's copy, and reports
// whether it did.
func (g *Grants) readAssignment(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entry, err := g.Store.Get(ctx, mtstore.RangeName(g.Directory.View().Era(), g.Service))
	if err != nil {
		g.Log.Warn("assignment could not be read", "error", err)
		return false
	}
	read, err := mtdirectory.DecodeAssignment(entry)
	if err != nil {
		g.Log.Error("assignment in the store is invalid", "error", err)
		return false
	}
	g.Directory.ApplyAssignment(read)
	return true
}

// awaitStore waits until the store is available, but not for long, since it may accept this
// daemon's writes although other calls fail. Without the wait, each of dozens of moves with
// an unknown outcome tried the store five times a second.
func (g *Grants) awaitStore(ctx context.Context) {
	end := g.Clock.Steady().Add(unavailablePause + rand.N(unavailablePause))
	for !g.Directory.StoreAvailable() && g.Clock.Steady().Before(end) {
		if !mtduty.Sleep(ctx, storePollPeriod) {
			return
		}
	}
}

// awaitWritten waits until this daemon's copy contains a move that was written, and reports
// whether it does. The move was usually written by another daemon, whose answer includes
// the changes. If they can't be applied, the copy still assigns the keys to this server. If
// the move then counted as done, the keys would be granted here again, and two servers
// would hold them.
func (g *Grants) awaitWritten(ctx context.Context, wanted mtrange.Transfer) bool {
	ctx, cancel := context.WithTimeout(ctx, visibleTimeout)
	defer cancel()
	for {
		changed := g.Directory.Changed()
		if !g.Directory.View().Assignments[g.Service].CanApply(wanted) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

const (
	// visibleTimeout is how long awaitWritten waits. After that the move is written again
	// from here, and the conflict returns the current assignment.
	visibleTimeout = 300 * time.Millisecond
	// readTimeout bounds a read of the assignment.
	readTimeout = time.Second
	// maxConflicts is how often a move is tried while other changes of the assignment win.
	// A conflict returns the assignment that won, so the next try needs no read.
	maxConflicts = 12
	// conflictPause is the longest pause before the next try. It is about as long as a
	// write takes, so that writers that lost against the same write don't collide again.
	conflictPause = 8 * time.Millisecond
	// unavailablePause is the minimum pause between two writes of a move with an unknown
	// outcome while the store is unavailable. storePollPeriod is how often to check in the
	// meantime whether it is available again.
	unavailablePause = 600 * time.Millisecond
	storePollPeriod  = 50 * time.Millisecond
	// refusedPause is the longest pause after a write that failed for another reason: the
	// store is unavailable, or rejects this daemon, for seconds.
	refusedPause = 400 * time.Millisecond
)

// beginMove marks keys as moving, and reports whether it did. They may be part of a larger
// grant, which is then split, and other parts of it may move at the same time. Keys don't
// start to move while an unanswered command could put them back into effect after their
// release; uncertain reports that this is the reason. Nor do keys that have not been granted
// yet, unless the server is leaving: a leaving server is never granted them.
func (g *Grants) beginMove(r mtrange.Range, low, high mtid.KeyNumber, leaving bool) (begun, uncertain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch.Era() != g.Directory.View().Era() {
		return false, false
	}
	for i, held := range g.grants {
		if held.Epoch != r.Epoch || !held.Covers(low) || !held.Covers(high) || held.moving || held.grantedAt == 0 && !leaving {
			continue
		}
		if held == g.inFlight {
			return false, false
		}
		if held.uncertain(g.Clock.Steady()) {
			return false, true
		}
		parts := []*grant{}
		for _, p := range []struct {
			low, high int
			moving    bool
		}{{int(held.Low), int(low) - 1, false}, {int(low), int(high), true}, {int(high) + 1, int(held.High), false}} {
			if p.low > p.high {
				continue
			}
			part := *held
			part.Low, part.High, part.moving = mtid.KeyNumber(p.low), mtid.KeyNumber(p.high), p.moving
			parts = append(parts, &part)
		}
		g.grants = slices.Concat(g.grants[:i:i], parts, g.grants[i+1:])
		return true, false
	}
	return false, false
}

// endMove removes the grant of keys that have moved.
func (g *Grants) endMove(low mtid.KeyNumber, epoch mtid.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeMoved(low, epoch)
	g.Wake()
}

// removeMoved is called with mu held. The epoch tells the move from a later one: its keys may
// have come back and have started to move again.
func (g *Grants) removeMoved(low mtid.KeyNumber, epoch mtid.Epoch) {
	g.grants = slices.DeleteFunc(g.grants, func(held *grant) bool {
		if !held.moving || held.Low != low || held.Epoch != epoch {
			return false
		}
		g.movedKeys += held.Keys()
		return true
	})
}

// abortMove puts keys back into service here after a failed move. They are granted again,
// since they may have been released.
func (g *Grants) abortMove(r mtrange.Range, low, high mtid.KeyNumber) {
	g.mu.Lock()
	for _, held := range g.grants {
		if held.moving && held.Low == low && held.Epoch == r.Epoch {
			held.moving, held.grantedAt = false, 0
		}
	}
	g.mu.Unlock()
	g.Wake()
	g.Host.Resume(low, high)
}
