package mthost

import (
	"context"
	"fmt"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// listen looks after a server that has fallen silent, or was never heard of.
func (h *Host) listen(now mtclock.Instant) {
	h.mu.Lock()
	silent := now.Sub(h.beaten) > silence && now.Sub(h.checked) > silence
	life, state := h.record.Incarnation, h.record.State
	if silent {
		h.checked = now
	}
	h.mu.Unlock()
	if silent && state != mtbackend.Ended {
		h.check(life)
	}
}

// ForeignError says that a beat can't be that of this VM's server.
type ForeignError struct{ Service mtid.Service }

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("host: a beat names the service %q, which nothing declares", e.Service)
}

// Beat takes in what the server says. It returns after what the beat tells is in
// force here: the answer to a beat that announces the server's leaving binds
// this daemon.
//
// A beat may be held up and arrive after its sender has crashed and another life
// has begun. So one of a life that is not known here only makes the daemon ask
// the server itself. Taken at its word, it would make the keys of the life that
// runs look free, and they would be given to another server.
//
// It fails with a *ForeignError if the beat names a service that nobody knows.
func (h *Host) Beat(b mtbackend.Heartbeat) error {
	if b.Service != h.Service && !h.Named(b.Service) {
		return &ForeignError{Service: b.Service}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over[b.Incarnation] || b.Incarnation.Before(h.record.Incarnation) {
		h.Log.Info("beat of a former life passed over", "server", b.Incarnation.String(), "sequence", b.Sequence)
		return nil
	}
	if b.Draining {
		h.acknowledge(b.Incarnation, h.Clock.Now())
	}
	if h.record.Incarnation == b.Incarnation {
		h.take(b)
	} else {
		h.identify(b)
	}
	return nil
}

// identify finds out whether the sender of a beat is the life that runs. If the
// server can't be asked, a second beat of the same life shows it too.
func (h *Host) identify(b mtbackend.Heartbeat) {
	former := h.stranger
	h.stranger, h.strange = b, h.Clock.Now()
	if former.Incarnation == b.Incarnation && b.Sequence > former.Sequence {
		h.begin(b)
		return
	}
	h.ask(h.strange)
}

const (
	// askPause is between two questions which life of a server runs, and between
	// two attempts to clear one. After a loss of power a daemon hears the first
	// beat before it knows a configuration or the assignment, some tens of
	// milliseconds. If it then waited for the next beat, every server would stay
	// out of service for 1.5 s.
	askPause = 50 * time.Millisecond
	// askFor is how long after its beat a server is asked: until the next one.
	askFor = 2 * time.Second
)

// ask asks the server which life runs, if there is one to ask about. It is called
// with mu held.
func (h *Host) ask(now mtclock.Instant) {
	if h.stranger.Incarnation.IsZero() || h.identifying || now.Before(h.askAgain) || now.Sub(h.strange) > askFor {
		return
	}
	path := h.Health()
	if path == "" {
		return
	}
	h.identifying = true
	h.askAgain = now.Add(askPause)
	beat := h.stranger
	go func() {
		health, err := h.Client.Identify(context.Background(), beat.Address, path)
		server := health.Server
		h.mu.Lock()
		defer h.mu.Unlock()
		h.identifying = false
		switch {
		case err != nil || server == "":
			h.Log.Info("server could not be asked which life runs", "beat", beat.Incarnation.String(), "error", err)
		case h.stranger.Incarnation.IsZero():
			// A second beat has shown it meanwhile.
		case server == h.stranger.Incarnation.Server:
			// Of two lives with this name the one that was born later runs, and
			// no earlier one is asked about.
			h.begin(h.stranger)
		case h.record.Incarnation.Server == server:
			// The known life runs, and the beat is an old one.
		default:
			h.Log.Warn("beat of another life than the one that runs", "beat", beat.Incarnation.String(), "server", server)
			h.stranger = mtbackend.Heartbeat{}
		}
	}()
}

// take takes in a beat of the present life.
func (h *Host) take(b mtbackend.Heartbeat) {
	now := h.Clock.Now()
	h.beaten = now
	if b.Sequence < h.sequence {
		return
	}
	h.grantDenied()
	// A beat may come seconds after its sender has ended. Its sender was alive when its
	// connection was accepted; if that was after the tether had been opened, the two lead
	// to the same life.
	if h.tether != nil && h.tether.opened.Before(b.Connected) {
		h.confirm(h.tether)
	}
	h.warmth.ObserveHeartbeat(h.Clock.Steady(), b)
	h.fitWarmth()
	h.sequence = b.Sequence
	h.address = b.Address
	h.record.Slots = b.Slots
	h.door.Resize(b.Slots, b.Slots)
	if h.record.State == mtbackend.Unknown {
		h.clear(b)
		return
	}
	h.Publish(h.record)
	h.leave(now, "beat")
}

// clear brings a life of the server into service, once it holds no keys but its
// own.
//
// A server crashes and starts again at the same address. Until its next beat the
// daemon takes it for the former life, and renews that life's grants: the new one
// obeys. Were the new life told at once, others would take the former one's keys
// over, and two servers would hold them.
func (h *Host) clear(b mtbackend.Heartbeat) {
	h.uncleared = b
	if h.clearing {
		return
	}
	h.clearing = true
	h.clearAgain = h.Clock.Now().Add(askPause)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		err := h.Clear(ctx, b.Incarnation, b.Address)
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
		if _, leaves := h.leaving[b.Incarnation]; leaves {
			h.leave(h.Clock.Now(), "before it was in service")
			return
		}
		h.state(mtbackend.Ready)
	}()
}

// settle goes on with what could not be done when a beat arrived.
func (h *Host) settle(now mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ask(now)
	h.tie(now)
	unsettled := !h.uncleared.Incarnation.IsZero() && h.uncleared.Incarnation == h.record.Incarnation && h.record.State == mtbackend.Unknown
	if unsettled && !now.Before(h.clearAgain) {
		h.clear(h.uncleared)
	}
}

// clearTimeout bounds the clearing of a new life, which runs nothing yet.
const clearTimeout = time.Second

// begin starts a new life of the server.
func (h *Host) begin(b mtbackend.Heartbeat) {
	if !h.record.Incarnation.IsZero() {
		if !h.over[h.record.Incarnation] {
			h.lost()
		}
		h.over[h.record.Incarnation] = true
		h.Log.Info("server has another life", "former", h.record.Incarnation.String(), "server", b.Incarnation.String())
		h.door.Drain()
		h.door, h.shut = h.newDoor(), false
	}
	h.warmth = mtbackend.WarmupTracker{}
	h.fitZone(h.Clock.Now())
	h.stranger = mtbackend.Heartbeat{}
	h.record.Incarnation = b.Incarnation
	h.record.Service = b.Service
	h.record.State = mtbackend.Unknown
	h.sequence = 0
	h.drains = 0
	clear(h.denied)
	h.untieLocked()
	h.take(b)
	h.tie(h.Clock.Now())
}

// state changes the state and tells all daemons.
func (h *Host) state(s mtbackend.State) {
	h.Log.Info("server state", "server", h.record.Incarnation.String(), "from", h.record.State, "to", s, "slots", h.record.Slots, "sequence", h.sequence)
	h.record.State = s
	h.Publish(h.record)
	h.Changed()
}
