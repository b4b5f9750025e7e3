package mthost

import (
	"errors"
	"maps"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// acknowledgeLeaving records that an incarnation of the server is leaving. This binds the
// daemon from now on, even if it does not know the incarnation yet. It is called with mu
// held, before the acknowledgement is sent to the server.
//
// The time for new work counts from the acknowledgement only if the incarnation is in
// service here; for any other it may be over already and counts as over. When a restarted
// daemon acknowledged the leaving before it had read the assignment, and counted from when
// it brought the server into service, the server received calls 2.0 s after the
// acknowledgement. It received them even later if the previous process of the daemon had
// acknowledged the leaving.
func (h *Host) acknowledgeLeaving(incarnation mtid.ServerIncarnation, now mtclock.Instant) {
	at := now
	if h.record.Incarnation != incarnation || h.record.State != mtbackend.Ready {
		at = now.Add(-h.DrainPeriod)
	}
	if known, ok := h.leavingSince[incarnation]; ok && known <= at {
		return
	}
	if len(h.leavingSince) >= maxLeaving {
		// Incarnations that never ran here. Those that run, or may turn out to, are kept.
		maps.DeleteFunc(h.leavingSince, func(i mtid.ServerIncarnation, _ mtclock.Instant) bool {
			return i != h.record.Incarnation && !h.contenders.has(i)
		})
	}
	h.leavingSince[incarnation] = at
}

// maxLeaving limits the number of incarnations known to be leaving, besides contenders. One runs at a time; the
// others come from late heartbeats, or from calls of another sender.
const maxLeaving = 64

// startDraining makes the server drain if the leaving of its current incarnation has been
// acknowledged. Calls without a key are refused from then on, and go to other servers.
// Keyed calls are served until their keys have moved, but only for a limited time. It is
// called with mu held.
func (h *Host) startDraining(now mtclock.Instant, why string) {
	at, leaving := h.leavingSince[h.record.Incarnation]
	if !leaving || h.record.State == mtbackend.Draining || h.record.State == mtbackend.Ended {
		return
	}
	h.Log.Info("server is leaving", "server", h.record.Incarnation.String(), "why", why, "since", now.Sub(at))
	h.drainAt = h.endOfWork(at)
	h.drainIfDue(now)
	h.setState(mtbackend.Draining)
}

// endOfWork returns when new work ends for a server whose leaving was acknowledged.
func (h *Host) endOfWork(acknowledged mtclock.Instant) mtclock.Instant {
	return acknowledged.Add(time.Duration(float64(h.DrainPeriod) * drainFraction))
}

// advanceDrain ends new work for a draining server earlier, if its leaving turns out to have been
// acknowledged earlier. It is called with mu held.
func (h *Host) advanceDrain(now mtclock.Instant) {
	if h.drainAt == 0 {
		return
	}
	h.drainAt = min(h.drainAt, h.endOfWork(h.leavingSince[h.record.Incarnation]))
	h.drainIfDue(now)
}

// Deregister records that the server deregisters itself: it serves for a while longer and
// then exits. If the server does not report its start time, the current incarnation is
// meant. The answer acknowledges the leaving, which binds this daemon.
func (h *Host) Deregister(incarnation mtid.ServerIncarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation.Started == 0 && incarnation.Server == h.record.Incarnation.Server {
		incarnation = h.record.Incarnation
	}
	if incarnation.Before(h.record.Incarnation) {
		h.ended[incarnation] = true
		return
	}
	now := h.Clock.Now()
	h.acknowledgeLeaving(incarnation, now)
	if h.record.Incarnation == incarnation && h.record.State == mtbackend.Ready {
		h.startDraining(now, "deregistered")
	}
}

// ProcessPreviousRecord processes the record that a previous process of this daemon left.
// If its server was draining, that process acknowledged the leaving at a time that is no
// longer known, so no new work reaches that incarnation. A server that has deregistered
// does not report it again.
func (h *Host) ProcessPreviousRecord(r mtbackend.Record) {
	if r.State != mtbackend.Draining {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended[r.Incarnation] || r.Incarnation.Before(h.record.Incarnation) {
		return
	}
	now := h.Clock.Now()
	h.leavingSince[r.Incarnation] = now.Add(-h.DrainPeriod)
	if h.record.Incarnation == r.Incarnation && h.record.State == mtbackend.Ready {
		h.startDraining(now, "as a former daemon knew")
	}
}

// handleFailure reacts to the failure of a call that indicates a problem with the server
// itself.
func (h *Host) handleFailure(incarnation mtid.ServerIncarnation, call *mtcall.Call, err error) {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		switch refused.Cause {
		case mtreply.CauseFenced:
			h.recordDenial(incarnation, call.Key)
		case mtreply.CauseNoServer:
			h.checkProcess(incarnation)
		}
		return
	}
	var unknown *mtreply.UnknownError
	// The end of the process ends the liveness connection too, and that starts a check. A
	// server that cuts answers and lives would get a new connection for each of them.
	if errors.As(err, &unknown) && endedByServer(unknown) && !h.watchesLiveness(incarnation) {
		h.checkProcess(incarnation)
	}
}

// watchesLiveness reports whether a liveness connection to the incarnation is open.
func (h *Host) watchesLiveness(incarnation mtid.ServerIncarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveness != nil && h.liveness.incarnation == incarnation
}

// recordDenial records that the server denies holding a key that it was granted: a release
// command may have been executed late, or the server has restarted under its name. The new
// incarnation must not be granted the keys of the previous one under the same epoch, so
// where incarnations share a name, the key is granted again only after the next heartbeat,
// which distinguishes them. This makes such a key unavailable for up to a heartbeat
// interval, and only where the server reports its start time.
func (h *Host) recordDenial(incarnation mtid.ServerIncarnation, key mtid.KeyNumber) {
	if incarnation.Started == 0 {
		h.OnKeyDenied(key)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Incarnation == incarnation {
		h.deniedKeys[key] = true
	}
}

// regrantDenied requests new grants of the keys that the server denied holding, now that a
// heartbeat has confirmed its incarnation. It is called with mu held.
func (h *Host) regrantDenied() {
	for key := range h.deniedKeys {
		h.OnKeyDenied(key)
	}
	clear(h.deniedKeys)
}
