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

// tallyEvery is how often the ends of requests are summed up in a line.
const tallyEvery = time.Second

// End is how a request ended for its caller, as the summary of a second names it.
// What failed or was refused is named by its cause.
type End string

// The ends of answered requests.
const (
	EndInTime End = "in time" // within the route's objective
	EndLate   End = "late"
	EndFailed End = "failed by the server"
)

// againPrefix marks the ends of callers' second tries.
const againPrefix = "again "

// tally counts the ends of requests until it is summed up. Lines of single requests
// are left out under load; these sums hold every one.
type tally struct {
	mu   sync.Mutex
	ends map[mtid.Class]map[End]int
}

func newTally() *tally { return &tally{ends: make(map[mtid.Class]map[End]int)} }

// add counts one end.
func (t *tally) add(call *mtcall.Call, end End) {
	route := call.Route
	if route == "" {
		route = "no route"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ends, ok := t.ends[route]
	if !ok {
		ends = make(map[End]int)
		t.ends[route] = ends
	}
	ends[end]++
}

// take returns what was counted and begins anew.
func (t *tally) take() map[mtid.Class]map[End]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ends := t.ends
	t.ends = make(map[mtid.Class]map[End]int)
	return ends
}

// end names how a call ended.
func (r *recorder) end(call *mtcall.Call, s mtmetric.Sample, status int) End {
	end := End(s.Cause)
	now := r.clock.Now()
	switch {
	case s.Outcome != mtreply.Answered:
	case status >= 500:
		end = EndFailed
	case call.Objective != 0 && now.After(call.Objective):
		end = EndLate
	default:
		end = EndInTime
	}
	if call.IsRetry() {
		return againPrefix + end
	}
	return end
}

// sum writes the line of a second: how requests ended here, how the server was used, and
// what the store was called for. It writes none if nothing happened.
func (r *recorder) sum(load mtcall.Load, moved int, calls map[string]int) {
	ends := r.tally.take()
	for purpose, n := range calls {
		r.calls.Add(purpose, int64(n))
	}
	if len(ends) == 0 && load.Running == 0 && moved == 0 && len(calls) == 0 {
		return
	}
	r.log.Log(context.Background(), mtmetric.Sum, "second", "service", string(r.service), "ends", ends,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "pace", load.ServiceTime.String(),
		"demand", load.Demand, "moved", moved, "store", calls)
}
