package mtplan

import (
	"cmp"
	"slices"
)

// movable reports whether a shard may be moved for balance.
func (r *round) movable(i int) bool {
	s := &r.state.Shards[i]
	if s.Pinned {
		return false
	}
	if _, ok := r.planner.pending[s.Low]; ok {
		return false
	}
	_, ok := r.planner.movedAt[s.Low]
	return !ok
}

// move requests a move of shard i to a server and counts it as done.
func (r *round) move(i, to int) {
	s := &r.state.Shards[i]
	from := r.owner[i]
	pending := pendingMove{from: r.state.Servers[s.Owner].Holder, to: r.state.Servers[to].Holder, until: r.now.Add(moveTimeout)}
	r.planner.pending[s.Low] = pending
	r.plan.Moves = append(r.plan.Moves, Move{Low: s.Low, From: pending.from, To: pending.to})
	r.load[from] -= s.Load
	r.load[to] += s.Load
	r.zones[r.zone[from]].load -= s.Load
	r.zones[r.zone[to]].load += s.Load
	r.owner[i] = to
	k := slices.Index(r.owned[from], i)
	r.owned[from] = slices.Delete(r.owned[from], k, k+1)
	r.owned[to] = append(r.owned[to], i)
	received := r.planner.intakes[pending.to]
	received.load += s.Load
	r.planner.intakes[pending.to] = received
}

// accepts reports whether a server may receive load: it is not leaving, its
// load is known, and it has not received much since its last report.
func (r *round) accepts(server int, load float64) bool {
	s := &r.state.Servers[server]
	if r.capacity[server] == 0 || !s.LoadKnown {
		return false
	}
	received := r.planner.intakes[s.Holder].load
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
		if _, ok := r.planner.pending[r.state.Shards[i].Low]; ok && r.state.Shards[i].Owner != r.owner[i] {
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
