package mtmemory_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtmemory"
	iomemory "magnoliaturn/io/mtmemory"
)

const mega = 1 << 20

// Guards against an answer that waits for memory and doesn't get what others return.
func TestAwaitGetsWhatIsReleased(t *testing.T) {
	b := iomemory.New(100 * mega)
	first := b.Hold(mtmemory.Answer)
	assert.NilError(t, first.Take(30*mega))
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() {
			h := b.Hold(mtmemory.Answer)
			defer h.Release()
			assert.Check(t, h.Await(t.Context(), 20*mega) == nil)
		})
	}
	small := b.Hold(mtmemory.Request)
	assert.NilError(t, small.Take(1000), "a small request waits behind large answers")
	first.Release()
	waiting.Wait()
	small.Release()
	small.Release()
	assert.Equal(t, b.Held(), mtmemory.Bytes(0))
}

// Guards against a wait for memory that outlasts its call.
func TestAwaitEndsWithItsContext(t *testing.T) {
	b := iomemory.New(100 * mega)
	assert.NilError(t, b.Hold(mtmemory.Answer).Take(30*mega))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var full *iomemory.FullError
	assert.Assert(t, errors.As(b.Hold(mtmemory.Answer).Await(ctx, 20*mega), &full))
	assert.Equal(t, full.Held, mtmemory.Bytes(30*mega))
	assert.Assert(t, errors.As(b.Hold(mtmemory.Request).Take(mega), &full))
}

// Guards against an answer that can never fit and waits until its call's time is over.
func TestAwaitFailsAtOnceForWhatNeverFits(t *testing.T) {
	b := iomemory.New(100 * mega)
	var full *iomemory.FullError
	assert.Assert(t, errors.As(b.Hold(mtmemory.Answer).Await(t.Context(), 64*mega), &full))
	assert.Equal(t, b.Held(), mtmemory.Bytes(0))
}
