package mtretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtretry"
)

const (
	service = mtid.Service("pickups")
	window  = 10 * time.Second
)

var limits = mtretry.Limits{Ratio: 0.2, Extra: 20, Window: window}

// event is a repeat or a request at one of the daemons.
type event struct {
	at                     mtclock.Instant
	request, retry, nested bool
}

// checkWindows checks the limits in each window that begins just before a repeat. Nested repeats
// after the last retry of a window may exceed them, because they aren't refused.
func checkWindows(t assert.TestingT, events []event) {
	for _, first := range events {
		if !first.retry && !first.nested {
			continue
		}
		var requests, repeats, since int
		begin := first.at - 1
		for _, e := range events {
			shifted := e.at.Add(window / 2)
			if e.request && shifted.After(begin) && !shifted.After(begin.Add(window)) {
				requests++
			}
			if !e.at.After(begin) || e.at.After(begin.Add(window)) {
				continue
			}
			switch {
			case e.retry:
				repeats, since = repeats+since+1, 0
			case e.nested:
				since++
			}
		}
		allowed := limits.Ratio*float64(requests) + float64(limits.Extra)
		assert.Assert(t, repeats == 0 || float64(repeats) <= allowed, "%d repeats in the window after %d ms, %d requests", repeats, begin.Sub(0).Milliseconds(), requests)
	}
}

// checkStart checks the limits in each window that began before the first event: as many requests
// as there have been count.
func checkStart(t assert.TestingT, events []event) {
	requests, repeats, since := 0, 0, 0
	for _, e := range events {
		switch {
		case e.at.Sub(events[0].at) >= window:
			return
		case e.request:
			requests++
		case e.nested:
			since++
		case e.retry:
			repeats, since = repeats+since+1, 0
			allowed := limits.Ratio*float64(requests) + float64(limits.Extra)
			assert.Assert(t, float64(repeats) <= allowed, "%d repeats after the start, %d requests", repeats, requests)
		}
	}
}

// passes are times between events, of which some end just inside a bin or window.
var passes = []time.Duration{time.Millisecond, window / 40, window / 20, window / 4, window/2 - 1, window - window/20 - 1, window - 1, window}

// For any order of events, all daemons together keep the limits in every window.
func TestQuotasKeepLimitsTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 6).Draw(t, "daemons")
		start := rapid.SampledFrom([]mtretry.Start{mtretry.Restart, mtretry.FirstStart}).Draw(t, "start")
		quotas := make([]*mtretry.Quota, daemons)
		for i := range quotas {
			quotas[i] = mtretry.NewQuota(limits, start)
		}
		now := mtclock.Instant(rapid.Int64Range(0, int64(window)).Draw(t, "start"))
		var events []event
		pick := func(t *rapid.T) int { return rapid.IntRange(0, daemons-1).Draw(t, "daemon") }
		request := func(d, number int) {
			for range number {
				quotas[d].RecordRequest(now, service)
				events = append(events, event{at: now, request: true})
			}
		}
		for d := range daemons {
			request(d, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				request(pick(t), rapid.SampledFrom([]int{1, 30, 200}).Draw(t, "number"))
			},
			"steady requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "bins") {
					for d := range daemons {
						request(d, 10)
					}
					now = now.Add(window / 20)
				}
			},
			"retries": func(t *rapid.T) {
				d, prospect := pick(t), rapid.SampledFrom([]mtretry.Prospect{mtretry.InTime, mtretry.Late, mtretry.Nested}).Draw(t, "prospect")
				for quotas[d].Spend(now, service, daemons, prospect) {
					events = append(events, event{at: now, retry: true})
				}
			},
			"nested repeat": func(t *rapid.T) {
				quotas[pick(t)].RecordNested(now, service, true)
				events = append(events, event{at: now, nested: true})
			},
			"restart": func(t *rapid.T) { quotas[pick(t)] = mtretry.NewQuota(limits, mtretry.Restart) },
			"pass": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom(passes).Draw(t, "time"))
			},
			"": func(*rapid.T) {},
		})
		checkWindows(t, events)
		checkStart(t, events)
	})
}

// load is what one daemon of several gets in a second, for one service. After two windows without
// trouble its servers reject half of the tries for some seconds.
type load struct {
	requests, nested, late int // first tries of callers, of servers, and of callers whose objective has passed
	repeated               int // nested calls that are part of repeats
	seconds                int // for which servers reject tries
}

// losses counts the calls of a load that ended rejected, and the repeats of the service.
type losses struct{ requests, nested, late, repeats int }

// play tries each call of a load three times at most.
func play(l load, spend func(now mtclock.Instant, q *mtretry.Quota, p mtretry.Prospect) bool) losses {
	const steps = 100
	q := mtretry.NewQuota(limits, mtretry.Restart)
	random := rand.New(rand.NewPCG(1, 2))
	var lost losses
	for step := range (l.seconds + 20) * steps {
		now := mtclock.Instant(0).Add(time.Duration(step) * time.Second / steps)
		call := func(rate int, prospect mtretry.Prospect, rejected *int) {
			if step*rate/steps == (step+1)*rate/steps {
				return
			}
			repeat := prospect == mtretry.Nested && step*l.repeated/steps < (step+1)*l.repeated/steps
			if prospect == mtretry.Nested {
				q.RecordNested(now, service, repeat)
			} else {
				q.RecordRequest(now, service)
			}
			for n := 1; step >= 20*steps && random.IntN(2) == 0; n++ {
				if n == 3 || !spend(now, q, prospect) {
					*rejected++
					return
				}
			}
		}
		call(l.requests, mtretry.InTime, &lost.requests)
		call(l.nested, mtretry.Nested, &lost.nested)
		call(l.late, mtretry.Late, &lost.late)
	}
	lost.repeats = q.Counts().Retries + q.Counts().NestedRepeats
	return lost
}

// prioritized spends the quota of one of ten daemons by prospect, and firstCome regardless of it.
func prioritized(now mtclock.Instant, q *mtretry.Quota, p mtretry.Prospect) bool {
	return q.Spend(now, service, 10, p)
}

func firstCome(now mtclock.Instant, q *mtretry.Quota, _ mtretry.Prospect) bool {
	return q.Spend(now, service, 10, mtretry.Nested)
}

// Guards against quotas that are left unused, exceeded or spent on calls that gain least, while
// servers reject half of what they get for some seconds.
func TestQuotaUnderRejections(t *testing.T) {
	tests := []struct {
		name    string
		load    load
		repeats int // at least
	}{
		{"no nested calls, briefly", load{requests: 20, seconds: 3}, 25},
		{"no nested calls, for most of a window", load{requests: 20, seconds: 8}, 35},
		{"some nested calls", load{requests: 20, nested: 10, seconds: 8}, 35},
		{"mostly nested calls", load{requests: 10, nested: 30, seconds: 8}, 17},
		{"late requests", load{requests: 20, late: 10, seconds: 8}, 50},
		{"late requests and nested calls", load{requests: 20, nested: 10, late: 10, seconds: 8}, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, other := play(tt.load, prioritized), play(tt.load, firstCome)
			l := limits.Ratio*float64(tt.load.requests+tt.load.late)*window.Seconds() + float64(limits.Extra)/10
			assert.Assert(t, got.repeats >= tt.repeats && float64(got.repeats) <= l, "%+v", got)
			assert.Assert(t, tt.load.nested == 0 || got.nested < other.nested, "%+v, first come %+v", got, other)
			assert.Assert(t, tt.load.nested > 0 || tt.load.late == 0 || got.requests < other.requests, "%+v, first come %+v", got, other)
		})
	}
}

// Guards against retries on top of the repeats that other services' retried runs cause.
func TestNestedRepeatsUseUpTheQuota(t *testing.T) {
	got := play(load{requests: 10, nested: 30, repeated: 3, seconds: 8}, prioritized)
	assert.Equal(t, got.repeats, 3*28, "retries beside nested repeats")
}

// quotaAfter returns a quota after two windows with ten requests a second, and the time.
func quotaAfter(l mtretry.Limits) (*mtretry.Quota, mtclock.Instant) {
	q, now := mtretry.NewQuota(l, mtretry.Restart), mtclock.Instant(time.Hour)
	for range 200 {
		q.RecordRequest(now, service)
		now = now.Add(window / 100)
	}
	return q, now
}

// spendAll returns how many retries a quota allows at one moment.
func spendAll(q *mtretry.Quota, now mtclock.Instant, daemons int) int {
	n := 0
	for q.Spend(now, service, daemons, mtretry.InTime) {
		n++
	}
	return n
}

// Guards against daemons that each take all of the extra retries.
func TestExtraRetriesAreShared(t *testing.T) {
	for daemons, want := range map[int]int{1: 20, 4: 5, 10: 2, 30: 0} {
		q := mtretry.NewQuota(limits, mtretry.Restart)
		q.RecordRequest(0, service)
		assert.Equal(t, spendAll(q, mtclock.Instant(4*window), daemons), want, "%d daemons", daemons)
	}
}

// Guards against repeats forgotten too early, and requests that count though they came too late.
func TestQuotaAtEdgesOfWindow(t *testing.T) {
	const bin = window / 20
	tests := []struct {
		requests, spends time.Duration // after the first retries
		want             int
	}{
		{window + bin, window - 1, 0},
		{window + bin, window + bin, limits.Extra},
		{window/2 - 3*bin, window - bin, limits.Extra},
		{window / 2, window - bin, 0},
	}
	for _, tt := range tests {
		q, start := mtretry.NewQuota(limits, mtretry.Restart), mtclock.Instant(time.Hour)
		q.RecordRequest(start.Add(-4*window), service)
		assert.Equal(t, spendAll(q, start, 1), limits.Extra)
		for range 1000 {
			if tt.requests <= tt.spends {
				q.RecordRequest(start.Add(tt.requests), service)
			}
		}
		got := spendAll(q, start.Add(tt.spends), 1)
		assert.Equal(t, got, tt.want, "requests after %s, retries after %s", tt.requests, tt.spends)
	}
}

// Guards against a full share of the extra retries at a daemon that doesn't know the others.
func TestNoExtraRetriesWithoutRoster(t *testing.T) {
	q := mtretry.NewQuota(limits, mtretry.Restart)
	q.RecordRequest(0, service)
	assert.Equal(t, spendAll(q, mtclock.Instant(4*window), 0), 0)
}

// Guards against a new deployment without retries until a window has passed.
func TestRetriesAfterFirstStart(t *testing.T) {
	for start, want := range map[mtretry.Start]int{mtretry.Restart: 0, mtretry.FirstStart: 20 + 18} {
		q := mtretry.NewQuota(limits, start)
		for range 100 {
			q.RecordRequest(mtclock.Instant(time.Second), service)
		}
		assert.Equal(t, spendAll(q, mtclock.Instant(4*time.Second), 1), want)
	}
}

// Guards against a daemon that spends its share once more after each restart.
func TestNoExtraRetriesRightAfterStart(t *testing.T) {
	q := mtretry.NewQuota(limits, mtretry.Restart)
	q.RecordRequest(0, service)
	assert.Equal(t, spendAll(q, mtclock.Instant(window), 1), 0)
}

// Guards against a clock that goes back and forgets, or counts again, what was spent.
func TestClockThatGoesBackAllowsNothingMore(t *testing.T) {
	q, now := quotaAfter(limits)
	assert.Assert(t, spendAll(q, now, 1) > 0)
	assert.Equal(t, spendAll(q, now.Add(-window), 1), 0)
	assert.Equal(t, spendAll(q, now, 1), 0)
}

// Guards against retries that stay forbidden after a clock has gone far ahead.
func TestQuotaAfterLongPause(t *testing.T) {
	q, now := quotaAfter(limits)
	spendAll(q, now, 1)
	assert.Equal(t, spendAll(q, now.Add(time.Hour), 1), limits.Extra)
}

// Guards against limits that are in force without a ratio or a window.
func TestLimitsNeedRatioAndWindow(t *testing.T) {
	assert.Assert(t, limits.Set())
	assert.Assert(t, !mtretry.Limits{Ratio: 0.2, Extra: 5}.Set())
	assert.Assert(t, !mtretry.Limits{Extra: 5, Window: window}.Set())
}
