package mthost

import (
	"context"
	"errors"
	"net"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	iobackend "magnoliaturn/io/mtbackend"
)

// listen looks after a server that has fallen silent, or was never heard of.
func (h *Host) listen(now mtclock.Instant) {
	h.mu.Lock()
	silent := now.Sub(h.beaten) > silence && now.Sub(h.checked) > silence
	server, state := h.record.Server, h.record.State
	if silent {
		h.checked = now
	}
	h.mu.Unlock()
	if silent && state != mtbackend.Ended {
		h.check(server)
	}
}

// Beat takes in what the server says. It returns after what the beat tells is in
// force here: the answer to a beat that announces the server's leaving binds
// this daemon.
//
// A beat may be held up and arrive after its sender has crashed and another life
// has begun. So one of a life that is not known here only makes the daemon ask
// the server itself. Taken at its word, it would make the keys of the life that
// runs look free, and they would be given to another server.
func (h *Host) Beat(b mtbackend.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.ended[b.Server]:
		h.Log.Info("beat of a former life passed over", "server", b.Server, "sequence", b.Sequence)
	case h.record.Server == b.Server:
		h.take(b)
	default:
		h.identify(b)
	}
}

// identify finds out whether the sender of a beat is the life that runs. If the
// server can't be asked, a second beat of the same life shows it too.
func (h *Host) identify(b mtbackend.Beat) {
	former := h.stranger
	h.stranger, h.strange = b, h.Clock.Now()
	if former.Server == b.Server && b.Sequence > former.Sequence {
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
	if h.stranger.Server == "" || h.identifying || now.Before(h.askAgain) || now.Sub(h.strange) > askFor {
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
		server, err := h.Client.Identify(context.Background(), beat.Address, path)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.identifying = false
		switch {
		case err != nil || server == "":
			h.Log.Info("server could not be asked which life runs", "beat", beat.Server, "error", err)
		case h.record.Server == server:
			// A second beat has shown it meanwhile.
		case server == h.stranger.Server:
			h.begin(h.stranger)
		default:
			h.Log.Warn("beat of another life than the one that runs", "beat", beat.Server, "server", server)
			h.stranger = mtbackend.Beat{}
		}
	}()
}

// take takes in a beat of the present life.
func (h *Host) take(b mtbackend.Beat) {
	now := h.Clock.Now()
	h.beaten = now
	if b.Sequence < h.sequence {
		return
	}
	h.sequence = b.Sequence
	h.address = b.Address
	h.record.Slots = b.Slots
	h.door.Resize(b.Slots, b.Slots)
	switch {
	case h.record.State == mtbackend.Unknown:
		h.clear(b)
	case b.Draining:
		h.leave(now, "beat")
	default:
		h.Publish(h.record)
	}
}

// clear brings a life of the server into service, once it holds no keys but its
// own.
//
// A server crashes and starts again at the same address. Until its next beat the
// daemon takes it for the former life, and renews that life's grants: the new one
// obeys. Were the new life told at once, others would take the former one's keys
// over, and two servers would hold them.
func (h *Host) clear(b mtbackend.Beat) {
	h.uncleared = b
	if h.clearing {
		return
	}
	h.clearing = true
	h.clearAgain = h.Clock.Now().Add(askPause)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		err := h.Clear(ctx, b.Server, b.Address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.clearing = false
		if err != nil {
			h.Log.Warn("new life of the server could not be cleared", "server", b.Server, "error", err)
			return
		}
		h.uncleared = mtbackend.Beat{}
		if h.record.Server != b.Server || h.record.State != mtbackend.Unknown {
			return
		}
		h.state(mtbackend.Ready)
		if b.Draining {
			h.leave(h.Clock.Now(), "beat")
		}
	}()
}

// settle goes on with what could not be done when a beat arrived.
func (h *Host) settle(now mtclock.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ask(now)
	unsettled := h.uncleared.Server != "" && h.uncleared.Server == h.record.Server && h.record.State == mtbackend.Unknown
	if unsettled && !now.Before(h.clearAgain) {
		h.clear(h.uncleared)
	}
}

// clearTimeout bounds the clearing of a new life, which runs nothing yet.
const clearTimeout = time.Second

// begin starts a new life of the server.
func (h *Host) begin(b mtbackend.Beat) {
	if h.record.Server != "" {
		h.ended[h.record.Server] = true
		h.Log.Info("server has another life", "former", h.record.Server, "server", b.Server)
		h.door.Drain()
		h.door = h.newDoor()
	}
	h.stranger = mtbackend.Beat{}
	h.record.Server = b.Server
	h.record.Service = b.Service
	h.record.State = mtbackend.Unknown
	h.sequence = 0
	h.drains = 0
	h.take(b)
}

// state changes the state and tells all daemons.
func (h *Host) state(s mtbackend.State) {
	h.Log.Info("server state", "server", h.record.Server, "from", h.record.State, "to", s, "slots", h.record.Slots, "sequence", h.sequence)
	h.record.State = s
	h.Publish(h.record)
	h.Changed()
}

// leave begins the leaving of the server. Calls without a key go elsewhere from
// now on; keyed ones are served until their keys have moved, but not for long.
func (h *Host) leave(now mtclock.Instant, why string) {
	if h.record.State == mtbackend.Draining || h.record.State == mtbackend.Ended {
		return
	}
	h.Log.Info("server is leaving", "server", h.record.Server, "why", why)
	h.drains = now.Add(time.Duration(float64(h.Drain) * drainPart))
	h.state(mtbackend.Draining)
}

// Leave takes in that the server takes itself out. It serves on for a while and
// exits then.
func (h *Host) Leave(server mtid.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Server != server {
		h.ended[server] = true
		return
	}
	h.leave(h.Clock.Now(), "deregistered")
}

// failed looks into a failure that says something of the server itself.
func (h *Host) failed(server mtid.Server, call *mtcall.Call, err error) {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		switch refused.Cause {
		case mtreply.CauseFenced:
			h.Fenced(call.Key)
		case mtreply.CauseNoServer:
			h.check(server)
		}
		return
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && unknown.Cause == mtreply.CauseLost {
		h.check(server)
	}
}

// check finds out whether the server's process is gone, unless a check runs.
func (h *Host) check(server mtid.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checking || h.record.Server != server || h.record.State == mtbackend.Ended {
		return
	}
	h.checking = true
	address := h.address
	silent := h.Clock.Now().Sub(h.beaten) > silence
	go func() {
		gone := processGone(address, silent)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.checking = false
		if !gone || h.record.Server != server {
			return
		}
		h.Log.Warn("server's process is gone", "server", server, "address", address)
		h.ended[server] = true
		h.drains = 0
		h.state(mtbackend.Ended)
		h.door.Resize(0, 0)
	}()
}

// processGone reports whether nothing listens at the address any more: the
// kernel of the own VM refuses each of several connections. Of a server that
// has been silent too, connections that nobody answers show the same: a server
// that lives accepts connections, or resets them, within its VM at once.
func processGone(address string, silent bool) bool {
	for i := range deadChecks {
		if i > 0 {
			time.Sleep(deadPause)
		}
		conn, err := net.DialTimeout("tcp", address, deadPause)
		if err == nil {
			_ = conn.Close()
			return false
		}
		if !iobackend.Refused(err) && !(silent && iobackend.TimedOut(err)) {
			return false
		}
	}
	return true
}
