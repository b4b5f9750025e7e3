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
	// Pool is used for other gRPC services of the daemon too.
	*mtconn.Pool
}

// NewClient returns a client and its clean-up function. limit is the largest
// body in bytes.
func NewClient(creds credentials.TransportCredentials, limit int64) (*Client, func()) {
	size := int(limit) + overhead + DeltaLimit
	pool, cleanUp := mtconn.New(
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(reconnect),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(size), grpc.MaxCallSendMsgSize(size)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
	)
	return &Client{Pool: pool}, cleanUp
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
	ctx, sent := mtconn.TrackSend(ctx)
	var header metadata.MD
	w, err := mtwire.NewPeerClient(conn).Relay(ctx, wireRequest(r, frontier), grpc.Header(&header))
	if len(header.Get(begunHeader)) > 0 && r.OnBegun != nil {
		r.OnBegun()
	}
	if err != nil {
		return nil, mtconn.ClassifyError(ctx, err, sent, unreachableRetry)
	}
	// A reply that is not for this request would hand one caller another's
	// data; gRPC matches streams, so this shows only with a faulty peer.
	if id, err := mtrequest.ReadID(w.GetId()); err != nil || id != r.ID {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated}
	}
	return readReply(w), nil
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
