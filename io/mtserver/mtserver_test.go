package mtserver_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/io/mtserver"
)

const maxReply = 1 << 10

var ref = mtid.Ref{Business: "ratins", Service: "dispatch"}

type fixedClock struct{}

func (fixedClock) Now() mtclock.Instant { return 0 }

func announcement(address string) mtannounce.Announcement {
	return mtannounce.Announcement{
		Business: ref.Business, Service: ref.Service, Address: address, Slots: 2, Connections: 2, State: mtannounce.Ready,
	}
}

func newServer(t *testing.T, address string) *mtserver.Server {
	t.Helper()
	pool := mtserver.NewPool(fixedClock{}, maxReply, slog.New(slog.DiscardHandler), func() {})
	pool.Put(announcement(address))
	server, ok := pool.Server(ref, 0)
	assert.Assert(t, ok)
	return server
}

func newCall(method string, body string) mtserver.Call {
	return mtserver.Call{Epoch: 7, StartBy: 8, Deadline: 9, Request: &mtrequest.Request{
		ID: mtrequest.Mint(time.UnixMilli(1), [10]byte{1}), Service: ref, Key: "hotel/7", Path: "/robots",
		Query: "a=b", Class: "send", Method: method, Body: []byte(body),
	}}
}

func echoID(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(mtheader.ID, r.Header.Get(mtheader.ID))
		h(w, r)
	}
}

func TestReplies(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    mtreply.Outcome
		cause   mtreply.Cause
	}{
		{"whole", echoID(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }), mtreply.Answered, ""},
		{"error status", echoID(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }), mtreply.Answered, ""},
		{"for another request", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(mtheader.ID, "x") }, mtreply.Unknown, mtreply.CauseTruncated},
		{"cut off", echoID(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		}), mtreply.Unknown, mtreply.CauseTruncated},
		{"too large", echoID(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, maxReply+1))
		}), mtreply.Unknown, mtreply.CauseTooLarge},
		{"refused", echoID(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(mtheader.Outcome, string(mtreply.NotRun))
			w.WriteHeader(503)
		}), mtreply.NotRun, mtreply.CauseRefused},
		{"fenced", echoID(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(mtheader.Outcome, string(mtreply.NotRun))
			w.Header().Set(mtheader.Cause, string(mtreply.CauseFenced))
			w.WriteHeader(412)
		}), mtreply.NotRun, mtreply.CauseFenced},
		{"connection lost", echoID(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), mtreply.Unknown, mtreply.CauseLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := httptest.NewServer(tt.handler)
			defer backend.Close()
			reply, err := newServer(t, backend.Listener.Addr().String()).Do(context.Background(), newCall("POST", "x"))
			if err != nil {
				reply = mtrequest.FromError(err)
			}
			assert.Equal(t, reply.Outcome, tt.want)
			assert.Equal(t, reply.Cause, tt.cause)
		})
	}
}

func TestRequestCarriesKeyAndFences(t *testing.T) {
	var got *http.Request
	backend := httptest.NewServer(echoID(func(_ http.ResponseWriter, r *http.Request) { got = r }))
	defer backend.Close()
	_, err := newServer(t, backend.Listener.Addr().String()).Do(context.Background(), newCall("POST", "x"))
	assert.NilError(t, err)
	assert.Equal(t, got.URL.EscapedPath(), "/hotel%2F7/robots")
	assert.Equal(t, got.URL.RawQuery, "a=b")
	assert.Equal(t, got.Header.Get(mtheader.Epoch), "7")
	assert.Equal(t, got.Header.Get(mtheader.StartBy), "8")
	assert.Equal(t, got.Header.Get(mtheader.Deadline), "9")
}

// Nothing listens at the announced address. The request is reported as not run,
// since no byte of it was sent.
func TestUnreachableServerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newServer(t, address).Do(context.Background(), newCall("POST", "x"))
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused), "got %v, want a RefusedError", err)
	assert.Equal(t, refused.Cause, mtreply.CauseUnreachable)
}

// The server answers the first request on a connection, reads the second one and
// closes the connection without replying. The standard transport would retry a GET
// on a new connection, and a non-idempotent request would run twice.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			var seen atomic.Int32
			address := startClosingServer(t, &seen)
			server := newServer(t, address)
			_, err := server.Do(context.Background(), newCall(method, ""))
			assert.NilError(t, err)
			_, err = server.Do(context.Background(), newCall(method, ""))
			var unknown *mtreply.UnknownError
			assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
			assert.Equal(t, seen.Load(), int32(2))
		})
	}
}

// startClosingServer starts a server that answers the first request on each
// connection, reads one more and closes the connection.
func startClosingServer(t *testing.T, seen *atomic.Int32) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(conn, seen)
		}
	}()
	return listener.Addr().String()
}

func answerFirstRequest(conn net.Conn, seen *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		seen.Add(1)
		if i == 0 {
			id := r.Header.Get(mtheader.ID)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + mtheader.ID + ": " + id + "\r\n\r\n"))
		}
	}
}

// The caller's deadline passes while the server still runs the request. The request
// may have run, so the outcome is unknown.
func TestTimeoutIsUnknown(t *testing.T) {
	release := make(chan struct{})
	backend := httptest.NewServer(echoID(func(http.ResponseWriter, *http.Request) { <-release }))
	defer backend.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := newServer(t, backend.Listener.Addr().String()).Do(ctx, newCall("POST", "x"))
	var unknown *mtreply.UnknownError
	assert.Assert(t, errors.As(err, &unknown), "got %v, want an UnknownError", err)
	assert.Equal(t, unknown.Cause, mtreply.CauseTimeout)
}

func TestUnresponsiveServerExpires(t *testing.T) {
	changes := 0
	pool := mtserver.NewPool(fixedClock{}, maxReply, slog.New(slog.DiscardHandler), func() { changes++ })
	pool.Put(announcement("127.0.0.1:1"))
	pool.Put(announcement("127.0.0.1:1"))
	assert.Equal(t, changes, 1)
	late := mtclock.Instant(0).Add(mtannounce.TTL + 1)
	_, ok := pool.Server(ref, late)
	assert.Assert(t, !ok)
	assert.Assert(t, pool.Expire(late))
	assert.Equal(t, len(pool.Offers()), 0)
	assert.Equal(t, changes, 2)
}

func TestAnnouncementReportsAllFaults(t *testing.T) {
	a := mtannounce.Announcement{Address: "nowhere", State: "asleep"}
	var fields []string
	for _, f := range a.Check() {
		fields = append(fields, f.Field)
	}
	assert.Equal(t, strings.Join(fields, " "), "business service address slots connections state")
}

// A frozen daemon can't cancel the requests that its server runs, so each
// announcement reply contains the end of the lease.
func TestAnnouncementReplyHasLeaseEnd(t *testing.T) {
	pool := mtserver.NewPool(fixedClock{}, maxReply, slog.New(slog.DiscardHandler), func() {})
	pool.SetLeaseEnd(func() int64 { return 77 })
	body, err := json.Marshal(announcement("127.0.0.1:1"))
	assert.NilError(t, err)
	request := httptest.NewRequest(http.MethodPost, mtheader.AnnouncePath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response := httptest.NewRecorder()
	assert.NilError(t, pool.Announce(echo.New().NewContext(request, response)))
	assert.Equal(t, response.Code, http.StatusNoContent)
	assert.Equal(t, response.Header().Get(mtheader.ServeUntil), "77")
}
