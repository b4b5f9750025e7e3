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

// The store rejects a daemon until its record has expired, and another daemon takes over
// its server's keys. Then the daemon reconnects and writes its record, but has not seen the
// takeover. It granted the keys again by its stale copy, under the old epoch, and two
// servers held them. In its log, "granted" under epoch 2 followed "own record written" with
// version 47 after 42 ms, and "assignment" with version 46 and epoch 20 came 20 ms after
// that.
func TestNoGrantByStaleCopyAfterReconnect(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.SuppressWatchEvents(true) // the watch shows nothing from here on
	f.store.Fail(func(op, _ string) error {
		if op == "watch" {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.clock.advance(lease + grantDuration)
	f.store.ExpireLeases()
	table, err := mtrange.Spread(service, 0, []mtrange.Owner{ownerOf("a"), ownerOf("b")})
	assert.NilError(t, err)
	reassigned, err := table.Move(0, mtid.LastKeyNumber/2, ownerOf("b"), "")
	assert.NilError(t, err)
	value, err := reassigned.Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.RangeName(0, service), value)
	f.store.Fail(nil)
	f.until("the record is written again", func() bool { return f.directory.RecordValidUntil().Sub(f.clock.Now()) > lease/2 })
	f.grants.Wake()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1, "granted by a copy from before the takeover")
	f.store.SuppressWatchEvents(false)
	f.until("the copy shows the takeover", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1)
}

// As above, but no other daemon has taken over the keys, and the watch still receives
// nothing although the store is available. The daemon must read everything again on its own
// initiative. If it waited for the watch, its server would be idle until the watch
// recovered.
func TestGrantsResumeAfterReconnectByFullRead(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.SuppressWatchEvents(true)
	f.clock.advance(lease + grantDuration)
	f.store.ExpireLeases()
	f.until("the keys are granted again", func() bool {
		f.clock.advance(10 * time.Millisecond)
		return f.server.count("grant") == 2
	})
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
}

// A server answers late. While its daemon waited for one answer after the other, the time
// up to which its record was certain passed. The daemon checked that only before the first
// grant, and sent the others when other daemons were already waiting for its grants to
// expire.
func TestRecordIsCheckedBeforeEachGrant(t *testing.T) {
	f := newFleet(t, "a", "b", "a", "b", "a")
	var slow atomic.Bool
	f.server.before = func(command string) {
		if slow.Load() && strings.HasPrefix(command, "grant") {
			f.clock.advance(lease)
		}
	}
	f.start()
	f.until("the ranges are granted", func() bool { return f.server.count("grant") == 3 })
	slow.Store(true)
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.grants.Regrant(0)
	f.grants.Regrant(mtid.LastKeyNumber / 2)
	f.grants.Regrant(mtid.LastKeyNumber)
	f.until("one range is granted again", func() bool { return f.server.count("grant") >= 4 })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 4, "granted after the record was no longer certain")
}

// A daemon restarts while its server is leaving, and has granted it nothing yet. When it
// granted the keys only to be able to release them, the server got calls after it had
// stopped accepting new work. Keys of a leaving server must only move away.
func TestLeavingServerIsGrantedNothing(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.host.set(mtbackend.Draining)
	f.start()
	f.until("the keys have moved", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 0, "commands %v", f.server.sent())
	assert.Equal(t, f.server.count("release"), 1, "a grant of the daemon's previous process may be in effect")
}

// As above, while the store refuses writes so that the keys can't move. After the failed
// move they must not be granted to the leaving server again.
func TestLeavingServerIsGrantedNothingAfterFailedMove(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.Fail(func(op, name string) error {
		if op != "swap" || name != mtstore.RangeName(0, service) {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the move has started", func() bool { return f.server.count("release") == 1 })
	f.until("the move has failed and is retried", func() bool { return f.server.count("release") == 2 })
	assert.Equal(t, f.server.count("grant"), 1)
	f.store.Fail(nil)
	f.until("the keys have moved", func() bool { return f.owner(0) == "b" })
	assert.Equal(t, f.server.count("grant"), 1)
}

// The server's process has terminated, and another incarnation may already answer at its
// address. A renewal that became due then reached the new incarnation, under the epoch of
// the previous one.
func TestNoGrantIsSentToOtherIncarnation(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.host.disconnected.Store(true)
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.until("the record is certain to exist", func() bool { return f.directory.RecordValidUntil().Sub(f.clock.Now()) > lease/2 })
	f.grants.Wake()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1)
	f.host.disconnected.Store(false)
	f.grants.Wake()
	f.until("the grant is renewed", func() bool { return f.server.count("grant") == 2 })
}

// The store rejects this daemon. Other daemons will find its record missing, so it must
// send no grant once its record is no longer certain to exist, although its server would
// accept it.
func TestNothingIsGrantedWithoutCertainRecord(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	f.clock.advance(lease)
	before := f.server.count("grant")
	f.clock.advance(grantDuration)
	f.grants.Wake()
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), before)
	var refused *mtreply.RefusedError
	err := f.grants.CheckGranted(incarnationOf("a"), 0)
	assert.Assert(t, asRefused(err, &refused))
	assert.Equal(t, refused.Cause, mtreply.CauseNoLease)
}

// A daemon restarts while its server accepts no connections. A grant that its previous
// process sent just before it ended is in effect for the grant duration. When it was not
// accounted for, the daemon reported that the server had terminated, and other servers took
// over the keys of one that was still running.
func TestLastExpiryIncludesGrantsOfPreviousProcess(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.restarted = true
	f.host.disconnected.Store(true) // this process sends no grants
	started := f.clock.Now()
	f.start()
	assert.Assert(t, f.grants.LastExpiry().Sub(started) >= grantDuration)
}

// A key is not granted yet. The error must ask callers to retry soon while the daemon's
// record is certain, and later while the store rejects the daemon, since the key can't be
// granted before that ends.
func TestRetryAfterOfUngrantedKey(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.Fail(func(op, _ string) error {
		return &mtstore.UnavailableError{Op: op, Err: context.DeadlineExceeded}
	})
	retry := func() time.Duration {
		var refused *mtreply.RefusedError
		assert.Assert(t, asRefused(f.grants.CheckGranted(incarnationOf("a"), 0), &refused))
		return refused.RetryAfter
	}
	f.host.disconnected.Store(true)
	f.grants.Regrant(0)
	first := retry()
	f.clock.advance(lease)
	assert.Assert(t, first > 0 && retry() > 2*first, "retry after %s, then %s", first, retry())
}
