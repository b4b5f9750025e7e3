package mtrecent_test

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
)

const last = ^mtid.Point(0)

// owned returns a table that covers the whole ring, which had no owner before.
func owned(t *testing.T, limits mtrecent.Limits) *mtrecent.Table {
	t.Helper()
	table := mtrecent.New(limits)
	assert.NilError(t, table.Grant(0, last, time.Time{}))
	return table
}

// verdictText returns the kind of a verdict, or the outcome and cause of its refusal.
func verdictText(v mtrecent.Verdict) string {
	var refused *mtreply.RefusedError
	var unknown *mtreply.UnknownError
	switch {
	case errors.As(v.Err, &refused):
		return "not-run " + string(refused.Cause)
	case errors.As(v.Err, &unknown):
		return "unknown " + string(unknown.Cause)
	}
	return []string{"", "run", "wait", "replay"}[v.Kind]
}

func request(at time.Time, n int) mtrecent.Request {
	return mtrecent.Request{DedupKey: mtrecent.DedupKey{Point: 7, ID: mint(at, n)}, Fingerprint: 1}
}

// A payment is resent while it runs, after it ended, with another body, and after its
// entry expired. It must run once, and no resend may get a false reply.
func TestResendVerdictFollowsOutcome(t *testing.T) {
	small := &mtrecent.Answer{Status: 201, Body: []byte("paid")}
	large := &mtrecent.Answer{Status: 201, Body: make([]byte, 200)}
	tests := []struct {
		name        string
		end         *mtrecent.Result
		after       time.Duration
		fingerprint mtrecent.Fingerprint
		want        string
	}{
		{"while it runs", nil, 0, 1, "wait"},
		{"while it runs, another body", nil, 0, 2, "not-run malformed"},
		{"after its answer", &mtrecent.Result{Outcome: mtreply.Answered, Answer: small}, 0, 1, "replay"},
		{"after its answer, another body", &mtrecent.Result{Outcome: mtreply.Answered, Answer: small}, 0, 2, "not-run malformed"},
		{"after an answer too large to retain", &mtrecent.Result{Outcome: mtreply.Answered, Answer: large}, 0, 1, "unknown earlier"},
		{"after it was not run", &mtrecent.Result{Outcome: mtreply.NotRun}, 0, 1, "run"},
		{"after an unknown outcome", &mtrecent.Result{Outcome: mtreply.Unknown}, 0, 1, "unknown earlier"},
		{"just before its entry expires", &mtrecent.Result{Outcome: mtreply.Answered, Answer: small}, retention - 1, 1, "replay"},
		{"once its entry has expired", &mtrecent.Result{Outcome: mtreply.Answered, Answer: small}, retention, 1, "unknown earlier"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := owned(t, mtrecent.Limits{Retention: retention, Skew: skew, AnswerBytes: 100})
			r := request(epoch, 1)
			assert.Equal(t, verdictText(table.Begin(0, epoch, r, 1)), "run")
			if tt.end != nil {
				table.End(0, r.DedupKey, *tt.end)
			}
			r.Fingerprint = tt.fingerprint
			got := verdictText(table.Begin(mtclock.Instant(tt.after), epoch.Add(tt.after), r, 2))
			assert.Equal(t, got, tt.want)
		})
	}
}

// An owner is lost while it runs a request, another daemon takes over its shard, and the
// caller resends the request. Whatever the three clocks show within the allowed skew, the
// new owner must not run the resend, and must run a new request.
func TestIdentifiersAfterTakeover(t *testing.T) {
	granted := epoch
	tests := []struct {
		name   string
		lead   time.Duration // from the grant to the time within the identifier
		minted bool
		after  time.Duration // from the grant to the arrival of the request
		want   string
	}{
		{"older than the grant", -time.Second, false, 0, "unknown taken-over"},
		{"within one skew", skew, false, skew, "unknown taken-over"},
		{"within two skews, still in the future", 2 * skew, false, 0, "unknown taken-over"},
		{"within two skews, no longer in the future", 2 * skew, false, 2 * skew, "unknown taken-over"},
		{"newer", 2*skew + 2*time.Millisecond, false, time.Second, "run"},
		{"newer, from the future", time.Second, false, 0, "not-run skew"},
		{"minted for this request by an ingress whose clock lags", -time.Second, true, 0, "run"},
		{"minted by an ingress whose clock leads too far", skew + time.Millisecond, true, 0, "not-run skew"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := mtrecent.New(mtrecent.Limits{Retention: retention, Skew: skew})
			assert.NilError(t, table.Grant(0, last, granted))
			r := request(granted.Add(tt.lead), 1)
			r.Minted = tt.minted
			got := verdictText(table.Begin(mtclock.Instant(tt.after), granted.Add(tt.after), r, 1))
			assert.Equal(t, got, tt.want)
		})
	}
}

func TestFullTableRefusesAndDropsNoEntry(t *testing.T) {
	table := owned(t, mtrecent.Limits{Retention: retention, Skew: skew, Entries: 2})
	first, second, third := request(epoch, 1), request(epoch, 2), request(epoch, 3)
	for _, r := range []mtrecent.Request{first, second} {
		assert.Equal(t, verdictText(table.Begin(0, epoch, r, 1)), "run")
		table.End(0, r.DedupKey, mtrecent.Result{Outcome: mtreply.Unknown})
	}
	v := table.Begin(mtclock.Instant(retention/2), epoch, third, 1)
	var refused *mtreply.RefusedError
	assert.Assert(t, errors.As(v.Err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseRecentFull)
	assert.Equal(t, refused.RetryAfter, retention/2)
	assert.Equal(t, verdictText(table.Begin(mtclock.Instant(retention/2), epoch, first, 1)), "unknown earlier")
	late := epoch.Add(retention)
	assert.Equal(t, verdictText(table.Begin(mtclock.Instant(retention), late, request(late, 3), 1)), "run")
}

// A wall clock that jumps an hour ahead and back must neither make the owner lose the
// entry of a request nor make it refuse the requests of the next hour.
func TestWallClockJumpKeepsEntries(t *testing.T) {
	table := owned(t, mtrecent.Limits{Retention: retention, Skew: skew})
	r := request(epoch, 1)
	assert.Equal(t, verdictText(table.Begin(0, epoch.Add(time.Hour), r, 1)), "run")
	table.End(0, r.DedupKey, mtrecent.Result{Outcome: mtreply.Unknown})
	assert.Equal(t, verdictText(table.Begin(1, epoch.Add(-time.Hour), r, 1)), "unknown earlier")
	assert.Equal(t, verdictText(table.Begin(2, epoch.Add(time.Second), request(epoch.Add(time.Second), 2), 1)), "run")
}

func TestWaitersAreReturnedOnce(t *testing.T) {
	table := owned(t, mtrecent.Limits{Retention: retention, Skew: skew, Waiters: 2})
	r := request(epoch, 1)
	assert.Equal(t, verdictText(table.Begin(0, epoch, r, 1)), "run")
	assert.Equal(t, verdictText(table.Begin(0, epoch, r, 2)), "wait")
	assert.Equal(t, verdictText(table.Begin(0, epoch, r, 3)), "wait")
	assert.Equal(t, verdictText(table.Begin(0, epoch, r, 4)), "unknown earlier")
	table.RemoveWaiter(r.DedupKey, 2)
	outcome := mtrecent.Result{Outcome: mtreply.Answered}
	assert.DeepEqual(t, table.End(0, r.DedupKey, outcome), []mtrecent.Waiter{3})
	assert.Equal(t, len(table.End(0, r.DedupKey, outcome)), 0)
}

func TestImportBeyondCapacityChangesNothing(t *testing.T) {
	from := owned(t, mtrecent.Limits{Retention: retention, Skew: skew})
	for n := range 3 {
		r := request(epoch, n)
		from.Begin(0, epoch, r, 1)
		from.End(0, r.DedupKey, mtrecent.Result{Outcome: mtreply.Answered})
	}
	to := mtrecent.New(mtrecent.Limits{Retention: retention, Skew: skew, Entries: 2})
	err := to.Import(0, from.Export(0, 0, 100))
	var full *mtrecent.FullError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	assert.Equal(t, to.Len(), 0)
	assert.Assert(t, !to.Owns(7))
}

func FuzzDecode(f *testing.F) {
	table := mtrecent.New(mtrecent.Limits{Retention: retention, Skew: skew})
	assert.NilError(f, table.Grant(0, last, epoch))
	r := request(epoch.Add(time.Second), 1)
	table.Begin(0, epoch.Add(time.Second), r, 1)
	table.End(0, r.DedupKey, mtrecent.Result{Outcome: mtreply.Answered, Answer: &mtrecent.Answer{Status: 200, Body: []byte("x")}})
	value, err := mtrecent.Encode(table.Export(1, 0, 100))
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := mtrecent.Decode(value)
		if err != nil {
			var want *mtrecent.DecodeError
			assert.Assert(t, errors.As(err, &want), "got %T", err)
			return
		}
		to := mtrecent.New(mtrecent.Limits{Retention: retention, Skew: skew})
		assert.NilError(t, to.Import(mtclock.Instant(48*time.Hour), h))
		_, err = mtrecent.Encode(to.Export(mtclock.Instant(48*time.Hour), h.Low, h.High))
		assert.NilError(t, err)
	})
}

// BenchmarkMemory reports the heap bytes of one entry without its answer.
func BenchmarkMemory(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		table := mtrecent.New(mtrecent.Limits{Entries: count})
		_ = table.Grant(0, last, time.Time{})
		runtime.GC()
		runtime.ReadMemStats(&before)
		for n := range count {
			r := request(epoch, n)
			r.DedupKey.Point = mtid.Point(n)
			table.Begin(0, epoch, r, 1)
			table.End(0, r.DedupKey, mtrecent.Result{Outcome: mtreply.Unknown})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/identifier")
		runtime.KeepAlive(table)
	}
}

// BenchmarkRequest measures one non-idempotent request at an owner with many entries.
func BenchmarkRequest(b *testing.B) {
	table := mtrecent.New(mtrecent.Limits{})
	_ = table.Grant(0, last, time.Time{})
	n := 0
	for b.Loop() {
		n++
		// 2000 requests per second, so that the table stays about full.
		now := mtclock.Instant(n) * mtclock.Instant(500*time.Microsecond)
		wall := epoch.Add(now.Sub(0))
		r := request(wall, n)
		table.Begin(now, wall, r, 1)
		table.End(now, r.DedupKey, mtrecent.Result{Outcome: mtreply.Unknown})
	}
}
