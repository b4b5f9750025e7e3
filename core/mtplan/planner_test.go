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

// newState returns a state of servers with shards of the given loads,
// contiguous on the ring.
func newState(loads ...[]float64) *mtplan.State {
	s := &mtplan.State{}
	count := 0
	for _, l := range loads {
		count += len(l)
	}
	width := ^mtid.Point(0)/mtid.Point(count) + 1
	low := mtid.Point(0)
	for i, l := range loads {
		s.Servers = append(s.Servers, mtplan.Server{
			Holder:     holder(mtid.Daemon(fmt.Sprintf("vm-%03d", i))),
			Zone:       mtid.Zone(fmt.Sprintf("zone-%d", i%3)),
			Slots:      slots,
			WarmShare:  1,
			LoadKnown:  true,
			LastReport: start,
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

// repeat returns n shards of the same load.
func repeat(n int, load float64) []float64 { return slices.Repeat([]float64{load}, n) }

// loadsAfter returns the load of each server once a plan's moves are done.
func loadsAfter(t testingT, s *mtplan.State, plan mtplan.Plan) []float64 {
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

// testingT is the common subset of testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

func movedLoad(plan mtplan.Plan, s *mtplan.State) (load float64) {
	for _, m := range plan.Moves {
		for _, shard := range s.Shards {
			if shard.Low == m.Low {
				load += shard.Load
			}
		}
	}
	return load
}

func TestPlannerKeepsLoadsWithinTheBand(t *testing.T) {
	tests := []struct {
		name  string
		loads [][]float64
		worst float64 // highest load per slot after the moves, as a multiple of the mean
		moved float64 // largest share of the total load that may move
	}{
		{"even", [][]float64{repeat(20, 0.2), repeat(20, 0.2), repeat(20, 0.2)}, 1.001, 0},
		{"within the band", [][]float64{repeat(21, 0.2), repeat(20, 0.2), repeat(19, 0.2)}, 1.06, 0},
		{"one overloaded", [][]float64{repeat(30, 0.2), repeat(15, 0.2), repeat(15, 0.2)}, 1.06, 0.17},
		{"one idle, limited by intakeShare", [][]float64{repeat(30, 0.2), repeat(30, 0.2), nil}, 1.41, 0.21},
		{"one heavy shard among light ones", [][]float64{append(repeat(10, 0.2), 3), repeat(10, 0.2), repeat(10, 0.2)}, 1.15, 0.24},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newState(tt.loads...)
			plan := mtplan.NewPlanner().Plan(start, s)
			worst := slices.Max(loadsAfter(t, s, plan)) / slots / s.Mean()
			assert.Assert(t, worst <= tt.worst, "got %.3f, want at most %.3f", worst, tt.worst)
			got := movedLoad(plan, s) / s.Total
			assert.Assert(t, got <= tt.moved, "got %.3f of the load moved, want at most %.3f", got, tt.moved)
		})
	}
}

// A hot key shares its shard and its server with others. It must be split out
// at both ends, in the chunk that it lies in, and no other shard may be split.
func TestPlannerIsolatesAHotKey(t *testing.T) {
	s := newState(append(repeat(10, 0.2), 4), repeat(10, 0.2), repeat(10, 0.2))
	shard := s.Shards[10]
	hot := shard.Low + 1000
	s.HotKeys = []mtload.PointLoad{{Point: hot, Load: 3.8}}
	plan := mtplan.NewPlanner().Plan(start, s)
	assert.DeepEqual(t, plan.Ops, map[int][]mtshard.Op{0: {mtshard.Split{Point: hot}, mtshard.Split{Point: hot + 1}}})
	for _, m := range plan.Moves {
		assert.Assert(t, m.Low != shard.Low, "the shard that is being split must not move in the same round")
	}
}

// Two hot keys are on one server, and no other server has spare capacity for a
// whole one. One of them must move to a server that can offload small shards.
func TestPlannerSeparatesHotKeys(t *testing.T) {
	s := newState([]float64{3, 3}, repeat(50, 0.09), repeat(50, 0.09), repeat(50, 0.09))
	p := mtplan.NewPlanner()
	plan := p.Plan(start, s)
	assert.Equal(t, len(plan.Moves), 0, "an exchange takes many moves and must wait for exchangeDelay")
	plan = p.Plan(start.Add(15*time.Second), s)
	worst := slices.Max(loadsAfter(t, s, plan)) / slots / s.Mean()
	assert.Assert(t, worst < 1.1, "got %.3f", worst)
	separated := slices.ContainsFunc(plan.Moves, func(m mtplan.Move) bool { return m.Low == s.Shards[0].Low }) !=
		slices.ContainsFunc(plan.Moves, func(m mtplan.Move) bool { return m.Low == s.Shards[1].Low })
	assert.Assert(t, separated, "exactly one of the two hot shards must move")
}

// A business that weights imbalance most is rebalanced at a smaller excess than
// one that prefers fewer key moves.
func TestWeightsSetTheBand(t *testing.T) {
	loads := [][]float64{repeat(109, 0.04), repeat(97, 0.04), repeat(97, 0.04), repeat(97, 0.04)}
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
			s := newState(loads...)
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

// A planner has just taken over and has reports of one server out of four. It
// must not consider that one overloaded because the load of the others is
// unknown, nor evacuate a leaving server onto one of the others.
func TestUnknownLoadIsNotCountedAsZero(t *testing.T) {
	s := newState(repeat(20, 0.2), repeat(20, 0), repeat(20, 0), repeat(20, 0))
	for i := range s.Servers[1:] {
		s.Servers[i+1].LoadKnown, s.Servers[i+1].LastReport = false, 0
	}
	p := mtplan.NewPlanner()
	for i := range 4 {
		plan := p.Plan(start.Add(time.Duration(i)*5*time.Second), s)
		assert.Equal(t, len(plan.Moves)+len(plan.Ops), 0)
	}
	s.Servers[0].Leaving = true
	got := loadsAfter(t, s, mtplan.NewPlanner().Plan(start, s))
	assert.Assert(t, slices.Max(got) < 2, "got loads %v, want the load spread over three servers", got)
}

// The owner is slow to carry out a move, and the reports still show the old
// load. Requesting more moves in each round would empty the server and overload
// another.
func TestPlannerCountsPendingMoves(t *testing.T) {
	s := newState(repeat(30, 0.2), repeat(15, 0.2), repeat(15, 0.2))
	p := mtplan.NewPlanner()
	first := p.Plan(start, s)
	assert.Assert(t, len(first.Moves) > 0)
	second := p.Plan(start.Add(5*time.Second), s)
	assert.Equal(t, len(second.Moves), 0)
	afterTimeout := p.Plan(start.Add(50*time.Second), s)
	third := p.Plan(start.Add(90*time.Second), s)
	assert.Assert(t, len(afterTimeout.Moves)+len(third.Moves) > 0, "a move that was not carried out must be requested again after moveTimeout")
}

// A shard has just moved, and its old server immediately appears less loaded
// than its new one. Without a cooldown the shard would move back and forth.
func TestMovedShardsStayDuringCooldown(t *testing.T) {
	s := newState([]float64{2, 2, 2, 2}, []float64{1, 1}, []float64{1, 1})
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

// A server leaves. All its shards must move, including pinned ones and ones in
// cooldown, and none to another leaving server.
func TestLeavingServersAreEmptied(t *testing.T) {
	s := newState(repeat(20, 0.2), repeat(20, 0.2), repeat(20, 0.2), repeat(20, 0.2))
	s.Servers[0].Leaving, s.Servers[1].Leaving = true, true
	s.Servers[2].LoadKnown = false
	s.Shards[3].Pinned = true
	plan := mtplan.NewPlanner().Plan(start, s)
	got := loadsAfter(t, s, plan)
	assert.Equal(t, got[0]+got[1], 0.0)
	assert.Equal(t, len(plan.Moves), 40)
}

// A request crashes each server that runs it, and its shard loses two owners in
// a row. The planner must leave the shard where it is, whatever its load, since
// each move would let the request crash another server.
func TestShardThatLostSeveralOwnersIsPinned(t *testing.T) {
	var losses mtplan.OwnerLosses
	s := newState(repeat(20, 0.2), append(repeat(10, 0.2), 5), repeat(20, 0.2))
	poisoned := s.Shards[30].Low
	for _, shard := range s.Shards[:20] {
		losses.Record(start, shard.Low)
	}
	losses.Record(start, poisoned)
	losses.Pin(start, s.Shards)
	assert.Assert(t, !s.Shards[30].Pinned, "a single loss must not pin a shard")
	losses.Record(start.Add(time.Minute), poisoned)
	losses.Pin(start.Add(time.Minute), s.Shards)
	assert.Assert(t, s.Shards[30].Pinned)
	assert.Assert(t, !s.Shards[3].Pinned)
	s.HotKeys = []mtload.PointLoad{{Point: poisoned + 7, Load: 4}}
	plan := mtplan.NewPlanner().Plan(start.Add(time.Minute), s)
	assert.Equal(t, len(plan.Ops), 0)
	for _, m := range plan.Moves {
		assert.Assert(t, m.Low != poisoned)
	}
	losses.Pin(start.Add(time.Minute+mtplan.PoisonWindow+time.Second), s.Shards)
	assert.Assert(t, !s.Shards[3].Pinned)
}

// Two zones are lost within minutes. All their shards lost two owners, but not
// because of a poison key. Planning must continue.
func TestOutagesPinNoShards(t *testing.T) {
	var losses mtplan.OwnerLosses
	s := newState(repeat(20, 0.2), repeat(20, 0.2))
	for range 2 {
		for _, shard := range s.Shards[:20] {
			losses.Record(start, shard.Low)
		}
	}
	losses.Pin(start, s.Shards)
	for _, shard := range s.Shards {
		assert.Assert(t, !shard.Pinned)
	}
}

// A hot key has cooled, and its three shards are cold. They must be merged, or
// tables grow with the peaks of each day; but not within a minute of the split,
// and not while the key is hot.
func TestColdShardsMerge(t *testing.T) {
	s := newState(repeat(10, 0.2), repeat(10, 0.2))
	s.Target = 19
	s.Shards[4].Load, s.Shards[5].Load = 0.01, 0.01
	plan := mtplan.NewPlanner().Plan(start, s)
	assert.DeepEqual(t, plan.Ops, map[int][]mtshard.Op{0: {mtshard.Merge{Low: s.Shards[5].Low}}})

	s.HotKeys = []mtload.PointLoad{{Point: s.Shards[4].Low + 3, Load: 1}}
	plan = mtplan.NewPlanner().Plan(start, s)
	assert.Equal(t, len(plan.Ops), 0)
}

// For any state, a plan must apply to the tables: every op applies to its
// chunk, every move starts at the current owner and ends at a server that is
// not leaving, and no shard is both moved and split or merged.
func TestPlansApplyToTheTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const chunks = 2
		n := rapid.IntRange(1, 6).Draw(t, "servers")
		servers := make([]mtplan.Server, n)
		var among []mtid.Holder
		for i := range servers {
			servers[i] = mtplan.Server{
				Holder:    holder(mtid.Daemon(rune('a' + i))),
				Zone:      mtid.Zone(rune('x' + i%2)),
				Slots:     float64(rapid.IntRange(1, 20).Draw(t, "slots")),
				WarmShare: rapid.Float64Range(0.1, 1).Draw(t, "warm"),
				Leaving:   rapid.Bool().Draw(t, "leaving"),
				LoadKnown: rapid.IntRange(0, 3).Draw(t, "load known") > 0,
			}
			if servers[i].LoadKnown || rapid.Bool().Draw(t, "ever reported") {
				servers[i].LastReport = start
			}
			among = append(among, servers[i].Holder)
		}
		among = append(among, holder("gone"))
		var tables []*mtshard.Table
		for chunk := range chunks {
			table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.WriteID{}, mtshard.Create{Shards: rapid.IntRange(1, 12).Draw(t, "shards"), Holders: among})
			assert.NilError(t, err)
			tables = append(tables, table)
		}
		p := mtplan.NewPlanner()
		estimates := mtload.NewEstimates()
		now := start
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "wait")) * time.Second)
			s := &mtplan.State{Servers: servers, Shards: mtplan.CollectShards(now, tables, servers, estimates), Target: rapid.IntRange(1, 30).Draw(t, "target")}
			for i := range s.Shards {
				s.Shards[i].Load = rapid.SampledFrom([]float64{0, 0.01, 0.1, 1, 5}).Draw(t, "load")
				s.Shards[i].Pinned = rapid.IntRange(0, 9).Draw(t, "pinned") == 0
				s.Total += s.Shards[i].Load
				if rapid.IntRange(0, 4).Draw(t, "hot") == 0 {
					s.HotKeys = append(s.HotKeys, mtload.PointLoad{Point: s.Shards[i].Low + (s.Shards[i].High-s.Shards[i].Low)/3, Load: s.Shards[i].Load})
				}
			}
			tables = applyPlan(t, tables, s, p.Plan(now, s))
		}
	})
}

// applyPlan applies a plan and checks that it fits the tables.
func applyPlan(t *rapid.T, tables []*mtshard.Table, s *mtplan.State, plan mtplan.Plan) []*mtshard.Table {
	assert.Assert(t, len(plan.Moves) <= mtplan.MaxMoves)
	next := slices.Clone(tables)
	for chunk, ops := range plan.Ops {
		table, err := next[chunk].Apply(mtroster.WriteID{}, ops...)
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
		assert.Assert(t, ok && highBefore == highAfter, "a shard was moved and also split or merged in one round")
		to := slices.IndexFunc(s.Servers, func(v mtplan.Server) bool { return v.Holder == m.To })
		assert.Assert(t, to >= 0 && !s.Servers[to].Leaving)
	}
	for _, m := range plan.Moves {
		if rapid.IntRange(0, 2).Draw(t, "carried out") == 0 {
			continue
		}
		chunk := mtshard.ChunkOf(m.Low, len(tables))
		table, err := next[chunk].Apply(mtroster.WriteID{}, mtshard.Move{Low: m.Low, To: m.To})
		assert.NilError(t, err)
		next[chunk] = table
	}
	return next
}

func TestBaselinesAreStableAndEvacuate(t *testing.T) {
	s := newState(repeat(20, 0.2), repeat(20, 0.2), repeat(20, 0.2))
	s.Servers[0].Leaving = true
	for _, policy := range []mtplan.Policy{mtplan.NewRendezvous(), mtplan.NewBounded()} {
		t.Run(policy.Name(), func(t *testing.T) {
			plan := policy.Plan(start, s)
			got := loadsAfter(t, s, plan)
			assert.Equal(t, got[0], 0.0)
			again := policy.Plan(start, s)
			assert.DeepEqual(t, again, plan)
		})
	}
	bounded := loadsAfter(t, s, mtplan.NewBounded().Plan(start, s))
	worst := slices.Max(bounded) / slots / s.Mean()
	assert.Assert(t, worst <= mtplan.BoundedFactor, "got %v", worst)
}

// BenchmarkRound measures one round for 480 servers and 25,000 shards, from the
// tables to the plan, with a tenth of the servers outside the band.
func BenchmarkRound(b *testing.B) {
	const servers, shards, chunks = 480, 25000, 64
	var members []mtplan.Member
	var list []mtplan.Server
	for i := range servers {
		h := holder(mtid.Daemon(fmt.Sprintf("vm-%03d", i)))
		members = append(members, mtplan.Member{Holder: h, Slots: slots})
		list = append(list, mtplan.Server{Holder: h, Zone: mtid.Zone(fmt.Sprintf("zone-%d", i%4)), Slots: slots, WarmShare: 1, LoadKnown: true, LastReport: start})
	}
	var tables []*mtshard.Table
	for chunk, ops := range mtplan.InitialLayout(shards, chunks, members) {
		table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.WriteID{}, ops...)
		assert.NilError(b, err)
		tables = append(tables, table)
	}
	estimates := mtload.NewEstimates()
	mtplan.CollectShards(start, tables, list, estimates)
	for i, s := range list {
		load := 4.0
		if i%10 == 0 {
			load = 6
		}
		var owned []mtshard.Shard
		for _, table := range tables {
			owned = append(owned, table.OwnedBy(s.Holder)...)
		}
		estimates.AddReport(start, &mtload.Report{From: s.Holder, Sequence: 1, Load: load}, owned)
	}
	b.ResetTimer()
	for range b.N {
		s := &mtplan.State{Servers: list, Shards: mtplan.CollectShards(start, tables, list, estimates), Target: shards, Total: estimates.Total()}
		plan := mtplan.NewPlanner().Plan(start, s)
		assert.Assert(b, len(plan.Moves) > 0)
	}
}
