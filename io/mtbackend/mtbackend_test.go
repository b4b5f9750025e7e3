package mtbackend_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mttime"
)

// raw is a backend server that answers each request with bytes of the test's
// choice. "ID" in them stands for the identifier of the request.
type raw struct {
	listener net.Listener
	conns    atomic.Int64
	mu       sync.Mutex
	requests []string
}

func newRaw(t *testing.T, answer func(n int, c net.Conn, id string) (keep bool)) *raw {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &raw{listener: listener}
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

func (s *raw) serve(conn net.Conn, answer func(n int, c net.Conn, id string) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI)
		n := len(s.requests)
		s.mu.Unlock()
		if !answer(n, conn, r.Header.Get(mtheader.DefaultNames.ID)) {
			return
		}
	}
}

func (s *raw) target() mtbackend.Target {
	return mtbackend.Target{Address: s.listener.Addr().String(), Server: "life-1"}
}

// say answers with a text in which ID is replaced.
func say(text string) func(int, net.Conn, string) bool {
	return func(_ int, c net.Conn, id string) bool {
		_, _ = c.Write([]byte(strings.ReplaceAll(text, "ID", id)))
		return !strings.Contains(text, "CLOSE")
	}
}

const good = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"

func client(t *testing.T) (*mtbackend.Client, *mttime.Clock) {
	t.Helper()
	clock := mttime.New()
	c, cleanUp := mtbackend.New(mtbackend.Config{Names: mtheader.DefaultNames, Clock: clock})
	t.Cleanup(cleanUp)
	return c, clock
}

func call(clock *mttime.Clock, id mtcall.ID) *mtcall.Call {
	return &mtcall.Call{ID: id, Method: http.MethodGet, Target: "/plans/7?floor=2", Host: "maps.example", Idempotent: true, Deadline: clock.Now().Add(3 * time.Second)}
}

// Each row is what a faulty server may send, and what the caller must be told:
// never part of an answer, never another's, and "not run" only with proof.
func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  string
		body    string
		refused mtreply.Cause
		unknown mtreply.Cause
	}{
		{name: "whole", answer: good, body: "whole"},
		{name: "without length", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nX-End: CLOSE\r\n\r\nto the end", body: "to the end"},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", body: "abc"},
		{name: "second answer of another call first", answer: strings.ReplaceAll(good, "ID", "other") + good, body: "whole"},
		{name: "a failure of its own", answer: "HTTP/1.1 500 Oops\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 2\r\n\r\nno", body: "no"},
		{name: "cut body", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Length: 50\r\nX-End: CLOSE\r\n\r\npart", unknown: mtreply.CauseTruncated},
		{name: "cut header", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nX-End: CLOSE", unknown: mtreply.CauseTruncated},
		{name: "no HTTP", answer: "CLOSE garbage\r\n\r\n", unknown: mtreply.CauseLost},
		{name: "an empty line and the end", answer: "\r\nCLOSE", unknown: mtreply.CauseLost},
		{name: "success without the server's mark", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 2\r\n\r\nno", unknown: mtreply.CauseTruncated},
		{name: "encoded", answer: "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nReply-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno", unknown: mtreply.CauseTruncated},
		{name: "only answers of others", answer: strings.Repeat(strings.ReplaceAll(good, "ID", "other"), 4), unknown: mtreply.CauseTruncated},
		{name: "says that it was not run", answer: "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseRefused},
		{name: "holds no such key", answer: "HTTP/1.1 421 No\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseFenced},
		{name: "is another life", answer: "HTTP/1.1 421 No\r\nRequest-Id: ID\r\nServer-Answering: life-2\r\nContent-Length: 0\r\n\r\n", refused: mtreply.CauseNoServer},
		{name: "503 without the mark proves nothing", answer: "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nContent-Length: 0\r\n\r\n", body: ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := newRaw(t, say(test.answer))
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
				assert.Equal(t, string(answer.Body), test.body)
			}
		})
	}
}

// Bytes behind a complete answer belong to no call. On a connection that was
// used again, the next caller would take them for its own answer.
func TestAConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	server := newRaw(t, func(n int, c net.Conn, id string) bool {
		text := strings.ReplaceAll(good, "ID", id)
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
		assert.Equal(t, string(answer.Body), "whole")
	}
	assert.Equal(t, server.conns.Load(), int64(2))
}

// The path and query reach the server as the caller wrote them: decoded and
// encoded again they might name something else.
func TestTheTargetIsPassedOnUnchanged(t *testing.T) {
	server := newRaw(t, say(good))
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

// A server that ails rejects half of what comes, although it has slots free. A caller who was
// told to come back after half a second came back too late for its objective; one that asks
// again at once is mostly taken.
func TestARejectedCallMayComeBackAtOnce(t *testing.T) {
	server := newRaw(t, say("HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	c, clock := client(t)
	_, err := c.Do(t.Context(), server.target(), call(clock, "7"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, refused.RetryAfter <= 100*time.Millisecond, "%s", refused.RetryAfter)
}

// Nothing listens: no byte of the call can have left, so it was not run.
func TestARefusedConnectionIsNotRun(t *testing.T) {
	server := newRaw(t, say(good))
	_ = server.listener.Close()
	c, clock := client(t)
	_, err := c.Do(t.Context(), server.target(), call(clock, "7"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Cause, mtreply.CauseNoServer)
}

// The caller leaves while the server works: the connection closes at once, by
// which the server knows, and nobody is told that the call was not run.
func TestACallerThatLeavesEndsTheCall(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	server := newRaw(t, func(_ int, c net.Conn, _ string) bool {
		close(begun)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	})
	c, clock := client(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := c.Do(ctx, server.target(), call(clock, "7"))
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseGone)
	<-ended
}
