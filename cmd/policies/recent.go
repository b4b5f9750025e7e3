package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
)

func init() {
	commands = append(commands, &simulation{
		name: "recent", synopsis: "compare deduplicators of request identifiers under faults",
		seedOf: "orders, losses and clocks", length: 5 * time.Minute, compare: compareDeduplicators,
	})
}

// compareDeduplicators compares deduplicators of request identifiers while owners are lost
// and shards move.
func compareDeduplicators(w *tabwriter.Writer, seed uint64, length time.Duration) {
	for _, l := range recentLoads {
		printHeading(w, l.name, seed, length, "memory\torders\tran twice\ttold not run of one that ran\tnever ran, told unknown\trefused, full\tnot served for want of an owner\t")
		for _, m := range deduplicators {
			t := runRecent(m.make, l, seed, length)
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", m.name, len(t.orders), t.ranTwice(), t.wronglyNotRun, t.unknownNeverRan(), t.full, t.ownerless)
		}
	}
}

// recentLoad sets the rates of the faults in a trial.
type recentLoad struct {
	name   string
	lost   float64       // probability that an answer is lost on its way to the caller
	losses time.Duration // interval between losses of an owner; zero for none
	moves  time.Duration // interval between planned moves; zero for none
	skew   time.Duration // maximum difference between two clocks
}

var recentLoads = []recentLoad{
	{"2 % of answers lost", 0.02, 0, 0, 0},
	{"2 % of answers lost, a move each second", 0.02, 0, time.Second, 0},
	{"2 % of answers lost, an owner lost each 10 s, clocks up to 250 ms apart", 0.02, 10 * time.Second, 0, mtrecent.DefaultSkew},
	{"all of it", 0.02, 10 * time.Second, time.Second, mtrecent.DefaultSkew},
}

// deduplicators lists the deduplicators compared.
var deduplicators = []struct {
	name string
	make func() mtrecent.Deduplicator
}{
	{"none", func() mtrecent.Deduplicator { return mtrecent.NewCache(1) }},
	{"cache of 10,000", func() mtrecent.Deduplicator { return mtrecent.NewCache(10_000) }},
	{"table of 1,000", func() mtrecent.Deduplicator { return mtrecent.New(mtrecent.Limits{Entries: 1000}) }},
	{"table", func() mtrecent.Deduplicator { return mtrecent.New(mtrecent.Limits{}) }},
}

// The simulated fleet and its callers.
const (
	recentOwners  = 5
	recentShards  = 20
	recentRate    = 300.0 // orders a second
	recentService = 20 * time.Millisecond
	recentTries   = 4
	takeoverTime  = 2 * time.Second
)

// order is a request that must run at most once, with all its tries.
type order struct {
	key             mtrecent.DedupKey
	shard           int
	runs            int
	tries           int
	reportedUnknown bool // the caller received the outcome "unknown"
	minted          bool
}

// recentTrial simulates one kind of deduplicator in virtual time.
type recentTrial struct {
	now             mtclock.Instant
	length          time.Duration
	events          eventHeap
	random          *rand.Rand
	load            recentLoad
	newDeduplicator func() mtrecent.Deduplicator
	deduplicators   [recentOwners]mtrecent.Deduplicator
	clockOffsets    [recentOwners]time.Duration
	owner           [recentShards]int // -1 while the shard has no owner
	orders          []*order
	wronglyNotRun   int
	full            int
	ownerless       int
}

// recentEpoch is the wall time, without clock skew, at which a trial begins.
var recentEpoch = time.UnixMilli(1_800_000_000_000)

func (t *recentTrial) wallTime(owner int) time.Time {
	return recentEpoch.Add(t.now.Sub(0) + t.clockOffsets[owner])
}

func shardRange(shard int) (mtid.Point, mtid.Point) {
	const width = math.MaxUint64/recentShards + 1
	low := mtid.Point(uint64(shard) * width)
	if shard == recentShards-1 {
		return low, math.MaxUint64
	}
	return low, low + width - 1
}

// runRecent simulates callers that send orders for the given length of time.
func runRecent(newDeduplicator func() mtrecent.Deduplicator, l recentLoad, seed uint64, length time.Duration) *recentTrial {
	t := &recentTrial{length: length, random: rand.New(rand.NewPCG(seed, 6)), load: l, newDeduplicator: newDeduplicator}
	for i := range recentOwners {
		t.deduplicators[i] = newDeduplicator()
		t.clockOffsets[i] = time.Duration(t.random.Float64() * float64(l.skew))
	}
	for s := range recentShards {
		t.owner[s] = s % recentOwners
		low, high := shardRange(s)
		_ = t.deduplicators[t.owner[s]].Grant(low, high, time.Time{})
	}
	t.every(func() time.Duration { return time.Duration(t.random.ExpFloat64() / recentRate * float64(time.Second)) }, t.newOrder)
	if l.losses > 0 {
		t.every(func() time.Duration { return l.losses }, t.loseOwner)
	}
	if l.moves > 0 {
		t.every(func() time.Duration { return l.moves }, t.move)
	}
	for t.events.Len() > 0 {
		e := t.events.next()
		t.now = e.at
		e.run()
	}
	return t
}

// every calls do repeatedly until the trial ends, waiting for gap before each
// call.
func (t *recentTrial) every(gap func() time.Duration, do func()) {
	var again func()
	again = func() {
		if t.now.Sub(0) >= t.length {
			return
		}
		do()
		t.events.schedule(t.now.Add(gap()), again)
	}
	t.events.schedule(t.now.Add(gap()), again)
}

// newOrder sends an order. The ingress mints the identifier of every second
// order, callers those of the others.
func (t *recentTrial) newOrder() {
	shard := t.random.IntN(recentShards)
	low, _ := shardRange(shard)
	created := recentEpoch.Add(t.now.Sub(0) + time.Duration(t.random.Float64()*float64(t.load.skew)))
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], uint64(len(t.orders)))
	o := &order{key: mtrecent.DedupKey{Point: low + 1, ID: id}, shard: shard, minted: len(t.orders)%2 == 0}
	t.orders = append(t.orders, o)
	t.try(o)
}

// try sends an order to the owner of its shard.
func (t *recentTrial) try(o *order) {
	o.tries++
	owner := t.owner[o.shard]
	if owner < 0 {
		t.ownerless++
		t.retryLater(o)
		return
	}
	deduplicator := t.deduplicators[owner]
	request := mtrecent.Request{DedupKey: o.key, Fingerprint: 1, Minted: o.minted && o.tries == 1}
	v := deduplicator.Begin(t.now, t.wallTime(owner), request, 1)
	var refused *mtreply.RefusedError
	switch {
	case v.Kind == mtrecent.Run:
		o.runs++
		t.events.schedule(t.now.Add(recentService), func() { t.end(o, owner, deduplicator) })
	case errors.As(v.Err, &refused):
		if refused.Cause == mtreply.CauseRecentFull {
			t.full++
		}
		if o.runs > 0 {
			t.wronglyNotRun++
		}
		t.retryLater(o)
	case v.Err != nil:
		o.reportedUnknown = true
	}
}

// end completes a run. The caller receives the answer unless the answer or the
// owner was lost.
func (t *recentTrial) end(o *order, owner int, deduplicator mtrecent.Deduplicator) {
	if t.deduplicators[owner] != deduplicator {
		t.retryLater(o)
		return
	}
	deduplicator.End(t.now, o.key, mtrecent.Result{Outcome: mtreply.Answered, Answer: &mtrecent.Answer{Status: 201}})
	if t.random.Float64() < t.load.lost {
		t.retryLater(o)
	}
}

// retryLater schedules the next try of an order after 0.2 to 5.2 s, unless the
// caller has used up its tries.
func (t *recentTrial) retryLater(o *order) {
	if o.tries < recentTries {
		wait := time.Duration((0.2 + 5*t.random.Float64()) * float64(time.Second))
		t.events.schedule(t.now.Add(wait), func() { t.try(o) })
	}
}

// loseOwner removes a random owner with its deduplicator. Other owners take over
// its shards after takeoverTime.
func (t *recentTrial) loseOwner() {
	lost := t.random.IntN(recentOwners)
	t.deduplicators[lost] = t.newDeduplicator()
	for s := range recentShards {
		if t.owner[s] != lost {
			continue
		}
		t.owner[s] = -1
		t.events.schedule(t.now.Add(takeoverTime), func() {
			next := (lost + 1 + t.random.IntN(recentOwners-1)) % recentOwners
			low, high := shardRange(s)
			_ = t.deduplicators[next].Grant(low, high, t.wallTime(next))
			t.owner[s] = next
		})
	}
}

// move hands over a random shard to another owner once the requests in flight
// have ended.
func (t *recentTrial) move() {
	s := t.random.IntN(recentShards)
	from := t.owner[s]
	if from < 0 {
		return
	}
	deduplicator := t.deduplicators[from]
	t.owner[s] = -1
	t.events.schedule(t.now.Add(recentService), func() {
		if t.deduplicators[from] != deduplicator {
			t.events.schedule(t.now.Add(takeoverTime), func() { t.takeOver(s, (from+1)%recentOwners) })
			return
		}
		low, high := shardRange(s)
		to := (from + 1 + t.random.IntN(recentOwners-1)) % recentOwners
		handover := deduplicator.Export(t.now, low, high)
		if err := t.deduplicators[to].Import(t.now, handover); err != nil {
			t.owner[s] = from
			return
		}
		deduplicator.Revoke(low, high)
		t.owner[s] = to
	})
}

// takeOver assigns a shard whose owner was lost during a move to another owner.
func (t *recentTrial) takeOver(shard, to int) {
	low, high := shardRange(shard)
	_ = t.deduplicators[to].Grant(low, high, t.wallTime(to))
	t.owner[shard] = to
}

// ranTwice returns how many orders ran more than once.
func (t *recentTrial) ranTwice() int {
	n := 0
	for _, o := range t.orders {
		if o.runs > 1 {
			n++
		}
	}
	return n
}

// unknownNeverRan returns how many orders were reported as unknown but never
// ran.
func (t *recentTrial) unknownNeverRan() int {
	n := 0
	for _, o := range t.orders {
		if o.reportedUnknown && o.runs == 0 {
			n++
		}
	}
	return n
}
