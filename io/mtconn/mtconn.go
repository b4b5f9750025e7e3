// Package mtconn keeps connections to other daemons over gRPC, one for each
// address, and tells what a failed call over one of them proves.
//
// A message that was never handed to the transport has not left, so the call was
// not run; gRPC's status alone can't tell, since Unavailable covers both.
//
// # Usage
//
//	pool, cleanUp := mtconn.New(grpc.WithTransportCredentials(credentials))
//	conn, err := pool.Conn(address)
//	ctx, sent := mtconn.Watch(ctx)
//	reply, err := mtwire.NewPeerClient(conn).Relay(ctx, request)
//	if err != nil {
//		return mtconn.Explain(ctx, err, sent, retry)
//	}
//
// A Pool is safe for concurrent use.
package mtconn

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtreply"
)

// Pool holds the connections.
type Pool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// New returns an empty pool and its clean-up function. Its connections never
// send a call a second time by themselves.
func New(options ...grpc.DialOption) (*Pool, func()) {
	options = append(options, grpc.WithStatsHandler(handler{}), grpc.WithDisableRetry())
	p := &Pool{options: options, conns: make(map[string]*grpc.ClientConn)}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = map[string]*grpc.ClientConn{}
}

// Conn returns the connection to an address, a new one if there is none.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, p.options...)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: err.Error()}
	}
	p.conns[address] = conn
	return conn, nil
}

// Take takes the connection to an address out of the pool, open as it is, so that
// the next call opens a new one. It is nil if there is none.
func (p *Pool) Take(address string) *grpc.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	delete(p.conns, address)
	return conn
}

// Forget closes the connection to an address that no record names any more.
func (p *Pool) Forget(address string) {
	if conn := p.Take(address); conn != nil {
		_ = conn.Close()
	}
}

// Explain says what is known of a call that failed: a *mtreply.RefusedError with
// that time to ask again if its message never left, else a *mtreply.UnknownError.
func Explain(ctx context.Context, err error, sent *atomic.Bool, retry time.Duration) error {
	if !sent.Load() {
		return &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: retry, Detail: err.Error()}
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: err}
	case context.Canceled:
		return &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}
