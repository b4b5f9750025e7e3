package mtload

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Times and bounds of reporting.
const (
	// MinPause is the least time between two reports of a daemon.
	MinPause = 5 * time.Second
	// MaxPause is the most that a planner may ask for.
	MaxPause = 2 * time.Minute
	// Refresh is the time after which a daemon reports though nothing changed.
	Refresh = 10 * time.Minute
	// AgainPause is the least pause before a report that the planner asked for
	// although nothing may have changed.
	AgainPause = 12 * time.Second
	// Band is how far above the fleet's mean the load per slot may lie, as a
	// share of it, before the daemon's reports go ahead of others'.
	Band = 0.08
	// Change is how far it may move from what was last reported before it is
	// reported again, and Jump how far before the planner's pause is passed
	// over, both in shares of the mean.
	Change = 0.05
	Jump   = 0.1
)

// Times over which the reports to a new planner are spread: a second for each
// server, up to a bound.
const (
	spreadEach = time.Second
	maxSpread  = 4 * time.Minute
)

// Spread returns the time over which the reports of that many servers to a new
// planner are spread, so that they stay within its share of the control budget.
func Spread(servers int) time.Duration {
	return min(spreadEach*time.Duration(servers), maxSpread)
}

// Pace decides when a daemon reports to the planner of one service. The zero
// value is ready.
type Pace struct {
	leader   mtid.Holder
	until    mtclock.Instant // no report before, as the planner asked
	sent     mtclock.Instant
	said     float64 // load per slot last reported
	mean     float64 // load per slot of the fleet, as last told
	reported bool    // whether anything was ever sent
	answered bool    // whether the last report was, and no other is wanted
	mark     uint64  // of the shards that the daemon has
	saidMark uint64  // of those that it had when it last reported
	known    bool    // whether the present leader has had a report
	told     bool    // whether any planner has told the mean
}

// Shards notes which shards the daemon has, by any mark that differs when they
// do. It is called before Due. The planner counts a shard that moved at its new
// owner at once; if another grew meanwhile, the owner's total is what it last
// said, and yet the planner takes it for less.
func (p *Pace) Shards(mark uint64) { p.mark = mark }

// Due reports whether to send now, given the load per slot. It is called once a
// second or so with the planner as the daemon sees it.
//
// A planner that takes over knows nothing. Reports to it are spread over spread
// by the daemon's own rank, lest several hundred arrive at once; who lies above
// the band reports first, since those are the ones to relieve.
func (p *Pace) Due(now mtclock.Instant, self, leader mtid.Holder, load float64, spread time.Duration) bool {
	if leader != p.leader {
		p.leader = leader
		p.known = false
		p.until = now.Add(spreadOf(self, leader, spread))
	}
	if p.reported && now.Sub(p.sent) < MinPause {
		return false
	}
	change := math.Abs(load - p.said)
	if p.known && change > Jump*p.mean {
		return true
	}
	above := p.told && load > p.mean*(1+Band)
	moved := p.mark != p.saidMark && now.Sub(p.sent) >= AgainPause
	if p.known && above && moved {
		return true
	}
	if !p.known && above {
		return true
	}
	if now.Before(p.until) {
		return false
	}
	return !p.known || !p.answered || moved || now.Sub(p.sent) >= Refresh || change > Change*p.mean
}

// Sent notes that a report with that load per slot went out, whether or not it
// arrived. A lost one is made good after the pause if it still matters.
func (p *Pace) Sent(now mtclock.Instant, load float64) {
	p.sent = now
	p.said = load
	p.saidMark = p.mark
	p.reported = true
	p.answered = false
	p.until = now.Add(MinPause)
}

// Heard notes the planner's reply; again says that it wants another report soon
// in any case: until it has come, the planner counts a load twice or not at all.
func (p *Pace) Heard(mean float64, pause time.Duration, again bool) {
	p.known = true
	p.told = true
	p.answered = !again
	p.mean = mean
	if again {
		pause = AgainPause
	}
	p.until = p.sent.Add(min(max(pause, MinPause), MaxPause))
}

// spreadOf returns this daemon's place within spread.
func spreadOf(self, leader mtid.Holder, spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	seed := mtid.Point(leader.Incarnation)
	for _, c := range []byte(leader.Daemon) {
		seed = seed*31 + mtid.Point(c)
	}
	return time.Duration(mtid.Rank(self.Daemon, seed) % uint64(spread))
}

// Throttle is the planner's side: it asks reporters for longer pauses as long as
// more reports come in than it bears. The zero value is ready.
type Throttle struct {
	above backlog // of overloaded reporters
	other backlog
}

// backlog is how many reports came in above a rate.
type backlog struct {
	count float64
	last  mtclock.Instant
}

// Rates of reports that a planner bears, a second. Together with ReportCost
// they are the planner's share of the control budget. The overloaded have a
// rate of their own, so that the many that changed a little don't keep the few
// that need relief waiting.
const (
	AboveRate = 1.25
	OtherRate = 1.0
	// burst is the backlog that is let pass.
	burst = 16
	// ReportCost is what a report costs its receiver in bytes, both directions
	// with headers: see docs/PLACEMENT.md.
	ReportCost = 760
	// ReportHeaders is the part of it that does not depend on the report.
	ReportHeaders = 460
)

// Arrived counts a report and returns the pause to ask its sender for. above
// says that the sender lies above the band. No pause is longer than MaxPause,
// so past MaxPause times the rate reporters the rate can't be kept.
func (t *Throttle) Arrived(now mtclock.Instant, above bool) time.Duration {
	if above {
		return t.above.add(now, AboveRate)
	}
	return t.other.add(now, OtherRate)
}

// add counts a report. The backlog grows until the pauses that follow from it
// bring the reports down to the rate.
func (b *backlog) add(now mtclock.Instant, rate float64) time.Duration {
	b.count = max(0, b.count-rate*now.Sub(b.last).Seconds()) + 1
	b.count = min(b.count, burst+rate*MaxPause.Seconds())
	b.last = now
	wait := max(0, b.count-burst) / rate
	return min(MinPause+time.Duration(wait*float64(time.Second)), MaxPause)
}
