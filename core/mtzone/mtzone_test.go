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

// Two daemons that have received the same orders have the same digest, in whichever
// sequence they received them. A zone that is taken out of service a second time changes
// the digest, because the order has a new version.
func TestDigestDependsOnlyOnOrdersInForce(t *testing.T) {
	a := mtzone.OutOfService{}.With("riga-a", 7).With("riga-b", 9)
	b := mtzone.OutOfService{}.With("riga-b", 9).With("riga-c", 3).With("riga-a", 7).Without("riga-c", 12)
	assert.Equal(t, a.Digest(), b.Digest())
	assert.Assert(t, a.Digest() != a.Without("riga-a", 20).With("riga-a", 21).Digest())
	assert.Equal(t, mtzone.Digest(0), a.Without("riga-a", 20).Without("riga-b", 22).Digest())
	assert.Assert(t, a.Has("riga-a") && !a.Without("riga-a", 20).Has("riga-a"))
}

// A server in a zone that is out of service starts no work without a key, and keyed work
// only within the time that the order allows, however often and in whichever sequence the
// daemon is notified of orders and their withdrawal.
func TestNoWorkStartsAfterTimeLimitOfOrder(t *testing.T) {
	const within = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var admission mtzone.Admission
		var now, confirmed, ordered mtclock.Instant
		var out bool
		version := mtid.Version(1)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0: // the operators give or withdraw an order
				if out = !out; out {
					version++
					ordered = now
				}
			case 1, 2, 3, 4, 5, 6: // the daemon reads the current state from the store
				if out {
					admission.Close(version, mtzone.KeyedUntil(confirmed, within))
				} else {
					admission.Reopen()
				}
				confirmed = now
			case 7, 8, 9: // the daemon receives the same order again, later
				if out && admission.Closed() {
					admission.Close(version, now.Add(within))
				}
			}
			if out && admission.Closed() {
				assert.Assert(t, !admission.Admits(now, false))
				if now.Sub(ordered) >= within {
					assert.Assert(t, !admission.Admits(now, true), "keyed work starts %s after the order", now.Sub(ordered))
				}
			}
		}
	})
}
