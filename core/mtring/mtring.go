// Package mtring provides bounded queues between goroutines, which limit the
// memory that a slow consumer can cause the process to use.
//
// # Usage
//
//	ring := mtring.New[Event](1024)
//	if !ring.Put(event) { ... full: the event was dropped and counted ... }
//	event, ok := ring.Take(stop)
//
// All methods are safe for concurrent use.
package mtring

import "sync/atomic"

// Ring is a bounded FIFO queue.
type Ring[T any] struct {
	items   chan T
	put     atomic.Uint64
	dropped atomic.Uint64
}

// Counts holds the counters of a ring, for metrics.
type Counts struct {
	Put     uint64 // items added
	Dropped uint64 // items dropped because the ring was full
	Waiting int    // items in the ring now
	Size    int
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Put adds v and returns true, or drops it and returns false if the ring is
// full. It never blocks.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.items <- v:
		r.put.Add(1)
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// PutWait adds v, waiting while the ring is full. It returns false if stop is closed
// first.
func (r *Ring[T]) PutWait(v T, stop <-chan struct{}) bool {
	select {
	case r.items <- v:
		r.put.Add(1)
		return true
	case <-stop:
		return false
	}
}

// Take removes the oldest item, waiting for one if the ring is empty. It returns false
// if stop is closed first.
func (r *Ring[T]) Take(stop <-chan struct{}) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-stop:
		var none T
		return none, false
	}
}

// Items returns the channel that Take receives from, for a goroutine that selects from
// several channels.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Counts returns the current values of the counters.
func (r *Ring[T]) Counts() Counts {
	return Counts{Put: r.put.Load(), Dropped: r.dropped.Load(), Waiting: len(r.items), Size: cap(r.items)}
}
