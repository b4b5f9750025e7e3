package mtplan

import (
	"slices"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtshard"
)

// Policy plans the shards of one service, round after round.
type Policy interface {
	// Name identifies the policy in reports.
	Name() string
	// Plan decides one round. It may remember the moves that it requested, but
	// must neither retain nor change the state.
	Plan(now mtclock.Instant, state *State) Plan
}

// Plan is the decision of a policy for one round.
type Plan struct {
	// Ops are splits and merges by chunk, in the order in which to apply them.
	Ops map[int][]mtshard.Op
	// Moves are requested from the owners, the most urgent first.
	Moves []Move
}

// Move requests that one holder hand over a shard to another.
type Move struct {
	Low  mtid.Point
	From mtid.Holder
	To   mtid.Holder
}

// Server is a policy's view of one server of the service.
type Server struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  float64
	// WarmShare is the share of its slots that the server can use so far, 0 to
	// 1. It is below 1 for a cold server.
	WarmShare float64
	Leaving   bool
	// LoadKnown is whether the current load of its shards is known.
	LoadKnown bool
	// LastReport is when its last new measurement arrived, or zero if none has.
	LastReport mtclock.Instant
}

// Shard is a policy's view of one shard.
type Shard struct {
	Low, High mtid.Point
	Chunk     int
	Owner     int // index into State.Servers, or -1 if the owner is not among them
	Load      float64
	// Pinned is whether several owners of the shard were lost in a row. Such a
	// shard stays where it is, since moving it could crash one server after
	// another.
	Pinned bool
}

// Single reports whether the shard holds only one point.
func (s *Shard) Single() bool { return s.Low == s.High }

// State is the input of a policy.
type State struct {
	Servers []Server // sorted by holder
	Shards  []Shard  // sorted by low, covering the ring
	HotKeys []mtload.PointLoad
	// Total is the load of all shards as last reported. It may be less than the
	// sum of the estimates, which decay slowly.
	Total   float64
	Weights mtbundle.Weights
	Target  int // intended number of shards in steady state
}

// OwnerLosses records which shards lost their owner other than by a planned
// move. The zero value is ready to use.
type OwnerLosses struct {
	events []lossEvent
}

type lossEvent struct {
	low mtid.Point
	at  mtclock.Instant
}

// Bounds for suspecting that a shard crashes its owners.
const (
	// PoisonLosses is how many owners a shard must lose within PoisonWindow to
	// be pinned.
	PoisonLosses = 2
	PoisonWindow = 10 * time.Minute
	// maxPinnedShare is the largest share of shards that may be pinned. A
	// larger share indicates an outage of many servers rather than a poison
	// key.
	maxPinnedShare = 0.01
	maxEvents      = 1 << 16
)

// Record adds a lost owner of the shard that begins at low. Call it for each
// shard that a failover reassigned.
func (l *OwnerLosses) Record(now mtclock.Instant, low mtid.Point) {
	l.events = append(l.events, lossEvent{low: low, at: now})
	if len(l.events) > maxEvents {
		l.events = slices.Delete(l.events, 0, len(l.events)/2)
	}
}

// Pin sets Pinned on the shards that lost at least PoisonLosses owners within
// PoisonWindow. It pins none if more than maxPinnedShare of them qualify.
func (l *OwnerLosses) Pin(now mtclock.Instant, shards []Shard) {
	l.events = slices.DeleteFunc(l.events, func(m lossEvent) bool { return now.Sub(m.at) > PoisonWindow })
	counts := make(map[mtid.Point]int)
	for _, m := range l.events {
		counts[m.low]++
	}
	suspects := 0
	for _, n := range counts {
		if n >= PoisonLosses {
			suspects++
		}
	}
	if suspects == 0 || float64(suspects) > max(1, maxPinnedShare*float64(len(shards))) {
		return
	}
	for i := range shards {
		shards[i].Pinned = counts[shards[i].Low] >= PoisonLosses
	}
}

// WarmUpTime is how long a server that has just joined counts as cold.
const WarmUpTime = 45 * time.Second

// initialWarmShare is the share of its slots that counts as usable when a
// server joins.
const initialWarmShare = 0.25

// WarmShareAfter returns the share of its slots that a server can use at the
// given time after it joined.
func WarmShareAfter(age time.Duration) float64 {
	if age >= WarmUpTime {
		return 1
	}
	return initialWarmShare + (1-initialWarmShare)*max(0, float64(age))/float64(WarmUpTime)
}

// SortServers sorts servers by holder, the order that State requires.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return a.Holder.Compare(b.Holder) })
}

// CollectShards returns the shards of tables, with the index of their owner in
// servers and their load from estimates. tables must hold all chunks in order.
// CollectShards synchronizes the estimates with the tables.
func CollectShards(now mtclock.Instant, tables []*mtshard.Table, servers []Server, estimates *mtload.Estimates) []Shard {
	indexes := make(map[mtid.Holder]int, len(servers))
	for i := range servers {
		indexes[servers[i].Holder] = i
	}
	count := 0
	for _, t := range tables {
		count += len(t.Shards)
	}
	shards := make([]Shard, 0, count)
	lows := make([]mtid.Point, 0, count)
	for _, t := range tables {
		for _, s := range t.Shards {
			index, ok := indexes[s.Owner]
			if !ok {
				index = -1
			}
			if n := len(shards); n > 0 {
				shards[n-1].High = s.Low - 1
			}
			shards = append(shards, Shard{Low: s.Low, High: ^mtid.Point(0), Chunk: t.Chunk, Owner: index})
			lows = append(lows, s.Low)
		}
	}
	estimates.Sync(lows)
	for i, load := range estimates.Loads(now, make([]float64, 0, count)) {
		shards[i].Load = load
	}
	return shards
}

// Mean returns the load per usable slot over the servers that are not leaving
// and have reported at least once. A planner that has just started knows the
// load of only a few servers; relative to the slots of all servers, these few
// would appear overloaded.
func (s *State) Mean() float64 {
	slots := 0.0
	for i := range s.Servers {
		if server := &s.Servers[i]; !server.Leaving && server.LastReport != 0 {
			slots += server.Slots * server.WarmShare
		}
	}
	if slots == 0 {
		return 0
	}
	return s.Total / slots
}
