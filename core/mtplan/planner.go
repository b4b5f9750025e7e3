package mtplan

import (
	"cmp"
	"slices"
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

// round is the working state of one call of Plan.
type round struct {
	p     *Planner
	now   mtclock.Instant
	state *State
	band  band
	plan  Plan

	total    float64
	mean     float64   // load per usable slot
	owner    []int     // of each shard, pending moves counted as done
	owned    [][]int   // shards of each server
	load     []float64 // of each server
	capacity []float64 // usable slots of each server; 0 if it leaves
	zone     []int     // of each server
	zones    []zoneLoad
	hot      []bool // shards that hold a hot key; never merged
	ops      int
	shards   int // number of shards after the ops of this round
}

type zoneLoad struct{ load, capacity float64 }

func (z zoneLoad) util() float64 {
	if z.capacity == 0 {
		return 0
	}
	return z.load / z.capacity
}

// newRound starts a round: it drops expired and completed moves and sums up the
// loads.
func (p *Planner) newRound(now mtclock.Instant, state *State) *round {
	p.expire(now)
	n := len(state.Servers)
	r := &round{
		p: p, now: now, state: state,
		band:     bandOf(state.Weights),
		owner:    make([]int, len(state.Shards)),
		owned:    make([][]int, n),
		load:     make([]float64, n),
		capacity: make([]float64, n),
		zone:     make([]int, n),
		shards:   len(state.Shards),
	}
	r.mean = state.Mean()
	r.addServers()
	r.addShards()
	r.addUnreported()
	r.markHotShards()
	p.refillBudget(now, r.total)
	r.trackBand()
	return r
}

// expire drops timed-out moves, cooldowns that have ended and old split times.
func (p *Planner) expire(now mtclock.Instant) {
	for low, a := range p.pending {
		if now.After(a.until) {
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

func (r *round) addServers() {
	indexes := make(map[mtid.Zone]int)
	for i := range r.state.Servers {
		server := &r.state.Servers[i]
		zone, ok := indexes[server.Zone]
		if !ok {
			zone = len(r.zones)
			indexes[server.Zone] = zone
			r.zones = append(r.zones, zoneLoad{})
		}
		r.zone[i] = zone
		if !server.Leaving {
			r.capacity[i] = server.Slots * server.WarmShare
			r.zones[zone].capacity += r.capacity[i]
		}
		given := r.p.intakes[server.Holder]
		if given.reportedAt != server.LastReport || r.now.Sub(given.since) > intakeTime {
			r.p.intakes[server.Holder] = intake{reportedAt: server.LastReport, since: r.now}
		}
	}
}

func (r *round) addShards() {
	for i := range r.state.Shards {
		s := &r.state.Shards[i]
		r.owner[i] = r.countedOwner(s)
		r.total += s.Load
		if r.owner[i] < 0 {
			continue
		}
		r.owned[r.owner[i]] = append(r.owned[r.owner[i]], i)
		r.load[r.owner[i]] += s.Load
		r.zones[r.zone[r.owner[i]]].load += s.Load
	}
}

// addUnreported treats servers that have never reported as if they had the mean
// load per slot. Their shards have no known load yet; without this, a leaving
// server would be evacuated onto one of them.
func (r *round) addUnreported() {
	for i := range r.state.Servers {
		if r.state.Servers[i].LastReport != 0 {
			continue
		}
		missing := max(0, r.fairLoad(i)-r.load[i])
		r.load[i] += missing
		r.zones[r.zone[i]].load += missing
	}
}

// countedOwner returns the owner that a shard's load counts for. It drops a
// pending move that is completed or obsolete.
func (r *round) countedOwner(s *Shard) int {
	a, ok := r.p.pending[s.Low]
	if !ok || s.Owner < 0 {
		return s.Owner
	}
	if r.state.Servers[s.Owner].Holder != a.from {
		delete(r.p.pending, s.Low)
		r.p.movedAt[s.Low] = r.now
		return s.Owner
	}
	if to := serverIndex(r.state, a.to); to >= 0 {
		return to
	}
	delete(r.p.pending, s.Low)
	return s.Owner
}

// markHotShards marks the shards that hold a hot key.
func (r *round) markHotShards() {
	r.hot = make([]bool, len(r.state.Shards))
	for _, point := range r.state.HotKeys {
		if i := r.shardAt(point.Point); i >= 0 && point.Load > hotShare/4*r.fairLoad(r.owner[i]) {
			r.hot[i] = true
		}
	}
}

// shardAt returns the index of the shard that covers p.
func (r *round) shardAt(p mtid.Point) int {
	i, ok := slices.BinarySearchFunc(r.state.Shards, p, func(s Shard, p mtid.Point) int { return cmp.Compare(s.Low, p) })
	if ok {
		return i
	}
	return i - 1
}

// fairLoad returns the load of a server at the mean load per slot.
func (r *round) fairLoad(server int) float64 {
	if server < 0 {
		return 0
	}
	return r.mean * r.capacity[server]
}

// util returns a server's load per usable slot.
func (r *round) util(server int) float64 {
	if r.capacity[server] == 0 {
		return 0
	}
	return r.load[server] / r.capacity[server]
}

// trackBand records since when each server has been outside the band.
func (r *round) trackBand() {
	for i := range r.state.Servers {
		holder := r.state.Servers[i].Holder
		trackSince(r.p.aboveSince, holder, r.now, r.capacity[i] > 0 && r.util(i) > r.mean*(1+r.band.enter))
		trackSince(r.p.belowSince, holder, r.now, r.capacity[i] > 0 && r.util(i) < r.mean*(1-r.band.enter))
	}
}

func trackSince(since map[mtid.Holder]mtclock.Instant, holder mtid.Holder, now mtclock.Instant, out bool) {
	if !out {
		delete(since, holder)
		return
	}
	if _, ok := since[holder]; !ok {
		since[holder] = now
	}
}

// outOfBandLongEnough reports whether a server has been outside the band for at
// least bandDelay.
func (r *round) outOfBandLongEnough(since map[mtid.Holder]mtclock.Instant, server int) bool {
	at, ok := since[r.state.Servers[server].Holder]
	return ok && r.now.Sub(at) >= bandDelay
}

// full reports whether the round has reached its limit of moves.
func (r *round) full() bool { return len(r.plan.Moves) >= MaxMoves }

// movable reports whether a shard may be moved for balance.
func (r *round) movable(i int) bool {
	s := &r.state.Shards[i]
	if s.Pinned {
		return false
	}
	if _, ok := r.p.pending[s.Low]; ok {
		return false
	}
	_, ok := r.p.movedAt[s.Low]
	return !ok
}

// move requests a move of shard i to a server and counts it as done.
func (r *round) move(i, to int) {
	s := &r.state.Shards[i]
	from := r.owner[i]
	pending := pendingMove{from: r.state.Servers[s.Owner].Holder, to: r.state.Servers[to].Holder, until: r.now.Add(moveTimeout)}
	r.p.pending[s.Low] = pending
	r.plan.Moves = append(r.plan.Moves, Move{Low: s.Low, From: pending.from, To: pending.to})
	r.load[from] -= s.Load
	r.load[to] += s.Load
	r.zones[r.zone[from]].load -= s.Load
	r.zones[r.zone[to]].load += s.Load
	r.owner[i] = to
	k := slices.Index(r.owned[from], i)
	r.owned[from] = slices.Delete(r.owned[from], k, k+1)
	r.owned[to] = append(r.owned[to], i)
	given := r.p.intakes[pending.to]
	given.load += s.Load
	r.p.intakes[pending.to] = given
}

// accepts reports whether a server may receive load: it is not leaving, its
// load is known, and it has not received much since its last report.
func (r *round) accepts(server int, load float64) bool {
	s := &r.state.Servers[server]
	if r.capacity[server] == 0 || !s.LoadKnown {
		return false
	}
	received := r.p.intakes[s.Holder].load
	return received == 0 || received+load <= intakeShare*r.fairLoad(server)
}

// recipient returns the server that fits a shard of that load best without
// exceeding limit, or -1. Among similar servers it prefers the zone with the
// least load, so that the loss of any zone leaves the others the least to take
// over.
func (r *round) recipient(from int, load, limit float64) int {
	best, bestScore := -1, 0.0
	for i := range r.state.Servers {
		if i == from || r.capacity[i] == 0 {
			continue
		}
		after := (r.load[i] + load) / r.capacity[i]
		if after > limit || !r.accepts(i, load) {
			continue
		}
		score := after + zoneWeight*r.zones[r.zone[i]].util()
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// evacuate requests moves of all shards off the leaving servers, the heaviest
// first. Neither the budget nor a cooldown delays it.
func (r *round) evacuate() {
	var leaving []int
	for i := range r.state.Shards {
		if o := r.owner[i]; o >= 0 && r.state.Servers[o].Leaving {
			leaving = append(leaving, i)
		}
	}
	r.sortByLoad(leaving)
	for _, i := range leaving {
		if r.full() {
			return
		}
		if _, ok := r.p.pending[r.state.Shards[i].Low]; ok && r.state.Shards[i].Owner != r.owner[i] {
			// The shard has a pending move to a server that is also leaving:
			// wait for it to end.
			continue
		}
		if to := r.evacuationTarget(i); to >= 0 {
			r.move(i, to)
		}
	}
}

// evacuationTarget returns the server for a shard of a leaving server: the best
// recipient, or if there is none the least loaded server, even if its load is
// unknown.
func (r *round) evacuationTarget(i int) int {
	load := r.state.Shards[i].Load
	if to := r.recipient(r.owner[i], load, r.mean*(1+r.band.enter)); to >= 0 {
		return to
	}
	best := -1
	for k := range r.state.Servers {
		if r.capacity[k] == 0 {
			continue
		}
		if best < 0 || r.util(k) < r.util(best) {
			best = k
		}
	}
	return best
}

func (r *round) sortByLoad(shards []int) {
	slices.SortFunc(shards, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.state.Shards[b].Load, r.state.Shards[a].Load), cmp.Compare(a, b))
	})
}
