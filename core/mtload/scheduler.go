package mtload

import (
	"math"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Intervals and thresholds of reporting.
const (
	// MinPause is the minimum time between two reports of a daemon.
	MinPause = 5 * time.Second
	// MaxPause is the longest pause that a planner may request.
	MaxPause = 2 * time.Minute
	// Refresh is the time after which a daemon reports even if nothing changed.
	Refresh = 10 * time.Minute
	// FollowUpPause is the minimum pause before a report that the planner
	// requested even if nothing changed.
	FollowUpPause = 12 * time.Second
	// Band is how far above the mean of the fleet the load per slot may lie, as
	// a share of the mean, before the reports of the daemon take precedence
	// over those of others.
	Band = 0.08
	// MinChange is how far the load per slot may deviate from the last report
	// before it is reported again. UrgentChange is how far it may deviate
	// before the daemon ignores the pause that the planner requested. Both are
	// shares of the mean.
	MinChange    = 0.05
	UrgentChange = 0.1
)

// Reports to a new planner are spread over spreadPerServer for each server, up
// to maxSpread.
const (
	spreadPerServer = time.Second
	maxSpread       = 4 * time.Minute
)

// SpreadTime returns the time over which the reports of that many servers to a
// new planner are spread, so that they stay within its share of the control
// budget.
func SpreadTime(servers int) time.Duration {
	return min(spreadPerServer*time.Duration(servers), maxSpread)
}

// ReportScheduler decides when a daemon reports to the planner of one service.
// The zero value is ready to use.
type ReportScheduler struct {
	leader          mtid.Holder
	notBefore       mtclock.Instant // no report before then, as the planner requested
	sentAt          mtclock.Instant
	sentLoad        float64 // load per slot in the last report
	mean            float64 // load per slot of the fleet, from the last reply
	reported        bool    // whether any report was sent
	answered        bool    // whether the last report was answered and no other was requested
	fingerprint     uint64  // of the shards that the daemon owns
	sentFingerprint uint64  // of the shards that it owned at its last report
	leaderAnswered  bool    // whether the current leader has answered a report
	meanKnown       bool    // whether any planner has sent the mean
}

// SetShards sets the fingerprint of the shards that the daemon owns; it must
// differ when the shards do. Call it before Due. When a shard moves, the
// planner counts its load for the new owner at once. If another shard of the
// previous owner grew meanwhile, the total of that owner equals its last
// report, but the planner assumes that it fell.
func (s *ReportScheduler) SetShards(fingerprint uint64) { s.fingerprint = fingerprint }

// Due reports whether to send a report now, given the load per slot. Call it
// about once a second with the planner that the daemon currently sees.
//
// A planner that takes over has no reports. Reports to it are spread over
// spread by the daemon's rank, so that several hundred do not arrive at once.
// Daemons above the band report first, since the planner has to offload these.
func (s *ReportScheduler) Due(now mtclock.Instant, self, leader mtid.Holder, load float64, spread time.Duration) bool {
	if leader != s.leader {
		s.leader = leader
		s.leaderAnswered = false
		s.notBefore = now.Add(spreadOffset(self, leader, spread))
	}
	if s.reported && now.Sub(s.sentAt) < MinPause {
		return false
	}
	change := math.Abs(load - s.sentLoad)
	if s.leaderAnswered && change > UrgentChange*s.mean {
		return true
	}
	above := s.meanKnown && load > s.mean*(1+Band)
	moved := s.fingerprint != s.sentFingerprint && now.Sub(s.sentAt) >= FollowUpPause
	if s.leaderAnswered && above && moved {
		return true
	}
	if !s.leaderAnswered && above {
		return true
	}
	if now.Before(s.notBefore) {
		return false
	}
	return !s.leaderAnswered || !s.answered || moved || now.Sub(s.sentAt) >= Refresh || change > MinChange*s.mean
}

// Sent records that a report with that load per slot was sent, whether or not
// it arrived. A lost report is sent again after the pause.
func (s *ReportScheduler) Sent(now mtclock.Instant, load float64) {
	s.sentAt = now
	s.sentLoad = load
	s.sentFingerprint = s.fingerprint
	s.reported = true
	s.answered = false
	s.notBefore = now.Add(MinPause)
}

// ReplyReceived records the reply of the planner. again is whether the planner
// requests another report soon even if nothing changes: until that arrives, it
// counts some load twice or not at all.
func (s *ReportScheduler) ReplyReceived(mean float64, pause time.Duration, again bool) {
	s.leaderAnswered = true
	s.meanKnown = true
	s.answered = !again
	s.mean = mean
	if again {
		pause = FollowUpPause
	}
	s.notBefore = s.sentAt.Add(min(max(pause, MinPause), MaxPause))
}

// spreadOffset returns the offset of this daemon within spread.
func spreadOffset(self, leader mtid.Holder, spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	seed := mtid.Point(leader.Incarnation)
	for _, c := range []byte(leader.Daemon) {
		seed = seed*31 + mtid.Point(c)
	}
	return time.Duration(mtid.Rank(self.Daemon, seed) % uint64(spread))
}

// Throttle limits the reports that a planner receives: it requests longer
// pauses from reporters while reports arrive faster than the planner's rates.
// The zero value is ready to use.
type Throttle struct {
	above backlog // reports from overloaded daemons
	other backlog // all other reports
}

// backlog counts the reports in excess of a rate.
type backlog struct {
	count float64
	last  mtclock.Instant
}

// Reports per second that a planner handles. Together with ReportCost they are
// the planner's share of the control budget. Overloaded daemons have a separate
// rate, so that the many daemons with small changes do not delay the few that
// must be offloaded.
const (
	AboveRate = 1.25
	OtherRate = 1.0
	// burst is the backlog up to which pauses stay at MinPause.
	burst = 16
	// ReportCost is the cost of a report to its receiver in bytes, both
	// directions with headers: see docs/PLACEMENT.md.
	ReportCost = 760
	// ReportHeaders is the part of ReportCost that does not depend on the
	// report.
	ReportHeaders = 460
)

// Arrived counts a report and returns the pause to request from its sender.
// above is whether the sender is above the band. No pause exceeds MaxPause, so
// with more reporters than rate times MaxPause the rate is exceeded.
func (t *Throttle) Arrived(now mtclock.Instant, above bool) time.Duration {
	if above {
		return t.above.add(now, AboveRate)
	}
	return t.other.add(now, OtherRate)
}

// add counts a report. The backlog grows until the resulting pauses bring the
// reports down to the rate.
func (b *backlog) add(now mtclock.Instant, rate float64) time.Duration {
	b.count = max(0, b.count-rate*now.Sub(b.last).Seconds()) + 1
	b.count = min(b.count, burst+rate*MaxPause.Seconds())
	b.last = now
	wait := max(0, b.count-burst) / rate
	return min(MinPause+time.Duration(wait*float64(time.Second)), MaxPause)
}
