package mthost_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Guards against two servers that own the same keys: one whose queue of connections is full for
// seconds, and whose heartbeats are late, is taken for one that has terminated.
func TestSilentServerHasNotEndedWhileCommandsAreInForce(t *testing.T) {
	s := newFixture(t, "server")
	address := listenWithFullQueue(t)
	s.server.incarnation = "one"
	beat := s.newHeartbeat("one", 1)
	beat.Address = address
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	incarnation := mtid.ServerIncarnation{Server: "one"}
	var commandExpiry atomic.Int64
	commandExpiry.Store(int64(s.clock.Now().Add(time.Hour)))
	s.host.CommandExpiry = func() mtclock.Instant { return mtclock.Instant(commandExpiry.Load()) }
	s.clock.offset.Add(int64(3 * time.Second)) // no heartbeat for so long
	for range 4 {
		s.host.CheckServer(incarnation)
		time.Sleep(400 * time.Millisecond) // longer than the checks take
		assert.Equal(t, s.record().State, mtbackend.Ready)
		assert.Assert(t, !s.host.ConnectedTo(incarnation), "it is sent grants, which prolong that")
	}
	commandExpiry.Store(int64(s.clock.Now()))
	s.waitFor("the end is published", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
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
func startSilentServer(t *testing.T, s *fixture) {
	t.Helper()
	s.host.CommandExpiry = func() mtclock.Instant { return 0 }
	listener := newQuietListener(t)
	s.server.mu.Lock()
	s.server.incarnation = "one"
	s.server.mu.Unlock()
	beat := s.newHeartbeat("one", 1)
	beat.Address = listener.address
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.silence(listener)
}

// Guards against two servers that own the same keys: one that was taken for ended is sent a grant
// that was due, on the connection that it still has.
func TestServerTakenForEndedIsSentNoGrants(t *testing.T) {
	s := newFixture(t, "server")
	startSilentServer(t, s)
	assert.Assert(t, !s.host.ConnectedTo(mtid.ServerIncarnation{Server: "one"}))
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
