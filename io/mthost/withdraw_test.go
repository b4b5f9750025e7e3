package mthost_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Guards against a withdrawal that ends a call at the server, or leaves a waiting one or one
// that arrives after it to be begun and broken off.
func TestWithdrawnCallIsNotBegun(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	release := make(chan struct{})
	s.server.answer = func(ctx context.Context) (*mtcall.Answer, error) {
		select {
		case <-release:
			return &mtcall.Answer{Status: 200}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.startServer("server-1")
	run := func(try mtid.TryID) chan mtreply.Cause {
		cause := make(chan mtreply.Cause, 1)
		call := s.call(false)
		call.Try, call.Deadline = try, call.Deadline.Add(time.Minute)
		go func() { cause <- s.causeOf(call) }()
		return cause
	}
	first, second := run(1), run(2)
	s.waitFor("both slots are in use", func(mtbackend.Record) bool { return s.host.Load().Running == 2 })
	third, other := run(3), run(0)
	s.waitFor("two calls wait", func(mtbackend.Record) bool { return s.host.Load().Waiting == 2 })
	assert.Equal(t, s.host.Withdraw([]mtid.TryID{0, 1, 3, 4}, time.Minute), 1)
	assert.Equal(t, <-third, mtreply.CauseWithdrawn)
	assert.Equal(t, <-run(4), mtreply.CauseWithdrawn)
	close(release)
	for _, goesOn := range []chan mtreply.Cause{first, second, other} {
		assert.Equal(t, <-goesOn, mtreply.Cause(""))
	}
	assert.Equal(t, s.host.Status().Withdrawn, int64(2))
}
