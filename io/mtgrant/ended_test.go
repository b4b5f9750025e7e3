package mtgrant_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
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
