package mtingress

import (
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroom"
	"magnoliaturn/io/mtdirectory"
)

// maxSearchBody is the longest body, in bytes, of a call that searches for room. Sending a
// longer one again takes about as long as the call would wait.
const maxSearchBody = 16 << 10

// search returns the server to send a spread call to next, and sets how long the call may
// wait there. The caller holds s.mu.
func (s *Sender) search(now mtclock.Instant, view *mtdirectory.View, c *choice, call *mtcall.Call, state *sending) (mtid.Holder, bool) {
	call.Patience = s.patience(now, call)
	if call.Patience > 0 {
		if chosen, ok := nextWithRoom(now, c, call, state); ok {
			return chosen, true
		}
	}
	call.Patience = 0
	if best, ok := state.search.Settle(func(h mtid.Holder) bool { return s.inService(view, h) }); ok {
		return best, true
	}
	return c.policy.Pick(now, state.tried)
}

// nextWithRoom returns the next server that isn't known to be full for a call, and passes over
// the others. It returns false if the search has ended or no server is left.
func nextWithRoom(now mtclock.Instant, c *choice, call *mtcall.Call, state *sending) (mtid.Holder, bool) {
	for !state.search.Ended() {
		chosen, ok := c.policy.Pick(now, state.tried)
		if !ok {
			return mtid.Holder{}, false
		}
		wait, known := c.waits.Wait(now, chosen, call.Route)
		if !known || wait <= call.Patience {
			return chosen, true
		}
		call.Search.KnownFull++
		state.search.Known(mtroom.Offer{Holder: chosen, Wait: wait})
		state.tried = append(state.tried, chosen)
	}
	return mtid.Holder{}, false
}

// patience returns how long a call may wait at the next server before that hands it back, or
// 0 for as long as its time allows.
func (s *Sender) patience(now mtclock.Instant, call *mtcall.Call) time.Duration {
	if !s.Overload.Room || call.Body.Len() > maxSearchBody {
		return 0
	}
	return mtroom.Patience(now, latestStart(call))
}

// latestStart returns when a call has to start to meet its objective. Without an objective this
// is in the past, so that the call doesn't search.
func latestStart(call *mtcall.Call) mtclock.Instant { return call.Objective.Add(-call.TypicalService) }

// inService reports whether calls may still be sent to a server that was chosen before.
func (s *Sender) inService(view *mtdirectory.View, h mtid.Holder) bool {
	m, ok := view.Members[h.Daemon]
	return ok && !view.OutOfService.Has(m.Zone) && s.usable(m, s.Steady())
}

// handedBack reports whether a refusal means that the server handed the call back because of
// its wait, and records that. A wait that can't be right is treated like any other refusal.
func (s *Sender) handedBack(call *mtcall.Call, member mtdirectory.Member, state *sending, refused *mtreply.RefusedError) bool {
	if refused.Cause != mtreply.CauseBusy || call.Patience == 0 {
		return false
	}
	wait := refused.RetryAfter
	if err := mtroom.CheckWait(wait); err != nil {
		s.Log.Warn("expected wait ignored", "from", string(member.Daemon), "error", err)
		return false
	}
	chosen := holder(member)
	call.Search.HandedBack++
	state.search.HandedBack(mtroom.Offer{Holder: chosen, Wait: wait})
	state.tried = append(state.tried, chosen)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.choices[call.Service].waits.Record(s.Clock.Now(), chosen, call.Route, wait)
	return true
}
