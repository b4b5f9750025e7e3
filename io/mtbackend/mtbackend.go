// Package mtbackend sends calls to the backend server on this VM over HTTP/1.1
// and passes its answers on as they are.
//
// A connection carries one call at a time, and its answers are read one by one:
// a server may answer twice, late, or with bytes that are no answer, and what is
// left on a connection would reach the next caller as its own answer. An answer
// counts only if it echoes the identifier of the call; one of another call is
// passed over. Whatever ends oddly ends its connection too.
//
// # Usage
//
//	client, cleanUp := mtbackend.New(mtbackend.Config{Names: names, Clock: clock})
//	defer cleanUp()
//	answer, err := client.Do(ctx, target, call)
//
// Do fails with a *mtreply.RefusedError if the call was not run, else with a
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
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

type clock interface{ Now() mtclock.Instant }

const (
	// dialTimeout is for a connection within one VM, which takes a millisecond
	// or two; a server that answers nothing at all is dead.
	dialTimeout = 500 * time.Millisecond
	// foreignAnswers is how many answers of other calls are passed over.
	foreignAnswers = 4
	// maxAnswer bounds the body of an answer, in bytes.
	maxAnswer = 64 << 20
)

// Config is what a Client works with.
type Config struct {
	Names mtheader.Names
	Clock clock
	// Slowness reads how long work takes on the server's machine from an answer's header, as
	// a multiple of what is usual; zero if it is not told. It may be nil.
	Slowness func(http.Header) float64
}

// Target is the backend server that is meant.
type Target struct {
	Address string
	Server  mtid.Server // one of another name refuses the call itself
}

// Client is one daemon's way to its backend server.
type Client struct {
	Config
	pool *pool
}

// New returns a client and its clean-up function, which closes the connections
// that are idle.
func New(config Config) (*Client, func()) {
	c := &Client{Config: config, pool: newPool()}
	return c, c.pool.close
}

// Do sends a call, once.
func (c *Client) Do(ctx context.Context, target Target, call *mtcall.Call) (*mtcall.Answer, error) {
	left := call.Deadline.Sub(c.Clock.Now())
	if left < time.Millisecond {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseExpired, RetryAfter: -1}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	conn, err := c.connect(ctx, target, call)
	if err != nil {
		return nil, err
	}
	// The deadline holds for both directions; a caller that leaves moves it to
	// the past, which ends the call at once.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := c.exchange(conn, target, call, left)
	if !stop() || err != nil || !reusable {
		_ = conn.Close()
	} else {
		c.pool.put(target.Address, conn, c.Clock.Now())
	}
	if err != nil {
		return nil, explain(ctx, err)
	}
	return answer, nil
}

// connect returns a connection that nothing has been sent on for this call.
func (c *Client) connect(ctx context.Context, target Target, call *mtcall.Call) (*conn, error) {
	if kept := c.pool.get(target.Address, c.Clock.Now(), call.Idempotent); kept != nil {
		return kept, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: dialCause(err), RetryAfter: unreachableRetry, Detail: err.Error()}
	}
	return &conn{Conn: dialed, reader: bufio.NewReaderSize(dialed, readBuffer)}, nil
}

// unreachableRetry is when to ask again for a server that takes no connection:
// about the time in which it is back or its keys have another owner.
const unreachableRetry = 500 * time.Millisecond

// rejectedRetry is when to ask again after the server itself has rejected a call, although
// it has no more than its slots in hand: something ails it, and another server, or this one a
// moment later, mostly takes the call.
const rejectedRetry = 50 * time.Millisecond

// dialCause tells a server whose process is gone, which the kernel of the VM
// says at once, from one that does not answer.
func dialCause(err error) mtreply.Cause {
	if Refused(err) {
		return mtreply.CauseNoServer
	}
	return mtreply.CauseUnreachable
}

// Refused reports whether a connection failed because nothing listens there.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TimedOut reports whether a connection failed because nobody answered.
func TimedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// exchange sends the call and reads its answer.
func (c *Client) exchange(conn *conn, target Target, call *mtcall.Call, left time.Duration) (*mtcall.Answer, bool, error) {
	// A write that fails may have been answered all the same: a server may
	// refuse a long body before it has read it.
	_, sendErr := conn.Write(c.encode(target, call, left))
	for range foreignAnswers {
		response, err := readResponse(conn.reader, call.Method)
		if err != nil {
			return nil, false, errors.Join(err, sendErr)
		}
		answer, reusable, err := readAnswer(conn, response)
		if err != nil {
			return nil, false, err
		}
		if !c.genuine(response) {
			return nil, false, &forgedError{}
		}
		switch id := response.Header.Get(c.Names.ID); {
		case id == string(call.ID):
		case id == "" && response.Header.Get(c.Names.NotRun) != "":
		default:
			continue // the second answer of an earlier call
		}
		if refused := c.refusal(response, target); refused != nil {
			return nil, false, refused
		}
		if c.Slowness != nil {
			answer.Slowness = c.Slowness(response.Header)
		}
		return answer, reusable && sendErr == nil, nil
	}
	return nil, false, &foreignError{}
}

// forgedError says that a success does not bear the server's mark.
type forgedError struct{}

// Error implements error.
func (*forgedError) Error() string { return "answer is not the backend server's own" }

// genuine reports whether an answer is the server's own: a success bears its
// mark, and no answer is encoded, since nobody asked for that.
func (c *Client) genuine(response *http.Response) bool {
	if response.Header.Get("Content-Encoding") != "" {
		return false
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	return !success || response.Header.Get(c.Names.Signature) != ""
}

// Health is what a server's answer to a health check tells.
type Health struct {
	Server mtid.Server   // the life that answers, where it says so
	Cold   time.Duration // for which it stays cold
}

// Identify asks the server at an address which life of it answers there, and how it is.
func (c *Client) Identify(ctx context.Context, address, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return Health{}, &mtreply.RefusedError{Cause: mtreply.CauseMalformed, Detail: err.Error()}
	}
	request.Close = true
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return Health{}, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
	}
	_ = response.Body.Close()
	return Health{Server: mtid.Server(response.Header.Get(c.Names.AnsweringServer)), Cold: c.cold(response.Header)}, nil
}

// cold returns for how long a server says that it stays cold. One that says nothing that
// can be read is as warm as its beats tell.
func (c *Client) cold(h http.Header) time.Duration {
	if c.Names.ColdRemaining == "" {
		return 0
	}
	ms, err := strconv.ParseFloat(h.Get(c.Names.ColdRemaining), 64)
	if err != nil || ms < 0 || ms > mostCold {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// mostCold bounds what a server is believed of how long it stays cold, in milliseconds.
const mostCold = 60_000

// identifyTimeout bounds the question which life of a server answers. It waits
// for a slot like any other request.
const identifyTimeout = time.Second

// foreignError says that a connection gave only answers of other calls.
type foreignError struct{}

// Error implements error.
func (*foreignError) Error() string { return "backend server answers other requests" }

// encode returns the bytes of a call. The target is written as the caller wrote
// it: url.URL.Opaque is what net/http sends unchanged.
func (c *Client) encode(target Target, call *mtcall.Call, left time.Duration) []byte {
	header := make(http.Header, len(call.Header)+6)
	for _, f := range call.Header {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // net/http would add its own
	}
	header[c.Names.ID] = []string{string(call.ID)}
	header[c.Names.Deadline] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
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
	if strings.HasPrefix(call.Target, "//") {
		// An opaque target that begins so would be sent as an absolute one.
		path, query, _ := strings.Cut(call.Target, "?")
		request.URL = &url.URL{Path: path, RawPath: path, RawQuery: query}
	}
	if len(call.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.Body))
		request.ContentLength = int64(len(call.Body))
	}
	var out bytes.Buffer
	// Writing to memory can't fail, and the fields were read from a valid
	// request; an invalid one shows as an incomplete request to the server.
	_ = request.Write(&out)
	return out.Bytes()
}

// readResponse reads the head of a final response.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// sizeError says that an answer is larger than is passed on.
type sizeError struct{}

// Error implements error.
func (*sizeError) Error() string { return "answer is too large" }

// readAnswer reads the whole body and reports whether the connection can carry
// another call.
func readAnswer(conn *conn, response *http.Response) (*mtcall.Answer, bool, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, false, err
	}
	if len(body) > maxAnswer {
		return nil, false, &sizeError{}
	}
	_ = response.Body.Close()
	answer := &mtcall.Answer{Status: response.StatusCode, Header: fields(response.Header), Body: body}
	// Bytes behind a complete answer belong to no call.
	reusable := !response.Close && conn.reader.Buffered() == 0
	conn.idle = keepAlive(response.Header)
	return answer, reusable, nil
}

// fields returns the header less what concerns only the connection.
func fields(h http.Header) []mtcall.Field {
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

// refusal returns what a server's own refusal means, or nil. Only the mark of
// the server, or the status that says it has another name, proves that the call
// was not run.
func (c *Client) refusal(response *http.Response, target Target) error {
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

// explain turns the failure of an exchange into what is known of the call.
func explain(ctx context.Context, err error) error {
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
	var foreign *foreignError
	var forged *forgedError
	if errors.As(err, &foreign) || errors.As(err, &forged) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}
