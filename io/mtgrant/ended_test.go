package mtgrant_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
)

// Guards against two servers that own the same keys: a silent server is taken for ended while a
// grant is on its way to it.
func TestGrantOnItsWayMayBeInForce(t *testing.T) {
	f := newFleet(t, "a")
	var release sync.WaitGroup
	release.Add(1)
	f.server.before = func(string) { release.Wait() }
	f.start()
	f.until("a grant is on its way", func() bool { return f.server.count("grant") == 1 })
	assert.Check(t, !f.grants.LastExpiry().Before(f.clock.Now().Add(grantDuration)))
	release.Done()
}

// Guards against a grant that is sent to a server which has just been taken for ended: the host
// must see it as on its way before it is asked whether the server is there.
func TestGrantIsOnItsWayBeforeHostIsAsked(t *testing.T) {
	f := newFleet(t, "a")
	f.host.disconnected.Store(true)
	f.start()
	asked := make(chan bool, 1)
	onConnected := func() {
		select {
		case asked <- !f.grants.LastExpiry().Before(f.clock.Now().Add(grantDuration)):
		default:
		}
	}
	f.host.onConnected.Store(&onConnected)
	assert.Assert(t, <-asked, "the host may end the server, and the grant is sent after that")
	f.host.onConnected.Store(nil)
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 0)
}

// Guards against two servers that own the same keys: one is taken for ended, its keys are taken
// over, it runs after all, and its daemon has not heard of the takeover.
func TestServerTakenForEndedIsGrantedOnlyWhatIsLeftToIt(t *testing.T) {
	f := newFleet(t, "a", "b")
	watch := &delayedWatch{Source: f.store}
	f.source = watch
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.directory.Publish(f.host.set(mtbackend.Ended))
	f.until("the end is written", func() bool { return f.storedState("a") == mtbackend.Ended })
	watch.delayed.Store(true)
	table, err := mtrange.Spread(service, 0, []mtrange.Owner{ownerOf("b")})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.RangeName(0, service), value)

	f.directory.Publish(f.host.set(mtbackend.Ready))
	f.until("the record is written again", func() bool { return f.storedState("a") == mtbackend.Ready })
	f.grants.Regrant(0)
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1, "granted by a copy without the takeover")
	watch.delayed.Store(false)
	f.until("the takeover is known", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1)
}

// storedState returns the state in a daemon's record in the store.
func (f *fleet) storedState(daemon mtid.Daemon) mtbackend.State {
	entry, err := f.store.Get(context.Background(), mtstore.BackendName(0, daemon))
	assert.NilError(f.t, err)
	r, err := mtbackend.Decode(entry.Value)
	assert.NilError(f.t, err)
	return r.State
}
