package mtgate_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	iogate "magnoliaturn/io/mtgate"
	"magnoliaturn/io/mttime"
)

// jumpingClock is a clock whose present time is ahead of the elapsed one by lead.
type jumpingClock struct{ now, lead mtclock.Instant }

func (c *jumpingClock) Now() mtclock.Instant    { return c.now + c.lead }
func (c *jumpingClock) Steady() mtclock.Instant { return c.now }

// Guards against an overloaded server that gets more than it takes because the clock jumps ahead
// just before it names another limit.
func TestClockJumpBetweenTwoLimitsStartsNothing(t *testing.T) {
	clock := &jumpingClock{now: mtclock.Instant(time.Hour)}
	admission := iogate.New(clock, mtgate.NewUrgent(), mtgate.Limits{Waiting: 16, MaxWaitFraction: 1}, func(mtid.Point, mtid.Point) {})
	admission.Resize(4, 4)
	admission.LimitRate(0.5)
	admit := func() error {
		_, err := admission.Admit(context.Background(), mtgate.Ticket{Objective: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second)})
		return err
	}
	assert.NilError(t, admit())
	clock.lead = mtclock.Instant(10 * time.Second)
	admission.LimitRate(0.51)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(admit(), &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseQuota)
}

// A server's only slot is occupied for the whole test, and nothing else happens at its
// gate. Requests that wait there must be refused one after the other, each as soon as it
// can't end in time, not only at the next event.
func TestOverdueRequestsAreRefusedWithoutOtherEvents(t *testing.T) {
	clock := mttime.New()
	admission := iogate.New(clock, mtgate.NewFIFO(), mtgate.Limits{Waiting: 16, MaxWaitFraction: 1}, func(mtid.Point, mtid.Point) {})
	admission.Resize(1, 1)
	end, err := admission.Admit(context.Background(), mtgate.Ticket{Deadline: clock.Now().Add(time.Hour)})
	assert.NilError(t, err)
	defer end()
	refused := make(chan time.Duration)
	waits := []time.Duration{900 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}
	for i, wait := range waits {
		go func() {
			_, err := admission.Admit(context.Background(), mtgate.Ticket{Deadline: clock.Now().Add(wait)})
			var refusal *mtreply.RefusedError
			assert.Check(t, errors.As(err, &refusal), "%v", err)
			refused <- wait
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, waiting := admission.Busy(); waiting > i {
				return poll.Success()
			}
			return poll.Continue("the request does not wait yet")
		}, poll.WithDelay(time.Millisecond))
	}
	for _, want := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		assert.Equal(t, <-refused, want)
	}
}
