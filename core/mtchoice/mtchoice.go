// Package mtchoice decides, at the caller's daemon, which server of a spread
// service answers a request. Any server may; the choice is about load, distance
// and failures.
//
// A Policy sees what this daemon itself has sent and how that ended, which is
// neither late nor misleading, as reports of load and health are. Power is the
// policy meant for service; RoundRobin and Random are the plain ones.
//
// # Usage
//
//	policy := mtchoice.NewPower(random, options, mtchoice.NewAverage)
//	policy.Update(candidates) // when the roster or the offers changed
//	server, ok := policy.Pick(now)
//	policy.Started(now, server)
//	policy.Ended(now, server, mtchoice.Result{Kind: mtchoice.Good, Queue: waited})
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

// Candidate is a server that may be chosen.
type Candidate struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  int // requests that it runs at once, at least 1
}

// Kind says how a request ended, as far as the server's fitness goes.
type Kind uint8

// The kinds of result.
const (
	Good  Kind = iota // it answered
	Bad               // it broke, hung or couldn't be reached
	Busy              // it refused for its load: alive, but full
	Other             // the end says nothing of the server
)

// Result is the end of a request.
type Result struct {
	Kind Kind
	// Queue is how long the request waited at the server's gate.
	Queue time.Duration
	// RetryAfter is when a Busy server wants to be asked again.
	RetryAfter time.Duration
}

// Policy chooses servers. It is told the start and the end of each request.
type Policy interface {
	// Update replaces the candidates. What is known of those that stay is kept.
	Update(candidates []Candidate)
	// Pick returns a server, or false if there is no candidate.
	Pick(now mtclock.Instant) (mtid.Holder, bool)
	// Started says that a request is sent to the server.
	Started(now mtclock.Instant, server mtid.Holder)
	// Ended says how it ended. Each Started is followed by one Ended.
	Ended(now mtclock.Instant, server mtid.Holder, r Result)
}

// sorted returns the candidates in the order of their names, so that the same
// set gives the same choices whatever order it came in.
func sorted(candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Holder.Daemon, b.Holder.Daemon), cmp.Compare(a.Holder.Incarnation, b.Holder.Incarnation))
	})
	return out
}

// RoundRobin takes one server after the other.
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

// Random takes any server.
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
