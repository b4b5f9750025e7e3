package mthost_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtnested"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtreply"
)

// newBusyFixture returns a host whose server has no free slot, and whose nested calls find no
// room at the service that they call.
func newBusyFixture(t *testing.T, policies mtoverload.Policies) *fixture {
	t.Helper()
	s := newFixture(t, "127.0.0.1:1")
	s.host.Overload = policies
	s.startServer("i-1")
	s.occupySlots()
	for range 20 {
		// Calls that need no nested ones wait for slots too.
		other := s.call(false)
		other.Route, other.Deadline = "desk", s.clock.Now().Add(1)
		s.causeOf(other)
		s.host.ObserveNested(&mtcall.Call{Parent: mtcall.Parent{Route: "plans"}, Service: "desk"}, mtnested.NoRoom)
	}
	return s
}

// occupySlots runs calls in all slots of the server until the end of the test.
func (s *fixture) occupySlots() {
	s.t.Helper()
	release := make(chan struct{})
	s.t.Cleanup(func() { close(release) })
	started := make(chan struct{})
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		started <- struct{}{}
		<-release
		return &mtcall.Answer{Status: 200}, nil
	}
	s.server.mu.Unlock()
	for range s.record().Slots {
		go func() { _, _ = s.host.Run(context.Background(), s.call(false)) }()
		<-started
	}
}

// nestedRefusals offers calls that would be refused at once for the queue, and returns how many
// were refused for their nested calls instead.
func (s *fixture) nestedRefusals(nested bool) int {
	refused := 0
	for range 20 {
		call := s.call(false)
		call.Nested = nested
		call.Objective, call.Deadline = s.clock.Now().Add(1), s.clock.Now().Add(1)
		if s.causeOf(call) == mtreply.CauseNestedFull {
			refused++
		}
	}
	return refused
}

// Failure: calls hold slots although the calls that they make find no room.
func TestCallThatWouldRunInVainIsRefused(t *testing.T) {
	s := newBusyFixture(t, mtoverload.Policies{Nested: true})
	assert.Assert(t, s.nestedRefusals(false) > 10)
	assert.Assert(t, s.host.Status().NestedFull > 10)
}

// Failure: a setting that is off changes who is admitted.
func TestNothingIsRefusedForNestedCallsWithoutPolicy(t *testing.T) {
	assert.Equal(t, newBusyFixture(t, mtoverload.Policies{}).nestedRefusals(false), 0)
}

// Failure: the work of a call is wasted because one of its nested calls is refused.
func TestNestedCallIsNotRefusedForItsOwnNestedCalls(t *testing.T) {
	assert.Equal(t, newBusyFixture(t, mtoverload.Policies{Nested: true}).nestedRefusals(true), 0)
}

// Failure: a new incarnation of the server is judged by the calls of the previous one.
func TestNewIncarnationBeginsWithoutKnowledge(t *testing.T) {
	s := newBusyFixture(t, mtoverload.Policies{Nested: true})
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) { return &mtcall.Answer{Status: 200}, nil }
	s.server.mu.Unlock()
	s.startServer("i-2")
	s.occupySlots()
	assert.Equal(t, s.nestedRefusals(false), 0)
}

// Failure: a route is refused for its nested calls, because the calls that began don't count.
func TestRouteWhoseCallsMostlySucceedIsNotRefused(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.host.Overload = mtoverload.Policies{Nested: true}
	s.startServer("i-1")
	for route, ran := range map[mtid.Class]struct{ begun, failed int }{"plans": {40, 20}, "desk": {16, 8}} {
		for range ran.begun {
			call := s.call(false)
			call.Route = route
			assert.Equal(t, s.causeOf(call), mtreply.Cause(""))
		}
		for range ran.failed {
			s.host.ObserveNested(&mtcall.Call{Parent: mtcall.Parent{Route: route}, Service: "desk"}, mtnested.NoRoom)
		}
	}
	s.occupySlots()
	assert.Equal(t, s.nestedRefusals(false), 0)
}
