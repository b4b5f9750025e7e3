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

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// host answers calls as a test says.
type host struct {
	run func(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
}

func (h *host) Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	return h.run(ctx, call)
}

func (*host) Load() mtcall.Load {
	return mtcall.Load{Running: 3, Waiting: 2, Slots: 10, ServiceTime: time.Second, Demand: 1.5}
}

// news notes what a daemon hears.
type news struct{ heard chan mtforward.News }

func exchange(tell mtforward.News) (mtforward.Exchange, *news) {
	n := &news{heard: make(chan mtforward.News, 100)}
	return mtforward.Exchange{Tell: func() mtforward.News { return tell }, Hear: func(h mtforward.News, _ mtclock.Instant) { n.heard <- h }}, n
}

func serve(t *testing.T, h *host) (address string, heard *news) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	told, heard := exchange(mtforward.News{Config: 7, Seen: 70})
	mtforward.Register(server, mtforward.Server{
		Host: h, Clock: mttime.New(), News: told,
		Teach: func(context.Context, mtforward.Question) (mtforward.Lesson, error) {
			return mtforward.Lesson{}, &mtstore.UnavailableError{Op: "teach", Err: errors.New("deaf")}
		},
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), heard
}

func client(t *testing.T) (*mtforward.Client, *mttime.Clock, *news) {
	t.Helper()
	clock := mttime.New()
	told, heard := exchange(mtforward.News{Config: 5, Seen: 50})
	c, cleanUp := mtforward.NewClient(clock, told)
	t.Cleanup(cleanUp)
	return c, clock, heard
}

func call(clock *mttime.Clock) *mtcall.Call {
	now := clock.Now()
	return &mtcall.Call{
		ID: "7", Method: "POST", Target: "/a?b", Host: "h", Header: []mtcall.Field{{Name: "X", Value: "1"}, {Name: "X", Value: "2"}},
		Body: []byte("body"), Service: "maps", Route: "plans", Keyed: true, Key: 65535, Idempotent: true, Nested: true, Repeat: true,
		Priority: 2, Objective: now.Add(-time.Second), Deadline: now.Add(30 * time.Second), Caller: "desk",
	}
}

func TestACallArrivesAsItWasSent(t *testing.T) {
	var got *mtcall.Call
	want := &mtcall.Answer{Status: 201, Header: []mtcall.Field{{Name: "Y", Value: "3"}}, Body: []byte("tea"), Queued: time.Millisecond, Served: time.Second}
	address, heard := serve(t, &host{run: func(_ context.Context, c *mtcall.Call) (*mtcall.Answer, error) {
		got = c
		return want, nil
	}})
	c, clock, hears := client(t)
	sent := call(clock)
	answer, err := c.Forward(t.Context(), "b", address, sent)
	assert.NilError(t, err)
	assert.DeepEqual(t, answer, want)
	// Times travel as what is left of them.
	assert.Assert(t, got.Objective < got.Deadline)
	got.Objective, got.Deadline = sent.Objective, sent.Deadline
	assert.DeepEqual(t, got, sent)
	report, ok := c.Report("b")
	assert.Assert(t, ok)
	assert.Equal(t, report.Waiting, 2)
	assert.Equal(t, (<-heard.heard).Seen, mtid.Version(50))
	assert.Equal(t, (<-hears.heard).Seen, mtid.Version(70))
}

func TestFailuresKeepTheirMeaning(t *testing.T) {
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

// A VM lost its power. Nobody refuses the call there, it hangs; it was held until
// its deadline, half a minute later. Without the sign of its arrival the call
// ends long before, as one that may have run, and the next ones don't wait.
func TestASilentDaemonIsGivenUpSoon(t *testing.T) {
	address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
		return &mtcall.Answer{Status: 200}, nil
	}})
	through, freeze := proxy(t, address)
	c, clock, _ := client(t)
	_, err := c.Forward(t.Context(), "b", through, call(clock))
	assert.NilError(t, err)
	freeze()
	sent := call(clock)
	_, err = c.Forward(t.Context(), "b", through, sent)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseLost)
	assert.Assert(t, clock.Now().Before(sent.Deadline), "held until its deadline")
	assert.Assert(t, c.Silent(through))
}

// proxy passes bytes on until it is frozen: connections stay open then, and
// nobody hears anything.
func proxy(t *testing.T, to string) (address string, freeze func()) {
	t.Helper()
	address, freeze, _ = freezer(t, to)
	return address, freeze
}

// freezer is proxy with a way back: what is opened after the thaw works.
func freezer(t *testing.T, to string) (address string, freeze, thaw func()) {
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
			go pass(out, in, &frozen)
			go pass(in, out, &frozen)
		}
	}()
	return listener.Addr().String(), func() { frozen.Store(true) }, func() { frozen.Store(false) }
}

func pass(to, from net.Conn, frozen *atomic.Bool) {
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

// mute is a daemon that says of one call that it has arrived, and of another
// nothing, as when its packets wait on a full link.
type mute struct {
	mtwire.UnimplementedForwarderServer
	release chan struct{}
}

func (m *mute) Forward(w *mtwire.ForwardRequest, stream grpc.ServerStreamingServer[mtwire.ForwardReply]) error {
	if w.GetId() == "silent" {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	<-m.release
	return stream.Send(&mtwire.ForwardReply{Outcome: string(mtreply.Answered), Status: 200})
}

// One call to a daemon is not heard of, and is given up. The other calls on the
// same connection were cut off with it, and their callers told 502, although
// their server was at work.
func TestOneSilentCallDoesNotCutOffOthers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	peer := &mute{release: make(chan struct{})}
	mtwire.RegisterForwarderServer(server, peer)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, clock, _ := client(t)
	done := make(chan error)
	go func() {
		_, err := c.Forward(t.Context(), "b", listener.Addr().String(), call(clock))
		done <- err
	}()
	silent := call(clock)
	silent.ID = "silent"
	_, err = c.Forward(t.Context(), "b", listener.Addr().String(), silent)
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	close(peer.release)
	assert.NilError(t, <-done)
}

// Sixty kilobytes wait on a narrow link with others. The sender gave the call up after
// 1.5 s and told its caller 502; its bytes arrived all the same, and the server ran it.
// A call that must not run twice can't go elsewhere anyway, so its answer is waited for.
func TestACallThatMustNotRunTwiceIsNotGivenUpOnItsWay(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mtwire.RegisterForwarderServer(server, &tardy{after: 1800 * time.Millisecond})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	c, clock, _ := client(t)
	upload := call(clock)
	upload.Idempotent = false
	answer, err := c.Forward(t.Context(), "b", listener.Addr().String(), upload)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
}

// tardy is a daemon behind a link on which calls wait for so long.
type tardy struct {
	mtwire.UnimplementedForwarderServer
	after time.Duration
}

func (d *tardy) Forward(_ *mtwire.ForwardRequest, stream grpc.ServerStreamingServer[mtwire.ForwardReply]) error {
	time.Sleep(d.after)
	if err := stream.SendHeader(metadata.MD{}); err != nil {
		return err
	}
	return stream.Send(&mtwire.ForwardReply{Outcome: string(mtreply.Answered), Status: 200})
}

// A daemon was cut off for a moment. Whether it is back is asked beside the calls, and
// these go there again once it has answered.
func TestASilentDaemonIsProbedUntilItAnswers(t *testing.T) {
	address, _ := serve(t, &host{run: func(context.Context, *mtcall.Call) (*mtcall.Answer, error) {
		return &mtcall.Answer{Status: 200}, nil
	}})
	through, freeze, thaw := freezer(t, address)
	c, clock, _ := client(t)
	_, err := c.Forward(t.Context(), "b", through, call(clock))
	assert.NilError(t, err)
	freeze()
	_, err = c.Forward(t.Context(), "b", through, call(clock))
	assert.Assert(t, err != nil)
	assert.Assert(t, c.Silent(through))
	thaw()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.Silent(through) {
			return poll.Continue("still passed over")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	_, err = c.Forward(t.Context(), "b", through, call(clock))
	assert.NilError(t, err)
}

// Nothing listens: no byte of the call has left, so it was not run.
func TestADaemonThatIsGoneRefuses(t *testing.T) {
	c, clock, _ := client(t)
	sent := call(clock)
	sent.Deadline = clock.Now().Add(2 * time.Second)
	_, err := c.Forward(t.Context(), "b", "127.0.0.1:1", sent)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
}

// The caller leaves; the server that works for it hears of that over the hop.
func TestACallerThatLeavesIsHeardOfOverTheHop(t *testing.T) {
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

// Two daemons that learned from each other would both know nothing. One that
// does not watch the store itself says so.
func TestADeafDaemonDoesNotTeach(t *testing.T) {
	address, _ := serve(t, &host{})
	c, _, _ := client(t)
	_, err := c.Learn(t.Context(), address, mtforward.Question{After: 5, Wait: time.Second})
	var unavailable *mtstore.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
