package mthost

import (
	"net"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	iobackend "magnoliaturn/io/mtbackend"
)

// CheckServer checks the server's process after a command found nothing listening at its
// address.
func (h *Host) CheckServer(incarnation mtid.ServerIncarnation) { h.checkProcess(incarnation) }

// checkProcess determines whether the server's process has terminated, unless a check is
// already running.
//
// What counts as the end of an incarnation, and how long its keys are unavailable then:
//
//   - Another incarnation runs at the address: until that one is granted keys, some
//     tens of milliseconds.
//   - Connections are refused by a server that this daemon knows and that has not
//     announced that it is leaving: 0.3 s.
//   - Connections are refused by a server that is leaving, or from which this daemon
//     has received no heartbeat since its start: once every command sent to it must have
//     expired, which takes up to the grant duration. A leaving server accepts no new
//     connections but continues to work, and one that has deregistered sends no further
//     notice. When it was considered terminated at once, two servers held its keys for
//     half a second. Usually its keys have moved by then.
//   - Connections time out and no heartbeats arrive: likewise, since a server with a full
//     queue of connections does the same. It is sent no grants until it answers again. A
//     heartbeat that its sender began after this takes the end back.
func (h *Host) checkProcess(incarnation mtid.ServerIncarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checking || h.record.Incarnation != incarnation || h.record.State == mtbackend.Ended {
		return
	}
	h.checking = true
	begun := h.Clock.Now()
	noHeartbeat := h.noHeartbeat(begun)
	go func() {
		found := probeProcess(h.Address, noHeartbeat)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.checking = false
		if found != processRuns && h.record.Incarnation == incarnation && !h.heartbeatRefutes(begun, found) {
			h.handleUnreachable(found)
		}
	}()
}

// noHeartbeat reports whether no heartbeat has arrived recently. It is called with mu held.
func (h *Host) noHeartbeat(now mtclock.Instant) bool {
	return now.Sub(h.lastHeartbeat) > heartbeatTimeout
}

// heartbeatRefutes reports whether a heartbeat that arrived during a check shows that the server may
// run although the check found no connection: a busy server that accepts none may still send
// heartbeats. A heartbeat whose sender connected before the check counts too, because a running
// server must not be taken for ended, while one that has ended is checked again. It is called with
// mu held.
func (h *Host) heartbeatRefutes(begun mtclock.Instant, found processState) bool {
	return h.lastAccepted.After(begun) || found == processSilent && !h.noHeartbeat(h.Clock.Now())
}

// handleUnreachable ends the current incarnation of the server, at which no connection could be
// opened, unless it may still be running with commands in force. It is called with mu held.
func (h *Host) handleUnreachable(found processState) {
	now := h.Clock.Now()
	silent := found == processSilent
	log := h.Log.With("server", h.record.Incarnation.String(), "state", h.record.State, "address", h.Address,
		"silent", silent, "heartbeat-age", now.Sub(h.lastHeartbeat), "commands-left", h.commandsLeft())
	proven := found == processRefuses && h.record.State == mtbackend.Ready
	if !proven && !h.commandsExpired() {
		log.Info("server takes no connections but may still be running")
		if silent {
			h.closeLivenessLocked()
			h.silent = true
		}
		return
	}
	log.Warn("server process has terminated")
	h.ended[h.record.Incarnation] = true
	h.drainAt = 0
	h.endInferredAt = 0
	if silent {
		h.endInferredAt = now
	} else {
		h.serverLost()
	}
	h.closeLivenessLocked()
	h.setState(mtbackend.Ended)
	h.admission.Resize(0, 0)
}

// hasOutlivedEnd reports whether a heartbeat shows that the current incarnation runs although
// it was taken for ended: its sender was running when it connected, certainly after that. Only
// an end inferred from silence is taken back; where connections were refused the process has
// ended. It is called with mu held.
func (h *Host) hasOutlivedEnd(b mtbackend.Heartbeat) bool {
	return h.record.State == mtbackend.Ended && h.record.Incarnation == b.Incarnation &&
		h.endInferredAt != 0 && b.OpenedAfter.After(h.endInferredAt)
}

// resumeIncarnation brings the current incarnation back that was taken for ended. Its keys may
// have been taken over: it gets those that the assignment leaves to it once the record shows that
// it runs, and this daemon's copy is as new as that record. It is called with mu held.
func (h *Host) resumeIncarnation(b mtbackend.Heartbeat) {
	h.Log.Warn("server was taken for ended and runs", "server", b.Incarnation.String(), "after", h.Clock.Now().Sub(h.endInferredAt))
	delete(h.ended, b.Incarnation)
	h.endInferredAt = 0
	h.setState(mtbackend.Unknown)
	h.applyHeartbeat(b)
	h.openLiveness(h.Clock.Now())
}

// commandsLeft returns for how long commands may be in force at the server. This takes the steady
// clock: a time of day that jumps ahead must not end a server that holds keys.
func (h *Host) commandsLeft() time.Duration {
	if h.CommandExpiry == nil {
		return 0
	}
	return max(h.CommandExpiry().Sub(h.Clock.Steady()), 0)
}

// commandsExpired reports whether no command can be in force at the server any more.
func (h *Host) commandsExpired() bool { return h.CommandExpiry != nil && h.commandsLeft() == 0 }

// processState is what several connections show about the server's process.
type processState uint8

const (
	processRuns    processState = iota // or nothing is known
	processRefuses                     // nothing listens: the kernel of this VM refuses each
	processSilent                      // they time out, and no heartbeats arrive
)

// probeProcess opens several connections to the server.
func probeProcess(address string, noHeartbeat bool) processState {
	found := processRefuses
	for i := range connectAttempts {
		if i > 0 {
			time.Sleep(connectPause)
		}
		conn, err := net.DialTimeout("tcp", address, connectPause)
		switch {
		case err == nil:
			_ = conn.Close()
			return processRuns
		case iobackend.ConnectionRefused(err):
		case noHeartbeat && iobackend.ConnectionTimedOut(err):
			found = processSilent
		default:
			return processRuns
		}
	}
	return found
}
