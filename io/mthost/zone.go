package mthost

import (
	"context"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
)

// ZoneOut records that the operators have taken this VM's availability zone out of service,
// by an order with the given version. From now on no work without a key is started at the
// server, and waiting calls are refused at once. Keys are served until they have moved, but
// not after until.
func (h *Host) ZoneOut(version mtid.Version, until mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zone.Close(version, until)
	h.updateLimits(h.Clock.Now())
}

// ZoneBack records that the zone is in service, possibly after having been out of service
// until a moment ago. A server that was idle has become cold, and its latest heartbeat may
// not have reported it yet.
func (h *Host) ZoneBack() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zone.Reopen()
	h.assumeCold()
	h.updateZone(h.Clock.Now())
}

// DoubtOrders records that until the given time an order about the zone may be in force, or may have
// been withdrawn, of which this daemon can't know: the server may have become cold.
func (h *Host) DoubtOrders(until mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until <= h.ordersDoubted {
		return
	}
	h.ordersDoubted = until
	h.updateStartLimit()
}

// Warmup sets the maximum number of calls that are started in any one second while the
// server is cold. Zero means no limit.
func (h *Host) Warmup(limit mtgate.StartRate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.startLimit = limit
	h.updateStartLimit()
}

// pauseThreshold is the shortest pause of this process in which it may have missed that the
// server became cold: a zone order that was given and withdrawn, or a heartbeat.
const pauseThreshold = time.Second

// detectPause records that this process is running, and assumes that the server is cold if
// the process was paused. Otherwise a resumed process would continue to send a server that
// had become cold in the meantime as much as before, until the next heartbeat. It is called
// with mu held.
func (h *Host) detectPause(now mtclock.Instant) {
	paused := now.Sub(h.lastRun) > pauseThreshold
	h.lastRun = now
	if paused {
		h.assumeCold()
	}
}

// assumeCold treats the server as cold, since it may have become so, until it reports
// otherwise. If there is a limit for a cold server, the server is queried at once: its next
// heartbeat takes up to a second. It is called with mu held.
func (h *Host) assumeCold() {
	h.warmup.MarkPossiblyCold(h.Clock.Now())
	h.updateStartLimit()
	path := h.Health()
	if h.startLimit <= 0 || path == "" {
		return
	}
	incarnation := h.record.Incarnation
	go func() {
		connected := h.Clock.Now() // lower bound for the query's connection
		health, err := h.Client.Identify(context.Background(), h.Address, path)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil || health.Server != incarnation.Server || h.record.Incarnation != incarnation {
			h.Log.Info("warm-up state of the server could not be determined", "server", incarnation.String(), "answers", string(health.Server), "error", err)
			return
		}
		h.applySignals(connected, health.Signals)
		h.warmup.ObserveHeartbeat(h.Clock.Steady(), mtbackend.Heartbeat{Cold: health.Cold, OpenedAfter: connected})
		h.updateStartLimit()
	}()
}

// updateLimits applies the state of the zone and the server's warm-up state to the gate. It
// is called with mu held.
func (h *Host) updateLimits(now mtclock.Instant) {
	h.updateZone(now)
	h.updateStartLimit()
	h.tryLimit()
}

// updateZone closes the gate while the zone is out of service, and reopens it afterwards.
// It is called with mu held.
func (h *Host) updateZone(now mtclock.Instant) {
	closed := h.zone.Closed() && !h.zone.Admits(now, h.Keyed())
	if closed == h.zoneClosed {
		return
	}
	h.zoneClosed = closed
	if !closed {
		h.admission.Reopen()
		h.Log.Info("server takes work again: its zone is in service", "zone", h.Zone)
		return
	}
	h.admission.Close()
	h.Log.Info("server takes no work: its zone is out of service", "zone", h.Zone)
}

// updateStartLimit limits the start rate of the gate while the server is cold or possibly
// cold. While its zone is out of service the server may become cold at any moment, and does
// so at the latest when the zone is put back. Until then it has work only for keys that
// have not moved yet. It is called with mu held.
func (h *Host) updateStartLimit() {
	now := h.Clock.Steady()
	cold := h.startLimit > 0 && (h.warmup.Cold(now) || h.zone.Closed() || now.Before(h.ordersDoubted))
	var limit mtgate.StartRate
	if cold {
		limit = h.startLimit
	}
	h.admission.LimitStartRate(limit)
	if cold == h.startLimited {
		return
	}
	h.startLimited = cold
	h.Log.Info("server's warmth", "server", h.record.Incarnation.String(), "cold", cold, "left", h.warmup.Remaining(now), "most", int(h.startLimit))
}

// Status is the state of the server as shown to operators.
type Status struct {
	Server  string `json:"server"`
	State   string `json:"state"`
	Cold    bool   `json:"cold"`    // its request rate is limited
	ZoneOut bool   `json:"zoneOut"` // its availability zone is out of service
	// Limit is the number of calls per second that the server takes; null means that it
	// names no limit.
	Limit    any   `json:"limit"`
	Started  int64 `json:"started"`  // calls sent to it by this process
	Quota    int64 `json:"quota"`    // calls refused by this process because of the limit
	LinkFull int64 `json:"linkFull"` // bodies for which its link had no room
	// Withdrawn counts calls refused because the daemons that sent them withdrew them at their
	// shutdown.
	Withdrawn int64 `json:"withdrawn"`
	// Reserved is the number of slots kept free for more urgent calls, and ReservedRefused
	// that of the calls refused meanwhile since the server came up.
	Reserved        int    `json:"reserved"`
	ReservedRefused uint64 `json:"reservedRefused"`
	// Crashes counts the losses of the server.
	Crashes CrashCounts `json:"crashes"`
}

// Status returns the current state of the server.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	reserved := h.admission.Reserved()
	return Status{
		Server: h.record.Incarnation.String(), State: string(h.record.State), Cold: h.startLimited, ZoneOut: h.zone.Closed(),
		Limit: limitText(h.signals.limit.Rate()), Started: h.startedCalls.Load(), Quota: h.quotaRefused.Load(),
		LinkFull: h.link.refused.Load(), Withdrawn: h.withdrawnRefused.Load(),
		Reserved: reserved.Free, ReservedRefused: reserved.Refused, Crashes: h.crashCounts(),
	}
}
