// Package mtchoice selects, at the caller's daemon, the server that processes a
// request to a spread service. Any server can process it, so the selection
// depends on load, distance and failures only.
//
// A Policy relies on the requests that this daemon itself sent and on their
// outcomes, which are neither late nor misleading, as reports of load and health
// can be. PowerOfTwo is the policy for production; RoundRobin and Random are
// baselines.
//
// # Usage
//
//	policy := mtchoice.NewPowerOfTwo(random, options, mtchoice.NewAverage)
//	policy.Update(candidates) // when the roster or the offers have changed
//	server, ok := policy.Pick(now)
//	policy.Started(now, server)
//	policy.Ended(now, server, mtchoice.Result{Kind: mtchoice.Success, QueueTime: waited})
//
// The policies aren't safe for concurrent use.
package mtchoice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Candidate is a server that a policy may select.
type Candidate struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  int // requests that it runs concurrently, at least 1
}

// ResultKind classifies the outcome of a request by what it implies about the
// server.
type ResultKind uint8

// The kinds of results.
const (
	Success      ResultKind = iota // the server answered
	Failure                        // the server failed, hung or was unreachable
	Overloaded                     // the server is up but refused because of its load
	Inconclusive                   // the outcome implies nothing about the server
)

// Result is the outcome of a request.
type Result struct {
	Kind ResultKind
	// QueueTime is how long the request waited at the server's gate.
	QueueTime time.Duration
	// RetryAfter is the time after which an Overloaded server may be tried again.
	RetryAfter time.Duration
}

// Policy selects servers. The caller reports the start and the end of each request
// to it.
type Policy interface {
	// Update replaces the candidates. The state of those that remain is retained.
	Update(candidates []Candidate)
	// Pick returns a server, or false if there is no candidate.
	Pick(now mtclock.Instant) (mtid.Holder, bool)
	// Started records that a request is sent to the server.
	Started(now mtclock.Instant, server mtid.Holder)
	// Ended records how a request ended. The caller makes one call to Ended for
	// each call to Started.
	Ended(now mtclock.Instant, server mtid.Holder, r Result)
}

// sorted returns the candidates ordered by name and incarnation, so that the
// selection does not depend on the order in which they were given.
func sorted(candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Holder.Daemon, b.Holder.Daemon), cmp.Compare(a.Holder.Incarnation, b.Holder.Incarnation))
	})
	return out
}

// RoundRobin selects the servers in turn.
type RoundRobin struct {
	candidates []Candidate
	next       int
}

// NewRoundRobin returns a RoundRobin without candidates.
func NewRoundRobin() *RoundRobin { return &RoundRobin{} }

// Update implements Policy.
func (p *RoundRobin) Update(candidates []Candidate) { p.candidates = sorted(candidates) }

// Pick implements Policy.
func (p *RoundRobin) Pick(mtclock.Instant) (mtid.Holder, bool) {
	if len(p.candidates) == 0 {
		return mtid.Holder{}, false
	}
	p.next = (p.next + 1) % len(p.candidates)
	return p.candidates[p.next].Holder, true
}

// Started implements Policy.
func (*RoundRobin) Started(mtclock.Instant, mtid.Holder) {}

// Ended implements Policy.
func (*RoundRobin) Ended(mtclock.Instant, mtid.Holder, Result) {}

// Random selects each server with the same probability.
type Random struct {
	candidates []Candidate
	random     *rand.Rand
}

// NewRandom returns a Random without candidates.
func NewRandom(random *rand.Rand) *Random { return &Random{random: random} }

// Update implements Policy.
func (p *Random) Update(candidates []Candidate) { p.candidates = sorted(candidates) }

// Pick implements Policy.
func (p *Random) Pick(mtclock.Instant) (mtid.Holder, bool) {
	if len(p.candidates) == 0 {
		return mtid.Holder{}, false
	}
	return p.candidates[p.random.IntN(len(p.candidates))].Holder, true
}

// Started implements Policy.
func (*Random) Started(mtclock.Instant, mtid.Holder) {}

// Ended implements Policy.
func (*Random) Ended(mtclock.Instant, mtid.Holder, Result) {}
