package mthost

import (
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

// acknowledge notes that a life of the server leaves, which binds this daemon from now on,
// whatever it knows of that life yet. It is called with mu held, and before the server is
// told so.
//
// A restarted daemon acknowledged a leaving before it had read the assignment. When it had
// it brought the server into service, counted the time for new work from then, and the
// server got calls 2.0 s after the acknowledgement. One that had said so to the former
// process of its daemon got calls even later. So the time for new work runs only for a
// life that is in service here; that of another may be over already.
func (h *Host) acknowledge(life mtid.ServerIncarnation, now mtclock.Instant) {
	at := now
	if h.record.Incarnation != life || h.record.State != mtbackend.Ready {
		at = now.Add(-h.Drain)
	}
	if known, ok := h.leaving[life]; ok && known <= at {
		return
	}
	if len(h.leaving) >= mostLeaving {
		clear(h.leaving) // of lives that never ran here
	}
	h.leaving[life] = at
}

// mostLeaving bounds the lives that are known to leave. One runs at a time; others are
// those of beats that came late, or that another writer made up.
const mostLeaving = 64

// leave begins the leaving of the server, if its present life has been acknowledged to
// leave. Calls without a key go elsewhere from now on; keyed ones are served until their
// keys have moved, but not for long. It is called with mu held.
func (h *Host) leave(now mtclock.Instant, why string) {
	at, leaves := h.leaving[h.record.Incarnation]
	if !leaves || h.record.State == mtbackend.Draining || h.record.State == mtbackend.Ended {
		return
	}
	h.Log.Info("server is leaving", "server", h.record.Incarnation.String(), "why", why, "since", now.Sub(at))
	h.drains = at.Add(time.Duration(float64(h.Drain) * drainPart))
	if !now.Before(h.drains) {
		h.drains = 0
		h.door.Drain()
	}
	h.state(mtbackend.Draining)
}

// Leave takes in that the server takes itself out. It serves on for a while and
// exits then. One that does not say when it was born is the life that runs: the
// leaving is acknowledged, and that binds this daemon.
func (h *Host) Leave(life mtid.ServerIncarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if life.Started == 0 && life.Server == h.record.Incarnation.Server {
		life = h.record.Incarnation
	}
	if life.Before(h.record.Incarnation) {
		h.over[life] = true
		return
	}
	now := h.Clock.Now()
	h.acknowledge(life, now)
	if h.record.Incarnation == life && h.record.State == mtbackend.Ready {
		h.leave(now, "deregistered")
	}
}

// Former takes in the record that a former process of this daemon left. If its server
// was leaving, that was acknowledged then, and nobody knows any more when: no new work
// reaches that life. One that has taken itself out does not say so again.
func (h *Host) Former(r mtbackend.Record) {
	if r.State != mtbackend.Draining {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over[r.Incarnation] || r.Incarnation.Before(h.record.Incarnation) {
		return
	}
	now := h.Clock.Now()
	h.leaving[r.Incarnation] = now.Add(-h.Drain)
	if h.record.Incarnation == r.Incarnation && h.record.State == mtbackend.Ready {
		h.leave(now, "as a former daemon knew")
	}
}

// failed looks into a failure that says something of the server itself.
func (h *Host) failed(life mtid.ServerIncarnation, call *mtcall.Call, err error) {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		switch refused.Cause {
		case mtreply.CauseFenced:
			h.deny(life, call.Key)
		case mtreply.CauseNoServer:
			h.check(life)
		}
		return
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && unknown.Cause == mtreply.CauseLost {
		h.check(life)
	}
}

// deny takes in that the server says not to hold a key that it was granted: an
// order to release it may have been carried out late, or the server has begun
// another life under its name. That one must not be granted what the former life
// had under the same epoch, so where lives share a name the key is granted anew
// only after the next beat, which tells them apart. It costs such a key the time
// between two beats, and only where the server says when it was born.
func (h *Host) deny(life mtid.ServerIncarnation, key mtid.KeyNumber) {
	if life.Started == 0 {
		h.Fenced(key)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Incarnation == life {
		h.denied[key] = true
	}
}

// grantDenied grants what the server denied to hold, now that its life is known to
// go on. It is called with mu held.
func (h *Host) grantDenied() {
	for key := range h.denied {
		h.Fenced(key)
	}
	clear(h.denied)
}

// Suspect is told that an order found nobody at the server's address.
func (h *Host) Suspect(life mtid.ServerIncarnation) { h.check(life) }

// check finds out whether the server's process is gone, unless a check runs.
//
// What counts as the end of a life, and for how long its keys are unserved then:
//
//   - another life that runs at the address: until that one is granted keys, some
//     tens of milliseconds;
//   - refused connections of a server that this daemon knows and that has not said that
//     it leaves: 0.3 s;
//   - refused connections of one that is leaving, or that this daemon has not heard of
//     since its start, once every order to it must have run out: up to the length of a
//     grant. A leaving server takes no new connections and works on, and one that has
//     taken itself out says nothing more. Taken for ended at once, two servers held its
//     keys for half a second. Mostly its keys have moved by then.
func (h *Host) check(life mtid.ServerIncarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checking || h.record.Incarnation != life || h.record.State == mtbackend.Ended {
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
		if !gone || h.record.Incarnation != life {
			return
		}
		if h.record.State != mtbackend.Ready && !h.idle(h.Clock.Now()) {
			h.Log.Info("server takes no connections, and may be at work", "server", life.String(), "state", h.record.State, "address", address)
			return
		}
		h.Log.Warn("server's process is gone", "server", life.String(), "address", address)
		h.over[life] = true
		h.drains = 0
		h.lost()
		h.state(mtbackend.Ended)
		h.door.Resize(0, 0)
	}()
}

// idle reports whether no order can be in force at the server any more.
func (h *Host) idle(now mtclock.Instant) bool {
	return h.Lasts != nil && !now.Before(h.Lasts())
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
