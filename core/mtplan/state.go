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

// Policy decides on the shards of one service, round after round.
type Policy interface {
	// Name is how reports call the policy.
	Name() string
	// Plan decides one round. It may keep what it asked for, and must not keep
	// or change the state.
	Plan(now mtclock.Instant, state *State) Plan
}

// Plan is what a policy decided in one round.
type Plan struct {
	// Ops are splits and merges, by chunk, in the order to apply them.
	Ops map[int][]mtshard.Op
	// Moves are wishes to the owners, the most urgent first.
	Moves []Move
}

// Move is a wish that one holder hand a shard to another.
type Move struct {
	Low  mtid.Point
	From mtid.Holder
	To   mtid.Holder
}

// Server is one server of the service, as policies see it.
type Server struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  float64
	// Warm is the share of its slots that a cold server can use yet, 0 to 1.
	Warm    float64
	Leaving bool
	// Heard says whether the load of its shards is known.
	Heard bool
	// HeardAt is when its last new measurement came in, or zero for never.
	HeardAt mtclock.Instant
}

// Shard is one shard, as policies see it.
type Shard struct {
	Low, High mtid.Point
	Chunk     int
	Owner     int // place in State.Servers, or -1 for one that is not there
	Load      float64
	// Pinned says that the shard's owners were lost one after another: it
	// stays where it is, lest it take the fleet down server by server.
	Pinned bool
}

// Single reports whether the shard holds one point only.
func (s *Shard) Single() bool { return s.Low == s.High }

// State is what a policy decides from.
type State struct {
	Servers []Server // by holder
	Shards  []Shard  // by low, covering the ring
	Points  []mtload.PointLoad
	// Total is the load of all shards as last reported. It may be less than
	// the sum of their estimates, which fall slowly.
	Total   float64
	Weights mtbundle.Weights
	Target  int // shards that the service is meant to have at rest
}

// Losses remembers which shards lost their owners without a planned move. The
// zero value is ready.
type Losses struct {
	marks []mark
}

type mark struct {
	low mtid.Point
	at  mtclock.Instant
}

// Bounds of the suspicion that a shard crashes its owners.
const (
	// PoisonLosses is how many owners a shard must lose within PoisonWindow to
	// be pinned.
	PoisonLosses = 2
	PoisonWindow = 10 * time.Minute
	// poisonShare is the largest share of shards that may be pinned. More than
	// that is an outage of many servers, not a poisoned key.
	poisonShare = 0.01
	maxMarks    = 1 << 16
)

// Lost notes that the shard that begins at low lost its owner. It is called for
// each shard that a failover gave away.
func (l *Losses) Lost(now mtclock.Instant, low mtid.Point) {
	l.marks = append(l.marks, mark{low: low, at: now})
	if len(l.marks) > maxMarks {
		l.marks = slices.Delete(l.marks, 0, len(l.marks)/2)
	}
}

// Pin marks the shards whose owners were lost one after another.
func (l *Losses) Pin(now mtclock.Instant, shards []Shard) {
	l.marks = slices.DeleteFunc(l.marks, func(m mark) bool { return now.Sub(m.at) > PoisonWindow })
	counts := make(map[mtid.Point]int)
	for _, m := range l.marks {
		counts[m.low]++
	}
	suspects := 0
	for _, n := range counts {
		if n >= PoisonLosses {
			suspects++
		}
	}
	if suspects == 0 || float64(suspects) > max(1, poisonShare*float64(len(shards))) {
		return
	}
	for i := range shards {
		shards[i].Pinned = counts[shards[i].Low] >= PoisonLosses
	}
}

// WarmTime is how long a server that has just joined is taken for cold.
const WarmTime = 45 * time.Second

// coldShare is what a server is given at once when it joins.
const coldShare = 0.25

// Warmth returns the share of its slots that a server can use, that long after
// it joined.
func Warmth(age time.Duration) float64 {
	if age >= WarmTime {
		return 1
	}
	return coldShare + (1-coldShare)*max(0, float64(age))/float64(WarmTime)
}

// SortServers puts servers in the order that a State has them in.
func SortServers(servers []Server) {
	slices.SortFunc(servers, func(a, b Server) int { return a.Holder.Compare(b.Holder) })
}

// Survey lays out the shards of tables, which must be all chunks in order, with
// their owners' places among servers and the loads from book. The book is
// brought in line with the tables.
func Survey(now mtclock.Instant, tables []*mtshard.Table, servers []Server, book *mtload.Book) []Shard {
	places := make(map[mtid.Holder]int, len(servers))
	for i := range servers {
		places[servers[i].Holder] = i
	}
	count := 0
	for _, t := range tables {
		count += len(t.Shards)
	}
	shards := make([]Shard, 0, count)
	lows := make([]mtid.Point, 0, count)
	for _, t := range tables {
		for _, s := range t.Shards {
			place, ok := places[s.Owner]
			if !ok {
				place = -1
			}
			if n := len(shards); n > 0 {
				shards[n-1].High = s.Low - 1
			}
			shards = append(shards, Shard{Low: s.Low, High: ^mtid.Point(0), Chunk: t.Chunk, Owner: place})
			lows = append(lows, s.Low)
		}
	}
	book.Sync(lows)
	for i, load := range book.Loads(now, make([]float64, 0, count)) {
		shards[i].Load = load
	}
	return shards
}

// Mean returns the load per usable slot over the servers that stay and have ever
// reported. A planner that has just begun knows the load of a few; set against
// the slots of all, they would seem overloaded.
func (s *State) Mean() float64 {
	slots := 0.0
	for i := range s.Servers {
		if server := &s.Servers[i]; !server.Leaving && server.HeardAt != 0 {
			slots += server.Slots * server.Warm
		}
	}
	if slots == 0 {
		return 0
	}
	return s.Total / slots
}
