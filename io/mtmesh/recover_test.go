package mtmesh_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
	"magnoliaturn/io/mttime"
)

// panickingHost panics in each call.
type panickingHost struct{}

// Run implements mtforward.Host.
func (panickingHost) Run(context.Context, *mtcall.Call) (*mtcall.Answer, error) { panic("run") }

// Load implements mtforward.Host.
func (panickingHost) Load() mtcall.Load { return mtcall.Load{} }

// Guards against a process that ends, with all requests in flight, because a message of another daemon
// makes a handler panic; and against such a call that counts as not run.
func TestPanicOfHandlerEndsOnlyItsCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clock := mttime.New()
	exchange := mtforward.StateExchange{
		Summarize: func() mtforward.StateSummary { return mtforward.StateSummary{} },
		Receive:   func(mtforward.StateSummary, mtclock.Instant) {},
	}
	server := grpc.NewServer(mtmesh.RecoverPanics(slog.New(slog.DiscardHandler))...)
	mtforward.Register(server, mtforward.Server{Host: panickingHost{}, Clock: clock, Exchange: exchange})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client, cleanUp := mtforward.NewClient(clock, mtdial.Dial, exchange, nil)
	defer cleanUp()
	for _, size := range []int{0, 100 << 10} {
		for range 2 {
			_, err := client.Forward(t.Context(), "vm-1", listener.Addr().String(), &mtcall.Call{
				ID: "7", Method: "POST", Target: "/a", Body: mtcall.BodyOf(make([]byte, size)), Deadline: clock.Now().Add(20 * time.Second),
			})
			var unknown *mtreply.UnknownError
			assert.Assert(t, errors.As(err, &unknown), "%T: %v", err, err)
		}
	}
}
