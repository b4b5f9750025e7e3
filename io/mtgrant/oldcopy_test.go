package mtgrant_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtgrant"
)

// assign gives keys to another owner in the store and in the copy of daemon a.
func (f *fleet) assign(low, high mtid.KeyNumber, to mtid.Daemon) {
	f.t.Helper()
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(0, service))
	assert.Check(f.t, err)
	next, err := f.storedTable().Move(low, high, ownerOf(to), "")
	assert.Check(f.t, err)
	value, err := next.Encode()
	assert.Check(f.t, err)
	version, err := f.store.Swap(context.Background(), entry.Name, entry.Version, value, "")
	assert.Check(f.t, err)
	f.directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: version})
}

// Guards against keys that are granted again, alongside their new owner, when their move ends between reconcile's read of the assignment and its comparison with the grants.
func TestKeysThatJustMovedAreNotGrantedAgain(t *testing.T) {
	f := newFleet(t, "a", "b")
	asked, ended := make(chan struct{}), make(chan struct{})
	f.delegate = func(ctx context.Context, _ mtrange.Batch) ([]mtrange.Outcome, bool) {
		close(asked)
		select {
		case <-ended:
		case <-ctx.Done():
		}
		return []mtrange.Outcome{mtrange.Written}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	<-asked
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{}
	f.mu.Unlock()
	f.until("the move ends during reconcile", func() bool {
		return f.grants.EndMoveDuringReconcile(0, 1, func() { f.assign(0, 99, "b") })
	})
	f.until("that run has ended", func() bool { return !mtgrant.Reconciling() })
	close(ended)
	assert.NilError(t, f.grants.CheckGranted(incarnationOf("a"), 100))
	assert.Equal(t, f.server.count("grant"), 1, "granted again: %v", f.server.sent())
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("the remaining keys are renewed", func() bool { return f.server.count("grant 100-32767") > 0 })
	assert.DeepEqual(t, f.server.sent(), []string{"grant 0-32767 at 1", "release 0-99 at 1", "grant 100-32767 at 1"})
}

// Guards against a range that is granted by an old copy of the assignment after the copy has changed while reconcile sends one grant after another.
func TestGrantFoundDueByOldCopyIsNotSent(t *testing.T) {
	f := newFleet(t, "a", "b", "a")
	f.start()
	f.until("both ranges are granted", func() bool { return f.server.count("grant") == 2 })
	var once sync.Once
	f.server.mu.Lock()
	f.server.before = func(command string) {
		if strings.HasPrefix(command, "grant 0-") {
			once.Do(func() { f.assign(mtid.LastKeyNumber-99, mtid.LastKeyNumber, "b") })
		}
	}
	f.server.mu.Unlock()
	last := f.server.sent()[1]
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("the first range is granted", func() bool { return f.server.count("grant 0-") == 2 })
	f.until("that run has ended", func() bool { return !mtgrant.Reconciling() })
	assert.Equal(t, f.server.count(last), 1, "granted by an old copy: %v", f.server.sent())
}

// Guards against the end of a move that removes the grant of a later move of the same keys, so that they are granted again while they move.
func TestEndOfMoveLeavesLaterMoveOfSameKeys(t *testing.T) {
	f := newFleet(t, "a", "b")
	asked, answered := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	f.delegate = func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		outcomes := make([]mtrange.Outcome, len(b.Transfers))
		if calls.Add(1) > 1 {
			<-ctx.Done()
			for i := range outcomes {
				outcomes[i] = mtrange.OutcomeUnknown
			}
			return outcomes, true
		}
		close(asked)
		select {
		case <-answered:
		case <-ctx.Done():
		}
		outcomes[0] = mtrange.Written
		return outcomes, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	<-asked
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{}
	f.mu.Unlock()
	f.assign(0, 99, "b")
	f.assign(0, 99, "a")
	f.until("the keys are granted again", func() bool { return f.server.count("grant 0-99") == 1 })
	f.host.mu.Lock()
	f.host.record.Leaving = true
	f.host.mu.Unlock()
	f.until("the keys are released again", func() bool { return f.server.count("release 0-99") == 2 })
	close(answered)
	moved := 0
	f.until("the first move has ended", func() bool {
		moved += f.grants.TakeMovedCount()
		return moved > 0
	})
	f.letLoopsRun()
	assert.Equal(t, moved, 100)
	assert.Equal(t, f.server.count("grant 0-99"), 1, "granted while they move: %v", f.server.sent())
}
