package mtlisten_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/io/mtlisten"
)

// heldClock counts its readings, and holds one back on request.
type heldClock struct {
	now  atomic.Int64
	held atomic.Pointer[hold]
}

// hold holds back a reading: reached is closed by it, and it goes on once released is closed.
type hold struct{ reached, released chan struct{} }

func (c *heldClock) Now() mtclock.Instant {
	if h := c.held.Swap(nil); h != nil {
		close(h.reached)
		<-h.released
	}
	return mtclock.Instant(c.now.Add(1))
}

// Guards against a peer that seems to run at the accept although it ended while its connection waited.
func TestConnectionThatWaitsIsOpenedBeforeItsAcceptance(t *testing.T) {
	clock := &heldClock{}
	clock.now.Store(100)
	times := make(chan mtlisten.ConnTimes, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { times <- mtlisten.TimesOf(r.Context()) })
	server, cleanUp, err := mtlisten.Serve("127.0.0.1:0", handler, mtlisten.Options{Clock: clock})
	assert.NilError(t, err)
	defer cleanUp()
	send := func() net.Conn {
		conn, err := net.Dial("tcp", server.Address())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		return conn
	}
	for range 2 {
		h := &hold{reached: make(chan struct{}), released: make(chan struct{})}
		clock.held.Store(h)
		<-h.reached // the listener accepts nothing now
		assert.NilError(t, send().Close())
		ended := mtclock.Instant(clock.now.Add(100))
		close(h.released)
		got := <-times
		assert.Assert(t, got.OpenedAfter > 0 && got.OpenedAfter < ended && got.Accepted > ended, "%+v, ended at %d", got, ended)

		accepted := clock.now.Load()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if clock.now.Load() >= accepted+2 { // one check has ended since
				return poll.Success()
			}
			return poll.Continue("no check of the queue")
		}, poll.WithTimeout(20*time.Second))
		conn := send()
		got = <-times
		assert.Assert(t, got.OpenedAfter > ended, "%+v, ended at %d", got, ended)
		assert.NilError(t, conn.Close())
	}
}
