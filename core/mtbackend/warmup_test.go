package mtbackend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
)

// A server becomes cold at any moment, and its heartbeats arrive late and on older
// connections. Once it has been marked as possibly cold, it must not count as warm
// while it is cold.
func TestPossiblyColdServerIsNeverTreatedAsWarm(t *testing.T) {
	type sent struct {
		heartbeat mtbackend.Heartbeat
		arrives   mtclock.Instant
	}
	rapid.Check(t, func(t *rapid.T) {
		var tracker mtbackend.WarmupTracker
		var now, warmAt mtclock.Instant
		tracker.MarkPossiblyCold(now)
		var inTransit []sent
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond)
			for len(inTransit) > 0 && !inTransit[0].arrives.After(now) {
				tracker.ObserveHeartbeat(inTransit[0].arrives, inTransit[0].heartbeat)
				inTransit = inTransit[1:]
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0: // it becomes cold, and is marked as possibly cold
				warmAt = now.Add(3 * time.Second)
				tracker.MarkPossiblyCold(now)
			case 1, 2:
				late := time.Duration(rapid.IntRange(0, 900).Draw(t, "late")) * time.Millisecond
				arrives := now.Add(late)
				if len(inTransit) > 0 {
					arrives = max(arrives, inTransit[len(inTransit)-1].arrives)
				}
				inTransit = append(inTransit, sent{mtbackend.Heartbeat{Cold: max(warmAt.Sub(now), 0), OpenedAfter: now}, arrives})
			}
			if now.Before(warmAt) {
				assert.Assert(t, tracker.Cold(now), "cold until %s, now %s", time.Duration(warmAt), time.Duration(now))
			}
		}
	})
}

// A heartbeat that was in transit when the server became possibly cold must not confirm
// that it is warm; the next one does.
func TestHeartbeatInTransitDoesNotConfirmWarmState(t *testing.T) {
	var tracker mtbackend.WarmupTracker
	tracker.MarkPossiblyCold(100)
	tracker.ObserveHeartbeat(200, mtbackend.Heartbeat{OpenedAfter: 90})
	assert.Assert(t, tracker.Cold(200))
	tracker.ObserveHeartbeat(300, mtbackend.Heartbeat{OpenedAfter: 290, Cold: 50})
	assert.Assert(t, tracker.Cold(349) && !tracker.Cold(350))
}

func TestAllowance(t *testing.T) {
	a := mtbackend.Allowance{Factor: 1.5, Extra: 8}
	assert.Equal(t, a.Limit(0), 0)
	assert.Assert(t, a.Limit(8.5) <= 20 && a.Limit(8.5) >= 15, "%d", a.Limit(8.5))
	assert.Equal(t, mtbackend.Allowance{}.Limit(0.5), 1)
}
