package mtlease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
)

const start = mtclock.Instant(time.Hour)

var (
	self = mtid.Holder{Daemon: "d", Incarnation: 1}
	w1   = mtid.Holder{Daemon: "w1", Incarnation: 1}
	w2   = mtid.Holder{Daemon: "w2", Incarnation: 1}
	w3   = mtid.Holder{Daemon: "w3", Incarnation: 1}
	w4   = mtid.Holder{Daemon: "w4", Incarnation: 1}
	w5   = mtid.Holder{Daemon: "w5", Incarnation: 1}
)

func at(d time.Duration) mtclock.Instant { return start.Add(d) }

func adopted(witnesses ...mtid.Holder) *mtlease.Lease {
	l := mtlease.New(self)
	l.Adopt(mtlease.Set{Version: 4, Witnesses: witnesses})
	return l
}

// renew sends a request to w at sent and delivers its grant at answered.
func renew(t *testing.T, l *mtlease.Lease, w mtid.Holder, sequence uint64, sent, answered time.Duration) {
	t.Helper()
	_, ok := l.NewRequest(at(sent), w, sequence)
	assert.Assert(t, ok)
	l.Answer(at(answered), w, mtlease.Answer{Sequence: sequence})
}

func TestUntilNeedsMajority(t *testing.T) {
	tests := []struct {
		name      string
		witnesses []mtid.Holder
		granted   []mtid.Holder
		want      mtclock.Instant
	}{
		{"no witnesses at all", nil, nil, 0},
		{"one of one", []mtid.Holder{w1}, []mtid.Holder{w1}, at(mtlease.Length)},
		{"one of two", []mtid.Holder{w1, w2}, []mtid.Holder{w1}, 0},
		{"two of two", []mtid.Holder{w1, w2}, []mtid.Holder{w1, w2}, at(mtlease.Length)},
		{"one of three", []mtid.Holder{w1, w2, w3}, []mtid.Holder{w3}, 0},
		{"two of three", []mtid.Holder{w1, w2, w3}, []mtid.Holder{w1, w3}, at(mtlease.Length)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := adopted(tt.witnesses...)
			for i, w := range tt.granted {
				renew(t, l, w, uint64(i+1), 0, time.Millisecond)
			}
			assert.Equal(t, l.Until(), tt.want)
		})
	}
}

// An answer arrives a second after its request was sent. The witness may have made
// the promise right at the start of that second, so it may end a second earlier
// than the time of the answer suggests. A holder that counted from the answer would
// still serve when the witness agrees to a takeover.
func TestPromiseCountsFromBeforeSending(t *testing.T) {
	l := adopted(w1)
	renew(t, l, w1, 1, 0, time.Second)
	assert.Equal(t, l.Until(), at(mtlease.Length))
}

// Answers arrive duplicated, out of order, for requests that were never sent, or
// from a daemon that is not a witness. None of them may extend the lease.
func TestStrayAnswersDoNotExtendLease(t *testing.T) {
	l := adopted(w1)
	l.NewRequest(at(0), w1, 1)
	l.NewRequest(at(mtlease.Period), w1, 2)
	l.Answer(at(500*time.Millisecond), w1, mtlease.Answer{Sequence: 2})
	want := at(mtlease.Period + mtlease.Length)
	assert.Equal(t, l.Until(), want)
	for _, sequence := range []uint64{2, 1, 77} {
		l.Answer(at(600*time.Millisecond), w1, mtlease.Answer{Sequence: sequence})
		l.Answer(at(600*time.Millisecond), w5, mtlease.Answer{Sequence: sequence})
		assert.Equal(t, l.Until(), want)
	}
}

// A witness refuses a request. Its answer carries the request's sequence number, as
// a grant does, and must not be counted as one.
func TestRefusalDoesNotExtendLease(t *testing.T) {
	for _, refusal := range []mtlease.Refusal{mtlease.Revoked, mtlease.Incarnation, mtlease.Unconfirmed} {
		l := adopted(w1)
		l.NewRequest(at(0), w1, 1)
		l.Answer(at(0), w1, mtlease.Answer{Sequence: 1, Refusal: refusal})
		assert.Equal(t, l.Until(), mtclock.Instant(0), "refusal %d", refusal)
	}
}

// A daemon writes a new set and the store's reply is lost. A claimant may read
// either record, so a majority of only one of the sets does not prove that no other
// daemon serves.
func TestBothSetsCountWhileWriteOutcomeUnknown(t *testing.T) {
	l := adopted(w1, w2, w3)
	renew(t, l, w1, 1, 0, 0)
	renew(t, l, w2, 2, 0, 0)
	assert.Assert(t, l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w3, w4, w5}}))
	assert.Assert(t, !l.Ready(at(0)))
	renew(t, l, w4, 3, 100*time.Millisecond, 100*time.Millisecond)
	renew(t, l, w5, 4, 100*time.Millisecond, 100*time.Millisecond)
	assert.Assert(t, l.Ready(at(200*time.Millisecond)))
	assert.Assert(t, l.Attempt())
	assert.Equal(t, l.Until(), at(mtlease.Length), "the old set still counts")
	assert.Assert(t, !l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1}}), "a second proposal while the outcome is unknown")
	renew(t, l, w1, 5, time.Second, time.Second)
	renew(t, l, w2, 6, time.Second, time.Second)
	assert.Equal(t, l.Until(), at(100*time.Millisecond+mtlease.Length), "the new set counts too")
	l.Settle(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w3, w4, w5}})
	assert.Equal(t, l.Until(), at(100*time.Millisecond+mtlease.Length))
}

// A witness revoked the current set for a claimant that then gave up. Its grant
// under the proposed set must not count for the current one, which stays revoked.
func TestGrantAboveFloorCountsForNewSetOnly(t *testing.T) {
	l := adopted(w1, w2)
	renew(t, l, w1, 1, 0, 0)
	l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1, w2}})
	l.NewRequest(at(0), w2, 2)
	l.Answer(at(0), w2, mtlease.Answer{Sequence: 2, Floor: 4})
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	assert.Assert(t, l.Ready(at(1)))
	assert.Assert(t, l.Defects(at(1)).Revoked)
}

// A witness reports that it revoked the set, then restarts and loses that state.
// Its next answer must not make its promise count under that set again.
func TestReportedRevocationOutlivesWitnessRestart(t *testing.T) {
	l := adopted(w1)
	l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1}})
	l.NewRequest(at(0), w1, 1)
	l.Answer(at(0), w1, mtlease.Answer{Sequence: 1, Floor: 4})
	l.NewRequest(at(1), w1, 2)
	l.Answer(at(1), w1, mtlease.Answer{Sequence: 2, Refusal: mtlease.Incarnation})
	assert.Equal(t, l.Until(), mtclock.Instant(0))
}

// The VM is paused for more than MaxTimerDelay between two rounds of requests.
// By its own clocks the lease is still valid, but these may not show the whole
// pause.
func TestLateTimerDropsPromises(t *testing.T) {
	l := adopted(w1)
	renew(t, l, w1, 1, 0, 0)
	l.NewRequest(at(50*time.Millisecond), w1, 2)
	assert.Assert(t, !l.TimerFired(at(mtlease.Period+mtlease.MaxTimerDelay), at(mtlease.Period)))
	assert.Assert(t, l.Until() > 0)
	late := mtlease.Period + mtlease.MaxTimerDelay + 1
	assert.Assert(t, l.TimerFired(at(late), at(mtlease.Period)))
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	l.Answer(at(late), w1, mtlease.Answer{Sequence: 2})
	assert.Equal(t, l.Until(), mtclock.Instant(0), "a request sent before the pause does not count")
	renew(t, l, w1, 3, late, late)
	assert.Equal(t, l.Until(), at(late+mtlease.Length))
}

func TestDefectsListLostWitnesses(t *testing.T) {
	l := adopted(w1, w2, w3)
	renew(t, l, w1, 1, 0, 0)
	l.NewRequest(at(0), w2, 2)
	l.Answer(at(0), w2, mtlease.Answer{Sequence: 2, Refusal: mtlease.Incarnation})
	l.NewRequest(at(0), w3, 3)
	got := l.Defects(at(mtlease.Length))
	assert.DeepEqual(t, got.Lost, []mtid.Holder{w2})
	got = l.Defects(at(mtlease.Length + 1))
	assert.DeepEqual(t, got.Lost, []mtid.Holder{w2, w3})
	assert.Assert(t, !got.Revoked)
}

func TestClosedLeaseStaysClosed(t *testing.T) {
	l := adopted(w1)
	renew(t, l, w1, 1, 0, 0)
	l.Close()
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	_, ok := l.NewRequest(at(1), w1, 2)
	assert.Assert(t, !ok)
}
