package mtplan

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Rendezvous is the plain baseline: each shard belongs to the serving server
// with the highest rank for it, whatever the load.
type Rendezvous struct{}

// NewRendezvous returns the baseline.
func NewRendezvous() *Rendezvous { return &Rendezvous{} }

// Name implements Policy.
func (*Rendezvous) Name() string { return "rendezvous" }

// Plan implements Policy.
func (*Rendezvous) Plan(_ mtclock.Instant, state *State) Plan {
	serving := staying(state)
	return wish(state, func(s *Shard) int {
		holder := mtshard.Choose(s.Low, serving)
		return place(state, holder)
	})
}

// Bounded is consistent hashing with bounded loads: a shard goes to the first
// server clockwise from it whose load stays within Factor times the mean. It
// sees the same measured loads as the planner.
type Bounded struct {
	// Factor is how far a server's load per slot may exceed the mean.
	Factor float64
}

// BoundedFactor is the factor that is usually chosen.
const BoundedFactor = 1.25

// replicas is how many places each server has on the ring.
const replicas = 64

// NewBounded returns the baseline with the usual factor.
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
	return wish(state, func(s *Shard) int {
		start := firstFrom(ring, mix(s.Low))
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

// ringPlace is one place of a server on the ring.
type ringPlace struct {
	at     mtid.Point
	server int
}

func newRing(state *State) []ringPlace {
	var ring []ringPlace
	for i := range state.Servers {
		server := &state.Servers[i]
		if server.Leaving {
			continue
		}
		for k := range replicas {
			ring = append(ring, ringPlace{at: mtid.Point(mtid.Rank(server.Holder.Daemon, mtid.Point(k))), server: i})
		}
	}
	slices.SortFunc(ring, func(a, b ringPlace) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	return ring
}

// firstFrom returns the first place at or after p.
func firstFrom(ring []ringPlace, p mtid.Point) int {
	i, _ := slices.BinarySearchFunc(ring, p, func(r ringPlace, p mtid.Point) int { return cmp.Compare(r.at, p) })
	return i % len(ring)
}

// mix spreads neighbouring lows over the ring, since a server would otherwise
// get runs of neighbouring shards.
func mix(p mtid.Point) mtid.Point { return mtid.Point(mtid.Rank("", p)) }

// wish returns moves of all shards whose owner is not the wanted one.
func wish(state *State, want func(*Shard) int) Plan {
	var plan Plan
	for i := range state.Shards {
		s := &state.Shards[i]
		to := want(s)
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

// staying returns the holders that are not leaving.
func staying(state *State) []mtid.Holder {
	var found []mtid.Holder
	for i := range state.Servers {
		if !state.Servers[i].Leaving {
			found = append(found, state.Servers[i].Holder)
		}
	}
	return found
}

// place returns where holder is among the servers, or -1.
func place(state *State, holder mtid.Holder) int {
	i, ok := slices.BinarySearchFunc(state.Servers, holder, func(s Server, h mtid.Holder) int {
		return s.Holder.Compare(h)
	})
	if !ok {
		return -1
	}
	return i
}
