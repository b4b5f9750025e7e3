package mtingress_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtshutdown"
)

// stopMeanwhile sends a call with a time left, and begins a shutdown with a grace period of 6 s
// while a peer has it. answer returns the peer's reply.
func stopMeanwhile(t *testing.T, p *fakePeers, left time.Duration, nested bool, answer func() (*mtcall.Answer, error)) (*mtcall.Answer, error) {
	t.Helper()
	p.withdrawals = make(chan []mtid.TryID, 1)
	s, clock := newSender(t, p)
	s.Grace = 6 * time.Second
	call := newCall(clock.Now(), true)
	call.Deadline, call.Nested = clock.Now().Add(left), nested
	p.answer = func(int) (*mtcall.Answer, error) {
		s.BeginShutdown(mtshutdown.New(clock.Now(), s.Grace))
		return answer()
	}
	return s.Send(t.Context(), call, 2)
}

// Guards against a call that is begun elsewhere after SIGTERM and broken off: it is withdrawn,
// not sent to another server, and its caller comes back.
func TestCallThatWaitsElsewhereAtShutdownIsWithdrawn(t *testing.T) {
	p := &fakePeers{}
	_, err := stopMeanwhile(t, p, 12*time.Second, false, func() (*mtcall.Answer, error) {
		assert.DeepEqual(t, <-p.withdrawals, []mtid.TryID{p.try})
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseWithdrawn}
	})
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseStopping)
	assert.Assert(t, refused.RetryAfter > 3*time.Second, "%s", refused.RetryAfter)
	assert.Equal(t, len(p.sent), 1)
}

// Guards against a caller that is not told when to come back, because as many servers as are tried
// had refused its call before it was withdrawn.
func TestCallThatHasBouncedIsWithdrawn(t *testing.T) {
	p := &fakePeers{withdrawals: make(chan []mtid.TryID, 1)}
	s, clock := newSenderTo(t, p, "b", "c", "d", "e", "f", "g")
	s.Grace = 6 * time.Second
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n <= 5 {
			return nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: time.Second}
		}
		s.BeginShutdown(mtshutdown.New(clock.Now(), s.Grace))
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseWithdrawn}
	}
	call := newCall(clock.Now(), true)
	call.Deadline = clock.Now().Add(12 * time.Second)
	_, err := s.Send(t.Context(), call, 2)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseStopping)
	assert.Assert(t, refused.RetryAfter > 3*time.Second, "%s", refused.RetryAfter)
	assert.Equal(t, len(p.sent), 6)
}

// Guards against the loss of an answer because the withdrawal was lost, the other daemon's
// release knows none, or the call had begun.
func TestCallThatIsNotWithdrawnGoesOn(t *testing.T) {
	for _, withdrawError := range []error{nil, errors.New("lost or unimplemented")} {
		p := &fakePeers{withdrawError: withdrawError}
		answer, err := stopMeanwhile(t, p, 12*time.Second, false, func() (*mtcall.Answer, error) {
			<-p.withdrawals
			return answerOK, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, answer, answerOK)
	}
}

// Guards against the withdrawal of calls that end in time, and of those that an accepted call
// waits for.
func TestShortAndNestedCallsAreNotWithdrawn(t *testing.T) {
	for _, nested := range []bool{true, false} {
		p := &fakePeers{}
		left := 5 * time.Second
		if nested {
			left = 12 * time.Second
		}
		_, err := stopMeanwhile(t, p, left, nested, func() (*mtcall.Answer, error) { return answerOK, nil })
		assert.NilError(t, err)
		assert.Equal(t, p.try, mtid.TryID(0))
		assert.Equal(t, len(p.withdrawals), 0)
	}
}

// Guards against the loss of the word that a call may have run: once one try is uncertain, a
// refused one proves nothing.
func TestUncertainCallIsNotWithdrawn(t *testing.T) {
	p := &fakePeers{}
	s, clock := newSender(t, p)
	p.answer = func(n int) (*mtcall.Answer, error) {
		if n == 1 {
			return nil, lost
		}
		s.BeginShutdown(mtshutdown.New(clock.Now(), time.Second))
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseExpired}
	}
	_, err := s.Send(t.Context(), newCall(clock.Now(), true), 3)
	assert.Equal(t, mtrequest.FromError(err).Cause, mtreply.CauseLost)
	assert.Equal(t, len(p.sent), 2)
	assert.Equal(t, p.try, mtid.TryID(0))
}
