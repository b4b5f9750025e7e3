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
	"magnoliaturn/core/mtreply"
)

// busy waits until as many calls run and wait.
func (s *stand) busy(running, waiting int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		load := s.host.Load()
		if load.Running == running && load.Waiting == waiting {
			return poll.Success()
		}
		return poll.Continue("%d run, %d wait", load.Running, load.Waiting)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// A zone is taken out of service while calls run and wait at its server: the waiting ones
// are handed back at once, and nothing more begins until the zone is back.
func TestAZoneOutOfServiceBeginsNothing(t *testing.T) {
	s := newStand(t, "server")
	s.ready("i-1")
	ends := make(chan struct{})
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		<-ends
		return &mtcall.Answer{Status: 200}, nil
	}
	s.server.mu.Unlock()
	results := make(chan error, 3)
	for range 3 { // two slots
		go func() {
			_, err := s.host.Run(context.Background(), s.call(false))
			results <- err
		}()
	}
	s.busy(2, 1)
	s.host.ZoneOut(7, s.clock.Now())
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(<-results, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseZoneOut)
	assert.Equal(t, s.cause(false), mtreply.CauseZoneOut)
	close(ends)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	s.host.ZoneBack()
	assert.Equal(t, s.cause(false), mtreply.Cause(""))
}

// Keys of a server in such a zone are served until they have moved, but not beyond the
// bound of the order, and not again by the server's next life.
func TestKeysAreServedUntilTheBoundOfTheOrder(t *testing.T) {
	s := newStand(t, "server")
	s.keyed.Store(true)
	s.ready("i-1")
	s.host.ZoneOut(7, s.clock.Now().Add(400*time.Millisecond))
	assert.Equal(t, s.cause(true), mtreply.Cause(""))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.cause(true) == mtreply.CauseZoneOut {
			return poll.Success()
		}
		return poll.Continue("keys are served")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	s.ready("i-2")
	assert.Equal(t, s.cause(true), mtreply.CauseZoneOut)
	s.host.ZoneBack()
	assert.Equal(t, s.cause(true), mtreply.Cause(""))
}

// burst runs as many calls at once, gives them up after a time, and returns how many
// reached the server.
func (s *stand) burst(calls int, within time.Duration) int {
	s.t.Helper()
	return s.burstOf(false, calls, within)
}

// burstOf is burst with calls for a key or without one.
func (s *stand) burstOf(keyed bool, calls int, within time.Duration) int {
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

// A server says in its beat that it is cold: it is given few calls, and more once it says
// that it is warm.
func TestAColdServerIsGivenFewCalls(t *testing.T) {
	s := newStand(t, "server")
	s.host.Warmup(3)
	s.server.runs = "i-1"
	cold := s.beat("i-1", 1)
	cold.Cold, cold.Connected = 3*time.Second, s.clock.Now()
	s.hear(cold)
	s.until("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
	warm := s.beat("i-1", 2)
	warm.Connected = s.clock.Now()
	s.hear(warm)
	assert.Equal(t, s.burst(12, 20*time.Second), 12)
}

// A zone comes back into service, and its servers have become cold meanwhile without a beat
// that says so: they are taken for cold until they tell otherwise.
func TestAServerWhoseZoneIsBackIsTakenForCold(t *testing.T) {
	s := newStand(t, "server")
	s.host.Warmup(3)
	s.ready("i-1")
	s.host.ZoneOut(7, s.clock.Now())
	s.server.mu.Lock()
	s.server.cold = 5 * time.Second
	s.server.mu.Unlock()
	s.host.ZoneBack()
	late := s.beat("i-1", 2)
	late.Connected = 1 // on its way since before
	s.hear(late)
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
}

// A zone is out of service for a moment only, with keys still at its servers, which become
// cold at its end, before anybody says so: they are spared from the order on.
func TestAServerIsSparedWhileItsZoneIsOut(t *testing.T) {
	s := newStand(t, "server")
	s.keyed.Store(true)
	s.host.Warmup(3)
	s.ready("i-1")
	s.host.ZoneOut(7, s.clock.Now().Add(time.Hour))
	assert.Assert(t, s.burstOf(true, 12, 500*time.Millisecond) <= 3)
}

// A daemon is paused while its server's zone is taken out of service and put back, and goes on
// as though nothing had happened: its server is cold by then, and no beat has said so.
func TestADaemonThatWasPausedTakesItsServerForCold(t *testing.T) {
	s := newStand(t, "server")
	s.host.Warmup(3)
	s.ready("i-1")
	s.server.mu.Lock()
	s.server.cold = 5 * time.Second
	s.server.mu.Unlock()
	s.clock.passed.Add(int64(4 * time.Second))
	assert.Assert(t, s.burst(12, 500*time.Millisecond) <= 3)
}
