package main

import (
	"context"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
)

func init() { reports = append(reports, &recent{}) }

// recent compares the memories of request identifiers while owners are lost and
// shards move.
type recent struct {
	seed    uint64
	seconds int
}

// Name implements subcommands.Command.
func (*recent) Name() string { return "recent" }

// Synopsis implements subcommands.Command.
func (*recent) Synopsis() string { return "compare memories of request identifiers under faults" }

// Usage implements subcommands.Command.
func (*recent) Usage() string { return "recent [-seed n] [-seconds n]\n" }

// SetFlags implements subcommands.Command.
func (c *recent) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of orders, losses and clocks")
	f.IntVar(&c.seconds, "seconds", 300, "length of each run in virtual seconds")
}

// Execute implements subcommands.Command.
func (c *recent) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	length := time.Duration(c.seconds) * time.Second
	for _, l := range recentLoads {
		_, _ = fmt.Fprintf(w, "\n%s, seed %d, %v\n", l.name, c.seed, length)
		_, _ = fmt.Fprintln(w, "memory\torders\tran twice\ttold not run of one that ran\tnever ran, told unknown\trefused, full\tnot served for want of an owner\t")
		for _, m := range memories {
			t := runRecent(m.make, l, c.seed, length)
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", m.name, len(t.orders), t.twice(), t.lies, t.needless(), t.full, t.ownerless)
		}
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// recentLoad is how often things go wrong.
type recentLoad struct {
	name   string
	lost   float64       // chance that an answer is lost on its way to the caller
	losses time.Duration // between two losses of an owner; zero is none
	moves  time.Duration // between two planned moves; zero is none
	skew   time.Duration // largest difference of two clocks
}

var recentLoads = []recentLoad{
	{"2 % of answers lost", 0.02, 0, 0, 0},
	{"2 % of answers lost, a move each second", 0.02, 0, time.Second, 0},
	{"2 % of answers lost, an owner lost each 10 s, clocks up to 250 ms apart", 0.02, 10 * time.Second, 0, mtrecent.DefaultSkew},
	{"all of it", 0.02, 10 * time.Second, time.Second, mtrecent.DefaultSkew},
}

// memories are what is compared.
var memories = []struct {
	name string
	make func() mtrecent.Deduplicator
}{
	{"none", func() mtrecent.Deduplicator { return mtrecent.NewCache(1) }},
	{"cache of 10,000", func() mtrecent.Deduplicator { return mtrecent.NewCache(10_000) }},
	{"table of 1,000", func() mtrecent.Deduplicator { return mtrecent.New(mtrecent.Limits{Entries: 1000}) }},
	{"table", func() mtrecent.Deduplicator { return mtrecent.New(mtrecent.Limits{}) }},
}

// The fleet of the trials.
const (
	recentOwners  = 5
	recentShards  = 20
	recentRate    = 300.0 // orders a second
	recentService = 20 * time.Millisecond
	recentTries   = 4
	takeoverTime  = 2 * time.Second
)

// order is what a caller wants to happen once.
type order struct {
	name   mtrecent.DedupKey
	shard  int
	runs   int
	tries  int
	told   bool // of an unknown outcome
	minted bool
}

// recentTrial is a run of one memory in virtual time.
type recentTrial struct {
	now       mtclock.Instant
	length    time.Duration
	events    eventHeap
	random    *rand.Rand
	load      recentLoad
	fresh     func() mtrecent.Deduplicator
	memories  [recentOwners]mtrecent.Deduplicator
	clocks    [recentOwners]time.Duration
	owner     [recentShards]int // -1 while there is none
	orders    []*order
	lies      int
	full      int
	ownerless int
}

// recentEpoch is the true wall time at which a trial begins.
var recentEpoch = time.UnixMilli(1_800_000_000_000)

func (t *recentTrial) wall(owner int) time.Time {
	return recentEpoch.Add(t.now.Sub(0) + t.clocks[owner])
}

func shardRange(shard int) (mtid.Point, mtid.Point) {
	const width = math.MaxUint64/recentShards + 1
	low := mtid.Point(uint64(shard) * width)
	if shard == recentShards-1 {
		return low, math.MaxUint64
	}
	return low, low + width - 1
}

// runRecent lets callers order for the length of time.
func runRecent(fresh func() mtrecent.Deduplicator, l recentLoad, seed uint64, length time.Duration) *recentTrial {
	t := &recentTrial{length: length, random: rand.New(rand.NewPCG(seed, 6)), load: l, fresh: fresh}
	for i := range recentOwners {
		t.memories[i] = fresh()
		t.clocks[i] = time.Duration(t.random.Float64() * float64(l.skew))
	}
	for s := range recentShards {
		t.owner[s] = s % recentOwners
		low, high := shardRange(s)
		_ = t.memories[t.owner[s]].Grant(low, high, time.Time{})
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
		e.do()
	}
	return t
}

// every does something again and again until the trial is over.
func (t *recentTrial) every(gap func() time.Duration, do func()) {
	var again func()
	again = func() {
		if t.now.Sub(0) >= t.length {
			return
		}
		do()
		t.events.at(t.now.Add(gap()), again)
	}
	t.events.at(t.now.Add(gap()), again)
}

// newOrder sends an order; the ingress mints the identifier of every second.
func (t *recentTrial) newOrder() {
	shard := t.random.IntN(recentShards)
	low, _ := shardRange(shard)
	made := recentEpoch.Add(t.now.Sub(0) + time.Duration(t.random.Float64()*float64(t.load.skew)))
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(made.UnixMilli())<<16|0x7000)
	binary.BigEndian.PutUint64(id[8:], uint64(len(t.orders)))
	o := &order{name: mtrecent.DedupKey{Point: low + 1, ID: id}, shard: shard, minted: len(t.orders)%2 == 0}
	t.orders = append(t.orders, o)
	t.try(o)
}

// try sends an order to its owner.
func (t *recentTrial) try(o *order) {
	o.tries++
	owner := t.owner[o.shard]
	if owner < 0 {
		t.ownerless++
		t.later(o)
		return
	}
	memory := t.memories[owner]
	request := mtrecent.Request{DedupKey: o.name, Fingerprint: 1, Minted: o.minted && o.tries == 1}
	v := memory.Begin(t.now, t.wall(owner), request, 1)
	var refused *mtreply.RefusedError
	switch {
	case v.Kind == mtrecent.Run:
		o.runs++
		t.events.at(t.now.Add(recentService), func() { t.end(o, owner, memory) })
	case errors.As(v.Err, &refused):
		if refused.Cause == mtreply.CauseRecentFull {
			t.full++
		}
		if o.runs > 0 {
			t.lies++
		}
		t.later(o)
	case v.Err != nil:
		o.told = true
	}
}

// end ends a run. Its answer reaches the caller unless it or its owner is lost.
func (t *recentTrial) end(o *order, owner int, memory mtrecent.Deduplicator) {
	if t.memories[owner] != memory {
		t.later(o)
		return
	}
	memory.End(t.now, o.name, mtrecent.Result{Outcome: mtreply.Answered, Answer: &mtrecent.Answer{Status: 201}})
	if t.random.Float64() < t.load.lost {
		t.later(o)
	}
}

// later lets the caller send the order again, after seconds, or give up.
func (t *recentTrial) later(o *order) {
	if o.tries < recentTries {
		wait := time.Duration((0.2 + 5*t.random.Float64()) * float64(time.Second))
		t.events.at(t.now.Add(wait), func() { t.try(o) })
	}
}

// loseOwner loses one owner; others take its shards over.
func (t *recentTrial) loseOwner() {
	lost := t.random.IntN(recentOwners)
	t.memories[lost] = t.fresh()
	for s := range recentShards {
		if t.owner[s] != lost {
			continue
		}
		t.owner[s] = -1
		t.events.at(t.now.Add(takeoverTime), func() {
			next := (lost + 1 + t.random.IntN(recentOwners-1)) % recentOwners
			low, high := shardRange(s)
			_ = t.memories[next].Grant(low, high, t.wall(next))
			t.owner[s] = next
		})
	}
}

// move hands a shard over as planned, after what is in flight has ended.
func (t *recentTrial) move() {
	s := t.random.IntN(recentShards)
	from := t.owner[s]
	if from < 0 {
		return
	}
	memory := t.memories[from]
	t.owner[s] = -1
	t.events.at(t.now.Add(recentService), func() {
		if t.memories[from] != memory {
			t.events.at(t.now.Add(takeoverTime), func() { t.adopt(s, (from+1)%recentOwners) })
			return
		}
		low, high := shardRange(s)
		to := (from + 1 + t.random.IntN(recentOwners-1)) % recentOwners
		handover := memory.Export(t.now, low, high)
		if err := t.memories[to].Import(t.now, handover); err != nil {
			t.owner[s] = from
			return
		}
		memory.Revoke(low, high)
		t.owner[s] = to
	})
}

// adopt gives a shard whose owner was lost in a move to another one.
func (t *recentTrial) adopt(shard, to int) {
	low, high := shardRange(shard)
	_ = t.memories[to].Grant(low, high, t.wall(to))
	t.owner[shard] = to
}

// twice returns how many orders ran more than once.
func (t *recentTrial) twice() int {
	n := 0
	for _, o := range t.orders {
		if o.runs > 1 {
			n++
		}
	}
	return n
}

// needless returns how many orders were told unknown and never ran.
func (t *recentTrial) needless() int {
	n := 0
	for _, o := range t.orders {
		if o.told && o.runs == 0 {
			n++
		}
	}
	return n
}
