package mthost_test

import (
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mthost"
)

// Guards against another sender, with an address of its own, that is taken for the server of this VM.
func TestHeartbeatThatNamesAnotherAddressIsRejected(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("one")
	for _, address := range []string{"", ":1", "h.invalid:1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65537", "127.0.0.1:9", "127.1:1", "[::1]:1", "0x7f.0.0.1:1"} {
		for sequence := range uint64(3) {
			b := s.newHeartbeat("other", 1+sequence)
			b.Address = address
			var foreign *mthost.AddressError
			assert.Assert(t, errors.As(s.host.ObserveHeartbeat(b), &foreign), address)
		}
	}
	known, address := s.host.Record()
	assert.Equal(t, known.Incarnation.Server, mtid.Server("one"))
	assert.Equal(t, address, "127.0.0.1:1")
}

// Guards against a server that gets no work because it spells its address in another way than the settings.
func TestEqualSpellingsOfTheServersAddressCount(t *testing.T) {
	for configured, named := range map[string][]string{
		"127.0.0.1:80": {"127.0.0.1:80", "[::ffff:127.0.0.1]:80", "127.0.0.1:080"}, "[::1]:80": {"[0:0:0:0:0:0:0:1]:80"}, "h.invalid:80": {"h.invalid:80"},
	} {
		for _, address := range named {
			s := newFixture(t, configured)
			b := s.newHeartbeat("one", 1)
			b.Address = address
			s.heartbeat(b)
			_, used := s.host.Record()
			assert.Equal(t, used, configured)
		}
	}
}

// beat returns a heartbeat on a connection that is opened now.
func (s *fixture) beat(incarnation mtid.ServerIncarnation, sequence uint64) mtbackend.Heartbeat {
	b := s.newHeartbeat(incarnation.Server, sequence)
	b.Incarnation = incarnation
	b.OpenedAfter, b.Accepted = s.clock.Now(), s.clock.Now()
	return b
}

// answer makes the server answer health checks with a name; none if it is empty.
func (s *fixture) answer(name mtid.Server) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.server.incarnation = name
}

// setPublish sets a function that is called with each record, besides what the fixture does with it.
func (s *fixture) setPublish(observe func(mtbackend.Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// sendForeign delivers heartbeats of another sender, and checks that each is rejected or leaves the known incarnation current.
func (s *fixture) sendForeign(incarnation mtid.ServerIncarnation, first, last uint64) {
	s.t.Helper()
	before, _ := s.host.Record()
	for sequence := first; sequence <= last; sequence++ {
		if err := s.host.ObserveHeartbeat(s.beat(incarnation, sequence)); err != nil {
			var foreign *mthost.ForeignSenderError
			assert.Assert(s.t, errors.As(err, &foreign), "%v", err)
		}
		known, _ := s.host.Record()
		assert.Equal(s.t, known.Incarnation, before.Incarnation)
	}
}

// awaitRejected waits until heartbeats of another sender are rejected, and returns the next sequence number.
func (s *fixture) awaitRejected(incarnation mtid.ServerIncarnation) uint64 {
	s.t.Helper()
	sequence := uint64(1)
	s.waitFor("the sender is rejected", func(mtbackend.Record) bool {
		s.sendForeign(incarnation, sequence, sequence)
		sequence++
		var foreign *mthost.ForeignSenderError
		return errors.As(s.host.ObserveHeartbeat(s.beat(incarnation, 0)), &foreign)
	})
	return sequence
}

var (
	one   = mtid.ServerIncarnation{Server: "one", Started: 100}
	two   = mtid.ServerIncarnation{Server: "two"}
	other = mtid.ServerIncarnation{Server: "other"}
)

// Guards against another sender that is taken for the server because it goes on after the server's answer has refuted it.
func TestRefutedSenderNeverReplacesServer(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.answer("one")
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	next := s.awaitRejected(other)
	s.answer("") // too busy
	s.sendForeign(other, next, next+50)
	// Its successor is noticed by its second heartbeat.
	s.heartbeat(s.beat(two, 1))
	s.heartbeat(s.beat(two, 2))
	s.waitFor("the successor is ready", func(r mtbackend.Record) bool { return r.Incarnation == two && r.AcceptsWork() })
	s.sendForeign(other, next+51, next+60)
}

// Guards against another sender that is taken for the server while the server is too busy to answer health checks.
func TestServerWhoseProcessRunsIsNotReplaced(t *testing.T) {
	for name, sender := range map[string]mtid.ServerIncarnation{"a name of its own": other, "the server's name and a later start": {Server: "one", Started: 200}} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, "")
			s := newFixture(t, p.address())
			s.answer("one")
			s.heartbeat(s.beat(one, 1))
			s.waitFor("the server is connected", func(mtbackend.Record) bool { return s.host.ConnectedTo(one) })
			if sender.Server != one.Server {
				s.answer("")
			}
			s.sendForeign(sender, 1, 50)
			p.end()
			s.waitFor("the server is disconnected", func(mtbackend.Record) bool { return !s.host.ConnectedTo(one) })
			newProcess(t, p.address())
			s.answer("")
			s.heartbeat(s.beat(two, 1))
			s.heartbeat(s.beat(two, 2))
			s.waitFor("its successor is known", func(mtbackend.Record) bool {
				known, _ := s.host.Record()
				return known.Incarnation == two
			})
		})
	}
}

// Guards against a server that is out of service for the rest of its life because another sender was taken for its successor.
func TestServerThatWasWronglyReplacedComesBack(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.answer("one")
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.answer("")
	s.heartbeat(s.beat(other, 1))
	s.heartbeat(s.beat(other, 2))
	s.waitFor("the sender is taken for the server", func(r mtbackend.Record) bool { return r.Incarnation == other })
	var ended atomic.Bool
	s.setPublish(func(r mtbackend.Record) { ended.Store(ended.Load() || r.State == mtbackend.Ended) })
	s.answer("one")
	s.heartbeat(s.beat(one, 2))
	s.waitFor("the server is ready again", func(r mtbackend.Record) bool { return r.Incarnation == one && r.AcceptsWork() })
	assert.Assert(t, ended.Load(), "it may be granted keys that were taken over meanwhile")
	s.sendForeign(other, 3, 20)
}

// Guards against a sender that is taken for the server before the server has started.
func TestNoSenderIsTheServerWhereNothingListens(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.server.mu.Lock()
	s.server.failure = syscall.ECONNREFUSED
	s.server.mu.Unlock()
	s.heartbeat(s.beat(other, 1))
	s.waitFor("the server was queried", func(mtbackend.Record) bool {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		return s.server.queries > 1
	})
	s.sendForeign(other, 2, 20)
	s.answer("one")
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation == one && r.AcceptsWork() })
}

// Guards against a server that is never noticed because heartbeats of another sender come between its own.
func TestServerIsNoticedAmongOtherSenders(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.answer("one")
	s.mu.Lock()
	s.path = "" // it can't be queried yet
	s.mu.Unlock()
	s.heartbeat(s.beat(one, 1))
	for n := range uint64(20) {
		s.heartbeat(s.beat(mtid.ServerIncarnation{Server: mtid.Server(fmt.Sprint("other-", n))}, 1))
	}
	s.mu.Lock()
	s.path = "/health"
	s.mu.Unlock()
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation == one && r.AcceptsWork() })
}

// Guards against a server whose heartbeats all count as late because another sender used its name and the largest number.
func TestLaterHeartbeatCountsWhateverItsNumber(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.answer("one")
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	before := s.beat(one, 2)
	made := s.beat(one, math.MaxUint64)
	made.Slots = 1
	s.heartbeat(made)
	assert.Equal(t, s.record().Slots, 1)
	s.heartbeat(before)
	assert.Equal(t, s.record().Slots, 1, "a late heartbeat counted")
	s.heartbeat(s.beat(one, 3))
	assert.Equal(t, s.record().Slots, before.Slots)
}

// Guards against a leaving server that gets new work because deregistrations of other senders displaced its own.
func TestDeregistrationsOfOtherSendersDisplaceNoLeaving(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.answer("one")
	var assignmentRead atomic.Bool
	s.mu.Lock()
	s.clear = func() error {
		if assignmentRead.Load() {
			return nil
		}
		return errors.New("the assignment has not been read yet")
	}
	s.mu.Unlock()
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is known", func(mtbackend.Record) bool {
		known, _ := s.host.Record()
		return known.Incarnation == one
	})
	s.host.Deregister(one)
	for n := range 200 {
		s.host.Deregister(mtid.ServerIncarnation{Server: mtid.Server(fmt.Sprint("other-", n))})
	}
	assignmentRead.Store(true)
	s.waitFor("the server is draining", func(r mtbackend.Record) bool {
		assert.Assert(t, r.State != mtbackend.Ready, "published as ready")
		return r.State == mtbackend.Draining
	})
	assert.Equal(t, s.refusalCause(false), mtreply.CauseDraining)
}

// Guards against a server that waits for its next heartbeat because an earlier incarnation was being cleared when it came.
func TestClearingOfFormerIncarnationDelaysNoServer(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	var started atomic.Int64
	release := make(chan struct{})
	s.mu.Lock()
	s.clear = func() error {
		if started.Add(1) == 1 {
			<-release
		}
		return nil
	}
	s.mu.Unlock()
	s.answer("other")
	s.heartbeat(s.beat(other, 1))
	s.waitFor("the first is being cleared", func(mtbackend.Record) bool { return started.Load() == 1 })
	s.answer("one")
	s.heartbeat(s.beat(one, 1))
	s.waitFor("the server is known", func(mtbackend.Record) bool {
		known, _ := s.host.Record()
		return known.Incarnation == one
	})
	close(release)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation == one && r.AcceptsWork() })
}
