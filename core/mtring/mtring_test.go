package mtring_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtring"
)

// A duty is slower than the one that feeds it. Its ring must not grow, and what
// finds no room must be counted, or a loss would never show.
func TestFullRingDropsAndCounts(t *testing.T) {
	r := mtring.New[int](2)
	for i := range 5 {
		assert.Equal(t, r.Put(i), i < 2)
	}
	assert.DeepEqual(t, r.Counts(), mtring.Counts{Put: 2, Dropped: 3, Waiting: 2, Size: 2})
	stop := make(chan struct{})
	for want := range 2 {
		got, ok := r.Take(stop)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	close(stop)
	_, ok := r.Take(stop)
	assert.Assert(t, !ok)
}

// An outcome that a duty waits for must not be dropped: whoever brings it waits
// for room, or for the stop.
func TestPutWaitWaitsForRoom(t *testing.T) {
	r := mtring.New[int](1)
	stop := make(chan struct{})
	assert.Assert(t, r.PutWait(1, stop))
	var putting sync.WaitGroup
	putting.Go(func() { assert.Check(t, r.PutWait(2, stop)) })
	for want := 1; want <= 2; want++ {
		got, ok := r.Take(stop)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	putting.Wait()
	assert.Assert(t, r.PutWait(3, stop))
	close(stop)
	assert.Assert(t, !r.PutWait(4, stop))
	assert.Equal(t, r.Counts().Dropped, uint64(0))
}
