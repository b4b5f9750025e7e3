package mtserver

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the attempts to write, so that a request which failed
// before its first byte is known to be one. The error alone can't tell: an idle
// connection that the server closed gives the same one as a lost reply.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It counts before it writes: a write that is
// counted too early makes an outcome unknown, one counted too late would make
// "not run" untrue.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// dialCounted returns a dial function whose connections count.
func dialCounted(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// usage tells whether one request wrote to the connection that it was given.
type usage struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
}

func (u *usage) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conn, _ = info.Conn.(*countedConn)
		if u.conn != nil {
			u.before = u.conn.writes.Load()
		}
	}}
}

// written reports whether any byte of the request may have left. It is called
// after the request failed. It closes the connection first: the transport's
// writer runs on its own and might begin just after the look otherwise.
func (u *usage) written() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return false
	}
	_ = u.conn.Close()
	return u.conn.writes.Load() != u.before
}
