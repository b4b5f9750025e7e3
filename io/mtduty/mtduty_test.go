package mtduty_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtduty"
)

// A task is stopped while its step waits for a call that takes a minute. Stop must
// cancel the step and return only after the step has, because the caller then
// closes the resources that the step uses.
func TestStopCancelsStepAndWaits(t *testing.T) {
	started := make(chan struct{})
	returned := false
	stop := mtduty.Every(time.Millisecond, func(ctx context.Context) {
		close(started)
		mtduty.Sleep(ctx, time.Minute)
		returned = true
	})
	<-started
	stop()
	assert.Assert(t, returned)
	stop()
}

// A task is stopped just as its next step is due, so that the tick and the stop
// are ready at the same time. A step that starts after the stop would use closed
// resources; without the check in the loop, it did so in half of the cases.
func TestNoStepStartsAfterStop(t *testing.T) {
	for range 200 {
		started := make(chan struct{}, 1)
		steps := 0
		stop := mtduty.Every(time.Microsecond, func(ctx context.Context) {
			steps++
			select {
			case started <- struct{}{}:
			default:
			}
			<-ctx.Done()
		})
		<-started
		stop()
		assert.Equal(t, steps, 1)
	}
}

func TestSleepReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, mtduty.Sleep(ctx, time.Microsecond))
	cancel()
	assert.Assert(t, !mtduty.Sleep(ctx, time.Minute))
}
