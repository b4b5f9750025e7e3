package mtplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

const slots = 10

var start = mtclock.Instant(time.Hour)

// state returns a state of servers with shards of the given loads, laid one
// after another on the ring.
func state(loads ...[]float64) *mtplan.State {
	s := &mtplan.State{}
	count := 0
	for _, l := range loads {
		count += len(l)
	}
	width := ^mtid.Point(0)/mtid.Point(count) + 1
	low := mtid.Point(0)
	for i, l := range loads {
		s.Servers = append(s.Servers, mtplan.Server{
			Holder:  holder(mtid.Daemon(fmt.Sprintf("vm-%03d", i))),
			Zone:    mtid.Zone(fmt.Sprintf("zone-%d", i%3)),
			Slots:   slots,
			Warm:    1,
			Heard:   true,
			HeardAt: start,
		})
		for _, load := range l {
			s.Shards = append(s.Shards, mtplan.Shard{Low: low, High: low + width - 1, Owner: i, Load: load})
			s.Total += load
			low += width
		}
	}
	s.Shards[len(s.Shards)-1].High = ^mtid.Point(0)
	s.Target = count
	return s
}

// many returns n shards of a load.
func many(n int, load float64) []float64 { return slices.Repeat([]float64{load}, n) }

// after returns the load of each server once a plan's moves are done.
func after(t require, s *mtplan.State, plan mtplan.Plan) []float64 {
	t.Helper()
	loads := make([]float64, len(s.Servers))
	to := make(map[mtid.Point]mtid.Holder)
	for _, m := range plan.Moves {
		to[m.Low] = m.To
	}
	for _, shard := range s.Shards {
		if shard.Owner < 0 {
			continue
		}
		owner := s.Servers[shard.Owner].Holder
		if h, ok := to[shard.Low]; ok {
			owner = h
		}
		for i := range s.Servers {
			if s.Servers[i].Holder == owner {
				loads[i] += shard.Load
			}
		}
	}
	return loads
}

// require is what testing.T and rapid.T have in common.
type require interface {
	Helper()
	Fatalf(format string, args ...any)
}

func moves(plan mtplan.Plan, s *mtplan.State) (load float64) {
	for _, m := range plan.Moves {
		for _, shard := range s.Shards {
			if shard.Low == m.Low {
				load += shard.Load
			}
		}
	}
	return load
}

func TestPlannerRelieves(t *testing.T) {
	tests := []struct {
		name  string
		loads [][]float64
		worst float64 // load per slot over the mean, after the moves
		moved float64 // at most, in shares of all load
	}{
		{"even", [][]float64{many(20, 0.2), many(20, 0.2), many(20, 0.2)}, 1.001, 0},
		{"within the band", [][]float64{many(21, 0.2), many(20, 0.2), many(19, 0.2)}, 1.06, 0},
		{"one overloaded", [][]float64{many(30, 0.2), many(15, 0.2), many(15, 0.2)}, 1.06, 0.17},
		{"one idle, until it reports again", [][]float64{many(30, 0.2), many(30, 0.2), nil}, 1.41, 0.21},
		{"a heavy shard among light ones", [][]float64{append(many(10, 0.2), 3), many(10, 0.2), many(10, 0.2)}, 1.15, 0.24},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := state(tt.loads...)
			plan := mtplan.NewPlanner().Plan(start, s)
			worst := slices.Max(after(t, s, plan)) / slots / s.Mean()
			assert.Assert(t, worst <= tt.worst, "got %.3f, want at most %.3f", worst, tt.worst)
			got := moves(plan, s) / s.Total
			assert.Assert(t, got <= tt.moved, "got %.3f of the load moved, want at most %.3f", got, tt.moved)
		})
	}
}

// A hot key shares its shard and its server with others. It must be cut out at
// both ends, in the chunk that it lies in, and nothing else be cut.
func TestPlannerIsolatesAHotKey(t *testing.T) {
	s := state(append(many(10, 0.2), 4), many(10, 0.2), many(10, 0.2))
	shard := s.Shards[10]
	hot := shard.Low + 1000
	s.Points = []mtload.PointLoad{{Point: hot, Load: 3.8}}
	plan := mtplan.NewPlanner().Plan(start, s)
	assert.DeepEqual(t, plan.Ops, map[int][]mtshard.Op{0: {mtshard.Split{Point: hot}, mtshard.Split{Point: hot + 1}}})
	for _, m := range plan.Moves {
		assert.Assert(t, m.Low != shard.Low, "the shard that is being split must not move in the same round")
	}
}

// Two hot keys met on one server, and no other has room for a whole one. One of
// them must go to a server that can give small shards away.
func TestPlannerPartsHotKeys(t *testing.T) {
	s := state([]float64{3, 3}, many(50, 0.09), many(50, 0.09), many(50, 0.09))
	p := mtplan.NewPlanner()
	plan := p.Plan(start, s)
	assert.Equal(t, len(plan.Moves), 0, "a first glimpse is no reason for that many moves")
	plan = p.Plan(start.Add(15*time.Second), s)
	worst := slices.Max(after(t, s, plan)) / slots / s.Mean()
	assert.Assert(t, worst < 1.1, "got %.3f", worst)
	parted := slices.ContainsFunc(plan.Moves, func(m mtplan.Move) bool { return m.Low == s.Shards[0].Low }) !=
		slices.ContainsFunc(plan.Moves, func(m mtplan.Move) bool { return m.Low == s.Shards[1].Low })
	assert.Assert(t, parted, "one of the two moves, not both")
}

// A business that weighs imbalance most is relieved from a smaller excess than
// one that would rather not have its keys moved.
func TestWeightsSetTheBand(t *testing.T) {
	loads := [][]float64{many(109, 0.04), many(97, 0.04), many(97, 0.04), many(97, 0.04)}
	tests := []struct {
		name    string
		weights mtbundle.Weights
		want    bool
	}{
		{"imbalance", mtbundle.Weights{Imbalance: 1}, true},
		{"churn", mtbundle.Weights{Churn: 1}, false},
		{"unavailability", mtbundle.Weights{Unavailability: 1}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := state(loads...)
			s.Weights = tt.weights
			p := mtplan.NewPlanner()
			moved := 0
			for i := range 12 {
				moved += len(p.Plan(start.Add(time.Duration(i)*5*time.Second), s).Moves)
			}
			assert.Equal(t, moved > 0, tt.want)
		})
	}
}

// A planner has just taken over and has heard one server of four. It must not
// take that one for overloaded because the others' load is unknown, nor empty a
// leaving server onto one of the unknown.
func TestUnknownLoadIsNotNoLoad(t *testing.T) {
	s := state(many(20, 0.2), many(20, 0), many(20, 0), many(20, 0))
	for i := range s.Servers[1:] {
		s.Servers[i+1].Heard, s.Servers[i+1].HeardAt = false, 0
	}
	p := mtplan.NewPlanner()
	for i := range 4 {
		plan := p.Plan(start.Add(time.Duration(i)*5*time.Second), s)
		assert.Equal(t, len(plan.Moves)+len(plan.Ops), 0)
	}
	s.Servers[0].Leaving = true
	got := after(t, s, mtplan.NewPlanner().Plan(start, s))
	assert.Assert(t, slices.Max(got) < 2, "got %v, want the load spread over three", got)
}

// The owner is slow to carry out a move, and the reports still show the old
// load. Asking for more in each round would empty the server and fill another.
func TestPlannerCountsMovesUnderWay(t *testing.T) {
	s := state(many(30, 0.2), many(15, 0.2), many(15, 0.2))
	p := mtplan.NewPlanner()
	first := p.Plan(start, s)
	assert.Assert(t, len(first.Moves) > 0)
	second := p.Plan(start.Add(5*time.Second), s)
	assert.Equal(t, len(second.Moves), 0)
	lapsed := p.Plan(start.Add(50*time.Second), s)
	third := p.Plan(start.Add(90*time.Second), s)
	assert.Assert(t, len(lapsed.Moves)+len(third.Moves) > 0, "a wish that nobody carried out lapses")
}

// A shard has just moved, and at once its old server looks emptier than its new
// one. It must rest, or it goes back and forth.
func TestMovedShardsRest(t *testing.T) {
	s := state([]float64{2, 2, 2, 2}, []float64{1, 1}, []float64{1, 1})
	p := mtplan.NewPlanner()
	first := p.Plan(start, s)
	assert.Assert(t, len(first.Moves) > 0)
	moved := first.Moves[0]
	for i := range s.Shards {
		if s.Shards[i].Low == moved.Low {
			s.Shards[i].Owner = slices.IndexFunc(s.Servers, func(v mtplan.Server) bool { return v.Holder == moved.To })
			s.Shards[i].Load = 20
			s.Total += 18
		}
	}
	for i := range 5 {
		plan := p.Plan(start.Add(time.Duration(i+1)*5*time.Second), s)
		for _, m := range plan.Moves {
			assert.Assert(t, m.Low != moved.Low, "moved again in round %d", i)
		}
	}
}

// A server leaves. All its shards must go, pinned and resting ones too, and
// none to another that leaves.
func TestLeavingServersAreEmptied(t *testing.T) {
	s := state(many(20, 0.2), many(20, 0.2), many(20, 0.2), many(20, 0.2))
	s.Servers[0].Leaving, s.Servers[1].Leaving = true, true
	s.Servers[2].Heard = false
	s.Shards[3].Pinned = true
	plan := mtplan.NewPlanner().Plan(start, s)
	got := after(t, s, plan)
	assert.Equal(t, got[0]+got[1], 0.0)
	assert.Equal(t, len(plan.Moves), 40)
}

// A request crashes each server that runs it. Its shard loses two owners one
// after another. The planner must leave it where it is, whatever its load, since
// each move offers the request another server to crash.
func TestShardThatLosesOwnersStays(t *testing.T) {
	var losses mtplan.Losses
	s := state(many(20, 0.2), append(many(10, 0.2), 5), many(20, 0.2))
	poisoned := s.Shards[30].Low
	for _, shard := range s.Shards[:20] {
		losses.Lost(start, shard.Low)
	}
	losses.Lost(start, poisoned)
	losses.Pin(start, s.Shards)
	assert.Assert(t, !s.Shards[30].Pinned, "one loss is no suspicion")
	losses.Lost(start.Add(time.Minute), poisoned)
	losses.Pin(start.Add(time.Minute), s.Shards)
	assert.Assert(t, s.Shards[30].Pinned)
	assert.Assert(t, !s.Shards[3].Pinned)
	s.Points = []mtload.PointLoad{{Point: poisoned + 7, Load: 4}}
	plan := mtplan.NewPlanner().Plan(start.Add(time.Minute), s)
	assert.Equal(t, len(plan.Ops), 0)
	for _, m := range plan.Moves {
		assert.Assert(t, m.Low != poisoned)
	}
	losses.Pin(start.Add(time.Minute+mtplan.PoisonWindow+time.Second), s.Shards)
	assert.Assert(t, !s.Shards[3].Pinned)
}

// Two zones are lost within minutes. Their shards all lost two owners, but no
// key crashed them; planning must go on.
func TestOutagesPinNothing(t *testing.T) {
	var losses mtplan.Losses
	s := state(many(20, 0.2), many(20, 0.2))
	for range 2 {
		for _, shard := range s.Shards[:20] {
			losses.Lost(start, shard.Low)
		}
	}
	losses.Pin(start, s.Shards)
	for _, shard := range s.Shards {
		assert.Assert(t, !shard.Pinned)
	}
}

// A hot key has cooled, and its three shards are cold. They must become one
// again, or tables grow with each day's peaks; but not within a minute of the
// split, and not while the key is hot.
func TestColdShardsMerge(t *testing.T) {
	s := state(many(10, 0.2), many(10, 0.2))
	s.Target = 19
	s.Shards[4].Load, s.Shards[5].Load = 0.01, 0.01
	plan := mtplan.NewPlanner().Plan(start, s)
	assert.DeepEqual(t, plan.Ops, map[int][]mtshard.Op{0: {mtshard.Merge{Low: s.Shards[5].Low}}})

	s.Points = []mtload.PointLoad{{Point: s.Shards[4].Low + 3, Load: 1}}
	plan = mtplan.NewPlanner().Plan(start, s)
	assert.Equal(t, len(plan.Ops), 0)
}

// Whatever the state, a plan must fit it: every op applies to the chunk as it
// is, every move starts at the present owner and ends at a server that stays,
// and no shard is both moved and split or merged.
func TestPlansFitTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 2
		n := rapid.IntRange(1, 6).Draw(t, "servers")
		servers := make([]mtplan.Server, n)
		var among []mtid.Holder
		for i := range servers {
			servers[i] = mtplan.Server{
				Holder:  holder(mtid.Daemon(rune('a' + i))),
				Zone:    mtid.Zone(rune('x' + i%2)),
				Slots:   float64(rapid.IntRange(1, 20).Draw(t, "slots")),
				Warm:    rapid.Float64Range(0.1, 1).Draw(t, "warm"),
				Leaving: rapid.Bool().Draw(t, "leaving"),
				Heard:   rapid.IntRange(0, 3).Draw(t, "heard") > 0,
			}
			if servers[i].Heard || rapid.Bool().Draw(t, "ever heard") {
				servers[i].HeardAt = start
			}
			among = append(among, servers[i].Holder)
		}
		among = append(among, holder("gone"))
		var tables []*mtshard.Table
		for chunk := range chunks {
			table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.Stamp{}, mtshard.Create{Shards: rapid.IntRange(1, 12).Draw(t, "shards"), Holders: among})
			assert.NilError(t, err)
			tables = append(tables, table)
		}
		p := mtplan.NewPlanner()
		book := mtload.NewBook()
		now := start
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * time.Second)
			s := &mtplan.State{Servers: servers, Shards: mtplan.Survey(now, tables, servers, book), Target: rapid.IntRange(1, 30).Draw(t, "target")}
			for i := range s.Shards {
				s.Shards[i].Load = rapid.SampledFrom([]float64{0, 0.01, 0.1, 1, 5}).Draw(t, "load")
				s.Shards[i].Pinned = rapid.IntRange(0, 9).Draw(t, "pinned") == 0
				s.Total += s.Shards[i].Load
				if rapid.IntRange(0, 4).Draw(t, "hot") == 0 {
					s.Points = append(s.Points, mtload.PointLoad{Point: s.Shards[i].Low + (s.Shards[i].High-s.Shards[i].Low)/3, Load: s.Shards[i].Load})
				}
			}
			tables = carryOut(t, tables, s, p.Plan(now, s))
		}
	})
}

// carryOut applies a plan and checks that it fits.
func carryOut(t *rapid.T, tables []*mtshard.Table, s *mtplan.State, plan mtplan.Plan) []*mtshard.Table {
	assert.Assert(t, len(plan.Moves) <= mtplan.MaxMoves)
	next := slices.Clone(tables)
	for chunk, ops := range plan.Ops {
		table, err := next[chunk].Apply(mtroster.Stamp{}, ops...)
		assert.NilError(t, err)
		next[chunk] = table
	}
	for _, m := range plan.Moves {
		chunk := mtshard.ChunkOf(m.Low, len(tables))
		before, _ := tables[chunk].Lookup(m.Low)
		assert.Equal(t, before.Low, m.Low)
		assert.Equal(t, before.Owner, m.From)
		assert.Assert(t, m.From != m.To)
		highBefore, _ := tables[chunk].High(m.Low)
		highAfter, ok := next[chunk].High(m.Low)
		assert.Assert(t, ok && highBefore == highAfter, "a shard is moved and changed in one round")
		to := slices.IndexFunc(s.Servers, func(v mtplan.Server) bool { return v.Holder == m.To })
		assert.Assert(t, to >= 0 && !s.Servers[to].Leaving)
	}
	for _, m := range plan.Moves {
		if rapid.IntRange(0, 2).Draw(t, "carried out") == 0 {
			continue
		}
		chunk := mtshard.ChunkOf(m.Low, len(tables))
		table, err := next[chunk].Apply(mtroster.Stamp{}, mtshard.Move{Low: m.Low, To: m.To})
		assert.NilError(t, err)
		next[chunk] = table
	}
	return next
}

func TestBaselines(t *testing.T) {
	s := state(many(20, 0.2), many(20, 0.2), many(20, 0.2))
	s.Servers[0].Leaving = true
	for _, policy := range []mtplan.Policy{mtplan.NewRendezvous(), mtplan.NewBounded()} {
		t.Run(policy.Name(), func(t *testing.T) {
			plan := policy.Plan(start, s)
			got := after(t, s, plan)
			assert.Equal(t, got[0], 0.0)
			again := policy.Plan(start, s)
			assert.DeepEqual(t, again, plan)
		})
	}
	bounded := after(t, s, mtplan.NewBounded().Plan(start, s))
	worst := slices.Max(bounded) / slots / s.Mean()
	assert.Assert(t, worst <= mtplan.BoundedFactor, "got %v", worst)
}

// BenchmarkRound is one round for 480 servers and 25,000 shards, from the
// tables to the plan, with a tenth of the servers out of the band.
func BenchmarkRound(b *testing.B) {
	const servers, shards, chunks = 480, 25000, 64
	var members []mtplan.Member
	var list []mtplan.Server
	for i := range servers {
		h := holder(mtid.Daemon(fmt.Sprintf("vm-%03d", i)))
		members = append(members, mtplan.Member{Holder: h, Slots: slots})
		list = append(list, mtplan.Server{Holder: h, Zone: mtid.Zone(fmt.Sprintf("zone-%d", i%4)), Slots: slots, Warm: 1, Heard: true, HeardAt: start})
	}
	var tables []*mtshard.Table
	for chunk, ops := range mtplan.Lay(shards, chunks, members) {
		table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.Stamp{}, ops...)
		assert.NilError(b, err)
		tables = append(tables, table)
	}
	book := mtload.NewBook()
	mtplan.Survey(start, tables, list, book)
	for i, s := range list {
		load := 4.0
		if i%10 == 0 {
			load = 6
		}
		var owned []mtshard.Shard
		for _, table := range tables {
			owned = append(owned, table.OwnedBy(s.Holder)...)
		}
		book.Take(start, &mtload.Report{From: s.Holder, Sequence: 1, Load: load}, owned)
	}
	b.ResetTimer()
	for range b.N {
		s := &mtplan.State{Servers: list, Shards: mtplan.Survey(start, tables, list, book), Target: shards, Total: book.Total()}
		plan := mtplan.NewPlanner().Plan(start, s)
		assert.Assert(b, len(plan.Moves) > 0)
	}
}
