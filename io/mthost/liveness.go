package mthost

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtdial"
)

// When a server crashes and restarts at the same address, its daemon notices the new
// incarnation only with its first heartbeat, up to a second later. A grant renewed in the
// meantime reaches the new incarnation, under the epoch of the previous one: two
// incarnations have then held the keys under one epoch, and other servers may be taking
// them over.
//
// So the daemon keeps an idle connection to the server open, the liveness connection, which
// ends with the server's process. While it is open, whatever is sent to the address reaches
// the incarnation that was there when it was opened. Once it has ended, no grant is sent
// until the incarnation has been confirmed again.

const (
	// livenessDialTimeout limits the opening of the connection, within one VM.
	livenessDialTimeout = 200 * time.Millisecond
	// livenessDialPause is the pause between two attempts to open it.
	livenessDialPause = 200 * time.Millisecond
	// livenessMaxAge is the age after which the connection is replaced while it is still
	// open: servers close connections that are idle for some seconds.
	livenessMaxAge = 2 * time.Second
	// livenessMinAge is the same for servers that close idle connections sooner.
	livenessMinAge = 250 * time.Millisecond
)

// livenessConn is a connection that ends with the server's process.
type livenessConn struct {
	conn        net.Conn
	incarnation mtid.ServerIncarnation // assumed at the other end
	opened      mtclock.Instant        // time after the connection was opened
	confirmed   bool                   // the incarnation is certainly at the other end
}

// StrayBytesError reports a connection on which a server sent bytes although nothing was asked.
type StrayBytesError struct{}

// Error implements error.
func (*StrayBytesError) Error() string { return "the server sent bytes that answer nothing" }

// ConnectedTo reports whether a connection to the server's address that is open now leads to
// that incarnation.
func (h *Host) ConnectedTo(incarnation mtid.ServerIncarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveness != nil && h.liveness.incarnation == incarnation && h.liveness.confirmed && h.liveness.open()
}

// open reports whether the kernel has no sign yet that the peer has ended. The goroutine that waits for
// the end may not have run since.
func (t *livenessConn) open() bool {
	socket, ok := t.conn.(syscall.Conn)
	if !ok {
		return true
	}
	pending, err := mtdial.Poll(socket, unix.POLLIN)
	return err == nil && !pending
}

// openLiveness opens the liveness connection if there is none, or the current one is old.
// It is called with mu held.
func (h *Host) openLiveness(now mtclock.Instant) {
	incarnation := h.record.Incarnation
	current := h.liveness != nil && h.liveness.incarnation == incarnation && now.Sub(h.liveness.opened) < h.livenessAge
	if incarnation.IsZero() || h.ended[incarnation] || current || h.openingLiveness || now.Before(h.openLivenessAfter) {
		return
	}
	h.openingLiveness = true
	h.openLivenessAfter = now.Add(livenessDialPause)
	previous := h.liveness
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), livenessDialTimeout)
		defer cancel()
		conn, err := mtdial.Dial(ctx, "tcp", h.Address)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.openingLiveness = false
		if err != nil {
			h.Log.Info("liveness connection to the server failed", "server", incarnation.String(), "error", err)
			return
		}
		h.replaceLiveness(&livenessConn{conn: conn, incarnation: incarnation, opened: h.Clock.Now()}, previous)
	}()
}

// replaceLiveness replaces the previous liveness connection by a new one. While the
// previous one is open, both lead to the same process. It is called with mu held.
func (h *Host) replaceLiveness(t, previous *livenessConn) {
	if t.incarnation != h.record.Incarnation || h.liveness != previous {
		_ = t.conn.Close()
		return
	}
	h.liveness = t
	if previous != nil && previous.incarnation == t.incarnation {
		t.confirmed = previous.confirmed && previous.open()
	}
	if previous != nil {
		_ = previous.conn.Close()
	}
	go h.watchLiveness(t)
	if !t.confirmed {
		h.confirmByName(t)
	}
}

// closeLiveness closes the liveness connection.
func (h *Host) closeLiveness() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closeLivenessLocked()
}

// closeLivenessLocked is closeLiveness with mu held.
func (h *Host) closeLivenessLocked() {
	if h.liveness == nil {
		return
	}
	_ = h.liveness.conn.Close()
	h.liveness = nil
	h.openLivenessAfter = 0
}

// watchLiveness waits until a liveness connection ends.
func (h *Host) watchLiveness(t *livenessConn) {
	var one [1]byte
	n, err := t.conn.Read(one[:])
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = t.conn.Close()
	if h.liveness != t {
		return // replaced by another one
	}
	h.liveness = nil
	h.openLivenessAfter = 0
	h.livenessClosed = livenessClose{incarnation: t.incarnation}
	if errors.Is(err, io.EOF) {
		h.livenessClosed.after = h.Clock.Now().Sub(t.opened)
	}
	if n > 0 {
		// Its end couldn't be seen behind the bytes. The next connection may bring them too.
		err = &StrayBytesError{}
		h.openLivenessAfter = h.Clock.Now().Add(livenessDialPause)
	}
	// The server may have restarted under the same name, and be cold.
	h.assumeCold()
	h.Log.Info("connection that tells the server's lives apart has ended", "server", t.incarnation.String(), "error", err)
	go h.checkProcess(t.incarnation)
}

// confirmByName determines which incarnation is at the other end of a new liveness
// connection: by querying the server if its name is sufficient, otherwise the next
// heartbeat shows it. It is called with mu held.
func (h *Host) confirmByName(t *livenessConn) {
	path := h.Health()
	if path == "" || h.nameIsAmbiguous(t.incarnation) {
		return
	}
	go func() {
		sent := h.Clock.Now()
		health, err := h.Client.Identify(context.Background(), h.Address, path)
		server := health.Server
		if err != nil || server != t.incarnation.Server {
			h.Log.Info("incarnation of the server is unconfirmed until its next heartbeat", "server", t.incarnation.String(), "answers", string(server), "error", err)
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.confirmLiveness(t)
		if h.record.Incarnation == t.incarnation {
			h.proof = proofAnswer
			h.applySignals(sent, health.Signals)
		}
	}()
}

// nameIsAmbiguous reports whether the server's name does not tell which incarnation
// answers: an incarnation that was confirmed on a previous connection may have ended with
// it, and its successor may have the same name.
func (h *Host) nameIsAmbiguous(incarnation mtid.ServerIncarnation) bool {
	return incarnation.Started != 0 && h.lastConfirmed == incarnation
}

// confirmLiveness records that the incarnation at the other end of a liveness connection is
// known. It is called with mu held.
func (h *Host) confirmLiveness(t *livenessConn) {
	if t == nil || h.liveness != t || t.confirmed || !t.open() {
		return
	}
	t.confirmed = true
	h.lastConfirmed = t.incarnation
	h.shortenLiveness(t.incarnation)
	go h.OnChange()
}

// livenessClose is the last end of a liveness connection.
type livenessClose struct {
	incarnation mtid.ServerIncarnation
	after       time.Duration // age at which the peer closed it in an orderly way; zero otherwise
}

// shortenLiveness replaces liveness connections earlier from now on if an incarnation that is
// confirmed to run has closed the last one while it was idle. Otherwise it would be unconfirmed
// from each such close until its next heartbeat. It is called with mu held.
func (h *Host) shortenLiveness(incarnation mtid.ServerIncarnation) {
	closed := h.livenessClosed
	h.livenessClosed = livenessClose{}
	age := max(closed.after/2, livenessMinAge)
	if closed.incarnation != incarnation || closed.after == 0 || age >= h.livenessAge {
		return
	}
	h.Log.Info("server closes idle connections early", "server", incarnation.String(), "after", closed.after, "replaced", age)
	h.livenessAge = age
}
