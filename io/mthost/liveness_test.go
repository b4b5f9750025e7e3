package mthost_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
)

// process is a listener that accepts connections, and closes them when it ends, as the
// process of a server does.
type process struct {
	listener net.Listener
	accepted chan net.Conn
}

// newProcess listens at an address, or at a free port if it is empty.
func newProcess(t *testing.T, address string) *process {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	p := &process{listener: listener, accepted: make(chan net.Conn, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(p.accepted)
				return
			}
			p.accepted <- conn
		}
	}()
	t.Cleanup(p.end)
	return p
}

func (p *process) address() string { return p.listener.Addr().String() }

// end closes the listener and all connections.
func (p *process) end() {
	_ = p.listener.Close()
	for conn := range p.accepted {
		_ = conn.Close()
	}
}

// A server crashes and another incarnation starts at its address before any heartbeat
// reports it. The next renewal of a grant would reach the new incarnation, which accepts
// it. So no command may be sent from the moment at which the process has ended.
func TestIncarnationIsDisconnectedOnceItsProcessEnds(t *testing.T) {
	first := newProcess(t, "")
	s := newFixture(t, first.address())
	one := mtid.ServerIncarnation{Server: "one"}
	s.server.incarnation = "one"
	previous := s.newHeartbeat("one", 1)
	previous.Address = first.address()
	s.heartbeat(previous)
	s.waitFor("the incarnation is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(one) })
	assert.Assert(t, !s.host.ConnectedTo(mtid.ServerIncarnation{Server: "one", Started: 1}))
	s.server.mu.Lock()
	s.server.incarnation = "two"
	s.server.mu.Unlock()
	first.end()
	newProcess(t, first.address())
	s.waitFor("the incarnation is disconnected", func(mtbackend.Record) bool { return !s.host.ConnectedTo(one) })
	b := s.newHeartbeat("two", 1)
	b.Address = first.address()
	s.heartbeat(b)
	s.waitFor("the new incarnation is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(mtid.ServerIncarnation{Server: "two"}) })
	assert.Assert(t, !s.host.ConnectedTo(one))
}

// The daemon's own connection to the server is reset, although the server has not ended. If
// the name identifies the incarnation, a query confirms it again; otherwise its next
// heartbeat does.
func TestIncarnationIsConfirmedAgainAfterReset(t *testing.T) {
	for name, started := range map[string]mtid.StartTime{"by name": 0, "by heartbeat": 100} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, "")
			s := newFixture(t, p.address())
			incarnation := mtid.ServerIncarnation{Server: "one", Started: started}
			s.server.incarnation = "one"
			heartbeat := func(sequence uint64) mtbackend.Heartbeat {
				b := s.heartbeatStartedAt(started, sequence)
				b.Address, b.OpenedAfter = p.address(), s.clock.Now()
				return b
			}
			s.heartbeat(heartbeat(1))
			s.waitFor("the incarnation is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(incarnation) })
			assert.NilError(t, (<-p.accepted).Close())
			s.waitFor("the reset is detected", func(mtbackend.Record) bool { return !s.host.ConnectedTo(incarnation) || started == 0 })
			if started != 0 {
				time.Sleep(500 * time.Millisecond) // the connection is open again, and the server could be queried
				assert.Assert(t, !s.host.ConnectedTo(incarnation), "confirmed by a name that its next incarnation has too")
			}
			sequence := uint64(2)
			s.waitFor("the incarnation is confirmed again", func(mtbackend.Record) bool {
				if started != 0 {
					s.heartbeat(heartbeat(sequence))
					sequence++
				}
				return s.host.ConnectedTo(incarnation)
			})
			assert.Equal(t, s.record().State, mtbackend.Ready)
		})
	}
}

// A server crashes and restarts under the same name. Its daemon opens a connection to the
// new incarnation, and then a delayed heartbeat of the previous one arrives. When that
// confirmed the incarnation at the other end of the connection, a renewal reached the new
// one under the epoch of the previous one.
func TestLateHeartbeatDoesNotConfirmLivenessConnection(t *testing.T) {
	first := newProcess(t, "")
	s := newFixture(t, first.address())
	s.server.incarnation = "one"
	previous := mtid.ServerIncarnation{Server: "one", Started: 100}
	heartbeat := func(started mtid.StartTime, sequence uint64) mtbackend.Heartbeat {
		b := s.heartbeatStartedAt(started, sequence)
		b.Address = first.address()
		return b
	}
	s.heartbeat(heartbeat(100, 1))
	s.waitFor("the incarnation is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(previous) })
	first.end()
	s.waitFor("the incarnation is disconnected", func(mtbackend.Record) bool { return !s.host.ConnectedTo(previous) })
	opened := s.clock.Now()
	second := newProcess(t, first.address())
	conn := <-second.accepted // opened by the daemon
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // until the daemon has recorded that it is open
	late := heartbeat(100, 2)
	s.heartbeat(late)
	late.OpenedAfter, late.Accepted, late.Sequence = opened.Add(-time.Millisecond), s.clock.Now(), 3
	s.heartbeat(late)
	assert.Assert(t, !s.host.ConnectedTo(previous), "a late heartbeat confirmed the incarnation that answers")
	s.heartbeat(heartbeat(200, 1))
	s.waitFor("the new incarnation is connected", func(mtbackend.Record) bool {
		return s.host.ConnectedTo(mtid.ServerIncarnation{Server: "one", Started: 200})
	})
}

// Guards against a server that is taken for ended, or asked for connection after connection without a
// pause, because it sends bytes without end on each of them.
func TestBytesOnLivenessConnectionDoNotEndServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				for err == nil {
					_, err = conn.Write(make([]byte, 64<<10))
				}
			}()
		}
	}()
	s := newFixture(t, listener.Addr().String())
	s.server.incarnation = "one"
	beat := s.newHeartbeat("one", 1)
	beat.Address = listener.Addr().String()
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	before := accepted.Load()
	time.Sleep(time.Second)
	// A connection each 200 ms, and one more for the check of the process after each.
	assert.Assert(t, accepted.Load()-before <= 12, "%d connections in a second", accepted.Load()-before)
	assert.Equal(t, s.record().State, mtbackend.Ready)
}

// Guards against a command that reaches the next incarnation because the end of the server's process has not been noticed yet.
func TestEndOfProcessCountsBeforeItIsNoticed(t *testing.T) {
	p := newProcess(t, "")
	s := newFixture(t, p.address())
	s.server.incarnation = "one"
	one := mtid.ServerIncarnation{Server: "one", Started: 100}
	for sequence := uint64(1); sequence <= 20; sequence++ {
		s.waitFor("the incarnation is connected", func(mtbackend.Record) bool {
			b := s.heartbeatStartedAt(100, sequence)
			b.Address, b.OpenedAfter = p.address(), s.clock.Now()
			s.heartbeat(b)
			return s.host.ConnectedTo(one)
		})
		for len(p.accepted) > 0 {
			assert.NilError(t, (<-p.accepted).Close())
		}
		assert.Assert(t, !s.host.ConnectedTo(one), "connected after the end, try %d", sequence)
	}
}

// Guards against grants that wait for a heartbeat each time the server closes the idle connection that tells its lives apart.
func TestIncarnationStaysConfirmedWhileServerClosesIdleConnections(t *testing.T) {
	const idleTimeout, unreported = 700 * time.Millisecond, 3 * time.Second
	p := newProcess(t, "")
	closing := make(chan struct{})
	go func() {
		defer close(closing)
		for conn := range p.accepted {
			time.AfterFunc(idleTimeout, func() { _ = conn.Close() })
		}
	}()
	s := newFixture(t, p.address())
	s.server.incarnation = "one"
	one := mtid.ServerIncarnation{Server: "one", Started: 100}
	sequence := uint64(0)
	heartbeat := func() {
		sequence++
		b := s.heartbeatStartedAt(100, sequence)
		b.Address, b.OpenedAfter = p.address(), s.clock.Now()
		s.heartbeat(b)
	}
	heartbeat()
	s.waitFor("the incarnation is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(one) })
	s.waitFor("a connection was closed", func(mtbackend.Record) bool { return !s.host.ConnectedTo(one) })
	s.waitFor("the incarnation is confirmed again", func(mtbackend.Record) bool {
		heartbeat()
		return s.host.ConnectedTo(one)
	})
	for end := time.Now().Add(unreported); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, s.host.ConnectedTo(one), "unconfirmed without a heartbeat")
	}
	p.end()
	<-closing
	s.waitFor("the end of the process is noticed", func(mtbackend.Record) bool { return !s.host.ConnectedTo(one) })
}
