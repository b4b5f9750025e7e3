// Package mtserver connects the daemon to the backend servers on its own VM: it
// receives their announcements and sends them requests.
//
// The client never lets net/http retry a request: the standard transport repeats a
// GET on a connection that broke, which would run a non-idempotent request twice. It
// distinguishes a request of which no byte was written (not run) from one that was
// at least partly written (unknown), and passes a reply on only if it is complete
// and has the identifier of that request.
//
// # Usage
//
//	pool := mtserver.NewPool(clock, limit, log, onChange)
//	mux.POST(mtheader.AnnouncePath, pool.Announce)
//	server, ok := pool.Server(ref, now)
//	reply, err := server.Do(ctx, call)
//
// All types are safe for concurrent use.
package mtserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
)

const (
	dialTimeout = time.Second
	idleTimeout = time.Minute
	// maxHead is the maximum size of the head of a reply, in bytes.
	maxHead = 64 << 10
)

// Server sends requests to one backend server.
type Server struct {
	announcement mtannounce.Announcement
	client       *http.Client
	limit        int64
}

// Call is one request to a backend server, with the epoch and the times that fence
// it.
type Call struct {
	Request  *mtrequest.Request
	Epoch    mtid.Epoch
	StartBy  int64 // nanoseconds of the boot-time clock
	Deadline int64 // nanoseconds of the boot-time clock
}

// newServer returns the Server for an announcement. limit is the maximum size of a
// reply in bytes.
func newServer(a mtannounce.Announcement, limit int64) *Server {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialCounted(dialer),
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// A server in trouble may send a head without end.
		MaxResponseHeaderBytes: maxHead,
	}
	return &Server{announcement: a, limit: limit, client: &http.Client{
		Transport: transport,
		// Following a redirect would send the request to a server that doesn't own
		// the key.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Announcement returns the server's last announcement.
func (s *Server) Announcement() mtannounce.Announcement { return s.announcement }

// Do sends a request exactly once. It fails with a *mtreply.RefusedError if the
// request was not run, otherwise with a *mtreply.UnknownError.
func (s *Server) Do(ctx context.Context, call Call) (*mtrequest.Reply, error) {
	used := &connUsage{}
	request, err := s.newRequest(httptrace.WithClientTrace(ctx, used.trace()), call)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseMalformed, Detail: err.Error()}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, callError(ctx, err, used.written())
	}
	defer func() { _ = response.Body.Close() }()
	return s.readReply(ctx, call, response)
}

// oneShotBody wraps a body so that net/http can't rewind it. For a request with a
// non-nil body and without GetBody, the transport never repeats a request of which
// bytes may have been written, whatever its method or headers.
type oneShotBody struct{ io.Reader }

// Close implements io.Closer.
func (oneShotBody) Close() error { return nil }

// requestBody returns the body to send. An empty body needs the wrapper only with
// the methods that the transport treats as idempotent; with the others, the wrapper
// would make the transport send an empty chunked body.
func requestBody(r *mtrequest.Request) io.ReadCloser {
	if len(r.Body) > 0 || retriedByTransport(r.Method) {
		return oneShotBody{bytes.NewReader(r.Body)}
	}
	return http.NoBody
}

// retriedByTransport reports whether net/http would itself retry a request with this
// method.
func retriedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (s *Server) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	r := call.Request
	target := url.URL{
		Scheme:   "http",
		Host:     s.announcement.Address,
		Path:     "/" + string(r.Key) + r.Path,
		RawPath:  "/" + url.PathEscape(string(r.Key)) + r.Path,
		RawQuery: r.Query,
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Body = requestBody(r)
	request.ContentLength = int64(len(r.Body))
	h := request.Header
	h.Set(mtheader.ID, r.ID.String())
	h.Set(mtheader.Class, string(r.Class))
	h.Set(mtheader.Epoch, strconv.FormatUint(uint64(call.Epoch), 10))
	h.Set(mtheader.StartBy, strconv.FormatInt(call.StartBy, 10))
	h.Set(mtheader.Deadline, strconv.FormatInt(call.Deadline, 10))
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	return request, nil
}

func callError(ctx context.Context, err error, written bool) error {
	if !written {
		return &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: err.Error()}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: err}
	case ctx.Err() != nil:
		return &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: err}
	}
	return &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: err}
}

func (s *Server) readReply(ctx context.Context, call Call, response *http.Response) (*mtrequest.Reply, error) {
	// A reply without the request's identifier may belong to another request.
	if response.Header.Get(mtheader.ID) != call.Request.ID.String() {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated}
	}
	if mtreply.Outcome(response.Header.Get(mtheader.Outcome)) == mtreply.NotRun {
		return nil, refusalOf(response)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, s.limit+1))
	if err != nil {
		if ctx.Err() != nil {
			return nil, callError(ctx, err, true)
		}
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated, Err: err}
	}
	if int64(len(body)) > s.limit {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTooLarge}
	}
	return &mtrequest.Reply{
		Outcome:     mtreply.Answered,
		Epoch:       call.Epoch,
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// refusalOf converts a backend server's refusal to a *mtreply.RefusedError.
func refusalOf(response *http.Response) error {
	cause := mtreply.Cause(response.Header.Get(mtheader.Cause))
	if cause != mtreply.CauseFenced && cause != mtreply.CauseDraining && cause != mtreply.CauseExpired {
		cause = mtreply.CauseRefused
	}
	refused := &mtreply.RefusedError{Cause: cause}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds >= 0 {
		refused.RetryAfter = time.Duration(seconds) * time.Second
	}
	return refused
}
