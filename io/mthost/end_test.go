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

// The server says that it leaves. Once that is acknowledged, calls without a key
// go elsewhere at once; keyed ones are served while their keys move, but not
// beyond the time in which new work may reach it.
func TestALeavingServerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(s *stand){
		"says so": func(s *stand) {
			b := s.beat("life", 2)
			b.Draining = true
			s.hear(b)
		},
		"takes itself out": func(s *stand) { s.host.Leave(mtid.ServerIncarnation{Server: "life"}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, "127.0.0.1:1")
			s.ready("life")
			assert.Equal(t, s.cause(false), mtreply.Cause(""))
			leave(s)
			assert.Equal(t, s.record().State, mtbackend.Draining)
			assert.Equal(t, s.cause(false), mtreply.CauseDraining)
			assert.Equal(t, s.cause(true), mtreply.Cause(""))
			s.until("keyed calls are refused too", func(mtbackend.Record) bool { return s.cause(true) == mtreply.CauseDraining })
			s.host.Beat(s.beat("life", 3)) // a beat that says ready again, held up
			assert.Equal(t, s.record().State, mtbackend.Draining)
		})
	}
}

// The store is away and the daemon has just been restarted. Its server says that it
// leaves; that is acknowledged, but the daemon can't bring the server into service yet,
// since it knows no assignment. Once the store is back it did, counted the time for new
// work from then, and calls reached the server 2.0 s after the acknowledgement: "new life
// of the server could not be cleared" for a second, then "ready", "draining", "granted".
// A former process of the daemon may have acknowledged it even earlier, so that no new
// work reaches the server at all.
func TestALeavingBindsFromItsAcknowledgement(t *testing.T) {
	for name, leave := range map[string]func(s *stand){
		"says so": func(s *stand) {
			b := s.beat("life", 1)
			b.Draining = true
			s.hear(b)
		},
		"says so before it can be asked": func(s *stand) {
			s.mu.Lock()
			s.path = ""
			s.mu.Unlock()
			b := s.beat("life", 1)
			b.Draining = true
			s.hear(b)
			s.hear(b)
			s.mu.Lock()
			s.path = "/health"
			s.mu.Unlock()
		},
		"takes itself out": func(s *stand) {
			s.hear(s.beat("life", 1))
			s.host.Leave(mtid.ServerIncarnation{Server: "life"})
		},
		"takes itself out before anything else": func(s *stand) {
			s.host.Leave(mtid.ServerIncarnation{Server: "life"})
			s.hear(s.beat("life", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, "server")
			s.server.runs = "life"
			var unread atomic.Bool
			unread.Store(true)
			s.mu.Lock()
			s.clear = func() error {
				if unread.Load() {
					return errors.New("the assignment has not been read yet")
				}
				return nil
			}
			s.mu.Unlock()
			leave(s)
			unread.Store(false)
			s.until("it is known to leave", func(r mtbackend.Record) bool {
				assert.Assert(t, r.State != mtbackend.Ready, "offered to others")
				return r.State == mtbackend.Draining
			})
			assert.Equal(t, s.cause(true), mtreply.CauseDraining)
			assert.Equal(t, s.cause(false), mtreply.CauseDraining)
			s.server.mu.Lock()
			defer s.server.mu.Unlock()
			assert.Equal(t, s.server.calls, 0)
		})
	}
}

// A server has left before its keys have moved. Its callers are refused with the time that
// a move takes; without one they asked again at once, over and over, in vain.
func TestAKeyWhoseServerHasLeftIsAskedForLater(t *testing.T) {
	s := newStand(t, "server")
	s.ready("life")
	s.host.Close()
	for keyed, wait := range map[bool]bool{true: true, false: false} {
		_, err := s.host.Run(context.Background(), s.call(keyed))
		var refused *mtreply.RefusedError
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Cause, mtreply.CauseDraining)
		assert.Equal(t, refused.RetryAfter > 0, wait, "one without a key is taken elsewhere at once")
	}
}

// A server takes itself out, and says nothing more of that. Its daemon is killed and
// started again. The record of before says that the server leaves; since nobody knows
// for how long it has, it gets no new work at all.
func TestALeavingThatAFormerDaemonAcknowledgedBinds(t *testing.T) {
	former := mtbackend.Record{Daemon: "a", Incarnation: mtid.ServerIncarnation{Server: "life"}, State: mtbackend.Draining}
	for name, order := range map[string]func(s *stand){
		"known before the server": func(s *stand) {
			s.host.Former(former)
			s.hear(s.beat("life", 7))
		},
		"known after the server": func(s *stand) {
			s.ready("life")
			s.host.Former(former)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStand(t, "server")
			s.server.runs = "life"
			order(s)
			s.until("it is known to leave", func(r mtbackend.Record) bool { return r.State == mtbackend.Draining })
			s.until("no new work reaches it", func(mtbackend.Record) bool { return s.cause(true) == mtreply.CauseDraining })
		})
	}
	s := newStand(t, "server")
	s.host.Former(former)
	s.ready("next")
	assert.Equal(t, s.cause(true), mtreply.Cause(""), "another life is not bound")
}

// The process of the server is gone: its port refuses. The daemon says so, so
// that nobody has to wait for the grants to run out. One refusal is no proof.
func TestAServerWhoseProcessIsGoneHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	s := newStand(t, address)
	s.server.runs = "life"
	b := s.beat("life", 1)
	b.Address = address
	s.hear(b)
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer}
	}
	assert.Equal(t, s.cause(false), mtreply.CauseNoServer)
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Ready, "a server that listens was taken for gone")
	assert.NilError(t, listener.Close())
	assert.Equal(t, s.cause(false), mtreply.CauseNoServer)
	s.until("the end is told", func(r mtbackend.Record) bool { return r.State == mtbackend.Ended })
	assert.Equal(t, s.cause(false), mtreply.CauseNoServer)
}

// A leaving server takes no new connections but works on, and holds its keys. Its
// daemon was refused three connections, said that the process had ended, and others
// took the keys over: two servers held them for half a second.
func TestALeavingServerThatRefusesConnectionsHasNotEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := newStand(t, address)
	s.ready("one")
	leaving := s.beat("one", 2)
	leaving.Address, leaving.Draining = address, true
	s.hear(leaving)
	s.until("it is leaving", func(r mtbackend.Record) bool { return r.State == mtbackend.Draining })
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer}
	}
	s.server.mu.Unlock()
	for range 10 {
		s.cause(true)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, s.record().State, mtbackend.Draining)
	}
}

// The same with a daemon that was restarted and has not heard from its server: a leaving
// one may say nothing more. Its daemon said that it had ended, although grants of the
// former daemon were in force, and others took the keys of a server that worked on.
func TestASilentServerOfARestartedDaemonHasNotEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := newStand(t, address)
	var lasts atomic.Int64
	lasts.Store(int64(s.clock.Now().Add(time.Hour)))
	s.host.Lasts = func() mtclock.Instant { return mtclock.Instant(lasts.Load()) }
	s.host.Suspect(mtid.ServerIncarnation{})
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Unknown)
	lasts.Store(int64(s.clock.Now()))
	s.until("the end is told", func(r mtbackend.Record) bool {
		s.host.Suspect(mtid.ServerIncarnation{})
		return r.State == mtbackend.Ended
	})
}

// The same, and the server does end: its orders run out and nobody listens. Its keys
// were never free for others as long as an order could still be in force.
func TestALeavingServerHasEndedOnceItsOrdersHaveRunOut(t *testing.T) {
	s := newStand(t, "server")
	s.ready("one")
	var lasts atomic.Int64
	lasts.Store(int64(s.clock.Now().Add(time.Hour)))
	s.host.Lasts = func() mtclock.Instant { return mtclock.Instant(lasts.Load()) }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	leaving := s.beat("one", 2)
	leaving.Address, leaving.Draining = listener.Addr().String(), true
	assert.NilError(t, listener.Close())
	s.hear(leaving)
	s.host.Suspect(mtid.ServerIncarnation{Server: "one"})
	time.Sleep(400 * time.Millisecond) // longer than the checks take
	assert.Equal(t, s.record().State, mtbackend.Draining)
	lasts.Store(int64(s.clock.Now()))
	s.until("the end is told", func(r mtbackend.Record) bool {
		s.host.Suspect(mtid.ServerIncarnation{Server: "one"})
		return r.State == mtbackend.Ended
	})
}

// A server has begun another life under its name and denies to hold a key, before its
// first beat is heard. Granted again at once, it held the key under the epoch that its
// former life had.
func TestADeniedKeyIsGrantedAgainOnlyAfterABeat(t *testing.T) {
	s := newStand(t, "server")
	s.server.runs = "one"
	fenced := make(chan mtid.KeyNumber, 8)
	s.host.Fenced = func(key mtid.KeyNumber) { fenced <- key }
	s.hear(s.born(100, 1))
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseFenced}
	}
	s.server.mu.Unlock()
	assert.Equal(t, s.cause(true), mtreply.CauseFenced)
	assert.Equal(t, len(fenced), 0, "granted again before a beat")
	s.hear(s.born(100, 2))
	assert.Equal(t, len(fenced), 1)
	assert.Equal(t, s.cause(true), mtreply.CauseFenced)
	s.hear(s.born(200, 1))
	s.until("the new life is known", func(r mtbackend.Record) bool { return r.Incarnation.Started == 200 })
	assert.Equal(t, len(fenced), 1, "the new life was granted what the former one had")
}

// A request crashes each server that runs it, and its caller sends it again under new
// identifiers, for as long as the server is back. Of a request that has crashed three
// servers no more than three further tries may reach one; each costs a server's keys
// some seconds, and all others that were in flight there.
func TestARequestThatCrashesItsServersIsContained(t *testing.T) {
	s := newStand(t, "server")
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: errors.New("connection reset")}
	}
	for n := range 13 {
		s.ready(mtid.Server(fmt.Sprintf("life-%d", n)))
		call := s.call(true)
		call.ID = mtcall.ID(strconv.Itoa(n))
		_, err := s.host.Run(context.Background(), call)
		assert.Assert(t, err != nil)
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	assert.Assert(t, s.server.calls <= 6, "%d lives were given the request", s.server.calls)
}
