package mtgate_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	iogate "magnoliaturn/io/mtgate"
	"magnoliaturn/io/mttime"
)

// A server's only slot is taken for good, and nothing else happens at its gate. Whoever
// waits there is refused when that makes sense no longer, one after the other, and not
// held until somebody comes by.
func TestWhoWaitsTooLongIsRefusedWithoutAnyOtherEvent(t *testing.T) {
	clock := mttime.New()
	door := iogate.New(clock, mtgate.NewFIFO(), mtgate.Limits{Waiting: 16, Patience: 1}, func(mtid.Point, mtid.Point) {})
	door.Resize(1, 1)
	end, err := door.Admit(context.Background(), mtgate.Ticket{Deadline: clock.Now().Add(time.Hour)})
	assert.NilError(t, err)
	defer end()
	refused := make(chan time.Duration)
	waits := []time.Duration{300 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond}
	for _, wait := range waits {
		go func() {
			_, err := door.Admit(context.Background(), mtgate.Ticket{Deadline: clock.Now().Add(wait)})
			var refusal *mtreply.RefusedError
			assert.Check(t, errors.As(err, &refusal), "%v", err)
			refused <- wait
		}()
	}
	for _, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		assert.Equal(t, <-refused, want)
	}
}
