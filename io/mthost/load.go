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

// count notes the offered work of a keyed call whose key the server holds. Callers'
// daemons hear of a move some tenths of a second later and ask here until then, every
// few milliseconds: counted too, an owner that had given a hot run away seemed to have
// nine times what it could do for eight seconds, was given nothing, and stood idle
// beside others with queues.
//
// What is late on its arrival doesn't
// count: mostly it is a caller's second or third try, and with these an owner that
// had a little too much seemed to have twice what it could do, and gave it away.
func (h *Host) count(now mtclock.Instant, call *mtcall.Call) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	takes := h.expected(call.Route)
	if call.Keyed && !call.Repeat && !call.Late(now, takes) {
		h.meter.RecordArrival(now, call.Key, takes)
	}
}

// expected returns how long calls of a route take here. Nested calls take a tenth
// of what others do: counted alike, the keys that they are for seemed the busy
// ones. It is called with meterMu held.
func (h *Host) expected(route mtid.Class) time.Duration {
	if took, ok := h.times[route]; ok {
		return took
	}
	return time.Duration(float64(h.usual[route]) * h.pace)
}

// served notes how long a call took at the server.
func (h *Host) served(route mtid.Class, took time.Duration) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.times[route] = average(h.times[route], took)
	if usual := h.usual[route]; usual > 0 {
		h.pace += (float64(took)/float64(usual) - h.pace) / averaging
	}
}

// noteSlowness takes in what an answer tells of the server's machine.
func (h *Host) noteSlowness(now mtclock.Instant, multiple float64) {
	if multiple == 0 {
		return
	}
	h.meterMu.Lock()
	h.slowness.Observe(now, multiple)
	h.meterMu.Unlock()
	h.slowGate(now)
}

// slowGate lets the gate judge by how slow the server is now.
func (h *Host) slowGate(now mtclock.Instant) {
	h.meterMu.Lock()
	slow := h.slowness.Factor(now)
	h.meterMu.Unlock()
	h.gate().Slow(slow)
}

// service returns how long a call takes here that is usual to take a tenth of a
// second. Were it the mean of all calls, a server would pass for fast that has
// many short ones. It is called with meterMu held.
func (h *Host) service(now mtclock.Instant) time.Duration {
	const tenth = 100 * time.Millisecond
	return time.Duration(h.pace * h.slowness.Factor(now) * float64(tenth))
}

// average returns the moving average with one more value in it.
func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/averaging
}

// Gain says that keys have come to the server just now.
func (h *Host) Gain(low, high mtid.KeyNumber) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.meter.AddKeys(h.Clock.Now(), low, high)
}

// Cut finds runs of keys in the ranges whose work comes closest to the gifts.
func (h *Host) Cut(ranges []mtrange.Range, gifts []mtrange.Offload) []mtrange.KeyMove {
	if len(gifts) == 0 {
		return nil
	}
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.SelectMoves(h.Clock.Now(), ranges, h.meter, gifts)
}

// Spill divides all work of the ranges among other servers.
func (h *Host) Spill(ranges []mtrange.Range, turn mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.Spill(h.Clock.Now(), ranges, h.meter, turn, others)
}

// Forget drops the measured work of keys that have gone to another owner.
func (h *Host) Forget(low, high mtid.KeyNumber) {
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
	now := h.Clock.Now()
	return mtcall.Load{
		Running:     running,
		Waiting:     waiting,
		Slots:       record.Slots,
		ServiceTime: h.service(now),
		Demand:      h.meter.Demand(now),
	}
}
