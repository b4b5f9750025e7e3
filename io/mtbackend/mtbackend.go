// Package mtbackend sends calls to the backend server on this VM over HTTP/1.1 and returns
// its answers unchanged.
//
// A connection carries one call at a time, and its answers are read one by one: a server
// may answer twice, late, or with bytes that are no answer, and whatever is left on a
// connection would reach the next caller as its own answer. An answer is accepted only if
// it echoes the identifier of the call; those of other calls are skipped. Anything
// unexpected on a connection closes it.
//
// # Usage
//
//	client, cleanUp := mtbackend.New(mtbackend.Config{Names: names, Clock: clock})
//	defer cleanUp()
//	answer, err := client.Do(ctx, target, call)
//
// Do fails with a *mtreply.RefusedError if the call was not run, otherwise with a
// *mtreply.UnknownError. A Client is safe for concurrent use.
package mtbackend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mthead"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmemory"
	"magnoliaturn/core/mtreply"
	iohead "magnoliaturn/io/mthead"
	iomemory "magnoliaturn/io/mtmemory"
)

type clock interface{ Now() mtclock.Instant }

const (
	// dialTimeout limits the opening of a connection within one VM, which takes a
	// millisecond or two. A server that has not answered by then is considered failed.
	dialTimeout = 500 * time.Millisecond
	// maxMismatchedAnswers is the number of answers to other calls after which a call fails.
	maxMismatchedAnswers = 4
)

// Config holds the settings and dependencies of a Client.
type Config struct {
	Names mtheader.Names
	Clock clock
	// ReadSignals reads from the header of an answer what the server reports about itself,
	// all but the source. It may be nil.
	ReadSignals func(http.Header) mtbackend.Signals
	// Memory is the budget from which answers take their memory; nil stands for one of their own.
	Memory *iomemory.Budget
}

// Target identifies the backend server to which a call is sent.
type Target struct {
	Address string
	Server  mtid.Server // a server with another name refuses the call
	// Observe is called with the signals of each answer of the server to the call, also of
	// one that refuses it. It may be nil.
	Observe func(mtbackend.Signals)
}

// Client sends calls to the backend server of a daemon.
type Client struct {
	Config
	pool   *pool
	bodies *bodies
}

// New returns a client, and its clean-up function, which closes the idle connections.
func New(config Config) (*Client, func()) {
	if config.Memory == nil {
		config.Memory = iomemory.New(0)
	}
	c := &Client{Config: config, pool: newPool(), bodies: newBodies(config.Memory)}
	return c, c.pool.close
}

// Do sends a call to the server once, without retrying.
func (c *Client) Do(ctx context.Context, target Target, call *mtcall.Call) (*mtcall.Answer, error) {
	remaining := call.Deadline.Sub(c.Clock.Now())
	if remaining < time.Millisecond {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1}
	}
	// An idle connection is used without regard to the context, so the call would be sent and
	// have to be reported as unknown.
	if ctx.Err() != nil {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1, Detail: "the caller went away"}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+mtcall.ServerAnswerMargin)
	defer cancel()
	conn, err := c.connect(ctx, target, call)
	if err != nil {
		return nil, err
	}
	// The deadline applies to both directions. If the caller cancels, the deadline is moved
	// to the past, which ends the call at once.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := c.exchange(ctx, conn, target, call, remaining)
	if !stop() || err != nil || !reusable {
		_ = conn.Close()
	} else {
		c.pool.put(target.Address, conn, c.Clock.Now())
	}
	if err != nil {
		return nil, classify(ctx, err)
	}
	return answer, nil
}

// connect returns a connection on which nothing has been sent for this call.
func (c *Client) connect(ctx context.Context, target Target, call *mtcall.Call) (*conn, error) {
	if idle := c.pool.get(target.Address, c.Clock.Now(), call.Idempotent); idle != nil {
		return idle, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: dialCause(err), RetryAfter: unreachableRetry, Detail: err.Error()}
	}
	return newConn(dialed), nil
}

// unreachableRetry is the time after which to retry a call to a server that accepts no
// connection: about the time until it has restarted or its keys have another owner.
const unreachableRetry = 500 * time.Millisecond

// rejectedRetry is the time after which to retry a call that the server itself rejected
// although it has free slots. Then the server has a problem, and another server, or the
// same one a moment later, usually accepts the call.
const rejectedRetry = 50 * time.Millisecond

// dialCause distinguishes a server whose process has terminated, which the kernel of the VM
// reports at once, from one that does not answer.
func dialCause(err error) mtreply.Cause {
	if ConnectionRefused(err) {
		return mtreply.CauseNoServer
	}
	return mtreply.CauseUnreachable
}

// ConnectionRefused reports whether a connection failed because nothing listens at the address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ConnectionTimedOut reports whether a connection failed because the other end did not
// answer in time.
func ConnectionTimedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// exchange sends the call and reads its answer. It also reports whether the connection can
// carry another call.
func (c *Client) exchange(ctx context.Context, conn *conn, target Target, call *mtcall.Call, remaining time.Duration) (*mtcall.Answer, bool, error) {
	// There may be an answer before the call is written, and even if the write fails: a server may refuse a
	// long body before it has read it.
	sending := c.send(conn, target, call, remaining)
	defer sending.end(0)
	for range maxMismatchedAnswers {
		response, err := readResponse(conn, call.Method)
		if err != nil {
			return nil, false, errors.Join(err, sending.failure())
		}
		accepted, err := c.accept(response, target, call)
		if err != nil {
			return nil, false, err
		}
		answer, reusable, err := c.readAnswer(ctx, conn, response)
		if err != nil {
			return nil, false, err
		}
		if !accepted {
			answer.Free()
			continue
		}
		sendErr := sending.end(sendGrace)
		if sendErr != nil && endsWithConnection(response) {
			answer.Free()
			return nil, false, &CutOffError{Err: sendErr}
		}
		return answer, reusable && sendErr == nil, nil
	}
	return nil, false, &mismatchError{}
}

// endsWithConnection reports whether the end of a response is that of its connection.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// CutOffError reports an answer without a length whose connection failed while the call was sent. The kernel
// reports a reset once: if the write gets it, the read sees an end in order.
type CutOffError struct{ Err error }

// Error implements error.
func (e *CutOffError) Error() string {
	return "answer without a length on a connection that failed: " + e.Err.Error()
}

// Unwrap returns the error of the write.
func (e *CutOffError) Unwrap() error { return e.Err }

// accept reports whether a response is the server's answer to the call. It fails if it is the server's
// refusal, or not the server's own. Without an error, it is a second answer to an earlier call.
func (c *Client) accept(response *http.Response, target Target, call *mtcall.Call) (bool, error) {
	if !c.authentic(response) {
		return false, &untrustedError{}
	}
	id := response.Header.Get(c.Names.ID)
	if id != string(call.ID) && (id != "" || response.Header.Get(c.Names.NotRun) == "") {
		return false, nil
	}
	refused := c.refusal(response, target)
	c.observe(response, target, refused)
	if refused != nil {
		return false, refused
	}
	return true, nil
}

// observe passes on what the server reports about itself with an answer. An answer of
// another server, which has taken over the address, says nothing about the target.
func (c *Client) observe(response *http.Response, target Target, refused *mtreply.RefusedError) {
	if target.Observe == nil || refused != nil && refused.Cause == mtreply.CauseNoServer {
		return
	}
	source := mtbackend.SourceAnswer
	if refused != nil || response.Header.Get(c.Names.Signature) == "" {
		source = mtbackend.SourceRefusal
	}
	target.Observe(c.signals(response.Header, source))
}

// signals reads the signals of an answer.
func (c *Client) signals(h http.Header, source mtbackend.SignalSource) mtbackend.Signals {
	var s mtbackend.Signals
	if c.ReadSignals != nil {
		s = c.ReadSignals(h)
	}
	s.Source = source
	return s
}

// untrustedError reports an answer that is not the server's own: a success without its
// signature, or encoded content.
type untrustedError struct{}

// Error implements error.
func (*untrustedError) Error() string {
	return "answer is not the backend server's own"
}

// authentic reports whether an answer is the server's own: a success has its signature, and
// no answer has encoded content, because the request does not ask for any.
func (c *Client) authentic(response *http.Response) bool {
	if response.Header.Get("Content-Encoding") != "" {
		return false
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	return !success || response.Header.Get(c.Names.Signature) != ""
}

// Health is the server's reply to a health check.
type Health struct {
	Server mtid.Server   // name of the incarnation that answers, if it reports one
	Cold   time.Duration // how much longer it stays cold
	// Signals are what the server reports about itself besides.
	Signals mtbackend.Signals
}

// Identify queries which incarnation of the server answers at an address, and its warm-up
// state.
func (c *Client) Identify(ctx context.Context, address, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Health{}, &mtreply.RefusedError{Cause: mtreply.CauseMalformed, Detail: err.Error()}
	}
	request.Close = true
	response, err := check(ctx, address, request)
	if err != nil {
		return Health{}, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
	}
	return Health{
		Server:  mtid.Server(response.Header.Get(c.Names.AnsweringServer)),
		Cold:    c.parseCold(response.Header),
		Signals: c.signals(response.Header, mtbackend.SourceHealthCheck),
	}, nil
}

// check sends a health check on a connection of its own and returns the head of the answer.
func check(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	dialed, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = dialed.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = dialed.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	opened := newConn(dialed)
	writeErr := request.Write(opened)
	response, err := readResponse(opened, request.Method)
	switch {
	case err == nil:
		return response, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	}
	return nil, errors.Join(err, writeErr)
}

// parseCold returns how much longer a server stays cold, as its header reports. If the
// header is missing or invalid, the heartbeats determine the warm-up state.
func (c *Client) parseCold(h http.Header) time.Duration {
	if c.Names.ColdRemaining == "" {
		return 0
	}
	ms, err := strconv.ParseFloat(h.Get(c.Names.ColdRemaining), 64)
	if err != nil || ms < 0 || ms > maxCold {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxCold is the largest cold time accepted from a server, in milliseconds.
const maxCold = 60_000

// identifyTimeout limits the query for the incarnation of a server. The query waits for a
// slot like any other request.
const identifyTimeout = time.Second

// mismatchError reports a connection that returned only answers to other calls.
type mismatchError struct{}

// Error implements error.
func (*mismatchError) Error() string { return "backend server answers other requests" }

// sendGrace is for how long a call is still written after its answer has been read.
const sendGrace = 100 * time.Millisecond

// sending is a call that is being written.
type sending struct {
	conn net.Conn
	done <-chan struct{}
	err  error // once done is closed
}

// written is the channel of a call that was written at once.
var written = func() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// send writes a call. One with a large body is written while its answer is read: a server that answers before
// it has read the body may wait until somebody reads.
func (c *Client) send(conn *conn, target Target, call *mtcall.Call, remaining time.Duration) *sending {
	if call.Body.Len() <= smallBody {
		return &sending{done: written, err: c.write(conn, target, call, remaining)}
	}
	done := make(chan struct{})
	s := &sending{conn: conn, done: done}
	go func() {
		defer close(done)
		s.err = c.write(conn, target, call, remaining)
	}()
	return s
}

// failure returns the error of the write, or nil if it goes on.
func (s *sending) failure() error {
	select {
	case <-s.done:
		return s.err
	default:
		return nil
	}
}

// end gives the write some time to end and returns its error. The body isn't used after that.
func (s *sending) end(grace time.Duration) error {
	select {
	case <-s.done:
	default:
		_ = s.conn.SetWriteDeadline(time.Now().Add(grace))
		<-s.done
	}
	return s.err
}

// write sends a call.
func (c *Client) write(conn *conn, target Target, call *mtcall.Call, remaining time.Duration) error {
	request, writer := c.request(target, call, remaining), &requestWriter{Writer: conn, call: call}
	if call.Body.Len() > smallBody {
		buffered := bufio.NewWriterSize(writer, smallBody)
		return errors.Join(request.Write(buffered), buffered.Flush())
	}
	var out bytes.Buffer
	// Writing to memory can't fail, and the fields were read from a valid request. The
	// server would receive an invalid one as an incomplete request.
	_ = request.Write(&out)
	_, err := writer.Write(out.Bytes())
	return err
}

// requestWriter writes a request to a connection with the target of the call as it was received. net/http
// would write another one where it begins with two slashes.
type requestWriter struct {
	io.Writer
	call  *mtcall.Call
	begun bool // the request line is written
}

// Write implements io.Writer. The first part of a request holds its head.
func (w *requestWriter) Write(p []byte) (int, error) {
	if w.begun || !strings.HasPrefix(w.call.Target, "//") {
		return w.Writer.Write(p)
	}
	w.begun = true
	_, rest, found := bytes.Cut(p, []byte("\r\n"))
	if !found {
		return 0, io.ErrShortWrite
	}
	line := w.call.Method + " " + w.call.Target + " HTTP/1.1\r\n"
	if _, err := w.Writer.Write(append([]byte(line), rest...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// request returns a call as a request to the server. The request target is written as the caller wrote
// it: net/http sends url.URL.Opaque unchanged, and requestWriter what that doesn't.
func (c *Client) request(target Target, call *mtcall.Call, remaining time.Duration) *http.Request {
	header := make(http.Header, len(call.Header)+6)
	for _, f := range call.Header {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // net/http would add its own
	}
	header[c.Names.ID] = []string{string(call.ID)}
	header[c.Names.Deadline] = []string{strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)}
	header[c.Names.TargetServer] = []string{string(target.Server)}
	header[c.Names.Caller] = []string{string(call.Caller)}
	if call.Keyed {
		header[c.Names.Key] = []string{strconv.Itoa(int(call.Key))}
	}
	request := &http.Request{
		Method: call.Method,
		URL:    &url.URL{Opaque: call.Target},
		Host:   call.Host,
		Header: header,
	}
	if n := call.Body.Len(); n > 0 {
		request.Body = io.NopCloser(call.Body.Reader())
		request.ContentLength = int64(n)
	}
	return request
}

// readResponse reads the head of the final response. It fails with io.EOF if the connection
// ends before the first byte, and with a *mthead.Error if the head is none.
func readResponse(conn *conn, method string) (*http.Response, error) {
	conn.allow(PartHead, maxHead)
	for {
		if err := conn.checkHead(); err != nil {
			return nil, conn.readError(err)
		}
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, conn.readError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
			response.Body = &chunkedBody{conn: conn, chunks: httputil.NewChunkedReader(conn.reader)}
		}
		return response, nil
	}
}

// checkHead waits for a head and checks it.
func (c *conn) checkHead() error {
	head, reader, err := iohead.Await(c.reader, c, maxHead+readBuffer)
	c.reader = reader
	if err != nil {
		return err
	}
	return mthead.CheckResponse(head)
}

// chunkedBody is a body in chunks, with the fields behind it, which are checked and discarded.
type chunkedBody struct {
	conn   *conn
	chunks io.Reader
	err    error // of the last read; nothing is read after it
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	var n int
	n, b.err = b.chunks.Read(p)
	if b.err == io.EOF {
		b.err = b.conn.readTrailer()
	}
	return n, b.err
}

// Close implements io.Closer.
func (*chunkedBody) Close() error { return nil }

// readTrailer reads the fields behind a body in chunks. It returns io.EOF if they are whole and valid.
func (c *conn) readTrailer() error {
	trailer, reader, err := iohead.Await(c.reader, c, maxTrailer)
	c.reader = reader
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	}
	if err := mthead.CheckTrailer(trailer); err != nil {
		return err
	}
	_, _ = c.reader.Discard(len(trailer))
	return io.EOF
}

// readAnswer reads the whole body, and reports whether the connection can carry another
// call.
func (c *Client) readAnswer(ctx context.Context, conn *conn, response *http.Response) (*mtcall.Answer, bool, error) {
	hold := c.Memory.Hold(mtmemory.Answer)
	hold.Add(headerSize(response.Header))
	body, err := c.bodies.read(ctx, conn, response, hold)
	if err != nil {
		hold.Release()
		return nil, false, err
	}
	_ = response.Body.Close()
	answer := &mtcall.Answer{Status: response.StatusCode, Header: endToEndFields(response.Header), Body: body, Release: hold.Release}
	// Bytes after a complete answer belong to no call.
	reusable := !response.Close && conn.reader.Buffered() == 0
	conn.idleTimeout = keepAlive(response.Header)
	return answer, reusable, nil
}

// headerSize returns the size of a header in bytes.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// endToEndFields returns the header without the fields that apply only to the connection.
func endToEndFields(h http.Header) []mtcall.Field {
	out := make([]mtcall.Field, 0, len(h))
	for name, values := range h {
		if mtheader.HopByHop(name) {
			continue
		}
		for _, v := range values {
			out = append(out, mtcall.Field{Name: name, Value: v})
		}
	}
	return out
}

// refusal returns the error for an answer in which the server refuses the call, or nil.
// Only the server's not-run header, or the status for a request to another server, shows
// with certainty that the call was not run.
func (c *Client) refusal(response *http.Response, target Target) *mtreply.RefusedError {
	if response.StatusCode == http.StatusMisdirectedRequest {
		if other := response.Header.Get(c.Names.AnsweringServer); other != "" && other != string(target.Server) {
			return &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: unreachableRetry, Detail: "another server has the address"}
		}
		return &mtreply.RefusedError{Cause: mtreply.CauseFenced, RetryAfter: unreachableRetry, Detail: "the server does not hold the key"}
	}
	if response.Header.Get(c.Names.NotRun) != "" {
		return &mtreply.RefusedError{Cause: mtreply.CauseRefused, RetryAfter: rejectedRetry, Detail: response.Status}
	}
	return nil
}

// classify converts the error of an exchange to one that states what is known of the call.
func classify(ctx context.Context, err error) error {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: err}
	case ctx.Err() != nil:
		return &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: err}
	}
	var mismatch *mismatchError
	var untrusted *untrustedError
	var oversize *OversizeError
	var framing *FramingError
	var cutOff *CutOffError
	var full *iomemory.FullError
	if errors.As(err, &full) {
		return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
	}
	noAnswer := errors.As(err, &mismatch) || errors.As(err, &untrusted) || errors.As(err, &oversize) || errors.As(err, &framing) || errors.As(err, &cutOff)
	if noAnswer || errors.Is(err, io.ErrUnexpectedEOF) {
		return &mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}
