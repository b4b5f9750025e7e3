package mtplan

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Bounds and times of the planner.
const (
	// MaxMoves bounds the moves asked for in one round.
	MaxMoves = 256
	// maxOps bounds the splits and merges written in one round.
	maxOps = 64
	// askLife is how long a move that was asked for counts as under way.
	askLife = 15 * time.Second
	// restTime is how long a shard that moved stays where it is, unless its
	// server leaves.
	restTime = 30 * time.Second
	// mergeAge is how long a shard that was split off stays apart.
	mergeAge = time.Minute
	// patience is how long a server must be out of the band before it is
	// relieved, so that a short swing moves nothing.
	patience = 4 * time.Second
	// urgent is the load per slot, in means, from which there is no waiting
	// and no budget. With the change that reports may leave out it lies below
	// the 1.15 that the policy is held to.
	urgent = 1.10
	// idle is the share of the mean below which a server counts as one that
	// has just joined, to be filled without waiting.
	idle = 0.5
	// trimRate is the share of all load that may move each minute for the sake
	// of balance inside the urgent bound, and trimBurst what may be saved up.
	trimRate  = 0.008
	trimBurst = 0.01
	// intakeShare bounds what a server is given between two of its reports, as
	// a share of its fair load: one that wrongly reports itself idle gets a
	// little, and then shows whether its load rises.
	intakeShare = 0.6
	// intakeTime is how long a server that stays silent counts as not having
	// reported what it was given. Silence for longer means that little changed.
	intakeTime = 15 * time.Second
	// hotShare is the share of a server's fair load from which a key gets a
	// shard to itself when its server is above the band.
	hotShare = 0.08
	// minUtil is the mean load per slot below which balance isn't worth a move.
	minUtil = 0.005
	// shardsPerServer bounds the splits: a table has at most Target plus this
	// many times the servers.
	shardsPerServer = 16
	// zonePull is how much a zone's load counts, beside the server's own, in
	// the choice of where to move a shard.
	zonePull = 0.3
)

// Planner is the policy in use. It keeps every server's load per slot within a
// band around the mean and moves the least load that does so.
//
// Three things keep it from oscillating under late or wrong reports: loads
// belong to shards, so a move counts at once at both ends; a move under way
// counts as done; and a shard that moved rests.
type Planner struct {
	asked map[mtid.Point]request
	moved map[mtid.Point]mtclock.Instant
	born  map[mtid.Point]mtclock.Instant
	above map[mtid.Holder]mtclock.Instant
	below map[mtid.Holder]mtclock.Instant
	given map[mtid.Holder]intake
	trim  float64 // load that may be moved inside the urgent bound
	last  mtclock.Instant
}

// request is a move that was asked for and has not been seen in the table.
type request struct {
	from, to mtid.Holder
	until    mtclock.Instant
}

// intake is what a server was given since its last report.
type intake struct {
	heard mtclock.Instant
	since mtclock.Instant
	load  float64
}

// NewPlanner returns the policy with no memory.
func NewPlanner() *Planner {
	return &Planner{
		asked: make(map[mtid.Point]request),
		moved: make(map[mtid.Point]mtclock.Instant),
		born:  make(map[mtid.Point]mtclock.Instant),
		above: make(map[mtid.Holder]mtclock.Instant),
		below: make(map[mtid.Holder]mtclock.Instant),
		given: make(map[mtid.Holder]intake),
	}
}

// Name implements Policy.
func (*Planner) Name() string { return "planner" }

// Plan implements Policy.
func (p *Planner) Plan(now mtclock.Instant, state *State) Plan {
	r := p.survey(now, state)
	r.evacuate()
	if r.mean > minUtil {
		r.relieve()
		r.fill()
	}
	r.merge()
	return r.plan
}

// Refused tells the planner that an owner would not carry out a move, so that
// it no longer counts as under way. The shard rests before it is asked again.
func (p *Planner) Refused(now mtclock.Instant, low mtid.Point) {
	delete(p.asked, low)
	p.moved[low] = now
}

// band is how far from the mean a server may be, in shares of the mean.
type band struct {
	enter float64 // beyond this it is relieved or filled
	exit  float64 // until it is within this
}

// bandOf returns the band that the weights ask for: narrow for a business that
// weighs imbalance most, wider for one that would rather not have keys moved.
func bandOf(w mtbundle.Weights) band {
	const narrowest, widest, exitPart = 0.06, 0.12, 0.35
	share := 1.0 / 3
	if sum := w.Imbalance + w.Churn + w.Unavailability; sum > 0 {
		share = w.Imbalance / sum
	}
	enter := widest - (widest-narrowest)*share
	return band{enter: enter, exit: enter * exitPart}
}

// round is the working state of one Plan.
type round struct {
	p     *Planner
	now   mtclock.Instant
	state *State
	band  band
	plan  Plan

	total  float64
	mean   float64   // load per usable slot
	owner  []int     // of each shard, moves under way counted as done
	owned  [][]int   // shards of each server
	load   []float64 // of each server
	room   []float64 // usable slots of each server; 0 if it leaves
	zone   []int     // of each server
	zones  []zoneLoad
	hot    []bool // shards that hold a hot key; never merged
	ops    int
	shards int // that the table will have
}

type zoneLoad struct{ load, room float64 }

func (z zoneLoad) util() float64 {
	if z.room == 0 {
		return 0
	}
	return z.load / z.room
}

// survey starts a round: it settles what was asked for before and adds up.
func (p *Planner) survey(now mtclock.Instant, state *State) *round {
	p.expire(now)
	n := len(state.Servers)
	r := &round{
		p: p, now: now, state: state,
		band:   bandOf(state.Weights),
		owner:  make([]int, len(state.Shards)),
		owned:  make([][]int, n),
		load:   make([]float64, n),
		room:   make([]float64, n),
		zone:   make([]int, n),
		shards: len(state.Shards),
	}
	r.mean = state.Mean()
	r.addServers()
	r.addShards()
	r.addUnknown()
	r.addHot()
	p.refill(now, r.total)
	r.watch()
	return r
}

// expire drops what is no longer needed.
func (p *Planner) expire(now mtclock.Instant) {
	for low, a := range p.asked {
		if now.After(a.until) {
			p.Refused(now, low)
		}
	}
	for low, at := range p.moved {
		if now.Sub(at) > restTime {
			delete(p.moved, low)
		}
	}
	for low, at := range p.born {
		if now.Sub(at) > mergeAge {
			delete(p.born, low)
		}
	}
}

// refill lets the budget of small corrections grow.
func (p *Planner) refill(now mtclock.Instant, total float64) {
	if p.last != 0 {
		p.trim += total * trimRate * now.Sub(p.last).Minutes()
	}
	p.last = now
	p.trim = min(p.trim, total*trimBurst)
}

func (r *round) addServers() {
	places := make(map[mtid.Zone]int)
	for i := range r.state.Servers {
		server := &r.state.Servers[i]
		zone, ok := places[server.Zone]
		if !ok {
			zone = len(r.zones)
			places[server.Zone] = zone
			r.zones = append(r.zones, zoneLoad{})
		}
		r.zone[i] = zone
		if !server.Leaving {
			r.room[i] = server.Slots * server.Warm
			r.zones[zone].room += r.room[i]
		}
		given := r.p.given[server.Holder]
		if given.heard != server.HeardAt || r.now.Sub(given.since) > intakeTime {
			r.p.given[server.Holder] = intake{heard: server.HeardAt, since: r.now}
		}
	}
}

func (r *round) addShards() {
	for i := range r.state.Shards {
		s := &r.state.Shards[i]
		r.owner[i] = r.settle(s)
		r.total += s.Load
		if r.owner[i] < 0 {
			continue
		}
		r.owned[r.owner[i]] = append(r.owned[r.owner[i]], i)
		r.load[r.owner[i]] += s.Load
		r.zones[r.zone[r.owner[i]]].load += s.Load
	}
}

// addUnknown takes servers that have never reported for loaded like the mean.
// Their shards count for nothing yet, and a server that leaves would be emptied
// onto one of them.
func (r *round) addUnknown() {
	for i := range r.state.Servers {
		if r.state.Servers[i].HeardAt != 0 {
			continue
		}
		missing := max(0, r.fair(i)-r.load[i])
		r.load[i] += missing
		r.zones[r.zone[i]].load += missing
	}
}

// settle returns the owner that a shard is counted for, and forgets a move that
// is done or overtaken.
func (r *round) settle(s *Shard) int {
	a, ok := r.p.asked[s.Low]
	if !ok || s.Owner < 0 {
		return s.Owner
	}
	if r.state.Servers[s.Owner].Holder != a.from {
		delete(r.p.asked, s.Low)
		r.p.moved[s.Low] = r.now
		return s.Owner
	}
	if to := place(r.state, a.to); to >= 0 {
		return to
	}
	delete(r.p.asked, s.Low)
	return s.Owner
}

// addHot marks the shards that hold a hot key.
func (r *round) addHot() {
	r.hot = make([]bool, len(r.state.Shards))
	for _, point := range r.state.Points {
		if i := r.shardAt(point.Point); i >= 0 && point.Load > hotShare/4*r.fair(r.owner[i]) {
			r.hot[i] = true
		}
	}
}

// shardAt returns the place of the shard that covers p.
func (r *round) shardAt(p mtid.Point) int {
	i, ok := slices.BinarySearchFunc(r.state.Shards, p, func(s Shard, p mtid.Point) int { return cmp.Compare(s.Low, p) })
	if ok {
		return i
	}
	return i - 1
}

// fair returns the load that a server would have at the mean.
func (r *round) fair(server int) float64 {
	if server < 0 {
		return 0
	}
	return r.mean * r.room[server]
}

// util returns a server's load per usable slot.
func (r *round) util(server int) float64 {
	if r.room[server] == 0 {
		return 0
	}
	return r.load[server] / r.room[server]
}

// watch notes since when each server has been out of the band.
func (r *round) watch() {
	for i := range r.state.Servers {
		holder := r.state.Servers[i].Holder
		note(r.p.above, holder, r.now, r.room[i] > 0 && r.util(i) > r.mean*(1+r.band.enter))
		note(r.p.below, holder, r.now, r.room[i] > 0 && r.util(i) < r.mean*(1-r.band.enter))
	}
}

func note(since map[mtid.Holder]mtclock.Instant, holder mtid.Holder, now mtclock.Instant, out bool) {
	if !out {
		delete(since, holder)
		return
	}
	if _, ok := since[holder]; !ok {
		since[holder] = now
	}
}

// lasting reports whether a server has been out of the band for long enough.
func (r *round) lasting(since map[mtid.Holder]mtclock.Instant, server int) bool {
	at, ok := since[r.state.Servers[server].Holder]
	return ok && r.now.Sub(at) >= patience
}

// full reports whether the round has asked for all that it may.
func (r *round) full() bool { return len(r.plan.Moves) >= MaxMoves }

// movable reports whether a shard may be moved for the sake of balance.
func (r *round) movable(i int) bool {
	s := &r.state.Shards[i]
	if s.Pinned {
		return false
	}
	if _, ok := r.p.asked[s.Low]; ok {
		return false
	}
	_, ok := r.p.moved[s.Low]
	return !ok
}

// move asks for shard i to go to a server, and counts it as done.
func (r *round) move(i, to int) {
	s := &r.state.Shards[i]
	from := r.owner[i]
	request := request{from: r.state.Servers[s.Owner].Holder, to: r.state.Servers[to].Holder, until: r.now.Add(askLife)}
	r.p.asked[s.Low] = request
	r.plan.Moves = append(r.plan.Moves, Move{Low: s.Low, From: request.from, To: request.to})
	r.load[from] -= s.Load
	r.load[to] += s.Load
	r.zones[r.zone[from]].load -= s.Load
	r.zones[r.zone[to]].load += s.Load
	r.owner[i] = to
	k := slices.Index(r.owned[from], i)
	r.owned[from] = slices.Delete(r.owned[from], k, k+1)
	r.owned[to] = append(r.owned[to], i)
	given := r.p.given[request.to]
	given.load += s.Load
	r.p.given[request.to] = given
}

// open reports whether a server may be given load: it stays, its load is known,
// and it has not been given much since it last reported.
func (r *round) open(server int, load float64) bool {
	s := &r.state.Servers[server]
	if r.room[server] == 0 || !s.Heard {
		return false
	}
	given := r.p.given[s.Holder].load
	return given == 0 || given+load <= intakeShare*r.fair(server)
}

// recipient returns where a shard of that load fits best with no server above
// limit, or -1. Between servers alike it goes to the zone with the least load,
// so that the loss of any zone gives the others the least to take over.
func (r *round) recipient(from int, load, limit float64) int {
	best, bestScore := -1, 0.0
	for i := range r.state.Servers {
		if i == from || r.room[i] == 0 {
			continue
		}
		after := (r.load[i] + load) / r.room[i]
		if after > limit || !r.open(i, load) {
			continue
		}
		score := after + zonePull*r.zones[r.zone[i]].util()
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// evacuate asks for everything to leave the servers that leave, the heaviest
// shards first. No budget and no rest holds it up.
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
		if _, ok := r.p.asked[r.state.Shards[i].Low]; ok && r.state.Shards[i].Owner != r.owner[i] {
			// Under way to a server that leaves too: wait for it to end.
			continue
		}
		if to := r.refuge(i); to >= 0 {
			r.move(i, to)
		}
	}
}

// refuge returns where a shard of a leaving server goes: where it fits, or
// failing that to the least loaded server, known or not.
func (r *round) refuge(i int) int {
	load := r.state.Shards[i].Load
	if to := r.recipient(r.owner[i], load, r.mean*(1+r.band.enter)); to >= 0 {
		return to
	}
	best := -1
	for k := range r.state.Servers {
		if r.room[k] == 0 {
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
