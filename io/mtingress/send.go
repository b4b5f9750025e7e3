package mtingress

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtroom"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
)

// host runs calls on the backend server of this VM.
type host interface {
	Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
	Load() mtcall.Load
	// Claims returns what is known of a request, ClearedLosses the losses of which answers have
	// cleared it, and MarkAnswered records the answer of another daemon to a call with these claims.
	Claims(p mtpoison.Fingerprint) mtpoison.Claims
	ClearedLosses(p mtpoison.Fingerprint) []mtpoison.LossKey
	MarkAnswered(id mtcall.ID, p mtpoison.Fingerprint, c mtpoison.Claims)
	// Withdraw refuses tries that have not begun. See mtforward.Client.Withdraw.
	Withdraw(tries []mtid.TryID, remember time.Duration) int
}

// peers forwards calls to other daemons and reports their state.
type peers interface {
	Forward(ctx context.Context, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error)
	LoadReport(daemon mtid.Daemon) (mtforward.LoadReport, bool)
	Unresponsive(address string) bool
	Withdraw(ctx context.Context, address string, tries []mtid.TryID, remember time.Duration) (int, error)
}

const (
	// maxBounces is how often a call that no server has started is sent to another
	// server at once. A refusal by a server that is draining, has moved the key or is
	// full costs no server any work. The choice policy ends the search sooner if all
	// other servers were full a moment ago.
	maxBounces = 5
	// deadlineMargin is how long before its deadline a call counts as out of time: its caller,
	// its server or the daemon that has it may see the deadline pass a little before this daemon
	// does.
	deadlineMargin = 5 * time.Millisecond
)

// RetryFraction is the fraction of a retry that each first try of a service adds to the retry
// budget, unless a quota replaces it. The operators' limit for all daemons together is a fifth of
// the requests. It also covers the nested calls of a retried request.
const RetryFraction = 0.08

// SenderConfig holds the settings and dependencies of a Sender.
type SenderConfig struct {
	Self      mtid.Daemon
	Zone      mtid.Zone
	Grace     time.Duration // from SIGTERM until the daemon's process is killed
	Overload  mtoverload.Policies
	Retries   mtretry.Limits // of the retry quota; used if set and Overload.Retries is on
	Start     mtretry.Start  // of this process, for the retry quota
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

	triesMu sync.Mutex // protects tries
	tries   *mtshutdown.Tries

	mu      sync.Mutex // protects retry, quota and choices
	retry   *mtretry.Budgeted
	quota   *mtretry.Quota // replaces the budget of retry; nil without limits
	choices map[mtid.Service]*choice
}

// NewSender returns a Sender for the servers in the directory of config.
func NewSender(config SenderConfig) *Sender {
	s := &Sender{
		SenderConfig: config,
		tries:        mtshutdown.NewTries(),
		retry:        mtretry.NewBudgeted(config.Random),
		choices:      make(map[mtid.Service]*choice),
	}
	if config.Overload.Retries && config.Retries.Set() {
		s.quota = mtretry.NewQuota(config.Retries, config.Start)
	}
	return s
}

// sending is the state of one call that is being sent.
type sending struct {
	tried     []mtid.Holder   // daemons that refused the call or failed
	search    mtroom.Search   // for a server that has room
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
	// cleared are the losses of which answers have cleared the request, once it was refused as
	// poison: its next server may not know of the answers.
	cleared []mtpoison.LossKey
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
	case isRefused && refused.Cause == mtreply.CauseBusy:
		// It asks to look elsewhere, which has been done; its time is a wait, not one to return.
		return &mtreply.RefusedError{Cause: mtreply.CauseShed, RetryAfter: emptyRetry, Detail: "all servers have queues"}
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
	s.recordRequest(call)
	state := &sending{}
	fingerprint := call.Fingerprint()
	for {
		call.Claims = s.Host.Claims(fingerprint)
		call.Claims.Cleared = state.cleared
		if err := s.checkShutdown(call); err != nil && state.uncertain == nil {
			return nil, err
		}
		member, err := s.target(call, state)
		if err != nil {
			return nil, state.finalError(err)
		}
		begun := s.Clock.Now()
		if err := s.registerTry(begun, call, member, state); err != nil {
			return nil, err
		}
		answer, err := s.try(ctx, call, member)
		s.forgetTry(call)
		if err == nil {
			if answer.Finished() && member.Daemon != s.Self {
				s.Host.MarkAnswered(call.ID, fingerprint, call.Claims)
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
	if state.arrivals >= attempts || call.Claims.Suspect {
		return false
	}
	if !call.Keyed {
		state.tried = append(state.tried, holder(member))
	}
	wait, ok := s.mayRetry(call, state, err)
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
	if refused.Cause == mtreply.CauseWithdrawn {
		state.bounces++
		// Send refuses the call then, however many servers have refused it before.
		stopping := state.uncertain == nil && s.checkShutdown(call) != nil
		return stopping || state.bounces <= maxBounces
	}
	if refused.Cause == mtreply.CauseQuarantined {
		return s.vouch(call, state)
	}
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
	if s.handedBack(call, member, state, refused) {
		return true
	}
	if refused.Cause == mtreply.CauseExpired || call.Claims.Suspect {
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

// vouch reports whether to send a call again that was refused as poison, because answers that this
// daemon knows of have cleared it of some losses.
func (s *Sender) vouch(call *mtcall.Call, state *sending) bool {
	if len(state.cleared) > 0 {
		return false
	}
	state.cleared = s.Host.ClearedLosses(call.Fingerprint())
	return len(state.cleared) > 0
}

// full reports whether a server refused a call because of its load.
func full(cause mtreply.Cause) bool {
	return cause == mtreply.CauseShed || cause == mtreply.CauseQueueFull || cause == mtreply.CauseQuota
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
		now := s.Clock.Now()
		kind := resultKind(answer, err)
		if usedUpTime(err) && call.Deadline.Sub(now) < deadlineMargin {
			kind = mtchoice.Failure // the server had all of the call's time
		}
		s.choices[call.Service].policy.Ended(now, chosen, kind, s.report(member))
		s.mu.Unlock()
	}
	return answer, err
}

// usedUpTime reports whether a try ended because the caller left or the time of the call was over.
func usedUpTime(err error) bool {
	var refused *mtreply.RefusedError
	var unknown *mtreply.UnknownError
	return errors.As(err, &refused) && refused.Cause == mtreply.CauseExpired || errors.As(err, &unknown) && unknown.Cause == mtreply.CauseGone
}

// send sends the call to a member. If that is this daemon, it calls the host directly.
func (s *Sender) send(ctx context.Context, call *mtcall.Call, member mtdirectory.Member) (*mtcall.Answer, error) {
	if member.Daemon == s.Self {
		return s.Host.Run(ctx, call)
	}
	if s.Peers.Unresponsive(member.Address) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: ownerRetry, Detail: "the daemon has been silent"}
	}
	call.Announce = s.announces(call, member)
	return s.Peers.Forward(ctx, member.Daemon, member.Address, call)
}
