package mtshutdown_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtshutdown"
)

const begun = mtclock.Instant(time.Hour)

// Guards against runs that are broken off: a request taken 1.6 s after SIGTERM may last 4 s, and its daemon is killed 6 s after SIGTERM.
func TestOnlyWhatEndsInTimeIsAccepted(t *testing.T) {
	const grace = 6 * time.Second
	for _, test := range []struct {
		after, lasts time.Duration
		retry        time.Duration // zero if the call is accepted
	}{
		{after: 0, lasts: 4 * time.Second},
		{after: time.Second, lasts: 4 * time.Second},
		{after: 1600 * time.Millisecond, lasts: 4 * time.Second, retry: 2 * time.Second},
		{after: 3500 * time.Millisecond, lasts: 4 * time.Second, retry: 500 * time.Millisecond},
		{after: 2500 * time.Millisecond, lasts: 2500 * time.Millisecond},
		{after: 0, lasts: 12 * time.Second, retry: 3600 * time.Millisecond},
	} {
		now := begun.Add(test.after)
		err := mtshutdown.New(begun, grace).Check(now, now.Add(test.lasts))
		var refused *mtreply.RefusedError
		assert.Equal(t, errors.As(err, &refused), test.retry != 0, "%+v", test)
		if refused != nil {
			assert.Equal(t, refused.Cause, mtreply.CauseStopping)
			assert.Equal(t, refused.RetryAfter, test.retry, "%+v", test)
		}
	}
}

// Guards against a schedule whose times are out of order, or that accepts what ends after the last answers are due.
func TestScheduleIsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "grace"))
		s := mtshutdown.New(begun, grace)
		assert.Assert(t, begun.Before(s.Retire) && s.Retire < s.Return && s.Retire <= s.LastAnswers)
		assert.Assert(t, s.LastAnswers.Before(s.CutOff()) && s.CutOff().Before(s.Close) && s.Close.Before(begun.Add(grace)))
		now := begun.Add(time.Duration(rapid.Int64Range(0, int64(grace)).Draw(t, "after")))
		deadline := now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "lasts")))
		assert.Equal(t, s.Check(now, deadline) == nil, deadline <= s.LastAnswers)
		assert.Equal(t, s.CheckNew(now, deadline) == nil, deadline <= s.LastAnswers && now.Before(s.Retire))
	})
}

// Guards against calls, taken before SIGTERM, that are broken off before the last sixth of a short grace period, which is not excused.
func TestLastAnswersAreDueInLastSixthOfGracePeriod(t *testing.T) {
	for grace := time.Second; grace <= time.Minute; grace += 100 * time.Millisecond {
		s := mtshutdown.New(begun, grace)
		assert.Check(t, !s.LastAnswers.Before(begun.Add(grace*5/6)), "grace period of %s: last answers after %s", grace, s.LastAnswers.Sub(begun))
	}
}

// Guards against a server that idles during a rolling restart: while callers leave, its slots
// are missing to all others.
func TestServerWorksWhileCallsEndInTime(t *testing.T) {
	const grace = 6 * time.Second
	s := mtshutdown.New(begun, grace)
	for _, test := range []struct {
		longest time.Duration
		keyed   bool
		works   time.Duration
	}{
		{time.Second, true, 1500 * time.Millisecond},
		{time.Second, false, 2300 * time.Millisecond},
		{4 * time.Second, true, 1500 * time.Millisecond},
		{4 * time.Second, false, 1500 * time.Millisecond},
		{4500 * time.Millisecond, true, time.Second},
		{10 * time.Second, false, 0},
	} {
		leaveAt := s.LeaveAt(test.longest, test.keyed)
		assert.Equal(t, max(leaveAt.Sub(begun), 0), test.works, "%s", test.longest)
		if leaveAt.After(begun) {
			assert.NilError(t, s.Check(leaveAt, leaveAt.Add(test.longest)))
		}
	}
}

// Guards against a nested call that arrives late, gets less time than it asks for and is cut off, and against one that is refused although the request that waits for it may still succeed.
func TestNestedCallIsShortenedEarlyAndRefusedLate(t *testing.T) {
	s := mtshutdown.New(begun, 6*time.Second)
	for _, test := range []struct {
		name          string
		now, deadline mtclock.Instant
		want          mtclock.Instant // zero if it is refused
	}{
		{"early, ends in time", begun, s.LastAnswers - 1, s.LastAnswers - 1},
		{"early, would outlast", s.Retire - 1, s.LastAnswers + 1, s.LastAnswers},
		{"late, ends in time", s.Retire, s.LastAnswers, s.LastAnswers},
		{"late, would outlast", s.Retire, s.LastAnswers + 1, 0},
		{"after the last answers", s.LastAnswers + 1, s.LastAnswers + 2, 0},
	} {
		deadline, err := s.LimitNested(test.now, test.deadline)
		if test.want != 0 {
			assert.NilError(t, err, test.name)
			assert.Equal(t, deadline, test.want, test.name)
			continue
		}
		var refused *mtreply.RefusedError
		assert.Assert(t, errors.As(err, &refused), test.name)
		assert.Assert(t, refused.RetryAfter > 0, test.name)
	}
}
