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

// round asks w at one time and takes its grant at another.
func round(t *testing.T, l *mtlease.Lease, w mtid.Holder, sequence uint64, asked, answered time.Duration) {
	t.Helper()
	_, ok := l.Ask(at(asked), w, sequence)
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
				round(t, l, w, uint64(i+1), 0, time.Millisecond)
			}
			assert.Equal(t, l.Until(), tt.want)
		})
	}
}

// An ask is sent and its answer comes a second late. Between the two the
// witness may have promised at once, so that its promise ends a second sooner
// than the answer suggests. A holder that counted from the answer would serve
// on while the witness agrees to a takeover.
func TestPromiseCountsFromBeforeSending(t *testing.T) {
	l := adopted(w1)
	round(t, l, w1, 1, 0, time.Second)
	assert.Equal(t, l.Until(), at(mtlease.Length))
}

// Answers arrive twice, out of order, for asks never made, or from a daemon
// that is no witness. None may prolong the lease.
func TestStrayAnswersChangeNothing(t *testing.T) {
	l := adopted(w1)
	l.Ask(at(0), w1, 1)
	l.Ask(at(mtlease.Period), w1, 2)
	l.Answer(at(500*time.Millisecond), w1, mtlease.Answer{Sequence: 2})
	want := at(mtlease.Period + mtlease.Length)
	assert.Equal(t, l.Until(), want)
	for _, sequence := range []uint64{2, 1, 77} {
		l.Answer(at(600*time.Millisecond), w1, mtlease.Answer{Sequence: sequence})
		l.Answer(at(600*time.Millisecond), w5, mtlease.Answer{Sequence: sequence})
		assert.Equal(t, l.Until(), want)
	}
}

// A witness that revoked the set refuses. Its answer names the ask as a grant
// would, and must not be taken for one.
func TestRefusedAnswerGivesNothing(t *testing.T) {
	for _, refusal := range []mtlease.Refusal{mtlease.Revoked, mtlease.Incarnation, mtlease.Unvouched} {
		l := adopted(w1)
		l.Ask(at(0), w1, 1)
		l.Answer(at(0), w1, mtlease.Answer{Sequence: 1, Refusal: refusal})
		assert.Equal(t, l.Until(), mtclock.Instant(0), "refusal %d", refusal)
	}
}

// A daemon writes a new set and the store's answer is lost. A taker may read
// either record, so a majority of only one of the sets is no proof that nobody
// else serves.
func TestBothSetsCountWhileInDoubt(t *testing.T) {
	l := adopted(w1, w2, w3)
	round(t, l, w1, 1, 0, 0)
	round(t, l, w2, 2, 0, 0)
	assert.Assert(t, l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w3, w4, w5}}))
	assert.Assert(t, !l.Ready(at(0)))
	round(t, l, w4, 3, 100*time.Millisecond, 100*time.Millisecond)
	round(t, l, w5, 4, 100*time.Millisecond, 100*time.Millisecond)
	assert.Assert(t, l.Ready(at(200*time.Millisecond)))
	assert.Assert(t, l.Attempt())
	assert.Equal(t, l.Until(), at(mtlease.Length), "the old set still counts")
	assert.Assert(t, !l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1}}), "a second proposal while in doubt")
	round(t, l, w1, 5, time.Second, time.Second)
	round(t, l, w2, 6, time.Second, time.Second)
	assert.Equal(t, l.Until(), at(100*time.Millisecond+mtlease.Length), "the new set counts too")
	l.Settle(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w3, w4, w5}})
	assert.Equal(t, l.Until(), at(100*time.Millisecond+mtlease.Length))
}

// A witness revoked the set for a taker that then gave up. Its grant under the
// proposed set says nothing about the present one, which it has given away.
func TestGrantAboveFloorCountsForNewSetOnly(t *testing.T) {
	l := adopted(w1, w2)
	round(t, l, w1, 1, 0, 0)
	l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1, w2}})
	l.Ask(at(0), w2, 2)
	l.Answer(at(0), w2, mtlease.Answer{Sequence: 2, Floor: 4})
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	assert.Assert(t, l.Ready(at(1)))
	assert.Assert(t, l.Wants(at(1)).Revoked)
}

// A witness told that it revoked the set, and then restarted and knows nothing
// of it. Its answer must not bring the promise under that set back.
func TestRevocationOnceToldStands(t *testing.T) {
	l := adopted(w1)
	l.Propose(mtlease.Set{Version: 5, Witnesses: []mtid.Holder{w1}})
	l.Ask(at(0), w1, 1)
	l.Answer(at(0), w1, mtlease.Answer{Sequence: 1, Floor: 4})
	l.Ask(at(1), w1, 2)
	l.Answer(at(1), w1, mtlease.Answer{Sequence: 2, Refusal: mtlease.Incarnation})
	assert.Equal(t, l.Until(), mtclock.Instant(0))
}

// The VM freezes for half a second between two rounds. The lease would have
// lasted longer, but how long the freeze was is only what the clocks say.
func TestLateWakeDropsPromises(t *testing.T) {
	l := adopted(w1)
	round(t, l, w1, 1, 0, 0)
	l.Ask(at(50*time.Millisecond), w1, 2)
	assert.Assert(t, !l.Wake(at(mtlease.Period+mtlease.LateWake), at(mtlease.Period)))
	assert.Assert(t, l.Until() > 0)
	late := mtlease.Period + mtlease.LateWake + 1
	assert.Assert(t, l.Wake(at(late), at(mtlease.Period)))
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	l.Answer(at(late), w1, mtlease.Answer{Sequence: 2})
	assert.Equal(t, l.Until(), mtclock.Instant(0), "an ask from before the freeze is not fresh")
	round(t, l, w1, 3, late, late)
	assert.Equal(t, l.Until(), at(late+mtlease.Length))
}

func TestWantsNamesWhatIsWrong(t *testing.T) {
	l := adopted(w1, w2, w3)
	round(t, l, w1, 1, 0, 0)
	l.Ask(at(0), w2, 2)
	l.Answer(at(0), w2, mtlease.Answer{Sequence: 2, Refusal: mtlease.Incarnation})
	l.Ask(at(0), w3, 3)
	got := l.Wants(at(mtlease.Length))
	assert.DeepEqual(t, got.Lost, []mtid.Holder{w2})
	got = l.Wants(at(mtlease.Length + 1))
	assert.DeepEqual(t, got.Lost, []mtid.Holder{w2, w3})
	assert.Assert(t, !got.Revoked)
}

func TestClosedLeaseStaysClosed(t *testing.T) {
	l := adopted(w1)
	round(t, l, w1, 1, 0, 0)
	l.Close()
	assert.Equal(t, l.Until(), mtclock.Instant(0))
	_, ok := l.Ask(at(1), w1, 2)
	assert.Assert(t, !ok)
}
