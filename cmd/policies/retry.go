package main

import (
	"fmt"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtretry"
)

func init() {
	commands = append(commands, &simulation{
		name: "retry", synopsis: "compare retry policies while servers fail",
		seedOf: "arrivals, choices and jitter", length: time.Minute, compare: compareRetries,
	})
}

// compareRetries compares the retry policies while servers fail.
func compareRetries(w *tabwriter.Writer, seed uint64, length time.Duration) {
	for _, failure := range failures {
		printHeading(w, failure.name, seed, length, "policy\ttries per request\tanswered %\tnot run %\tunknown %\tp99 ms\t")
		for _, p := range retryPolicies {
			r := runRetries(p.make, failure, seed, length)
			percent := func(n int) float64 { return 100 * float64(n) / float64(r.requests) }
			_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.2f\t%.2f\t%.2f\t%.1f\t\n", p.name, r.triesPerRequest(),
				percent(r.outcomes[mtreply.Answered]), percent(r.outcomes[mtreply.NotRun]), percent(r.outcomes[mtreply.Unknown]),
				float64(r.latency.ValueAtQuantile(99))/1000)
		}
	}
}

// The simulated service has ten servers, three of which fail.
const (
	retryServers = 10
	retryFailing = 3
	retrySlots   = 12
	retryService = 10 * time.Millisecond
	retryTimeout = time.Second
)

// failure describes how the failing servers fail, and the requests sent to them.
type failure struct {
	name        string
	utilization float64 // offered load as a fraction of all servers' capacity
	idempotent  bool
	spread      bool          // each retry picks a server at random again
	until       time.Duration // end of the failure; zero for never
	try         func(t *retryTrial, done func(error))
}

var failures = []failure{
	{"spread, 3 of 10 refuse connections", 0.5, false, true, 0, refuseConnection},
	{"spread, 3 of 10 break connections, idempotent", 0.5, true, true, 0, breakConnection},
	{"spread, 3 of 10 break connections, not idempotent", 0.5, false, true, 0, breakConnection},
	{"spread, 3 of 10 hang for 300 ms, idempotent", 0.5, true, true, 0, hang},
	{"spread, 3 of 10 refuse connections, the rest overloaded", 1.0, true, true, 0, refuseConnection},
	{"keyed, 3 of 10 lost and taken over after 2 s", 0.5, false, false, 2 * time.Second, refuseConnection},
}

func refuseConnection(t *retryTrial, done func(error)) {
	t.events.schedule(t.now.Add(time.Millisecond), func() { done(&mtreply.RefusedError{Cause: mtreply.CauseUnreachable}) })
}

func breakConnection(t *retryTrial, done func(error)) {
	t.events.schedule(t.now.Add(retryService), func() { done(&mtreply.UnknownError{Cause: mtreply.CauseLost}) })
}

func hang(t *retryTrial, done func(error)) {
	t.events.schedule(t.now.Add(300*time.Millisecond), func() { done(&mtreply.UnknownError{Cause: mtreply.CauseTimeout}) })
}

// retryPolicies lists the policies compared.
var retryPolicies = []struct {
	name string
	make func(*rand.Rand) mtretry.Policy
}{
	{"none", func(r *rand.Rand) mtretry.Policy { return &mtretry.Fixed{Tries: 1, Random: r} }},
	{"fixed 3", func(r *rand.Rand) mtretry.Policy { return &mtretry.Fixed{Tries: 3, Random: r} }},
	{"budget 0.1", budget(0.1)},
	{"budget 0.2", budget(0.2)},
}

var retryFlow = mtretry.Flow{Business: "ratins", Class: "send"}

func budget(retries float64) func(*rand.Rand) mtretry.Policy {
	return func(r *rand.Rand) mtretry.Policy {
		p := mtretry.NewBudgeted(r)
		p.Declare(retryFlow, retries)
		return p
	}
}

// retryTrial simulates one policy in virtual time.
type retryTrial struct {
	now      mtclock.Instant
	events   eventHeap
	random   *rand.Rand
	policy   mtretry.Policy
	failure  failure
	busy     [retryServers]int
	requests int
	tries    int
	outcomes map[mtreply.Outcome]int
	latency  *hdrhistogram.Histogram // of all requests, in microseconds
}

// triesPerRequest returns the mean number of tries of a request.
func (t *retryTrial) triesPerRequest() float64 { return float64(t.tries) / float64(t.requests) }

// runRetries simulates callers that send requests for the given length of time.
func runRetries(policy func(*rand.Rand) mtretry.Policy, f failure, seed uint64, length time.Duration) *retryTrial {
	t := &retryTrial{
		random:   rand.New(rand.NewPCG(seed, 1)),
		policy:   policy(rand.New(rand.NewPCG(seed, 2))),
		failure:  f,
		outcomes: make(map[mtreply.Outcome]int),
		latency:  hdrhistogram.New(1, maxMicros, 3),
	}
	perSecond := f.utilization * retryServers * retrySlots / retryService.Seconds()
	var arrive func()
	arrive = func() {
		if t.now.Sub(0) >= length {
			return
		}
		gap := time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second))
		t.events.schedule(t.now.Add(gap), arrive)
		t.requests++
		t.policy.RecordRequest(retryFlow)
		t.send(t.now, t.random.IntN(retryServers), 1)
	}
	t.events.schedule(0, arrive)
	for t.events.Len() > 0 {
		e := t.events.next()
		t.now = e.at
		e.run()
	}
	return t
}

// send makes one try of a request and schedules the next one if the policy
// allows a retry.
func (t *retryTrial) send(arrival mtclock.Instant, server, tries int) {
	t.tries++
	t.try(server, func(err error) {
		wait, again := t.policy.Next(t.now, mtretry.Attempt{
			Flow:       retryFlow,
			Idempotent: t.failure.idempotent,
			Elsewhere:  t.failure.spread,
			Tries:      tries,
			Deadline:   arrival.Add(retryTimeout),
			Err:        err,
		})
		if err == nil || !again {
			t.outcomes[outcomeOf(err)]++
			_ = t.latency.RecordValue(max(t.now.Sub(arrival).Microseconds(), 1))
			return
		}
		next := server
		if t.failure.spread {
			next = t.random.IntN(retryServers)
		}
		t.events.schedule(t.now.Add(wait), func() { t.send(arrival, next, tries+1) })
	})
}

// try runs the request on a server and calls done when it ends, with the error
// if it failed.
func (t *retryTrial) try(server int, done func(error)) {
	failing := t.failure.until == 0 || t.now.Sub(0) < t.failure.until
	if failing && server < retryFailing {
		t.failure.try(t, done)
		return
	}
	if t.busy[server] >= retrySlots {
		done(&mtreply.RefusedError{Cause: mtreply.CauseShed})
		return
	}
	t.busy[server]++
	service := time.Duration(t.random.ExpFloat64() * float64(retryService))
	t.events.schedule(t.now.Add(service), func() {
		t.busy[server]--
		done(nil)
	})
}

// outcomeOf returns the outcome that the caller receives for err.
func outcomeOf(err error) mtreply.Outcome {
	switch err.(type) {
	case nil:
		return mtreply.Answered
	case *mtreply.RefusedError:
		return mtreply.NotRun
	}
	return mtreply.Unknown
}
