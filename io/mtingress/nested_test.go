package mtingress_test

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/io/mtingress"
	"magnoliaturn/io/mttime"
)

func TestNestedCallIsAsUrgentAsItsParent(t *testing.T) {
	var call *mtcall.Call
	ingress := mtingress.New(mtingress.Config{
		ConfigFresh: func(mtclock.Instant) bool { return true },
		HeaderNames: mtheader.DefaultNames, Service: "own",
		Parent: func(mtcall.ID) (mtcall.Parent, bool) { return mtcall.Parent{Priority: 7}, true },
		Sender: &fakeSender{answer: answerOK}, Clock: mttime.New(), Log: slog.New(slog.DiscardHandler),
		OnCompletion: func(c *mtcall.Call, _ *mtcall.Answer, _ int, _ error, _ time.Duration) { call = c },
	})
	c, err := mtroute.New(1, []mtroute.Route{
		{Name: "desk", Host: "maps.example", Prefix: "/desk/", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 1, Targets: []mtroute.Target{{Service: "desk", Weight: 1}}},
	}, []mtroute.Service{{Name: "desk"}}, mtroute.Limits{})
	assert.NilError(t, err)
	ingress.Configure(c)
	router := echo.New()
	router.Any("/*", ingress.Handle)
	router.ServeHTTP(httptest.NewRecorder(), newRequest("/desk/1", "1.1"))
	assert.Assert(t, call != nil)
	assert.Equal(t, call.Priority, 7)
}
