package mtzone_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtzone"
)

// Two daemons that know the same orders agree by digest, whichever way they learned of
// them; a zone that was taken out anew is told from the time before.
func TestTheDigestTellsWhatIsOut(t *testing.T) {
	a := mtzone.Out{}.With("riga-a", 7).With("riga-b", 9)
	b := mtzone.Out{}.With("riga-b", 9).With("riga-c", 3).With("riga-a", 7).Without("riga-c", 12)
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Assert(t, a.Digest() != a.Without("riga-a", 20).With("riga-a", 21).Digest())
	assert.Equal(t, mtzone.Digest(0), a.Without("riga-a", 20).Without("riga-b", 22).Digest())
	assert.Assert(t, a.Has("riga-a") && !a.Without("riga-a", 20).Has("riga-a"))
}

// A server of a zone that is out of service gets work without a key no more, and keyed
// work only within the bound of the order, however often and in whichever order a daemon
// hears of orders and their ends.
func TestNothingIsBegunBeyondTheBoundOfAnOrder(t *testing.T) {
	const within = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var door mtzone.Door
		var now, certain, ordered mtclock.Instant
		var out bool
		version := mtid.Version(1)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0: // the operators order, or end an order
				if out = !out; out {
					version++
					ordered = now
				}
			case 1, 2, 3, 4, 5, 6: // the daemon hears how it is, certainly
				if out {
					door.Close(version, mtzone.Until(certain, within))
				} else {
					door.Reopen()
				}
				certain = now
			case 7, 8, 9: // it hears the same again, later
				if out && door.Closed() {
					door.Close(version, now.Add(within))
				}
			}
			if out && door.Closed() {
				assert.Assert(t, !door.Open(now, false))
				if now.Sub(ordered) >= within {
					assert.Assert(t, !door.Open(now, true), "keyed work %s after the order", now.Sub(ordered))
				}
			}
		}
	})
}
