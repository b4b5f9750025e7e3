package mtgrant_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
)

// The store turns a daemon away until its record has lapsed, and another daemon takes
// its server's keys. Then it is back and writes its record, but has not heard of the
// takeover. It granted the keys again by its old copy, under the former epoch, and two
// servers held them: "own record written" with version 47, 42 ms later "granted" under
// epoch 2, and 20 ms after that "assignment" with version 46 and epoch 20.
func TestADaemonThatIsBackGrantsNothingByAnOldCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Deafen(true) // what happens now is heard of late
	f.store.Fail(func(op, _ string) error {
		if op == "watch" {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.clock.advance(lease + hold)
	f.store.Expire()
	table, err := mtrange.Spread(service, []mtrange.Owner{ownerOf("a"), ownerOf("b")})
	assert.NilError(t, err)
	taken, err := table.Move(0, mtid.LastKeyNumber/2, ownerOf("b"), "")
	assert.NilError(t, err)
	value, err := taken.Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.RangeName(service), value)
	f.store.Fail(nil)
	f.until("the record stands again", func() bool { return f.directory.RecordValidUntil().Sub(f.clock.Now()) > lease/2 })
	f.grants.Wake()
	f.turns()
	assert.Equal(t, f.port.count("grant"), 1, "granted by a copy from before the takeover")
	f.store.Deafen(false)
	f.until("the takeover is heard of", func() bool { return f.owner(0) == "b" })
	f.turns()
	assert.Equal(t, f.port.count("grant"), 1)
}

// The same, but nobody took the keys, and the watch stays deaf although the store
// answers. The daemon reads everything anew by itself: were it to wait for the watch,
// its server would stand idle for as long as that is deaf.
func TestADaemonThatIsBackGrantsAgainOnceItHasReadEverything(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Deafen(true)
	f.clock.advance(lease + hold)
	f.store.Expire()
	f.until("the keys are granted again", func() bool {
		f.clock.advance(10 * time.Millisecond)
		return f.port.count("grant") == 2
	})
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
}

// A server answers orders late. While its daemon waited for one answer after the other,
// the time ran out up to which its record was certain; it had looked before the first
// order only, and sent the rest when others already counted.
func TestEachOrderIsSentUnderACertainRecord(t *testing.T) {
	f := newFleet(t, "a", "b", "a", "b", "a")
	var slow atomic.Bool
	f.port.before = func(order string) {
		if slow.Load() && strings.HasPrefix(order, "grant") {
			f.clock.advance(lease)
		}
	}
	f.start()
	f.until("the ranges are granted", func() bool { return f.port.count("grant") == 3 })
	slow.Store(true)
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.grants.Fenced(0)
	f.grants.Fenced(mtid.LastKeyNumber / 2)
	f.grants.Fenced(mtid.LastKeyNumber)
	f.until("one is granted again", func() bool { return f.port.count("grant") >= 4 })
	f.turns()
	assert.Equal(t, f.port.count("grant"), 4, "ordered after the record was no longer certain")
}

// A daemon is restarted beside a server that is leaving, and has granted it nothing
// yet. It granted the keys first, so that it could release them, and the server got
// calls after its time for new work. Keys of a leaving server only move away.
func TestALeavingServerIsGrantedNothing(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.host.set(mtbackend.Draining)
	f.start()
	f.until("the keys have moved", func() bool { return f.owner(0) == "b" })
	f.turns()
	assert.Equal(t, f.port.count("grant"), 0, "orders %v", f.port.seen())
	assert.Equal(t, f.port.count("release"), 1, "an order of the former daemon may be in force")
}

// The same while the store is away, so that the keys can't move. They are not granted
// back to the server that leaves when a move has failed.
func TestALeavingServerIsGrantedNothingAfterAMoveThatFailed(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Fail(func(op, name string) error {
		if name != mtstore.RangeName(service) {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the move is begun", func() bool { return f.port.count("release") == 1 })
	f.until("it has failed and is begun again", func() bool { return f.port.count("release") == 2 })
	assert.Equal(t, f.port.count("grant"), 1)
	f.store.Fail(nil)
	f.until("the keys have moved", func() bool { return f.owner(0) == "b" })
	assert.Equal(t, f.port.count("grant"), 1)
}

// The server's process has ended, and another life may answer at its address already. A
// renewal that came due then reached that one, under the epoch of the former.
func TestNoOrderIsSentToWhoeverAnswers(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.host.unbound.Store(true)
	f.clock.advance(hold / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.until("the record stands", func() bool { return f.directory.RecordValidUntil().Sub(f.clock.Now()) > lease/2 })
	f.grants.Wake()
	f.turns()
	assert.Equal(t, f.port.count("grant"), 1)
	f.host.unbound.Store(false)
	f.grants.Wake()
	f.until("the grant is renewed", func() bool { return f.port.count("grant") == 2 })
}

// The store turns this daemon away. Others will count its record as gone, so it
// orders nothing once the record is no longer certain, although its server would
// obey.
func TestNothingIsGrantedWithoutACertainRecord(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.clock.advance(lease)
	before := f.port.count("grant")
	f.clock.advance(hold)
	f.grants.Wake()
	f.turns()
	assert.Equal(t, f.port.count("grant"), before)
	var refused *mtreply.RefusedError
	err := f.grants.Holds(lifeOf("a"), 0)
	assert.Assert(t, asRefused(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseNoLease)
}

// A daemon is restarted beside a server that takes no connections. What its former process
// ordered just before its end is in force for a hold; without that in its account, it said
// that the server had ended, and others took the keys of one that worked on.
func TestOrdersOfAFormerProcessCount(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.host.unbound.Store(true) // nothing is ordered by this one
	begun := f.clock.Now()
	f.start()
	assert.Assert(t, f.grants.Lasts().Sub(begun) >= hold)
}

// A key is not granted yet. Its callers ask again within a moment while the daemon's record
// is certain, and later while the store turns the daemon away: nothing changes before.
func TestAnUngrantedKeyIsAskedForAgainWhenItMayBeHeld(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("own range is granted", func() bool { return f.port.count("grant") == 1 })
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	retry := func() time.Duration {
		var refused *mtreply.RefusedError
		assert.Assert(t, asRefused(f.grants.Holds(lifeOf("a"), 0), &refused))
		return refused.RetryAfter
	}
	f.host.unbound.Store(true)
	f.grants.Fenced(0)
	soon := retry()
	f.clock.advance(lease)
	assert.Assert(t, soon > 0 && retry() > 2*soon, "%s and %s", soon, retry())
}
