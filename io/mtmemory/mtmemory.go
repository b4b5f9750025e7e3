// Package mtmemory bounds the memory of the requests and answers that a daemon holds, wherever they
// come from and wherever they go. core/mtmemory decides.
//
// # Usage
//
//	budget := mtmemory.New(memory)
//	hold := budget.Hold(mtmemory.Request)
//	defer hold.Release()
//	err := hold.Take(len(body))        // or fail with a *FullError
//	err = hold.Await(ctx, len(answer)) // or wait until there is room
//
// A Budget and a Hold are safe for concurrent use.
package mtmemory

import (
	"context"
	"fmt"
	"sync"

	"magnoliaturn/core/mtmemory"
)

// FullError reports that there is no room for a request or an answer.
type FullError struct {
	Use    mtmemory.Use
	Wanted mtmemory.Bytes
	Held   mtmemory.Bytes // by all
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for %d bytes of the %s: requests and answers hold %d", e.Wanted, e.Use, e.Held)
}

// Budget is the memory for requests and answers of one daemon.
type Budget struct {
	mu      sync.Mutex
	ledger  *mtmemory.Ledger
	waiting int
	freed   chan struct{} // closed when bytes are returned while somebody waits
}

// New returns the budget of a process that may use the given memory; zero if that is not known.
func New(memory mtmemory.Bytes) *Budget {
	return &Budget{ledger: mtmemory.NewLedger(memory), freed: make(chan struct{})}
}

// Held returns the bytes that are held.
func (b *Budget) Held() mtmemory.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held()
}

// Limit returns up to how many bytes altogether one request or answer of the given size may take
// more.
func (b *Budget) Limit(use mtmemory.Use, size mtmemory.Bytes) mtmemory.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Limit(use, size)
}

// Hold returns a hold of no bytes.
func (b *Budget) Hold(use mtmemory.Use) *Hold { return &Hold{budget: b, use: use} }

// Hold is the memory of one request or answer.
type Hold struct {
	budget *Budget
	use    mtmemory.Use

	// These are guarded by the mutex of the budget.
	bytes    mtmemory.Bytes
	released bool
}

// Take takes more bytes. It fails with a *FullError if there is no room.
func (h *Hold) Take(n int) error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.take(mtmemory.Bytes(n)) {
		return h.full(n)
	}
	return nil
}

// take is Take for callers that hold the mutex of the budget.
func (h *Hold) take(n mtmemory.Bytes) bool {
	if !h.budget.ledger.Take(h.use, h.bytes, n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *Hold) full(n int) error {
	return &FullError{Use: h.use, Wanted: mtmemory.Bytes(n), Held: h.budget.ledger.Held()}
}

// Await takes more bytes as soon as there is room. It fails with a *FullError when ctx ends, and at once
// if there will never be room.
func (h *Hold) Await(ctx context.Context, n int) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if size := h.bytes + mtmemory.Bytes(n); size > b.ledger.Limit(h.use, size) {
		return h.full(n)
	}
	for !h.take(mtmemory.Bytes(n)) {
		freed := b.freed
		b.waiting++
		b.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		b.mu.Lock()
		b.waiting--
		if ctx.Err() != nil {
			return h.full(n)
		}
	}
	return nil
}

// Add counts bytes that have arrived already.
func (h *Hold) Add(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.ledger.Add(mtmemory.Bytes(n))
	h.bytes += mtmemory.Bytes(n)
}

// Release returns all bytes of the hold. Further calls do nothing.
func (h *Hold) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	b.ledger.Return(h.bytes)
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}
