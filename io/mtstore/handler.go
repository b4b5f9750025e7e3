package mtstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtstore"
)

// NewHandler returns a handler that serves m with the protocol of this package,
// including the paths that control its faults. It does not authenticate callers, so it
// should only be used on loopback, in tests and stand-ins.
func NewHandler(m *Memory) http.Handler {
	e := echo.New()
	e.POST(pathGet, serve(func(ctx context.Context, request getRequest) (mtstore.Entry, error) {
		return m.Get(ctx, request.Name)
	}))
	e.POST(pathSwap, serve(func(ctx context.Context, request swapRequest) (swapResponse, error) {
		version, err := m.Swap(ctx, request.Name, request.Expected, request.Value, request.Lease)
		return swapResponse{Version: version}, err
	}))
	e.POST(pathWatch, serve(func(ctx context.Context, request watchRequest) (mtstore.Changes, error) {
		return m.Watch(ctx, request.Prefix, request.After, request.Wait)
	}))
	e.POST(pathGrant, serve(func(ctx context.Context, request grantRequest) (leaseBody, error) {
		id, err := m.Grant(ctx, request.TTL)
		return leaseBody{Lease: id}, err
	}))
	e.POST(pathRenew, serve(func(ctx context.Context, request leaseBody) (leaseBody, error) {
		return request, m.Renew(ctx, request.Lease)
	}))
	e.GET(pathFaults, func(c echo.Context) error { return reportFaults(c, m) })
	e.POST(pathFaults, func(c echo.Context) error { return switchFaults(c, m) })
	e.POST(pathExpire, func(c echo.Context) error {
		m.ExpireLeases()
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(pathSettle, func(c echo.Context) error {
		return c.String(http.StatusOK, strconv.Itoa(m.ApplyLateWrites())+"\n")
	})
	return e
}

// serve returns a handler for one kind of call.
func serve[Request, Response any](call func(context.Context, Request) (Response, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var request Request
		body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
		if err := json.NewDecoder(body).Decode(&request); err != nil {
			return sendRefusal(c, refusal{Kind: kindRejected, Reason: "body can't be read: " + err.Error()})
		}
		response, err := call(c.Request().Context(), request)
		if err != nil {
			return sendError(c, err)
		}
		return c.JSON(http.StatusOK, response)
	}
}

// sendError sends the refusal that corresponds to err. There is none for an unknown
// outcome: the connection is closed, as by a store that crashes before it responds, so
// the client has to determine the outcome itself.
func sendError(c echo.Context, err error) error {
	var (
		notFound    *mtstore.NotFoundError
		conflict    *mtstore.ConflictError
		expired     *mtstore.LeaseExpiredError
		rejected    *mtstore.RejectedError
		unavailable *mtstore.UnavailableError
	)
	switch {
	case errors.As(err, &notFound):
		return sendRefusal(c, refusal{Kind: kindMissing})
	case errors.As(err, &conflict):
		return sendRefusal(c, refusal{Kind: kindConflict, Current: conflict.Current})
	case errors.As(err, &expired):
		return sendRefusal(c, refusal{Kind: kindExpired, Lease: expired.Lease})
	case errors.As(err, &rejected):
		return sendRefusal(c, refusal{Kind: kindRejected, Reason: rejected.Reason})
	case errors.As(err, &unavailable):
		return sendRefusal(c, refusal{Kind: kindUnavailable, Reason: unavailable.Err.Error()})
	}
	panic(http.ErrAbortHandler)
}

func sendRefusal(c echo.Context, r refusal) error {
	return c.JSON(r.Kind.status(), r)
}

func reportFaults(c echo.Context, m *Memory) error {
	faults := m.Faults()
	return c.String(http.StatusOK, faults.Form().Encode()+"\n")
}

func switchFaults(c echo.Context, m *Memory) error {
	form, err := c.FormParams()
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	faults, err := ParseFaults(form)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	m.SetFaults(faults)
	return reportFaults(c, m)
}
