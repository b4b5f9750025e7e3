// Package mtscene is a small fluid model of shards and servers for tests and
// reports of placement policies: keys with a load that changes by the second,
// servers with slots, reports that may be late, frozen or wrong, and a policy
// that plans on what the reports say.
//
// It is no simulation of a cluster: there are no requests, messages or clocks
// in it. Loads are numbers, a second is the only step, and each run gives the
// same figures for the same scene and seed.
//
// # Usage
//
//	for _, scene := range mtscene.Scenes(seed) {
//		result := mtscene.Run(scene, mtplan.NewPlanner())
//	}
//
// Nothing here is used by the router itself. A Scene may be run any number of
// times, but not by two goroutines at once.
package mtscene

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
)

// Server is a server of a scene.
type Server struct {
	Name  mtid.Daemon
	Zone  mtid.Zone
	Slots float64
	// Times from the start of the scene; zero for Leaves and Lost means never.
	Joins  time.Duration
	Leaves time.Duration // it asks to leave, and is gone once it owns nothing
	Lost   time.Duration // it is lost without notice
}

// Faults say what is wrong with the load reports.
type Faults struct {
	Late time.Duration
	// Frozen says whether a server's reports repeat an old measurement.
	Frozen func(server int, at time.Duration) bool
	// Lies is what a server's reports multiply its load by; nil means that all
	// are truthful.
	Lies func(server int) float64
}

// Scene is one load on one fleet.
type Scene struct {
	Name   string
	Ref    mtid.Ref
	Length time.Duration
	// WarmUp is left out of the figures: the planner knows nothing of the load
	// when the first tables are laid. Zero means the usual WarmUp.
	WarmUp  time.Duration
	Servers []Server
	Keys    []mtid.Point // in order
	// Load fills in the offered load of each key, in slots.
	Load    func(at time.Duration, load []float64)
	Shards  int
	Chunks  int
	Weights mtbundle.Weights
	Faults  Faults
	// Busy is how long a request keeps a slot. Meters count requests, so the
	// longer it is the fewer there are of the same load, and the more the
	// measured load is off by chance.
	Busy time.Duration
	// Seed is that of this chance.
	Seed uint64
}

// WarmTime returns the time that is left out of the figures.
func (s *Scene) WarmTime() time.Duration {
	if s.WarmUp == 0 {
		return WarmUp
	}
	return s.WarmUp
}

// Constants of the model.
const (
	// WarmUp is the usual time that is left out of the figures.
	WarmUp = 2 * time.Minute
	// MovePause is how long a planned move keeps a shard's requests waiting.
	MovePause = 20 * time.Millisecond
	// LossPause is how long a lost server's shards have no owner.
	LossPause = 1500 * time.Millisecond
	// Aim is the imbalance that the planner is held to.
	Aim = 1.15
	// roundTime is the time between two rounds of a policy, and soonTime the
	// time to the next one when a round wrote splits.
	roundTime = 5 * time.Second
	soonTime  = time.Second
	// moveTime is the time from a wish to the change of owner.
	moveTime = time.Second
	// movesPerOwner bounds the moves that one owner carries out in a second.
	movesPerOwner = 32
)

// Result is what a policy did with a scene.
type Result struct {
	Scene  string
	Policy string
	// Series is the imbalance of each second from the start: the largest load
	// per usable slot over the mean.
	Series []float64
	// Mean and P99 are the imbalance after the warm-up, and Floor the load of
	// the hottest key alone, in shares of a server's mean: if it is above one,
	// no placement has less imbalance.
	Mean, P99, Floor float64
	// Over is the share of time above Aim, and Longest the longest stretch.
	Over    float64
	Longest time.Duration
	// Churn is the share of all load that moves each minute, Moves the moves.
	Churn float64
	Moves int
	// Unavailable is how long a key is without an owner each minute, averaged
	// over keys by load.
	Unavailable time.Duration
	// Shed is the share of the load that exceeds the slots of its server.
	Shed float64
	// Returns counts shards that moved back to an owner they had left within
	// the last two minutes: the sign of oscillation.
	Returns int
	// Splits and Merges count the changes of the table that move nothing, and
	// Writes all writes of chunks, one for each move.
	Splits, Merges, Writes int
	// Batches is what Writes would be if each owner wrote the moves of a
	// second that lie in one chunk at once.
	Batches int
	Shards  int // at the end
	// ChunkBytes is the mean size of a stored chunk at the end, and StepBytes
	// that of a step, which is what daemons pass on.
	ChunkBytes, StepBytes float64
	// ReportRate is the bytes a second that reports cost the planner's daemon,
	// and ReportPeak the most in any minute.
	ReportRate, ReportPeak float64
}
