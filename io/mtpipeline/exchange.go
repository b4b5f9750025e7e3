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

// exchange is a request and its answer, which is written once it is complete and its turn
// has come.
type exchange struct {
	conn    *conn
	request *http.Request
	turn    <-chan struct{} // closed once all before it are answered
	done    chan struct{}   // closed once this one is
	// consumed is closed once the body has been read, or is not read any more. It is nil
	// for a request without one.
	consumed chan struct{}

	status int
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	return e.body.Write(p)
}

// leftover is how many bytes of a body are read that the handler has left, before the
// connection is closed instead.
const leftover = 256 << 10

// serve runs the handler and answers.
func (e *exchange) serve() {
	defer e.end()
	complete := e.handle()
	drained := e.drain()
	<-e.turn
	if !complete {
		e.conn.abort()
		return
	}
	e.answer(!drained)
}

// handle runs the handler, and reports whether it gave an answer.
func (e *exchange) handle() (complete bool) {
	defer func() {
		if failure := recover(); failure != nil {
			e.conn.server.Log.Error("handler of a request failed", "failure", failure, "stack", string(debug.Stack()))
		}
	}()
	e.conn.server.Handler.ServeHTTP(e, e.request)
	e.WriteHeader(http.StatusOK)
	return true
}

// drain reads what the handler has left of the body, and reports whether that was all.
func (e *exchange) drain() bool {
	if e.consumed == nil {
		return true
	}
	_, err := io.CopyN(io.Discard, e.request.Body, leftover)
	_ = e.request.Body.Close()
	return err == io.EOF
}

// answer writes the answer.
func (e *exchange) answer(closes bool) {
	response := http.Response{
		StatusCode: e.status, ProtoMajor: 1, ProtoMinor: 1, Request: e.request, Header: e.header,
		Body: io.NopCloser(&e.body), ContentLength: int64(e.body.Len()),
	}
	if e.request.Method == http.MethodHead {
		response.ContentLength = e.length()
	}
	wanted := closes || e.request.Close || closing(e.header)
	e.header.Del("Connection")
	response.Close = e.conn.closes(e, wanted)
	if e.header["Date"] == nil {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	// The caller may have gone, which the reading of the next request shows.
	if response.Write(e.conn.writer) != nil || e.conn.writer.Flush() != nil {
		e.conn.abort()
	}
}

// length returns the length that the handler has named, which is that of no body here.
func (e *exchange) length() int64 {
	n, err := strconv.ParseInt(e.header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// closing reports whether an answer is to be the last on its connection.
func closing(h http.Header) bool {
	return strings.EqualFold(h.Get("Connection"), "close")
}

// closes reports whether the answer to e says that the connection closes. If that is
// wanted, no further request is read, and the newest that was read says so.
func (c *conn) closes(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted {
		c.ending = true
	}
	return c.ending && c.last == e && !c.reading
}

// end notes that the request is answered.
func (e *exchange) end() {
	c := e.conn
	c.mu.Lock()
	c.open--
	c.restLocked()
	c.mu.Unlock()
	close(e.done)
}

// watchBody makes it known when the body has been read. A caller that asks first whether to
// send it is told so.
func (e *exchange) watchBody() {
	e.consumed = make(chan struct{})
	if strings.EqualFold(e.request.Header.Get("Expect"), "100-continue") {
		// A caller that has gone shows in the reading.
		_, _ = e.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		_ = e.conn.writer.Flush()
	}
	e.request.Body = &watched{ReadCloser: e.request.Body, ended: sync.OnceFunc(func() { close(e.consumed) })}
}

// watched is a body that tells its end.
type watched struct {
	io.ReadCloser
	ended func()
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.ReadCloser.Read(p)
	if err != nil {
		w.ended()
	}
	return n, err
}

// Close implements io.Closer. What is left of the body stays unread.
func (w *watched) Close() error {
	w.ended()
	return nil
}
