package mtpipeline_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// stallTimeout is the stall timeout of the tests.
const stallTimeout = 400 * time.Millisecond

// newStallConn is newTestConn with a stall timeout and small socket buffers at the server.
func newStallConn(t *testing.T, handler http.HandlerFunc) *testConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := startTestConnWith(t, smallBuffers{listener}, handler, stallTimeout)
	return s
}

// smallBuffers is a listener whose connections have small send buffers.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return conn, err
}

// bodySender is a response writer that takes a body over.
type bodySender interface {
	SendBody(segments [][]byte, release func())
}

func awaitCount(t *testing.T, count *atomic.Int64, want int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if count.Load() == want {
			return poll.Success()
		}
		return poll.Continue("%d of %d", count.Load(), want)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a caller that reads nothing and whose responses are held without end.
func TestResponseThatNobodyReadsIsDropped(t *testing.T) {
	var released atomic.Int64
	segment := make([]byte, 64<<10)
	body := make([][]byte, 1024)
	for i := range body {
		body[i] = segment
	}
	s := newStallConn(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(bodySender).SendBody(body, func() { released.Add(1) })
	})
	s.send(get("/1") + get("/2") + get("/3"))
	awaitCount(t, &released, 3)
}

// Guards against a response to a caller that reads slowly, but does read, and is cut off.
func TestResponseThatIsReadSlowlyIsWhole(t *testing.T) {
	const size = 1 << 20
	var released atomic.Int64
	s := newStallConn(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(bodySender).SendBody([][]byte{make([]byte, size/2), make([]byte, size/2)}, func() { released.Add(1) })
	})
	s.send(get("/1"))
	response, err := http.ReadResponse(s.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.ContentLength, int64(size))
	total, part := 0, make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(part)
		total += n
		if total < size/2 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, total, size)
	awaitCount(t, &released, 1)
}

// Guards against a caller that sends a part of a body and nothing more, and whose request is held without
// end.
func TestBodyThatNobodySendsIsDropped(t *testing.T) {
	var failed atomic.Int64
	s := newStallConn(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			failed.Add(1)
		}
	})
	s.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart")
	awaitCount(t, &failed, 1)
}

// Guards against the deadline of a body that ends the connection after it.
func TestConnectionOutlastsDeadlineOfItsBody(t *testing.T) {
	s := newStallConn(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(2 * stallTimeout)
	})
	for range 2 {
		s.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
		response, _ := s.read()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}

// Guards against a connection that keeps the body of its last response in memory while it is idle.
func TestIdleConnectionKeepsNoBody(t *testing.T) {
	var collected atomic.Int64
	s := newStallConn(t, func(w http.ResponseWriter, _ *http.Request) {
		body := &struct{ segments [][]byte }{[][]byte{make([]byte, 64<<10)}}
		runtime.AddCleanup(body, func(int) { collected.Add(1) }, 0)
		w.(bodySender).SendBody(body.segments, func() { runtime.KeepAlive(body) })
	})
	s.send(get("/1"))
	s.read()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		runtime.GC()
		if collected.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("the body is still referred to")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	s.send(get("/2")) // the connection was open all the while
	s.read()
}
