// Package mtrelay transmits requests and view deltas between daemons over gRPC.
//
// The client distinguishes a request that was never passed to the transport (not
// run) from one that was (unknown). The gRPC status alone can't, since Unavailable
// covers both, so a stats handler records when the message is written.
//
// # Usage
//
//	server := mtrelay.NewServer(owner, view, clock, onFrontier)
//	server.Register(grpcServer)
//	client, cleanUp := mtrelay.NewClient(credentials, limit)
//	reply, err := client.Relay(ctx, address, request, frontier, timeLeft)
//
// Client and Server are safe for concurrent use.
package mtrelay

import (
	"context"
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
	"magnoliaturn/io/mtconn"
)

// MaxDeltaSize is the approximate size in bytes at which a delta is split.
const MaxDeltaSize = 256 << 10

// messageOverhead is the allowance for the parts of a message other than the body,
// in bytes.
const messageOverhead = 64 << 10

// Keepalive pings on idle connections detect a peer that vanished without closing
// them. They are infrequent, since renewal datagrams detect a lost daemon sooner.
const (
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 5 * time.Second
)

// A replaced daemon listens again within seconds. gRPC's default backoff grows to
// two minutes, during which requests for all of its keys would be refused here.
var reconnectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// unreachableRetryAfter is the suggested wait before retrying a request whose owner
// is unreachable. It is about the duration of a takeover.
const unreachableRetryAfter = time.Second

// Client sends requests to other daemons, with one pooled connection to each.
type Client struct {
	// Pool also serves the daemon's other gRPC clients.
	*mtconn.Pool
}

// NewClient returns a client and its clean-up function. limit is the maximum body
// size in bytes.
func NewClient(creds credentials.TransportCredentials, limit int64) (*Client, func()) {
	size := int(limit) + messageOverhead + MaxDeltaSize
	pool, cleanUp := mtconn.New(
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(reconnectParams),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(size), grpc.MaxCallSendMsgSize(size)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	return &Client{Pool: pool}, cleanUp
}

// Relay sends a request to the owner's daemon and returns its reply. left is the
// time until the caller's deadline. It fails with a *mtreply.RefusedError if the
// request was never sent, otherwise with a *mtreply.UnknownError.
func (c *Client) Relay(ctx context.Context, address string, r *mtrequest.Request, frontier mtid.Revision, left time.Duration) (*mtrequest.Reply, error) {
	conn, err := c.Conn(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	ctx, sent := mtconn.TrackSend(ctx)
	var header metadata.MD
	w, err := mtwire.NewPeerClient(conn).Relay(ctx, requestToWire(r, frontier), grpc.Header(&header))
	if len(header.Get(begunHeader)) > 0 && r.OnBegun != nil {
		r.OnBegun()
	}
	if err != nil {
		return nil, mtconn.ClassifyError(ctx, err, sent, unreachableRetryAfter)
	}
	// A reply to another request would disclose that caller's data. gRPC matches
	// replies to streams, so this occurs only with a faulty peer.
	if id, err := mtrequest.ReadID(w.GetId()); err != nil || id != r.ID {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated}
	}
	return replyFromWire(w), nil
}

// Pull returns the changes in a peer's view after a revision. If full is set,
// assignments are transmitted in full rather than as steps.
func (c *Client) Pull(ctx context.Context, address string, after mtid.Revision, full bool) (mtview.Delta, error) {
	conn, err := c.Conn(address)
	if err != nil {
		return mtview.Delta{}, err
	}
	w, err := mtwire.NewPeerClient(conn).Pull(ctx, &mtwire.PullRequest{After: uint64(after), Whole: full})
	if err != nil {
		return mtview.Delta{}, &PullError{Address: address, Err: err}
	}
	return deltaFromWire(after, w), nil
}

// PullError reports a failed pull of a peer's view.
type PullError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *PullError) Error() string { return "relay: pull from " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the error of the gRPC call.
func (e *PullError) Unwrap() error { return e.Err }
