// Package mtrelay carries requests and deltas of the live state between
// daemons over gRPC.
//
// The client tells a request that was never handed to the transport (not run)
// from one that was (unknown): gRPC's status alone can't, since Unavailable
// covers both. A stats handler notes the moment at which the message was
// written.
//
// # Usage
//
//	server := mtrelay.NewServer(owner, view, limit)
//	server.Register(grpcServer)
//	client, cleanUp := mtrelay.NewClient(credentials, limit)
//	reply, err := client.Relay(ctx, address, request, timeLeft)
//
// Client and Server are safe for concurrent use.
package mtrelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtsent"
)

// DeltaLimit is the size, in bytes, near which a delta is cut.
const DeltaLimit = 256 << 10

// overhead is what a message needs beside the body, in bytes.
const overhead = 64 << 10

// Pings on idle connections find a peer that vanished without a word. They are
// rare, since renewal datagrams find a lost daemon sooner.
const (
	pingAfter   = 20 * time.Second
	pingTimeout = 5 * time.Second
)

// A daemon that was replaced listens again within seconds. gRPC's own backoff
// grows to two minutes, for which all of its keys would be refused here.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// unreachableRetry is when to ask again for keys of a daemon that can't be
// reached: about the time of a takeover.
const unreachableRetry = time.Second

// Client sends to other daemons over one pooled connection each.
type Client struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// NewClient returns a client and its clean-up function. limit is the largest
// body in bytes.
func NewClient(creds credentials.TransportCredentials, limit int64) (*Client, func()) {
	c := &Client{conns: make(map[string]*grpc.ClientConn)}
	size := int(limit) + overhead + DeltaLimit
	c.options = []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithStatsHandler(mtsent.Handler{}),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(reconnect),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(size), grpc.MaxCallSendMsgSize(size)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
	}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[string]*grpc.ClientConn{}
}

// Conn returns the pooled connection to an address. Other gRPC services of the
// daemon use it too.
func (c *Client) Conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.options...)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: err.Error()}
	}
	c.conns[address] = conn
	return conn, nil
}

// Forget closes the connection to an address that no record names any more.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// Relay sends a request to the owner's daemon and returns its reply. left is
// the time until the caller's deadline. It fails with a *mtreply.RefusedError
// if the request was never sent, else with a *mtreply.UnknownError.
func (c *Client) Relay(ctx context.Context, address string, r *mtrequest.Request, frontier mtid.Revision, left time.Duration) (*mtrequest.Reply, error) {
	conn, err := c.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ctx, sent := mtsent.Watch(ctx)
	var header metadata.MD
	w, err := mtwire.NewPeerClient(conn).Relay(ctx, wireRequest(r, frontier), grpc.Header(&header))
	if len(header.Get(begunHeader)) > 0 && r.Begun != nil {
		r.Begun()
	}
	if err != nil {
		return nil, relayError(ctx, err, sent)
	}
	// A reply that is not for this request would hand one caller another's
	// data; gRPC matches streams, so this shows only with a faulty peer.
	if id, err := mtrequest.ReadID(w.GetId()); err != nil || id != r.ID {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated}
	}
	return readReply(w), nil
}

// relayError tells whether the request may have reached the owner.
func relayError(ctx context.Context, err error, sent *atomic.Bool) error {
	if !sent.Load() {
		return &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: unreachableRetry, Detail: err.Error()}
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: err}
	case context.Canceled:
		return &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}

// Pull returns what changed in a peer's copy of the live state after a
// revision, with no assignment as steps if whole is set.
func (c *Client) Pull(ctx context.Context, address string, after mtid.Revision, whole bool) (mtview.Delta, error) {
	conn, err := c.Conn(address)
	if err != nil {
		return mtview.Delta{}, err
	}
	w, err := mtwire.NewPeerClient(conn).Pull(ctx, &mtwire.PullRequest{After: uint64(after), Whole: whole})
	if err != nil {
		return mtview.Delta{}, &PullError{Address: address, Err: err}
	}
	return readDelta(after, w), nil
}

// PullError says that a peer's live state could not be had.
type PullError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *PullError) Error() string { return "relay: pull from " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *PullError) Unwrap() error { return e.Err }
