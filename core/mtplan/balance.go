package mtplan

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// offloadOverloaded moves load off the servers above the band, the most loaded
// first.
func (r *round) offloadOverloaded() {
	var donors []int
	for i := range r.state.Servers {
		if r.capacity[i] == 0 || !r.state.Servers[i].LoadKnown {
			continue
		}
		util := r.util(i)
		if util > r.mean*urgentFactor || r.outOfBandLongEnough(r.planner.aboveSince, i) {
			donors = append(donors, i)
		}
	}
	slices.SortFunc(donors, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.util(b), r.util(a)), cmp.Compare(a, b))
	})
	for _, donor := range donors {
		r.isolateHotKeys(donor)
		r.offload(donor)
	}
}

// isolateHotKeys splits the hot keys of a server out of their shards. A split
// changes no owner and interrupts no request; it lets the key and its
// neighbours move separately.
func (r *round) isolateHotKeys(donor int) {
	for _, point := range r.state.HotKeys {
		i := r.shardAt(point.Point)
		if i < 0 || r.owner[i] != donor || point.Load < hotShare*r.fairLoad(donor) {
			continue
		}
		r.splitOut(i, point.Point)
	}
}

// splitOut splits point into a separate shard.
func (r *round) splitOut(i int, point mtid.Point) {
	s := &r.state.Shards[i]
	if s.Single() || !r.splittable(i) {
		return
	}
	if point > s.Low {
		r.split(s.Chunk, point)
	}
	if point < s.High {
		r.split(s.Chunk, point+1)
	}
	r.planner.splitAt[s.Low] = r.now
}

// splittable reports whether a shard may be split in this round. A shard with a
// pending move may not, because its owner works with the old bounds.
func (r *round) splittable(i int) bool {
	s := &r.state.Shards[i]
	if s.Pinned || s.Owner != r.owner[i] {
		return false
	}
	limit := r.state.Target + extraShardsPerServer*len(r.state.Servers)
	return r.ops+2 <= maxOps && r.shards+2 <= limit
}

func (r *round) split(chunk int, at mtid.Point) {
	r.addOp(chunk, mtshard.Split{Point: at})
	r.shards++
	r.planner.splitAt[at] = r.now
}

func (r *round) addOp(chunk int, op mtshard.Op) {
	if r.plan.Ops == nil {
		r.plan.Ops = make(map[int][]mtshard.Op)
	}
	r.plan.Ops[chunk] = append(r.plan.Ops[chunk], op)
	r.ops++
}

// offload moves shards off a server until it is within the band or no further
// move would help.
func (r *round) offload(donor int) {
	maxLoad := r.fairLoad(donor) * (1 + r.band.exit)
	candidates := r.candidates(donor)
	for r.load[donor] > maxLoad && !r.full() {
		excess := r.load[donor] - maxLoad
		k, to := r.pickMove(candidates, donor, excess)
		if k < 0 {
			if !r.exchange(candidates, donor, excess) {
				r.splitHeaviest(donor, candidates, excess)
			}
			return
		}
		if !r.chargeBudget(donor, r.state.Shards[candidates[k]].Load) {
			return
		}
		r.move(candidates[k], to)
		candidates = slices.Delete(candidates, k, k+1)
	}
}

// candidates returns the shards of a server that carry load and may move, the
// heaviest first.
func (r *round) candidates(server int) []int {
	var found []int
	for _, i := range r.owned[server] {
		if r.state.Shards[i].Load > 0 && r.movable(i) && !r.splitThisRound(i) {
			found = append(found, i)
		}
	}
	r.sortByLoad(found)
	return found
}

// splitThisRound reports whether the shard was split in this round, so that its
// bounds and load are about to change.
func (r *round) splitThisRound(i int) bool { return r.planner.splitAt[r.state.Shards[i].Low] == r.now }

// maxOvershoot is the factor by which a single shard may exceed the excess load
// and still be preferred to several smaller ones.
const maxOvershoot = 1.25

// pickMove returns the index in candidates of the shard to move, and its
// recipient, or -1. It prefers the heaviest shard whose load is at most
// maxOvershoot times the excess.
func (r *round) pickMove(candidates []int, donor int, excess float64) (int, int) {
	// Candidates are sorted by load, heaviest first. first is the first one
	// within the allowed overshoot.
	first := slices.IndexFunc(candidates, func(i int) bool { return r.state.Shards[i].Load <= excess*maxOvershoot })
	if first < 0 {
		return -1, -1
	}
	for _, reach := range []float64{r.band.exit, r.band.enter} {
		limit := r.mean * (1 + reach)
		tried := 0
		for k := first; k < len(candidates) && tried < maxPickTries; k++ {
			tried++
			if to := r.recipient(donor, r.state.Shards[candidates[k]].Load, limit); to >= 0 {
				return k, to
			}
		}
		// Many shards may be too large for any server. Search the lighter half
		// as well, from its heavy end, so that a shard that fits is found if
		// there is one.
		for k := max(first, len(candidates)/2); k < len(candidates) && tried < 2*maxPickTries; k++ {
			tried++
			if to := r.recipient(donor, r.state.Shards[candidates[k]].Load, limit); to >= 0 {
				return k, to
			}
		}
	}
	return -1, -1
}

// maxPickTries bounds the candidates that are tried for one move.
const maxPickTries = 12

// exchange moves a hot shard off an overloaded server although no server has
// enough spare capacity. The recipient in turn offloads small shards to other
// servers, possibly to the donor. It reports whether it moved a shard. Without
// the exchange, a server with several hot keys would stay overloaded as long as
// no other server had a gap the size of a whole key.
func (r *round) exchange(candidates []int, donor int, excess float64) bool {
	since, above := r.planner.aboveSince[r.state.Servers[donor].Holder]
	if !above || r.now.Sub(since) < exchangeDelay || r.util(donor) <= r.mean*urgentFactor {
		return false
	}
	for k := len(candidates) - 1; k >= 0; k-- {
		load := r.state.Shards[candidates[k]].Load
		if load < excess/2 || load < hotShare*r.fairLoad(donor) {
			continue
		}
		if to := r.exchangeRecipient(donor, load); to >= 0 {
			r.move(candidates[k], to)
			r.offloadSmall(to)
			return true
		}
	}
	return false
}

// exchangeDelay is how long a server must be above the band before an exchange.
// An exchange takes many moves, and the load of a key that has just become hot
// is still underestimated.
const exchangeDelay = 12 * time.Second

// exchangeRecipient returns the least loaded server that could take a shard of
// that load and offload the resulting excess as small shards, or -1.
func (r *round) exchangeRecipient(donor int, load float64) int {
	best := -1
	for i := range r.state.Servers {
		if i == donor || r.capacity[i] == 0 || !r.state.Servers[i].LoadKnown {
			continue
		}
		over := r.load[i] + load - r.fairLoad(i)*(1+r.band.exit)
		if over > r.smallLoad(i) || over > r.spareCapacity(donor, i, load) {
			continue
		}
		if best < 0 || r.util(i) < r.util(best) {
			best = i
		}
	}
	return best
}

// offloadSmall moves small shards off a server until it is within the band.
func (r *round) offloadSmall(server int) {
	maxLoad := r.fairLoad(server) * (1 + r.band.exit)
	for _, i := range r.candidates(server) {
		if r.load[server] <= maxLoad || r.full() {
			return
		}
		load := r.state.Shards[i].Load
		if load >= hotShare*r.fairLoad(server) {
			continue
		}
		if to := r.recipient(server, load, r.mean*(1+r.band.enter)); to >= 0 {
			r.move(i, to)
		}
	}
}

// spareCapacity returns the load that the servers other than recipient could
// take inside the band once donor has lost load.
func (r *round) spareCapacity(donor, recipient int, load float64) float64 {
	sum := 0.0
	for i := range r.state.Servers {
		if i == recipient || r.capacity[i] == 0 {
			continue
		}
		free := r.fairLoad(i)*(1+r.band.enter) - r.load[i]
		if i == donor {
			free += load
		}
		sum += max(0, free)
	}
	return sum
}

// smallLoad returns the total load of a server's movable shards that are small
// enough to fit into the gap of any other server.
func (r *round) smallLoad(server int) float64 {
	sum := 0.0
	for _, i := range r.owned[server] {
		if load := r.state.Shards[i].Load; load < hotShare*r.fairLoad(server) && r.movable(i) {
			sum += load
		}
	}
	return sum
}

// splitHeaviest splits a shard of an overloaded server that has none small
// enough to move: the heaviest that holds more than a single key, in the
// middle.
func (r *round) splitHeaviest(donor int, candidates []int, excess float64) {
	for _, i := range candidates {
		s := &r.state.Shards[i]
		if s.Single() || s.Load < excess/2 || s.Load < hotShare/2*r.fairLoad(donor) {
			continue
		}
		if r.splittable(i) {
			r.split(s.Chunk, s.Low+(s.High-s.Low)/2+1)
			r.planner.splitAt[s.Low] = r.now
		}
		return
	}
}

// chargeBudget reports whether load may move off a server. It charges the move
// to the budget unless the server is overloaded.
func (r *round) chargeBudget(donor int, load float64) bool {
	if r.util(donor) > r.mean*urgentFactor {
		return true
	}
	return r.spend(load)
}

func (r *round) spend(load float64) bool {
	if r.planner.budget < load {
		return false
	}
	r.planner.budget -= load
	return true
}

// fillUnderloaded moves load to the servers below the band, the least loaded
// first.
func (r *round) fillUnderloaded() {
	var recipients []int
	for i := range r.state.Servers {
		if r.capacity[i] == 0 || !r.state.Servers[i].LoadKnown {
			continue
		}
		if r.util(i) < r.mean*idleShare || r.outOfBandLongEnough(r.planner.belowSince, i) {
			recipients = append(recipients, i)
		}
	}
	slices.SortFunc(recipients, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.util(a), r.util(b)), cmp.Compare(a, b))
	})
	for _, recipient := range recipients {
		r.fillServer(recipient)
	}
}

// fillServer moves shards from the most loaded servers to one below the band.
func (r *round) fillServer(recipient int) {
	unbudgeted := r.util(recipient) < r.mean*idleShare
	exhausted := make([]bool, len(r.state.Servers))
	for !r.full() {
		need := r.fairLoad(recipient)*(1-r.band.exit) - r.load[recipient]
		if need <= 0 {
			return
		}
		donor := r.mostLoaded(exhausted)
		if donor < 0 {
			return
		}
		i := r.pickTransfer(donor, recipient, need)
		if i < 0 {
			exhausted[donor] = true
			continue
		}
		if !unbudgeted && !r.spend(r.state.Shards[i].Load) {
			return
		}
		r.move(i, recipient)
	}
}

// mostLoaded returns the most loaded server above the mean that is not
// exhausted, or -1.
func (r *round) mostLoaded(exhausted []bool) int {
	best := -1
	for i := range r.state.Servers {
		if exhausted[i] || r.capacity[i] == 0 || !r.state.Servers[i].LoadKnown || r.util(i) <= r.mean {
			continue
		}
		if best < 0 || r.util(i) > r.util(best) {
			best = i
		}
	}
	return best
}

// pickTransfer returns the heaviest shard that the donor can give up without
// falling below the band and that the recipient still needs, or -1.
func (r *round) pickTransfer(donor, recipient int, need float64) int {
	spare := r.load[donor] - r.fairLoad(donor)*(1-r.band.exit)
	for _, i := range r.candidates(donor) {
		load := r.state.Shards[i].Load
		if load <= min(need, spare) && r.accepts(recipient, load) {
			return i
		}
	}
	return -1
}

// merge joins cold neighbours while the table has more shards than its target.
// Neighbours with different owners are first moved to one owner, within the
// budget for small corrections.
func (r *round) merge() {
	surplus := len(r.state.Shards) - r.state.Target
	if surplus <= 0 || r.state.Target == 0 {
		return
	}
	averageLoad := r.total / float64(r.state.Target)
	colocations := 0
	for i := 1; i < len(r.state.Shards) && surplus > 0 && r.ops < maxOps; i++ {
		if !r.mergeable(i, averageLoad) {
			continue
		}
		if r.owner[i-1] == r.owner[i] {
			r.addOp(r.state.Shards[i].Chunk, mtshard.Merge{Low: r.state.Shards[i].Low})
			delete(r.planner.movedAt, r.state.Shards[i].Low)
			surplus--
			i++ // the bounds of the pair have changed: skip the next shard
			continue
		}
		if colocations < maxColocations && !r.full() && r.colocate(i) {
			colocations++
		}
	}
}

// maxColocations bounds the moves in one round that only prepare a merge.
const maxColocations = 4

// mergeable reports whether shard i and the one before it are cold enough to be
// merged, and neither has a pending move, moved or was split recently, holds a
// hot key or is pinned.
func (r *round) mergeable(i int, averageLoad float64) bool {
	a, b := &r.state.Shards[i-1], &r.state.Shards[i]
	if a.Chunk != b.Chunk || a.Owner < 0 || b.Owner < 0 || a.Load+b.Load > averageLoad {
		return false
	}
	return r.stable(i-1) && r.stable(i)
}

func (r *round) stable(i int) bool {
	s := &r.state.Shards[i]
	if r.hot[i] || !r.movable(i) || s.Owner != r.owner[i] {
		return false
	}
	_, recent := r.planner.splitAt[s.Low]
	return !recent
}

// colocate moves the lighter of two neighbouring shards to the other's owner.
func (r *round) colocate(i int) bool {
	a, b := i-1, i
	if r.state.Shards[a].Load > r.state.Shards[b].Load {
		a, b = b, a
	}
	load, to := r.state.Shards[a].Load, r.owner[b]
	if r.capacity[to] == 0 || (r.load[to]+load)/r.capacity[to] > r.mean*(1+r.band.exit) {
		return false
	}
	if !r.accepts(to, load) || !r.spend(load) {
		return false
	}
	r.move(a, to)
	return true
}
