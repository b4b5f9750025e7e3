package mtingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtreply"
)

// bodySender is a response writer that sends a body without copying it, and calls release when it
// doesn't refer to it any more.
type bodySender interface {
	SendBody(body [][]byte, release func())
}

// writeAnswer sends the caller the response of the backend server unchanged. It passes the memory of the
// answer on to the response writer, or frees it.
func (in *Ingress) writeAnswer(w *echo.Response, call *mtcall.Call, answer *mtcall.Answer) error {
	h := w.Header()
	h["Content-Type"] = nil // prevents net/http from guessing one
	for _, f := range answer.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	if bodyAllowed(answer.Status) {
		h.Set("Content-Length", strconv.Itoa(answer.Body.Len()))
	}
	w.WriteHeader(answer.Status)
	if call.Method == http.MethodHead || !bodyAllowed(answer.Status) {
		answer.Free()
		return nil
	}
	if sender, ok := w.Writer.(bodySender); ok {
		sender.SendBody(answer.Body, answer.Free)
		return nil
	}
	defer answer.Free()
	_, err := io.Copy(w, answer.Body.Reader())
	return err
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeError answers a call that the backend server has not answered.
func (in *Ingress) writeError(w http.ResponseWriter, call *mtcall.Call, err error) {
	h := w.Header()
	if call.ID != "" {
		h.Set(in.HeaderNames.ID, string(call.ID))
	}
	status, retry := Status(err)
	if retry >= 0 {
		h.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Status returns the HTTP status for a failed call, and the time after which to retry, or
// a negative duration if the response has no Retry-After. The status 503 guarantees that
// the call was not run and never will be; 502 and 504 guarantee nothing.
func Status(err error) (status int, retry time.Duration) {
	var refused *mtreply.RefusedError
	var unknown *mtreply.UnknownError
	var route *routeError
	var request *requestError
	switch {
	case errors.As(err, &route):
		return http.StatusNotFound, -1
	case errors.As(err, &request):
		return request.status, -1
	case errors.As(err, &refused):
		return http.StatusServiceUnavailable, refused.RetryAfter
	case errors.As(err, &unknown) && (unknown.Cause == mtreply.CauseTimeout || unknown.Cause == mtreply.CauseGone):
		return http.StatusGatewayTimeout, -1
	}
	return http.StatusBadGateway, -1
}
