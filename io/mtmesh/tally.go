package mtmesh

import (
	"context"
	"sync"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/io/mthost"
	"magnoliaturn/io/mtmetric"
)

// summaryInterval is how often a summary of the results of requests is logged.
const summaryInterval = time.Second

// Result is the result of a request for its caller, as the logged summary names it.
// Requests that failed or were refused are named by their cause.
type Result string

// Results of answered requests. See also mtreply.Cause.
const (
	ResultInTime      Result = "in time" // within the route's objective
	ResultLate        Result = "late"
	ResultServerError Result = "failed by the server"
)

// retryPrefix marks the results of requests that their callers have retried.
const retryPrefix = "again "

// tally counts results until the next summary. Under load most log lines of single requests
// are left out, but the summaries count every request.
type tally struct {
	mu       sync.Mutex
	counts   map[mtid.Class]map[Result]int
	searches map[mtid.Class]Searches
}

// Searches sums up how the requests of a route found a server.
type Searches struct {
	HandedBack int `json:"handed back"` // servers that handed a request back, since they were full
	KnownFull  int `json:"known full"`  // servers that weren't asked, since they had just done so
	SlowStart  int `json:"slow start"`  // requests that began after half of the time to their objective
}

func newTally() *tally {
	return &tally{counts: make(map[mtid.Class]map[Result]int), searches: make(map[mtid.Class]Searches)}
}

// add counts one result.
func (t *tally) add(call *mtcall.Call, result Result) {
	route := call.Route
	if route == "" {
		route = "no route"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, ok := t.counts[route]
	if !ok {
		counts = make(map[Result]int)
		t.counts[route] = counts
	}
	counts[result]++
}

// addSearch counts how a request found its server, and whether it began late.
func (t *tally) addSearch(call *mtcall.Call, slowStart bool) {
	if call.Search == (mtcall.SearchCounts{}) && !slowStart {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.searches[call.Route]
	s.HandedBack += call.Search.HandedBack
	s.KnownFull += call.Search.KnownFull
	if slowStart {
		s.SlowStart++
	}
	t.searches[call.Route] = s
}

// reset returns the counts and starts again from zero.
func (t *tally) reset() (map[mtid.Class]map[Result]int, map[mtid.Class]Searches) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, searches := t.counts, t.searches
	t.counts, t.searches = make(map[mtid.Class]map[Result]int), make(map[mtid.Class]Searches)
	return counts, searches
}

// slowStart reports whether an answered call began at its server after more than half of the
// time from its caller's first try to its objective. A call without an objective did not.
func slowStart(now mtclock.Instant, call *mtcall.Call, answer *mtcall.Answer) bool {
	if answer == nil || answer.Served == 0 || call.Nested || call.Objective == 0 {
		return false
	}
	allowed := call.Objective.Sub(call.FirstArrived)
	return now.Add(-answer.Served).Sub(call.FirstArrived) > allowed/2
}

// result returns the result of a request for its caller.
func (r *recorder) result(call *mtcall.Call, s mtmetric.Sample, status int) Result {
	result := Result(s.Cause)
	now := r.clock.Now()
	switch {
	case s.Outcome != mtreply.Answered:
	case status >= 500:
		result = ResultServerError
	case call.Objective != 0 && now.After(call.Objective):
		result = ResultLate
	default:
		result = ResultInTime
	}
	if call.IsRetry() {
		return retryPrefix + result
	}
	return result
}

// newCollections returns how often garbage was collected since the previous summary.
func (r *recorder) newCollections() uint64 {
	before := r.collectedBefore
	r.collectedBefore = mtmetric.Collections()
	return r.collectedBefore - before
}

// newReservedRefused returns how many calls were refused while slots were kept free, since the
// previous summary. The count of the status starts again with each incarnation of the server.
func newReservedRefused(before, now mthost.Status) uint64 {
	if now.ReservedRefused < before.ReservedRefused {
		return now.ReservedRefused
	}
	return now.ReservedRefused - before.ReservedRefused
}

// logSummary logs what happened on this daemon and its server since the previous summary. It
// logs nothing if there were no requests, moved keys or calls to the store.
func (r *recorder) logSummary(load mtcall.Load, server mthost.Status, retries mtretry.Counts, moved int, calls map[string]int) {
	before, retriesBefore := r.statusBefore, r.retriesBefore
	r.statusBefore, r.retriesBefore = server, retries
	collections := r.newCollections()
	counts, searches := r.tally.reset()
	for purpose, n := range calls {
		r.calls.Add(purpose, int64(n))
	}
	linkFull := server.LinkFull - before.LinkFull
	if len(counts) == 0 && load.Running == 0 && moved == 0 && len(calls) == 0 && linkFull == 0 {
		return
	}
	r.log.Log(context.Background(), mtmetric.LevelSummary, "second", "service", string(r.service), "ends", counts,
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "started", server.Started-before.Started,
		"link-full", linkFull,
		"reserved", server.Reserved, "reserved-refused", newReservedRefused(before, server), "limit", server.Limit, "pace", load.ServiceTime.String(),
		"demand", load.Demand, "moved", moved, "store", calls, "collections", collections, "room", searches,
		"retries", retries.Retries-retriesBefore.Retries, "retries-refused", retries.Refused-retriesBefore.Refused,
		"nested-repeats", retries.NestedRepeats-retriesBefore.NestedRepeats)
}
