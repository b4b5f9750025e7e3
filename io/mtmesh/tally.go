package mtmesh

import (
	"context"
	"sync"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtmetric"
)

// summaryInterval is how often a summary of the results of requests is logged.
const summaryInterval = time.Second

// End is the result of a request for its caller, as the logged summary names it. Requests
// that failed or were refused are named by their cause.
type End string

// Results of answered requests. See also mtreply.Cause.
const (
	EndInTime End = "in time" // within the route's objective
	EndLate   End = "late"
	EndFailed End = "failed by the server"
)

// retryPrefix marks the results of requests that their callers have retried.
const retryPrefix = "again "

// tally counts results until the next summary. Under load most log lines of single requests
// are left out, but the summaries count every request.
type tally struct {
	mu     sync.Mutex
	counts map[mtid.Class]map[End]int
}

func newTally() *tally { return &tally{counts: make(map[mtid.Class]map[End]int)} }

// add counts one result.
func (t *tally) add(call *mtcall.Call, result End) {
	route := call.Route
	if route == "" {
		route = "no route"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, ok := t.counts[route]
	if !ok {
		counts = make(map[End]int)
		t.counts[route] = counts
	}
	counts[result]++
}

// reset returns the counts and starts again from zero.
func (t *tally) reset() map[mtid.Class]map[End]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = make(map[mtid.Class]map[End]int)
	return counts
}

// result returns the result of a request for its caller.
func (r *recorder) result(call *mtcall.Call, s mtmetric.Sample, status int) End {
	result := End(s.Cause)
	now := r.clock.Now()
	switch {
	case s.Outcome != mtreply.Answered:
	case status >= 500:
		result = EndFailed
	case call.Objective != 0 && now.After(call.Objective):
		result = EndLate
	default:
		result = EndInTime
	}
	if call.IsRetry() {
		return retryPrefix + result
	}
	return result
}

// logSummary logs the results of requests on this daemon, the load of the server, and the
// calls to the store since the previous summary. It logs nothing if there were none.
func (r *recorder) logSummary(load mtcall.Load, moved int, calls map[string]int) {
	counts := r.tally.reset()
	for purpose, n := range calls {
		r.calls.Add(purpose, int64(n))
	}
	if len(counts) == 0 && load.Running == 0 && moved == 0 && len(calls) == 0 {
		return
	}
	r.log.Log(context.Background(), mtmetric.Sum, "second", "service", string(r.service), "ends", counts,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace", load.ServiceTime.String(),
		"demand", load.Demand, "moved", moved, "store", calls)
}
