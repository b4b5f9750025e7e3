package mtpipeline_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/io/mtpipeline"
)

// testConn is a server with a handler, and a connection to it.
type testConn struct {
	t      *testing.T
	server *mtpipeline.Server
	conn   net.Conn
	reader *bufio.Reader
	served chan error // result of Serve
}

func newTestConn(t *testing.T, handler http.HandlerFunc) *testConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return startTestConn(t, listener, handler)
}

// startTestConn is newTestConn with a listener of the test.
func startTestConn(t *testing.T, listener net.Listener, handler http.HandlerFunc) *testConn {
	t.Helper()
	return startTestConnWith(t, listener, handler, 0)
}

// startTestConnWith is startTestConn with a stall timeout.
func startTestConnWith(t *testing.T, listener net.Listener, handler http.HandlerFunc, stall time.Duration) *testConn {
	t.Helper()
	s := &testConn{t: t, served: make(chan error, 1), server: &mtpipeline.Server{
		Handler: handler, Log: slog.New(slog.DiscardHandler),
		Limits: mtpipeline.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, StallTimeout: stall, MaxConcurrent: 8},
	}}
	go func() { s.served <- s.server.Serve(listener) }()
	var err error
	s.conn, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	s.reader = bufio.NewReader(s.conn)
	t.Cleanup(func() {
		_ = s.conn.Close()
		assert.NilError(t, s.server.Close())
	})
	return s
}

func (s *testConn) send(text string) {
	s.t.Helper()
	_, err := io.WriteString(s.conn, text)
	assert.NilError(s.t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// read reads the next response.
func (s *testConn) read() (*http.Response, string) {
	s.t.Helper()
	assert.NilError(s.t, s.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	response, err := http.ReadResponse(s.reader, nil)
	assert.NilError(s.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return response, string(body)
}

// A caller sends three requests before the first is answered. They must run concurrently and
// be answered in their order, whichever finishes first.
func TestPipelinedRequestsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	var together sync.WaitGroup
	together.Add(3)
	s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
		together.Done()
		together.Wait()
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	s.send(get("/1") + get("/2") + get("/3"))
	for _, want := range []string{"/1", "/2", "/3"} {
		response, body := s.read()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, want)
	}
}

// A request that is not safe or has a body must start after all earlier requests have ended,
// and end before any later one starts.
func TestUnsafeRequestRunsExclusively(t *testing.T) {
	var mu sync.Mutex
	var events []string
	note := func(e string) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, e)
	}
	s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		note("begin " + r.URL.Path)
		time.Sleep(20 * time.Millisecond)
		note("end " + r.URL.Path)
		_, _ = w.Write(body)
	})
	s.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/3") +
		"DELETE /4 HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = s.read()
	_, body := s.read()
	assert.Equal(t, body, "hello")
	_, _ = s.read()
	_, _ = s.read()
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, events, []string{"begin /1", "end /1", "begin /2", "end /2", "begin /3", "end /3", "begin /4", "end /4"})
}

// A response requests to close the connection while later requests are being processed. These
// must still be answered, and the last response must announce that the connection closes.
func TestConnectionClosesAfterPendingRequests(t *testing.T) {
	s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Connection", "close")
		} else {
			time.Sleep(100 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	s.send(get("/1") + get("/2"))
	first, _ := s.read()
	second, body := s.read()
	assert.Assert(t, !first.Close || body == "", "the first response announces a close although another one follows")
	assert.Equal(t, body, "/2")
	assert.Assert(t, second.Close)
	_, err := s.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// A caller disconnects while its requests are being processed, with or without a body. Their
// contexts must be canceled.
func TestDisconnectCancelsRequests(t *testing.T) {
	for name, request := range map[string]string{
		"safe": get("/1"), "two": get("/1") + get("/2"), "with a body": "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			begun, canceled := make(chan struct{}, 2), make(chan struct{}, 2)
			s := newTestConn(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				begun <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
			})
			s.send(request)
			<-begun
			assert.NilError(t, s.conn.Close())
			select {
			case <-canceled:
			case <-time.After(20 * time.Second):
				t.Fatal("the context of the request was not canceled")
			}
		})
	}
}

// Guards against requests that go on after their caller has left while the connection isn't read.
func TestDisconnectBehindUnreadRequestCancelsRequests(t *testing.T) {
	post := "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	for name, test := range map[string]struct {
		requests string
		begun    int
	}{
		"body behind":    {get("/0") + post, 1},
		"behind a body":  {post + get("/0"), 1},
		"too many":       {strings.Repeat(get("/0"), 9), 8},
		"announced":      {"GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/1"), 2},
		"invalid behind": {get("/0") + "rubbish\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			begun, canceled := make(chan struct{}, 16), make(chan struct{}, 16)
			s := newTestConn(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				begun <- struct{}{}
				<-r.Context().Done()
				canceled <- struct{}{}
			})
			s.send(test.requests)
			for range test.begun {
				<-begun
			}
			assert.NilError(t, s.conn.Close())
			for range test.begun {
				select {
				case <-canceled:
				case <-time.After(10 * time.Second):
					t.Fatal("the context of the request was not canceled")
				}
			}
		})
	}
}

// Shutdown must answer the requests that have been read, close idle connections, and accept
// no new ones.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	begun, end := make(chan struct{}), make(chan struct{})
	s := newTestConn(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-end
		_, _ = io.WriteString(w, "whole")
	})
	idle, err := net.Dial("tcp", s.conn.RemoteAddr().String())
	assert.NilError(t, err)
	s.send(get("/1"))
	<-begun
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	assert.Equal(t, <-s.served, http.ErrServerClosed)
	_, err = idle.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	close(end)
	response, body := s.read()
	assert.Equal(t, body, "whole")
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn, err := net.Dial("tcp", s.conn.RemoteAddr().String()); err == nil {
			_ = conn.Close()
			return poll.Continue("the server still accepts connections")
		}
		return poll.Success()
	})
}

// hookedListener calls onClose before it is closed.
type hookedListener struct {
	net.Listener
	onClose func()
}

func (l *hookedListener) Close() error {
	l.onClose()
	return l.Listener.Close()
}

// A response that is written while Shutdown has not reached its connection yet must announce
// the close. Otherwise the caller sends its next request on a connection that is closed.
func TestResponseDuringShutdownAnnouncesClose(t *testing.T) {
	begun, end, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := startTestConn(t, &hookedListener{Listener: listener, onClose: sync.OnceFunc(func() {
		close(end)
		<-answered
	})}, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-end
		_, _ = io.WriteString(w, "whole")
	})
	s.send(get("/1"))
	<-begun
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	response, body := s.read()
	close(answered)
	assert.Equal(t, body, "whole")
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

// slowListener accepts a connection some time after it has been told to.
type slowListener struct {
	net.Listener
	pause time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.pause)
	return l.Listener.Accept()
}

// Callers connect just before a shutdown, and the server has not accepted their connections
// yet. They must see the end of the connection, and not a reset, and a request that was sent
// must be answered.
func TestShutdownServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := startTestConn(t, &slowListener{Listener: listener, pause: 250 * time.Millisecond},
		func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	dial := func(text string) *testConn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		waiting := &testConn{t: t, conn: conn, reader: bufio.NewReader(conn)}
		waiting.send(text)
		return waiting
	}
	silent, caller := dial(""), dial(get("/2"))
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	response, body := caller.read()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	for _, conn := range []*testConn{silent, caller} {
		assert.NilError(t, conn.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
		_, err := conn.reader.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
	assert.NilError(t, <-stopped)
}

// heldListener accepts connections whose writes return only when they are released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldConn{Conn: conn, released: l.released}, err
}

type heldConn struct {
	net.Conn
	released chan struct{}
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	<-c.released
	return n, err
}

// A response has reached its caller without announcing the close, and is not finished at the
// server when Shutdown closes its connection. The next request of the caller must be answered,
// whether the first one ran alone or not.
func TestShutdownAnswersRequestBehindUnannouncedResponse(t *testing.T) {
	for name, request := range map[string]string{"safe": get("/1"), "unsafe": "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			released, closed := make(chan struct{}), make(chan struct{})
			hooked := &hookedListener{Listener: &heldListener{Listener: listener, released: released}, onClose: sync.OnceFunc(func() { close(closed) })}
			s := startTestConn(t, hooked, func(w http.ResponseWriter, r *http.Request) {
				assert.Check(t, r.Context().Err())
				_, _ = io.WriteString(w, r.URL.Path)
			})
			s.send(request)
			first, _ := s.read()
			assert.Assert(t, !first.Close)
			stopped := make(chan error)
			go func() { stopped <- s.server.Shutdown(context.Background()) }()
			<-closed
			time.Sleep(50 * time.Millisecond) // until the connections are told to close; less would make the test weaker
			s.send(get("/2"))
			close(released)
			second, body := s.read()
			assert.Equal(t, body, "/2")
			assert.Assert(t, second.Close)
			assert.NilError(t, <-stopped)
		})
	}
}

// A request arrives on a kept connection while Shutdown is closing it. The server has received
// it, so that it must be answered, and the answer must announce the close.
func TestShutdownAnswersRequestThatJustArrives(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var s *testConn
	s = startTestConn(t, &hookedListener{Listener: listener, onClose: sync.OnceFunc(func() { s.send(get("/2")) })},
		func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	s.send(get("/1"))
	_, _ = s.read()
	stopped := make(chan error)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	response, body := s.read()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

// An invalid request must be rejected after the previous one has been answered.
func TestInvalidRequestIsRejectedInOrder(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"nonsense":     {"nonsense\r\n\r\n", http.StatusBadRequest},
		"no host":      {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		"large header": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestConn(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "first") })
			s.send(get("/1") + test.text)
			_, body := s.read()
			assert.Equal(t, body, "first")
			response, _ := s.read()
			assert.Equal(t, response.StatusCode, test.want)
			assert.Assert(t, response.Close)
		})
	}
}

// The client of net/http must work with the server: with declared lengths, chunked bodies,
// HEAD requests, responses without a body, and bodies that the handler doesn't read.
func TestNetHTTPClient(t *testing.T) {
	s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/unread":
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Content-Length", fmt.Sprint(len(body)+2))
			_, _ = fmt.Fprintf(w, "%s!!", body)
		}
	})
	base := "http://" + s.conn.RemoteAddr().String()
	for _, test := range []struct {
		method, path string
		body         io.Reader
		status       int
		want         string
	}{
		{http.MethodPost, "/echo", strings.NewReader("hello"), http.StatusOK, "hello!!"},
		{http.MethodPost, "/echo", io.MultiReader(strings.NewReader("in "), strings.NewReader("chunks")), http.StatusOK, "in chunks!!"},
		{http.MethodHead, "/echo", nil, http.StatusOK, ""},
		{http.MethodGet, "/none", nil, http.StatusNoContent, ""},
		{http.MethodPost, "/unread", strings.NewReader(strings.Repeat("x", 1<<20)), http.StatusRequestEntityTooLarge, ""},
		{http.MethodGet, "/echo", nil, http.StatusOK, "!!"},
	} {
		request, err := http.NewRequest(test.method, base+test.path, test.body)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err, "%s %s", test.method, test.path)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, test.status)
		assert.Equal(t, string(body), test.want)
	}
}

// A handler that panics must close its own connection and no other one.
func TestPanicClosesOnlyItsConnection(t *testing.T) {
	s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fails" {
			panic("no")
		}
		_, _ = io.WriteString(w, "well")
	})
	s.send(get("/fails"))
	_, err := s.reader.ReadByte()
	assert.Assert(t, err != nil)
	response, err := http.Get("http://" + s.conn.RemoteAddr().String() + "/")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a request that is smuggled inside another: what one reader takes for a body, the next
// takes for a request.
func TestOddRequestsAreRefused(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	odd := map[string]string{
		"HTTP/2.0": "GET /1 HTTP/2.0\r\nHost: h\r\n\r\n", "HTTP/1.9": "GET /1 HTTP/1.9\r\nHost: h\r\n\r\n",
		"chunks in HTTP/1.0": fmt.Sprintf("POST /1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled),
	}
	for _, lines := range []string{
		"Content-Length : 40", "Content-Length\t: 40", "Content Length: 40", "Content-Length: 40\r\nContent-Length: 4", "Content-Length: 40, 40", "Content-Length: +40",
		"X: a\r\n Content-Length: 40", "X: a\rContent-Length: 40", "Content-Length: 40\r\nTransfer-Encoding: chunked", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
		"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, identity", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding:\x0bchunked",
		"Host: other", "X\x01: a", "X: \x00", "X\x7f: a", ": a", "no colon", "X: a\r\n folded",
	} {
		odd[lines] = "POST /1 HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n\r\n"
	}
	for name, text := range odd {
		t.Run(name, func(t *testing.T) {
			served := make(chan string, 10)
			s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) {
				served <- r.URL.Path
				_, _ = io.Copy(w, r.Body)
			})
			s.send(text + smuggled)
			response, _ := s.read()
			assert.Equal(t, response.StatusCode, http.StatusBadRequest)
			assert.Assert(t, response.Close)
			_, err := s.reader.ReadByte()
			assert.Assert(t, err != nil)
			assert.Equal(t, len(served), 0)
		})
	}
}

// For any input, the connection must end after the caller has closed its write side, and
// nothing must panic.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/1") + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\nab"))
	f.Add([]byte("HEAD / HTTP/1.0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newTestConn(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
		_, err := s.conn.Write(text)
		assert.NilError(t, err)
		assert.NilError(t, s.conn.(*net.TCPConn).CloseWrite())
		assert.NilError(t, s.conn.SetReadDeadline(time.Now().Add(20*time.Second)))
		if _, err := io.Copy(io.Discard, s.conn); err != nil {
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the connection did not end in time")
		}
	})
}

// Guards against a request that is refused for its header, within the limit, because its body has arrived with it.
func TestLongHeaderWithBodyIsServed(t *testing.T) {
	for _, header := range []int{3000, 4200, 5000, 7500} {
		for _, body := range []int{100, 8000, 200_000} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			s := startTestConn(t, listener, func(w http.ResponseWriter, r *http.Request) {
				n, _ := io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprint(w, n)
			})
			for range 2 {
				s.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", header), body, strings.Repeat("b", body)))
				response, text := s.read()
				assert.Equal(t, response.StatusCode, http.StatusOK, "header of %d, body of %d bytes", header, body)
				assert.Equal(t, text, fmt.Sprint(body))
			}
		}
	}
}
