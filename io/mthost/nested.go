package mthost

import (
	"sync"
	"sync/atomic"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtnested"
	"magnoliaturn/core/mtreply"
	iogate "magnoliaturn/io/mtgate"
)

// nested holds what is known of the nested calls of this VM's server.
type nested struct {
	mu      sync.Mutex // protects tracker
	tracker *mtnested.Tracker
	refused atomic.Int64
}

// reset forgets everything, for a new incarnation of the server.
func (n *nested) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tracker = mtnested.NewTracker()
}

// ObserveNested records how a nested call of this VM's server ended.
func (h *Host) ObserveNested(call *mtcall.Call, result mtnested.Result) {
	if !h.Overload.Nested {
		return
	}
	h.nested.mu.Lock()
	defer h.nested.mu.Unlock()
	h.nested.tracker.Observe(h.Clock.Now(), call.Parent.Route, call.Service, result)
}

// checkNested refuses a call whose own nested calls are likely to find no room, if others
// can use its slot. A nested call is not refused: the work of the call that waits for it
// would be wasted. Nor is a call refused while slots are free, because part of the calls
// of a route may need no nested ones.
func (h *Host) checkNested(now mtclock.Instant, call *mtcall.Call, admission *iogate.AdmissionController[*mtgate.Urgent], slots int) error {
	if !h.Overload.Nested || call.Nested {
		return nil
	}
	running, _ := admission.Busy()
	h.nested.mu.Lock()
	begins := h.nested.tracker.Begins(now, call.Route, call.Priority, running >= slots)
	h.nested.mu.Unlock()
	if begins {
		return nil
	}
	h.nested.refused.Add(1)
	return &mtreply.RefusedError{
		Cause: mtreply.CauseNestedFull, RetryAfter: mtnested.RetryAfter, Detail: "its nested calls would find no room",
	}
}

// recordBegun records that a call has been started at the server.
func (h *Host) recordBegun(call *mtcall.Call) {
	if !h.Overload.Nested || call.Nested {
		return
	}
	h.nested.mu.Lock()
	defer h.nested.mu.Unlock()
	h.nested.tracker.Begun(h.Clock.Now(), call.Route)
}
