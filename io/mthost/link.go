package mthost

import (
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtlink"
)

// link is the inbound network link of this VM.
type link struct {
	mu      sync.Mutex // protects inbound
	inbound *mtlink.Inbound
	refused atomic.Int64
}

// ReserveLink grants room on this VM's link for a body and returns zero, or returns the time
// after which there is room again.
func (h *Host) ReserveLink(size mtlink.Bytes) time.Duration {
	if !h.Overload.Link {
		return 0
	}
	h.link.mu.Lock()
	wait := h.link.inbound.Reserve(h.Clock.Now(), size)
	h.link.mu.Unlock()
	if wait > 0 {
		h.link.refused.Add(1)
	}
	return wait
}
