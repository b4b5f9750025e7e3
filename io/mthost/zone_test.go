package mthost_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// waitForLoad waits until the given numbers of calls run and wait.
func (s *fixture) waitForLoad(running, waiting int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		load := s.host.Load()
		if load.Running == running && load.Waiting == waiting {
			return poll.Success()
		}
		return poll.Continue("%d calls run, %d wait", load.Running, load.Waiting)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// A zone is taken out of service while calls run and wait at its server: the waiting ones
// are refused at once, and no further call starts until the zone is back in service.
func TestZoneOutOfServiceStartsNoCalls(t *testing.T) {
	s := newFixture(t, "server")
	s.startServer("i-1")
	ends := make(chan struct{})
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		<-ends
		return &mtcall.Answer{Status: 200}, nil
	}
	s.server.mu.Unlock()
	results := make(chan error, 3)
	for range 3 { // one more than there are slots
		go func() {
			_, err := s.host.Run(context.Background(), s.call(false))
			results <- err
		}()
	}
	s.waitForLoad(2, 1)
	s.host.ZoneOut(7, s.clock.Now())
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(<-results, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseZoneOut)
	assert.Equal(t, s.refusalCause(false), mtreply.CauseZoneOut)
	close(ends)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	s.host.ZoneBack()
	assert.Equal(t, s.refusalCause(false), mtreply.Cause(""))
}

// Keys of a server in a zone out of service are served until they have moved, but not
// beyond the deadline of the order, and not again by the server's next incarnation.
func TestKeysAreServedUntilZoneOrderDeadline(t *testing.T) {
	s := newFixture(t, "server")
	s.keyed.Store(true)
	s.startServer("i-1")
	s.host.ZoneOut(7, s.clock.Now().Add(400*time.Millisecond))
	assert.Equal(t, s.refusalCause(true), mtreply.Cause(""))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.refusalCause(true) == mtreply.CauseZoneOut {
			return poll.Success()
		}
		return poll.Continue("keys are still served")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	s.startServer("i-2")
	assert.Equal(t, s.refusalCause(true), mtreply.CauseZoneOut)
	s.host.ZoneBack()
	assert.Equal(t, s.refusalCause(true), mtreply.Cause(""))
}

// burst runs the given number of calls at once, cancels them after a time, and returns how
// many reached the server.
func (s *fixture) burst(calls int, within time.Duration) int {
	s.t.Helper()
	return s.burstOf(false, calls, within)
}

// burstOf is burst for calls with or without a key.
func (s *fixture) burstOf(keyed bool, calls int, within time.Duration) int {
	s.server.mu.Lock()
	before := s.server.calls
	s.server.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var done sync.WaitGroup
	for range calls {
		done.Go(func() { _, _ = s.host.Run(ctx, s.call(keyed)) })
	}
	done.Wait()
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	return s.server.calls - before
}

// A server that reports in its heartbeat that it is cold gets few calls, and more once it
// reports that it is warm.
func TestColdServerGetsFewCalls(t *testing.T) {
	s := newFixture(t, "server")
	s.host.Warmup(3)
	s.server.incarnation = "i-1"
	cold := s.newHeartbeat("i-1", 1)
	cold.Cold, cold.OpenedAfter = 3*time.Second, s.clock.Now()
	s.heartbeat(cold)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
	warm := s.newHeartbeat("i-1", 2)
	warm.OpenedAfter = s.clock.Now()
	s.heartbeat(warm)
	assert.Equal(t, s.burst(12, 20*time.Second), 12)
}

// Guards against a cold server that gets twice the calls that it may: it has restarted under its own
// name, and calls for its previous incarnation have already reached it.
func TestColdServerRestartedUnderItsNameGetsFewCalls(t *testing.T) {
	s := newFixture(t, "server")
	s.host.Warmup(3)
	s.server.incarnation = "one"
	start := func(at mtid.StartTime) {
		cold := s.heartbeatStartedAt(at, 1)
		cold.Cold, cold.OpenedAfter = 30*time.Second, s.clock.Now()
		s.heartbeat(cold)
		s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.Incarnation.Started == at && r.AcceptsWork() })
	}
	start(100)
	first := 0
	s.waitFor("the calls that a previous daemon may have sent no longer count", func(mtbackend.Record) bool {
		first = s.burst(12, 10*time.Millisecond)
		return first > 0
	})
	start(200)
	assert.Assert(t, first+s.burst(12, 300*time.Millisecond) <= 3, "within a second")
}

// A zone comes back into service, and its servers have become cold without a heartbeat that
// reports it yet: they are treated as cold until they report otherwise.
func TestServerIsAssumedColdWhenZoneReturns(t *testing.T) {
	s := newFixture(t, "server")
	s.host.Warmup(3)
	s.startServer("i-1")
	s.host.ZoneOut(7, s.clock.Now())
	s.server.mu.Lock()
	s.server.cold = 5 * time.Second
	s.server.mu.Unlock()
	s.host.ZoneBack()
	late := s.newHeartbeat("i-1", 2)
	late.OpenedAfter = 1 // on a connection opened before
	s.heartbeat(late)
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
}

// A zone is out of service only briefly, and its servers still hold keys. They become cold
// at the end of that time, before anything reports it, so their call rate is limited from
// the order on.
func TestCallRateIsLimitedWhileZoneIsOutOfService(t *testing.T) {
	s := newFixture(t, "server")
	s.keyed.Store(true)
	s.host.Warmup(3)
	s.startServer("i-1")
	s.host.ZoneOut(7, s.clock.Now().Add(time.Hour))
	assert.Assert(t, s.burstOf(true, 12, 500*time.Millisecond) <= 3)
}

// A daemon is paused while its server's zone is taken out of service and put back. The
// server is cold by then, but no heartbeat has reported it.
func TestServerIsAssumedColdAfterDaemonPause(t *testing.T) {
	s := newFixture(t, "server")
	s.host.Warmup(3)
	s.startServer("i-1")
	s.server.mu.Lock()
	s.server.cold = 5 * time.Second
	s.server.mu.Unlock()
	s.clock.offset.Add(int64(4 * time.Second))
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
}
