package mtshutdown_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshutdown"
)

// Guards against calls that are withdrawn although they end in time or have ended, and against
// others that are not.
func TestOnlyTriesInFlightThatMayOutlastTheDaemonAreWithdrawn(t *testing.T) {
	s := mtshutdown.New(begun, 6*time.Second)
	tries := mtshutdown.NewTries()
	tries.Add(4, "b:1", s.LastAnswers+1)
	tries.Add(3, "b:1", s.LastAnswers)
	tries.Add(2, "b:1", s.LastAnswers+1)
	tries.Add(1, "", s.LastAnswers+1)
	tries.Add(5, "c:1", s.LastAnswers+1)
	tries.Remove(5)
	assert.DeepEqual(t, tries.Outlasting(s), []mtshutdown.Withdrawal{{Tries: []mtid.TryID{1}}, {Address: "b:1", Tries: []mtid.TryID{2, 4}}})
}

// Guards against a call that isn't registered when it is sent, because it can't outlast a
// shutdown that begins then, and that could outlast a later one.
func TestWhatEndsInTimeNowEndsInTimeLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "grace"))
		deadline := begun.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "lasts")))
		later := begun.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "later")))
		assert.Assert(t, mtshutdown.New(begun, grace).Outlasts(deadline) || !mtshutdown.New(later, grace).Outlasts(deadline))
	})
}

// Guards against a withdrawal that is forgotten before its call arrives, and against memory that
// grows with each shutdown or by an unusable time.
func TestWithdrawnTriesAreRememberedForALimitedTime(t *testing.T) {
	w := mtshutdown.NewWithdrawnTries()
	w.Add(begun, []mtid.TryID{0, 7}, time.Second)
	assert.Assert(t, w.Has(begun.Add(time.Second-1), 7))
	assert.Assert(t, !w.Has(begun, 0), "a call that can't be withdrawn")
	assert.Assert(t, !w.Has(begun.Add(time.Second), 7))
	many := make([]mtid.TryID, 100_000)
	for i := range many {
		many[i] = mtid.TryID(i + 1)
	}
	w.Add(begun, many, 1<<62)
	assert.Assert(t, w.Has(begun, 1) && !w.Has(begun, 100_000))
	later := begun.Add(time.Minute)
	assert.Assert(t, !w.Has(later, 1))
	w.Add(later, []mtid.TryID{100_000}, time.Second)
	assert.Assert(t, w.Has(later, 100_000), "expired tries take up the room")
}
