package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtbackend"
)

// heldRecord keeps this daemon's record back until it is released.
type heldRecord struct {
	publish func(mtbackend.Record)

	mu       sync.Mutex
	released bool
	latest   *mtbackend.Record // received before the release; nil if there is none
}

// holdRecord returns a function that publishes the record, but not before the port for heartbeats is open.
func (m *Mesh) holdRecord(publish func(mtbackend.Record)) func(mtbackend.Record) {
	port := m.config.HeartbeatPort
	if port == nil || port.IsOpen() {
		return publish
	}
	h := &heldRecord{publish: publish}
	go func() {
		select {
		case <-port.Opened():
			h.release()
		case <-port.Closed():
		}
	}()
	return h.receive
}

// receive publishes a record, or keeps it instead of the one before.
func (h *heldRecord) receive(r mtbackend.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		h.latest = &r
		return
	}
	h.publish(r)
}

// release publishes the record that was received last.
func (h *heldRecord) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	if h.latest != nil {
		h.publish(*h.latest)
	}
}
