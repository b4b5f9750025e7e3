package mthost

import (
	"context"
	"fmt"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
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
// incarnation has started. So a heartbeat of an unknown incarnation only makes the daemon
// query the server. If it were trusted, the keys of the running incarnation would appear to
// be free and would be granted to another server.
//
// It fails with a *UndeclaredServiceError if the heartbeat names a service that is not
// declared, and with an *AddressError if it names another address than the settings.
func (h *Host) ObserveHeartbeat(b mtbackend.Heartbeat) error {
	if !sameAddress(b.Address, h.Address) {
		return &AddressError{Address: b.Address, Configured: h.Address}
	}
	if b.Service != h.Service && !h.IsDeclared(b.Service) {
		return &UndeclaredServiceError{Service: b.Service}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	outlivedEnd := h.hasOutlivedEnd(b)
	if !outlivedEnd && (h.ended[b.Incarnation] || b.Incarnation.Before(h.record.Incarnation)) {
		h.Log.Info("heartbeat of a previous incarnation ignored", "server", b.Incarnation.String(), "sequence", b.Sequence)
		return nil
	}
	if b.Draining {
		h.acknowledgeLeaving(b.Incarnation, h.Clock.Now())
	}
	switch {
	case outlivedEnd:
		h.resumeIncarnation(b)
	case h.record.Incarnation == b.Incarnation:
		h.applyHeartbeat(b)
	default:
		h.handleUnconfirmed(b)
	}
	return nil
}

// handleUnconfirmed determines whether the sender of a heartbeat is the running
// incarnation, by querying the server. If that fails, a second heartbeat of the same
// incarnation confirms it too, unless both may have been sent before the known incarnation
// started. In that case the known one would be taken for ended while it runs. It is called with
// mu held.
func (h *Host) handleUnconfirmed(b mtbackend.Heartbeat) {
	previous := h.unconfirmed
	h.unconfirmed, h.unconfirmedAt = b, h.Clock.Now()
	newer := h.record.Incarnation.IsZero() || b.OpenedAfter.After(h.lastAccepted)
	if previous.Incarnation == b.Incarnation && b.Sequence > previous.Sequence && newer {
		h.startIncarnation(b)
		return
	}
	h.identify(h.unconfirmedAt)
}

const (
	// retryPause is the pause between two queries for the running incarnation, and
	// between two attempts to clear one. After a power failure a daemon receives the first
	// heartbeat some tens of milliseconds before it knows a configuration and the
	// assignment. If it then waited for the next heartbeat, every server would stay out of
	// service for 1.5 s.
	retryPause = 50 * time.Millisecond
	// identifyWindow is how long after its heartbeat a server is queried: until the next
	// heartbeat.
	identifyWindow = 2 * time.Second
)

// identify queries the server for the running incarnation if a heartbeat of an unknown one
// is pending. It is called with mu held.
func (h *Host) identify(now mtclock.Instant) {
	if h.unconfirmed.Incarnation.IsZero() || h.identifying || now.Before(h.identifyAfter) || now.Sub(h.unconfirmedAt) > identifyWindow {
		return
	}
	path := h.Health()
	if path == "" {
		return
	}
	h.identifying = true
	h.identifyAfter = now.Add(retryPause)
	heartbeat := h.unconfirmed
	go func() {
		health, err := h.Client.Identify(context.Background(), h.Address, path)
		server := health.Server
		h.mu.Lock()
		defer h.mu.Unlock()
		h.identifying = false
		switch {
		case err != nil || server == "":
			h.Log.Info("running incarnation of the server could not be determined", "beat", heartbeat.Incarnation.String(), "error", err)
		case h.unconfirmed.Incarnation.IsZero():
			// A second heartbeat has confirmed it in the meantime.
		case server == h.unconfirmed.Incarnation.Server:
			// Of two incarnations with this name the later one is running, and earlier ones
			// are not queried.
			h.startIncarnation(h.unconfirmed)
			h.applySignals(now, health.Signals)
		case h.record.Incarnation.Server == server:
			// The known incarnation is running, and the heartbeat is an old one.
		default:
			h.Log.Warn("heartbeat is not from the running incarnation of the server", "beat", heartbeat.Incarnation.String(), "server", server)
			h.unconfirmed = mtbackend.Heartbeat{}
		}
	}()
}

// applyHeartbeat processes a heartbeat of the current incarnation. It is called with mu
// held.
func (h *Host) applyHeartbeat(b mtbackend.Heartbeat) {
	now := h.Clock.Now()
	h.lastHeartbeat, h.lastAccepted, h.silent = now, max(h.lastAccepted, b.Accepted), false
	h.heartbeatOpened(b.OpenedAfter)
	if b.Sequence < h.sequence {
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
	h.sequence = b.Sequence
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
		h.uncleared = mtbackend.Heartbeat{}
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
func (h *Host) startIncarnation(b mtbackend.Heartbeat) {
	if !h.record.Incarnation.IsZero() {
		if !h.ended[h.record.Incarnation] || h.endInferredAt != 0 {
			h.serverLost()
		}
		h.ended[h.record.Incarnation] = true
		h.Log.Info("server has a new incarnation", "former", h.record.Incarnation.String(), "server", b.Incarnation.String())
		h.admission.Drain()
		h.admission, h.zoneClosed = h.newAdmission(), false
		if h.record.Incarnation.Server == b.Incarnation.Server {
			// Calls that name the server were meant for its previous incarnation, and may have
			// reached this one.
			h.admission.AssumeRecentStarts()
		}
	}
	h.warmup = mtbackend.WarmupTracker{}
	h.updateZone(h.Clock.Now())
	h.unconfirmed = mtbackend.Heartbeat{}
	h.record.Incarnation = b.Incarnation
	h.signals = signals{logged: h.signals.logged}
	h.applyRateLimit("new incarnation")
	h.record.Service = b.Service
	h.record.State = mtbackend.Unknown
	h.sequence = 0
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
