package mthost

import (
	"context"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
)

// ZoneOut takes in that the operators have taken this VM's availability zone out of
// service, by an order of that version. Nothing new without a key is begun at the server
// from now on, and what waits is handed back at once. Keys are served until they have
// moved, but not after until.
func (h *Host) ZoneOut(version mtid.Version, until mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zone.Close(version, until)
	h.fit(h.Clock.Now())
}

// ZoneBack takes in that the zone is in service, and may have been out of it a moment ago.
// A server that stood idle has become cold, and its last beat may not have said so yet.
func (h *Host) ZoneBack() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zone.Reopen()
	h.doubtWarmth()
	h.fitZone(h.Clock.Now())
}

// Warmup sets how many calls the server is given in any one second while it is cold. Zero
// is no limit.
func (h *Host) Warmup(most mtgate.StartRate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.most = most
	h.fitWarmth()
}

// pausedFor is how long this process has not run at least when it may have missed that the
// server became cold: an order about its zone that came and went, or a beat.
const pausedFor = time.Second

// ran notes that this process runs. One that was paused goes on as though nothing had
// happened, and gave a server that had become cold meanwhile what it gave before, until the
// next beat. It is called with mu held.
func (h *Host) ran(now mtclock.Instant) {
	paused := now.Sub(h.awake) > pausedFor
	h.awake = now
	if paused {
		h.doubtWarmth()
	}
}

// doubtWarmth takes the server for cold, since it may have become so, until it says
// otherwise. It is asked at once, where that matters: its next beat takes up to a second.
// It is called with mu held.
func (h *Host) doubtWarmth() {
	h.warmth.MarkPossiblyCold(h.Clock.Now())
	h.fitWarmth()
	path := h.Health()
	if h.most <= 0 || path == "" {
		return
	}
	life, address := h.record.Incarnation, h.address
	go func() {
		connected := h.Clock.Now() // at the earliest
		health, err := h.Client.Identify(context.Background(), address, path)
		h.mu.Lock()
		defer h.mu.Unlock()
		if err != nil || health.Server != life.Server || h.record.Incarnation != life {
			h.Log.Info("server could not be asked whether it is cold", "server", life.String(), "answers", string(health.Server), "error", err)
			return
		}
		h.warmth.ObserveHeartbeat(h.Clock.Steady(), mtbackend.Heartbeat{Cold: health.Cold, Connected: connected})
		h.fitWarmth()
	}()
}

// fit brings the gate in line with what holds of the zone and of the server's warmth. It
// is called with mu held.
func (h *Host) fit(now mtclock.Instant) {
	h.fitZone(now)
	h.fitWarmth()
}

// fitZone closes the gate while the zone is out of service, and opens it again. It is called
// with mu held.
func (h *Host) fitZone(now mtclock.Instant) {
	shut := h.zone.Closed() && !h.zone.Open(now, h.Keyed())
	if shut == h.shut {
		return
	}
	h.shut = shut
	if !shut {
		h.door.Reopen()
		h.Log.Info("server takes work again: its zone is in service", "zone", h.Zone)
		return
	}
	h.door.Close()
	h.Log.Info("server takes no work: its zone is out of service", "zone", h.Zone)
}

// fitWarmth limits the gate while the server is cold, or may be. While its zone is out of
// service it may become cold at any moment, at the end at the latest, and has work only for
// keys that have not moved yet. It is called with mu held.
func (h *Host) fitWarmth() {
	now := h.Clock.Steady()
	cold := h.most > 0 && (h.warmth.Cold(now) || h.zone.Closed())
	var pace mtgate.StartRate
	if cold {
		pace = h.most
	}
	h.door.Limit(pace)
	if cold == h.cold {
		return
	}
	h.cold = cold
	h.Log.Info("server's warmth", "server", h.record.Incarnation.String(), "cold", cold, "left", h.warmth.Remaining(now), "most", int(h.most))
}

// Status is how the server does, for operators.
type Status struct {
	Server  string `json:"server"`
	State   string `json:"state"`
	Cold    bool   `json:"cold"`    // it is given few requests a second
	ZoneOut bool   `json:"zoneOut"` // its availability zone is out of service
}

// Status returns how the server does now.
func (h *Host) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Status{Server: h.record.Incarnation.String(), State: string(h.record.State), Cold: h.cold, ZoneOut: h.zone.Closed()}
}
