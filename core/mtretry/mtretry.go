// Package mtretry decides whether the ingress sends a request once more.
//
// Only the ingress retries: neither the owner's daemon nor its client of the
// backend server ever does, since retries at several layers multiply. A request
// is sent again only if it is idempotent or proved not run, if another try may
// end otherwise, if its deadline leaves time for it, and if the budget of its
// business and class pays for it. Otherwise the caller gets the last answer at
// once; nothing is held back until its deadline.
//
// The budget is what keeps retries from becoming the load: each request earns
// the share of a retry that its class declares, and each retry costs a whole
// one. Budgeted is the policy meant for service, Fixed the plain one.
//
// # Usage
//
//	policy := mtretry.NewBudgeted(rand.New(rand.NewPCG(seed, 0)))
//	policy.Declare(flow, class.Retries)
//	policy.First(flow)
//	for tries := 1; ; tries++ {
//		err := try()
//		again, ok := policy.Next(now, mtretry.Attempt{Flow: flow, Tries: tries, Err: err, ...})
//		if !ok { return err }
//		wait until now.Add(again)
//	}
//
// The policies aren't safe for concurrent use.
package mtretry

import (
	"errors"
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Flow is what a budget belongs to.
type Flow struct {
	Business mtid.Business
	Class    mtid.Class
}

// Attempt describes the try that has just failed.
type Attempt struct {
	Flow       Flow
	Idempotent bool
	// Elsewhere says that the next try would go to another server, as is usual
	// for a service of kind spread.
	Elsewhere bool
	Tries     int // tries so far, from 1
	Redirects int // of these, how many ended with a newer route
	Deadline  mtclock.Instant
	Err       error
}

// Policy decides on retries. The ingress holds one.
type Policy interface {
	// First notes the first try of a request.
	First(flow Flow)
	// Next returns how long to wait before the next try, or false if there is
	// to be none and the caller gets a.Err now.
	Next(now mtclock.Instant, a Attempt) (time.Duration, bool)
}

// Bounds of a request's tries.
const (
	// MaxTries bounds the tries of one request, redirects not counted.
	MaxTries = 3
	// MaxRedirects bounds how often a request follows a newer route. A route
	// that changes more often than that is not worth following.
	MaxRedirects = 3
)

// Backoff between tries: full jitter below a bound that doubles.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Bounds of a budget, in retries.
const (
	// firstCredit lets a class with little traffic retry at all.
	firstCredit = 3.0
	// maxCredit bounds what a quiet time saves up for a bad one.
	maxCredit = 20.0
)

// DefaultRetries is what a request of an undeclared class earns.
const DefaultRetries = 0.1

// minTry is the least time that a try is worth being started for.
const minTry = 5 * time.Millisecond

// Fixed is the plain policy: a fixed number of tries for whatever may be sent
// again, with backoff but without a budget.
type Fixed struct {
	Tries  int
	Random *rand.Rand
}

// First implements Policy.
func (*Fixed) First(Flow) {}

// Next implements Policy.
func (p *Fixed) Next(now mtclock.Instant, a Attempt) (time.Duration, bool) {
	if a.Tries >= p.Tries || !safe(a) {
		return 0, false
	}
	wait := backoff(p.Random, a.Tries)
	return wait, now.Add(wait).Before(a.Deadline)
}

// Budgeted retries within a budget per business and class.
type Budgeted struct {
	random *rand.Rand
	flows  map[Flow]*budget
}

// budget is the credit of one flow.
type budget struct {
	earn   float64 // per first try
	credit float64
}

// NewBudgeted returns a policy without credit. random is its source of jitter.
func NewBudgeted(random *rand.Rand) *Budgeted {
	return &Budgeted{random: random, flows: make(map[Flow]*budget)}
}

// Declare sets the retries that each request of the flow earns, 0 to 1. It is
// called when a bundle comes into force; the credit stays.
func (p *Budgeted) Declare(flow Flow, retries float64) {
	b := p.budget(flow)
	b.earn = min(max(retries, 0), 1)
	if b.earn == 0 {
		b.credit = 0
	}
}

// First implements Policy.
func (p *Budgeted) First(flow Flow) {
	b := p.budget(flow)
	b.credit = min(b.credit+b.earn, maxCredit)
}

// Next implements Policy.
func (p *Budgeted) Next(now mtclock.Instant, a Attempt) (time.Duration, bool) {
	if !safe(a) || !Promising(a) {
		return 0, false
	}
	// A newer route costs no backend server anything and is mostly right, so it
	// is followed at once and free of the budget: a planned move sends all the
	// requests that it held to the new owner at the same time.
	if redirect(a.Err) {
		return 0, a.Redirects < MaxRedirects && now.Add(minTry).Before(a.Deadline)
	}
	if a.Tries-a.Redirects >= MaxTries {
		return 0, false
	}
	wait := max(backoff(p.random, a.Tries-a.Redirects), asked(a))
	if !now.Add(wait + minTry).Before(a.Deadline) {
		return 0, false
	}
	b := p.budget(a.Flow)
	if b.credit < 1 {
		return 0, false
	}
	b.credit--
	return wait, true
}

// Credit returns the retries that the flow could pay for now, for metrics.
func (p *Budgeted) Credit(flow Flow) float64 { return p.budget(flow).credit }

// budget returns the budget of a flow.
func (p *Budgeted) budget(flow Flow) *budget {
	b, ok := p.flows[flow]
	if !ok {
		b = &budget{earn: DefaultRetries, credit: firstCredit}
		p.flows[flow] = b
	}
	return b
}

// safe reports whether the try failed and sending the request again can't run
// it twice.
func safe(a Attempt) bool {
	if a.Err == nil {
		return false
	}
	var refused *mtreply.RefusedError
	return a.Idempotent || errors.As(a.Err, &refused)
}

// redirect reports whether the try ended with a newer route.
func redirect(err error) bool {
	var refused *mtreply.RefusedError
	return errors.As(err, &refused) && refused.Cause == mtreply.CauseStaleRoute
}

// asked returns how long the refusal asks to wait. It speaks of the server that
// refused: another one is asked without that wait.
func asked(a Attempt) time.Duration {
	var refused *mtreply.RefusedError
	if a.Elsewhere || !errors.As(a.Err, &refused) {
		return 0
	}
	return max(refused.RetryAfter, 0)
}

// Promising reports whether another try may end otherwise than the last.
func Promising(a Attempt) bool {
	var refused *mtreply.RefusedError
	if errors.As(a.Err, &refused) {
		return refused.RetryAfter >= 0 && promisingRefusal(refused.Cause, a.Elsewhere)
	}
	var unknown *mtreply.UnknownError
	if errors.As(a.Err, &unknown) {
		return promisingUnknown(unknown.Cause)
	}
	return true
}

// promisingRefusal says it for the causes of a refusal. Those that speak of one
// server's load or health are worth a try only elsewhere: the owner of a key
// has already weighed the request, and asking it again adds to the load that
// it was refused for.
func promisingRefusal(cause mtreply.Cause, elsewhere bool) bool {
	switch cause {
	case mtreply.CauseStaleRoute, mtreply.CauseNoOwner, mtreply.CauseNoLease,
		mtreply.CauseMoving, mtreply.CauseUnreachable, mtreply.CauseFenced,
		mtreply.CauseStopping, mtreply.CauseDraining, mtreply.CauseNoServer:
		return true
	case mtreply.CauseQueueFull, mtreply.CauseShed, mtreply.CauseRefused,
		mtreply.CauseRecentFull:
		return elsewhere
	}
	return false
}

// promisingUnknown says it for the causes of an unknown outcome. It matters
// for idempotent requests only.
func promisingUnknown(cause mtreply.Cause) bool {
	switch cause {
	case mtreply.CauseLost, mtreply.CauseTruncated, mtreply.CauseTimeout:
		return true
	}
	return false
}

// backoff returns the wait after so many tries, with full jitter: callers that
// failed together don't come back together.
func backoff(random *rand.Rand, tries int) time.Duration {
	bound := baseBackoff << max(tries-1, 0)
	if bound > maxBackoff || bound <= 0 {
		bound = maxBackoff
	}
	return time.Duration(random.Int64N(int64(bound)))
}
