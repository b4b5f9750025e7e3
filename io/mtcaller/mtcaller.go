// Package mtcaller is the HTTP side that callers see. Any daemon may be asked;
// mtheader documents the path and the headers.
//
// Status codes: the backend server's own for an answer; for a request that was
// not run 400 (malformed), 404 (no such service or class), 413 (too large), 429
// (over a limit or quarantined) or 503; 504 for an unknown outcome. The headers
// Request-Outcome and Request-Cause always tell which it was, and Retry-After
// when it makes sense to come back.
//
// # Usage
//
//	mtcaller.Register(echo, router, config)
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

// router finds the owner and returns what came of the request.
type router interface {
	Route(ctx context.Context, r *mtrequest.Request) *mtrequest.Reply
}

// addresses tells where callers reach a daemon.
type addresses interface {
	CallerAddress(h mtid.Holder) string
}

type clock interface {
	Now() mtclock.Instant
	Wall() time.Time
}

// Bounds of what a caller may send.
const (
	MaxKey     = 512 // bytes
	MaxName    = 64  // bytes of a business, service or class
	MaxTimeout = 10 * time.Minute
)

// FieldError says that a part of a request is outside its accepted range.
type FieldError struct {
	Field  string
	Accept string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: accepted is %s", e.Field, e.Accept) }

// Config is what the callers' side works with.
type Config struct {
	Router    router
	Addresses addresses
	Clock     clock
	Body      int64 // largest body in bytes
}

type handler struct{ Config }

// Register adds the callers' routes.
func Register(e *echo.Echo, config Config) {
	h := handler{config}
	e.Any(mtheader.Prefix+"/:business/:service/:key", h.serve)
	e.Any(mtheader.Prefix+"/:business/:service/:key/*", h.serve)
}

func (h handler) serve(c echo.Context) error {
	request, err := h.read(c)
	if err != nil {
		return h.write(c, request, mtrequest.FromError(err))
	}
	return h.write(c, request, h.Router.Route(c.Request().Context(), request))
}

// read returns the request that a caller sent. It fails with a
// *mtreply.RefusedError; the request then holds what could be read.
func (h handler) read(c echo.Context) (*mtrequest.Request, error) {
	in := c.Request()
	r := &mtrequest.Request{Method: in.Method, Query: in.URL.RawQuery, ContentType: in.Header.Get("Content-Type")}
	if err := h.readID(in, r); err != nil {
		return r, malformed(err)
	}
	if err := readPath(in.URL, r); err != nil {
		return r, malformed(err)
	}
	r.Class = mtid.Class(in.Header.Get(mtheader.Class))
	if r.Class == "" || len(r.Class) > MaxName {
		return r, malformed(&FieldError{Field: mtheader.Class, Accept: "the name of a class, up to 64 bytes"})
	}
	if err := h.readTimeout(in, r); err != nil {
		return r, malformed(err)
	}
	return r, h.readBody(c, r)
}

func malformed(err error) error {
	return &mtreply.RefusedError{Cause: mtreply.CauseMalformed, RetryAfter: never, Detail: err.Error()}
}

// never says that asking again makes no sense.
const never = -1

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

// readPath splits /v1/business/service/key/rest. It reads the escaped path, so
// that a key may hold an encoded slash.
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
	if r.Key == "" || len(r.Key) > MaxKey || strings.ContainsRune(string(r.Key), 0) {
		return &FieldError{Field: "key", Accept: "1 to 512 bytes without a zero byte"}
	}
	if len(names[0]) > MaxName || len(names[1]) > MaxName {
		return &FieldError{Field: "path", Accept: "names of up to 64 bytes"}
	}
	return nil
}

// readTimeout sets the deadline. With no header it stays zero, and the router
// takes the class's.
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
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, h.Body))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &mtreply.RefusedError{
			Cause: mtreply.CauseTooLarge, RetryAfter: never,
			Detail: fmt.Sprintf("body: accepted is up to %d bytes", h.Body),
		}
	}
	if err != nil {
		return malformed(&FieldError{Field: "body", Accept: "as many bytes as Content-Length says"})
	}
	r.Body = body
	return nil
}

func (h handler) write(c echo.Context, r *mtrequest.Request, reply *mtrequest.Reply) error {
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
	return c.String(Status(reply), reply.Detail)
}

// retrySeconds rounds up, since Retry-After counts whole seconds and an early
// retry would be refused again.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// Status returns the HTTP status of a reply that is not an answer.
func Status(reply *mtrequest.Reply) int {
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
