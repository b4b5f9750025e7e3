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

// spreader chooses the servers of spread services.
type spreader struct {
	zone     mtid.Zone
	mu       sync.Mutex // guards choosers and all of each
	choosers map[mtid.Ref]*chooser
}

// chooser is the choice for one service.
type chooser struct {
	policy *mtchoice.PowerOfTwo[*mtchoice.Average]
	seen   *mtview.Snapshot // the candidates are those of this one
}

func newSpreader(zone mtid.Zone) *spreader {
	return &spreader{zone: zone, choosers: make(map[mtid.Ref]*chooser)}
}

// pick returns the server to ask, or zero if there is none, and counts the
// request as in flight there until end.
func (s *spreader) pick(now mtclock.Instant, view *mtview.Snapshot, service mtid.Ref) mtid.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.choosers[service]
	if c == nil {
		c = &chooser{policy: mtchoice.NewPowerOfTwo(
			rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			mtchoice.Options{Zone: s.zone, UseQueueTimes: true},
			mtchoice.NewAverage,
		)}
		s.choosers[service] = c
	}
	if c.seen != view {
		c.seen = view
		c.policy.Update(candidates(view, service))
	}
	holder, ok := c.policy.Pick(now)
	if ok {
		c.policy.Started(now, holder)
	}
	return holder
}

// end notes what came of a request.
func (s *spreader) end(now mtclock.Instant, service mtid.Ref, holder mtid.Holder, reply *mtrequest.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.choosers[service]; c != nil {
		c.policy.Ended(now, holder, resultOf(reply))
	}
}

// candidates returns the daemons that take requests of a service.
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

// resultOf returns what a reply says of the server that was asked.
func resultOf(reply *mtrequest.Reply) mtchoice.Result {
	r := mtchoice.Result{Kind: mtchoice.Inconclusive, QueueTime: reply.Queued, RetryAfter: reply.RetryAfter}
	if reply.Outcome == mtreply.Answered {
		r.Kind = mtchoice.Success
	}
	switch reply.Cause {
	case mtreply.CauseQueueFull, mtreply.CauseShed, mtreply.CauseRefused:
		r.Kind = mtchoice.Overloaded
	case mtreply.CauseUnreachable, mtreply.CauseNoServer, mtreply.CauseDraining, mtreply.CauseStopping,
		mtreply.CauseLost, mtreply.CauseTimeout, mtreply.CauseTruncated:
		r.Kind = mtchoice.Failure
	}
	return r
}

// sendSpread asks a server of the policy's choice.
func (r *Router) sendSpread(ctx context.Context, q *mtrequest.Request, _ mtid.Holder) (*mtrequest.Reply, mtid.Holder) {
	target := r.spreader.pick(r.Clock.Now(), r.View.Snapshot(), q.Service)
	reply := r.send(ctx, q, target)
	r.spreader.end(r.Clock.Now(), q.Service, target, reply)
	return reply, target
}
