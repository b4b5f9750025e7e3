package mtload_test

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtwire"
)

var (
	ref = mtid.Ref{Business: "ratins", Service: "mapsvc"}
	a   = mtid.Holder{Daemon: "a", Incarnation: 1}
	b   = mtid.Holder{Daemon: "b", Incarnation: 1}
)

func at(d time.Duration) mtclock.Instant { return mtclock.Instant(0).Add(d) }

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 0.03*max(1, want), "got %v, want %v", got, want)
}

// A key wants twice what its server can do. The server runs at its slots, and
// the gate sheds the rest. The report must state the whole of it, or the
// planner sees a server that is merely full.
func TestMeterCountsShedWork(t *testing.T) {
	m := mtload.NewMeter()
	m.Finish(100 * time.Millisecond)
	now := at(0)
	for range 4800 { // 240 a second for 20 s: 24 slots' worth
		m.Arrive(now, 10, 12)
		now = now.Add(time.Second / 240)
	}
	r := m.Report(now, a, ref, func(mtid.Point) bool { return true })
	near(t, r.Load, 24)
	near(t, r.Shards[0].Load, 24)
	assert.Equal(t, r.Points[0].Point, mtid.Point(12))
}

// A shard has been handed over. Its counts fade over seconds; they must not
// show as load of the shards that stayed.
func TestMeterLeavesOutShardsThatMoved(t *testing.T) {
	m := mtload.NewMeter()
	m.Finish(10 * time.Millisecond)
	now := at(0)
	for range 2000 {
		m.Arrive(now, 10, 10)
		m.Arrive(now, 20, 20)
		now = now.Add(10 * time.Millisecond)
	}
	r := m.Report(now, a, ref, func(low mtid.Point) bool { return low == 20 })
	near(t, r.Load, 1)
	assert.Equal(t, len(r.Shards), 1)
}

func TestReportFitsItsBound(t *testing.T) {
	r := &mtload.Report{
		From:     mtid.Holder{Daemon: mtid.Daemon(strings.Repeat("d", 64)), Incarnation: math.MaxUint64},
		Service:  mtid.Ref{Business: mtid.Business(strings.Repeat("b", 64)), Service: mtid.Service(strings.Repeat("s", 64))},
		Sequence: math.MaxUint64,
		Load:     math.Inf(1),
	}
	for i := range 100 {
		r.Shards = append(r.Shards, mtload.ShardLoad{Low: ^mtid.Point(i), Load: 1e9})
		r.Points = append(r.Points, mtload.PointLoad{Point: ^mtid.Point(i), Load: 1e9})
	}
	value, err := proto.Marshal(r.Wire())
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= mtload.MaxReport, "got %d bytes, want at most %d", len(value), mtload.MaxReport)
	got, err := mtload.Read(r.Wire())
	assert.NilError(t, err)
	assert.Equal(t, len(got.Shards), mtload.MaxShards)
	assert.Equal(t, got.Load, float64(mtload.MaxLoad))
}

func FuzzRead(f *testing.F) {
	r := &mtload.Report{From: a, Service: ref, Sequence: 1, Load: 2, Shards: []mtload.ShardLoad{{Low: 1, Load: 2}}}
	seed, _ := proto.Marshal(r.Wire())
	f.Add(seed)
	f.Add([]byte{0x0a, 0x03, 0x0a, 0x01, 0x61, 0x31, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, value []byte) {
		w := &mtwire.LoadReport{}
		if proto.Unmarshal(value, w) != nil {
			return
		}
		r, err := mtload.Read(w)
		if err != nil {
			return
		}
		again, err := mtload.Read(r.Wire())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, r)
	})
}

func TestPace(t *testing.T) {
	tests := []struct {
		name string
		load float64
		at   time.Duration // after a report of load 1 with a mean of 1
		want bool
	}{
		{"a little change", 1.04, 2 * time.Minute, false},
		{"changed, in the planner's pause", 1.08, 29 * time.Second, false},
		{"changed, after it", 1.08, 30 * time.Second, true},
		{"fell, after it", 0.9, 30 * time.Second, true},
		{"jumped, in the pause", 1.3, 5 * time.Second, true},
		{"fell far, in the pause", 0.7, 5 * time.Second, true},
		{"jumped, too soon", 1.3, 4 * time.Second, false},
		{"refresh", 1, 10 * time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var pace mtload.Pace
			assert.Assert(t, pace.Due(at(0), a, b, 1, 0), "the first report is due at once")
			pace.Sent(at(0), 1)
			pace.Heard(1, 30*time.Second, false)
			got := pace.Due(at(tt.at), a, b, tt.load, 0)
			assert.Equal(t, got, tt.want)
		})
	}
}

// A shard leaves an overloaded server while a hot key on it still grows, so that
// its total stays the same. The planner believes that it fell, and must be told.
func TestPaceReportsAfterAMove(t *testing.T) {
	var pace mtload.Pace
	pace.Shards(1)
	pace.Due(at(0), a, b, 1.2, 0)
	pace.Sent(at(0), 1.2)
	pace.Heard(1, mtload.MaxPause, false)
	assert.Assert(t, !pace.Due(at(60*time.Second), a, b, 1.2, 0), "nothing has changed")
	pace.Shards(2)
	assert.Assert(t, pace.Due(at(60*time.Second), a, b, 1.2, 0))
	pace.Sent(at(60*time.Second), 1.2)
	assert.Assert(t, !pace.Due(at(64*time.Second), a, b, 1.2, 0))
}

// A report or its reply is lost. It must go out again, even if nothing has
// changed since, or the planner works from an old figure for minutes.
func TestPaceRepeatsAnUnansweredReport(t *testing.T) {
	var pace mtload.Pace
	pace.Due(at(0), a, b, 1, 0)
	pace.Sent(at(0), 1)
	pace.Heard(1, mtload.MinPause, false)
	pace.Sent(at(10*time.Second), 1.1)
	assert.Assert(t, !pace.Due(at(14*time.Second), a, b, 1.1, 0))
	assert.Assert(t, pace.Due(at(15*time.Second), a, b, 1.1, 0))
	pace.Sent(at(15*time.Second), 1.1)
	pace.Heard(1, mtload.MinPause, false)
	assert.Assert(t, !pace.Due(at(60*time.Second), a, b, 1.1, 0))
	pace.Sent(at(15*time.Second), 1.1)
	pace.Heard(1, mtload.MinPause, true)
	assert.Assert(t, !pace.Due(at(26*time.Second), a, b, 1.1, 0))
	assert.Assert(t, pace.Due(at(27*time.Second), a, b, 1.1, 0), "the planner wants another one")
}

// The planner's daemon is lost and another leads. Reports of the whole fleet at
// once would break its budget; but who is overloaded must not wait.
func TestPaceSpreadsReportsToANewLeader(t *testing.T) {
	const spread = time.Minute
	early := 0
	for i := range 100 {
		self := mtid.Holder{Daemon: mtid.Daemon(rune('a' + i)), Incarnation: 1}
		var pace mtload.Pace
		pace.Due(at(0), self, b, 1, 0)
		pace.Sent(at(0), 1)
		pace.Heard(1, mtload.MinPause, false)
		if pace.Due(at(30*time.Second), self, a, 1, spread) {
			early++
		}
		assert.Assert(t, pace.Due(at(30*time.Second), self, a, 1.5, spread), "an overloaded daemon reports at once")
		assert.Assert(t, pace.Due(at(91*time.Second), self, a, 1, spread), "each reports within the spread")
	}
	assert.Assert(t, early <= 5, "got %d of 100 at once", early)
}

// Half of a fleet of 240 leaves the band in the same second. The pauses that
// they are told must bring their reports under the planner's rates.
func TestThrottleBoundsTheRate(t *testing.T) {
	tests := []struct {
		name  string
		above bool
		count int
		want  float64
	}{
		{"overloaded", true, 120, mtload.AboveRate},
		{"others", false, 60, mtload.OtherRate},
		{"few", true, 3, 3 / mtload.MinPause.Seconds()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var throttle mtload.Throttle
			next := make([]time.Duration, tt.count)
			reports := 0
			for now := time.Duration(0); now < 20*time.Minute; now += time.Second {
				for i := range next {
					if now < next[i] {
						continue
					}
					next[i] = now + throttle.Arrived(at(now), tt.above)
					if now >= 10*time.Minute {
						reports++
					}
				}
			}
			got := float64(reports) / (10 * time.Minute).Seconds()
			assert.Assert(t, got <= tt.want*1.05, "got %.2f reports a second, want at most %.2f", got, tt.want)
			assert.Assert(t, got >= tt.want*0.8, "got %.2f reports a second, want nearly %.2f", got, tt.want)
		})
	}
}

func shards(owner mtid.Holder, lows ...mtid.Point) []mtshard.Shard {
	var found []mtshard.Shard
	for _, low := range lows {
		found = append(found, mtshard.Shard{Low: low, Owner: owner})
	}
	return found
}

func report(from mtid.Holder, sequence uint64, load float64, listed ...mtload.ShardLoad) *mtload.Report {
	return &mtload.Report{From: from, Service: ref, Sequence: sequence, Load: load, Shards: listed}
}

func TestBookFollowsShards(t *testing.T) {
	book := mtload.NewBook()
	book.Sync([]mtid.Point{0, 1 << 62, 2 << 62})
	r := report(a, 1, 10, mtload.ShardLoad{Low: 0, Load: 6})
	r.Points = []mtload.PointLoad{{Point: 77, Load: 5}}
	book.Take(at(0), r, shards(a, 0, 1<<62, 2<<62))
	assert.DeepEqual(t, book.Loads(0, nil), []float64{6, 2, 2})

	book.Sync([]mtid.Point{0, 77, 78, 1 << 62, 2 << 62})
	got := book.Loads(0, nil)
	near(t, got[0]+got[2], 1)
	near(t, got[1], 5)

	book.Sync([]mtid.Point{0, 1 << 62})
	got = book.Loads(0, nil)
	near(t, got[0], 6)
	near(t, got[1], 4)
}

// Whatever splits and merges happen, no load appears or vanishes in the book.
func TestBookKeepsTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lows := func(label string) []mtid.Point {
			cuts := rapid.SliceOfNDistinct(rapid.Uint64Min(1), 0, 20, rapid.ID[uint64]).Draw(t, label)
			points := []mtid.Point{0}
			for _, c := range cuts {
				points = append(points, mtid.Point(c))
			}
			sortPoints(points)
			return points
		}
		book := mtload.NewBook()
		first := lows("first")
		book.Sync(first)
		r := report(a, 1, 30)
		for i := range rapid.IntRange(0, 8).Draw(t, "points") {
			r.Points = append(r.Points, mtload.PointLoad{
				Point: mtid.Point(rapid.Uint64().Draw(t, "point")),
				Load:  float64(i) * rapid.Float64Range(0, 2).Draw(t, "load"),
			})
		}
		book.Take(at(0), r, shards(a, first...))
		for range 3 {
			book.Sync(lows("next"))
			total := 0.0
			for _, load := range book.Loads(0, nil) {
				assert.Assert(t, load >= -1e-9)
				total += load
			}
			assert.Assert(t, math.Abs(total-30) < 1e-6, "got %v, want 30", total)
		}
	})
}

func sortPoints(points []mtid.Point) {
	for i := range points {
		for k := i; k > 0 && points[k] < points[k-1]; k-- {
			points[k], points[k-1] = points[k-1], points[k]
		}
	}
}

// A server's daemon stops measuring and sends the same figures again and again.
// The book must say that its load is not known, until it measures again.
func TestBookKnowsRepeatedReports(t *testing.T) {
	book := mtload.NewBook()
	book.Sync([]mtid.Point{0})
	assert.Assert(t, !book.Heard(at(0), a))
	book.Take(at(0), report(a, 1, 3), shards(a, 0))
	assert.Assert(t, book.Heard(at(time.Second), a))
	book.Take(at(5*time.Second), report(a, 1, 3), shards(a, 0))
	assert.Assert(t, !book.Heard(at(5*time.Second), a))
	book.Take(at(10*time.Second), report(a, 2, 3), shards(a, 0))
	assert.Assert(t, book.Heard(at(10*time.Second), a))
	assert.Assert(t, !book.Heard(at(10*time.Second+3*mtload.Refresh), a))
}

// A shard's owner at once reports that it is idle. The estimate must fall over
// several rounds, not within one, else the owner is given more and more.
func TestBookFallsSlowly(t *testing.T) {
	book := mtload.NewBook()
	book.Sync([]mtid.Point{0})
	book.Take(at(0), report(a, 1, 8), shards(a, 0))
	book.Take(at(3*time.Second), report(a, 2, 0), shards(a, 0))
	near(t, book.Loads(at(3*time.Second), nil)[0], 8)
	near(t, book.Loads(at(7*time.Second), nil)[0], 4)
	near(t, book.Total(), 0)
	book.Take(at(10*time.Second), report(a, 3, 9), shards(a, 0))
	near(t, book.Loads(at(10*time.Second), nil)[0], 9)
}

// A shard moves from a to b, and a report of b from before the move comes late.
// It leaves the shard out. The former owner's figure must stand until b has had
// time to report the shard, or b looks emptier than it is and is given more.
func TestBookPassesOverReportsFromBeforeAMove(t *testing.T) {
	book := mtload.NewBook()
	book.Sync([]mtid.Point{0, 100})
	book.Take(at(0), report(a, 1, 8, mtload.ShardLoad{Low: 0, Load: 8}), shards(a, 0))
	book.Take(at(0), report(b, 1, 2, mtload.ShardLoad{Low: 100, Load: 2}), shards(b, 100))
	both := shards(b, 0, 100)
	book.Take(at(5*time.Second), report(b, 2, 2, mtload.ShardLoad{Low: 100, Load: 2}), both)
	assert.DeepEqual(t, book.Loads(at(5*time.Second), nil), []float64{8, 2})
	book.Take(at(30*time.Second), report(b, 3, 2, mtload.ShardLoad{Low: 100, Load: 2}), both)
	got := book.Loads(at(time.Minute), nil)[0]
	assert.Assert(t, got < 1, "got %v, want b's word by now", got)
}

// A hot key is split off, and for some seconds its owner's meter still files its
// past requests under the shard that it was in. They must not count twice.
func TestBookCountsWhatWasSplitOffOnce(t *testing.T) {
	book := mtload.NewBook()
	book.Sync([]mtid.Point{0})
	hot := report(a, 1, 10)
	hot.Points = []mtload.PointLoad{{Point: 50, Load: 9}}
	book.Take(at(0), hot, shards(a, 0))
	lows := []mtid.Point{0, 50, 51}
	book.Sync(lows)
	mixed := report(a, 2, 14, mtload.ShardLoad{Low: 0, Load: 7}, mtload.ShardLoad{Low: 50, Load: 7})
	book.Take(at(5*time.Second), mixed, shards(a, lows...))
	got := book.Loads(at(5*time.Second), nil)
	assert.Assert(t, got[0] < 1, "got %v for the rest, want what was left of it", got[0])
	assert.Assert(t, got[1] >= 7, "got %v for the hot key", got[1])
}

// One server's reports state a third of its load, whatever the cause. It looks
// empty and is given shard after shard. Each shard that reaches it seems to
// shrink to a third, and no other server's do: its reports are corrected, and
// those of its truthful peers are left alone.
func TestBookCorrectsAServerThatIsAlwaysOff(t *testing.T) {
	book := mtload.NewBook()
	liar := mtid.Holder{Daemon: "liar", Incarnation: 1}
	var lows []mtid.Point
	for i := range 20 {
		lows = append(lows, mtid.Point(i*100))
	}
	book.Sync(lows)
	sequence := uint64(0)
	say := func(d time.Duration, from mtid.Holder, load float64, low mtid.Point) {
		sequence++
		book.Take(at(d), report(from, sequence, load, mtload.ShardLoad{Low: low, Load: load}), shards(from, low))
	}
	for i, low := range lows[:12] {
		now := time.Duration(i) * time.Minute
		to, claim := liar, 0.1
		if i%2 == 1 {
			to, claim = mtid.Holder{Daemon: "honest", Incarnation: 1}, 0.3
		}
		say(now, a, 0.3, low)
		say(now+2*time.Second, to, claim, low)
		say(now+20*time.Second, to, claim, low)
	}
	last := 20 * time.Minute
	say(last, liar, 1, lows[18])
	say(last, a, 1, lows[19])
	got := book.Loads(at(last), nil)
	assert.Assert(t, math.Abs(got[18]-3) < 0.5, "got %v for the liar's shard, want 3", got[18])
	assert.Assert(t, math.Abs(got[19]-1) < 0.01, "got %v for the truthful one's, want 1", got[19])
}

// A service has twenty slow requests a second, and their chance arrivals swing
// its short average by a tenth. What is reported must hardly swing, or shards
// move after noise; but a load that doubles must show within seconds.
func TestMeterIsSteadyUnderSlowRequests(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	m := mtload.NewMeter()
	m.Finish(200 * time.Millisecond)
	all := func(mtid.Point) bool { return true }
	now := at(0)
	arrive := func(rate float64, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			m.Arrive(now, 0, 0)
			now = now.Add(time.Duration(source.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	arrive(20, 5*time.Minute)
	for range 60 {
		arrive(20, time.Second)
		got := m.Report(now, a, ref, all).Load
		assert.Assert(t, got > 4*0.88 && got < 4*1.12, "got %v at rest, want about 4", got)
	}
	arrive(40, 8*time.Second)
	got := m.Report(now, a, ref, all).Load
	assert.Assert(t, got > 6, "got %v eight seconds after the load doubled to 8", got)
}
