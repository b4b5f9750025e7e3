package mthost

import (
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// averaging is the weight of a new service time in the mean: one over it.
const averaging = 16

// count notes the offered work of a keyed call.
func (h *Host) count(now mtclock.Instant, call *mtcall.Call) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	if call.Keyed && !call.Repeat {
		h.meter.Arrive(now, call.Key, h.service)
	}
}

// served notes how long a call took at the server.
func (h *Host) served(took time.Duration) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	if h.service == 0 {
		h.service = took
		return
	}
	h.service += (took - h.service) / averaging
}

// Cut finds keys of the ranges whose work comes closest to amount, in slots.
func (h *Host) Cut(ranges []mtrange.Range, amount float64) (low, high mtid.Number, ok bool) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.Cut(h.Clock.Now(), ranges, h.meter, amount)
}

// Forget drops the measured work of keys that have gone to another owner.
func (h *Host) Forget(low, high mtid.Number) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.meter.Forget(h.Clock.Now(), low, high)
}

// Load returns how loaded the server is.
func (h *Host) Load() mtcall.Load {
	record, _ := h.Record()
	running, waiting := h.gate().Busy()
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtcall.Load{
		Running: running,
		Waiting: waiting,
		Slots:   record.Slots,
		Service: h.service,
		Demand:  h.meter.Demand(h.Clock.Now()),
	}
}
