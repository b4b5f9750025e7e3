package mtingress

import (
	"errors"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtnested"
	"magnoliaturn/core/mtreply"
)

// nestedTimeFactor is the multiple of its typical service time that a nested call must
// have been allowed, so that a timeout shows a lack of room at the called service.
const nestedTimeFactor = 2

// observeNested reports the end of a nested call.
func (in *Ingress) observeNested(call *mtcall.Call, answer *mtcall.Answer, err error) {
	if call.Nested && in.OnNested != nil {
		in.OnNested(call, nestedResult(in.Clock.Now(), call, answer, err))
	}
}

// nestedResult returns what the end of a nested call shows about the room of the service that
// it called. Unreachable servers and those that reject calls show nothing, nor does a call
// whose parent left it hardly any time.
func nestedResult(now mtclock.Instant, call *mtcall.Call, answer *mtcall.Answer, err error) mtnested.Result {
	if err == nil && answer.Finished() {
		return mtnested.Served
	}
	if call.Deadline.Sub(call.Arrived) < nestedTimeFactor*call.TypicalService {
		return mtnested.Inconclusive
	}
	for _, try := range call.Tries {
		if try.Cause == mtreply.CauseUnreachable {
			return mtnested.Inconclusive
		}
	}
	if lacksRoom(now, call, answer, err) {
		return mtnested.NoRoom
	}
	return mtnested.Inconclusive
}

// lacksRoom reports whether a nested call failed for load or was not answered in its time.
func lacksRoom(now mtclock.Instant, call *mtcall.Call, answer *mtcall.Answer, err error) bool {
	if err == nil {
		return answer.OutOfTime()
	}
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return full(refused.Cause) || refused.Cause == mtreply.CauseExpired || refused.Cause == mtreply.CauseNestedFull
	}
	var unknown *mtreply.UnknownError
	timedOut := errors.As(err, &unknown) && (unknown.Cause == mtreply.CauseTimeout || unknown.Cause == mtreply.CauseGone)
	return timedOut && !now.Add(deadlineMargin).Before(call.Deadline)
}
