package mthost

import (
	"context"
	"net"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtdial"
)

// A server crashes and starts again at the same address, and its daemon hears of
// the new life only with its first beat, up to a second later. A grant that is
// renewed meanwhile reaches the new life, under the epoch that the former one had:
// two lives have held the keys under one epoch, and others may be taking them over.
//
// So a connection to the server is kept open, on which nothing is said. It ends with
// the process: while it stands, whatever is sent to the address reaches the life
// that was there when it was opened. Once it has ended no grant is sent until the
// life is known anew.

const (
	// tieTimeout bounds the opening of the connection, within one VM.
	tieTimeout = 200 * time.Millisecond
	// tiePause is between two attempts to open it.
	tiePause = 200 * time.Millisecond
	// tieFor is after which time it is opened anew, while the former one stands:
	// servers close connections on which nothing is said for some seconds.
	tieFor = 2 * time.Second
)

// tether is the connection that ends with the server's process.
type tether struct {
	conn   net.Conn
	life   mtid.ServerIncarnation // that is taken to be at its end
	opened mtclock.Instant        // after it had been opened
	known  bool                   // that life is certainly at its end
}

// Bound reports whether whatever is sent to the server's address now reaches that
// life.
func (h *Host) Bound(life mtid.ServerIncarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tether != nil && h.tether.life == life && h.tether.known
}

// tie opens the connection if there is none, or the present one is old. It is
// called with mu held.
func (h *Host) tie(now mtclock.Instant) {
	life := h.record.Incarnation
	fresh := h.tether != nil && h.tether.life == life && now.Sub(h.tether.opened) < tieFor
	if life.IsZero() || h.over[life] || fresh || h.tying || now.Before(h.tieAgain) {
		return
	}
	h.tying = true
	h.tieAgain = now.Add(tiePause)
	former, address := h.tether, h.address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tieTimeout)
		defer cancel()
		conn, err := mtdial.Dial(ctx, "tcp", address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.tying = false
		if err != nil {
			h.Log.Info("server takes no connection to tell its lives apart", "server", life.String(), "error", err)
			return
		}
		h.tied(&tether{conn: conn, life: life, opened: h.Clock.Now()}, former)
	}()
}

// tied puts a new connection in the place of the former one. While that one stands,
// both lead to the same process. It is called with mu held.
func (h *Host) tied(t, former *tether) {
	if t.life != h.record.Incarnation || h.tether != former {
		_ = t.conn.Close()
		return
	}
	h.tether = t
	if former != nil && former.life == t.life {
		t.known = former.known
	}
	if former != nil {
		_ = former.conn.Close()
	}
	go h.watch(t)
	if !t.known {
		h.recognise(t)
	}
}

// untie closes the connection.
func (h *Host) untie() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.untieLocked()
}

// untieLocked is untie with mu held.
func (h *Host) untieLocked() {
	if h.tether == nil {
		return
	}
	_ = h.tether.conn.Close()
	h.tether = nil
	h.tieAgain = 0
}

// watch waits for the end of a connection.
func (h *Host) watch(t *tether) {
	var one [1]byte
	_, err := t.conn.Read(one[:])
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = t.conn.Close()
	if h.tether != t {
		return // another one has taken its place
	}
	h.tether = nil
	h.tieAgain = 0
	// The server may have started again, under the name that it had.
	h.doubtWarmth()
	h.Log.Info("connection that tells the server's lives apart has ended", "server", t.life.String(), "error", err)
	go h.check(t.life)
}

// recognise finds out which life is at the end of a new connection: by asking the
// server, where its name alone tells, or else by its next beat. It is called with
// mu held.
func (h *Host) recognise(t *tether) {
	path := h.Health()
	if path == "" || h.reborn(t.life) {
		return
	}
	address := h.address
	go func() {
		health, err := h.Client.Identify(context.Background(), address, path)
		server := health.Server
		if err != nil || server != t.life.Server {
			h.Log.Info("life of the server waits for its next beat", "server", t.life.String(), "answers", string(server), "error", err)
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.confirm(t)
	}()
}

// reborn reports whether the server's name does not tell which life of it answers:
// a life that was at the end of a connection before may have ended with it.
func (h *Host) reborn(life mtid.ServerIncarnation) bool {
	return life.Started != 0 && h.recognised == life
}

// confirm notes that the life at the end of a connection is known. It is called with
// mu held.
func (h *Host) confirm(t *tether) {
	if t == nil || h.tether != t || t.known {
		return
	}
	t.known = true
	h.recognised = t.life
	go h.Changed()
}
