// Package mtretry decides whether the ingress retries a request.
//
// Only the ingress retries: neither the owner's daemon nor its client of the
// backend server ever does, since retries at several layers multiply. A request is
// retried only if it is idempotent or proved not run, if another try may have a
// different outcome, if its deadline leaves enough time, and if the retry budget of
// its business and class allows it. Otherwise the caller gets the last outcome
// immediately, not only at its deadline.
//
// The budget keeps retries from overloading the servers: each request earns the
// fraction of a retry that its class declares, and each retry costs one.
// Budgeted is the policy for production, Fixed the baseline for comparison.
//
// # Usage
//
//	policy := mtretry.NewBudgeted(rand.New(rand.NewPCG(seed, 0)))
//	policy.Declare(flow, class.Retries)
//	policy.RecordRequest(flow)
//	for tries := 1; ; tries++ {
//		err := try()
//		wait, ok := policy.Next(now, mtretry.Attempt{Flow: flow, Tries: tries, Err: err, ...})
//		if !ok { return err }
//		sleep until now.Add(wait)
//	}
//
// # Quota
//
// A Quota replaces the budget where the operators limit the repeats of a service summed over all
// daemons: see Limits. A repeat is a retry, or the first try of a nested call of a run that is itself
// a repeat. Without a message between daemons, each of N daemons takes a retry only if in each window
// that contains it, its own repeats stay within
//
//	Ratio x its own requests + Extra/N
//
// with its requests counted from half a window before that window to the middle of it. This keeps
// the sum over all daemons within Ratio x all requests + Extra, in any window: when a daemon took its
// last retry in the window, all its repeats until then passed the check for just this window. The N
// bounds add up because the requests of all daemons are counted over the same time. Requests that
// arrive later only raise the bound.
//
// Nested repeats count for the service that is called. They are charged but never refused; retries
// are refused until all fit in again. So a window may exceed the bound by the nested repeats after
// the last retry in it. A part of Ratio is kept for these.
//
// The proof assumes that N is the same at all daemons. A restarted daemon doesn't know what it has
// spent: it gets no part of Extra until a window has passed. When all daemons start for the first
// time, none has spent anything. As there were no earlier requests, windows that began before the
// first request then count their own requests, at all daemons. This assumes that requests reach all
// daemons from about the same moment.
//
//	quota := mtretry.NewQuota(mtretry.Limits{Ratio: 0.2, Extra: 160, Window: 10 * time.Second}, mtretry.Restart)
//	quota.RecordRequest(now, service)
//	wait, ok := policy.Wait(now, attempt)
//	ok = ok && quota.Spend(now, service, daemons, mtretry.InTime)
//
// The policies and the Quota aren't safe for concurrent use.
package mtretry

import (
	"errors"
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Flow identifies a budget: the requests of one class of one business.
type Flow struct {
	Business mtid.Business
	Class    mtid.Class
}

// Attempt describes a failed try and the request that it belongs to.
type Attempt struct {
	Flow       Flow
	Idempotent bool
	// Elsewhere is set if the next try would go to another server, as is usual for a
	// service of kind spread.
	Elsewhere bool
	Tries     int // number of tries so far, at least 1
	Redirects int // how many of these ended with a newer route
	Deadline  mtclock.Instant
	Err       error
}

// Policy decides on retries. The ingress has one.
type Policy interface {
	// RecordRequest records a new request before its first try.
	RecordRequest(flow Flow)
	// Next returns how long to wait before the next try, or false if the request
	// must not be retried and the caller gets a.Err now.
	Next(now mtclock.Instant, a Attempt) (time.Duration, bool)
}

// Limits on the tries of a request.
const (
	// MaxTries is the maximum number of tries, not counting redirects.
	MaxTries = 3
	// MaxRedirects is how often a request follows a newer route. If the route
	// changes more often than that, following it further is not worthwhile.
	MaxRedirects = 3
)

// Bounds of the backoff between tries. The backoff has full jitter below a limit that
// doubles with each try.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Limits on the credit of a budget, in retries.
const (
	// initialCredit allows retries in classes with little traffic.
	initialCredit = 3.0
	// maxCredit limits the credit that accumulates while few requests fail.
	maxCredit = 20.0
)

// DefaultRetries is the fraction of a retry that each request earns in a class that is
// not declared.
const DefaultRetries = 0.1

// minTryTime is the least time before the deadline for which a try is worthwhile.
const minTryTime = 5 * time.Millisecond

// Fixed allows a fixed number of tries, with backoff but without a budget, for every
// request that may be sent again.
type Fixed struct {
	Tries  int
	Random *rand.Rand
}

// RecordRequest implements Policy.
func (*Fixed) RecordRequest(Flow) {}

// Next implements Policy.
func (p *Fixed) Next(now mtclock.Instant, a Attempt) (time.Duration, bool) {
	if a.Tries >= p.Tries || !safeToResend(a) {
		return 0, false
	}
	wait := backoff(p.Random, a.Tries)
	return wait, now.Add(wait).Before(a.Deadline)
}

// Budgeted limits retries by a budget per business and class.
type Budgeted struct {
	random *rand.Rand
	flows  map[Flow]*budget
}

// budget is the retry budget of one flow.
type budget struct {
	earn   float64 // credit earned by each request
	credit float64
}

// NewBudgeted returns a policy with no flows. It uses random for the jitter.
func NewBudgeted(random *rand.Rand) *Budgeted {
	return &Budgeted{random: random, flows: make(map[Flow]*budget)}
}

// Declare sets the fraction of a retry that each request of the flow earns, 0 to 1.
// It is called when a bundle comes into force. The credit is retained unless the
// fraction is 0.
func (p *Budgeted) Declare(flow Flow, retries float64) {
	b := p.budget(flow)
	b.earn = min(max(retries, 0), 1)
	if b.earn == 0 {
		b.credit = 0
	}
}

// RecordRequest implements Policy.
func (p *Budgeted) RecordRequest(flow Flow) {
	b := p.budget(flow)
	b.credit = min(b.credit+b.earn, maxCredit)
}

// Next implements Policy.
func (p *Budgeted) Next(now mtclock.Instant, a Attempt) (time.Duration, bool) {
	wait, ok := p.Wait(now, a)
	if !ok || isRedirect(a.Err) {
		return wait, ok
	}
	b := p.budget(a.Flow)
	if b.credit < 1 {
		return 0, false
	}
	b.credit--
	return wait, true
}

// Wait is like Next, without the budget: it neither needs credit nor takes any.
func (p *Budgeted) Wait(now mtclock.Instant, a Attempt) (time.Duration, bool) {
	if !safeToResend(a) || !MaySucceed(a) {
		return 0, false
	}
	// Following a newer route costs no backend server any time and usually succeeds,
	// so it needs neither a wait nor credit. After a planned move all held requests
	// are redirected to the new owner at the same time.
	if isRedirect(a.Err) {
		return 0, a.Redirects < MaxRedirects && now.Add(minTryTime).Before(a.Deadline)
	}
	if a.Tries-a.Redirects >= MaxTries {
		return 0, false
	}
	wait := max(backoff(p.random, a.Tries-a.Redirects), requestedWait(a))
	if !now.Add(wait + minTryTime).Before(a.Deadline) {
		return 0, false
	}
	return wait, true
}

// Credit returns the number of retries that the flow's budget allows now, for metrics.
func (p *Budgeted) Credit(flow Flow) float64 { return p.budget(flow).credit }

// budget returns the budget of a flow, with the defaults if it is new.
func (p *Budgeted) budget(flow Flow) *budget {
	b, ok := p.flows[flow]
	if !ok {
		b = &budget{earn: DefaultRetries, credit: initialCredit}
		p.flows[flow] = b
	}
	return b
}

// safeToResend reports whether the try failed and sending the request again can't
// run it twice.
func safeToResend(a Attempt) bool {
	if a.Err == nil {
		return false
	}
	var refused *mtreply.RefusedError
	return a.Idempotent || errors.As(a.Err, &refused)
}

// isRedirect reports whether the try ended with a newer route.
func isRedirect(err error) bool {
	var refused *mtreply.RefusedError
	return errors.As(err, &refused) && refused.Cause == mtreply.CauseStaleRoute
}

// requestedWait returns the wait that the refusal requests. It applies to the server
// that refused, so a try at another server doesn't wait.
func requestedWait(a Attempt) time.Duration {
	var refused *mtreply.RefusedError
	if a.Elsewhere || !errors.As(a.Err, &refused) {
		return 0
	}
	return max(refused.RetryAfter, 0)
}

// MaySucceed reports whether another try may have a different outcome than the last.
func MaySucceed(a Attempt) bool {
	var refused *mtreply.RefusedError
	if errors.As(a.Err, &refused) {
		return refused.RetryAfter >= 0 && retryableRefusal(refused.Cause, a.Elsewhere)
	}
	var unknown *mtreply.UnknownError
	if errors.As(a.Err, &unknown) {
		return retryableUnknown(unknown.Cause)
	}
	return true
}

// retryableRefusal is MaySucceed for the causes of a refusal. Causes that concern the
// load or health of one server justify a retry only at another server: the owner of a
// key has already weighed the request, and a retry would add to the load for which it
// was refused.
func retryableRefusal(cause mtreply.Cause, elsewhere bool) bool {
	switch cause {
	case mtreply.CauseStaleRoute, mtreply.CauseNoOwner, mtreply.CauseNoLease,
		mtreply.CauseMoving, mtreply.CauseUnreachable, mtreply.CauseFenced,
		mtreply.CauseStopping, mtreply.CauseDraining, mtreply.CauseNoServer:
		return true
	case mtreply.CauseQueueFull, mtreply.CauseShed, mtreply.CauseQuota, mtreply.CauseRefused, mtreply.CauseLinkFull,
		mtreply.CauseMemoryFull, mtreply.CauseRecentFull:
		return elsewhere
	}
	return false
}

// retryableUnknown is MaySucceed for the causes of an unknown outcome. It matters only
// for idempotent requests.
func retryableUnknown(cause mtreply.Cause) bool {
	switch cause {
	case mtreply.CauseLost, mtreply.CauseTruncated, mtreply.CauseTimeout:
		return true
	}
	return false
}

// backoff returns the wait after the given number of tries. Full jitter keeps callers
// that failed at the same time from retrying at the same time.
func backoff(random *rand.Rand, tries int) time.Duration {
	bound := baseBackoff << max(tries-1, 0)
	if bound > maxBackoff || bound <= 0 {
		bound = maxBackoff
	}
	return time.Duration(random.Int64N(int64(bound)))
}
