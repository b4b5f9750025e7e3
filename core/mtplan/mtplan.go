// Package mtplan decides how the shards of a keyed service are distributed over
// its servers: when the first table is created, which shards are split or
// merged, and which shards move to which server.
//
// A Policy takes a State (tables, servers, estimated loads, weights) and
// returns a Plan: ops that the planning daemon writes itself because they
// change no owner (split and merge), and moves that it requests from the
// current owners. Planner is the policy in production use. Rendezvous and
// Bounded are the baselines that it is compared with.
//
// # Usage
//
//	policy := mtplan.NewPlanner()
//	plan := policy.Plan(now, state)
//	for chunk, ops := range plan.Ops { ... }
//	for _, move := range plan.Moves { ... }
//
// Everything in this package is deterministic and does no I/O. Policies
// remember the moves that they requested between rounds, so each service needs
// its own value. No policy is safe for concurrent use.
package mtplan

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Leader returns the holder that plans for a service: the one with the highest
// rendezvous rank among its live holders, or the zero holder if there are none.
// Daemons with different views of who is live may choose different leaders;
// this is harmless, since the store orders their writes.
func Leader(ref mtid.Ref, live []mtid.Holder) mtid.Holder {
	return mtshard.Choose(ref.Point(leaderKey), live)
}

// leaderKey is the key whose point on the ring determines the rank of each
// candidate for leader.
const leaderKey = "planner"
