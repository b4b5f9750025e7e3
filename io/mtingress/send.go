package mtingress

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
)

// host runs calls on the backend server of this VM.
type host interface {
	Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error)
	Load() mtcall.Load
	// Proven reports whether a server has answered the same request before, and Prove
	// notes that one has.
	Proven(p mtpoison.Fingerprint) bool
	Prove(p mtpoison.Fingerprint)
}

// peers send calls to other daemons.
type peers interface {
	Forward(ctx context.Context, daemon mtid.Daemon, address string, call *mtcall.Call) (*mtcall.Answer, error)
	Report(daemon mtid.Daemon) (mtforward.Report, bool)
	Silent(address string) bool
}

const (
	// bounces is how often a call that no server has begun goes to another one
	// at once. A draining server, one that has moved the key, or a full one
	// beside others with room cost no server anything. The choice ends it sooner
	// where all others were full a moment ago.
	bounces = 5
	// moved is how long the ingress waits for news of a key's new owner before it asks
	// again for the first time, and movedGrowth by how much longer each time after that.
	// Mostly it hears of the owner first; calls for keys on their way are two daemons'
	// work for nothing.
	moved       = 15 * time.Millisecond
	movedGrowth = 1.6
	// movedFor is for how long it does so: as long as another daemon's word that
	// there is news, and a reading of the store, take when the own watch is deaf.
	movedFor = 300 * time.Millisecond
	// ownerRetry is when to ask again for keys whose owner can't be reached:
	// about the time in which a daemon is back.
	ownerRetry = 800 * time.Millisecond
	// emptyRetry is when to ask again for a service without any server.
	emptyRetry = 500 * time.Millisecond
	// redirects bounds how often a key that is not held where it was asked for is asked
	// for again.
	redirects = 20
	// lapsedUse is how long a record that is gone from the store is still used:
	// while the store is away leases may run out, and records are back within
	// two seconds of its return.
	lapsedUse = 3 * time.Second
	// farCost is what a server in another availability zone costs more: as much as
	// all slots in use. The bytes between zones are paid for.
	farCost = 1.0
)

// Retries is what each first try of a service earns towards a second one. The
// limit for all daemons together is a fifth of the requests; nested calls that a
// repeated request makes count as repeats too and can't be told apart.
const Retries = 0.08

// SenderConfig is what a Sender works with.
type SenderConfig struct {
	Self      mtid.Daemon
	Zone      mtid.Zone
	Directory *mtdirectory.Directory
	Host      host
	Peers     peers
	Clock     clock
	Steady    func() mtclock.Instant
	Log       *slog.Logger
	Random    *rand.Rand
}

// Sender takes calls to backend servers, once or again.
type Sender struct {
	SenderConfig
	mu      sync.Mutex // guards what follows
	retry   *mtretry.Budgeted
	choices map[mtid.Service]*choice
}

// choice chooses among the servers of one service.
type choice struct {
	policy *mtchoice.LeastLoaded
	known  bool
	roll   uint64 // of the view whose members it knows
	at     mtclock.Instant
}

// NewSender returns a Sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{
		SenderConfig: config,
		retry:        mtretry.NewBudgeted(config.Random),
		choices:      make(map[mtid.Service]*choice),
	}
}

// sending is the state of one call on its way.
type sending struct {
	tried     []mtid.Holder // daemons that can't or won't take it
	bounced   int
	redirects int             // other owners asked, or the same one again
	waits     int             // for news of another owner
	movedAt   mtclock.Instant // when the key was first not held where it was asked for
	// owner is the daemon beside the owner of the key, as another daemon says that
	// has heard more of the assignment.
	owner    mtid.Daemon
	arrivals int // at backend servers
	// doubt is the failure of a try that may have run. Whatever later tries say,
	// the call is not proved not run any more.
	doubt error
	last  error // of the tries so far
}

// verdict returns what the caller is told after a last failure.
func (s *sending) verdict(last error) error {
	var refused *mtreply.RefusedError
	if s.doubt != nil && errors.As(last, &refused) {
		return s.doubt
	}
	return last
}

// Send implements the sender of an Ingress. attempts is how many servers may be
// given the call at most.
func (s *Sender) Send(ctx context.Context, call *mtcall.Call, attempts int) (*mtcall.Answer, error) {
	flow := mtretry.Flow{Class: mtid.Class(call.Service)}
	s.mu.Lock()
	s.retry.Declare(flow, Retries)
	s.retry.First(flow)
	s.mu.Unlock()
	state := &sending{}
	mark := call.Fingerprint()
	call.Proven = s.Host.Proven(mark)
	for {
		member, err := s.target(call, state)
		if err != nil {
			return nil, state.verdict(err)
		}
		begun := s.Clock.Now()
		answer, err := s.try(ctx, call, member)
		if err == nil {
			s.Host.Prove(mark)
			return answer, nil
		}
		call.Tries = append(call.Tries, mtcall.Try{
			Daemon: member.Daemon, Cause: mtrequest.FromError(err).Cause, Took: s.Clock.Now().Sub(begun),
		})
		state.last = err
		var unknown *mtreply.UnknownError
		if errors.As(err, &unknown) {
			state.doubt = err
		}
		if !s.again(ctx, call, member, state, attempts, err) {
			return nil, state.verdict(err)
		}
	}
}

// again decides whether the call is sent once more, and waits if need be.
func (s *Sender) again(ctx context.Context, call *mtcall.Call, member mtdirectory.Member, state *sending, attempts int, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if !reached(err) {
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

// reached reports whether the failed try may have reached a backend server, so
// that another one is a repeat.
func reached(err error) bool {
	var refused *mtreply.RefusedError
	if !errors.As(err, &refused) {
		return true
	}
	return refused.Cause == mtreply.CauseRefused || refused.Cause == mtreply.CauseFenced
}

// bounce decides about a call that no backend server has seen.
func (s *Sender) bounce(ctx context.Context, call *mtcall.Call, member mtdirectory.Member, state *sending, err error) bool {
	var refused *mtreply.RefusedError
	errors.As(err, &refused)
	if call.Keyed {
		if refused.Cause != mtreply.CauseStaleRoute && refused.Cause != mtreply.CauseNoLease {
			return false
		}
		if refused.RetryAfter > movedFor {
			return false // nobody will hold the key before the waiting here is over
		}
		now := s.Clock.Now()
		if state.movedAt == 0 {
			state.movedAt = now
		}
		state.redirects++
		if now.Sub(state.movedAt) > movedFor || state.redirects > redirects {
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
	state.bounced++
	// A call that is late already isn't worth looking for room in other zones: it
	// would take the slots of calls that are still in time, and the bytes cost more
	// than a late answer is worth.
	if full(refused.Cause) && call.Late(s.Clock.Now(), call.TypicalService) {
		return false
	}
	return state.bounced <= bounces
}

// awaitOwner waits until another owner of the call's key is known, or until it is time to
// ask again. It returns false once the caller has gone.
func (s *Sender) awaitOwner(ctx context.Context, call *mtcall.Call, state *sending) bool {
	pause := time.Duration(float64(moved) * math.Pow(movedGrowth, float64(state.waits)))
	state.waits++
	waiting, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	before := s.epoch(call)
	for {
		changed := s.Directory.Changed()
		if s.epoch(call) != before {
			return true
		}
		select {
		case <-changed:
		case <-waiting.Done():
			return ctx.Err() == nil
		}
	}
}

// epoch returns the epoch under which the call's key is owned, as far as is known here.
func (s *Sender) epoch(call *mtcall.Call) mtid.Epoch {
	assignment, ok := s.Directory.View().Assignments[call.Service]
	if !ok {
		return 0
	}
	r, _ := assignment.Lookup(call.Key)
	return r.Epoch
}

// redirected reports whether the daemon that refused a key has told who owns it, by an
// assignment that is not known here yet: then the call goes there at once. News of a
// move take a tenth of a second, and until then one in ten lookups was asked for again
// and again where the key had been, until its time was over.
func (s *Sender) redirected(call *mtcall.Call, state *sending, asked mtdirectory.Member, refused *mtreply.RefusedError) bool {
	former := state.owner
	state.owner = ""
	newer := refused.Epoch > s.Directory.View().Assignments[call.Service].NextEpoch()
	if refused.Cause != mtreply.CauseStaleRoute || refused.Owner == "" || refused.Owner == asked.Daemon || !newer {
		if refused.Cause == mtreply.CauseNoLease {
			state.owner = former // it is about to be granted there
		}
		return false
	}
	state.owner = refused.Owner
	return true
}

// full reports whether a server refused for its load.
func full(cause mtreply.Cause) bool {
	return cause == mtreply.CauseShed || cause == mtreply.CauseQueueFull
}

// holder names a member for the choice policy.
func holder(m mtdirectory.Member) mtid.Holder { return mtid.Holder{Daemon: m.Daemon, Incarnation: 1} }

// target returns the daemon to ask next.
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
		return mtdirectory.Member{}, state.last // every server has been asked
	}
	if !ok {
		return mtdirectory.Member{}, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: emptyRetry, Detail: "no server takes calls of the service"}
	}
	return view.Members[chosen.Daemon], nil
}

// owner returns the daemon beside the owner of the call's key.
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

// choice returns the choice of a service, brought up to date.
func (s *Sender) choice(view *mtdirectory.View, service mtid.Service) *choice {
	c, ok := s.choices[service]
	if !ok {
		c = &choice{policy: mtchoice.NewLeastLoaded(s.Random, s.Zone, farCost)}
		s.choices[service] = c
	}
	now := s.Steady()
	if c.known && c.roll == view.MembershipVersion && now.Sub(c.at) < lapsedUse/4 {
		return c
	}
	c.known, c.roll, c.at = true, view.MembershipVersion, now
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
	// While the store does not answer, nobody can renew a record there.
	up, ok := s.Directory.StoreUpSince()
	return !ok || now.Sub(max(up, m.ExpiredSince)) < lapsedUse
}

// try sends the call to a member, once.
func (s *Sender) try(ctx context.Context, call *mtcall.Call, member mtdirectory.Member) (*mtcall.Answer, error) {
	chosen := holder(member)
	if !call.Keyed {
		s.mu.Lock()
		s.choices[call.Service].policy.Started(chosen)
		s.mu.Unlock()
	}
	answer, err := s.pass(ctx, call, member)
	if !call.Keyed {
		s.mu.Lock()
		s.choices[call.Service].policy.Ended(s.Clock.Now(), chosen, kind(err), s.report(member))
		s.mu.Unlock()
	}
	return answer, err
}

// pass takes the call to the member: by a function call if it is this daemon.
func (s *Sender) pass(ctx context.Context, call *mtcall.Call, member mtdirectory.Member) (*mtcall.Answer, error) {
	if member.Daemon == s.Self {
		return s.Host.Run(ctx, call)
	}
	if s.Peers.Silent(member.Address) {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, RetryAfter: ownerRetry, Detail: "the daemon has been silent"}
	}
	return s.Peers.Forward(ctx, member.Daemon, member.Address, call)
}

// report returns what is known of the member's load.
func (s *Sender) report(member mtdirectory.Member) mtchoice.LoadReport {
	if member.Daemon == s.Self {
		load := s.Host.Load()
		return mtchoice.LoadReport{Requests: load.Running + load.Waiting, ServiceTime: load.ServiceTime, ReceivedAt: s.Clock.Now()}
	}
	r, ok := s.Peers.Report(member.Daemon)
	if !ok {
		return mtchoice.LoadReport{}
	}
	return mtchoice.LoadReport{Requests: r.Running + r.Waiting, ServiceTime: r.ServiceTime, ReceivedAt: r.At}
}

// kind says what an end tells of the server.
func kind(err error) mtchoice.ResultKind {
	var refused *mtreply.RefusedError
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
