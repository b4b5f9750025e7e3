package mtpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

// bufferSize is that of the buffers of a connection, in bytes.
const bufferSize = 4 << 10

// conn is one connection. Its requests are read by one goroutine and served by one each.
type conn struct {
	net.Conn
	server *Server
	limit  *io.LimitedReader
	reader *bufio.Reader
	writer *bufio.Writer // of whose turn it is
	// ctx ends when the caller has gone.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	open    int       // requests that are not answered yet
	last    *exchange // the newest request that was read
	reading bool      // the next one is being read
	ending  bool      // no further one is
}

func newConn(s *Server, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s, limit: &io.LimitedReader{R: accepted, N: math.MaxInt64}}
	c.reader = bufio.NewReaderSize(c.limit, bufferSize)
	c.writer = bufio.NewWriterSize(accepted, bufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// answered is the turn of a request before which none is open.
var answered = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// serve reads requests and has them served until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.abort()
	turn := answered
	c.rest()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			// The caller has gone, or the connection was idle for too long. What is open has
			// nobody to answer to.
			c.cancel()
			break
		}
		if !c.begin() {
			break
		}
		request, err := c.read()
		if err != nil {
			<-turn
			c.reject(err)
			break
		}
		turn = c.exchange(request, turn)
	}
	<-turn
	c.cancel()
	c.linger()
}

// lingerTime is how long a caller has to read the last answer.
const lingerTime = 500 * time.Millisecond

// linger lets the caller read the last answer: closed with requests that nobody has read, a
// connection is reset, and what was on its way to the caller is lost.
func (c *conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// rest lets the connection end by itself if no request comes for long, or at once if none
// is to come. It is called while none is open.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restLocked()
}

// restLocked is rest with mu held.
func (c *conn) restLocked() {
	switch {
	case c.open > 0 || c.reading:
	case c.ending:
		_ = c.SetReadDeadline(time.Unix(1, 0))
	default:
		_ = c.SetReadDeadline(time.Now().Add(c.server.Limits.IdleTime))
	}
}

// begin reports whether the next request is to be read.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.reading = true
	_ = c.SetReadDeadline(time.Now().Add(c.server.Limits.HeaderTime))
	return true
}

// read reads the header of a request.
func (c *conn) read() (*http.Request, error) {
	c.limit.N = int64(c.server.Limits.Header + bufferSize)
	request, err := http.ReadRequest(c.reader)
	if err == nil && request.Host == "" && request.ProtoAtLeast(1, 1) {
		err = &hostError{}
	}
	if c.limit.N <= 0 {
		err = &headerError{}
	}
	c.limit.N = math.MaxInt64
	if err != nil {
		return nil, err
	}
	request.RemoteAddr = c.RemoteAddr().String()
	return request.WithContext(c.ctx), nil
}

// hostError says that a request names no host.
type hostError struct{}

// Error implements error.
func (*hostError) Error() string { return "request without a host" }

// headerError says that a request's header is too large.
type headerError struct{}

// Error implements error.
func (*headerError) Error() string { return "header of a request is too large" }

// exchange has a request served whose answer follows on turn, and returns the turn of the
// next one. It returns once the next one may be read.
func (c *conn) exchange(request *http.Request, turn chan struct{}) chan struct{} {
	e := &exchange{conn: c, request: request, turn: turn, done: make(chan struct{}), header: make(http.Header)}
	alone := !concurrent(request)
	if alone {
		<-turn
		e.watchBody()
	}
	c.mu.Lock()
	c.open++
	c.last, c.reading = e, false
	full := c.open >= c.server.Limits.Outstanding
	_ = c.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	go e.serve()
	switch {
	case alone:
		// Whoever goes is noticed by the next read, which must not take what is left of the
		// body, and the next request must not begin before this one is answered.
		<-e.consumed
		if _, err := c.reader.Peek(1); err != nil {
			c.cancel()
		}
		<-e.done
	case full:
		<-e.done
	}
	return e.done
}

// concurrent reports whether a request may be served beside others of its connection.
func concurrent(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0
}

// reject answers what can't be read, if it is not the connection that has failed.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	var header *headerError
	var failed net.Error
	switch {
	case errors.As(err, &header):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &failed), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return
	}
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true}
	// The caller may have gone.
	if response.Write(c.writer) == nil {
		_ = c.writer.Flush()
	}
}

// finish reads no further request; the connection ends once those that were read are
// answered.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.restLocked()
}

// abort cuts the connection off.
func (c *conn) abort() {
	c.cancel()
	_ = c.Conn.Close()
}
