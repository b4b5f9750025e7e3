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

// NewHandler returns a handler that serves m by the protocol of this package,
// with the paths that switch its faults. It is meant for loopback in tests and
// stand-ins: it asks nobody who they are.
func NewHandler(m *Memory) http.Handler {
	e := echo.New()
	e.POST(pathGet, serve(func(ctx context.Context, ask getAsk) (mtstore.Entry, error) {
		return m.Get(ctx, ask.Name)
	}))
	e.POST(pathSwap, serve(func(ctx context.Context, ask swapAsk) (swapAnswer, error) {
		version, err := m.Swap(ctx, ask.Name, ask.Expected, ask.Value, ask.Lease)
		return swapAnswer{Version: version}, err
	}))
	e.POST(pathWatch, serve(func(ctx context.Context, ask watchAsk) (mtstore.Changes, error) {
		return m.Watch(ctx, ask.Prefix, ask.After, ask.Wait)
	}))
	e.POST(pathGrant, serve(func(ctx context.Context, ask grantAsk) (leaseBody, error) {
		id, err := m.Grant(ctx, ask.TTL)
		return leaseBody{Lease: id}, err
	}))
	e.POST(pathRenew, serve(func(ctx context.Context, ask leaseBody) (leaseBody, error) {
		return ask, m.Renew(ctx, ask.Lease)
	}))
	e.GET(pathFaults, func(c echo.Context) error { return reportFaults(c, m) })
	e.POST(pathFaults, func(c echo.Context) error { return switchFaults(c, m) })
	e.POST(pathLapse, func(c echo.Context) error {
		m.Lapse()
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(pathSettle, func(c echo.Context) error {
		return c.String(http.StatusOK, strconv.Itoa(m.Settle())+"\n")
	})
	return e
}

// serve answers one kind of call.
func serve[Ask, Answer any](call func(context.Context, Ask) (Answer, error)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var ask Ask
		body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
		if err := json.NewDecoder(body).Decode(&ask); err != nil {
			return refuse(c, refusal{Kind: kindRejected, Reason: "body can't be read: " + err.Error()})
		}
		answer, err := call(c.Request().Context(), ask)
		if err != nil {
			return refuseFor(c, err)
		}
		return c.JSON(http.StatusOK, answer)
	}
}

// refuseFor sends the refusal that err stands for. An unknown outcome has
// none: the connection is cut, as by a store that dies before it answers, so
// that the client has to find out by itself.
func refuseFor(c echo.Context, err error) error {
	var (
		missing     *mtstore.NotFoundError
		conflict    *mtstore.ConflictError
		lapsed      *mtstore.LeaseExpiredError
		rejected    *mtstore.RejectedError
		unavailable *mtstore.UnavailableError
	)
	switch {
	case errors.As(err, &missing):
		return refuse(c, refusal{Kind: kindMissing})
	case errors.As(err, &conflict):
		return refuse(c, refusal{Kind: kindConflict, Current: conflict.Current})
	case errors.As(err, &lapsed):
		return refuse(c, refusal{Kind: kindLapsed, Lease: lapsed.Lease})
	case errors.As(err, &rejected):
		return refuse(c, refusal{Kind: kindRejected, Reason: rejected.Reason})
	case errors.As(err, &unavailable):
		return refuse(c, refusal{Kind: kindUnavailable, Reason: unavailable.Err.Error()})
	}
	panic(http.ErrAbortHandler)
}

func refuse(c echo.Context, r refusal) error {
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
