package mtingress

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
)

// host runs calls on the backend server of this VM.
type host interface {
	Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
	Load() mtcall.Load
	// Answered reports whether a server has answered the same request before, and
	// MarkAnswered records that one has.
	Answered(p mtpoison.Fingerprint) bool
	MarkAnswered(p mtpoison.Fingerprint)
}

// peers forwards calls to other daemons and reports their state.
type peers interface {
	Forward(ctx context.Context, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error)
	LoadReport(daemon mtid.Daemon) (mtforward.LoadReport, bool)
	Unresponsive(address string) bool
}

const (
	// maxBounces is how often a call that no server has started is sent to another
	// server at once. A refusal by a server that is draining, has moved the key or is
	// full costs no server any work. The choice policy ends the search sooner if all
	// other servers were full a moment ago.
	maxBounces = 5
	// ownerWait is how long the ingress waits for an ownership update before it sends a
	// call for a moved key again, and ownerWaitGrowth the factor for each further wait.
	// Usually the update arrives first. A call for a key that is being moved is wasted
	// work for two daemons.
	ownerWait       = 15 * time.Millisecond
	ownerWaitGrowth = 1.6
	// ownerWaitLimit bounds all waits of a call together: the time that a notification by
	// another daemon and a read from the store take if this daemon's watch missed the update.
	ownerWaitLimit = 300 * time.Millisecond
	// ownerRetry is the Retry-After for keys whose owner can't be reached: about the time
	// that a daemon needs to become available again.
	ownerRetry = 800 * time.Millisecond
	// emptyRetry is the Retry-After for a service without any server.
	emptyRetry = 500 * time.Millisecond
	// maxRedirects is how often a call is sent again because a daemon does not own its key.
	maxRedirects = 20
	// expiredMemberUse is how long a member is still used after its record has been removed from
	// the store. While the store is unavailable leases may expire, and the records are
	// written again within two seconds after it has become available.
	expiredMemberUse = 3 * time.Second
	// otherZoneCost is the extra cost of a server in another availability zone: as much as
	// that of having all slots in use, because traffic between zones is billed.
	otherZoneCost = 1.0
)

// RetryFraction is the fraction of a retry that each first try of a service adds to the retry
// budget. The limit for all daemons together is a fifth of the requests. It also covers
// the nested calls of a retried request, which can't be distinguished from retries.
const RetryFraction = 0.08

// SenderConfig holds the settings and dependencies of a Sender.
type SenderConfig struct {
	Self      mtid.Daemon
	Zone      mtid.Zone
	Directory *mtdirectory.Directory
	Host      host
	Peers     peers
	Clock     clock
	Steady    func() mtclock.Instant // monotonic clock, for the ages of records
	Log       *slog.Logger
	Random    *rand.Rand
}

// Sender sends calls to backend servers and retries them where that is safe.
type Sender struct {
	SenderConfig
	shutdown atomic.Pointer[mtshutdown.Schedule] // nil before the daemon shuts down

	mu      sync.Mutex // protects retry and choices
	retry   *mtretry.Budgeted
	choices map[mtid.Service]*choice
}

// choice selects among the servers of one service.
type choice struct {
	policy            *mtchoice.LeastLoaded
	initialized       bool            // whether the policy has candidates from a view
	membershipVersion uint64          // of the view that the candidates come from
	updatedAt         mtclock.Instant // when the candidates were last updated
}

// NewSender returns a Sender for the servers in the directory of config.
func NewSender(config SenderConfig) *Sender {
	return &Sender{
		SenderConfig: config,
		retry:        mtretry.NewBudgeted(config.Random),
		choices:      make(map[mtid.Service]*choice),
	}
}

// sending is the state of one call that is being sent.
type sending struct {
	tried     []mtid.Holder   // daemons that refused the call or failed
	bounces   int             // refusals after which another server was tried at once
	redirects int             // tries after a refusal because the daemon didn't own the key
	waits     int             // waits for an ownership update
	movedAt   mtclock.Instant // when a daemon first refused the call because it didn't own the key
	// owner is the daemon that owns the key according to a refusal by another daemon,
	// which has a newer assignment than this one.
	owner    mtid.Daemon
	arrivals int // tries that may have reached a backend server
	// uncertain is the error of a try that may have run. From then on no refusal of a
	// later try proves that the call was not run.
	uncertain error
	last      error // error of the last try
	// soonest is the refusal by a full server that allows the earliest return.
	soonest *mtreply.RefusedError
}

// finalError returns the error for the caller, given the error of the last try.
func (s *sending) finalError(last error) error {
	var refused *mtreply.RefusedError
	isRefused := errors.As(last, &refused)
	switch {
	case isRefused && s.uncertain != nil:
		return s.uncertain
	case isRefused && refused.Cause == mtreply.CauseQuota && s.soonest != nil:
		// The other servers have room again long before one with a rate limit.
		return s.soonest
	}
	return last
}

// recordRefusal remembers the refusal of a full server if it allows an earlier return than
// those before.
func (s *sending) recordRefusal(err error) {
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) && full(refused.Cause) && (s.soonest == nil || refused.RetryAfter < s.soonest.RetryAfter) {
		s.soonest = refused
	}
}

// Send sends a call to a backend server and returns the response. It sends it to at most
// attempts servers one after the other; refusals before a server was reached don't count.
func (s *Sender) Send(ctx context.Context, call *mtcall.Call, attempts int) (*mtcall.Answer, error) {
	flow := mtretry.Flow{Class: mtid.Class(call.Service)}
	s.mu.Lock()
	s.retry.Declare(flow, RetryFraction)
	s.retry.RecordRequest(flow)
	s.mu.Unlock()
	state := &sending{}
	fingerprint := call.Fingerprint()
	call.AnsweredBefore = s.Host.Answered(fingerprint)
	for {
		if err := s.checkShutdown(call); err != nil && state.uncertain == nil {
			return nil, err
		}
		member, err := s.target(call, state)
		if err != nil {
			return nil, state.finalError(err)
		}
		begun := s.Clock.Now()
		answer, err := s.try(ctx, call, member)
		if err == nil {
			if answer.Finished() {
				s.Host.MarkAnswered(fingerprint)
			}
			return answer, nil
		}
		call.Tries = append(call.Tries, mtcall.Try{
			Daemon: member.Daemon, Cause: mtrequest.FromError(err).Cause, Took: s.Clock.Now().Sub(begun),
		})
		state.last = err
		state.recordRefusal(err)
		var unknown *mtreply.UnknownError
		if errors.As(err, &unknown) {
			state.uncertain = err
		}
		if !s.prepareRetry(ctx, call, member, state, attempts, err) {
			return nil, state.finalError(err)
		}
	}
}

// BeginShutdown refuses tries from now on that could outlast the daemon. A call may have waited
// for a slot, or for the new owner of its key, when the shutdown began.
func (s *Sender) BeginShutdown(schedule mtshutdown.Schedule) { s.shutdown.Store(&schedule) }

// checkShutdown returns a *mtreply.RefusedError if a try that begins now could outlast the
// daemon. A nested call is not refused: the call that waits for it was accepted.
func (s *Sender) checkShutdown(call *mtcall.Call) error {
	schedule := s.shutdown.Load()
	if schedule == nil || call.Nested {
		return nil
	}
	return schedule.Check(s.Clock.Now(), call.Deadline)
}

// prepareRetry reports whether to send a call again after an error, and waits before that if
// necessary.
func (s *Sender) prepareRetry(ctx context.Context, call *mtcall.Call, member mtdirectory.Member, state *sending, attempts int, err error) bool {
	if ctx.Err() != nil || !s.Clock.Now().Before(call.Deadline) {
		return false
	}
	if !mayHaveReachedServer(err) {
		return s.bounce(ctx, call, member, state, err)
	}
	state.arrivals++
	call.Repeat = true
	if state.arrivals >= attempts {
		return false
	}
	if !call.Keyed {
		state.tried = append(state.tried, holder(member))
	}
	s.mu.Lock()
	wait, ok := s.retry.Next(s.Clock.Now(), mtretry.Attempt{
		Flow:       mtretry.Flow{Class: mtid.Class(call.Service)},
		Idempotent: call.Idempotent,
		Elsewhere:  true,
		Tries:      state.arrivals,
		Deadline:   call.Deadline,
		Err:        err,
	})
	s.mu.Unlock()
	return ok && mtduty.Sleep(ctx, wait)
}

// mayHaveReachedServer reports whether a failed try may have reached a backend server, so
// that another try counts as a retry.
func mayHaveReachedServer(err error) bool {
	var refused *mtreply.RefusedError
	if !errors.As(err, &refused) {
		return true
	}
	return refused.Cause == mtreply.CauseRefused || refused.Cause == mtreply.CauseFenced
}

// bounce reports whether to send a call again that did not reach a backend server.
func (s *Sender) bounce(ctx context.Context, call *mtcall.Call, member mtdirectory.Member, state *sending, err error) bool {
	var refused *mtreply.RefusedError
	errors.As(err, &refused)
	if call.Keyed {
		if refused.Cause != mtreply.CauseStaleRoute && refused.Cause != mtreply.CauseNoLease {
			return false
		}
		if refused.RetryAfter > ownerWaitLimit {
			return false // the key will have no owner before ownerWaitLimit has passed
		}
		now := s.Clock.Now()
		if state.movedAt == 0 {
			state.movedAt = now
		}
		state.redirects++
		if now.Sub(state.movedAt) > ownerWaitLimit || state.redirects > maxRedirects {
			return false
		}
		if s.redirected(call, state, member, refused) {
			return true
		}
		return s.awaitOwner(ctx, call, state)
	}
	if refused.Cause == mtreply.CauseExpired || refused.Cause == mtreply.CauseQuarantined {
		return false
	}
	state.tried = append(state.tried, holder(member))
	state.bounces++
	// Don't look for spare capacity in other zones for a call that is late already: it
	// would occupy slots that calls in time need, and the traffic between zones costs
	// more than a late response is worth. The rate limit of one server shows no overload of
	// the others.
	if full(refused.Cause) && refused.Cause != mtreply.CauseQuota && call.Late(s.Clock.Now(), call.TypicalService) {
		return false
	}
	return state.bounces <= maxBounces
}

// awaitOwner waits until an update changes the ownership of the call's key, or until it is
// time for the next try. It returns false if the context or the call's time ends first.
func (s *Sender) awaitOwner(ctx context.Context, call *mtcall.Call, state *sending) bool {
	pause := time.Duration(float64(ownerWait) * math.Pow(ownerWaitGrowth, float64(state.waits)))
	state.waits++
	left := call.Deadline.Sub(s.Clock.Now())
	waitCtx, cancel := context.WithTimeout(ctx, min(pause, left))
	defer cancel()
	before := s.epoch(call)
	for {
		changed := s.Directory.Changed()
		if s.epoch(call) != before {
			return true
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			return ctx.Err() == nil && pause < left
		}
	}
}

// epoch returns the epoch of the ownership of the call's key in the local assignment, or 0
// if there is no assignment.
func (s *Sender) epoch(call *mtcall.Call) mtid.Epoch {
	assignment, ok := s.Directory.View().Assignments[call.Service]
	if !ok {
		return 0
	}
	r, _ := assignment.Lookup(call.Key)
	return r.Epoch
}

// redirected reports whether the refusal of a call names the owner of its key from a newer
// assignment than the local one, so that the call is sent there at once. The update of a
// moved key takes a tenth of a second to arrive, and without redirection one in ten lookups
// was sent to the previous owner again and again until its deadline.
func (s *Sender) redirected(call *mtcall.Call, state *sending, sentTo mtdirectory.Member, refused *mtreply.RefusedError) bool {
	previous := state.owner
	state.owner = ""
	newer := refused.Epoch > s.Directory.View().Assignments[call.Service].NextEpoch()
	if refused.Cause != mtreply.CauseStaleRoute || refused.Owner == "" || refused.Owner == sentTo.Daemon || !newer {
		if refused.Cause == mtreply.CauseNoLease {
			state.owner = previous // the key is about to be granted there
		}
		return false
	}
	state.owner = refused.Owner
	return true
}

// full reports whether a server refused a call because of its load.
func full(cause mtreply.Cause) bool {
	return cause == mtreply.CauseShed || cause == mtreply.CauseQueueFull || cause == mtreply.CauseQuota
}

// holder identifies a member for the choice policy. The policy needs no incarnations.
func holder(m mtdirectory.Member) mtid.Holder { return mtid.Holder{Daemon: m.Daemon, Incarnation: 1} }

// target returns the member to send the call to next.
func (s *Sender) target(call *mtcall.Call, state *sending) (mtdirectory.Member, error) {
	view := s.Directory.View()
	if call.Keyed {
		return s.owner(view, call, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.choice(view, call.Service)
	chosen, ok := c.policy.Pick(s.Clock.Now(), state.tried)
	if !ok && state.last != nil {
		return mtdirectory.Member{}, state.last // every server has been tried
	}
	if !ok {
		return mtdirectory.Member{}, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: emptyRetry, Detail: "no server takes calls of the service"}
	}
	return view.Members[chosen.Daemon], nil
}

// owner returns the member whose server owns the call's key.
func (s *Sender) owner(view *mtdirectory.View, call *mtcall.Call, state *sending) (mtdirectory.Member, error) {
	assignment, ok := view.Assignments[call.Service]
	if !ok {
		return mtdirectory.Member{}, &mtreply.RefusedError{Cause: mtreply.CauseNoOwner, RetryAfter: emptyRetry, Detail: "no assignment is known"}
	}
	r, _ := assignment.Lookup(call.Key)
	owner := r.Owner.Daemon
	if state.owner != "" {
		owner = state.owner
	}
	member, ok := view.Members[owner]
	if !ok || member.Service != call.Service {
		return mtdirectory.Member{}, &mtreply.RefusedError{Cause: mtreply.CauseNoOwner, RetryAfter: ownerRetry, Detail: "the owner's daemon is away"}
	}
	return member, nil
}

// choice returns the choice of a service, with its candidates updated to the view.
func (s *Sender) choice(view *mtdirectory.View, service mtid.Service) *choice {
	c, ok := s.choices[service]
	if !ok {
		c = &choice{policy: mtchoice.NewLeastLoaded(s.Random, s.Zone, otherZoneCost)}
		s.choices[service] = c
	}
	now := s.Steady()
	if c.initialized && c.membershipVersion == view.MembershipVersion && now.Sub(c.updatedAt) < expiredMemberUse/4 {
		return c
	}
	c.initialized, c.membershipVersion, c.updatedAt = true, view.MembershipVersion, now
	var candidates []mtchoice.Candidate
	for _, m := range view.Members {
		if m.Service == service && !view.OutOfService.Has(m.Zone) && s.usable(m, now) {
			candidates = append(candidates, mtchoice.Candidate{Holder: holder(m), Zone: m.Zone, Slots: m.Slots})
		}
	}
	c.policy.Update(candidates)
	return c
}

// usable reports whether calls may be sent to a member.
func (s *Sender) usable(m mtdirectory.Member, now mtclock.Instant) bool {
	if !m.AcceptsWork() {
		return false
	}
	if !m.Expired {
		return true
	}
	// While the store is unavailable, no daemon can renew its record.
	up, ok := s.Directory.StoreUpSince()
	return !ok || now.Sub(max(up, m.ExpiredSince)) < expiredMemberUse
}

// try sends the call to a member once, and informs the choice policy of its start and end.
func (s *Sender) try(ctx context.Context, call *mtcall.Call, member mtdirectory.Member) (*mtcall.Answer, error) {
	chosen := holder(member)
	if !call.Keyed {
		s.mu.Lock()
		s.choices[call.Service].policy.Started(chosen)
		s.mu.Unlock()
	}
	answer, err := s.send(ctx, call, member)
	if !call.Keyed {
		s.mu.Lock()
		s.choices[call.Service].policy.Ended(s.Clock.Now(), chosen, resultKind(answer, err), s.report(member))
		s.mu.Unlock()
	}
	return answer, err
}

// send sends the call to a member. If that is this daemon, it calls the host directly.
func (s *Sender) send(ctx context.Context, call *mtcall.Call, member mtdirectory.Member) (*mtcall.Answer, error) {
	if member.Daemon == s.Self {
		return s.Host.Run(ctx, call)
	}
	if s.Peers.Unresponsive(member.Address) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: ownerRetry, Detail: "the daemon has been silent"}
	}
	return s.Peers.Forward(ctx, member.Daemon, member.Address, call)
}

// report returns the last load report of a member, or the zero value if there is none.
func (s *Sender) report(member mtdirectory.Member) mtchoice.LoadReport {
	if member.Daemon == s.Self {
		load := s.Host.Load()
		return mtchoice.LoadReport{Requests: load.Running + load.Waiting, ServiceTime: load.ServiceTime, Capacity: load.Capacity, ReceivedAt: s.Clock.Now()}
	}
	r, ok := s.Peers.LoadReport(member.Daemon)
	if !ok {
		return mtchoice.LoadReport{}
	}
	return mtchoice.LoadReport{Requests: r.Running + r.Waiting, ServiceTime: r.ServiceTime, Capacity: r.Capacity, ReceivedAt: r.ReceivedAt}
}

// resultKind classifies the result of a try by what it shows about the server.
func resultKind(answer *mtcall.Answer, err error) mtchoice.ResultKind {
	var refused *mtreply.RefusedError
	if err == nil && answer.OutOfTime() {
		return mtchoice.Failure
	}
	if err == nil {
		return mtchoice.Success
	}
	if errors.As(err, &refused) {
		if full(refused.Cause) {
			return mtchoice.Overloaded
		}
		switch refused.Cause {
		case mtreply.CauseUnreachable, mtreply.CauseNoServer, mtreply.CauseRefused, mtreply.CauseDraining, mtreply.CauseZoneOut:
			return mtchoice.Failure
		}
		return mtchoice.Inconclusive
	}
	var unknown *mtreply.UnknownError
	if errors.As(err, &unknown) && unknown.Cause == mtreply.CauseGone {
		return mtchoice.Inconclusive
	}
	return mtchoice.Failure
}
