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

// A key receives twice the load that its server can process. The server runs at
// its slots, and the gate sheds the rest. The report must include all of the
// load; otherwise the planner cannot distinguish the server from one that is
// just full.
func TestMeterIncludesShedRequests(t *testing.T) {
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

// A shard has been handed over, and its counts decay over seconds. They must
// not be reported as load of the remaining shards.
func TestMeterOmitsShardsThatMoved(t *testing.T) {
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

func TestReportIsTruncatedToMaxReport(t *testing.T) {
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

func TestReportIsDue(t *testing.T) {
	tests := []struct {
		name string
		load float64
		at   time.Duration // after a report of load 1 with a mean of 1
		want bool
	}{
		{"small change", 1.04, 2 * time.Minute, false},
		{"changed, during the planner's pause", 1.08, 29 * time.Second, false},
		{"changed, after the pause", 1.08, 30 * time.Second, true},
		{"fell, after the pause", 0.9, 30 * time.Second, true},
		{"jumped, during the pause", 1.3, 5 * time.Second, true},
		{"fell far, during the pause", 0.7, 5 * time.Second, true},
		{"jumped, before MinPause", 1.3, 4 * time.Second, false},
		{"refresh", 1, 10 * time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var scheduler mtload.ReportScheduler
			assert.Assert(t, scheduler.Due(at(0), a, b, 1, 0), "the first report must be due at once")
			scheduler.Sent(at(0), 1)
			scheduler.ReplyReceived(1, 30*time.Second, false)
			got := scheduler.Due(at(tt.at), a, b, tt.load, 0)
			assert.Equal(t, got, tt.want)
		})
	}
}

// A shard moves off an overloaded server while a hot key on the server still
// grows, so that its total load stays the same. The planner assumes that it
// fell, so another report must be due.
func TestReportIsDueAfterAMove(t *testing.T) {
	var scheduler mtload.ReportScheduler
	scheduler.SetShards(1)
	scheduler.Due(at(0), a, b, 1.2, 0)
	scheduler.Sent(at(0), 1.2)
	scheduler.ReplyReceived(1, mtload.MaxPause, false)
	assert.Assert(t, !scheduler.Due(at(60*time.Second), a, b, 1.2, 0), "due although nothing has changed")
	scheduler.SetShards(2)
	assert.Assert(t, scheduler.Due(at(60*time.Second), a, b, 1.2, 0))
	scheduler.Sent(at(60*time.Second), 1.2)
	assert.Assert(t, !scheduler.Due(at(64*time.Second), a, b, 1.2, 0))
}

// A report or its reply is lost. The report must be sent again even if the load
// has not changed since; otherwise the planner uses an old load for minutes.
func TestUnansweredReportIsSentAgain(t *testing.T) {
	var scheduler mtload.ReportScheduler
	scheduler.Due(at(0), a, b, 1, 0)
	scheduler.Sent(at(0), 1)
	scheduler.ReplyReceived(1, mtload.MinPause, false)
	scheduler.Sent(at(10*time.Second), 1.1)
	assert.Assert(t, !scheduler.Due(at(14*time.Second), a, b, 1.1, 0))
	assert.Assert(t, scheduler.Due(at(15*time.Second), a, b, 1.1, 0))
	scheduler.Sent(at(15*time.Second), 1.1)
	scheduler.ReplyReceived(1, mtload.MinPause, false)
	assert.Assert(t, !scheduler.Due(at(60*time.Second), a, b, 1.1, 0))
	scheduler.Sent(at(15*time.Second), 1.1)
	scheduler.ReplyReceived(1, mtload.MinPause, true)
	assert.Assert(t, !scheduler.Due(at(26*time.Second), a, b, 1.1, 0))
	assert.Assert(t, scheduler.Due(at(27*time.Second), a, b, 1.1, 0), "not due although the planner requested another report")
}

// The planning daemon is lost and another becomes the leader. Reports of the
// whole fleet at once would exceed its budget; but overloaded daemons must not
// wait.
func TestReportsToANewLeaderAreSpread(t *testing.T) {
	const spread = time.Minute
	early := 0
	for i := range 100 {
		self := mtid.Holder{Daemon: mtid.Daemon(rune('a' + i)), Incarnation: 1}
		var scheduler mtload.ReportScheduler
		scheduler.Due(at(0), self, b, 1, 0)
		scheduler.Sent(at(0), 1)
		scheduler.ReplyReceived(1, mtload.MinPause, false)
		if scheduler.Due(at(30*time.Second), self, a, 1, spread) {
			early++
		}
		assert.Assert(t, scheduler.Due(at(30*time.Second), self, a, 1.5, spread), "the report of an overloaded daemon must be due at once")
		assert.Assert(t, scheduler.Due(at(91*time.Second), self, a, 1, spread), "every report must be due within the spread")
	}
	assert.Assert(t, early <= 5, "got %d of 100 reports due at once, want at most 5", early)
}

// Half of a fleet of 240 leaves the band in the same second. The pauses in the
// replies must limit the reports to the rates of the planner.
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

func TestEstimatesFollowSplitsAndMerges(t *testing.T) {
	estimates := mtload.NewEstimates()
	estimates.Sync([]mtid.Point{0, 1 << 62, 2 << 62})
	r := report(a, 1, 10, mtload.ShardLoad{Low: 0, Load: 6})
	r.Points = []mtload.PointLoad{{Point: 77, Load: 5}}
	estimates.AddReport(at(0), r, shards(a, 0, 1<<62, 2<<62))
	assert.DeepEqual(t, estimates.Loads(0, nil), []float64{6, 2, 2})

	estimates.Sync([]mtid.Point{0, 77, 78, 1 << 62, 2 << 62})
	got := estimates.Loads(0, nil)
	near(t, got[0]+got[2], 1)
	near(t, got[1], 5)

	estimates.Sync([]mtid.Point{0, 1 << 62})
	got = estimates.Loads(0, nil)
	near(t, got[0], 6)
	near(t, got[1], 4)
}

// Splits and merges must neither add nor lose load.
func TestSplitsAndMergesPreserveTheTotal(t *testing.T) {
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
		estimates := mtload.NewEstimates()
		first := lows("first")
		estimates.Sync(first)
		r := report(a, 1, 30)
		for i := range rapid.IntRange(0, 8).Draw(t, "points") {
			r.Points = append(r.Points, mtload.PointLoad{
				Point: mtid.Point(rapid.Uint64().Draw(t, "point")),
				Load:  float64(i) * rapid.Float64Range(0, 2).Draw(t, "load"),
			})
		}
		estimates.AddReport(at(0), r, shards(a, first...))
		for range 3 {
			estimates.Sync(lows("next"))
			total := 0.0
			for _, load := range estimates.Loads(0, nil) {
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

// A daemon stops measuring and sends the same loads repeatedly. Its load must
// count as unknown until it sends a new measurement.
func TestRepeatedReportsMakeTheLoadUnknown(t *testing.T) {
	estimates := mtload.NewEstimates()
	estimates.Sync([]mtid.Point{0})
	assert.Assert(t, !estimates.LoadKnown(at(0), a))
	estimates.AddReport(at(0), report(a, 1, 3), shards(a, 0))
	assert.Assert(t, estimates.LoadKnown(at(time.Second), a))
	estimates.AddReport(at(5*time.Second), report(a, 1, 3), shards(a, 0))
	assert.Assert(t, !estimates.LoadKnown(at(5*time.Second), a))
	estimates.AddReport(at(10*time.Second), report(a, 2, 3), shards(a, 0))
	assert.Assert(t, estimates.LoadKnown(at(10*time.Second), a))
	assert.Assert(t, !estimates.LoadKnown(at(10*time.Second+3*mtload.Refresh), a))
}

// The owner of a shard suddenly reports no load. The estimate must decay over
// several rounds; otherwise the owner immediately receives more and more
// shards.
func TestEstimatesDecaySlowly(t *testing.T) {
	estimates := mtload.NewEstimates()
	estimates.Sync([]mtid.Point{0})
	estimates.AddReport(at(0), report(a, 1, 8), shards(a, 0))
	estimates.AddReport(at(3*time.Second), report(a, 2, 0), shards(a, 0))
	near(t, estimates.Loads(at(3*time.Second), nil)[0], 8)
	near(t, estimates.Loads(at(7*time.Second), nil)[0], 4)
	near(t, estimates.Total(), 0)
	estimates.AddReport(at(10*time.Second), report(a, 3, 9), shards(a, 0))
	near(t, estimates.Loads(at(10*time.Second), nil)[0], 9)
}

// A shard moves from a to b, and a report of b that was measured before the
// move arrives late and omits the shard. The previous owner's load must remain
// valid until b has had time to report the shard; otherwise b appears less
// loaded than it is and receives more shards.
func TestReportFromBeforeAMoveKeepsThePreviousLoad(t *testing.T) {
	estimates := mtload.NewEstimates()
	estimates.Sync([]mtid.Point{0, 100})
	estimates.AddReport(at(0), report(a, 1, 8, mtload.ShardLoad{Low: 0, Load: 8}), shards(a, 0))
	estimates.AddReport(at(0), report(b, 1, 2, mtload.ShardLoad{Low: 100, Load: 2}), shards(b, 100))
	both := shards(b, 0, 100)
	estimates.AddReport(at(5*time.Second), report(b, 2, 2, mtload.ShardLoad{Low: 100, Load: 2}), both)
	assert.DeepEqual(t, estimates.Loads(at(5*time.Second), nil), []float64{8, 2})
	estimates.AddReport(at(30*time.Second), report(b, 3, 2, mtload.ShardLoad{Low: 100, Load: 2}), both)
	got := estimates.Loads(at(time.Minute), nil)[0]
	assert.Assert(t, got < 1, "got %v, want the load from b's report", got)
}

// A hot key is split off, and for some seconds the meter of its owner still
// counts its past requests under its previous shard. They must not count twice.
func TestSplitOffLoadCountsOnce(t *testing.T) {
	estimates := mtload.NewEstimates()
	estimates.Sync([]mtid.Point{0})
	hot := report(a, 1, 10)
	hot.Points = []mtload.PointLoad{{Point: 50, Load: 9}}
	estimates.AddReport(at(0), hot, shards(a, 0))
	lows := []mtid.Point{0, 50, 51}
	estimates.Sync(lows)
	mixed := report(a, 2, 14, mtload.ShardLoad{Low: 0, Load: 7}, mtload.ShardLoad{Low: 50, Load: 7})
	estimates.AddReport(at(5*time.Second), mixed, shards(a, lows...))
	got := estimates.Loads(at(5*time.Second), nil)
	assert.Assert(t, got[0] < 1, "got %v for the previous shard, want the rest without the hot key", got[0])
	assert.Assert(t, got[1] >= 7, "got %v for the hot key, want at least 7", got[1])
}

// One server reports only a third of its load, for whatever reason. It appears
// empty and receives one shard after another. Each shard that moves to it seems
// to shrink to a third, while shards that move between other servers do not.
// Its reports must be corrected, and those of accurate servers left alone.
func TestInaccurateServerIsCorrected(t *testing.T) {
	estimates := mtload.NewEstimates()
	inaccurate := mtid.Holder{Daemon: "inaccurate", Incarnation: 1}
	var lows []mtid.Point
	for i := range 20 {
		lows = append(lows, mtid.Point(i*100))
	}
	estimates.Sync(lows)
	sequence := uint64(0)
	addReport := func(d time.Duration, from mtid.Holder, load float64, low mtid.Point) {
		sequence++
		estimates.AddReport(at(d), report(from, sequence, load, mtload.ShardLoad{Low: low, Load: load}), shards(from, low))
	}
	for i, low := range lows[:12] {
		now := time.Duration(i) * time.Minute
		to, reported := inaccurate, 0.1
		if i%2 == 1 {
			to, reported = mtid.Holder{Daemon: "accurate", Incarnation: 1}, 0.3
		}
		addReport(now, a, 0.3, low)
		addReport(now+2*time.Second, to, reported, low)
		addReport(now+20*time.Second, to, reported, low)
	}
	last := 20 * time.Minute
	addReport(last, inaccurate, 1, lows[18])
	addReport(last, a, 1, lows[19])
	got := estimates.Loads(at(last), nil)
	assert.Assert(t, math.Abs(got[18]-3) < 0.5, "got %v for the shard of the inaccurate server, want 3", got[18])
	assert.Assert(t, math.Abs(got[19]-1) < 0.01, "got %v for the shard of the accurate server, want 1", got[19])
}

// A service has twenty slow requests per second, and their random arrivals make
// the short-term average fluctuate by 10%. The reported load must be nearly
// constant, or shards move because of noise; but a load that doubles must show
// within seconds.
func TestMeterSmoothsSlowRequests(t *testing.T) {
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
		assert.Assert(t, got > 4*0.88 && got < 4*1.12, "got %v under constant load, want about 4", got)
	}
	arrive(40, 8*time.Second)
	got := m.Report(now, a, ref, all).Load
	assert.Assert(t, got > 6, "got %v eight seconds after the load doubled to 8", got)
}
