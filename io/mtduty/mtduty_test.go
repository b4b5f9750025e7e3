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

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, mtduty.Sleep(ctx, time.Microsecond))
	cancel()
	assert.Assert(t, !mtduty.Sleep(ctx, time.Minute))
}
