package mtattempt_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtattempt"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtpoison"
)

const start = mtclock.Instant(time.Hour)

func after(d time.Duration) mtclock.Instant { return start.Add(d) }

// A caller with a deadline of 3 s is refused at once and retries after 400 ms with the
// remaining time. Another caller's first try has a deadline of 2.6 s. The two requests
// differ only in the time at which their deadlines end.
func TestFirstArrivalMatchesRetryByDeadline(t *testing.T) {
	const plan, status = mtpoison.Fingerprint(1), mtpoison.Fingerprint(2)
	for _, test := range []struct {
		name        string
		fingerprint mtpoison.Fingerprint
		at          time.Duration
		deadline    time.Duration
		want        time.Duration
	}{
		{"second try", plan, 400 * time.Millisecond, 3 * time.Second, 0},
		{"second try that took longer to arrive", plan, 430 * time.Millisecond, 3030 * time.Millisecond, 0},
		{"new request with a shorter deadline", plan, 400 * time.Millisecond, 3200 * time.Millisecond, 400 * time.Millisecond},
		{"new request at the same time", plan, 0, 2600 * time.Millisecond, 0},
		{"another request", status, 400 * time.Millisecond, 3 * time.Second, 400 * time.Millisecond},
	} {
		a := mtattempt.New(8)
		assert.Equal(t, a.FirstArrival(after(0), plan, after(3*time.Second)), after(0))
		a.RecordFailure(after(time.Millisecond), plan, after(0), after(3*time.Second))
		assert.Equal(t, a.FirstArrival(after(test.at), test.fingerprint, after(test.deadline)), after(test.want), test.name)
	}
}

// Each failure is followed by at most one retry. The third try is still matched with
// the first one, and a new request with the same content after them is not.
func TestEachFailureMatchesOneRetry(t *testing.T) {
	a := mtattempt.New(8)
	deadline := after(3 * time.Second)
	a.RecordFailure(after(0), 1, after(0), deadline)
	first := a.FirstArrival(after(400*time.Millisecond), 1, deadline)
	assert.Equal(t, first, after(0))
	assert.Equal(t, a.FirstArrival(after(401*time.Millisecond), 1, deadline), after(401*time.Millisecond))
	a.RecordFailure(after(402*time.Millisecond), 1, first, deadline)
	assert.Equal(t, a.FirstArrival(after(time.Second), 1, deadline), after(0))
}

// Callers that never retry must not use up memory.
func TestMemoryIsBounded(t *testing.T) {
	a := mtattempt.New(3)
	for n := range 10 {
		a.RecordFailure(after(0), mtpoison.Fingerprint(n), after(0), after(time.Second))
	}
	assert.Equal(t, a.FirstArrival(after(1), 0, after(time.Second)), after(1), "the oldest try is still remembered")
	assert.Equal(t, a.FirstArrival(after(1), 9, after(time.Second)), after(0))
	a.RecordFailure(after(2*time.Second), 11, after(2*time.Second), after(3*time.Second))
	assert.Equal(t, a.FirstArrival(after(2*time.Second), 8, after(time.Second)), after(2*time.Second), "a try is remembered past its deadline")
}
