package mtingress

import (
	"context"
	"math"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtdirectory"
)

const (
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
	// maxRedirects is how often a call is sent again because a daemon does not own its key.
	maxRedirects = 20
)

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
