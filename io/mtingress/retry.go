package mtingress

import (
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtretry"
)

// flow returns the flow whose budget pays for the retries of a call.
func flow(call *mtcall.Call) mtretry.Flow { return mtretry.Flow{Class: mtid.Class(call.Service)} }

// recordRequest records a call before its first try.
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

// mayRetry reports whether a call that may have reached a server may be sent once more, and
// after which wait.
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
	// The members are the servers known, each with a daemon beside it.
	daemons := len(s.Directory.View().Members)
	return wait, s.quota.Spend(s.Steady(), call.Service, daemons, s.prospect(call, wait))
}

// prospect returns what a retry of a call after a wait would be spent on.
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

// RetryCounts returns how the limits on retries have acted; zeros without limits.
func (s *Sender) RetryCounts() mtretry.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quota == nil {
		return mtretry.Counts{}
	}
	return s.quota.Counts()
}
