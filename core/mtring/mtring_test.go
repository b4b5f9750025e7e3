package mtring_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtring"
)

// A consumer is slower than its producer. The ring must not grow, and items that do not
// fit must be counted, so that the loss shows in the metrics.
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

// Items that must not be dropped, such as the outcome of a call, are added with PutWait.
// It must block until there is capacity or the stop channel is closed.
func TestPutWaitBlocksWhileFull(t *testing.T) {
	r := mtring.New[int](1)
	stop := make(chan struct{})
	assert.Assert(t, r.PutWait(1, stop))
	var producer sync.WaitGroup
	producer.Go(func() { assert.Check(t, r.PutWait(2, stop)) })
	for want := 1; want <= 2; want++ {
		got, ok := r.Take(stop)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	producer.Wait()
	assert.Assert(t, r.PutWait(3, stop))
	close(stop)
	assert.Assert(t, !r.PutWait(4, stop))
	assert.Equal(t, r.Counts().Dropped, uint64(0))
}
