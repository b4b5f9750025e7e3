package mtgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
)

// A cold server crashes if it receives more requests in a second than it can handle.
// For any sequence of calls, the starts in each second stay within the limit,
// including those from before the server became cold.
func TestStartsStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		gate := urgentGate(rapid.IntRange(1, 9).Draw(t, "slots"))
		var now mtclock.Instant
		var starts []mtclock.Instant
		var running []mtgate.Number
		limited := false
		take := func(effects []mtgate.Effect) {
			for _, n := range started(effects) {
				running = append(running, n)
				starts = append(starts, now)
				if !limited {
					continue
				}
				within := 0
				for _, s := range starts {
					if s.After(now.Add(-time.Second)) {
						within++
					}
				}
				assert.Assert(t, within <= limit, "%d starts in the second before %s", within, time.Duration(now))
			}
		}
		for n := mtgate.Number(1); n < 120; n++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				left := time.Duration(rapid.IntRange(50, 4000).Draw(t, "left")) * time.Millisecond
				take(gate.Offer(now, mtgate.Ticket{Number: n, Class: "look", Objective: now.Add(left), Deadline: now.Add(2 * left), Nested: n%5 == 0}))
			case 3:
				if len(running) > 0 {
					first := running[0]
					running = running[1:]
					take(gate.Done(now, first))
				}
			case 4:
				take(gate.Expire(now))
			case 5:
				limited = rapid.Bool().Draw(t, "limited")
				if limited {
					take(gate.LimitStartRate(now, mtgate.StartRate(limit)))
				} else {
					take(gate.LimitStartRate(now, 0))
				}
			}
		}
	})
}

// While slots are free, a request waits only because of the start rate limit. The end of
// another request would not start it, so unless Next returns a time, it waits until it
// expires.
func TestNextCoversStartRateLimit(t *testing.T) {
	gate := urgentGate(9)
	gate.LimitStartRate(0, 1)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(5 * time.Second), Deadline: at(9 * time.Second)}
	}
	assert.DeepEqual(t, started(gate.Offer(0, ticket(1))), []mtgate.Number{1})
	assert.Equal(t, len(started(gate.Offer(0, ticket(2)))), 0)
	next, ok := gate.Next()
	assert.Assert(t, ok && !next.Before(at(time.Second)) && next.Before(at(1500*time.Millisecond)), "next at %s", time.Duration(next))
	assert.DeepEqual(t, started(gate.Expire(next)), []mtgate.Number{2})
}

// A request that the start rate limit delays past its objective is refused on arrival,
// with the time after which it can start.
func TestRequestsDelayedPastObjectiveAreRefusedOnArrival(t *testing.T) {
	gate := urgentGate(9)
	gate.LimitStartRate(0, 1)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(1500 * time.Millisecond), Deadline: at(9 * time.Second)}
	}
	gate.Offer(0, ticket(1))
	assert.Equal(t, len(gate.Offer(0, ticket(2))), 0)
	effects := gate.Offer(0, ticket(3))
	assert.Equal(t, len(effects), 1)
	refused, ok := effects[0].(mtgate.Refuse)
	assert.Assert(t, ok)
	assert.Assert(t, refused.Err.RetryAfter >= time.Second, "retry after %s", refused.Err.RetryAfter)
}

// A daemon restarts while its server is cold. The starts of the previous process in
// the last second may already use up the server's limit.
func TestStartsBeforeRestartCount(t *testing.T) {
	gate := urgentGate(9)
	gate.AssumeUnknownStarts(0)
	gate.LimitStartRate(0, 3)
	ticket := mtgate.Ticket{Number: 1, Class: "look", Objective: at(5 * time.Second), Deadline: at(9 * time.Second)}
	assert.Equal(t, len(started(gate.Offer(0, ticket))), 0)
	assert.Equal(t, len(started(gate.Expire(at(900*time.Millisecond)))), 0)
	assert.Equal(t, len(started(gate.Expire(at(1200*time.Millisecond)))), 1)
}

// A closed gate refuses waiting and new requests, lets running ones end, and accepts
// requests again after Reopen.
func TestCloseRefusesWaitingAndNewRequests(t *testing.T) {
	gate := urgentGate(1)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(5 * time.Second), Deadline: at(9 * time.Second)}
	}
	gate.Offer(0, ticket(1))
	gate.Offer(0, ticket(2))
	assert.Equal(t, refusals(gate.Close(0)), 1)
	assert.Equal(t, refusals(gate.Offer(0, ticket(3))), 1)
	assert.Equal(t, len(gate.Done(0, 1)), 0)
	gate.Reopen(0)
	assert.DeepEqual(t, started(gate.Offer(0, ticket(4))), []mtgate.Number{4})
}

func refusals(effects []mtgate.Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(mtgate.Refuse); ok {
			n++
		}
	}
	return n
}

// A server's machine is briefly three times slower than usual. A request that can no
// longer end in time behind others there must be refused at once, while it can still
// go to another server. An estimate from the average service time alone would admit it
// and refuse it only after it has waited too long.
func TestSlowdownRefusesLateRequests(t *testing.T) {
	gate := urgentGate(1)
	gate.SetExpectedService("", "look", 200*time.Millisecond)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(900 * time.Millisecond), Deadline: at(2500 * time.Millisecond)}
	}
	gate.Offer(0, ticket(1))
	assert.Equal(t, refusals(gate.Offer(0, ticket(2))), 0, "in time at the usual speed")
	gate.SetSlowdown(0, 3)
	assert.Equal(t, refusals(gate.Offer(0, ticket(3))), 1)
	gate.SetSlowdown(0, 1)
	assert.Equal(t, refusals(gate.Offer(0, ticket(4))), 0)
}
