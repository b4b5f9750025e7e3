package mtstore

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtduty"
)

// callFaults are the faults that apply to one call.
type callFaults struct {
	slow       time.Duration // how long the call is delayed
	hang       bool
	loseAnswer bool
	dropped    bool
	late       time.Duration // how long after the call the write is attempted; 0 if not late
}

// admitLeaseCall applies the faults to a lease call and reports whether its response
// must be lost. Late and dropped calls have no effect.
func (m *Memory) admitLeaseCall(ctx context.Context, op, name string) (bool, error) {
	faults, err := m.admit(ctx, op, name, m.clock())
	if err != nil {
		return false, err
	}
	if faults.dropped || faults.late > 0 {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldDropWrites}}
	}
	if faults.hang {
		<-ctx.Done()
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: ctx.Err()}
	}
	if err := pause(ctx, faults.slow); err != nil {
		return false, &mtstore.UnknownError{Op: op, Name: name, Err: err}
	}
	return faults.loseAnswer, nil
}

// leaseResult returns nil, or the error for a lost response.
func (m *Memory) leaseResult(op, name string, loseAnswer bool) error {
	if !loseAnswer {
		return nil
	}
	err := &mtstore.UnknownError{Op: op, Name: name, Err: &FaultError{Fault: fieldLoseAnswers}}
	m.counts.fail(err)
	return err
}

// admitRead applies the faults to a call without effect. It fails only with an
// *UnavailableError, since nothing was written.
func (m *Memory) admitRead(ctx context.Context, op string) error {
	faults, err := m.admit(ctx, op, "", m.clock())
	if err != nil {
		return err
	}
	if faults.hang {
		<-ctx.Done()
		return &mtstore.UnavailableError{Op: op, Err: ctx.Err()}
	}
	if err := pause(ctx, faults.slow); err != nil {
		return &mtstore.UnavailableError{Op: op, Err: err}
	}
	return nil
}

// admit determines the faults that apply to a call at now. If it rejects the call, it
// fails with an *UnavailableError, and the call never has an effect.
func (m *Memory) admit(ctx context.Context, op, name string, now time.Time) (callFaults, error) {
	reject := func(err error) (callFaults, error) { return callFaults{}, &mtstore.UnavailableError{Op: op, Err: err} }
	if err := ctx.Err(); err != nil {
		return reject(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down {
		return reject(&FaultError{Fault: fieldDown})
	}
	isRead := op == opGet || op == opWatch
	limit, field := m.writes, fieldWriteRate
	if isRead {
		limit, field = m.reads, fieldReadRate
	}
	if limit != nil && !limit.AllowN(now, 1) {
		return reject(&FaultError{Fault: field})
	}
	faults := callFaults{slow: m.faults.Slow, hang: m.faults.Hang}
	if !isRead && m.faults.affectsWrite(name) {
		faults.loseAnswer, faults.dropped, faults.late = m.faults.LoseAnswers, m.faults.DropWrites, m.faults.LateWrites
		m.faults.countWrite()
	}
	return faults, nil
}

// FaultError reports that a call failed because of a fault that was switched on.
type FaultError struct{ Fault string }

// Error implements error.
func (e *FaultError) Error() string { return "fault: " + e.Fault }

// limiter returns a rate limiter, or nil for no limit. The burst is a tenth of the
// calls per second.
func limiter(perSecond float64) *rate.Limiter {
	const burstPart = 10
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/burstPart)))
}

// pause waits for d, or returns the error of the context.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	if !mtduty.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
