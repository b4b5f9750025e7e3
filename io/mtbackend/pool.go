package mtbackend

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"magnoliaturn/core/mtclock"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes: most answers fit, and
	// a hundred connections use less than half a megabyte.
	readBuffer = 4 << 10
	// defaultIdle is how long an idle connection is kept if the server specifies no
	// timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the timeout that the server specifies, so that no call
	// is sent while the server closes the connection.
	idleMargin = time.Second
	// nonIdempotentMaxIdle is how long a connection may have been idle for a call that must
	// not run twice. If a server has dropped an idle connection without closing it, it
	// resets the connection on the next call, and it is unknown whether that call was run.
	nonIdempotentMaxIdle = 1500 * time.Millisecond
)

// conn is a connection to the backend server.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	idleTimeout time.Duration // how long the connection is kept while idle
	idleSince   mtclock.Instant

	part  Part  // that is being read
	bound int64 // of the part, in bytes
	left  int64 // until the bound, in bytes
	ended bool  // a read of the connection has failed
	// exceeded is set if more was asked for than the bound allows.
	exceeded bool
}

// newConn returns a connection that has just been opened.
func newConn(dialed net.Conn) *conn {
	c := &conn{Conn: dialed}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// pool keeps idle connections. The last used one is used first.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
	closed  bool
}

func newPool() *pool { return &pool{} }

// get returns a usable connection to the address, or nil.
func (p *pool) get(address string, now mtclock.Instant, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setAddress(address)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if !idempotent && now.Sub(c.idleSince) > nonIdempotentMaxIdle {
			return nil
		}
		p.idle = p.idle[:last]
		if now.Sub(c.idleSince) < c.idleTimeout && nothingReceived(c) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection whose call has ended without error.
func (p *pool) put(address string, c *conn, now mtclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.SetDeadline(time.Time{})
	p.setAddress(address)
	if p.closed || c.idleTimeout <= 0 {
		_ = c.Close()
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) >= p.idle[0].idleTimeout {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// setAddress closes the connections to any other address.
func (p *pool) setAddress(address string) {
	if p.address == address {
		return
	}
	p.closeIdle()
	p.address = address
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// nothingReceived reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no call, which the next caller would receive as its answer.
func nothingReceived(c *conn) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errno == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// keepAlive returns how long a connection is kept while idle, according to the server's
// Keep-Alive header.
func keepAlive(h http.Header) time.Duration {
	_, rest, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return defaultIdle
	}
	rest, _, _ = strings.Cut(rest, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(rest))
	if err != nil || seconds < 0 {
		return defaultIdle
	}
	return time.Duration(seconds)*time.Second - idleMargin
}
