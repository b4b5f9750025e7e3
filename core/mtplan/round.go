package mtplan

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// round is the working state of one call of Plan.
type round struct {
	planner *Planner
	now     mtclock.Instant
	state   *State
	band    band
	plan    Plan

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
		planner: p, now: now, state: state,
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
		received := r.planner.intakes[server.Holder]
		if received.reportedAt != server.LastReport || r.now.Sub(received.since) > intakeTime {
			r.planner.intakes[server.Holder] = intake{reportedAt: server.LastReport, since: r.now}
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
	pending, ok := r.planner.pending[s.Low]
	if !ok || s.Owner < 0 {
		return s.Owner
	}
	if r.state.Servers[s.Owner].Holder != pending.from {
		delete(r.planner.pending, s.Low)
		r.planner.movedAt[s.Low] = r.now
		return s.Owner
	}
	if to := serverIndex(r.state, pending.to); to >= 0 {
		return to
	}
	delete(r.planner.pending, s.Low)
	return s.Owner
}

// markHotShards marks the shards that hold a hot key.
func (r *round) markHotShards() {
	r.hot = make([]bool, len(r.state.Shards))
	for _, key := range r.state.HotKeys {
		if i := r.shardAt(key.Point); i >= 0 && key.Load > hotShare/4*r.fairLoad(r.owner[i]) {
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
		trackSince(r.planner.aboveSince, holder, r.now, r.capacity[i] > 0 && r.util(i) > r.mean*(1+r.band.enter))
		trackSince(r.planner.belowSince, holder, r.now, r.capacity[i] > 0 && r.util(i) < r.mean*(1-r.band.enter))
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
