package mtingress

import (
	"errors"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroom"
	"magnoliaturn/io/mtdirectory"
)

const (
	// emptyRetry is the Retry-After for a service without any server, or with queues at all of
	// them.
	emptyRetry = 500 * time.Millisecond
	// expiredMemberUse is how long a member is still used after its record has been removed from
	// the store. While the store is unavailable leases may expire, and the records are
	// written again within two seconds after it has become available.
	expiredMemberUse = 3 * time.Second
	// otherZoneCost is the extra cost of a server in another availability zone: as much as
	// that of having all slots in use, because traffic between zones is billed.
	otherZoneCost = 1.0
)

// choice selects among the servers of one service.
type choice struct {
	policy            *mtchoice.LeastLoaded
	waits             *mtroom.ExpectedWaits // of servers that were full
	initialized       bool                  // whether the policy has candidates from a view
	membershipVersion uint64                // of the view that the candidates come from
	updatedAt         mtclock.Instant       // when the candidates were last updated
}

// target returns the member to send the call to next.
func (s *Sender) target(call *mtcall.Call, state *sending) (mtdirectory.Member, error) {
	view := s.Directory.View()
	if call.Keyed {
		return s.owner(view, call, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.choice(view, call.Service)
	if call.Claims.Suspect {
		if member, ok := s.prober(view, call); ok {
			call.Claims.SoleServer, call.Patience = true, 0 // no other server takes it
			return member, nil
		}
	}
	chosen, ok := s.search(s.Clock.Now(), view, c, call, state)
	if !ok && state.last != nil {
		return mtdirectory.Member{}, state.last // every server has been tried
	}
	if !ok {
		return mtdirectory.Member{}, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: emptyRetry, Detail: "no server takes calls of the service"}
	}
	return view.Members[chosen.Daemon], nil
}

// prober returns the server that alone runs a call that may crash its server: the same for all daemons
// that know the same servers, and another one only once its end is known, and with it the crash.
func (s *Sender) prober(view *mtdirectory.View, call *mtcall.Call) (mtdirectory.Member, bool) {
	var daemons []mtid.Daemon
	now := s.Steady()
	for _, m := range view.Members {
		if s.takesCalls(view, m, call.Service, now) {
			daemons = append(daemons, m.Daemon)
		}
	}
	chosen, ok := mtpoison.Prober(call.Fingerprint(), daemons)
	return view.Members[chosen], ok
}

// takesCalls reports whether calls of a service without keys may be sent to a member.
func (s *Sender) takesCalls(view *mtdirectory.View, m mtdirectory.Member, service mtid.Service, now mtclock.Instant) bool {
	return m.Service == service && !view.OutOfService.Has(m.Zone) && s.usable(m, now)
}

// choice returns the choice of a service, with its candidates updated to the view.
func (s *Sender) choice(view *mtdirectory.View, service mtid.Service) *choice {
	c, ok := s.choices[service]
	if !ok {
		c = &choice{policy: mtchoice.NewLeastLoaded(s.Random, s.Zone, otherZoneCost), waits: mtroom.NewExpectedWaits()}
		s.choices[service] = c
	}
	now := s.Steady()
	if c.initialized && c.membershipVersion == view.MembershipVersion && now.Sub(c.updatedAt) < expiredMemberUse/4 {
		return c
	}
	c.initialized, c.membershipVersion, c.updatedAt = true, view.MembershipVersion, now
	var candidates []mtchoice.Candidate
	for _, m := range view.Members {
		if s.takesCalls(view, m, service, now) {
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

// holder identifies a member for the choice policy. The policy needs no incarnations.
func holder(m mtdirectory.Member) mtid.Holder { return mtid.Holder{Daemon: m.Daemon, Incarnation: 1} }
