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
	// readBuffer is the size of a connection's buffer, in bytes: most answers
	// fit, and a hundred connections stay under half a megabyte.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept if the server names no time.
	defaultIdle = 4 * time.Second
	// idleSpare is kept free before the time that the server names, so that a
	// call never crosses the server's close.
	idleSpare = time.Second
	// freshFor is how long a kept connection is good for a call that must not
	// run twice. A server that has dropped an idle connection without a word
	// resets it on the next call, and then nobody knows whether that was run.
	freshFor = 1500 * time.Millisecond
)

// conn is a connection to the backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	idle   time.Duration // that the server keeps it open for
	since  mtclock.Instant
}

// pool keeps idle connections, the last used first.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
	closed  bool
}

func newPool() *pool { return &pool{} }

// get returns a connection to the address that can still be used, or nil.
func (p *pool) get(address string, now mtclock.Instant, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.aim(address)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if !idempotent && now.Sub(c.since) > freshFor {
			return nil
		}
		p.idle = p.idle[:last]
		if now.Sub(c.since) < c.idle && quiet(c) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection that has ended its call in order.
func (p *pool) put(address string, c *conn, now mtclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.SetDeadline(time.Time{})
	p.aim(address)
	if p.closed || c.idle <= 0 {
		_ = c.Close()
		return
	}
	c.since = now
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) >= p.idle[0].idle {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// aim drops the connections to a former address.
func (p *pool) aim(address string) {
	if p.address == address {
		return
	}
	p.drop()
	p.address = address
}

func (p *pool) drop() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.drop()
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no call, which the next caller would take for
// its answer.
func quiet(c *conn) bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, got := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = got == unix.EAGAIN
		return true
	})
	return err == nil && nothing
}

// keepAlive returns for how long the server keeps the connection.
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
	return time.Duration(seconds)*time.Second - idleSpare
}
