// Package mtscene is a small fluid model of shards and servers for testing and
// comparing placement policies. It models keys whose load changes every second,
// servers with slots, load reports that may be late, frozen or wrong, and a
// policy that plans from these reports.
//
// It does not simulate a cluster: there are no requests, messages or clocks.
// Loads are numbers, time advances in steps of one second, and the same scenario
// and seed always give the same result.
//
// # Usage
//
//	for _, scenario := range mtscene.Scenarios(seed) {
//		result := mtscene.Run(scenario, mtplan.NewPlanner())
//	}
//
// The router itself does not use this package. A Scenario may be run any number
// of times, but not by two goroutines at once.
package mtscene

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
)

// Server is a server of a scenario, with the times at which it joins and leaves.
type Server struct {
	Name  mtid.Daemon
	Zone  mtid.Zone
	Slots float64
	// Times since the start of the scenario; zero means never for Leaves and Lost.
	Joins  time.Duration
	Leaves time.Duration // starts to drain; the server is removed once it owns nothing
	Lost   time.Duration // fails without draining
}

// Faults describes how load reports deviate from correct and immediate ones.
type Faults struct {
	ReportDelay time.Duration // delay of every report
	// Frozen reports whether a server repeats its last report instead of measuring.
	Frozen func(server int, at time.Duration) bool
	// LoadFactor returns the factor by which a server's reports scale its load; nil
	// means that all reports are correct.
	LoadFactor func(server int) float64
}

// Scenario combines a load over time, a fleet of servers and faults of reports.
type Scenario struct {
	Name   string
	Ref    mtid.Ref
	Length time.Duration
	// WarmUp is excluded from the result, since no load is known yet when the
	// first tables are created. Zero means the default, the constant WarmUp.
	WarmUp  time.Duration
	Servers []Server
	Keys    []mtid.Point // in ascending order
	// Load stores the offered load of each key at a time, in slots.
	Load    func(at time.Duration, load []float64)
	Shards  int
	Chunks  int
	Weights mtbundle.Weights
	Faults  Faults
	// ServiceTime is how long a request occupies a slot. Meters count requests: the
	// longer each takes, the fewer make up the same load and the noisier the
	// measured load is.
	ServiceTime time.Duration
	// Seed is the seed of this noise.
	Seed uint64
}

// WarmTime returns the initial time that is excluded from the result.
func (s *Scenario) WarmTime() time.Duration {
	if s.WarmUp == 0 {
		return WarmUp
	}
	return s.WarmUp
}

// Constants of the model.
const (
	// WarmUp is the default time that is excluded from the result.
	WarmUp = 2 * time.Minute
	// MovePause is how long requests for a shard wait during a planned move.
	MovePause = 20 * time.Millisecond
	// LossPause is how long the shards of a lost server have no owner.
	LossPause = 1500 * time.Millisecond
	// TargetImbalance is the highest imbalance that the planner is supposed to allow.
	TargetImbalance = 1.15
	// planInterval is the time between two rounds of a policy, and replanDelay
	// the time to the next round after one that split or merged shards.
	planInterval = 5 * time.Second
	replanDelay  = time.Second
	// moveDelay is the time from the request for a move to the change of owner.
	moveDelay = time.Second
	// movesPerOwner limits the moves that one owner executes in a second.
	movesPerOwner = 32
)

// Result holds the metrics of a policy in a scenario.
type Result struct {
	Scenario string
	Policy   string
	// Series is the imbalance in each second from the start: the highest load
	// per usable slot of any server, divided by the mean.
	Series []float64
	// Mean and P99 are the imbalance after the warm-up. Floor is the load of the
	// hottest key divided by the mean load of a server: if it exceeds one, no
	// placement has a lower imbalance.
	Mean, P99, Floor float64
	// Over is the share of time above TargetImbalance, and Longest the longest
	// continuous period above it.
	Over    float64
	Longest time.Duration
	// Churn is the share of the total load that moves per minute, and Moves the
	// number of moves.
	Churn float64
	Moves int
	// Unavailable is how long a key has no owner per minute, averaged over keys
	// weighted by load.
	Unavailable time.Duration
	// Shed is the share of the load that exceeds the slots of its server.
	Shed float64
	// Returns counts moves of a shard back to an owner that it left within the
	// last two minutes, which indicates oscillation.
	Returns int
	// Splits and Merges count table changes that move no shard. Writes counts all
	// writes of chunks, with a separate write for each move.
	Splits, Merges, Writes int
	// Batches is what Writes would be if each owner combined its moves of one
	// second within a chunk into a single write.
	Batches int
	Shards  int // number of shards at the end
	// ChunkBytes is the mean size of a stored chunk at the end, and StepBytes
	// that of a step, the increment that daemons forward to each other.
	ChunkBytes, StepBytes float64
	// ReportRate is the traffic of load reports at the planner's daemon in bytes
	// per second, and ReportPeak the highest rate in any minute.
	ReportRate, ReportPeak float64
}
