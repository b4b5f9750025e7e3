package mtgrant_test

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
)

// expiry is longer than it takes until no grant of a lost daemon can be in force.
const expiry = lease + grantDuration + grantDuration/10 + time.Second

// tableOf returns the assignment of an era in the store, or nil if there is none.
func (f *fleet) tableOf(era mtid.Era) *mtrange.Table {
	f.t.Helper()
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(era, service))
	var missing *mtstore.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	assert.NilError(f.t, err)
	table, err := mtrange.Decode(entry.Value)
	assert.NilError(f.t, err)
	return table
}

// grantsOf returns the grants of an era that were sent.
func (f *fleet) grantsOf(era mtid.Era) int {
	n := 0
	for _, c := range f.server.sent() {
		fields := strings.Fields(c)
		if fields[0] == "grant" && strings.HasSuffix(c, " at "+epochText(era)) {
			n++
		}
	}
	return n
}

// epochText returns the first epoch of an era as commands show it.
func epochText(era mtid.Era) string { return strconv.FormatUint(uint64(mtid.FirstEpoch(era)), 10) }

// awaitEra waits until daemon a's copy and record are of an era.
func (f *fleet) awaitEra(era mtid.Era) {
	f.t.Helper()
	f.until("the era is known", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		return f.directory.View().Era() == era && f.directory.RecordVersion().Era() == era
	})
}

// Guards against keys that are granted to nobody after a step back, though their owner has had them all the while.
func TestOwnerClaimsItsKeysInNewEra(t *testing.T) {
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.StepBack(copied)
	f.clock.advance(lease / 2)
	f.awaitEra(1)
	f.until("the claim is written", func() bool { return f.tableOf(1) != nil })
	r, _ := f.tableOf(1).Lookup(0)
	assert.Equal(t, r.Owner, ownerOf("a"))
	assert.Equal(t, r.Epoch, mtid.FirstEpoch(1))
	other, _ := f.tableOf(1).Lookup(mtid.LastKeyNumber)
	assert.Assert(t, f.tableOf(1).Fallow(other), "keys of b are claimed by a: %v", other)
	assert.NilError(t, f.grants.CheckGranted(incarnationOf("a"), 0))
	assert.Equal(t, f.server.count("release"), 0, "%v", f.server.sent())
	f.clock.advance(grantDuration / 2)
	f.until("the keys are renewed under the new epoch", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		f.grants.Wake()
		return f.grantsOf(1) > 0
	})
}

// Guards against keys that are released because the first assignment of the era doesn't name their owner yet.
func TestKeysStayInServiceUntilClaimIsWritten(t *testing.T) {
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.StepBack(copied)
	f.store.Fail(func(op, name string) error {
		if op == "swap" && name == mtstore.RangeName(1, service) {
			return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
		}
		return nil
	})
	table, err := mtrange.Spread(service, 0, []mtrange.Owner{ownerOf("b"), ownerOf("a")}) // an older one
	assert.NilError(t, err)
	value, err := table.InEra(1).Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.RangeName(1, service), value)
	f.clock.advance(lease / 2)
	f.awaitEra(1)
	f.until("the assignment is known", func() bool { return f.directory.View().Assignments[service].Era() == 1 })
	f.letLoopsRun()
	assert.NilError(t, f.grants.CheckGranted(incarnationOf("a"), 0))
	assert.Equal(t, f.server.count("release"), 0, "%v", f.server.sent())
	f.store.Fail(nil)
	f.until("the claim is written", func() bool {
		r, _ := f.tableOf(1).Lookup(0)
		return r.Owner == ownerOf("a") && r.Epoch.Era() == 1
	})
}

// Guards against a claim of keys that others may have taken over, since the daemon had been cut off for long when the era ended.
func TestNothingIsClaimedAfterLongAbsence(t *testing.T) {
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("away")} })
	f.clock.advance(lease + grantDuration)
	f.store.StepBack(copied)
	f.store.Fail(nil)
	f.awaitEra(1)
	f.letLoopsRun()
	assert.Assert(t, f.tableOf(1) == nil, "%v", f.tableOf(1))
	assert.Equal(t, f.grantsOf(1), 0)
}

// Guards against keys that a daemon grants by the assignment of a copy while grants by a lost one may be in force.
func TestCopyIsNotGrantedBeforeLostGrantsHaveExpired(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.StepBack(f.store.Copy())
	f.restarted = true
	f.start()
	f.awaitEra(1)
	f.clock.advance(expiry - 2*time.Second)
	f.awaitEra(1)
	f.letLoopsRun()
	assert.Equal(t, f.server.count("grant"), 0, "%v", f.server.sent())
	f.clock.advance(2 * time.Second)
	f.until("the keys are granted under an epoch of the new era", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		return f.server.count("grant") > 0
	})
	r, _ := f.tableOf(1).Lookup(0)
	assert.Assert(t, r.Epoch.Era() == 1)
}

// Guards against a first assignment that is written while grants by a lost one may be in force.
func TestFirstAssignmentWaitsWhereOneMayBeLost(t *testing.T) {
	f := newFleet(t)
	f.restarted, f.again = true, true
	f.start()
	f.awaitEra(0)
	f.letLoopsRun() // the servers are counted
	f.clock.advance(expiry / 2)
	f.directory.Publish(f.host.set(mtbackend.Ready))
	f.letLoopsRun()
	assert.Assert(t, f.tableOf(0) == nil)
	f.until("the first assignment is written", func() bool {
		f.clock.advance(time.Second)
		f.directory.Publish(f.host.set(mtbackend.Ready))
		time.Sleep(20 * time.Millisecond)
		return f.tableOf(0) != nil
	})
}

// Guards against a move that is written in a new era, though its keys may have another owner by what was lost.
func TestMoveOfEarlierEraIsNotWritten(t *testing.T) {
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	asked, ended := make(chan struct{}, 9), make(chan struct{})
	f.delegate = func(_ context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
		if b.Transfers[0].From == b.Transfers[0].To {
			return nil, false // a claim
		}
		asked <- struct{}{}
		<-ended
		return []mtrange.Outcome{mtrange.OutcomeUnknown}, true
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.overload()
	f.clock.advance(mtrange.MoveCooldown)
	<-asked
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{}
	f.mu.Unlock()
	f.store.StepBack(copied)
	f.clock.advance(lease / 2)
	f.awaitEra(1)
	close(ended)
	f.until("the move is over", func() bool { return f.grants.TakeMovedCount() > 0 })
	f.letLoopsRun()
	if table := f.tableOf(1); table != nil {
		moved, _ := table.Lookup(0)
		assert.Assert(t, table.Fallow(moved), "keys in move are claimed or moved: %v", moved)
	}
	assert.Assert(t, f.grants.CheckGranted(incarnationOf("a"), 0) != nil)
}
