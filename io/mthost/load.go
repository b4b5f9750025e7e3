package mthost

import (
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// averageWindow is the inverse weight of a new service time in the moving average.
const averageWindow = 16

// recordArrival records the offered work of a keyed call whose key the server holds. After
// a move the callers' daemons receive the ownership update some tenths of a second later,
// and send calls here every few milliseconds until then. When those were counted too, an
// owner that had transferred a hot run of keys appeared to have nine times the work it
// could handle for eight seconds, received no keys, and was idle while other servers had
// queues.
//
// Calls that are late on arrival are not counted: mostly they are a caller's second or
// third try. When they were counted, an owner with slightly too much work appeared to have
// twice what it could handle, and transferred that away.
func (h *Host) recordArrival(now mtclock.Instant, call *mtcall.Call) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	expected := h.expectedTime(call.Route)
	if call.Keyed && !call.Repeat && !call.Late(now, h.timeForLateness(call.Route, expected)) {
		h.meter.RecordArrival(now, call.Key, expected)
	}
}

// timeForLateness returns the service time by which a call counts as late on arrival. By the
// one expected here, all calls are late at a server that takes longer than the objective:
// the server would appear to have no work, keep its keys and receive more. It is called with
// meterMu held.
func (h *Host) timeForLateness(route mtid.Class, expected time.Duration) time.Duration {
	usual, ok := h.configuredTimes[route]
	if !h.Overload.Slow || !ok {
		return expected
	}
	return min(expected, usual)
}

// expectedTime returns the expected service time of calls of a route here. Nested calls
// take a tenth of the time of others: when all were counted alike, the keys of nested calls
// appeared to be the busiest. It is called with meterMu held.
func (h *Host) expectedTime(route mtid.Class) time.Duration {
	if took, ok := h.serviceTimes[route]; ok {
		return took
	}
	return time.Duration(float64(h.configuredTimes[route]) * h.relativeTime)
}

// recordServiceTime adds the service time of a call to the averages.
func (h *Host) recordServiceTime(route mtid.Class, took time.Duration) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.serviceTimes[route] = average(h.serviceTimes[route], took)
	h.meanTime = average(h.meanTime, took)
	if usual := h.configuredTimes[route]; usual > 0 {
		h.relativeTime += (float64(took)/float64(usual) - h.relativeTime) / averageWindow
	}
}

// recordSlowness records the slowness of the server's machine that an answer reports, as a
// multiple of what is usual; zero if it reports none.
func (h *Host) recordSlowness(now mtclock.Instant, multiple float64) {
	if multiple == 0 {
		return
	}
	h.meterMu.Lock()
	h.slowness.Observe(now, multiple)
	h.meterMu.Unlock()
	h.updateSlowness(now)
}

// updateSlowness makes the gate estimate with the server's current slowness.
func (h *Host) updateSlowness(now mtclock.Instant) {
	h.meterMu.Lock()
	factor := h.slowness.Factor(now)
	h.meterMu.Unlock()
	h.currentAdmission().Slow(factor)
}

// referenceTime returns the time that a call takes here which usually takes a tenth of a
// second. With the mean of all calls instead, a server with many short ones would appear to
// be fast. It is called with meterMu held.
func (h *Host) referenceTime(now mtclock.Instant) time.Duration {
	const tenth = 100 * time.Millisecond
	return time.Duration(h.relativeTime * h.slowness.Factor(now) * float64(tenth))
}

// timeForCapacity returns the service time by which a rate limit is converted to a capacity: the
// mean, or that of the configuration while no call has ended here. A restarted daemon may receive
// the limit of its server from other daemons before any call. It is called with meterMu held.
func (h *Host) timeForCapacity() time.Duration {
	if h.meanTime > 0 || len(h.configuredTimes) == 0 {
		return h.meanTime
	}
	var sum time.Duration
	for _, took := range h.configuredTimes {
		sum += took
	}
	return sum / time.Duration(len(h.configuredTimes))
}

// average returns the moving average after adding a value.
func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + (value-mean)/averageWindow
}

// AddKeys records that the server has just acquired keys.
func (h *Host) AddKeys(low, high mtid.KeyNumber) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.meter.AddKeys(h.Clock.Now(), low, high)
}

// SelectMoves selects, for each offload, the run of keys in the ranges whose work comes
// closest to it.
func (h *Host) SelectMoves(ranges []mtrange.Range, offloads []mtrange.Offload) []mtrange.KeyMove {
	if len(offloads) == 0 {
		return nil
	}
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.SelectMoves(h.Clock.Now(), ranges, h.meter, offloads)
}

// Spill distributes all work of the ranges among other servers.
func (h *Host) Spill(ranges []mtrange.Range, position mtrange.SpillPosition, others []mtrange.LoadReport) []mtrange.KeyMove {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	return mtrange.Spill(h.Clock.Now(), ranges, h.meter, position, others)
}

// Forget drops the measurements of keys that have moved to another owner.
func (h *Host) Forget(low, high mtid.KeyNumber) {
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	h.meter.Forget(h.Clock.Now(), low, high)
}

// Load returns the current load of the server.
func (h *Host) Load() mtcall.Load {
	h.mu.Lock()
	record, admission, report, limit, trial := h.record, h.admission, h.report(), h.signals.limit.Rate(), h.signals.trial
	h.mu.Unlock()
	running, waiting := admission.Busy()
	h.meterMu.Lock()
	defer h.meterMu.Unlock()
	now := h.Clock.Now()
	return mtcall.Load{
		Running:     running,
		Waiting:     waiting,
		Slots:       record.Slots,
		ServiceTime: h.referenceTime(now),
		Demand:      h.meter.Demand(now),
		Capacity:    trial.Capacity(limit, record.Slots, h.timeForCapacity()),
		Report:      report,
	}
}
