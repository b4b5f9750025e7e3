package mtgate_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
)

// A cold server is sent more requests in a second than it bears, and crashes: whatever
// comes, ends, is given up or made room for, no second holds more starts than the pace,
// those of before the server became cold included.
func TestNoSecondHoldsMoreStartsThanThePace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pace := rapid.IntRange(1, 6).Draw(t, "pace")
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
				assert.Assert(t, within <= pace, "%d starts in the second before %s", within, time.Duration(now))
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
					take(gate.Limit(now, mtgate.Pace(pace)))
				} else {
					take(gate.Limit(now, 0))
				}
			}
		}
	})
}

// A request waits for the pace alone, beside free slots: nothing ends that could start it,
// and it would wait until its time was over.
func TestThePaceWakesWhatWaitsForIt(t *testing.T) {
	gate := urgentGate(9)
	gate.Limit(0, 1)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(5 * time.Second), Deadline: at(9 * time.Second)}
	}
	assert.DeepEqual(t, started(gate.Offer(0, ticket(1))), []mtgate.Number{1})
	assert.Equal(t, len(started(gate.Offer(0, ticket(2)))), 0)
	next, ok := gate.Next()
	assert.Assert(t, ok && !next.Before(at(time.Second)) && next.Before(at(1500*time.Millisecond)), "next at %s", time.Duration(next))
	assert.DeepEqual(t, started(gate.Expire(next)), []mtgate.Number{2})
}

// Who would wait for the pace until its objective has passed is refused on arrival, with
// the time after which there is room.
func TestWhatThePaceMakesLateIsRefusedAtOnce(t *testing.T) {
	gate := urgentGate(9)
	gate.Limit(0, 1)
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

// A daemon is restarted beside a cold server: the second of before the restart may hold all
// that the server bears.
func TestARestartedGateCountsTheSecondBefore(t *testing.T) {
	gate := urgentGate(9)
	gate.Unseen(0)
	gate.Limit(0, 3)
	ticket := mtgate.Ticket{Number: 1, Class: "look", Objective: at(5 * time.Second), Deadline: at(9 * time.Second)}
	assert.Equal(t, len(started(gate.Offer(0, ticket))), 0)
	assert.Equal(t, len(started(gate.Expire(at(900*time.Millisecond)))), 0)
	assert.Equal(t, len(started(gate.Expire(at(1200*time.Millisecond)))), 1)
}

// A closed gate hands back what waits, takes nothing new, lets what runs end, and opens
// again.
func TestAClosedGateHandsBackWhatWaits(t *testing.T) {
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

// A server's machine becomes slow for a moment, three times as slow as usual. What waits
// behind others there can't be in time any more and is refused at once, while it can go
// elsewhere; judged by the mean it was found late only when its time was over.
func TestAMomentOfSlownessRefusesWhatItMakesLate(t *testing.T) {
	gate := urgentGate(1)
	gate.Expect("", "look", 200*time.Millisecond)
	ticket := func(n mtgate.Number) mtgate.Ticket {
		return mtgate.Ticket{Number: n, Class: "look", Objective: at(900 * time.Millisecond), Deadline: at(2500 * time.Millisecond)}
	}
	gate.Offer(0, ticket(1))
	assert.Equal(t, refusals(gate.Offer(0, ticket(2))), 0, "in time as usual")
	gate.Slow(0, 3)
	assert.Equal(t, refusals(gate.Offer(0, ticket(3))), 1)
	gate.Slow(0, 1)
	assert.Equal(t, refusals(gate.Offer(0, ticket(4))), 0)
}
