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
	bodyLimit = 1 << 16
	plenty    = 10 * time.Second
)

type clock struct{}

func (clock) Now() mtclock.Instant { return 0 }

// ownerFunc is an owner made of a function.
type ownerFunc func(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply

func (f ownerFunc) Serve(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply {
	return f(ctx, r)
}

// serve starts a daemon's peer side and returns its address and how to end it.
func serve(t *testing.T, o ownerFunc, hint func(mtid.Revision, mtid.Holder)) (string, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtrelay.NewServer(o, mtview.New(), clock{}, hint).Register(server)
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

func noHint(mtid.Revision, mtid.Holder) {}

func TestRelayCarriesEverything(t *testing.T) {
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
	back, err := client(t).Relay(context.Background(), address, want, 44, plenty)
	assert.NilError(t, err)
	assert.Assert(t, got.Deadline.After(0))
	got.Deadline = 0
	// A function can't be compared; TestBegunIsHeard says what it does.
	assert.Assert(t, got.OnBegun != nil)
	got.OnBegun = nil
	assert.DeepEqual(t, got, want)
	assert.DeepEqual(t, back, reply)
	assert.Equal(t, frontier, mtid.Revision(44))
}

// An ingress has to tell a suspect that ran from one that only waited.
func TestBegunIsHeard(t *testing.T) {
	for _, begin := range []bool{false, true} {
		address, _ := serve(t, func(_ context.Context, r *mtrequest.Request) *mtrequest.Reply {
			if begin {
				r.OnBegun()
			}
			return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseLost}
		}, noHint)
		heard := false
		r := request()
		r.OnBegun = func() { heard = true }
		_, err := client(t).Relay(context.Background(), address, r, 0, plenty)
		assert.NilError(t, err)
		assert.Equal(t, heard, begin)
	}
}

// The owner's daemon is gone. Nothing listens, so nothing left this process: the
// farmer is told that the payment was not run, and may send it again.
func TestNobodyListens(t *testing.T) {
	address, server := serve(t, nil, noHint)
	server.Stop()
	_, err := client(t).Relay(context.Background(), address, request(), 0, plenty)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v, want a RefusedError", err)
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
}

// The owner's daemon is lost while it runs a payment. It may have been run: the
// farmer must not be told that it was not.
func TestOwnerIsLostMidway(t *testing.T) {
	begun := make(chan struct{})
	address, server := serve(t, func(ctx context.Context, _ *mtrequest.Request) *mtrequest.Reply {
		close(begun)
		<-ctx.Done()
		return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseGone}
	}, noHint)
	go func() {
		<-begun
		server.Stop()
	}()
	_, err := client(t).Relay(context.Background(), address, request(), 0, plenty)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseLost)
}

// A caller goes away. The run at the owner is cancelled down the path, and the
// outcome stays unknown.
func TestCallerGoesAway(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, func(ctx context.Context, _ *mtrequest.Request) *mtrequest.Reply {
		close(begun)
		<-ctx.Done()
		close(ended)
		return &mtrequest.Reply{Outcome: mtreply.Unknown, Cause: mtreply.CauseGone}
	}, noHint)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err := client(t).Relay(ctx, address, request(), 0, plenty)
	<-ended
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseGone)
}

// confused answers every request under another identifier.
type confused struct{ mtwire.UnimplementedPeerServer }

func (confused) Relay(context.Context, *mtwire.RelayRequest) (*mtwire.RelayReply, error) {
	other := mtrequest.Mint(time.UnixMilli(2), [10]byte{3})
	return &mtwire.RelayReply{Id: other[:], Outcome: string(mtreply.Answered), Body: []byte("another's balance")}, nil
}

// A faulty daemon mixes up two replies. A farmer must not see another's balance,
// and the request may have run.
func TestReplyToAnotherRequestIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtwire.RegisterPeerServer(server, confused{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	reply, err := client(t).Relay(context.Background(), listener.Addr().String(), request(), 0, plenty)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, %v, want an UnknownError", reply, err)
	assert.Equal(t, unknown.Cause, mtreply.CauseTruncated)
}
