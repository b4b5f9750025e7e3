package mtgrant_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
)

// The new owner of moved keys would see them through its watch only after a tenth of a
// second, and no server would serve them until then. It must be notified at once, with the
// changes.
func TestNewOwnerIsNotified(t *testing.T) {
	f := newFleet(t, "a", "b")
	notified := make(chan mtrange.Owner, 8)
	f.notify = func(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch) {
		assert.Check(t, to == "b" && since < a.Next)
		for _, r := range a.Since(since).Ranges {
			if r.Low == 0 {
				notified <- r.Owner
			}
		}
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	assert.Equal(t, <-notified, ownerOf("b"))
}

// The new owner was written, but the store's answer was lost. If the keys were granted here
// again, two servers would hold them.
func TestMoveWithUnknownOutcomeIsNotReverted(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.SuppressWatchEvents(true) // the watch does not show the move either
	f.store.LoseReplies(func(op, name string) error {
		if name != mtstore.RangeName(0, service) {
			return nil
		}
		return &mtstore.UnknownError{Op: op, Name: name, Err: context.DeadlineExceeded}
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the copy shows the move", func() bool { return f.owner(0) == "b" })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 1)
}

// A daemon terminates while its write of a move is on the way, and restarts while its
// server keeps running. The late write must not take effect after the keys have been
// granted again. It is conditional on the record of the daemon's previous incarnation.
func TestLateMoveOfPreviousIncarnationIsRejected(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.write(record("a", mtbackend.Ready))
	previous, err := f.store.Get(context.Background(), mtstore.BackendName(0, "a"))
	assert.NilError(t, err)
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(0, service))
	assert.NilError(t, err)
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	late, err := mtrange.Decode(entry.Value)
	assert.NilError(t, err)
	moved, err := late.Move(0, 10, ownerOf("b"), "")
	assert.NilError(t, err)
	value, err := moved.Encode()
	assert.NilError(t, err)
	own := mtstore.Condition{Name: previous.Name, Version: previous.Version}
	_, err = f.store.SwapIf(context.Background(), []mtstore.Condition{own}, entry.Name, entry.Version, value, "")
	conflict, _ := err.(*mtstore.ConflictError)
	assert.Assert(t, conflict != nil, "the late write took effect: %v", err)
}

// A move must be written only while the store holds the record that this process wrote. Any
// other record means that another incarnation of the daemon has started.
func TestMoveIsConditionalOnOwnRecord(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var written atomic.Bool
	f.store.LoseReplies(func(_, name string) error {
		if name == mtstore.RangeName(0, service) {
			written.Store(true)
		}
		return nil
	})
	f.write(record("a", mtbackend.Ready)) // by another incarnation of the daemon
	f.host.set(mtbackend.Draining)        // and this one no longer publishes
	f.until("the release is sent", func() bool { return f.server.count("release") > 0 })
	f.letLoopsRun()
	assert.Assert(t, !written.Load(), "the move was written although another incarnation has started")
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
}

// The daemon that writes for all daemons is disconnected while it has a move to write: it
// may write it seconds later, or never. If the keys were granted here again, they would
// have two owners once it did. So this daemon must write the move itself until the
// assignment shows it, and a late write of the other daemon must no longer apply.
func TestDelegatedMoveWithUnknownOutcomeIsNotReverted(t *testing.T) {
	f := newFleet(t, "a", "b")
	var batch atomic.Pointer[mtrange.Batch]
	asked := make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		if batch.CompareAndSwap(nil, &b) {
			close(asked)
		}
		return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	var unavailable atomic.Bool
	unavailable.Store(true)
	f.store.Fail(func(op, name string) error {
		if unavailable.Load() && name == mtstore.RangeName(0, service) {
			return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
		}
		return nil
	})
	f.directory.Publish(f.host.set(mtbackend.Draining))
	<-asked
	f.letLoopsRun()
	assert.Equal(t, f.owner(0), mtid.Daemon("a"))
	assert.Equal(t, f.server.count("grant"), 1, "granted again while the outcome of the move is unknown")
	unavailable.Store(false)
	f.until("the move is written", func() bool { return f.owner(0) == "b" })
	assert.Equal(t, f.server.count("grant"), 1)
	assert.Assert(t, !f.directory.View().Assignments[service].CanApply(batch.Load().Transfers[0]))
}

// Another daemon has written a move, but this one does not see the new assignment yet: its
// watch receives nothing, and the update that came with the answer could not be applied. If
// it considered the move done, it would find the keys assigned to its server by the old
// assignment and grant them again: two servers would hold them until the watch recovered.
func TestDelegatedMoveEndsOnlyWhenCopyShowsIt(t *testing.T) {
	f := newFleet(t, "a", "b")
	watch := &delayedWatch{Source: f.store}
	f.source = watch
	wrote := make(chan struct{})
	signalWritten := sync.OnceFunc(func() { close(wrote) })
	f.delegate = func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		entry, err := f.store.Get(ctx, mtstore.RangeName(0, service))
		assert.Check(t, err)
		table, err := mtrange.Decode(entry.Value)
		assert.Check(t, err)
		if !table.CanApply(b.Transfers[0]) {
			return []mtrange.Outcome{mtrange.Refused}, true
		}
		tr := b.Transfers[0]
		next, err := table.Move(tr.Low, tr.High, tr.To, tr.WarmupState)
		assert.Check(t, err)
		value, err := next.Encode()
		assert.Check(t, err)
		_, err = f.store.Swap(ctx, entry.Name, entry.Version, value, "")
		assert.Check(t, err)
		signalWritten()
		return []mtrange.Outcome{mtrange.Written}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
	f.mu.Unlock()
	watch.delayed.Store(true)
	f.clock.advance(mtrange.MoveCooldown)
	<-wrote
	f.letLoopsRun()
	for _, command := range f.server.sent() {
		assert.Assert(t, !strings.HasPrefix(command, "grant 0-99 "), "granted after its release: %v", f.server.sent())
	}
	assert.Equal(t, f.server.count("grant 0-"), 1, "granted after its release: %v", f.server.sent())
	watch.delayed.Store(false)
	f.until("the copy shows the move", func() bool { return f.owner(0) == "b" })
}

// The daemon is shut down while another daemon has its move to write. If it aborted the
// move and put the keys back into service in its last steps, the other daemon could still
// write it afterwards.
func TestMoveWithUnknownOutcomeIsNotRevertedOnShutdown(t *testing.T) {
	for range 10 {
		f := newFleet(t, "a", "b")
		asked := make(chan struct{})
		signalRequested := sync.OnceFunc(func() { close(asked) })
		f.delegate = func(ctx context.Context, _ mtrange.Batch) ([]mtrange.Outcome, bool) {
			signalRequested()
			<-ctx.Done()
			return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
		}
		f.start()
		f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
		f.mu.Lock()
		f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 30, Keys: 100, Known: true}
		f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 100, Known: true}}
		f.mu.Unlock()
		f.clock.advance(mtrange.MoveCooldown)
		<-asked
		before := f.server.count("grant")
		f.closeGrants()
		assert.Equal(t, f.server.count("grant"), before, "granted after its release: %v", f.server.sent())
	}
}

// The store rejects a daemon that has delegated its move to another one. The other daemon
// has a newer table, by which the keys have changed hands, and refuses the move. If this
// daemon resumed the keys at once, by a copy that does not show the change yet, it would
// grant them again alongside their new owner.
func TestRefusedMoveIsNotRevertedByStaleCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	refused := make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("rejected")} })
		for f.directory.StoreAvailable() {
			time.Sleep(time.Millisecond)
		}
		close(refused)
		outcomes := make([]mtrange.Outcome, len(b.Transfers))
		for i := range outcomes {
			outcomes[i] = mtrange.Refused
		}
		return outcomes, true
	}
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	granted := f.server.count("grant")
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	<-refused
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), granted, "granted again after the refusal: %v", f.server.sent())
}

// The daemon that writes for all others reports conflicts only, since the keys have changed
// hands, and the own copy does not show that. If the move were given up by that copy, the
// keys would be granted here again alongside their new owner.
func TestMoveIsNotGivenUpByStaleCopy(t *testing.T) {
	f := newFleet(t, "a", "b")
	var takeOver sync.Once
	var tries atomic.Int32
	f.delegate = func(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		takeOver.Do(func() {
			f.store.SuppressWatchEvents(true)
			entry, err := f.store.Get(ctx, mtstore.RangeName(0, service))
			assert.Check(t, err)
			table, err := mtrange.Decode(entry.Value)
			assert.Check(t, err)
			next, err := table.Move(0, mtid.LastKeyNumber/2, ownerOf("b"), "")
			assert.Check(t, err)
			value, err := next.Encode()
			assert.Check(t, err)
			f.store.Put(entry.Name, value)
		})
		tries.Add(1)
		outcomes := make([]mtrange.Outcome, len(b.Transfers))
		for i := range outcomes {
			outcomes[i] = mtrange.Conflicted
		}
		return outcomes, true
	}
	f.start()
	f.until("the keys are granted", func() bool { return f.server.count("grant") >= 1 })
	granted := f.server.count("grant 0-")
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	f.until("the move was tried", func() bool { return tries.Load() >= 12 })
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant 0-"), granted, "granted again by a stale copy: %v", f.server.sent())
}
