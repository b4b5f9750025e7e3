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
	"magnoliaturn/io/mtduty"
)

// balancePeriod is how often the load is weighed, and a leaving server's keys
// are looked after.
const balancePeriod = 200 * time.Millisecond

// balance moves keys away from this server: all of them if it is leaving, some
// if it is overloaded and others are not.
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
		// While a daemon is restarted its server can't be reached, for longer
		// than a warm move takes.
		g.empty(ctx, owned)
	case !g.Directory.StoreAvailable():
		// Keys that are released now have no owner until the store is back, for seconds;
		// here they are served until then. Only a server that leaves can't wait: released
		// before its end, its keys are warm at the next owner.
	case g.Directory.View().OutOfService.Has(record.Zone):
		g.spill(ctx, owner, owned)
	case record.AcceptsWork():
		g.relieve(ctx, owned)
	}
}

// empty moves all keys of a leaving server to the others, to each its share.
func (g *Grants) empty(ctx context.Context, owned []mtrange.Range) {
	// The own record in the directory may still be that of before the leaving.
	survivors := slices.DeleteFunc(g.survivors(g.Directory.View()), func(o mtrange.Owner) bool { return o.Daemon == g.Self })
	if len(survivors) == 0 {
		g.Log.Warn("leaving server keeps its keys: no other takes them", "ranges", len(owned))
		return
	}
	var runs []mtrange.KeyMove
	for i, r := range owned {
		runs = append(runs, mtrange.KeyMove{Low: r.Low, High: r.High, To: survivors[i%len(survivors)]})
	}
	g.moveAll(ctx, owned, runs, "server is leaving")
}

// spill moves all keys of a server whose zone is out of service to servers in other zones.
func (g *Grants) spill(ctx context.Context, owner mtrange.Owner, owned []mtrange.Range) {
	g.Survey(ctx)
	_, others := g.Standings()
	runs := g.Host.Spill(owned, g.turn(owner), others)
	if len(runs) == 0 {
		g.Log.Warn("server keeps its keys: no other zone is in service", "ranges", len(owned))
		return
	}
	g.moveAll(ctx, owned, runs, "zone is out of service")
}

// turn returns the place of this server among those of its service that give all their keys
// away, as their zones are out of service.
func (g *Grants) turn(owner mtrange.Owner) mtrange.SpillPosition {
	view := g.Directory.View()
	var turn mtrange.SpillPosition
	for _, m := range view.Members {
		if m.Service != g.Service || !view.OutOfService.Has(m.Zone) {
			continue
		}
		turn.Total++
		if m.Owner().Compare(owner) < 0 {
			turn.Index++
		}
	}
	return turn
}

// relieve moves some keys if this server has too much work. It returns at once:
// releases wait for what runs, and meanwhile the server may begin to leave.
func (g *Grants) relieve(ctx context.Context, owned []mtrange.Range) {
	now := g.Clock.Now()
	g.mu.Lock()
	early := g.relieving || now.Sub(g.moved) < reliefPause(g.beaten+g.fruitless)
	g.mu.Unlock()
	if early {
		return
	}
	self, others := g.Standings()
	if self.Overloaded() {
		g.Survey(ctx)
		self, others = g.Standings()
	}
	runs := g.Host.Cut(owned, mtrange.PlanOffload(self, others))
	g.mu.Lock()
	g.moved = now
	g.relieving = len(runs) > 0
	g.beaten = 0
	g.fruitless++
	if len(runs) > 0 || !self.Overloaded() {
		g.fruitless = 0
	}
	g.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	g.Log.Info("relief", "demand", self.Demand, "slots", self.Slots, "service", self.ServiceTime.String(), "runs", len(runs), "others", len(others))
	g.reliefs.Go(func() {
		g.moveAll(ctx, owned, runs, "relief")
		g.mu.Lock()
		g.relieving, g.moved = false, g.Clock.Now()
		g.mu.Unlock()
	})
}

// maxReliefPause bounds the pause between two reliefs of one owner: a hot run that
// lasts for five seconds has to be spread once.
const maxReliefPause = 3 * time.Second

// reliefPause returns how long an owner waits after a relief that was in vain so often:
// beaten by other owners' writes, each of which the store is paid for, or given up since
// nobody had room. Each asks a dozen others first; where all are overloaded, they would ask
// each other all the time.
func reliefPause(inVain int) time.Duration {
	return min(mtrange.MoveCooldown*time.Duration(1+inVain), maxReliefPause)
}

// moveAll moves runs of the owned ranges, all at the same time.
func (g *Grants) moveAll(ctx context.Context, owned []mtrange.Range, runs []mtrange.KeyMove, why string) {
	var moves sync.WaitGroup
	for _, run := range runs {
		i := slices.IndexFunc(owned, func(r mtrange.Range) bool { return r.Covers(run.Low) })
		if i < 0 {
			continue
		}
		moves.Go(func() { g.move(ctx, owned[i], run.Low, run.High, run.To, why) })
	}
	moves.Wait()
}

// releaseTimeout bounds a release, which waits for what runs on the keys.
const releaseTimeout = 6 * time.Second

// move takes keys of a range back from the server and gives them to another
// owner. New calls for them wait at the gate meanwhile, and go to the new owner
// once the assignment names it.
func (g *Grants) move(ctx context.Context, r mtrange.Range, low, high mtid.KeyNumber, to mtrange.Owner, why string) {
	record, address := g.Host.Record()
	if !g.beginMove(r, low, high, record.State == mtbackend.Draining) {
		return
	}
	begun := g.Clock.Now()
	g.Host.Stop(low, high)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	warmth, err := g.Port.Release(ctx, address, low, high, r.Epoch)
	if err != nil {
		g.Log.Warn("release failed", "why", why, "low", low, "high", high, "epoch", uint64(r.Epoch), "error", err)
		g.abandon(r, low, high)
		return
	}
	if !g.hand(r, low, high, to, warmth) {
		// In a shutdown the move may be in doubt: taken back into service, the keys could be
		// granted by this daemon's last look.
		if g.stopping.Err() == nil {
			g.abandon(r, low, high)
		}
		return
	}
	g.Host.Forget(low, high)
	g.Host.Release(low, high)
	g.endMove(low)
	g.Log.Info("moved", "why", why, "low", low, "high", high, "to", to.Daemon, "took", g.Clock.Now().Sub(begun))
}

// hand writes the new owner of released keys. It reports false once it is certain
// that they stay here. A write whose outcome is not known is tried again until
// the store tells: were the keys granted here meanwhile, it might still land,
// and two servers would hold them.
func (g *Grants) hand(r mtrange.Range, low, high mtid.KeyNumber, to mtrange.Owner, warmth string) bool {
	ctx := g.stopping
	doubt, direct := false, false
	wanted := mtrange.Transfer{From: r.Owner, Epoch: r.Epoch, Low: low, High: high, To: to, WarmupState: warmth}
	for tries := 0; ctx.Err() == nil; tries++ {
		if !g.Directory.View().Assignments[g.Service].CanApply(wanted) {
			return true // this move has landed, or another daemon has taken the keys
		}
		if tries >= conflicts && !doubt {
			return false
		}
		t := &transfer{Transfer: wanted, again: tries > 0, direct: direct, result: make(chan mtrange.Outcome, 1)}
		pause := refusedPause
		switch g.commit(t) {
		case mtrange.Written:
			if g.landed(ctx, wanted) {
				return true
			}
			doubt, direct = true, true
		case mtrange.OutcomeUnknown:
			// Who was to write it may be gone, and may write it yet.
			doubt, direct = true, true
		case mtrange.Conflicted:
			pause = conflictPause
			g.mu.Lock()
			g.beaten++
			g.mu.Unlock()
		case mtrange.Refused:
			direct = true
		}
		mtduty.Sleep(ctx, rand.N(pause))
		if doubt {
			g.awaitStore(ctx)
		}
	}
	return false
}

// awaitStore waits until the store answers, but tries it from time to time: it may answer
// this daemon's writes although other calls fail. Each of dozens of moves in doubt tried it
// five times a second.
func (g *Grants) awaitStore(ctx context.Context) {
	end := g.Clock.Steady().Add(awayPause + rand.N(awayPause))
	for !g.Directory.StoreAvailable() && g.Clock.Steady().Before(end) {
		if !mtduty.Sleep(ctx, awayLook) {
			return
		}
	}
}

// landed waits until this daemon's copy shows a move that was written, and reports whether
// it does. Another daemon has written it mostly, and tells with its answer what has changed.
// Where that did not fit, the copy still gives the keys to the server here: with the move
// taken for done, they were granted to it again, and two servers held them.
func (g *Grants) landed(ctx context.Context, wanted mtrange.Transfer) bool {
	ctx, cancel := context.WithTimeout(ctx, landTimeout)
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
	// landTimeout is how long a move that was written is waited for. After that it is
	// written again here, and the conflict tells the assignment.
	landTimeout = 300 * time.Millisecond
	// conflicts is how often a move is tried over other changes of the
	// assignment. What won is told with the conflict, so that the next try needs
	// no reading.
	conflicts = 12
	// conflictPause is the longest pause before the next try: about as long as a
	// write takes, so that those who lost against the same write don't meet again.
	conflictPause = 8 * time.Millisecond
	// awayPause is the least pause between two writes of a move in doubt while the store is
	// away, and awayLook how often it is looked whether it is back.
	awayPause = 600 * time.Millisecond
	awayLook  = 50 * time.Millisecond
	// refusedPause is the longest pause after a write that failed otherwise: the
	// store is away, or turns this daemon away, for seconds.
	refusedPause = 400 * time.Millisecond
)

// beginMove marks keys as moving, which may be a part of what was granted at once;
// other parts may move at the same time. It refuses while an unanswered order may put a
// released key back into force, and for keys that have not been granted yet, unless the
// server is leaving: they are never granted to it.
func (g *Grants) beginMove(r mtrange.Range, low, high mtid.KeyNumber, leaving bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, held := range g.grants {
		if held.Epoch != r.Epoch || !held.Covers(low) || !held.Covers(high) || held.moving || held.granted == 0 && !leaving {
			continue
		}
		if held == g.ordering || g.Clock.Now().Before(g.doubt[held.life]) {
			return false
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
		return true
	}
	return false
}

// endMove forgets the grant of moved keys.
func (g *Grants) endMove(low mtid.KeyNumber) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants = slices.DeleteFunc(g.grants, func(held *grant) bool {
		if !held.moving || held.Low != low {
			return false
		}
		g.given += held.Keys()
		return true
	})
	g.Wake()
}

// abandon takes keys back into service here, after a move that failed. They are
// granted anew, since they may have been released.
func (g *Grants) abandon(r mtrange.Range, low, high mtid.KeyNumber) {
	g.mu.Lock()
	for _, held := range g.grants {
		if held.moving && held.Low == low && held.Epoch == r.Epoch {
			held.moving, held.granted = false, 0
		}
	}
	g.mu.Unlock()
	g.Wake()
	g.Host.Resume(low, high)
}
