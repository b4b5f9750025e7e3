// Package mtconn pools gRPC connections to other daemons, one for each address, and
// determines whether a failed call may have been run.
//
// A call whose message was never passed to the transport was not sent, so it was not
// run. The status of gRPC does not reveal this: Unavailable covers calls that were not
// sent and calls that were.
//
// # Usage
//
//	pool, cleanUp := mtconn.New(grpc.WithTransportCredentials(credentials))
//	conn, err := pool.Conn(address)
//	ctx, sent := mtconn.TrackSend(ctx)
//	reply, err := mtwire.NewPeerClient(conn).Relay(ctx, request)
//	if err != nil {
//		return mtconn.ClassifyError(ctx, err, sent, retry)
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

// maxHead is the maximum size of the head and of the trailer of a response, in bytes.
const maxHead = 64 << 10

// Pool holds one connection for each address.
type Pool struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// New returns an empty pool and its clean-up function, which closes all connections. The
// automatic retries of gRPC are turned off.
func New(options ...grpc.DialOption) (*Pool, func()) {
	options = append(options, grpc.WithStatsHandler(sentHandler{}), grpc.WithDisableRetry(), grpc.WithMaxHeaderListSize(maxHead))
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

// Conn returns the connection to an address, and creates it if there is none. It fails with
// a *mtreply.RefusedError.
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

// Detach removes the connection to an address from the pool without closing it, so that the
// next call opens a new one. It returns nil if there is none.
func (p *Pool) Detach(address string) *grpc.ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	delete(p.conns, address)
	return conn
}

// Forget closes the connection to an address and removes it from the pool. It is meant for
// addresses that no record contains any more.
func (p *Pool) Forget(address string) {
	if conn := p.Detach(address); conn != nil {
		_ = conn.Close()
	}
}

// ClassifyError converts the error of a failed call. If the message was never sent, it
// returns a *mtreply.RefusedError with retry as the time after which to retry, else a
// *mtreply.UnknownError.
func ClassifyError(ctx context.Context, err error, sent *atomic.Bool, retry time.Duration) error {
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
