package mtforward_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// host answers calls with the test's run function and reports a fixed load.
type host struct {
	run    func(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
	report mtbackend.Report
}

func (h *host) Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	return h.run(ctx, call)
}

func (h *host) Load() mtcall.Load {
	return mtcall.Load{Running: 3, Waiting: 2, Slots: 10, ServiceTime: time.Second, Demand: 1.5, Capacity: 0.5, Report: h.report}
}

// summaryLog records the summaries that a daemon receives.
type summaryLog struct{ received chan mtforward.StateSummary }

func exchange(local mtforward.StateSummary) (mtforward.StateExchange, *summaryLog) {
	log := &summaryLog{received: make(chan mtforward.StateSummary, 100)}
	return mtforward.StateExchange{Summarize: func() mtforward.StateSummary { return local }, Receive: func(remote mtforward.StateSummary, _ mtclock.Instant) { log.received <- remote }}, log
}

func serve(t *testing.T, h *host) (address string, received *summaryLog) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	local, received := exchange(mtforward.StateSummary{ConfigVersion: 7, NewestVersion: 70})
	mtforward.Register(server, mtforward.Server{
		Host: h, Clock: mttime.New(), Exchange: local,
		ServeChanges: func(context.Context, mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
			return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "teach", Err: errors.New("store is not watched")}
		},
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), received
}

func client(t *testing.T) (*mtforward.Client, *mttime.Clock, *summaryLog) {
	t.Helper()
	clock := mttime.New()
	local, received := exchange(mtforward.StateSummary{ConfigVersion: 5, NewestVersion: 50})
	c, cleanUp := mtforward.NewClient(clock, mtdial.Dial, local, nil)
	t.Cleanup(cleanUp)
	return c, clock, received
}

func call(clock *mttime.Clock) *mtcall.Call {
	now := clock.Now()
	return &mtcall.Call{
		ID: "7", Method: "POST", Target: "/a?b", Host: "h", Header: []mtcall.Field{{Name: "X", Value: "1"}, {Name: "X", Value: "2"}},
		Body: mtcall.BodyOf([]byte("body")), Service: "maps", Route: "plans", Keyed: true, Key: 65535, Idempotent: true, Nested: true, Repeat: true,
		Claims:   mtpoison.Claims{Answered: true, SoleServer: true, Cleared: []mtpoison.LossKey{7, 1<<64 - 1}},
		Priority: 2, Objective: now.Add(-time.Second), Deadline: now.Add(30 * time.Second), Patience: 20 * time.Millisecond, Try: 1 << 63, Caller: "desk",
	}
}

func TestCallAndAnswerAreTransmittedUnchanged(t *testing.T) {
	var got *mtcall.Call
	want := &mtcall.Answer{Status: 201, Header: []mtcall.Field{{Name: "Y", Value: "3"}}, Body: mtcall.BodyOf([]byte("tea")), Queued: time.Millisecond, Served: time.Second}
	address, serverLog := serve(t, &host{run: func(_ context.Context, c *mtcall.Call) (*mtcall.Answer, error) {
		got = c
		return want, nil
	}})
	c, clock, clientLog := client(t)
	sent := call(clock)
	answer, err := c.Forward(t.Context(), "b", address, sent)
	assert.NilError(t, err)
	answer.Release = nil
	assert.DeepEqual(t, answer, want)
	// Instants are sent as remaining times, so they don't arrive exactly.
	assert.Assert(t, got.Objective < got.Deadline)
	got.Objective, got.Deadline = sent.Objective, sent.Deadline
	assert.DeepEqual(t, got, sent)
	report, ok := c.LoadReport("b")
	assert.Assert(t, ok)
	assert.Equal(t, report.Waiting, 2)
	assert.Equal(t, report.Capacity, 0.5)
	assert.Equal(t, (<-serverLog.received).NewestVersion, mtid.Version(50))
	assert.Equal(t, (<-clientLog.received).NewestVersion, mtid.Version(70))
}

// Guards against an answer that another daemon, of an earlier release, passes on although it is none.
func TestOddAnswerOfAnotherDaemonIsNone(t *testing.T) {
	for name, odd := range map[string]*mtcall.Answer{
		"status 0": {}, "interim": {Status: 103}, "status 600": {Status: 600}, "status 999": {Status: 999},
		"blank in a name": {Status: 200, Header: []mtcall.Field{{Name: "X More", Value: "a"}}}, "blank behind a name": {Status: 200, Header: []mtcall.Field{{Name: "Content-Length ", Value: "5"}}},
		"line in a name": {Status: 200, Header: []mtcall.Field{{Name: "X: a\r\nY", Value: "a"}}}, "no name": {Status: 200, Header: []mtcall.Field{{Value: "a"}}},
		"line in a value": {Status: 200, Header: []mtcall.Field{{Name: "X", Value: "a\r\nY: b"}}}, "control byte in a value": {Status: 200, Header: []mtcall.Field{{Name: "X", Value: "a\x00"}}},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) { return odd, nil }})
			c, clock, _ := client(t)
			_, err := c.Forward(t.Context(), "b", address, call(clock))
			var unknown *mtreply.UnknownError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			assert.Equal(t, unknown.Cause, mtreply.CauseTruncated)
		})
	}
}

// fixedClock is a clock that stands still.
type fixedClock mtclock.Instant

func (c fixedClock) Now() mtclock.Instant { return mtclock.Instant(c) }

// Guards against a call without an objective that counts as late at the server's daemon, and
// against one that is due just now and counts as without.
func TestObjectiveIsTransmitted(t *testing.T) {
	const now = mtclock.Instant(time.Hour)
	var got *mtcall.Call
	address, _ := serve(t, &host{run: func(_ context.Context, c *mtcall.Call) (*mtcall.Answer, error) {
		got = c
		return &mtcall.Answer{Status: 200}, nil
	}})
	local, _ := exchange(mtforward.StateSummary{})
	c, cleanUp := mtforward.NewClient(fixedClock(now), mtdial.Dial, local, nil)
	defer cleanUp()
	for name, objective := range map[string]mtclock.Instant{"none": 0, "past": 1, "now": now, "future": now.Add(time.Minute)} {
		sent := &mtcall.Call{Idempotent: true, Objective: objective, Deadline: now.Add(2 * time.Minute)}
		_, err := c.Forward(t.Context(), "b", address, sent)
		assert.NilError(t, err)
		assert.Equal(t, got.Objective == 0, name == "none", name)
		left := got.Objective.Sub(got.Deadline.Add(-2 * time.Minute))
		assert.Equal(t, left > 0, name == "future", "%s: %s left", name, left)
	}
}

// Guards against a restarted daemon that has forgotten what its server reports: what it reported
// to another daemon before comes back with the next call, also after a reply in which it knows
// nothing.
func TestNoticeComesBackWithCalls(t *testing.T) {
	h := &host{}
	var got mtbackend.Notice
	h.run = func(_ context.Context, c *mtcall.Call) (*mtcall.Answer, error) {
		got = c.Notice
		return &mtcall.Answer{Status: 200}, nil
	}
	address, _ := serve(t, h)
	c, clock, _ := client(t)
	forward := func(r mtbackend.Report) {
		h.report = r
		_, err := c.Forward(t.Context(), "b", address, call(clock))
		assert.NilError(t, err)
	}
	known := mtbackend.Notice{Incarnation: mtid.ServerIncarnation{Server: "i-1", Started: 7}, Limited: true, Limit: 20.5, Leaving: true}
	forward(mtbackend.Report{Notice: known})
	assert.DeepEqual(t, got, mtbackend.Notice{})
	forward(mtbackend.Report{Unheard: true})
	assert.DeepEqual(t, got, known)
	forward(mtbackend.Report{})
	assert.DeepEqual(t, got, known)
	forward(mtbackend.Report{})
	known.Limited, known.Limit = false, 0 // the server has answered and names none
	assert.DeepEqual(t, got, known)
}

func TestErrorTypesArePreserved(t *testing.T) {
	for _, want := range []error{
		&mtreply.RefusedError{Cause: mtreply.CauseShed, RetryAfter: time.Second, Detail: "full"},
		&mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: -time.Microsecond},
		&mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: errors.New("cut")},
	} {
		address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) { return nil, want }})
		c, clock, _ := client(t)
		_, err := c.Forward(t.Context(), "b", address, call(clock))
		var refused, wantRefused *mtreply.RefusedError
		var unknown, wantUnknown *mtreply.UnknownError
		switch {
		case errors.As(want, &wantRefused):
			assert.Assert(t, errors.As(err, &refused))
			assert.DeepEqual(t, refused, wantRefused)
		case errors.As(want, &wantUnknown):
			assert.Assert(t, errors.As(err, &unknown))
			assert.Equal(t, unknown.Cause, wantUnknown.Cause)
		}
	}
}

// The VM of a daemon has lost its power, so a call to it hangs instead of being refused.
// Guards against waiting until the deadline half a minute later: without a response
// header, the call must end long before with an unknown outcome, and later calls must
// not wait at all.
func TestCallToUnresponsiveDaemonEndsBeforeDeadline(t *testing.T) {
	address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
		return &mtcall.Answer{Status: 200}, nil
	}})
	proxied, freeze := proxy(t, address)
	c, clock, _ := client(t)
	_, err := c.Forward(t.Context(), "b", proxied, call(clock))
	assert.NilError(t, err)
	freeze()
	sent := call(clock)
	_, err = c.Forward(t.Context(), "b", proxied, sent)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseLost)
	assert.Assert(t, clock.Now().Before(sent.Deadline), "the call ended only at its deadline")
	assert.Assert(t, c.Unresponsive(proxied))
}

// proxy forwards bytes until it is frozen. Then connections stay open, but nothing
// arrives any more.
func proxy(t *testing.T, to string) (address string, freeze func()) {
	t.Helper()
	address, freeze, _ = thawableProxy(t, to)
	return address, freeze
}

// thawableProxy is a proxy that works again for connections opened after the thaw.
func thawableProxy(t *testing.T, to string) (address string, freeze, thaw func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var frozen atomic.Bool
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go copyBytes(out, in, &frozen)
			go copyBytes(in, out, &frozen)
		}
	}()
	return listener.Addr().String(), func() { frozen.Store(true) }, func() { frozen.Store(false) }
}

func copyBytes(to, from net.Conn, frozen *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if !frozen.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// partialDaemon acknowledges all calls but the one with the ID "silent", as if the
// packets of that call were queued on a saturated link.
type partialDaemon struct {
	mtwire.UnimplementedForwarderServer
	release chan struct{}
}

func (d *partialDaemon) Forward(w *mtwire.ForwardRequest, stream grpc.ServerStreamingServer[mtwire.ForwardReply]) error {
	if w.GetId() == "silent" {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	<-d.release
	return stream.Send(&mtwire.ForwardReply{Outcome: string(mtreply.Answered), Status: 200})
}

// One call to a daemon is not acknowledged and is abandoned. Guards against closing the
// connection with it: the other calls on it failed with 502, although their server was
// processing them.
func TestUnacknowledgedCallDoesNotCancelOthers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	peer := &partialDaemon{release: make(chan struct{})}
	mtwire.RegisterForwarderServer(server, peer)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, clock, _ := client(t)
	done := make(chan error)
	go func() {
		_, err := c.Forward(t.Context(), "b", listener.Addr().String(), call(clock))
		done <- err
	}()
	unacknowledged := call(clock)
	unacknowledged.ID = "silent"
	_, err = c.Forward(t.Context(), "b", listener.Addr().String(), unacknowledged)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	close(peer.release)
	assert.NilError(t, <-done)
}

// A call of 60 kB is slow on a saturated link. Guards against abandoning it after 1.5 s:
// the caller got a 502, although the call arrived and ran. A call that isn't idempotent
// can't be sent elsewhere anyway, so the sender must wait for its reply.
func TestNonIdempotentCallIsNotAbandonedInTransit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtwire.RegisterForwarderServer(server, &slowDaemon{delay: 1800 * time.Millisecond})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, clock, _ := client(t)
	upload := call(clock)
	upload.Idempotent = false
	answer, err := c.Forward(t.Context(), "b", listener.Addr().String(), upload)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
}

// slowDaemon acknowledges calls after a delay, as if it were behind a saturated link.
type slowDaemon struct {
	mtwire.UnimplementedForwarderServer
	delay time.Duration
}

func (d *slowDaemon) Forward(_ *mtwire.ForwardRequest, stream grpc.ServerStreamingServer[mtwire.ForwardReply]) error {
	time.Sleep(d.delay)
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	return stream.Send(&mtwire.ForwardReply{Outcome: string(mtreply.Answered), Status: 200})
}

// A daemon was disconnected for a moment. Probes, not calls, must detect that it is
// available again, and then it must get calls again.
func TestUnresponsiveDaemonIsProbedUntilItResponds(t *testing.T) {
	address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
		return &mtcall.Answer{Status: 200}, nil
	}})
	proxied, freeze, thaw := thawableProxy(t, address)
	c, clock, _ := client(t)
	_, err := c.Forward(t.Context(), "b", proxied, call(clock))
	assert.NilError(t, err)
	freeze()
	_, err = c.Forward(t.Context(), "b", proxied, call(clock))
	assert.Assert(t, err != nil)
	assert.Assert(t, c.Unresponsive(proxied))
	thaw()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Unresponsive(proxied) {
			return poll.Continue("still marked as unresponsive")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	_, err = c.Forward(t.Context(), "b", proxied, call(clock))
	assert.NilError(t, err)
}

// Nothing listens at the address. No byte of the call was sent, so it was not run, and
// the error must say so.
func TestRefusedConnectionMeansNotRun(t *testing.T) {
	c, clock, _ := client(t)
	sent := call(clock)
	sent.Deadline = clock.Now().Add(2 * time.Second)
	_, err := c.Forward(t.Context(), "b", "127.0.0.1:1", sent)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
}

// A caller cancels its request while the server of another daemon runs it. The
// cancellation must reach that server.
func TestCancellationIsForwarded(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, &host{run: func(ctx context.Context, _ *mtcall.Call) (*mtcall.Answer, error) {
		close(begun)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}})
	c, clock, _ := client(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := c.Forward(ctx, "b", address, call(clock))
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseGone)
	<-ended
}

// Two daemons that pulled changes from each other would both miss all of them. One that
// receives none itself must refuse to serve them.
func TestDaemonWithoutChangesDoesNotServeThem(t *testing.T) {
	address, _ := serve(t, &host{})
	c, _, _ := client(t)
	_, err := c.PullChanges(t.Context(), address, mtforward.ChangesRequest{After: 5, Wait: time.Second})
	var unavailable *mtstore.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}

// Guards against a request for the configuration that is taken for one for everything.
func TestRequestForConfigurationIsTransmitted(t *testing.T) {
	requests := make(chan mtforward.ChangesRequest, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	local, _ := exchange(mtforward.StateSummary{})
	mtforward.Register(server, mtforward.Server{
		Host: &host{}, Clock: mttime.New(), Exchange: local,
		ServeChanges: func(_ context.Context, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
			requests <- q
			return mtforward.ChangesReply{}, nil
		},
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, _, _ := client(t)
	for _, want := range []bool{true, false} {
		_, err := c.PullChanges(t.Context(), listener.Addr().String(), mtforward.ChangesRequest{Configuration: want})
		assert.NilError(t, err)
		assert.Equal(t, (<-requests).Configuration, want)
	}
}
