package mtingress_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/io/mtingress"
)

// quotaPeers rejects the next calls, and records which of all calls were repeats.
type quotaPeers struct {
	fakePeers
	reject  int
	repeats []bool
}

func (p *quotaPeers) Forward(_ context.Context, _ mtid.Daemon, _ string, call *mtcall.Call) (*mtcall.Answer, error) {
	p.repeats = append(p.repeats, call.Repeat)
	if p.reject == 0 {
		return answerOK, nil
	}
	p.reject--
	return nil, notRun
}

// newQuotaSender returns a sender with limits on retries that has sent two requests a second for 20 s.
// They have earned one retry.
func newQuotaSender(t *testing.T, policies mtoverload.Policies) (*mtingress.Sender, *quotaPeers, func() *mtcall.Call) {
	t.Helper()
	plain, clock := newSender(t, &fakePeers{})
	p := &quotaPeers{}
	now := mtclock.Instant(0)
	config := plain.SenderConfig
	config.Peers, config.Overload = p, policies
	config.Retries = mtretry.Limits{Ratio: 0.2, Window: 10 * time.Second}
	config.Steady = func() mtclock.Instant { return now }
	s := mtingress.NewSender(config)
	next := func() *mtcall.Call { return newCall(clock.Now(), false) }
	for ; now < mtclock.Instant(20*time.Second); now = now.Add(time.Second / 2) {
		_, err := s.Send(t.Context(), next(), 3)
		assert.NilError(t, err)
	}
	p.repeats = nil
	return s, p, next
}

var retriesOn = mtoverload.Policies{Retries: true}

// Guards against retries beyond the operators' limits, and against callers that aren't told to
// come back soon when their call wasn't retried.
func TestRetriesEndWithQuota(t *testing.T) {
	s, p, next := newQuotaSender(t, retriesOn)
	p.reject = 1
	_, err := s.Send(t.Context(), next(), 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.repeats, []bool{false, true})

	p.reject = 1
	_, err = s.Send(t.Context(), next(), 3)
	assert.Equal(t, err, error(notRun))
	status, retry := mtingress.Status(err)
	assert.Equal(t, status, 503)
	assert.Equal(t, retry, notRun.RetryAfter)
	assert.Equal(t, s.RetryCounts(), mtretry.Counts{Retries: 1, Refused: 1})
}

// Guards against nested calls of repeats that aren't charged, or don't mark their own nested calls.
func TestNestedCallOfRepeatedRunIsCharged(t *testing.T) {
	s, p, next := newQuotaSender(t, retriesOn)
	nested := next()
	nested.Nested, nested.Parent = true, mtcall.Parent{Repeat: true}
	_, err := s.Send(t.Context(), nested, 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.repeats, []bool{true})

	p.reject = 1
	_, err = s.Send(t.Context(), next(), 3)
	assert.Equal(t, err, error(notRun))
	assert.Equal(t, s.RetryCounts(), mtretry.Counts{Refused: 1, NestedRepeats: 1})
}

// Guards against a late request that takes the retry of one that can still be answered in time.
func TestLateRequestLeavesRetryToOneInTime(t *testing.T) {
	s, p, next := newQuotaSender(t, retriesOn)
	late := next()
	late.Objective = late.Objective.Add(-time.Minute)
	p.reject = 1
	_, err := s.Send(t.Context(), late, 3)
	assert.Equal(t, err, error(notRun))

	p.reject = 1
	_, err = s.Send(t.Context(), next(), 3)
	assert.NilError(t, err)
}

// Guards against a quota that limits retries although the policy is off.
func TestRetryQuotaNeedsPolicy(t *testing.T) {
	s, p, next := newQuotaSender(t, mtoverload.Policies{})
	for range 2 {
		p.reject = 1
		_, err := s.Send(t.Context(), next(), 3)
		assert.NilError(t, err)
	}
	assert.Equal(t, s.RetryCounts(), mtretry.Counts{})
}

// Guards against a keyed call that fails or waits long when its owner rejects one try.
func TestRejectedKeyedCallIsRetriedSoonAtItsOwner(t *testing.T) {
	s, p, next := newQuotaSender(t, retriesOn)
	p.reject = 1
	call := withKey(t, s, next())
	_, err := s.Send(t.Context(), call, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, p.repeats, []bool{false, true})
	assert.Equal(t, call.Tries[0].Cause, mtreply.CauseRefused)
}
