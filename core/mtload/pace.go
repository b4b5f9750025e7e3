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
	// Band is how far the load per slot may lie from the fleet's mean before a
	// daemon reports it, as a share of the mean.
	Band = 0.08
	// Change is how far it may move from what was last reported.
	Change = 0.05
)

// Pace decides when a daemon reports to the planner of one service. The zero
// value is ready.
type Pace struct {
	leader mtid.Holder
	until  mtclock.Instant // no report before
	sent   mtclock.Instant
	said   float64 // load per slot last reported
	mean   float64 // load per slot of the fleet, as last told
	known  bool    // whether the present leader has had a report
	told   bool    // whether any planner has told the mean
}

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
	above := p.told && load > p.mean*(1+Band)
	if !p.known && above && now.Sub(p.sent) >= MinPause {
		return true
	}
	if now.Before(p.until) {
		return false
	}
	if !p.known || now.Sub(p.sent) >= Refresh {
		return true
	}
	if above || load < p.mean*(1-Band) {
		return true
	}
	return math.Abs(load-p.said) > Change*max(p.said, p.mean)
}

// Sent notes that a report with that load per slot went out, whether or not it
// arrived. A lost one is made good after the pause if it still matters.
func (p *Pace) Sent(now mtclock.Instant, load float64) {
	p.sent = now
	p.said = load
	p.until = now.Add(MinPause)
}

// Heard notes the planner's reply.
func (p *Pace) Heard(mean float64, pause time.Duration) {
	p.known = true
	p.told = true
	p.mean = mean
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

// Throttle is the planner's side: it asks reporters for pauses that keep the
// reports it gets under a rate. Each report books its sender's next one on a
// timetable, so that a few hundred that arrive at once come back spread out.
// The zero value is ready.
type Throttle struct {
	above mtclock.Instant // last place booked for an overloaded reporter
	other mtclock.Instant // last place booked for another
}

// Rates of reports that a planner bears, a second. Together with ReportCost
// they are the planner's share of the control budget. The overloaded have a
// timetable of their own, so that the many that changed a little don't keep
// the few that need relief waiting.
const (
	AboveRate = 1.25
	OtherRate = 1.0
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
	lane, rate := &t.other, OtherRate
	if above {
		lane, rate = &t.above, AboveRate
	}
	step := time.Duration(float64(time.Second) / rate)
	*lane = max(lane.Add(step), now.Add(MinPause))
	return min(lane.Sub(now), MaxPause)
}
