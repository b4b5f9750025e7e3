package mtrelay_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtrelay"
)

const (
	bodyLimit   = 1 << 16
	longTimeout = 10 * time.Second
)

type clock struct{}

func (clock) Now() mtclock.Instant { return 0 }

// ownerFunc implements owner with a function.
type ownerFunc func(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply

func (f ownerFunc) Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply {
	return f(ctx, r)
}

// serve starts the peer server of a daemon and returns its address and the gRPC
// server.
func serve(t *testing.T, o ownerFunc, onFrontier func(mtid.Revision, mtid.Holder)) (string, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtrelay.NewServer(o, mtview.New(), clock{}, onFrontier).Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), server
}

func client(t *testing.T) *mtrelay.Client {
	t.Helper()
	c, cleanUp := mtrelay.NewClient(insecure.NewCredentials(), bodyLimit)
	t.Cleanup(cleanUp)
	return c
}

func request() *mtrequest.Request {
	return &mtrequest.Request{
		ID: mtrequest.Mint(time.UnixMilli(1), [10]byte{2}), Minted: true,
		Service: mtid.Ref{Business: "bundesamt", Service: "loan-desk"}, Key: "account-1", Class: "payment",
		Method: "POST", Path: "/instalments", Query: "a=b", ContentType: "text/plain", Body: []byte("10 CHF"),
		Ingress: mtid.Holder{Daemon: "bern-a-1", Incarnation: 3},
		Suspect: true,
	}
}

func ignoreFrontier(mtid.Revision, mtid.Holder) {}

func TestRelayTransmitsAllFields(t *testing.T) {
	want := request()
	reply := &mtrequest.Reply{
		Outcome: mtreply.Answered, Owner: mtid.Holder{Daemon: "bern-b-1", Incarnation: 1}, Epoch: 9, Status: 201,
		ContentType: "text/plain", Body: []byte("paid"), Queued: 5, Served: 6,
	}
	var got *mtrequest.Request
	var frontier mtid.Revision
	address, _ := serve(t, func(_ context.Context, r *mtrequest.Request) *mtrequest.Reply {
		got = r
		return reply
	}, func(f mtid.Revision, _ mtid.Holder) { frontier = f })
	back, err := client(t).Relay(context.Background(), address, want, 44, longTimeout)
	assert.NilError(t, err)
	assert.Assert(t, got.Deadline.After(0))
	got.Deadline = 0
	// Functions can't be compared. TestIngressIsNotifiedWhenSuspectBegins covers
	// this one.
	assert.Assert(t, got.OnBegun != nil)
	got.OnBegun = nil
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, back, reply)
	assert.Equal(t, frontier, mtid.Revision(44))
}

// The ingress must distinguish a suspect request that ran from one that only waited.
func TestIngressIsNotifiedWhenSuspectBegins(t *testing.T) {
	for _, begins := range []bool{false, true} {
		address, _ := serve(t, func(_ context.Context, r *mtrequest.Request) *mtrequest.Reply {
			if begins {
				r.OnBegun()
			}
			return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseLost}
		}, ignoreFrontier)
		notified := false
		r := request()
		r.OnBegun = func() { notified = true }
		_, err := client(t).Relay(context.Background(), address, r, 0, longTimeout)
		assert.NilError(t, err)
		assert.Equal(t, notified, begins)
	}
}

// The owner's daemon has stopped and nothing listens at its address. No byte of the
// request was sent, so the error says that it was not run and the caller may send it
// again.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	address, server := serve(t, nil, ignoreFrontier)
	server.Stop()
	_, err := client(t).Relay(context.Background(), address, request(), 0, longTimeout)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v, want a RefusedError", err)
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
}

// The owner's daemon is lost while it runs a non-idempotent request. The request may
// have run, so its outcome is unknown.
func TestOwnerLostDuringRunIsUnknown(t *testing.T) {
	begun := make(chan struct{})
	address, server := serve(t, func(ctx context.Context, _ *mtrequest.Request) *mtrequest.Reply {
		close(begun)
		<-ctx.Done()
		return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseGone}
	}, ignoreFrontier)
	go func() {
		<-begun
		server.Stop()
	}()
	_, err := client(t).Relay(context.Background(), address, request(), 0, longTimeout)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseLost)
}

// When a caller disconnects, the run at the owner is canceled and the outcome is
// unknown.
func TestCallerCancellationReachesOwner(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, func(ctx context.Context, _ *mtrequest.Request) *mtrequest.Reply {
		close(begun)
		<-ctx.Done()
		close(ended)
		return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseGone}
	}, ignoreFrontier)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err := client(t).Relay(ctx, address, request(), 0, longTimeout)
	<-ended
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseGone)
}

// wrongIDPeer replies to every request with the identifier of another one.
type wrongIDPeer struct{ mtwire.UnimplementedPeerServer }

func (wrongIDPeer) Relay(context.Context, *mtwire.RelayRequest) (*mtwire.RelayReply, error) {
	other := mtrequest.Mint(time.UnixMilli(2), [10]byte{3})
	return &mtwire.RelayReply{Id: other[:], Outcome: string(mtreply.Answered), Body: []byte("another's balance")}, nil
}

// A faulty daemon mixes up two replies. The caller must not receive the other reply,
// and the outcome is unknown, since the request may have run.
func TestReplyWithWrongIDIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtwire.RegisterPeerServer(server, wrongIDPeer{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	reply, err := client(t).Relay(context.Background(), listener.Addr().String(), request(), 0, longTimeout)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, %v, want an UnknownError", reply, err)
	assert.Equal(t, unknown.Cause, mtreply.CauseTruncated)
}
