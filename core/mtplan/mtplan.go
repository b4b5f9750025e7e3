// Package mtplan decides how the shards of a keyed service are spread over its
// servers: when a table is laid, which shards are split or merged, and which
// ones should move where.
//
// A Policy looks at a State (tables, servers, estimated loads, weights) and
// returns a Plan: ops that the planner writes itself since they change no owner
// (split and merge), and moves that it asks the present owners to carry out.
// Planner is the policy in use. Rendezvous and Bounded are the plain ways that
// it is measured against.
//
// # Usage
//
//	policy := mtplan.NewPlanner()
//	plan := policy.Plan(now, state)
//	for chunk, ops := range plan.Ops { ... }
//	for _, move := range plan.Moves { ... }
//
// Everything here is deterministic and does no I/O. Policies keep what they
// have asked for between rounds, so one value serves one service; none of them
// is safe for concurrent use.
package mtplan

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Leader returns the holder that plans for a service: the first by rendezvous
// rank among its live holders, or the zero holder if there are none. Daemons
// that differ about who is live may name two; the store's order of writes makes
// that harmless.
func Leader(ref mtid.Ref, live []mtid.Holder) mtid.Holder {
	return mtshard.Choose(ref.Point(leaderKey), live)
}

// leaderKey is the key whose point on the ring ranks the planners.
const leaderKey = "planner"
