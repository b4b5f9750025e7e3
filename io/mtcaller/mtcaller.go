// Package mtcaller implements the HTTP interface for callers. Callers may send a
// request to any daemon; mtheader documents the path and the headers.
//
// Status codes: an answer has the backend server's own. A request that was not run
// has 400 (malformed), 404 (no such service or class), 413 (too large), 429 (over a
// limit or quarantined) or 503, and one whose outcome is unknown has 504. The
// headers Request-Outcome and Request-Cause always distinguish these cases, and
// Retry-After is set if a retry may succeed.
//
// # Usage
//
//	mtcaller.Register(echo, config)
package mtcaller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
)

// router sends a request to the owner of its key and returns the reply.
type router interface {
	Route(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply
}

// addresses looks up the address at which callers reach a daemon.
type addresses interface {
	CallerAddress(h mtid.Holder) string
}

type clock interface {
	Now() mtclock.Instant
	Wall() time.Time
}

// Limits on what a caller may send.
const (
	MaxKeyLength  = 512 // bytes
	MaxNameLength = 64  // bytes, for the name of a business, service or class
	MaxTimeout    = 10 * time.Minute
)

// FieldError reports a part of a request that is not in its accepted form or range.
type FieldError struct {
	Field  string
	Accept string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: accepted is %s", e.Field, e.Accept) }

// Config holds the dependencies and limits of the callers' interface.
type Config struct {
	Router      router
	Addresses   addresses
	Clock       clock
	MaxBodySize int64 // maximum size in bytes of a request's body
}

type handler struct{ Config }

// Register adds the routes for callers to e.
func Register(e *echo.Echo, config Config) {
	h := handler{config}
	e.Any(mtheader.Prefix+"/:business/:service/:key", h.serve)
	e.Any(mtheader.Prefix+"/:business/:service/:key/*", h.serve)
}

func (h handler) serve(c echo.Context) error {
	request, err := h.readRequest(c)
	if err != nil {
		return h.writeReply(c, request, mtrequest.FromError(err))
	}
	return h.writeReply(c, request, h.Router.Route(c.Request().Context(), request))
}

// readRequest parses a caller's request. It fails with a *mtreply.RefusedError; the
// returned request then holds the parts that were parsed before the error.
func (h handler) readRequest(c echo.Context) (*mtrequest.Request, error) {
	in := c.Request()
	r := &mtrequest.Request{Method: in.Method, Query: in.URL.RawQuery, ContentType: in.Header.Get("Content-Type")}
	if err := h.readID(in, r); err != nil {
		return r, malformed(err)
	}
	if err := readPath(in.URL, r); err != nil {
		return r, malformed(err)
	}
	r.Class = mtid.Class(in.Header.Get(mtheader.Class))
	if r.Class == "" || len(r.Class) > MaxNameLength {
		return r, malformed(&FieldError{Field: mtheader.Class, Accept: "the name of a class, up to 64 bytes"})
	}
	if err := h.readTimeout(in, r); err != nil {
		return r, malformed(err)
	}
	return r, h.readBody(c, r)
}

func malformed(err error) error {
	return &mtreply.RefusedError{Cause: mtreply.CauseMalformed, RetryAfter: noRetry, Detail: err.Error()}
}

// noRetry, as the wait before a retry, means that a retry can't succeed.
const noRetry = -1

func (h handler) readID(in *http.Request, r *mtrequest.Request) error {
	value := in.Header.Get(mtheader.Key)
	if value == "" {
		var random [10]byte
		_, _ = rand.Read(random[:]) // never fails
		r.ID = mtrequest.Mint(h.Clock.Wall(), random)
		r.Minted = true
		return nil
	}
	id, err := mtrequest.ParseID(strings.Trim(value, `"`))
	if err != nil {
		return &FieldError{Field: mtheader.Key, Accept: "a UUIDv7"}
	}
	r.ID = id
	return nil
}

// readPath splits /v1/business/service/key/rest. It uses the escaped path, so that a
// key may contain an encoded slash.
func readPath(u *url.URL, r *mtrequest.Request) error {
	const parts = 4
	rest := strings.TrimPrefix(u.EscapedPath(), mtheader.Prefix+"/")
	split := strings.SplitN(rest, "/", parts)
	if len(split) < parts-1 {
		return &FieldError{Field: "path", Accept: mtheader.Prefix + "/{business}/{service}/{key}"}
	}
	names := make([]string, parts-1)
	for i := range names {
		name, err := url.PathUnescape(split[i])
		if err != nil {
			return &FieldError{Field: "path", Accept: "percent-encoding"}
		}
		names[i] = name
	}
	r.Service = mtid.Ref{Business: mtid.Business(names[0]), Service: mtid.Service(names[1])}
	r.Key = mtid.Key(names[2])
	if len(split) == parts {
		r.Path = "/" + split[parts-1]
	}
	if r.Key == "" || len(r.Key) > MaxKeyLength || strings.ContainsRune(string(r.Key), 0) {
		return &FieldError{Field: "key", Accept: "1 to 512 bytes without a zero byte"}
	}
	if len(names[0]) > MaxNameLength || len(names[1]) > MaxNameLength {
		return &FieldError{Field: "path", Accept: "names of up to 64 bytes"}
	}
	return nil
}

// readTimeout sets the deadline. Without the header it stays zero, and the router
// uses the timeout of the class.
func (h handler) readTimeout(in *http.Request, r *mtrequest.Request) error {
	value := in.Header.Get(mtheader.Timeout)
	if value == "" {
		return nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > MaxTimeout {
		return &FieldError{Field: mtheader.Timeout, Accept: "a duration above 0 and up to 10m, for example 750ms"}
	}
	r.Deadline = h.Clock.Now().Add(timeout)
	return nil
}

func (h handler) readBody(c echo.Context, r *mtrequest.Request) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, h.MaxBodySize))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &mtreply.RefusedError{
			Cause: mtreply.CauseTooLarge, RetryAfter: noRetry,
			Detail: fmt.Sprintf("body: accepted is up to %d bytes", h.MaxBodySize),
		}
	}
	if err != nil {
		return malformed(&FieldError{Field: "body", Accept: "as many bytes as Content-Length says"})
	}
	r.Body = body
	return nil
}

func (h handler) writeReply(c echo.Context, r *mtrequest.Request, reply *mtrequest.Reply) error {
	out := c.Response().Header()
	out.Set(mtheader.ID, r.ID.String())
	out.Set(mtheader.Outcome, string(reply.Outcome))
	if address := h.Addresses.CallerAddress(reply.Owner); address != "" {
		out.Set(mtheader.Owner, address)
	}
	if reply.Epoch > 0 {
		out.Set(mtheader.Epoch, strconv.FormatUint(uint64(reply.Epoch), 10))
	}
	if reply.Outcome == mtreply.Answered {
		return c.Blob(reply.Status, reply.ContentType, reply.Body)
	}
	out.Set(mtheader.Cause, string(reply.Cause))
	if reply.RetryAfter >= 0 && reply.Outcome == mtreply.NotRun {
		out.Set("Retry-After", retrySeconds(reply.RetryAfter))
	}
	return c.String(HTTPStatus(reply), reply.Detail)
}

// retrySeconds formats a duration for Retry-After, which counts whole seconds. It
// rounds up, since an early retry would be refused again.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// HTTPStatus returns the HTTP status of a reply that is not an answer.
func HTTPStatus(reply *mtrequest.Reply) int {
	if reply.Outcome != mtreply.NotRun {
		return http.StatusGatewayTimeout
	}
	switch reply.Cause {
	case mtreply.CauseMalformed, mtreply.CauseSkew:
		return http.StatusBadRequest
	case mtreply.CauseNoService:
		return http.StatusNotFound
	case mtreply.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case mtreply.CauseLimited, mtreply.CauseQuarantined:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
