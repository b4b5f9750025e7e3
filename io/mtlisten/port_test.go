package mtlisten_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/io/mtlisten"
	"magnoliaturn/io/mttime"
)

const anyAddress = "127.0.0.1:0"

// busyUntil returns a ListenFunc whose addresses are in use until free is set.
func busyUntil(free *atomic.Bool) mtlisten.ListenFunc {
	return func(ctx context.Context, address string) (net.Listener, error) {
		if !free.Load() {
			return nil, syscall.EADDRINUSE
		}
		return mtlisten.Listen(ctx, address)
	}
}

// awaitOpen waits until a port is open.
func awaitOpen(t *testing.T, port *mtlisten.Port) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if port.IsOpen() {
			return poll.Success()
		}
		return poll.Continue("not open")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// get sends a request on a connection of its own and checks that it is answered.
func get(t *testing.T, address string) {
	t.Helper()
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// Guards against a server that fails, or never serves, because its address is in use at the start.
func TestPortOpensOnceItsAddressIsFree(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for name, options := range map[string]mtlisten.Options{
		"net/http": {}, "pipelined": {Pipelined: true}, "with times": {Clock: mttime.New()},
	} {
		t.Run(name, func(t *testing.T) {
			var free atomic.Bool
			options.Log = slog.New(slog.DiscardHandler)
			port := mtlisten.Open("test", busyUntil(&free), options.Log, anyAddress)
			defer mtlisten.ServePort(port, handler, options)()
			assert.Assert(t, !port.IsOpen())
			free.Store(true)
			awaitOpen(t, port)
			get(t, port.Addr().String())
		})
	}
}

// Guards against a server that can't be shut down while its address is in use, or that waits for
// whoever uses it.
func TestShutdownDoesNotWaitForPort(t *testing.T) {
	for name, pipelined := range map[string]bool{"net/http": false, "pipelined": true} {
		t.Run(name, func(t *testing.T) {
			used, err := net.Listen("tcp", anyAddress)
			assert.NilError(t, err)
			defer func() { _ = used.Close() }()
			log := slog.New(slog.DiscardHandler)
			port := mtlisten.Open("test", mtlisten.Listen, log, used.Addr().String())
			server := mtlisten.Start(port, http.NotFoundHandler(), mtlisten.Options{Pipelined: pipelined, Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			server.Shutdown(ctx)
			assert.NilError(t, ctx.Err())
		})
	}
}

// Guards against an address in use that is waited for although another one is free.
func TestPortOpensFirstFreeAddress(t *testing.T) {
	used, err := net.Listen("tcp", anyAddress)
	assert.NilError(t, err)
	defer func() { _ = used.Close() }()
	port := mtlisten.Open("test", mtlisten.Listen, slog.New(slog.DiscardHandler), used.Addr().String(), anyAddress)
	assert.Assert(t, port.IsOpen())
	assert.NilError(t, port.Close())
	_, err = port.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// Guards against a server that counts as lost since the age of its heartbeats is unknown, on
// connections to a port that was opened late.
func TestPortOpenedLateKnowsTimesOfItsConnections(t *testing.T) {
	var free atomic.Bool
	times := make(chan mtlisten.ConnTimes, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { times <- mtlisten.TimesOf(r.Context()) })
	clock, log := mttime.New(), slog.New(slog.DiscardHandler)
	port := mtlisten.Open("test", busyUntil(&free), log, anyAddress)
	defer mtlisten.ServePort(port, handler, mtlisten.Options{Clock: clock, Log: log})()
	begun := clock.Now()
	free.Store(true)
	awaitOpen(t, port)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		get(t, port.Addr().String())
		if got := <-times; got.OpenedAfter < begun {
			return poll.Continue("%+v, begun at %d", got, begun)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(300*time.Millisecond))
}

// failingListener fails to accept once.
type failingListener struct {
	net.Listener
	failures chan error
}

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.failures:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	default:
		return l.Listener.Accept()
	}
}

// Guards against a server that fails, or drops the connections that wait, because the process has no
// descriptor left for one or its socket is broken.
func TestPortOutlivesFailureToAccept(t *testing.T) {
	for _, test := range []struct {
		err    error
		opened int32 // how often the port is opened in all
	}{
		{syscall.EMFILE, 1},
		{syscall.ENFILE, 1},
		{syscall.ENOBUFS, 1},
		{syscall.ENOMEM, 1},
		{syscall.ECONNABORTED, 1},
		{syscall.EPERM, 1},
		{syscall.EINVAL, 2},
		{syscall.EBADF, 2},
		{net.ErrClosed, 2},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			var opened atomic.Int32
			failures := make(chan error, 1)
			failures <- test.err
			listen := func(ctx context.Context, address string) (net.Listener, error) {
				opened.Add(1)
				inner, err := mtlisten.Listen(ctx, address)
				return failingListener{inner, failures}, err
			}
			log := slog.New(slog.DiscardHandler)
			port := mtlisten.Open("test", listen, log, anyAddress)
			defer mtlisten.ServePort(port, http.NotFoundHandler(), mtlisten.Options{Pipelined: true, Log: log})()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if len(failures) == 0 && port.IsOpen() && opened.Load() == test.opened {
					return poll.Success()
				}
				return poll.Continue("opened %d times", opened.Load())
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
			get(t, port.Addr().String())
			assert.Equal(t, opened.Load(), test.opened)
		})
	}
}
