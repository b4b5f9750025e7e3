package mtretry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtretry"
)

var flow = mtretry.Flow{Business: "ratins", Class: "send"}

func budgeted(retries float64) *mtretry.Budgeted {
	p := mtretry.NewBudgeted(rand.New(rand.NewPCG(1, 2)))
	p.Declare(flow, retries)
	return p
}

func refused(cause mtreply.Cause, after time.Duration) error {
	return &mtreply.RefusedError{Cause: cause, RetryAfter: after}
}

func unknown(cause mtreply.Cause) error { return &mtreply.UnknownError{Cause: cause} }

func TestBudgetedNext(t *testing.T) {
	second := mtclock.Instant(time.Second)
	tests := []struct {
		name    string
		attempt mtretry.Attempt
		want    bool
	}{
		{"answered", mtretry.Attempt{Idempotent: true, Deadline: second}, false},
		{"order, connection lost", mtretry.Attempt{Err: unknown(mtreply.CauseLost), Deadline: second}, false},
		{"status check, connection lost", mtretry.Attempt{Idempotent: true, Err: unknown(mtreply.CauseLost), Deadline: second}, true},
		{"order, not sent", mtretry.Attempt{Err: refused(mtreply.CauseUnreachable, 0), Deadline: second}, true},
		{"order, error of unknown type", mtretry.Attempt{Err: errOther{}, Deadline: second}, false},
		{"shed by the owner", mtretry.Attempt{Idempotent: true, Err: refused(mtreply.CauseShed, 0), Deadline: second}, false},
		{"shed by one server of many", mtretry.Attempt{Idempotent: true, Elsewhere: true, Err: refused(mtreply.CauseShed, 0), Deadline: second}, true},
		{"quarantined", mtretry.Attempt{Idempotent: true, Elsewhere: true, Err: refused(mtreply.CauseQuarantined, 0), Deadline: second}, false},
		{"taken over", mtretry.Attempt{Idempotent: true, Err: unknown(mtreply.CauseTakenOver), Deadline: second}, false},
		{"refused with no retry allowed", mtretry.Attempt{Idempotent: true, Err: refused(mtreply.CauseNoOwner, -1), Deadline: second}, false},
		{"requested wait exceeds the deadline", mtretry.Attempt{Err: refused(mtreply.CauseNoOwner, time.Second), Deadline: second}, false},
		{"requested wait doesn't apply to another server", mtretry.Attempt{Elsewhere: true, Err: refused(mtreply.CauseShed, time.Second), Deadline: second}, true},
		{"no time left", mtretry.Attempt{Err: refused(mtreply.CauseStaleRoute, 0), Deadline: mtclock.Instant(time.Millisecond)}, false},
		{"last try", mtretry.Attempt{Tries: mtretry.MaxTries, Err: refused(mtreply.CauseUnreachable, 0), Deadline: second}, false},
		{"newer route after the last try", mtretry.Attempt{Tries: mtretry.MaxTries, Err: refused(mtreply.CauseStaleRoute, 0), Deadline: second}, true},
		{"newer route after the last redirect", mtretry.Attempt{Tries: 4, Redirects: mtretry.MaxRedirects, Err: refused(mtreply.CauseStaleRoute, 0), Deadline: second}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.attempt.Flow = flow
			tt.attempt.Tries = max(tt.attempt.Tries, 1)
			wait, got := budgeted(0.2).Next(0, tt.attempt)
			assert.Equal(t, got, tt.want)
			if got {
				assert.Assert(t, mtclock.Instant(wait).Before(tt.attempt.Deadline))
			}
		})
	}
}

func TestNoRetriesWithZeroBudget(t *testing.T) {
	p := budgeted(0)
	for range 100 {
		p.RecordRequest(flow)
	}
	_, again := p.Next(0, mtretry.Attempt{Flow: flow, Tries: 1, Err: refused(mtreply.CauseUnreachable, 0), Deadline: mtclock.Instant(time.Second)})
	assert.Assert(t, !again)
}

// A third of the servers refuse connections. Without a limit, the retries of every
// order overload the other servers as well. The budget limits retries to a fifth of
// the orders.
func TestBudgetLimitsRetries(t *testing.T) {
	const requests = 10_000
	random := rand.New(rand.NewPCG(3, 4))
	p := budgeted(0.2)
	tries := 0
	for range requests {
		p.RecordRequest(flow)
		for n := 1; ; n++ {
			tries++
			if random.Float64() >= 0.3 {
				break
			}
			a := mtretry.Attempt{Flow: flow, Tries: n, Err: refused(mtreply.CauseUnreachable, 0), Deadline: mtclock.Instant(time.Second)}
			if _, again := p.Next(0, a); !again {
				break
			}
		}
	}
	assert.Assert(t, float64(tries) <= 1.2*requests+20, "got %d tries for %d requests", tries, requests)
	assert.Assert(t, float64(tries) > 1.15*requests, "budget was not used: %d tries", tries)
}

// errOther is an error that carries no outcome.
type errOther struct{}

func (errOther) Error() string { return "other" }
