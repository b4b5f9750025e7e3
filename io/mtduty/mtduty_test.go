package mtduty_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtduty"
)

// A daemon stops while a step waits for a call that would take a minute. The
// stop must end the step and return only then: what the step uses is closed
// right after.
func TestStopEndsTheStep(t *testing.T) {
	begun := make(chan struct{})
	ended := false
	stop := mtduty.Every(time.Millisecond, func(ctx context.Context) {
		close(begun)
		mtduty.Sleep(ctx, time.Minute)
		ended = true
	})
	<-begun
	stop()
	assert.Assert(t, ended)
	stop()
}

// A daemon is stopped just as the next step is due. The step's tick and the stop
// are ready at the same time, and a step that begins after the stop meets what
// has been closed already: a former version let it begin in half of the cases.
func TestNoStepBeginsAfterTheStop(t *testing.T) {
	for range 200 {
		begun := make(chan struct{}, 1)
		steps := 0
		stop := mtduty.Every(time.Microsecond, func(ctx context.Context) {
			steps++
			select {
			case begun <- struct{}{}:
			default:
			}
			<-ctx.Done()
		})
		<-begun
		stop()
		assert.Equal(t, steps, 1)
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, mtduty.Sleep(ctx, time.Microsecond))
	cancel()
	assert.Assert(t, !mtduty.Sleep(ctx, time.Minute))
}
