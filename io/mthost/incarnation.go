package mthost

import (
	"context"
	"fmt"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	iobackend "magnoliaturn/io/mtbackend"
)

// checkHeartbeat checks the process of a server from which no heartbeat has been received
// recently, or ever.
func (h *Host) checkHeartbeat(now mtclock.Instant) {
	h.mu.Lock()
	due := now.Sub(h.lastCheck) > heartbeatTimeout || h.silent && h.commandsExpired()
	overdue := h.noHeartbeat(now) && due
	incarnation, state := h.record.Incarnation, h.record.State
	if overdue {
		h.lastCheck, h.silent = now, false
	}
	h.mu.Unlock()
	if overdue && state != mtbackend.Ended {
		h.checkProcess(incarnation)
	}
}

// UndeclaredServiceError reports a heartbeat that can't come from this VM's server, because
// the configuration does not declare its service.
type UndeclaredServiceError struct{ Service mtid.Service }

// Error implements error.
func (e *UndeclaredServiceError) Error() string {
	return fmt.Sprintf("host: a beat names the service %q, which nothing declares", e.Service)
}

// ObserveHeartbeat processes a heartbeat of the server. It returns once the reported state
// is in force here: the answer to a heartbeat that announces the server's leaving is an
// acknowledgement that binds this daemon.
//
// A heartbeat may be delayed and arrive after its sender has crashed and another
// incarnation has started, or come from another sender. So a heartbeat of an unknown incarnation
// only makes the daemon query the server. If it were trusted, the keys of the running incarnation
// would appear to be free and would be granted to another server.
//
// It fails with a *UndeclaredServiceError if the heartbeat names a service that is not
// declared, with an *AddressError if it names another address than the settings, and with a
// *ForeignSenderError if its sender isn't the server.
func (h *Host) ObserveHeartbeat(b mtbackend.Heartbeat) error {
	if !sameAddress(b.Address, h.Address) {
		return &AddressError{Address: b.Address, Configured: h.Address}
	}
	if b.Service != h.Service && !h.IsDeclared(b.Service) {
		return &UndeclaredServiceError{Service: b.Service}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hasOutlivedEnd(b) {
		h.observeLeaving(b)
		h.resumeIncarnation(b)
		return nil
	}
	if !h.hasOutlivedReplacement(b) && (h.ended[b.Incarnation] || b.Incarnation.Before(h.record.Incarnation)) {
		if h.ignored != b.Incarnation {
			h.Log.Info("heartbeat of a previous incarnation ignored", "server", b.Incarnation.String(), "sequence", b.Sequence)
		}
		h.ignored = b.Incarnation
		return nil
	}
	if h.record.Incarnation == b.Incarnation {
		h.observeLeaving(b)
		h.applyHeartbeat(b)
		return nil
	}
	return h.observeContender(b)
}

// observeLeaving acknowledges the leaving that a heartbeat announces. It is called with mu held.
func (h *Host) observeLeaving(b mtbackend.Heartbeat) {
	if b.Draining {
		h.acknowledgeLeaving(b.Incarnation, h.Clock.Now())
	}
}

const (
	// retryPause is the pause between two queries for the running incarnation, and
	// between two attempts to clear one. After a power failure a daemon receives the first
	// heartbeat some tens of milliseconds before it knows a configuration and the
	// assignment. If it then waited for the next heartbeat, every server would stay out of
	// service for 1.5 s.
	retryPause = 50 * time.Millisecond
	// refutedPause is the pause between two queries because of senders that aren't the server.
	refutedPause = time.Second
	// identifyWindow is how long after its heartbeat a server is queried: until the next
	// heartbeat.
	identifyWindow = 2 * time.Second
)

// identify queries the server for the running incarnation if a heartbeat of an unknown one
// is pending. It is called with mu held.
func (h *Host) identify(now mtclock.Instant) {
	path := h.Health()
	pause := retryPause
	if h.contenders.allRefuted() {
		pause = refutedPause
	}
	if path == "" || h.identifying || now.Before(h.identifiedAt.Add(pause)) || !h.contenders.pending(now) {
		return
	}
	h.identifying = true
	h.identifiedAt = now
	go func() {
		health, err := h.Client.Identify(context.Background(), h.Address, path)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.identifying = false
		h.nothingListens = err != nil && iobackend.ConnectionRefused(err)
		if err != nil || health.Server == "" {
			h.logUndetermined(err)
			h.contenders.unanswered()
			h.acceptHeartbeats()
			return
		}
		h.settle(now, health)
	}()
}

// applyHeartbeat processes a heartbeat of the current incarnation. It is called with mu
// held.
func (h *Host) applyHeartbeat(b mtbackend.Heartbeat) {
	now := h.Clock.Now()
	h.lastHeartbeat, h.lastAccepted, h.silent = now, max(h.lastAccepted, b.Accepted), false
	h.lastOpened = max(h.lastOpened, b.OpenedAfter)
	h.heartbeatOpened(b.OpenedAfter)
	if b.Sequence < h.sequence && !b.OpenedAfter.After(h.sequenceAt) {
		return
	}
	h.regrantDenied()
	// A heartbeat may arrive, and its connection may be accepted, seconds after its sender has
	// terminated. If the sender opened that connection after the liveness connection had been
	// opened, both lead to the same incarnation.
	if h.liveness != nil && h.liveness.opened.Before(b.OpenedAfter) {
		h.confirmLiveness(h.liveness)
	}
	h.warmup.ObserveHeartbeat(h.Clock.Steady(), b)
	h.updateStartLimit()
	h.sequence, h.sequenceAt = b.Sequence, b.Accepted
	h.record.Slots = b.Slots
	h.admission.Resize(b.Slots, b.Slots)
	if h.record.State == mtbackend.Unknown {
		h.clearGrants(b)
		return
	}
	h.Publish(h.record)
	h.startDraining(now, "beat")
}

// clearGrants brings an incarnation of the server into service, after removing from it the
// grants that were meant for a previous one. It is called with mu held.
//
// When a server crashes and restarts at the same address, the daemon considers it the
// previous incarnation until its next heartbeat, and renews that incarnation's grants: the
// new one accepts them. If the new incarnation were published at once, others would take
// over the keys of the previous one, and two servers would hold them.
func (h *Host) clearGrants(b mtbackend.Heartbeat) {
	h.uncleared = b
	if h.clearing {
		return
	}
	h.clearing = true
	h.clearAfter = h.Clock.Now().Add(retryPause)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		err := h.ClearGrants(ctx, b.Incarnation, h.Address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.clearing = false
		if err != nil {
			h.Log.Warn("new life of the server could not be cleared", "server", b.Incarnation.String(), "error", err)
			return
		}
		if h.uncleared.Incarnation == b.Incarnation {
			h.uncleared = mtbackend.Heartbeat{}
		}
		if h.record.Incarnation != b.Incarnation || h.record.State != mtbackend.Unknown {
			return
		}
		if _, leaving := h.leavingSince[b.Incarnation]; leaving {
			h.startDraining(h.Clock.Now(), "before it was in service")
			return
		}
		h.setState(mtbackend.Ready)
	}()
}

// retryPending retries what could not be completed when a heartbeat arrived.
func (h *Host) retryPending(now mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.identify(now)
	h.openLiveness(now)
	needsClearing := !h.uncleared.Incarnation.IsZero() && h.uncleared.Incarnation == h.record.Incarnation && h.record.State == mtbackend.Unknown
	if needsClearing && !now.Before(h.clearAfter) {
		h.clearGrants(h.uncleared)
	}
}

// clearTimeout limits the clearing of a new incarnation, at which nothing runs yet.
const clearTimeout = time.Second

// startIncarnation makes the sender of a heartbeat the current incarnation of the server.
// It is called with mu held.
func (h *Host) startIncarnation(b mtbackend.Heartbeat, by proof) {
	h.Log.Info("server has a new incarnation", "former", h.record.Incarnation.String(), "server", b.Incarnation.String(), "proof", string(by))
	if !h.record.Incarnation.IsZero() {
		if !h.ended[h.record.Incarnation] || h.endInferredAt != 0 {
			h.serverLost()
		}
		h.replaceIncarnation(h.record.Incarnation, by)
		h.admission.Drain()
		h.admission, h.zoneClosed = h.newAdmission(), false
		if h.record.Incarnation.Server == b.Incarnation.Server {
			// Calls that name the server were meant for its previous incarnation, and may have
			// reached this one.
			h.admission.AssumeRecentStarts()
		}
	}
	if h.ended[b.Incarnation] {
		// Its keys may have been taken over while the record named another incarnation. After a reported
		// end, keys are granted only by a copy of the assignment that is as new as the next record.
		end := h.record
		end.State = mtbackend.Ended
		h.Publish(end)
	}
	delete(h.ended, b.Incarnation)
	delete(h.replacedAt, b.Incarnation)
	h.contenders = contenders{}
	h.proof = by
	h.warmup = mtbackend.WarmupTracker{}
	h.updateZone(h.Clock.Now())
	h.record.Incarnation = b.Incarnation
	h.signals = signals{logged: h.signals.logged}
	h.applyRateLimit("new incarnation")
	h.record.Service = b.Service
	h.record.State = mtbackend.Unknown
	h.sequence, h.sequenceAt, h.lastOpened = 0, 0, 0
	h.drainAt, h.endInferredAt = 0, 0
	clear(h.deniedKeys)
	h.closeLivenessLocked()
	h.applyHeartbeat(b)
	h.openLiveness(h.Clock.Now())
}

// setState changes the state and publishes it to all daemons. It is called with mu held.
func (h *Host) setState(s mtbackend.State) {
	h.Log.Info("server state", "server", h.record.Incarnation.String(), "from", h.record.State, "to", s, "slots", h.record.Slots, "sequence", h.sequence)
	h.record.State = s
	h.Publish(h.record)
	h.OnChange()
}
