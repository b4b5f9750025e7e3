package mtbackend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtreply"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mttime"
)

// rawServer is a backend server that answers each request with arbitrary bytes. "ID" in
// them is replaced by the identifier of the request.
type rawServer struct {
	listener net.Listener
	conns    atomic.Int64
	mu       sync.Mutex
	requests []string
}

func newRawServer(t testing.TB, answer func(n int, c net.Conn, id string) (keep bool)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, answer func(n int, c net.Conn, id string) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI)
		n := len(s.requests)
		s.mu.Unlock()
		if !answer(n, conn, r.Header.Get(mtheader.DefaultNames.ID)) {
			return
		}
	}
}

func (s *rawServer) target() iobackend.Target {
	return iobackend.Target{Address: s.listener.Addr().String(), Server: "server-1"}
}

// replyWith answers with a text in which ID is replaced, and closes the connection if the
// text contains CLOSE.
func replyWith(text string) func(int, net.Conn, string) bool {
	return func(_ int, c net.Conn, id string) bool {
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", id)))
		return !strings.Contains(text, "CLOSE")
	}
}

// Guards against a server that ends in order, with no byte of an answer, and is taken for one that
// has begun to answer.
func TestCloseBeforeAnswerIsLost(t *testing.T) {
	c, clock := client(t)
	s := newRawServer(t, func(int, net.Conn, string) bool { return false })
	_, err := c.Do(context.Background(), s.target(), call(clock, "1"))
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseLost)
}

const goodAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"

func client(t testing.TB) (*iobackend.Client, *mttime.Clock) {
	t.Helper()
	clock := mttime.New()
	c, cleanUp := iobackend.New(iobackend.Config{Names: mtheader.DefaultNames, Clock: clock})
	t.Cleanup(cleanUp)
	return c, clock
}

func call(clock *mttime.Clock, id mtcall.ID) *mtcall.Call {
	return &mtcall.Call{ID: id, Method: http.MethodGet, Target: "/plans/7?floor=2", Host: "maps.example", Idempotent: true, Deadline: clock.Now().Add(3 * time.Second)}
}

// Each case is an answer that a faulty server may send, and the result for the caller:
// never part of an answer, never that of another call, and "not run" only with proof.
func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  string
		body    string
		refused mtreply.Cause
		unknown mtreply.Cause
	}{
		{name: "whole", answer: goodAnswer, body: "whole"},
		{name: "without content length", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nX-End: CLOSE\r\n\r\nto the end", body: "to the end"},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
		{name: "second answer to another call first", answer: strings.ReplaceAll(goodAnswer, "ID", "other") + goodAnswer, body: "whole"},
		{name: "server error", answer: "HTTP/1.1 500 Oops\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 2\r\n\r\nno", body: "no"},
		{name: "truncated body", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 50\r\nX-End: CLOSE\r\n\r\npart", unknown: mtreply.CauseTruncated},
		{name: "truncated header", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX-End: CLOSE", unknown: mtreply.CauseTruncated},
		{name: "not HTTP", answer: "CLOSE garbage\r\n\r\n", unknown: mtreply.CauseLost},
		{name: "empty line and end of stream", answer: "\r\nCLOSE", unknown: mtreply.CauseLost},
		{name: "success without signature", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nno", unknown: mtreply.CauseTruncated},
		{name: "encoded", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno", unknown: mtreply.CauseTruncated},
		{name: "only answers to other calls", answer: strings.Repeat(strings.ReplaceAll(goodAnswer, "ID", "other"), 4), unknown: mtreply.CauseTruncated},
		{name: "refused by the server", answer: "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseRefused},
		{name: "key not held", answer: "HTTP/1.1 421 No\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseFenced},
		{name: "another incarnation", answer: "HTTP/1.1 421 No\r\nRequest-Id: ID\r\nServer-Answering: server-2\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseNoServer},
		{name: "503 without the not-run header", answer: "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", body: ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newRawServer(t, replyWith(test.answer))
			c, clock := client(t)
			answer, err := c.Do(t.Context(), server.target(), call(clock, "7"))
			var refused *mtreply.RefusedError
			var unknown *mtreply.UnknownError
			switch {
			case test.refused != "":
				assert.Assert(t, errors.As(err, &refused), "%v", err)
				assert.Equal(t, refused.Cause, test.refused)
			case test.unknown != "":
				assert.Assert(t, errors.As(err, &unknown), "%v", err)
				assert.Equal(t, unknown.Cause, test.unknown)
			default:
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body.Bytes()), test.body)
			}
		})
	}
}

// What a server reports about itself counts on each of its answers, with the kind of answer, but
// not on that of another server at the address.
func TestSignalsOfEachKindOfAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   []mtbackend.SignalSource
	}{
		"answer":         {goodAnswer, []mtbackend.SignalSource{mtbackend.SourceAnswer}},
		"refusal":        {"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", []mtbackend.SignalSource{mtbackend.SourceRefusal}},
		"unsigned":       {"HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", []mtbackend.SignalSource{mtbackend.SourceRefusal}},
		"other server":   {"HTTP/1.1 421 No\r\nRequest-Id: ID\r\nServer-Answering: server-2\r\nContent-Length: 0\r\n\r\n", nil},
		"of other calls": {strings.ReplaceAll(goodAnswer, "ID", "other") + goodAnswer, []mtbackend.SignalSource{mtbackend.SourceAnswer}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newRawServer(t, replyWith(test.answer))
			c, clock := client(t)
			c.ReadSignals = func(http.Header) mtbackend.Signals { return mtbackend.Signals{Leaving: true} }
			var got []mtbackend.SignalSource
			target := server.target()
			target.Observe = func(s mtbackend.Signals) {
				assert.Check(t, s.Leaving)
				got = append(got, s.Source)
			}
			_, _ = c.Do(t.Context(), target, call(clock, "7"))
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Bytes after a complete answer belong to no call. If the connection were reused, the next
// caller would receive them as its answer.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	server := newRawServer(t, func(n int, c net.Conn, id string) bool {
		text := strings.ReplaceAll(goodAnswer, "ID", id)
		if n == 1 {
			text += "stray"
		}
		_, _ = c.Write([]byte(text))
		return true
	})
	c, clock := client(t)
	for _, id := range []mtcall.ID{"1", "2", "3"} {
		answer, err := c.Do(t.Context(), server.target(), call(clock, id))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body.Bytes()), "whole")
	}
	assert.Equal(t, server.conns.Load(), int64(2))
}

// The path and query reach the server as the caller wrote them. Decoding and encoding them
// again could change their meaning.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	server := newRawServer(t, replyWith(goodAnswer))
	c, clock := client(t)
	for _, target := range []string{"/a%2Fb/c%20d?x=1&x=%31", "/a/../b", "//double//slash?q", "/semi;colon=1", "/q?"} {
		one := call(clock, "7")
		one.Target = target
		_, err := c.Do(t.Context(), server.target(), one)
		assert.NilError(t, err)
		server.mu.Lock()
		assert.Equal(t, server.requests[len(server.requests)-1], "GET "+target)
		server.mu.Unlock()
	}
}

// A faulty server rejects half of its calls although it has free slots. A caller that
// waited for half a second before its retry missed its objective; a retry at once usually
// succeeds.
func TestRejectedCallHasShortRetryAfter(t *testing.T) {
	server := newRawServer(t, replyWith("HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	c, clock := client(t)
	_, err := c.Do(t.Context(), server.target(), call(clock, "7"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, refused.RetryAfter <= 100*time.Millisecond, "%s", refused.RetryAfter)
}

// Nothing listens, so no byte of the call can have been sent, and it was not run.
func TestRefusedConnectionMeansNotRun(t *testing.T) {
	server := newRawServer(t, replyWith(goodAnswer))
	_ = server.listener.Close()
	c, clock := client(t)
	_, err := c.Do(t.Context(), server.target(), call(clock, "7"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseNoServer)
}

// Guards against a call that is sent to a server although its caller has left before, on a
// connection that is there already.
func TestCallOfCallerThatHasLeftIsNotSent(t *testing.T) {
	c, clock := client(t)
	s := newRawServer(t, replyWith(goodAnswer))
	_, err := c.Do(t.Context(), s.target(), call(clock, "1"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Do(ctx, s.target(), call(clock, "2"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseExpired)
	_, err = c.Do(t.Context(), s.target(), call(clock, "3"))
	assert.NilError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.requests), 2)
}

// The caller cancels while the server works. The connection is closed at once, which
// notifies the server, and the call must not be reported as not run.
func TestCanceledCallerEndsCall(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	server := newRawServer(t, func(_ int, c net.Conn, _ string) bool {
		close(started)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	c, clock := client(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := c.Do(ctx, server.target(), call(clock, "7"))
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseGone)
	<-ended
}

// frozenClock is a clock at which a call has exactly the time left that it names.
type frozenClock mtclock.Instant

func (c frozenClock) Now() mtclock.Instant { return mtclock.Instant(c) }

// Guards against a run that is cut at the moment at which its server answers that its time is over.
func TestServerThatStopsAtItsDeadlineIsHeard(t *testing.T) {
	const granted = 50 * time.Millisecond
	server := newRawServer(t, func(_ int, c net.Conn, id string) bool {
		time.Sleep(granted)
		_, _ = c.Write([]byte("HTTP/1.1 504 Late\r\nRequest-Id: " + id + "\r\nReply-Signature: s\r\nContent-Length: 0\r\n\r\n"))
		return true
	})
	c, cleanUp := iobackend.New(iobackend.Config{Names: mtheader.DefaultNames, Clock: frozenClock(time.Hour)})
	t.Cleanup(cleanUp)
	const calls = 20
	heard := 0
	for range calls {
		answer, err := c.Do(t.Context(), server.target(), &mtcall.Call{
			ID: "7", Method: http.MethodGet, Target: "/plans/7", Host: "maps.example", Idempotent: true, Deadline: mtclock.Instant(time.Hour + granted),
		})
		if err == nil && answer.Status == http.StatusGatewayTimeout {
			heard++
		}
	}
	// A busy machine may hold up a few of the answers.
	assert.Assert(t, heard > calls/2, "%d of %d answers were heard", heard, calls)
}

// Guards against a server that runs a request with another target than the caller sent.
func TestTargetIsSentAsReceived(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got = r.RequestURI
		w.Header().Set(mtheader.DefaultNames.ID, r.Header.Get(mtheader.DefaultNames.ID))
		w.Header().Set(mtheader.DefaultNames.Signature, "s")
	}))
	defer server.Close()
	c, clock := client(t)
	for _, target := range []string{
		"/", "//", "///", "/a%20b", "//other/a%20b", "//other/a%2520b", "//other/%2F/..//x?q=%20&r=//", "//h:80/x", "/a?b=//c", "//?", "//other/a|b", "//other/a[b]{c}",
		"//o/" + strings.Repeat("a%20", 3000),
	} {
		for _, size := range []int{0, 10, 200_000} {
			one := call(clock, "1")
			one.Method, one.Target, one.Body = http.MethodPost, target, mtcall.BodyOf(make([]byte, size))
			_, err := c.Do(t.Context(), iobackend.Target{Address: server.Listener.Addr().String(), Server: "server-1"}, one)
			assert.NilError(t, err, "%s", target)
			assert.Equal(t, got, target)
		}
	}
}
