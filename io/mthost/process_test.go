package mthost_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// Guards against two servers that own the same keys: one whose queue of connections is full for
// seconds, and whose heartbeats are late, is taken for one that has terminated.
func TestSilentServerHasNotEndedWhileCommandsAreInForce(t *testing.T) {
	s := newFixture(t, listenWithFullQueue(t))
	s.server.incarnation = "one"
	beat := s.newHeartbeat("one", 1)
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	incarnation := mtid.ServerIncarnation{Server: "one"}
	var commandExpiry atomic.Int64
	commandExpiry.Store(int64(s.clock.Steady().Add(time.Hour)))
	s.host.CommandExpiry = func() mtclock.Instant { return mtclock.Instant(commandExpiry.Load()) }
	s.clock.offset.Add(int64(3 * time.Second)) // no heartbeat for so long
	for range 4 {
		s.host.CheckServer(incarnation)
		time.Sleep(400 * time.Millisecond) // longer than the checks take
		assert.Equal(t, s.record().State, mtbackend.Ready)
		assert.Assert(t, !s.host.ConnectedTo(incarnation), "it is sent grants, which prolong that")
	}
	commandExpiry.Store(int64(s.clock.Steady()))
	s.waitFor("the end is published", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
}

// Guards against two servers that own the same keys: the time of day jumps ahead, and a server that
// takes no connections is taken for ended before its commands have expired.
func TestClockThatJumpsAheadDoesNotEndServer(t *testing.T) {
	s := newFixture(t, listenWithFullQueue(t))
	s.server.incarnation = "one"
	beat := s.newHeartbeat("one", 1)
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	expiry := s.clock.Steady().Add(time.Minute)
	s.host.CommandExpiry = func() mtclock.Instant { return expiry }
	s.clock.ahead.Store(int64(time.Hour))
	s.host.CheckServer(mtid.ServerIncarnation{Server: "one"})
	time.Sleep(700 * time.Millisecond) // longer than the check takes
	assert.Equal(t, s.record().State, mtbackend.Ready)
}

// listenWithFullQueue returns the address of a listener that accepts nothing and at which
// connections time out.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	address := listen(t, 0)
	fillQueue(t, address)
	return address
}

// listen returns the address of a listener that accepts nothing, with a queue for connections.
func listen(t *testing.T, queue int) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, queue))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

// fillQueue opens connections to an address until they time out.
func fillQueue(t *testing.T, address string) {
	t.Helper()
	for range 16 {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of connections does not fill")
}

// silence makes a server in service take no connections and send no heartbeats, until its daemon
// takes it for ended. Its liveness connection stays open.
func (s *fixture) silence(listener *quietListener) {
	s.t.Helper()
	incarnation := s.record().Incarnation
	s.waitFor("the incarnation is confirmed", func(mtbackend.Record) bool { return s.host.ConnectedTo(incarnation) })
	listener.fill()
	s.clock.offset.Add(int64(3 * time.Second)) // no heartbeat for so long
	s.host.CheckServer(incarnation)
	s.waitFor("the end is published", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
}

// startSilentServer brings a server into service that no command was ever sent to, and silences it.
func startSilentServer(t *testing.T) *fixture {
	t.Helper()
	listener := newQuietListener(t)
	s := newFixture(t, listener.address)
	s.host.CommandExpiry = func() mtclock.Instant { return 0 }
	s.server.mu.Lock()
	s.server.incarnation = "one"
	s.server.mu.Unlock()
	beat := s.newHeartbeat("one", 1)
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.silence(listener)
	return s
}

// Guards against two servers that own the same keys: one that was taken for ended is sent a grant
// that was due, on the connection that it still has.
func TestServerTakenForEndedIsSentNoGrants(t *testing.T) {
	s := startSilentServer(t)
	assert.Assert(t, !s.host.ConnectedTo(mtid.ServerIncarnation{Server: "one"}))
}

// Guards against a running server that is taken for ended although its heartbeat arrives while the
// connections to it time out.
func TestHeartbeatDuringCheckRefutesEnd(t *testing.T) {
	for name, address := range map[string]func(t *testing.T) string{"silent": listenWithFullQueue, "refused": refusingAddress} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, address(t))
			s.host.CommandExpiry = func() mtclock.Instant { return 0 }
			s.server.incarnation = "one"
			beat := s.newHeartbeat("one", 1)
			s.heartbeat(beat)
			s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
			s.clock.offset.Add(int64(3 * time.Second)) // no heartbeat for so long
			s.host.CheckServer(mtid.ServerIncarnation{Server: "one"})
			beat.Sequence, beat.Accepted = 2, s.clock.Now()
			s.heartbeat(beat)
			time.Sleep(700 * time.Millisecond) // longer than the check takes
			assert.Equal(t, s.record().State, mtbackend.Ready)
		})
	}
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// Guards against a running server that gets no work for the rest of its life, since its daemon took
// it for ended while it was silent.
func TestServerTakenForEndedIsInServiceAfterItsNextHeartbeat(t *testing.T) {
	s := startSilentServer(t)
	late := s.newHeartbeat("one", 2)
	late.OpenedAfter, late.Accepted = s.clock.Now().Add(-time.Second), s.clock.Now() // its sender may have ended since
	s.heartbeat(late)
	assert.Equal(t, s.record().State, mtbackend.Ended)
	next := s.newHeartbeat("one", 3)
	next.OpenedAfter = s.clock.Now()
	s.heartbeat(next)
	s.waitFor("the server is in service", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	assert.Equal(t, s.refusalCause(false), mtreply.Cause(""))
}

// Guards against a server whose process has ended and that comes back into service by a heartbeat.
func TestServerThatRefusedConnectionsStaysEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := newFixture(t, listener.Addr().String())
	beat := s.newHeartbeat("one", 1)
	s.server.incarnation = "one"
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	assert.NilError(t, listener.Close())
	s.host.CheckServer(mtid.ServerIncarnation{Server: "one"})
	s.waitFor("the end is published", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
	next := s.newHeartbeat("one", 2)
	next.OpenedAfter = s.clock.Now()
	s.heartbeat(next)
	assert.Equal(t, s.record().State, mtbackend.Ended)
}

// Guards against innocent requests that are refused since they were running at servers that were
// silent for a while. A loss counts once the next incarnation has proved the end.
func TestSilenceBringsNoSuspicionBeforeEndIsProven(t *testing.T) {
	listener := newQuietListener(t)
	s := newFixture(t, listener.address)
	var losses atomic.Int32
	s.host.PublishLoss = func(mtpoison.Loss) { losses.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	running := make(chan struct{})
	s.server.answer = func(ctx context.Context) (*mtcall.Answer, error) {
		close(running)
		<-ctx.Done()
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseTimeout, Err: ctx.Err()}
	}
	ended := make(chan struct{})
	s.server.mu.Lock()
	s.server.incarnation = "one"
	s.server.mu.Unlock()
	go func() {
		defer close(ended)
		s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
		_, _ = s.host.Run(ctx, s.call(false))
	}()
	s.host.CommandExpiry = func() mtclock.Instant { return 0 }
	beat := s.newHeartbeat("one", 1)
	s.heartbeat(beat)
	<-running
	s.silence(listener)
	assert.Equal(t, losses.Load(), int32(0))
	s.server.mu.Lock()
	s.server.incarnation = "two"
	s.server.mu.Unlock()
	s.heartbeat(s.newHeartbeat("two", 1))
	s.waitFor("the next incarnation is known", func(r mtbackend.Record) bool { return r.Incarnation.Server == "two" })
	assert.Equal(t, losses.Load(), int32(1))
	cancel()
	<-ended
}

// quietListener accepts nothing by itself; the kernel completes the connections that fit into its
// queue.
type quietListener struct {
	t       *testing.T
	address string
}

// quietQueue is the queue of a quietListener, which has room for liveness connections.
const quietQueue = 4

func newQuietListener(t *testing.T) *quietListener {
	t.Helper()
	return &quietListener{t: t, address: listen(t, quietQueue)}
}

// fill makes further connections time out.
func (l *quietListener) fill() {
	l.t.Helper()
	fillQueue(l.t, l.address)
}
