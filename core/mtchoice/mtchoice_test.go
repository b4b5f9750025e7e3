package mtchoice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

func candidates(names ...string) []mtchoice.Candidate {
	var out []mtchoice.Candidate
	for _, name := range names {
		out = append(out, mtchoice.Candidate{
			Holder: mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1},
			Zone:   mtid.Zone(name[:1]),
			Slots:  4,
		})
	}
	return out
}

func newPower(zone mtid.Zone, names ...string) *mtchoice.PowerOfTwo[*mtchoice.Streak] {
	p := mtchoice.NewPowerOfTwo(rand.New(rand.NewPCG(1, 2)), mtchoice.Options{Zone: zone}, mtchoice.NewStreak)
	p.Update(candidates(names...))
	return p
}

// pickMany calls Pick several times and counts the picks by zone.
func pickMany(p mtchoice.Policy, now mtclock.Instant, times int) map[mtid.Zone]int {
	count := make(map[mtid.Zone]int)
	for range times {
		h, _ := p.Pick(now)
		count[mtid.Zone(h.Daemon[:1])]++
	}
	return count
}

func finish(p mtchoice.Policy, now mtclock.Instant, name string, times int, r mtchoice.Result) {
	h := mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1}
	for range times {
		p.Started(now, h)
		p.Ended(now, h, r)
	}
}

func TestPickWithoutCandidates(t *testing.T) {
	for _, p := range []mtchoice.Policy{newPower("a"), mtchoice.NewRoundRobin(), mtchoice.NewRandom(rand.New(rand.NewPCG(1, 2)))} {
		_, ok := p.Pick(0)
		assert.Assert(t, !ok)
	}
}

func TestOwnZoneIsPreferredUntilLoaded(t *testing.T) {
	p := newPower("a", "a1", "a2", "b1", "b2")
	assert.Equal(t, pickMany(p, 0, 100)["a"], 100)
	for _, c := range candidates("a1", "a2") {
		p.Started(0, c.Holder)
		p.Started(0, c.Holder)
	}
	assert.Equal(t, pickMany(p, 0, 100)["b"], 100)
}

// A server breaks its connections. It is ejected after the third failure, probed
// by one request when the ejection expires, and reinstated when that request is
// answered.
func TestEjectionAndProbe(t *testing.T) {
	p := newPower("", "a1", "b1", "c1", "d1")
	finish(p, 0, "a1", 2, mtchoice.Result{Kind: mtchoice.Failure})
	assert.Equal(t, p.Ejected(), 0)
	finish(p, 0, "a1", 1, mtchoice.Result{Kind: mtchoice.Failure})
	assert.Equal(t, p.Ejected(), 1)
	assert.Equal(t, pickMany(p, 1, 100)["a"], 0)

	probe := mtclock.Instant(500 * time.Millisecond)
	assert.Equal(t, pickMany(p, probe, 100)["a"], 1)
	finish(p, probe, "a1", 1, mtchoice.Result{Kind: mtchoice.Failure})
	assert.Equal(t, pickMany(p, probe+mtclock.Instant(999*time.Millisecond), 100)["a"], 0)

	probe += mtclock.Instant(time.Second)
	assert.Equal(t, pickMany(p, probe, 100)["a"], 1)
	finish(p, probe, "a1", 1, mtchoice.Result{Kind: mtchoice.Success})
	assert.Equal(t, p.Ejected(), 0)
	assert.Assert(t, pickMany(p, probe, 100)["a"] > 0)
}

// The daemon's own network fails, so every server seems to be down. At least half
// of the servers must remain eligible, so that requests are still tried.
func TestEjectionIsLimited(t *testing.T) {
	p := newPower("", "a1", "b1", "c1", "d1")
	for _, name := range []string{"a1", "b1", "c1", "d1"} {
		finish(p, 0, name, 10, mtchoice.Result{Kind: mtchoice.Failure})
	}
	assert.Equal(t, p.Ejected(), 2)
	_, ok := p.Pick(0)
	assert.Assert(t, ok)
}

func TestOverloadedServerIsAvoidedUntilRetryAfter(t *testing.T) {
	p := newPower("", "a1", "b1")
	finish(p, 0, "a1", 1, mtchoice.Result{Kind: mtchoice.Overloaded, RetryAfter: 100 * time.Millisecond})
	assert.Equal(t, pickMany(p, 1, 100)["a"], 0)
	assert.Assert(t, pickMany(p, mtclock.Instant(100*time.Millisecond), 100)["a"] > 0)
	finish(p, 0, "b1", 1, mtchoice.Result{Kind: mtchoice.Overloaded, RetryAfter: time.Hour})
	count := pickMany(p, 1, 100)
	assert.Equal(t, count["a"]+count["b"], 100, "a server must be picked even if all are to be avoided")
	assert.Assert(t, pickMany(p, mtclock.Instant(time.Second), 100)["b"] > 0)
}

func TestUpdateRetainsState(t *testing.T) {
	p := newPower("", "a1", "b1", "c1", "d1")
	finish(p, 0, "a1", 3, mtchoice.Result{Kind: mtchoice.Failure})
	p.Update(candidates("e1", "d1", "a1"))
	assert.Equal(t, p.Ejected(), 1)
	count := pickMany(p, 1, 200)
	assert.Equal(t, count["a"]+count["b"]+count["c"], 0)
}

// For any sequence of results, Pick returns a server, and no more servers are
// ejected after an update of the candidates than the limit allows.
func TestPowerOfTwoInvariants(t *testing.T) {
	names := []string{"a1", "a2", "b1", "b2", "c1"}
	rapid.Check(t, func(t *rapid.T) {
		p := newPower("a", names...)
		now := mtclock.Instant(0)
		inFlight := []mtid.Holder{}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				h, ok := p.Pick(now)
				assert.Assert(t, ok)
				p.Started(now, h)
				inFlight = append(inFlight, h)
			},
			"end": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				r := mtchoice.Result{
					Kind:       rapid.SampledFrom([]mtchoice.ResultKind{mtchoice.Success, mtchoice.Failure, mtchoice.Failure, mtchoice.Overloaded, mtchoice.Inconclusive}).Draw(t, "kind"),
					QueueTime:  time.Duration(rapid.IntRange(0, 50).Draw(t, "queue")) * time.Millisecond,
					RetryAfter: time.Duration(rapid.IntRange(-1, 5000).Draw(t, "after")) * time.Millisecond,
				}
				p.Ended(now, inFlight[0], r)
				inFlight = inFlight[1:]
				assert.Assert(t, p.Ejected() <= len(names)/2, "%d servers are ejected", p.Ejected())
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// observeAll records the outcomes of a pattern, in which 1 is a success.
func observeAll(e mtchoice.Estimator, pattern string) {
	for _, c := range pattern {
		e.Observe(c == '1')
	}
}

func TestEstimators(t *testing.T) {
	tests := []struct {
		name    string
		make    func() mtchoice.Estimator
		pattern string
		down    bool
		want    float64
	}{
		{"last success, failed", func() mtchoice.Estimator { return mtchoice.NewLastSuccess() }, "110", true, 0},
		{"last success, recovered", func() mtchoice.Estimator { return mtchoice.NewLastSuccess() }, "1101", false, 1},
		{"streak of two", func() mtchoice.Estimator { return mtchoice.NewStreak() }, "100", false, 1},
		{"streak of three", func() mtchoice.Estimator { return mtchoice.NewStreak() }, "1000", true, 0},
		{"average", func() mtchoice.Estimator { return mtchoice.NewAverage() }, "00", false, 0.25},
		{"average, down", func() mtchoice.Estimator { return mtchoice.NewAverage() }, "0000", true, 0.0625},
		{"status, stable", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "1111", false, 1},
		{"status, first transient period", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "1101", false, 0.5},
		{"status, stable again", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "11011111", false, 1},
		{"status, down", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "11000", true, 0},
		{"status, recovered from down", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "110001", false, 0},
		// Previous transient periods: 4 of 5 succeeded (the fifth success in a row
		// ends the period and isn't counted), then 2 of 5, ended by the third
		// failure in a row.
		{"status, weighted average", func() mtchoice.Estimator { return mtchoice.NewStatusIdentification() }, "1011111" + "0110001", false, (0.8 + 2*0.4) / 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := tt.make()
			observeAll(e, tt.pattern)
			assert.Equal(t, e.Down(), tt.down)
			got := e.Availability()
			assert.Assert(t, got > tt.want-0.001 && got < tt.want+0.001, "got %.4f, want %.4f", got, tt.want)
		})
	}
}

// BenchmarkPick measures one pick among the servers of a large service.
func BenchmarkPick(b *testing.B) {
	var many []mtchoice.Candidate
	for i := range 100 {
		many = append(many, mtchoice.Candidate{Holder: mtid.Holder{Daemon: mtid.Daemon(rune('a' + i)), Incarnation: 1}, Slots: 12})
	}
	p := mtchoice.NewPowerOfTwo(rand.New(rand.NewPCG(1, 2)), mtchoice.Options{UseQueueTimes: true}, mtchoice.NewAverage)
	p.Update(many)
	now := mtclock.Instant(0)
	for b.Loop() {
		now++
		h, _ := p.Pick(now)
		p.Started(now, h)
		p.Ended(now, h, mtchoice.Result{Kind: mtchoice.Success})
	}
}
