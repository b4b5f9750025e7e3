package mtplan

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// relieve takes load off the servers above the band, the most loaded first.
func (r *round) relieve() {
	var donors []int
	for i := range r.state.Servers {
		if r.room[i] == 0 || !r.state.Servers[i].Heard {
			continue
		}
		util := r.util(i)
		if util > r.mean*urgent || r.lasting(r.p.above, i) {
			donors = append(donors, i)
		}
	}
	slices.SortFunc(donors, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.util(b), r.util(a)), cmp.Compare(a, b))
	})
	for _, donor := range donors {
		r.isolate(donor)
		r.shed(donor)
	}
}

// isolate cuts the hot keys of a server out of their shards. That changes no
// owner and cuts nobody off; it lets the key and its neighbours move apart.
func (r *round) isolate(donor int) {
	for _, point := range r.state.Points {
		i := r.shardAt(point.Point)
		if i < 0 || r.owner[i] != donor || point.Load < hotShare*r.fair(donor) {
			continue
		}
		r.cut(i, point.Point)
	}
}

// cut gives point a shard to itself.
func (r *round) cut(i int, point mtid.Point) {
	s := &r.state.Shards[i]
	if s.Single() || !r.divisible(i) {
		return
	}
	if point > s.Low {
		r.split(s.Chunk, point)
	}
	if point < s.High {
		r.split(s.Chunk, point+1)
	}
	r.p.born[s.Low] = r.now
}

// divisible reports whether a shard may be split in this round. One that is on
// its way to another owner may not: the owner works from the old bounds.
func (r *round) divisible(i int) bool {
	s := &r.state.Shards[i]
	if s.Pinned || s.Owner != r.owner[i] {
		return false
	}
	limit := r.state.Target + shardsPerServer*len(r.state.Servers)
	return r.ops+2 <= maxOps && r.shards+2 <= limit
}

func (r *round) split(chunk int, at mtid.Point) {
	r.op(chunk, mtshard.Split{Point: at})
	r.shards++
	r.p.born[at] = r.now
}

func (r *round) op(chunk int, op mtshard.Op) {
	if r.plan.Ops == nil {
		r.plan.Ops = make(map[int][]mtshard.Op)
	}
	r.plan.Ops[chunk] = append(r.plan.Ops[chunk], op)
	r.ops++
}

// shed moves shards off a server until it is within the band, or none of them
// would help.
func (r *round) shed(donor int) {
	goal := r.fair(donor) * (1 + r.band.exit)
	candidates := r.candidates(donor)
	for r.load[donor] > goal && !r.full() {
		excess := r.load[donor] - goal
		k, to := r.pick(candidates, donor, excess)
		if k < 0 {
			if !r.makeWay(candidates, donor, excess) {
				r.divide(donor, candidates, excess)
			}
			return
		}
		if !r.afford(donor, r.state.Shards[candidates[k]].Load) {
			return
		}
		r.move(candidates[k], to)
		candidates = slices.Delete(candidates, k, k+1)
	}
}

// candidates returns the shards of a server that may move and carry load, the
// heaviest first.
func (r *round) candidates(server int) []int {
	var found []int
	for _, i := range r.owned[server] {
		if r.state.Shards[i].Load > 0 && r.movable(i) && !r.cutNow(i) {
			found = append(found, i)
		}
	}
	r.sortByLoad(found)
	return found
}

// cutNow reports whether the shard was split in this round. Its bounds are then
// about to change, and its load with them.
func (r *round) cutNow(i int) bool { return r.p.born[r.state.Shards[i].Low] == r.now }

// overshoot is how much more than the excess a single shard may carry to be
// preferred to several smaller ones.
const overshoot = 1.25

// pick returns the candidate to move and its recipient, or -1. The first choice
// is the one shard that just covers the excess, then the largest below it.
func (r *round) pick(candidates []int, donor int, excess float64) (int, int) {
	// Candidates are sorted by load, heaviest first: first is the first that
	// doesn't overshoot.
	first := slices.IndexFunc(candidates, func(i int) bool { return r.state.Shards[i].Load <= excess*overshoot })
	if first < 0 {
		return -1, -1
	}
	for _, reach := range []float64{r.band.exit, r.band.enter} {
		limit := r.mean * (1 + reach)
		tried := 0
		for k := first; k < len(candidates) && tried < pickTries; k++ {
			tried++
			if to := r.recipient(donor, r.state.Shards[candidates[k]].Load, limit); to >= 0 {
				return k, to
			}
		}
		// Many may be too large for any server. The lightest half is looked at
		// from its heavy end, so that a fit is found if there is one.
		for k := max(first, len(candidates)/2); k < len(candidates) && tried < 2*pickTries; k++ {
			tried++
			if to := r.recipient(donor, r.state.Shards[candidates[k]].Load, limit); to >= 0 {
				return k, to
			}
		}
	}
	return -1, -1
}

// pickTries bounds the candidates that are looked at for one move.
const pickTries = 12

// makeWay moves a shard off an overloaded server although no server has room
// for it: to one that can give small shards to others in its place, the former
// owner among them. It reports whether it did. Without it a server on which
// several hot keys met would stay overloaded while no other has a hole of the
// size of one key.
func (r *round) makeWay(candidates []int, donor int, excess float64) bool {
	since, above := r.p.above[r.state.Servers[donor].Holder]
	if !above || r.now.Sub(since) < wayPatience || r.util(donor) <= r.mean*urgent {
		return false
	}
	for k := len(candidates) - 1; k >= 0; k-- {
		load := r.state.Shards[candidates[k]].Load
		if load < excess/2 || load < hotShare*r.fair(donor) {
			continue
		}
		if to := r.yielding(donor, load); to >= 0 {
			r.move(candidates[k], to)
			r.yield(to)
			return true
		}
	}
	return false
}

// wayPatience is how long a server must be above the band before others make
// way: the moves are many, and a key that has just become hot is still
// underrated.
const wayPatience = 12 * time.Second

// yielding returns the least loaded server that could give away in small shards
// what a new one of that load would be too much, or -1.
func (r *round) yielding(donor int, load float64) int {
	best := -1
	for i := range r.state.Servers {
		if i == donor || r.room[i] == 0 || !r.state.Servers[i].Heard {
			continue
		}
		over := r.load[i] + load - r.fair(i)*(1+r.band.exit)
		if over > r.small(i) || over > r.spare(donor, i, load) {
			continue
		}
		if best < 0 || r.util(i) < r.util(best) {
			best = i
		}
	}
	return best
}

// yield moves small shards off a server until it is within the band.
func (r *round) yield(server int) {
	goal := r.fair(server) * (1 + r.band.exit)
	for _, i := range r.candidates(server) {
		if r.load[server] <= goal || r.full() {
			return
		}
		load := r.state.Shards[i].Load
		if load >= hotShare*r.fair(server) {
			continue
		}
		if to := r.recipient(server, load, r.mean*(1+r.band.enter)); to >= 0 {
			r.move(i, to)
		}
	}
}

// spare returns the load that servers other than taker could take inside the
// band once donor has lost load.
func (r *round) spare(donor, taker int, load float64) float64 {
	sum := 0.0
	for i := range r.state.Servers {
		if i == taker || r.room[i] == 0 {
			continue
		}
		room := r.fair(i)*(1+r.band.enter) - r.load[i]
		if i == donor {
			room += load
		}
		sum += max(0, room)
	}
	return sum
}

// small returns the load of a server's shards that fit into any other's gap.
func (r *round) small(server int) float64 {
	sum := 0.0
	for _, i := range r.owned[server] {
		if load := r.state.Shards[i].Load; load < hotShare*r.fair(server) && r.movable(i) {
			sum += load
		}
	}
	return sum
}

// divide splits a shard of an overloaded server that has none small enough to
// move: the heaviest that isn't a single key, in the middle.
func (r *round) divide(donor int, candidates []int, excess float64) {
	for _, i := range candidates {
		s := &r.state.Shards[i]
		if s.Single() || s.Load < excess/2 || s.Load < hotShare/2*r.fair(donor) {
			continue
		}
		if r.divisible(i) {
			r.split(s.Chunk, s.Low+(s.High-s.Low)/2+1)
			r.p.born[s.Low] = r.now
		}
		return
	}
}

// afford reports whether a move of that load off a server is allowed, and takes
// it from the budget unless the server is overloaded.
func (r *round) afford(donor int, load float64) bool {
	if r.util(donor) > r.mean*urgent {
		return true
	}
	return r.spend(load)
}

func (r *round) spend(load float64) bool {
	if r.p.trim < load {
		return false
	}
	r.p.trim -= load
	return true
}

// fill gives load to the servers below the band, the emptiest first.
func (r *round) fill() {
	var takers []int
	for i := range r.state.Servers {
		if r.room[i] == 0 || !r.state.Servers[i].Heard {
			continue
		}
		if r.util(i) < r.mean*idle || r.lasting(r.p.below, i) {
			takers = append(takers, i)
		}
	}
	slices.SortFunc(takers, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.util(a), r.util(b)), cmp.Compare(a, b))
	})
	for _, taker := range takers {
		r.draw(taker)
	}
}

// draw moves shards from the most loaded servers to one below the band.
func (r *round) draw(taker int) {
	free := r.util(taker) < r.mean*idle
	spent := make([]bool, len(r.state.Servers))
	for !r.full() {
		need := r.fair(taker)*(1-r.band.exit) - r.load[taker]
		if need <= 0 {
			return
		}
		donor := r.richest(spent)
		if donor < 0 {
			return
		}
		i := r.gift(donor, taker, need)
		if i < 0 {
			spent[donor] = true
			continue
		}
		if !free && !r.spend(r.state.Shards[i].Load) {
			return
		}
		r.move(i, taker)
	}
}

// richest returns the most loaded server above the mean that isn't spent, or
// -1.
func (r *round) richest(spent []bool) int {
	best := -1
	for i := range r.state.Servers {
		if spent[i] || r.room[i] == 0 || !r.state.Servers[i].Heard || r.util(i) <= r.mean {
			continue
		}
		if best < 0 || r.util(i) > r.util(best) {
			best = i
		}
	}
	return best
}

// gift returns the heaviest shard that a server can give without falling below
// the band and that the taker still needs, or -1.
func (r *round) gift(donor, taker int, need float64) int {
	spare := r.load[donor] - r.fair(donor)*(1-r.band.exit)
	for _, i := range r.candidates(donor) {
		load := r.state.Shards[i].Load
		if load <= min(need, spare) && r.open(taker, load) {
			return i
		}
	}
	return -1
}

// merge joins cold neighbours while the table has more shards than it is meant
// to have. Neighbours with different owners are first brought together, within
// the budget of small corrections.
func (r *round) merge() {
	surplus := len(r.state.Shards) - r.state.Target
	if surplus <= 0 || r.state.Target == 0 {
		return
	}
	typical := r.total / float64(r.state.Target)
	visits := 0
	for i := 1; i < len(r.state.Shards) && surplus > 0 && r.ops < maxOps; i++ {
		if !r.joinable(i, typical) {
			continue
		}
		if r.owner[i-1] == r.owner[i] {
			r.op(r.state.Shards[i].Chunk, mtshard.Merge{Low: r.state.Shards[i].Low})
			delete(r.p.moved, r.state.Shards[i].Low)
			surplus--
			i++ // the pair's bounds have changed: leave the next one alone
			continue
		}
		if visits < mergeVisits && !r.full() && r.gather(i) {
			visits++
		}
	}
}

// mergeVisits bounds the moves of one round that only prepare a merge.
const mergeVisits = 4

// joinable reports whether shard i and the one before it are cold enough to be
// one, and neither is under way, resting, hot or pinned.
func (r *round) joinable(i int, typical float64) bool {
	a, b := &r.state.Shards[i-1], &r.state.Shards[i]
	if a.Chunk != b.Chunk || a.Owner < 0 || b.Owner < 0 || a.Load+b.Load > typical {
		return false
	}
	return r.settled(i-1) && r.settled(i)
}

func (r *round) settled(i int) bool {
	s := &r.state.Shards[i]
	if r.hot[i] || !r.movable(i) || s.Owner != r.owner[i] {
		return false
	}
	_, young := r.p.born[s.Low]
	return !young
}

// gather moves the lighter of two neighbours to the other's owner.
func (r *round) gather(i int) bool {
	a, b := i-1, i
	if r.state.Shards[a].Load > r.state.Shards[b].Load {
		a, b = b, a
	}
	load, to := r.state.Shards[a].Load, r.owner[b]
	if r.room[to] == 0 || (r.load[to]+load)/r.room[to] > r.mean*(1+r.band.exit) {
		return false
	}
	if !r.open(to, load) || !r.spend(load) {
		return false
	}
	r.move(a, to)
	return true
}
