package mtroom_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroom"
)

const (
	start = mtclock.Instant(time.Hour)
	ms    = time.Millisecond
)

var near, far = mtid.Holder{Daemon: "near"}, mtid.Holder{Daemon: "far"}

// Guards against a payment that queues where a photo could, and against late calls that are
// sent around.
func TestTightObjectiveWaitsLess(t *testing.T) {
	tight := mtroom.Patience(start, start.Add(100*ms))
	loose := mtroom.Patience(start, start.Add(2*time.Second))
	assert.Assert(t, 0 < tight && tight < loose && loose < time.Second, "%v, %v", tight, loose)
	assert.Equal(t, mtroom.Patience(start, start), time.Duration(0))
	assert.Assert(t, mtroom.Patience(start, start.Add(1)) > 0)
}

// Guards against a call that is refused, or goes around forever, because every server is full.
func TestCallStaysAtTheShortestWaitIfAllAreFull(t *testing.T) {
	var s mtroom.Search
	_, ok := s.Settle(anyServer)
	assert.Assert(t, !ok, "no server has been asked")
	s = mtroom.Search{}
	s.Known(mtroom.Offer{Holder: near, Wait: 300 * ms})
	assert.Assert(t, !s.Ended())
	for n := range mtroom.MaxHandedBack {
		s.HandedBack(mtroom.Offer{Holder: far, Wait: time.Duration(200+n) * ms})
	}
	assert.Assert(t, s.Ended())
	best, ok := s.Settle(anyServer)
	assert.Assert(t, ok)
	assert.Equal(t, best, far)
	_, ok = s.Settle(anyServer)
	assert.Assert(t, !ok && s.Ended())
}

// Guards against decisions by what a server reported long ago, also after the clock has jumped.
func TestOldWaitsAreForgotten(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		want  time.Duration
		known bool
	}{
		{"now", 0, 80 * ms, true},
		{"the queue has become shorter", 50 * ms, 30 * ms, true},
		{"the queue is over", 90 * ms, 0, true},
		{"too old", 100 * ms, 0, false},
		{"clock has jumped ahead", time.Hour, 0, false},
		{"clock has gone back", -time.Second, 0, false},
	} {
		b := mtroom.NewExpectedWaits()
		b.Record(start, near, "plans", 80*ms)
		wait, known := b.Wait(start.Add(test.after), near, "plans")
		assert.Equal(t, wait, test.want, test.name)
		assert.Equal(t, known, test.known, test.name)
	}
}

// Guards against one route that is passed over because of the queue of another, less urgent one.
func TestWaitsAreKnownByRoute(t *testing.T) {
	b := mtroom.NewExpectedWaits()
	b.Record(start, near, "photos", time.Second)
	_, known := b.Wait(start, near, "payments")
	assert.Assert(t, !known)
}

// Guards against routes and servers without end that use up memory.
func TestRememberedWaitsAreBounded(t *testing.T) {
	b := mtroom.NewExpectedWaits()
	for n := range 1 << 15 {
		b.Record(start, mtid.Holder{Incarnation: mtid.Incarnation(n)}, "plans", ms)
	}
	_, known := b.Wait(start, mtid.Holder{Incarnation: 0}, "plans")
	assert.Assert(t, !known)
}

// Guards against a wait reported by a peer that is negative or huge.
func TestWaitThatCantBeRight(t *testing.T) {
	for _, wait := range []time.Duration{-1, time.Hour} {
		var bad *mtroom.WaitError
		assert.Assert(t, errors.As(mtroom.CheckWait(wait), &bad))
		assert.Equal(t, bad.Wait, wait)
	}
	assert.NilError(t, mtroom.CheckWait(0))
}

// anyServer accepts every server.
func anyServer(mtid.Holder) bool { return true }

// Guards against a call that is refused because the server with the shortest wait has left, while
// others that handed it back could still take it.
func TestSearchSettlesAtAServerThatIsStillUsable(t *testing.T) {
	var s mtroom.Search
	s.HandedBack(mtroom.Offer{Holder: mtid.Holder{Daemon: "left"}, Wait: time.Millisecond})
	s.HandedBack(mtroom.Offer{Holder: mtid.Holder{Daemon: "stays"}, Wait: time.Second})
	best, ok := s.Settle(func(h mtid.Holder) bool { return h.Daemon != "left" })
	assert.Assert(t, ok)
	assert.Equal(t, best.Daemon, mtid.Daemon("stays"))
}
