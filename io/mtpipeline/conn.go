package mtpipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"magnoliaturn/core/mthead"
	"magnoliaturn/io/mtdial"
	iohead "magnoliaturn/io/mthead"
)

// bufferSize is the size of the read and write buffers of a connection, in bytes.
const bufferSize = 4 << 10

// conn is one connection. One goroutine reads its requests, and each request is processed by
// a goroutine of its own.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	writer *bufio.Writer // used by the oldest unanswered exchange only
	// ctx is canceled when the caller has disconnected.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	pending int       // number of requests that have been read but not answered
	last    *exchange // the last request that was read
	reading bool      // whether the next request is being read
	closing bool      // whether the connection is to end; see mayRead
	// unanswered is the number of requests whose responses have not been composed yet. It goes
	// down before the caller can see the response, and pending after that.
	unanswered int
	announced  bool // a response has announced the close
}

// finalReadTimeout is how long a connection that is to end, and has not told its caller, waits
// for a request that is on its way. If such a request were discarded, its caller would get no
// answer although the server had received it.
const finalReadTimeout = 50 * time.Millisecond

func newConn(s *Server, accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s}
	c.reader = bufio.NewReaderSize(accepted, bufferSize)
	c.writer = bufio.NewWriterSize(&stallWriter{Conn: accepted, timeout: s.Limits.StallTimeout}, bufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// answered is a closed channel. The first exchange of a connection has it as previous.
var answered = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// serve reads requests and starts to process them until the connection ends.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.abort()
	previous := answered
	c.setIdleDeadline()
	for {
		if c.awaitRequest() != nil {
			// The caller has disconnected, or the connection was idle for too long. Pending
			// requests are canceled, because nobody receives their responses.
			c.cancel()
			break
		}
		if !c.beginRead() {
			break
		}
		request, err := c.readRequest()
		if err != nil {
			c.awaitAnswered(previous)
			c.reject(err)
			break
		}
		previous = c.exchange(request, previous)
	}
	c.awaitAnswered(previous)
	c.cancel()
	mtdial.Linger(c.Conn)
}

// setIdleDeadline sets the read deadline of an idle connection, so that it ends if no request
// arrives in time, or at once if it is closing. It has no effect while requests are pending.
func (c *conn) setIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdleDeadlineLocked()
}

// setIdleDeadlineLocked is setIdleDeadline for callers that hold mu.
func (c *conn) setIdleDeadlineLocked() {
	switch {
	case c.pending > 0 || c.reading:
	case c.closing && !c.announced:
		_ = c.SetReadDeadline(time.Now().Add(finalReadTimeout))
	case c.closing:
		_ = c.SetReadDeadline(time.Unix(1, 0))
	default:
		_ = c.SetReadDeadline(time.Now().Add(c.server.Limits.IdleTimeout))
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *conn) awaitRequest() error {
	_, err := c.reader.Peek(1)
	if err == nil || !c.awaitsFinalRead() {
		return err
	}
	// On a busy machine the deadline may pass before it is noticed that the request is there.
	c.setIdleDeadline()
	_, err = c.reader.Peek(1)
	return err
}

// awaitsFinalRead reports whether the connection is to end and may still read a final request.
func (c *conn) awaitsFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.pending == 0 && c.mayRead()
}

// mayRead reports whether the next request may be read. A connection that is to end reads on
// until a response announces that, unless there is one left to do so: a caller that was not
// told sends its next request. It is called with mu held.
func (c *conn) mayRead() bool {
	return !c.closing || !c.announced && c.unanswered == 0
}

// beginRead reports whether to read the next request, and sets the timeout for its header.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayRead() {
		return false
	}
	c.reading = true
	_ = c.SetReadDeadline(time.Now().Add(c.server.Limits.HeaderTimeout))
	return true
}

// readRequest reads the header of a request.
func (c *conn) readRequest() (*http.Request, error) {
	request, err := c.parseRequest()
	if errors.Is(err, bufio.ErrBufferFull) {
		err = &headerError{}
	}
	if err != nil {
		return nil, err
	}
	request.RemoteAddr = c.RemoteAddr().String()
	return request.WithContext(c.ctx), nil
}

// parseRequest waits for the header of a request, checks it and parses it.
func (c *conn) parseRequest() (*http.Request, error) {
	limit := c.server.Limits.MaxHeaderBytes + bufferSize
	head, reader, err := iohead.Await(c.reader, c.Conn, limit)
	c.reader = reader
	switch {
	case err != nil:
		return nil, err
	case len(head) > limit:
		return nil, &headerError{}
	}
	if err := mthead.CheckRequest(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	if err == nil && request.Host == "" && request.ProtoAtLeast(1, 1) {
		err = &hostError{}
	}
	return request, err
}

// hostError reports an HTTP/1.1 request without a Host header.
type hostError struct{}

// Error implements error.
func (*hostError) Error() string { return "request without a host" }

// headerError reports a request header that exceeds the size limit.
type headerError struct{}

// Error implements error.
func (*headerError) Error() string { return "header of a request is too large" }

// exchange starts to process a request. previous is closed when all earlier requests have
// been answered, and the returned channel when this one has. exchange returns as soon as the
// next request may be read.
func (c *conn) exchange(request *http.Request, previous chan struct{}) chan struct{} {
	e := &exchange{conn: c, request: request, previous: previous, done: make(chan struct{}), header: make(http.Header)}
	exclusive := !concurrent(request)
	if exclusive {
		c.awaitAnswered(previous)
		e.trackBody()
	}
	c.mu.Lock()
	c.pending++
	c.unanswered++
	c.last, c.reading = e, false
	atLimit := c.pending >= c.server.Limits.MaxConcurrent
	_ = c.SetReadDeadline(time.Time{})
	c.mu.Unlock()
	go e.serve()
	switch {
	case exclusive:
		// The next read detects when the caller disconnects. It must wait until the body is
		// consumed, and the next request must wait until this one is answered.
		<-e.consumed
		if _, err := c.reader.Peek(1); err != nil && !c.awaitsFinalRead() {
			c.cancel()
		}
		c.awaitAnswered(e.done)
	case atLimit:
		c.awaitAnswered(e.done)
	}
	return e.done
}

// concurrent reports whether a request may be processed together with others of its
// connection.
func concurrent(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0
}

// reject answers a request that could not be parsed. If reading failed because of the
// connection, it does nothing.
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
	// A write error means that the caller has disconnected.
	if response.Write(c.writer) == nil {
		_ = c.writer.Flush()
	}
}

// closeWhenAnswered makes the connection end as soon as the requests that have been read are
// answered. If none of their responses can announce that, it reads one more request if that
// arrives in time.
func (c *conn) closeWhenAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.setIdleDeadlineLocked()
}

// abort cancels all pending requests and closes the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.Conn.Close()
}
