package mtgrant

import (
	"context"
	"slices"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// silentTime is how long a server is given no keys after its daemon has not answered.
const silentTime = 5 * time.Second

// receivers tracks which servers can't be given keys, since their daemons don't answer: a record shows who wrote it, and
// not that anybody can be called there. It is safe for concurrent use.
type receivers struct {
	// answers asks a daemon whether it can be called, and returns soon; nil if all can.
	answers func(ctx context.Context, daemon mtid.Daemon) bool

	mu     sync.Mutex
	silent map[mtid.Daemon]mtclock.Instant // when it was asked, by the steady clock
}

// ask asks the daemons of servers that are to be given keys, and returns those that don't answer.
func (r *receivers) ask(ctx context.Context, now mtclock.Instant, daemons []mtid.Daemon) []mtid.Daemon {
	if r.answers == nil {
		return nil
	}
	slices.Sort(daemons)
	daemons = slices.Compact(daemons)
	answered := make([]bool, len(daemons))
	var asked sync.WaitGroup
	for i, daemon := range daemons {
		asked.Go(func() { answered[i] = r.answers(ctx, daemon) })
	}
	asked.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	var silent []mtid.Daemon
	for i, daemon := range daemons {
		delete(r.silent, daemon)
		if !answered[i] && ctx.Err() == nil {
			r.silent[daemon] = now
			silent = append(silent, daemon)
		}
	}
	return silent
}

// excluded reports whether a daemon did not answer recently.
func (r *receivers) excluded(now mtclock.Instant, daemon mtid.Daemon) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked, silent := r.silent[daemon]
	if silent && now.Sub(asked) >= silentTime {
		delete(r.silent, daemon)
		return false
	}
	return silent
}

// otherReports returns the load of the other servers that can be given keys.
func (g *Grants) otherReports(others []mtrange.LoadReport) []mtrange.LoadReport {
	now := g.Clock.Steady()
	return slices.DeleteFunc(slices.Clone(others), func(o mtrange.LoadReport) bool { return g.receivers.excluded(now, o.Owner.Daemon) })
}

// answeredMoves returns the moves to servers whose daemons answer. Keys of the others are moved elsewhere by a later run of
// the loop.
func (g *Grants) answeredMoves(ctx context.Context, runs []mtrange.KeyMove) []mtrange.KeyMove {
	var to []mtid.Daemon
	for _, run := range runs {
		to = append(to, run.To.Daemon)
	}
	silent := g.receivers.ask(ctx, g.Clock.Steady(), to)
	g.logSilent(silent)
	return slices.DeleteFunc(runs, func(run mtrange.KeyMove) bool { return slices.Contains(silent, run.To.Daemon) })
}

// answeringSurvivors returns the survivors whose daemons answer, of those that a table would give keys of other daemons.
func (g *Grants) answeringSurvivors(ctx context.Context, base, next *mtrange.Table, survivors []mtrange.Owner) []mtrange.Owner {
	var to []mtid.Daemon
	for _, r := range next.Ranges {
		former, known := base.Lookup(r.Low)
		if r.Epoch >= base.Next && (!known || former.Owner.Daemon != r.Owner.Daemon) && r.Owner.Daemon != g.Self {
			to = append(to, r.Owner.Daemon)
		}
	}
	silent := g.receivers.ask(ctx, g.Clock.Steady(), to)
	g.logSilent(silent)
	return slices.DeleteFunc(slices.Clone(survivors), func(o mtrange.Owner) bool { return slices.Contains(silent, o.Daemon) })
}

// logSilent logs servers that are given no keys.
func (g *Grants) logSilent(silent []mtid.Daemon) {
	for _, daemon := range silent {
		g.Log.Warn("server is given no keys: its daemon doesn't answer", "peer", daemon)
	}
}
