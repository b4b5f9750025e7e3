package mthost_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// A server announces that it is leaving. Once that is acknowledged, calls without a key are
// refused at once; keyed ones are served while their keys move, but not beyond the time in
// which new work may reach the server.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(s *fixture){
		"heartbeat": func(s *fixture) {
			b := s.newHeartbeat("server-1", 2)
			b.Draining = true
			s.heartbeat(b)
		},
		"deregistration": func(s *fixture) { s.host.Deregister(mtid.ServerIncarnation{Server: "server-1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, "127.0.0.1:1")
			s.startServer("server-1")
			assert.Equal(t, s.refusalCause(false), mtreply.Cause(""))
			leave(s)
			assert.Equal(t, s.record().State, mtbackend.Draining)
			assert.Equal(t, s.refusalCause(false), mtreply.CauseDraining)
			assert.Equal(t, s.refusalCause(true), mtreply.Cause(""))
			s.waitFor("keyed calls are refused too", func(mtbackend.Record) bool { return s.refusalCause(true) == mtreply.CauseDraining })
			s.host.ObserveHeartbeat(s.newHeartbeat("server-1", 3)) // a delayed heartbeat that reports ready again
			assert.Equal(t, s.record().State, mtbackend.Draining)
		})
	}
}

// The store is unavailable and the daemon has just been restarted. It acknowledges that its
// server is leaving, but can't bring the server into service yet, since it has no
// assignment. When it counted the time for new work from when the store was available
// again, calls reached the server 2.0 s after the acknowledgement: "new life of the server
// could not be cleared" for a second, then "ready", "draining", "granted". A previous
// process of the daemon may have acknowledged even earlier, so no new work may reach the
// server at all.
func TestLeavingAcknowledgedBeforeServiceIsBinding(t *testing.T) {
	for name, leave := range map[string]func(s *fixture){
		"heartbeat": func(s *fixture) {
			b := s.newHeartbeat("server-1", 1)
			b.Draining = true
			s.heartbeat(b)
		},
		"heartbeat before the server can be queried": func(s *fixture) {
			s.mu.Lock()
			s.path = ""
			s.mu.Unlock()
			b := s.newHeartbeat("server-1", 1)
			b.Draining = true
			s.heartbeat(b)
			s.heartbeat(b)
			s.mu.Lock()
			s.path = "/health"
			s.mu.Unlock()
		},
		"deregistration": func(s *fixture) {
			s.heartbeat(s.newHeartbeat("server-1", 1))
			s.host.Deregister(mtid.ServerIncarnation{Server: "server-1"})
		},
		"deregistration before any heartbeat": func(s *fixture) {
			s.host.Deregister(mtid.ServerIncarnation{Server: "server-1"})
			s.heartbeat(s.newHeartbeat("server-1", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, "server")
			s.server.incarnation = "server-1"
			var assignmentUnread atomic.Bool
			assignmentUnread.Store(true)
			s.mu.Lock()
			s.clear = func() error {
				if assignmentUnread.Load() {
					return errors.New("the assignment has not been read yet")
				}
				return nil
			}
			s.mu.Unlock()
			leave(s)
			assignmentUnread.Store(false)
			s.waitFor("the server is draining", func(r mtbackend.Record) bool {
				assert.Assert(t, r.State != mtbackend.Ready, "published as ready")
				return r.State == mtbackend.Draining
			})
			assert.Equal(t, s.refusalCause(true), mtreply.CauseDraining)
			assert.Equal(t, s.refusalCause(false), mtreply.CauseDraining)
			s.server.mu.Lock()
			defer s.server.mu.Unlock()
			assert.Equal(t, s.server.calls, 0)
		})
	}
}

// A server has left before its keys have moved. The refusals include the time that a move
// takes; without it callers retried at once, again and again, without success.
func TestRefusalOfKeyWhoseServerLeftHasRetryAfter(t *testing.T) {
	s := newFixture(t, "server")
	s.startServer("server-1")
	s.host.Close()
	for keyed, wait := range map[bool]bool{true: true, false: false} {
		_, err := s.host.Run(context.Background(), s.call(keyed))
		var refused *mtreply.RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Cause, mtreply.CauseDraining)
		assert.Equal(t, refused.RetryAfter > 0, wait, "only calls without a key can be retried elsewhere at once")
	}
}

// A server deregisters, which it does not repeat, and its daemon is killed and restarted.
// The daemon's previous record shows that the server is draining. Since it is unknown for
// how long, the server gets no new work at all.
func TestLeavingAcknowledgedByPreviousProcessIsBinding(t *testing.T) {
	previous := mtbackend.Record{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "server-1"}, State: mtbackend.Draining}
	for name, deliver := range map[string]func(s *fixture){
		"record before heartbeat": func(s *fixture) {
			s.host.ProcessPreviousRecord(previous)
			s.heartbeat(s.newHeartbeat("server-1", 7))
		},
		"record after heartbeat": func(s *fixture) {
			s.startServer("server-1")
			s.host.ProcessPreviousRecord(previous)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, "server")
			s.server.incarnation = "server-1"
			deliver(s)
			s.waitFor("the server is draining", func(r mtbackend.Record) bool { return r.State == mtbackend.Draining })
			s.waitFor("no new work reaches the server", func(mtbackend.Record) bool { return s.refusalCause(true) == mtreply.CauseDraining })
		})
	}
	s := newFixture(t, "server")
	s.host.ProcessPreviousRecord(previous)
	s.startServer("next")
	assert.Equal(t, s.refusalCause(true), mtreply.Cause(""), "the next incarnation is not bound")
}

// The server's process has terminated and its port refuses connections. The daemon
// publishes that, so that no claimant has to wait for the grants to expire. A single
// refused connection is not sufficient.
func TestTerminatedServerProcessIsDetected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	s := newFixture(t, address)
	s.server.incarnation = "server-1"
	b := s.newHeartbeat("server-1", 1)
	b.Address = address
	s.heartbeat(b)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer}
	}
	assert.Equal(t, s.refusalCause(false), mtreply.CauseNoServer)
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Ready, "a listening server was considered terminated")
	assert.NilError(t, listener.Close())
	assert.Equal(t, s.refusalCause(false), mtreply.CauseNoServer)
	s.waitFor("the end is published", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
	assert.Equal(t, s.refusalCause(false), mtreply.CauseNoServer)
}

// A leaving server accepts no new connections but continues to work and holds its keys.
// When its daemon treated three refused connections as the end of the process, others took
// over the keys, and two servers held them for half a second.
func TestLeavingServerThatRefusesConnectionsHasNotEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := newFixture(t, address)
	s.startServer("one")
	leaving := s.newHeartbeat("one", 2)
	leaving.Address, leaving.Draining = address, true
	s.heartbeat(leaving)
	s.waitFor("the server is draining", func(r mtbackend.Record) bool { return r.State == mtbackend.Draining })
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer}
	}
	s.server.mu.Unlock()
	for range 10 {
		s.refusalCause(true)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, s.record().State, mtbackend.Draining)
	}
}

// The same with a restarted daemon that has received no heartbeat from its server: a
// leaving one may send none. When the daemon published that it had ended although grants of
// the previous daemon process were in force, others took over the keys of a running server.
func TestUnknownServerHasNotEndedWhileCommandsAreInForce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := newFixture(t, address)
	var commandExpiry atomic.Int64
	commandExpiry.Store(int64(s.clock.Steady().Add(time.Hour)))
	s.host.CommandExpiry = func() mtclock.Instant { return mtclock.Instant(commandExpiry.Load()) }
	s.host.CheckServer(mtid.ServerIncarnation{})
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Unknown)
	commandExpiry.Store(int64(s.clock.Steady()))
	s.waitFor("the end is published", func(r mtbackend.Record) bool {
		s.host.CheckServer(mtid.ServerIncarnation{})
		return r.State == mtbackend.Ended
	})
}

// The same, but the server does end: its commands expire and nothing listens. Its keys must
// not become free for others while a command could still be in force.
func TestLeavingServerHasEndedOnceItsCommandsExpire(t *testing.T) {
	s := newFixture(t, refusingAddress(t))
	s.startServer("one")
	var commandExpiry atomic.Int64
	commandExpiry.Store(int64(s.clock.Steady().Add(time.Hour)))
	s.host.CommandExpiry = func() mtclock.Instant { return mtclock.Instant(commandExpiry.Load()) }
	leaving := s.newHeartbeat("one", 2)
	leaving.Draining = true
	s.heartbeat(leaving)
	s.host.CheckServer(mtid.ServerIncarnation{Server: "one"})
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Draining)
	commandExpiry.Store(int64(s.clock.Steady()))
	s.waitFor("the end is published", func(r mtbackend.Record) bool {
		s.host.CheckServer(mtid.ServerIncarnation{Server: "one"})
		return r.State == mtbackend.Ended
	})
}

// A server has restarted under the same name and denies holding a key before its first
// heartbeat is received. When it was granted the key again at once, it held it under the
// epoch of the previous incarnation.
func TestDeniedKeyIsGrantedAgainOnlyAfterHeartbeat(t *testing.T) {
	s := newFixture(t, "server")
	s.server.incarnation = "one"
	fenced := make(chan mtid.KeyNumber, 8)
	s.host.OnKeyDenied = func(key mtid.KeyNumber) { fenced <- key }
	s.heartbeat(s.heartbeatStartedAt(100, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseFenced}
	}
	s.server.mu.Unlock()
	assert.Equal(t, s.refusalCause(true), mtreply.CauseFenced)
	assert.Equal(t, len(fenced), 0, "granted again before a heartbeat")
	s.heartbeat(s.heartbeatStartedAt(100, 2))
	assert.Equal(t, len(fenced), 1)
	assert.Equal(t, s.refusalCause(true), mtreply.CauseFenced)
	s.heartbeat(s.heartbeatStartedAt(200, 1))
	s.waitFor("the new incarnation is known", func(r mtbackend.Record) bool { return r.Incarnation.Started == 200 })
	assert.Equal(t, len(fenced), 1, "the new incarnation was granted keys of the previous one")
}

// A request crashes every server that runs it, and its caller resends it under new
// identifiers whenever the server has restarted. After it has crashed three servers, no
// more than three further attempts may reach one: each makes a server's keys unavailable
// for some seconds and loses all other requests in flight there.
func TestRequestThatCrashesItsServersIsRefused(t *testing.T) {
	s := newFixture(t, "server")
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("connection reset")}
	}
	for n := range 13 {
		s.startServer(mtid.Server(fmt.Sprintf("server-%d", n)))
		call := s.call(true)
		call.ID = mtcall.ID(strconv.Itoa(n))
		_, err := s.host.Run(context.Background(), call)
		assert.Assert(t, err != nil)
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	assert.Assert(t, s.server.calls <= 6, "%d incarnations were sent the request", s.server.calls)
}
