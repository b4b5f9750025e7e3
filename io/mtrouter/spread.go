package mtrouter

import (
	"context"
	"math/rand/v2"
	"sync"

	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtview"
)

// serverPicker selects a server for each request to a spread service.
type serverPicker struct {
	zone     mtid.Zone
	mu       sync.Mutex // guards policies and their contents
	policies map[mtid.Ref]*servicePolicy
}

// servicePolicy is the selection policy of one service.
type servicePolicy struct {
	policy   *mtchoice.PowerOfTwo[*mtchoice.Average]
	snapshot *mtview.Snapshot // source of the policy's current candidates
}

func newServerPicker(zone mtid.Zone) *serverPicker {
	return &serverPicker{zone: zone, policies: make(map[mtid.Ref]*servicePolicy)}
}

// pick returns the server for a request, or zero if there is none, and counts the
// request as in flight there until finish is called.
func (s *serverPicker) pick(now mtclock.Instant, view *mtview.Snapshot, service mtid.Ref) mtid.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.policies[service]
	if c == nil {
		c = &servicePolicy{policy: mtchoice.NewPowerOfTwo(
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			mtchoice.Options{Zone: s.zone, UseQueueTimes: true},
			mtchoice.NewAverage,
		)}
		s.policies[service] = c
	}
	if c.snapshot != view {
		c.snapshot = view
		c.policy.Update(candidates(view, service))
	}
	holder, ok := c.policy.Pick(now)
	if ok {
		c.policy.Started(now, holder)
	}
	return holder
}

// finish reports the result of a request to the policy.
func (s *serverPicker) finish(now mtclock.Instant, service mtid.Ref, holder mtid.Holder, reply *mtrequest.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.policies[service]; c != nil {
		c.policy.Ended(now, holder, resultOf(reply))
	}
}

// candidates returns the daemons that accept requests for a service.
func candidates(view *mtview.Snapshot, service mtid.Ref) []mtchoice.Candidate {
	var out []mtchoice.Candidate
	for _, record := range view.Roster() {
		offer, ok := record.Offer(service)
		if ok && record.MayHoldLease() && record.State == mtroster.Serving {
			out = append(out, mtchoice.Candidate{Holder: record.Holder, Zone: record.Zone, Slots: offer.Slots})
		}
	}
	return out
}

// resultOf classifies a reply by what it shows about the server that sent it.
func resultOf(reply *mtrequest.Reply) mtchoice.Result {
	r := mtchoice.Result{Kind: mtchoice.Inconclusive, QueueTime: reply.Queued, RetryAfter: reply.RetryAfter}
	if reply.Outcome == mtreply.Answered {
		r.Kind = mtchoice.Success
	}
	switch reply.Cause {
	case mtreply.CauseQueueFull, mtreply.CauseShed, mtreply.CauseQuota, mtreply.CauseRefused:
		r.Kind = mtchoice.Overloaded
	case mtreply.CauseUnreachable, mtreply.CauseNoServer, mtreply.CauseDraining, mtreply.CauseStopping,
		mtreply.CauseLost, mtreply.CauseTimeout, mtreply.CauseTruncated:
		r.Kind = mtchoice.Failure
	}
	return r
}

// sendSpread sends a request to the server that the policy selects.
func (r *Router) sendSpread(ctx context.Context, q *mtrequest.Request, _ mtid.Holder) (*mtrequest.Reply, mtid.Holder) {
	target := r.picker.pick(r.Clock.Now(), r.View.Snapshot(), q.Service)
	reply := r.send(ctx, q, target)
	r.picker.finish(r.Clock.Now(), q.Service, target, reply)
	return reply, target
}
