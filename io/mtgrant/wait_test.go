package mtgrant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtgrant"
)

// half is how many keys each of two servers owns.
const half = (int(mtid.LastKeyNumber) + 1) / 2

// unowned returns the keys that have no owner, once some have none.
func (f *fleet) unowned() mtgrant.Waits {
	f.t.Helper()
	var waits mtgrant.Waits
	f.until("some keys have no owner", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		waits, _ = f.grants.Waiting()
		return len(waits) > 0
	})
	return waits
}

// Guards against keys without an owner of which nothing tells why nobody takes them over.
func TestReasonsOfKeysWithoutOwner(t *testing.T) {
	t.Run("record absent", func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.start()
		f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
		f.clock.advance(3 * time.Second) // the store has no outage
		f.expireRecordOfB()
		f.until("the record is known to be absent", func() bool { return f.directory.View().Members["b"].Expired })
		wait := f.unowned()[mtgrant.ReasonRecord]
		assert.Equal(t, wait.Keys, half)
		assert.Assert(t, wait.Left > grantDuration, "%v", wait)
	})
	t.Run("era", func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.store.StepBack(f.store.Copy())
		f.restarted = true
		f.start()
		f.awaitEra(1)
		wait := f.unowned()[mtgrant.ReasonEra]
		assert.Equal(t, wait.Keys, 2*half)
		assert.Assert(t, wait.Left > grantDuration, "%v", wait)
	})
	t.Run("all have owners", func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.start()
		f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
		f.letLoopsRun()
		unowned, _ := f.grants.Waiting()
		assert.Equal(t, len(unowned), 0, "%v", unowned)
	})
}

// Guards against keys of a server that is not granted them while nothing tells why.
func TestReasonsOfKeysThatAreNotGranted(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.host.disconnected.Store(true)
	f.start()
	f.until("the reason is known", func() bool {
		_, ungranted := f.grants.Waiting()
		return ungranted[mtgrant.ReasonUnconfirmed].Keys == half
	})
	f.host.disconnected.Store(false)
	f.until("everything is granted", func() bool {
		f.grants.Wake()
		_, ungranted := f.grants.Waiting()
		return f.server.count("grant") == 1 && len(ungranted) == 0
	})
}
