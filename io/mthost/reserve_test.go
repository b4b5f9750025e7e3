package mthost_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtcall"
)

type priorityKey struct{}

// firstStarted returns the priority of the call that starts first of two that wait: a
// patient one that came first, and an urgent one.
func firstStarted(t *testing.T, reserve bool) int {
	s := newFixture(t, "127.0.0.1:1")
	s.host.Overload.Reserve = reserve
	s.startServer("i-1")
	s.startServer("i-2") // the gate of a new incarnation has the policy
	release, startedFirst := make(chan struct{}), make(chan int, 4)
	s.server.mu.Lock()
	s.server.answer = func(ctx context.Context) (*mtcall.Answer, error) {
		startedFirst <- ctx.Value(priorityKey{}).(int)
		<-release
		return &mtcall.Answer{Status: 200}, nil
	}
	s.server.mu.Unlock()
	t.Cleanup(func() { close(release) })
	run := func(priority int, objective time.Duration) {
		call := s.call(false)
		now := s.clock.Now()
		call.Priority, call.Objective, call.Deadline = priority, now.Add(objective), now.Add(time.Minute)
		go func() { _, _ = s.host.Run(context.WithValue(context.Background(), priorityKey{}, priority), call) }()
	}
	for range s.record().Slots {
		run(1, 20*time.Second)
		<-startedFirst
	}
	for i, priority := range []int{2, 0} {
		run(priority, time.Duration(20+i)*time.Second)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if s.host.Load().Waiting == i+1 {
				return poll.Success()
			}
			return poll.Continue("the call doesn't wait yet")
		}, poll.WithDelay(time.Millisecond))
	}
	release <- struct{}{}
	return <-startedFirst
}

// The priority of a call must reach the gate: otherwise the policy has nothing to decide by.
func TestPriorityOfCallReachesGate(t *testing.T) {
	assert.Equal(t, firstStarted(t, true), 0)
	assert.Equal(t, firstStarted(t, false), 2)
}
