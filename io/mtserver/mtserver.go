// Package mtserver speaks with the backend servers on the daemon's own VM: it
// takes their announcements and sends them requests.
//
// The client never lets net/http send a request a second time by itself: the
// standard transport repeats a GET on a connection that broke, which would run
// a non-idempotent request twice. It tells a request of which no byte was
// written (not run) from one that was (unknown), and passes on a reply only if
// it is whole and carries the identifier of this very request.
//
// # Usage
//
//	pool := mtserver.NewPool(clock, log)
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
)

// Server is a backend server as a target of requests.
type Server struct {
	announced mtannounce.Announcement
	client    *http.Client
	limit     int64
}

// Call is one request to a backend server with its fences.
type Call struct {
	Request  *mtrequest.Request
	Epoch    mtid.Epoch
	StartBy  int64 // nanoseconds of the boot-time clock
	Deadline int64 // nanoseconds of the boot-time clock
}

// newServer returns a target; limit is the largest reply in bytes.
func newServer(a mtannounce.Announcement, limit int64) *Server {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialCounted(dialer),
		MaxConnsPerHost:     a.Connections,
		MaxIdleConnsPerHost: a.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Server{announced: a, limit: limit, client: &http.Client{
		Transport: transport,
		// A redirect would send the request to a server that doesn't own the key.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Announced returns what the server said of itself last.
func (s *Server) Announced() mtannounce.Announcement { return s.announced }

// Do sends one request, once. It fails with a *mtreply.RefusedError if the
// request was not run, else with a *mtreply.UnknownError.
func (s *Server) Do(ctx context.Context, call Call) (*mtrequest.Reply, error) {
	used := &usage{}
	request, err := s.request(httptrace.WithClientTrace(ctx, used.trace()), call)
	if err != nil {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseMalformed, Detail: err.Error()}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, callError(ctx, err, used.written())
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(ctx, call, response)
}

// once wraps a body so that net/http can't rewind it: with no GetBody and a
// body that is not nil, the transport never repeats a request of which bytes
// may have been written, whatever its method or headers.
type once struct{ io.Reader }

// Close implements io.Closer.
func (once) Close() error { return nil }

// body returns the body to send. Only the methods that the transport takes for
// idempotent need the wrapper where there is nothing to send; with the others it
// would make the transport send an empty chunked body.
func body(r *mtrequest.Request) io.ReadCloser {
	if len(r.Body) > 0 || repeatable(r.Method) {
		return once{bytes.NewReader(r.Body)}
	}
	return http.NoBody
}

// repeatable reports whether net/http would send a request again by itself.
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (s *Server) request(ctx context.Context, call Call) (*http.Request, error) {
	r := call.Request
	target := url.URL{
		Scheme:   "http",
		Host:     s.announced.Address,
		Path:     "/" + string(r.Key) + r.Path,
		RawPath:  "/" + url.PathEscape(string(r.Key)) + r.Path,
		RawQuery: r.Query,
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	request.Body = body(r)
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

func (s *Server) read(ctx context.Context, call Call, response *http.Response) (*mtrequest.Reply, error) {
	// A reply that lacks the identifier may belong to another request.
	if response.Header.Get(mtheader.ID) != call.Request.ID.String() {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTruncated}
	}
	if mtreply.Outcome(response.Header.Get(mtheader.Outcome)) == mtreply.NotRun {
		return nil, refusal(response)
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

// refusal returns what a backend server's own refusal means.
func refusal(response *http.Response) error {
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
