package mtpipeline

import (
	"bytes"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"
)

// exchange is a request and its response. The response is buffered, and written once it is
// complete and all previous responses have been written.
type exchange struct {
	conn     *conn
	request  *http.Request
	previous <-chan struct{} // closed once all earlier requests are answered
	done     chan struct{}   // closed once this request is answered
	// consumed is closed once the body has been read or closed. It is nil for a request
	// that runs concurrently, which has no body.
	consumed chan struct{}

	status int
	header http.Header
	body   bytes.Buffer
	// large replaces body if it is set, and release ends its use.
	large   [][]byte
	release func()
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// SetReadDeadline sets the deadline of the body for http.ResponseController. Without a body it does
// nothing.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	if e.consumed == nil {
		return nil
	}
	return e.conn.SetReadDeadline(deadline)
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	return e.body.Write(p)
}

// SendBody makes segments the body of the response, which are not copied, and must not be modified until
// release is called: when the response has been written, or never will be. Nothing can be written
// besides.
func (e *exchange) SendBody(segments [][]byte, release func()) {
	e.WriteHeader(http.StatusOK)
	e.large, e.release = segments, release
}

// content returns a reader of the body of the response, and its size in bytes.
func (e *exchange) content() (io.Reader, int64) {
	if e.release == nil {
		return &e.body, int64(e.body.Len())
	}
	readers, size := make([]io.Reader, 0, len(e.large)), int64(0)
	for _, segment := range e.large {
		readers = append(readers, bytes.NewReader(segment))
		size += int64(len(segment))
	}
	return io.MultiReader(readers...), size
}

// maxDiscard is how many bytes of a body are discarded that the handler has not read. If
// there are more, the connection is closed instead.
const maxDiscard = 256 << 10

// serve runs the handler and writes the response when it is due. If the handler panicked, it
// closes the connection instead.
func (e *exchange) serve() {
	defer e.finish()
	complete := e.runHandler()
	drained := e.discardBody()
	<-e.previous
	if !complete {
		e.conn.abort()
		return
	}
	e.writeResponse(!drained)
}

// runHandler runs the handler and reports whether it returned without a panic.
func (e *exchange) runHandler() (complete bool) {
	defer func() {
		if failure := recover(); failure != nil {
			e.conn.server.Log.Error("HTTP handler panicked", "failure", failure, "stack", string(debug.Stack()))
		}
	}()
	e.conn.server.Handler.ServeHTTP(e, e.request)
	e.WriteHeader(http.StatusOK)
	return true
}

// discardBody reads the rest of the body, and reports whether it reached the end of it.
func (e *exchange) discardBody() bool {
	if e.consumed == nil {
		return true
	}
	_, err := io.CopyN(io.Discard, e.request.Body, maxDiscard)
	_ = e.request.Body.Close()
	return err == io.EOF
}

// writeResponse writes the response. It closes the connection if closeConn is set, or if the
// request or the handler requests that.
func (e *exchange) writeResponse(closeConn bool) {
	body, size := e.content()
	response := http.Response{
		StatusCode: e.status, ProtoMajor: 1, ProtoMinor: 1, Request: e.request, Header: e.header,
		Body: io.NopCloser(body), ContentLength: size,
	}
	if e.request.Method == http.MethodHead {
		response.ContentLength = e.declaredLength()
	}
	closeWanted := closeConn || e.request.Close || requestsClose(e.header)
	e.header.Del("Connection")
	response.Close = e.conn.announceClose(e, closeWanted)
	if e.header["Date"] == nil {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	// A write error means that the caller has disconnected.
	if response.Write(e.conn.writer) != nil || e.conn.writer.Flush() != nil {
		e.conn.abort()
	}
}

// declaredLength returns the Content-Length that the handler has set, or -1. The response to
// a HEAD request declares a length without having a body.
func (e *exchange) declaredLength() int64 {
	n, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// requestsClose reports whether the header of a response asks to close the connection.
func requestsClose(h http.Header) bool {
	return strings.EqualFold(h.Get("Connection"), "close")
}

// announceClose reports whether the response of e announces that the connection closes, which
// only the response to the last request that was read does. If closeWanted is set or the
// server is closing, no further request is read.
func (c *conn) announceClose(e *exchange, closeWanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Shutdown reaches the connections one after the other. A response that was written
	// before its connection was reached did not announce the close, and the caller lost the
	// next request that it sent.
	if closeWanted || !c.server.keepsConnections() {
		c.closing = true
	}
	c.unanswered--
	c.announced = c.closing && c.last == e && !c.reading
	return c.announced
}

// finish records that the request has been answered, and lets the next response be written.
func (e *exchange) finish() {
	if e.release != nil {
		e.release()
	}
	// The connection refers to its last exchange while it is idle, and release to what it releases.
	e.request, e.large, e.release, e.body = nil, nil, nil, bytes.Buffer{}
	c := e.conn
	c.mu.Lock()
	c.pending--
	c.setIdleDeadlineLocked()
	c.mu.Unlock()
	close(e.done)
}

// trackBody makes the end of the body close consumed. If the caller waits for the response
// 100 Continue before it sends the body, trackBody writes it.
func (e *exchange) trackBody() {
	e.consumed = make(chan struct{})
	if strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") {
		// If the caller has disconnected, reading the body fails.
		_, _ = e.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = e.conn.writer.Flush()
	}
	e.request.Body = &trackedBody{ReadCloser: e.request.Body, conn: e.conn, onEnd: sync.OnceFunc(func() {
		_ = e.conn.SetReadDeadline(time.Time{})
		close(e.consumed)
	})}
}

// trackedBody is a request body that calls onEnd when it has been read or closed.
type trackedBody struct {
	io.ReadCloser
	conn    *conn
	onEnd   func()
	renewed time.Time // when the deadline of the connection was set
	ended   error     // of the last read; nothing is read after it
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended // the connection is read for other purposes
	}
	b.awaitBody()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended = err
		b.onEnd()
	}
	return n, err
}

// Close implements io.Closer. It leaves the rest of the body unread.
func (b *trackedBody) Close() error {
	b.onEnd()
	return nil
}
