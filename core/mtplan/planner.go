package mtplan

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Limits and intervals of the planner.
const (
	// MaxMoves bounds the moves requested in one round.
	MaxMoves = 256
	// maxOps bounds the splits and merges of one round.
	maxOps = 64
	// moveTimeout is how long a requested move counts as pending.
	moveTimeout = 15 * time.Second
	// moveCooldown is how long a shard that moved stays where it is, unless its
	// server leaves.
	moveCooldown = 30 * time.Second
	// mergeDelay is how long a shard stays unmerged after a split.
	mergeDelay = time.Minute
	// bandDelay is how long a server must be outside the band before load is
	// moved, so that short fluctuations move nothing.
	bandDelay = 4 * time.Second
	// urgentFactor is the load per slot, as a multiple of the mean, above which
	// load is moved without delay and outside the budget. Together with the
	// largest change that reports may omit it stays below the 1.15 that the
	// policy must meet.
	urgentFactor = 1.10
	// idleShare is the share of the mean below which a server counts as having
	// just joined and is filled without delay.
	idleShare = 0.5
	// budgetRate is the share of the total load that may move each minute for
	// balance within the urgent bound. budgetBurst is how much of it may
	// accumulate.
	budgetRate  = 0.008
	budgetBurst = 0.01
	// intakeShare bounds the load that a server receives between two of its
	// reports, as a share of its fair load. A server that wrongly reports
	// itself idle receives little before its reports must show a rise in load.
	intakeShare = 0.6
	// intakeTime is how long an intake counts while the server sends no report.
	// If none follows for longer than that, its load changed little.
	intakeTime = 15 * time.Second
	// hotShare is the share of a server's fair load above which a key is split
	// into a separate shard if the server is above the band.
	hotShare = 0.08
	// minMeanUtil is the mean load per slot below which no shard is moved for
	// balance.
	minMeanUtil = 0.005
	// extraShardsPerServer bounds the splits: a table has at most State.Target
	// shards plus this many per server.
	extraShardsPerServer = 16
	// zoneWeight is the weight of the zone's load, relative to the server's
	// own, in the choice of a recipient.
	zoneWeight = 0.3
)

// Planner is the policy in production use. It keeps the load per slot of every
// server within a band around the mean and moves the least load that achieves
// this.
//
// Three rules prevent oscillation under late or wrong reports: loads belong to
// shards, so that a move counts at both ends at once; a pending move counts as
// done; and a shard that moved stays where it is for a cooldown period.
type Planner struct {
	pending    map[mtid.Point]pendingMove
	movedAt    map[mtid.Point]mtclock.Instant
	splitAt    map[mtid.Point]mtclock.Instant
	aboveSince map[mtid.Holder]mtclock.Instant
	belowSince map[mtid.Holder]mtclock.Instant
	intakes    map[mtid.Holder]intake
	budget     float64 // load that may still move within the urgent bound
	lastRound  mtclock.Instant
}

// pendingMove is a move that was requested and does not show in the table yet.
type pendingMove struct {
	from, to mtid.Holder
	until    mtclock.Instant
}

// intake is the load that a server received since its last report.
type intake struct {
	reportedAt mtclock.Instant
	since      mtclock.Instant
	load       float64
}

// NewPlanner returns a Planner without pending moves or cooldowns.
func NewPlanner() *Planner {
	return &Planner{
		pending:    make(map[mtid.Point]pendingMove),
		movedAt:    make(map[mtid.Point]mtclock.Instant),
		splitAt:    make(map[mtid.Point]mtclock.Instant),
		aboveSince: make(map[mtid.Holder]mtclock.Instant),
		belowSince: make(map[mtid.Holder]mtclock.Instant),
		intakes:    make(map[mtid.Holder]intake),
	}
}

// Name implements Policy.
func (*Planner) Name() string { return "planner" }

// Plan implements Policy.
func (p *Planner) Plan(now mtclock.Instant, state *State) Plan {
	r := p.newRound(now, state)
	r.evacuate()
	if r.mean > minMeanUtil {
		r.offloadOverloaded()
		r.fillUnderloaded()
	}
	r.merge()
	return r.plan
}

// Refused notifies the planner that an owner refused a move, so that it no
// longer counts as pending. The shard is not requested again before its
// cooldown ends.
func (p *Planner) Refused(now mtclock.Instant, low mtid.Point) {
	delete(p.pending, low)
	p.movedAt[low] = now
}

// band is how far the load per slot of a server may differ from the mean, in
// shares of the mean.
type band struct {
	enter float64 // beyond this, load is moved off or onto the server
	exit  float64 // until the server is within this
}

// bandOf returns the band for the weights: narrow for a business that weights
// imbalance most, wider for one that prefers fewer key moves.
func bandOf(w mtbundle.Weights) band {
	const narrowest, widest, exitPart = 0.06, 0.12, 0.35
	share := 1.0 / 3
	if sum := w.Imbalance + w.Churn + w.Unavailability; sum > 0 {
		share = w.Imbalance / sum
	}
	enter := widest - (widest-narrowest)*share
	return band{enter: enter, exit: enter * exitPart}
}

// expire drops timed-out moves, cooldowns that have ended and old split times.
func (p *Planner) expire(now mtclock.Instant) {
	for low, move := range p.pending {
		if now.After(move.until) {
			p.Refused(now, low)
		}
	}
	for low, at := range p.movedAt {
		if now.Sub(at) > moveCooldown {
			delete(p.movedAt, low)
		}
	}
	for low, at := range p.splitAt {
		if now.Sub(at) > mergeDelay {
			delete(p.splitAt, low)
		}
	}
}

// refillBudget adds the elapsed time to the budget for small corrections.
func (p *Planner) refillBudget(now mtclock.Instant, total float64) {
	if p.lastRound != 0 {
		p.budget += total * budgetRate * now.Sub(p.lastRound).Minutes()
	}
	p.lastRound = now
	p.budget = min(p.budget, total*budgetBurst)
}
