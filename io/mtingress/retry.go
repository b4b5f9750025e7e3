package mtingress

import (
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtretry"
)

// flow returns the flow whose budget pays for the retries of a call.
func flow(call *mtcall.Call) mtretry.Flow { return mtretry.Flow{Class: mtid.Class(call.Service)} }

// recordRequest records a call before its first try. With a quota, a nested call of a run that is a
// repeat is marked as a repeat too.
func (s *Sender) recordRequest(call *mtcall.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.quota == nil:
		s.retry.Declare(flow(call), RetryFraction)
		s.retry.RecordRequest(flow(call))
	case call.Nested:
		call.Repeat = call.Parent.Repeat
		s.quota.RecordNested(s.Steady(), call.Service, call.Repeat)
	default:
		s.quota.RecordRequest(s.Steady(), call.Service)
	}
}

// mayRetry returns how long to wait before a call that may have reached a server is retried, or
// false if it must not be.
func (s *Sender) mayRetry(call *mtcall.Call, state *sending, err error) (time.Duration, bool) {
	attempt := mtretry.Attempt{
		Flow:       flow(call),
		Idempotent: call.Idempotent,
		Elsewhere:  true,
		Tries:      state.arrivals,
		Deadline:   call.Deadline,
		Err:        err,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.quota == nil {
		return s.retry.Next(now, attempt)
	}
	wait, ok := s.retry.Wait(now, attempt)
	if !ok {
		return 0, false
	}
	// The members include daemons whose records have expired, which makes the shares smaller.
	daemons := len(s.Directory.View().Members)
	return wait, s.quota.Spend(s.Steady(), call.Service, daemons, s.prospect(call, wait))
}

// prospect returns what a retry of a call after a wait can achieve.
func (s *Sender) prospect(call *mtcall.Call, wait time.Duration) mtretry.Prospect {
	begin := s.Clock.Now().Add(wait)
	switch {
	case call.Late(begin, call.TypicalService), begin.Add(call.TypicalService).After(call.Deadline):
		return mtretry.Late
	case call.Nested:
		return mtretry.Nested
	}
	return mtretry.InTime
}

// RetryCounts returns the totals of the retry quota; zeros without one.
func (s *Sender) RetryCounts() mtretry.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quota == nil {
		return mtretry.Counts{}
	}
	return s.quota.Counts()
}
