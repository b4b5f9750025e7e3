package mtmesh

import "sync"

// deferred passes values to a receiver that may not exist yet when they arrive.
type deferred[T any] struct {
	mu       sync.Mutex
	receiver func(T) // nil until attach is called
	pending  []T     // received before that
}

// receive passes a value on, or keeps it for the receiver.
func (d *deferred[T]) receive(value T) {
	d.mu.Lock()
	receiver := d.receiver
	if receiver == nil {
		d.pending = append(d.pending, value)
	}
	d.mu.Unlock()
	if receiver != nil {
		receiver(value)
	}
}

// attach passes the values received so far, and all later ones, to the receiver.
func (d *deferred[T]) attach(receiver func(T)) {
	d.mu.Lock()
	d.receiver = receiver
	pending := d.pending
	d.pending = nil
	d.mu.Unlock()
	for _, value := range pending {
		receiver(value)
	}
}
