package mtgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtreply"
)

// lookup returns a ticket that should be answered within the given time.
func lookup(n mtgate.Number, now mtclock.Instant, within time.Duration) mtgate.Ticket {
	return mtgate.Ticket{Number: n, Class: "look", Objective: now.Add(within), Deadline: now.Add(2 * within)}
}

// refusalErrors returns the refusals among the effects.
func refusalErrors(effects []mtgate.Effect) []*mtreply.RefusedError {
	var out []*mtreply.RefusedError
	for _, e := range effects {
		if r, ok := e.(mtgate.Refuse); ok {
			out = append(out, r.Err)
		}
	}
	return out
}

// Guards against an overloaded server that gets more than it takes: for any sequence of calls and
// limits, the starts in each four seconds under a limit stay below it and a short burst.
func TestStartsStayWithinServersLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := urgentGate(rapid.IntRange(1, 9).Draw(t, "slots"))
		var now mtclock.Instant
		var starts []mtclock.Instant // under the limit in force
		var running []mtgate.Number
		limit := mtbackend.Unlimited
		take := func(effects []mtgate.Effect) {
			for _, n := range started(effects) {
				running = append(running, n)
				starts = append(starts, now)
				within := 0
				for _, s := range starts {
					if s.After(now.Add(-4 * time.Second)) {
						within++
					}
				}
				assert.Assert(t, limit == mtbackend.Unlimited || float64(within) <= 4.25*max(float64(limit), 0.25)+1, "%d starts in 4 s at %v a second", within, limit)
			}
		}
		for n := mtgate.Number(1); n < 200; n++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				take(gate.Offer(now, lookup(n, now, time.Duration(rapid.IntRange(50, 4000).Draw(t, "left"))*time.Millisecond)))
			case 4, 5, 6:
				if len(running) > 0 {
					first := running[0]
					running = running[1:]
					take(gate.Done(now, first))
				}
			case 7, 8:
				take(gate.Expire(now))
			case 9:
				limit, starts = mtbackend.Rate(rapid.SampledFrom([]float64{0, 0.1, 0.5, 3, 20.3, 1e300}).Draw(t, "limit")), nil
				take(gate.LimitRate(now, limit))
				if limit > 1000 {
					limit = mtbackend.Unlimited
				}
			}
		}
	})
}

// Guards against a limiter that serves less than the server takes: under more load than that,
// close to all of it is used.
func TestServersLimitIsUsed(t *testing.T) {
	for _, limit := range []mtbackend.Rate{0.5, 5.5, 20.3} {
		gate := urgentGate(9)
		gate.LimitRate(0, limit)
		count := 0
		take := func(now mtclock.Instant, effects []mtgate.Effect) {
			for _, n := range started(effects) {
				count++
				gate.Done(now, n)
			}
		}
		const period = 20 * time.Second
		n := mtgate.Number(0)
		for now := mtclock.Instant(0); now < mtclock.Instant(period); now = now.Add(10 * time.Millisecond) {
			n++
			take(now, gate.Expire(now))
			take(now, gate.Offer(now, lookup(n, now, 4*time.Second)))
		}
		want := float64(limit) * period.Seconds()
		assert.Assert(t, float64(count) >= 0.95*want && float64(count) <= 1.1*want+1, "%d starts at %v a second", count, limit)
	}
}

// Guards against requests that wait until their deadlines for a server that has lowered its
// limit: those that can't start in time are refused at once, and told to return one by one.
func TestLoweredLimitRefusesWaitingRequests(t *testing.T) {
	gate := urgentGate(1)
	gate.Offer(0, lookup(1, 0, 4*time.Second))
	for n := mtgate.Number(2); n <= 9; n++ {
		assert.Equal(t, len(gate.Offer(0, lookup(n, 0, 4*time.Second))), 0)
	}
	refused := refusalErrors(gate.LimitRate(0, 1))
	assert.Assert(t, len(refused) >= 3, "%d refused", len(refused))
	last := time.Duration(0)
	for _, r := range refused {
		assert.Equal(t, r.Cause, mtreply.CauseQuota)
		assert.Assert(t, r.RetryAfter >= min(last+time.Second, 5*time.Second), "returns after %s and %s", last, r.RetryAfter)
		last = r.RetryAfter
	}
}

// Guards against a request that only the server's limit delays and that nothing starts.
func TestNextCoversServersLimit(t *testing.T) {
	for name, alone := range map[string]bool{"ordinary": false, "alone": true} {
		t.Run(name, func(t *testing.T) {
			gate := urgentGate(9)
			gate.LimitRate(0, 1)
			for _, n := range started(gate.Offer(0, lookup(1, 0, 4*time.Second))) {
				gate.Done(0, n)
			}
			second := lookup(2, 0, 4*time.Second)
			second.Alone = alone
			assert.Equal(t, len(gate.Offer(0, second)), 0)
			next, ok := gate.Next()
			assert.Assert(t, ok && next.Before(at(1100*time.Millisecond)), "next at %s", time.Duration(next))
			assert.DeepEqual(t, started(gate.Expire(next)), []mtgate.Number{2})
		})
	}
}

// A request that the limit delays past its objective is refused on arrival, with its cause.
func TestRequestBeyondServersLimitIsRefusedOnArrival(t *testing.T) {
	gate := urgentGate(9)
	gate.LimitRate(0, 0.5)
	gate.Offer(0, lookup(1, 0, time.Second))
	refused := refusalErrors(gate.Offer(0, lookup(2, 0, time.Second)))
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Cause, mtreply.CauseQuota)
	assert.Assert(t, refused[0].RetryAfter >= time.Second, "retry after %s", refused[0].RetryAfter)
}

// Guards against a limit whose end lets nothing start for as long as the limit would have.
func TestEndOfLimitStartsWaitingRequests(t *testing.T) {
	gate := urgentGate(9)
	gate.LimitRate(0, 0.5)
	gate.Offer(0, lookup(1, 0, 8*time.Second))
	gate.Offer(0, lookup(2, 0, 8*time.Second))
	assert.DeepEqual(t, started(gate.LimitRate(0, mtbackend.Unlimited)), []mtgate.Number{2})
	assert.DeepEqual(t, started(gate.Offer(0, lookup(3, 0, time.Second))), []mtgate.Number{3})
}

// Guards against callers that all return at once because the server names another limit with each
// answer.
func TestReturnsStayApartWhileLimitChanges(t *testing.T) {
	gate := urgentGate(9)
	last := time.Duration(0)
	for n := mtgate.Number(1); n <= 9; n++ {
		gate.LimitRate(0, 2-mtbackend.Rate(n)/100)
		refused := refusalErrors(gate.Offer(0, lookup(n, 0, 100*time.Millisecond)))
		if len(refused) == 0 {
			continue // it runs
		}
		if last > 0 {
			assert.Assert(t, refused[0].RetryAfter >= min(last+500*time.Millisecond, 5*time.Second), "returns after %s and %s", last, refused[0].RetryAfter)
		}
		last = refused[0].RetryAfter
	}
	assert.Assert(t, last > 3*time.Second, "the last one returns after %s", last)
}
