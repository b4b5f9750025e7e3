// Package mtring joins duties by bounded rings: one duty puts, another takes,
// and neither can grow the memory of the process without limit.
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

// Ring is a bounded queue between duties.
type Ring[T any] struct {
	items   chan T
	put     atomic.Uint64
	dropped atomic.Uint64
}

// Counts are the counters of a ring, for metrics.
type Counts struct {
	Put     uint64 // items that went in
	Dropped uint64 // items that found the ring full
	Waiting int    // items in it now
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

// PutWait adds v, waiting for room, and returns false if stop closes first.
func (r *Ring[T]) PutWait(v T, stop <-chan struct{}) bool {
	select {
	case r.items <- v:
		r.put.Add(1)
		return true
	case <-stop:
		return false
	}
}

// Take waits for an item, or returns false once stop is closed.
func (r *Ring[T]) Take(stop <-chan struct{}) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-stop:
		var none T
		return none, false
	}
}

// Items returns the channel that Take reads, for a duty that waits for several
// things at once.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Counts returns the counters.
func (r *Ring[T]) Counts() Counts {
	return Counts{Put: r.put.Load(), Dropped: r.dropped.Load(), Waiting: len(r.items), Size: cap(r.items)}
}
