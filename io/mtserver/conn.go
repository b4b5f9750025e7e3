package mtserver

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts write attempts, so that a request that failed before its first
// byte is recognized as such. The error alone is ambiguous: an idle connection that
// the server has closed gives the same error as a lost reply.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It counts before it writes: counting too early makes an
// outcome unknown, but counting too late would report a request that was sent as not
// run.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// dialCounted returns a dial function that wraps each connection in a countedConn.
func dialCounted(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// connUsage detects whether a request wrote to the connection that it was given.
type connUsage struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
}

func (u *connUsage) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conn, _ = info.Conn.(*countedConn)
		if u.conn != nil {
			u.before = u.conn.writes.Load()
		}
	}}
}

// written reports whether any byte of the request may have been sent. It is called
// after the request failed. It closes the connection before it reads the counter,
// since the transport's writer goroutine might otherwise start to write just after
// the check.
func (u *connUsage) written() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conn == nil {
		return false
	}
	_ = u.conn.Close()
	return u.conn.writes.Load() != u.before
}
