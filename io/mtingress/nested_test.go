package mtingress_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtnested"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/io/mtingress"
	"magnoliaturn/io/mttime"
)

// endNested ends a nested call in the way that s says, and returns the call and what was
// observed.
func endNested(t *testing.T, s *fakeSender, header ...string) (call *mtcall.Call, result mtnested.Result) {
	t.Helper()
	parent := mtcall.Parent{Route: "maps", Priority: 7}
	ingress := mtingress.New(mtingress.Config{
		ConfigFresh: func(mtclock.Instant) bool { return true },
		HeaderNames: mtheader.DefaultNames, Service: "own",
		Parent: func(mtcall.ID) (mtcall.Parent, bool) { return parent, true },
		Sender: s, Clock: mttime.New(), Log: slog.New(slog.DiscardHandler),
		OnNested:     func(c *mtcall.Call, r mtnested.Result) { call, result = c, r },
		OnCompletion: func(*mtcall.Call, *mtcall.Answer, int, error, time.Duration) {},
	})
	c, err := mtroute.New(1, []mtroute.Route{
		{Name: "desk", Host: "maps.example", Prefix: "/desk/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 1, Targets: []mtroute.Target{{Service: "desk", Weight: 1}}},
	}, []mtroute.Service{{Name: "desk"}}, mtroute.Limits{})
	assert.NilError(t, err)
	ingress.Configure(c)
	router := echo.New()
	router.Any("/*", ingress.Handle)
	router.ServeHTTP(httptest.NewRecorder(), newRequest("/desk/1", "1.1", header...))
	assert.Assert(t, call != nil)
	return call, result
}

func TestNestedCallIsAsUrgentAsItsParent(t *testing.T) {
	call, _ := endNested(t, &fakeSender{answer: answerOK})
	assert.Equal(t, call.Priority, 7)
}

// Failure: errors of other kinds count as a lack of room, or a lack of room is overlooked.
func TestEndsOfNestedCalls(t *testing.T) {
	refusedFor := func(cause mtreply.Cause) *fakeSender {
		return &fakeSender{err: &mtreply.RefusedError{Cause: cause}}
	}
	for _, test := range []struct {
		name   string
		sender *fakeSender
		want   mtnested.Result
	}{
		{"answered", &fakeSender{answer: answerOK}, mtnested.Served},
		{"shed", refusedFor(mtreply.CauseShed), mtnested.NoRoom},
		{"its own nested calls find no room", refusedFor(mtreply.CauseNestedFull), mtnested.NoRoom},
		{"stopped by the server at its deadline", &fakeSender{answer: &mtcall.Answer{Status: http.StatusGatewayTimeout}}, mtnested.NoRoom},
		{"rejected by the server", refusedFor(mtreply.CauseRefused), mtnested.Inconclusive},
		{"unreachable", refusedFor(mtreply.CauseUnreachable), mtnested.Inconclusive},
		{"failed by the server", &fakeSender{answer: &mtcall.Answer{Status: http.StatusInternalServerError}}, mtnested.Inconclusive},
		{"left by its caller long before the deadline", &fakeSender{err: &mtreply.UnknownError{Cause: mtreply.CauseGone, Err: context.Canceled}}, mtnested.Inconclusive},
		{"lost", &fakeSender{err: &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("reset")}}, mtnested.Inconclusive},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, result := endNested(t, test.sender)
			assert.Equal(t, result, test.want)
		})
	}
}

// Failure: a call whose parent began too late seems to show that its service has no room.
func TestNestedCallWithoutTimeShowsNothing(t *testing.T) {
	_, result := endNested(t, &fakeSender{hang: true}, mtheader.DefaultNames.Deadline, "1")
	assert.Equal(t, result, mtnested.Inconclusive)
}

// Failure: a service whose nested calls all end at their deadlines seems to have room.
func TestNestedCallNotAnsweredInTimeShowsLackOfRoom(t *testing.T) {
	_, result := endNested(t, &fakeSender{hang: true}, mtheader.DefaultNames.Deadline, "500")
	assert.Equal(t, result, mtnested.NoRoom)
}
