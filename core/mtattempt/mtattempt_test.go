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

// A caller with a deadline of three seconds is refused at once and asks again after
// 400 ms, with what is left. Another caller gives a deadline of 2.6 s at its first
// try. They look alike but for when their deadlines end.
func TestASecondTryIsToldFromAFreshRequest(t *testing.T) {
	const plan, status = mtpoison.Fingerprint(1), mtpoison.Fingerprint(2)
	for _, test := range []struct {
		name     string
		print    mtpoison.Fingerprint
		at       time.Duration
		deadline time.Duration
		want     time.Duration
	}{
		{"second try", plan, 400 * time.Millisecond, 3 * time.Second, 0},
		{"second try that was on its way for longer", plan, 430 * time.Millisecond, 3030 * time.Millisecond, 0},
		{"fresh, with a shorter deadline", plan, 400 * time.Millisecond, 3200 * time.Millisecond, 400 * time.Millisecond},
		{"fresh, at the same time", plan, 0, 2600 * time.Millisecond, 0},
		{"another request", status, 400 * time.Millisecond, 3 * time.Second, 400 * time.Millisecond},
	} {
		a := mtattempt.New(8)
		assert.Equal(t, a.Recall(after(0), plan, after(3*time.Second)), after(0))
		a.Failed(after(time.Millisecond), plan, after(0), after(3*time.Second))
		assert.Equal(t, a.Recall(after(test.at), test.print, after(test.deadline)), after(test.want), test.name)
	}
}

// One refusal is followed by one second try. The third try knows the first one too,
// and a fresh request for the same that comes after them is fresh.
func TestEachFailureAccountsForOneTry(t *testing.T) {
	a := mtattempt.New(8)
	deadline := after(3 * time.Second)
	a.Failed(after(0), 1, after(0), deadline)
	first := a.Recall(after(400*time.Millisecond), 1, deadline)
	assert.Equal(t, first, after(0))
	assert.Equal(t, a.Recall(after(401*time.Millisecond), 1, deadline), after(401*time.Millisecond))
	a.Failed(after(402*time.Millisecond), 1, first, deadline)
	assert.Equal(t, a.Recall(after(time.Second), 1, deadline), after(0))
}

// Callers that never ask again must not use up memory.
func TestWhatIsRememberedIsBounded(t *testing.T) {
	a := mtattempt.New(3)
	for n := range 10 {
		a.Failed(after(0), mtpoison.Fingerprint(n), after(0), after(time.Second))
	}
	assert.Equal(t, a.Recall(after(1), 0, after(time.Second)), after(1), "the oldest is still there")
	assert.Equal(t, a.Recall(after(1), 9, after(time.Second)), after(0))
	a.Failed(after(2*time.Second), 11, after(2*time.Second), after(3*time.Second))
	assert.Equal(t, a.Recall(after(2*time.Second), 8, after(time.Second)), after(2*time.Second), "it is past its deadline")
}
