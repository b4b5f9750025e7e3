package mthost_test

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// Guards against a crash that counts against no request: a heartbeat that the server had begun
// before is accepted, by a busy daemon, after the connection of the request has broken.
func TestHeartbeatAcceptedAfterCrashClearsNoRequest(t *testing.T) {
	s := newFixture(t, refusingAddress(t))
	s.server.incarnation = "one"
	beat := s.newHeartbeat("one", 1)
	s.heartbeat(beat)
	s.waitFor("the server is ready", func(r mtbackend.Record) bool { return r.AcceptsWork() })
	s.server.mu.Lock()
	s.server.answer = func(context.Context) (*mtcall.Answer, error) {
		return nil, &mtreply.UnknownError{Cause: mtreply.CauseLost, Err: io.EOF}
	}
	s.server.mu.Unlock()
	crashing := s.call(false)
	_, err := s.host.Run(t.Context(), crashing)
	assert.ErrorContains(t, err, "EOF")
	time.Sleep(20 * time.Millisecond)
	beat.Sequence, beat.OpenedAfter = 2, s.clock.Now()
	s.heartbeat(beat)
	s.startServer("two")
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.losses), 1)
	assert.DeepEqual(t, s.losses[0].Suspects, []mtpoison.Fingerprint{crashing.Fingerprint()})
}
