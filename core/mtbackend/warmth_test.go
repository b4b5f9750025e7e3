package mtbackend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

// A server becomes cold at any moment, and its beats come late and on connections of
// before: a daemon that was told to doubt never takes it for warm while it is cold.
func TestADoubtedServerIsNeverTakenForWarm(t *testing.T) {
	type sent struct {
		beat    mtbackend.Beat
		arrives mtclock.Instant
	}
	rapid.Check(t, func(t *rapid.T) {
		var warmth mtbackend.Warmth
		var now, warmAt mtclock.Instant
		warmth.Doubt(now)
		var under []sent
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			for len(under) > 0 && !under[0].arrives.After(now) {
				warmth.Hear(under[0].arrives, under[0].beat)
				under = under[1:]
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // it becomes cold, and something tells that it may have
				warmAt = now.Add(3 * time.Second)
				warmth.Doubt(now)
			case 1, 2:
				late := time.Duration(rapid.IntRange(0, 900).Draw(t, "late")) * time.Millisecond
				arrives := now.Add(late)
				if len(under) > 0 {
					arrives = max(arrives, under[len(under)-1].arrives)
				}
				under = append(under, sent{mtbackend.Beat{Cold: max(warmAt.Sub(now), 0), Connected: now}, arrives})
			}
			if now.Before(warmAt) {
				assert.Assert(t, warmth.Cold(now), "cold until %s, now %s", time.Duration(warmAt), time.Duration(now))
			}
		}
	})
}

// A beat that was on its way when the doubt arose ends nothing; the next one does.
func TestABeatOfBeforeTheDoubtEndsNothing(t *testing.T) {
	var warmth mtbackend.Warmth
	warmth.Doubt(100)
	warmth.Hear(200, mtbackend.Beat{Connected: 90})
	assert.Assert(t, warmth.Cold(200))
	warmth.Hear(300, mtbackend.Beat{Connected: 290, Cold: 50})
	assert.Assert(t, warmth.Cold(349) && !warmth.Cold(350))
}

func TestAllowance(t *testing.T) {
	a := mtbackend.Allowance{Factor: 1.5, Extra: 8}
	assert.Equal(t, a.Most(0), 0)
	assert.Assert(t, a.Most(8.5) <= 20 && a.Most(8.5) >= 15, "%d", a.Most(8.5))
	assert.Equal(t, mtbackend.Allowance{}.Most(0.5), 1)
}
