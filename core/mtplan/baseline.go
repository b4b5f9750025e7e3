package mtplan

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Rendezvous is a baseline policy: each shard belongs to the non-leaving server
// with the highest rendezvous rank for it, whatever the load.
type Rendezvous struct{}

// NewRendezvous returns the rendezvous-hashing baseline.
func NewRendezvous() *Rendezvous { return &Rendezvous{} }

// Name implements Policy.
func (*Rendezvous) Name() string { return "rendezvous" }

// Plan implements Policy.
func (*Rendezvous) Plan(_ mtclock.Instant, state *State) Plan {
	candidates := remaining(state)
	return movesTo(state, func(s *Shard) int {
		holder := mtshard.Choose(s.Low, candidates)
		return serverIndex(state, holder)
	})
}

// Bounded is a baseline policy, consistent hashing with bounded loads: a shard
// goes to the first server clockwise from it whose load stays within Factor
// times the mean. It uses the same measured loads as Planner.
type Bounded struct {
	// Factor limits the load per slot of a server, as a multiple of the mean.
	Factor float64
}

// BoundedFactor is the factor in common use for bounded loads.
const BoundedFactor = 1.25

// virtualNodes is the number of points that each server has on the ring.
const virtualNodes = 64

// NewBounded returns a Bounded policy with BoundedFactor.
func NewBounded() *Bounded { return &Bounded{Factor: BoundedFactor} }

// Name implements Policy.
func (*Bounded) Name() string { return "bounded 1.25" }

// Plan implements Policy.
func (b *Bounded) Plan(_ mtclock.Instant, state *State) Plan {
	ring := newRing(state)
	if len(ring) == 0 {
		return Plan{}
	}
	limit := state.Mean() * b.Factor
	load := make([]float64, len(state.Servers))
	return movesTo(state, func(s *Shard) int {
		start := firstAtOrAfter(ring, scatter(s.Low))
		for i := range ring {
			server := ring[(start+i)%len(ring)].server
			if load[server]+s.Load <= limit*state.Servers[server].Slots {
				load[server] += s.Load
				return server
			}
		}
		server := ring[start].server
		load[server] += s.Load
		return server
	})
}

// virtualNode is one point of a server on the ring.
type virtualNode struct {
	at     mtid.Point
	server int
}

func newRing(state *State) []virtualNode {
	var ring []virtualNode
	for i := range state.Servers {
		server := &state.Servers[i]
		if server.Leaving {
			continue
		}
		for k := range virtualNodes {
			ring = append(ring, virtualNode{at: mtid.Point(mtid.Rank(server.Holder.Daemon, mtid.Point(k))), server: i})
		}
	}
	slices.SortFunc(ring, func(a, b virtualNode) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	return ring
}

// firstAtOrAfter returns the index of the first virtual node at or after p,
// wrapping around at the end of the ring.
func firstAtOrAfter(ring []virtualNode, p mtid.Point) int {
	i, _ := slices.BinarySearchFunc(ring, p, func(r virtualNode, p mtid.Point) int { return cmp.Compare(r.at, p) })
	return i % len(ring)
}

// scatter hashes the low of a shard to a point on the ring. Unhashed,
// neighbouring shards would go to the same server in long runs.
func scatter(p mtid.Point) mtid.Point { return mtid.Point(mtid.Rank("", p)) }

// movesTo returns a move for each shard whose owner differs from the one that
// target returns.
func movesTo(state *State, target func(*Shard) int) Plan {
	var plan Plan
	for i := range state.Shards {
		s := &state.Shards[i]
		to := target(s)
		if to < 0 || s.Owner < 0 || to == s.Owner {
			continue
		}
		plan.Moves = append(plan.Moves, Move{
			Low:  s.Low,
			From: state.Servers[s.Owner].Holder,
			To:   state.Servers[to].Holder,
		})
	}
	return plan
}

// remaining returns the holders that are not leaving.
func remaining(state *State) []mtid.Holder {
	var found []mtid.Holder
	for i := range state.Servers {
		if !state.Servers[i].Leaving {
			found = append(found, state.Servers[i].Holder)
		}
	}
	return found
}

// serverIndex returns the index of the holder's server, or -1.
func serverIndex(state *State, holder mtid.Holder) int {
	i, ok := slices.BinarySearchFunc(state.Servers, holder, func(s Server, h mtid.Holder) int {
		return s.Holder.Compare(h)
	})
	if !ok {
		return -1
	}
	return i
}
