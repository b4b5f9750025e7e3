package mtgrant_test

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
)

// A server starts to leave while its daemon renews grants. If a renewal that was found due
// before the move is sent after the release has been answered, the server holds the keys
// alongside their new owner for two more seconds.
func TestNoGrantIsSentAfterRelease(t *testing.T) {
	f := newFleet(t, "a", "b", "a")
	gate := make(chan struct{})
	f.start()
	f.until("both ranges are granted", func() bool { return f.server.count("grant") == 2 })
	f.server.mu.Lock()
	f.server.before = func(command string) {
		if strings.HasPrefix(command, "grant 0-") {
			<-gate
		}
	}
	f.server.mu.Unlock()
	f.clock.advance(grantDuration / 2) // both are due; the renewal of the first blocks
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.server.count("grant 0-") == 2 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the other range has moved", func() bool { return f.owner(mtid.LastKeyNumber) == "b" })
	close(gate)
	f.until("all keys have moved", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	released := map[string]bool{}
	for _, command := range f.server.sent() {
		kind, rest, _ := strings.Cut(command, " ")
		if kind == "release" {
			released[rest] = true
		}
		assert.Assert(t, kind != "grant" || !released[rest], "keys %s were granted after their release: %v", rest, f.server.sent())
	}
}

// A hot run of keys gives one server the work of four. Its daemon must offload runs of keys
// to three others at once, write releases that are answered together in one step, and send
// or write nothing twice.
func TestOffloadToSeveralServersAtOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var writes atomic.Int64
	f.store.LoseReplies(func(_, name string) error {
		if name == mtstore.RangeName(0, service) {
			writes.Add(1)
		}
		return nil
	})
	free := func(d mtid.Daemon) mtrange.LoadReport {
		return mtrange.LoadReport{Owner: ownerOf(d), Slots: 10, Demand: 1, ServiceTime: time.Second, Keys: 100, Known: true}
	}
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 40, ServiceTime: time.Second, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{free("b"), free("c"), free("d")}
	f.mu.Unlock()
	f.until("three runs of keys have moved", func() bool {
		return f.owner(0) != "a" && f.owner(100) != "a" && f.owner(200) != "a"
	})
	assert.Assert(t, writes.Load() <= 3, "%d writes", writes.Load())
	assert.Equal(t, f.owner(300), mtid.Daemon("a"))
	for _, low := range []string{"0-99", "100-199", "200-299"} {
		assert.Equal(t, f.server.count("release "+low), 1)
	}
}

// A renewal for the previous incarnation of the server is on its way to an address at which
// another incarnation answers now. ReleaseUnowned must revoke what the renewal grants, but
// only after it has been answered. An incarnation that owns keys keeps them.
func TestUnownedKeysAreReleasedAfterPendingGrant(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	assert.NilError(t, f.grants.ReleaseUnowned(t.Context(), incarnationOf("a"), "server"))
	assert.Equal(t, f.server.count("release"), 0)
	gate := make(chan struct{})
	f.server.mu.Lock()
	f.server.before = func(command string) {
		if strings.HasPrefix(command, "grant") {
			<-gate
		}
	}
	f.server.mu.Unlock()
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is under way", func() bool { return f.server.count("grant") == 2 })
	cleared := make(chan error)
	go func() {
		cleared <- f.grants.ReleaseUnowned(t.Context(), mtid.ServerIncarnation{Server: "next"}, "server")
	}()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("release"), 0, "cleared while a grant was not answered yet")
	close(gate)
	assert.NilError(t, <-cleared)
	assert.Equal(t, f.server.count("release 0-65535 at 2"), 1)
}

// Every server is overloaded. Each owner queried a dozen others for spare capacity every
// 0.7 s, without success, and a tenth of all CPU time went into that. The queries must
// become rarer, and spare capacity must still be found once there is some.
func TestLoadQueriesBackOffWithoutSpareCapacity(t *testing.T) {
	f := newFleet(t, "a", "b")
	busy := mtrange.LoadReport{Owner: ownerOf("b"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{busy}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	const attempts = 20
	for range attempts {
		f.clock.advance(mtrange.MoveCooldown)
		time.Sleep(250 * time.Millisecond) // at least one run of the loop; fewer would make the test weaker
	}
	assert.Assert(t, f.surveys.Load() <= attempts/2, "%d queries for the load of others", f.surveys.Load())
	idle := busy
	idle.Demand = 1
	f.mu.Lock()
	f.otherLoads = []mtrange.LoadReport{idle}
	f.mu.Unlock()
	f.until("keys are released for the other server", func() bool {
		f.clock.advance(mtrange.MoveCooldown)
		return f.server.count("release") > 0
	})
}

// The store becomes unavailable while an owner is overloaded and others have spare
// capacity. If the owner released keys to offload them, no new owner could be written, and
// the keys would not be served until the store returned, eight seconds later.
func TestNoOffloadWhileStoreIsUnavailable(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("unavailable")} })
	f.until("the outage is detected", func() bool { return !f.directory.StoreAvailable() })
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
	f.mu.Unlock()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("release"), 0)
	f.store.Fail(nil)
	f.until("keys are released once the store is available again", func() bool { return f.server.count("release") > 0 })
}
