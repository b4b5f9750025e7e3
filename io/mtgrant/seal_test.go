package mtgrant_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtseal"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstandin"
)

// sealedAfter is when a single daemon has sealed an era, counted from when it knew of it.
const sealedAfter = 3 * time.Second

// startFallow starts daemon a, whose former process has just ended, beside a store that has come back
// from an older copy, and returns the copy.
func startFallow(t *testing.T) (*fleet, *mtstandin.Copy) {
	t.Helper()
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	f.store.StepBack(copied)
	f.restarted = true
	f.start()
	f.awaitEra(1)
	return f, copied
}

// seal waits until daemon a has sealed an era.
func (f *fleet) seal(era mtid.Era) {
	f.t.Helper()
	f.clock.advance(sealedAfter)
	f.until("the era is sealed", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		_, err := f.store.Get(context.Background(), mtstore.SealName(era, service))
		_, known := f.directory.View().Seals[service]
		return err == nil && known
	})
}

// grantsLater advances the clock, and returns the number of grants that were sent after that.
func (f *fleet) grantsLater(d time.Duration) int {
	f.t.Helper()
	before := f.server.count("grant")
	f.clock.advance(d)
	f.awaitEra(f.directory.View().Era())
	f.letLoopsRun()
	return f.server.count("grant") - before
}

// Guards against keys that nobody owns for as long as the store steps back again and again, though they have had no owner since the first time.
func TestWaitOfFallowKeysGoesOnThroughFurtherStepBacks(t *testing.T) {
	f, copied := startFallow(t)
	f.seal(1)
	f.clock.advance(2 * time.Second)
	f.store.StepBack(copied)
	f.awaitEra(2)
	f.seal(2)
	f.clock.advance(2 * time.Second)
	f.store.StepBack(copied)
	f.awaitEra(3)
	assert.Equal(t, f.grantsLater(time.Second), 0, "granted while grants of the first era may be in force")
	f.clock.advance(expiry - 2*sealedAfter - 5*time.Second)
	f.until("the keys are granted", func() bool {
		f.directory.Publish(f.host.set(mtbackend.Ready))
		return f.server.count("grant") > 0
	})
	r, _ := f.tableOf(3).Lookup(0)
	assert.Assert(t, r.Owner == ownerOf("a") && r.Epoch.Era() == 3, "%v", r)
}

// Guards against keys that are granted while their owner in the seconds that the store has lost may have them.
func TestFallowKeysWaitAnewWhereTheyMayHaveHadAnOwner(t *testing.T) {
	t.Run("claimed before the seal", func(t *testing.T) {
		f, copied := startFallow(t)
		base := f.directory.View().Assignments[service].InEra(1)
		theirs, _ := base.Lookup(mtid.LastKeyNumber)
		claimed, err := base.Transfer(mtrange.Transfer{From: theirs.Owner, Epoch: theirs.Epoch, Low: theirs.Low, High: theirs.High, To: theirs.Owner})
		assert.NilError(t, err)
		value, err := claimed.Encode()
		assert.NilError(t, err)
		f.store.Put(mtstore.RangeName(1, service), value)
		f.until("the claim is known", func() bool { return f.directory.View().Assignments[service].Era() == 1 })
		f.seal(1)
		f.clock.advance(2 * time.Second)
		f.store.StepBack(copied)
		f.awaitEra(2)
		f.clock.advance(expiry - sealedAfter - 2*time.Second)
		f.until("keys that had no owner are granted", func() bool {
			f.directory.Publish(f.host.set(mtbackend.Ready))
			return f.server.count("grant") > 0
		})
		f.letLoopsRun()
		table := f.tableOf(2)
		r, _ := table.Lookup(mtid.LastKeyNumber)
		assert.Assert(t, table.Fallow(r), "claimed keys are given away: %v", r)
	})
	t.Run("no seal", func(t *testing.T) {
		f, copied := startFallow(t)
		f.clock.advance(2 * time.Second)
		f.store.StepBack(copied)
		f.awaitEra(2)
		assert.Equal(t, f.grantsLater(expiry-2*time.Second), 0)
	})
	t.Run("era over later than its hold", func(t *testing.T) {
		f, copied := startFallow(t)
		f.seal(1)
		f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("away")} })
		f.clock.advance(expiry)
		f.store.StepBack(copied)
		f.store.Fail(nil)
		f.awaitEra(2)
		assert.Equal(t, f.grantsLater(time.Second), 0)
	})
	t.Run("era may have lasted longer than it seems", func(t *testing.T) {
		f, copied := startFallow(t)
		f.seal(1)
		f.clock.jump(expiry)
		f.store.StepBack(copied)
		f.awaitEra(2)
		assert.Equal(t, f.grantsLater(expiry-sealedAfter), 0)
	})
	t.Run("an era was missed", func(t *testing.T) {
		f, copied := startFallow(t)
		f.seal(1)
		f.store.Fail(func(op, _ string) error { return &mtstore.UnavailableError{Op: op, Err: errors.New("away")} })
		f.clock.advance(2 * time.Second)
		f.store.StepBack(copied)
		f.store.StepBack(copied)
		f.store.Fail(nil)
		f.awaitEra(3)
		assert.Equal(t, f.grantsLater(expiry-sealedAfter-2*time.Second), 0)
	})
	t.Run("seal written over", func(t *testing.T) {
		f, copied := startFallow(t)
		f.seal(1)
		value, err := mtseal.Seal{Hold: 9 * time.Second, By: "b"}.Encode()
		assert.NilError(t, err)
		f.store.Put(mtstore.SealName(1, service), value)
		f.until("the other seal is known", func() bool { return f.directory.View().Seals[service].Doubtful })
		f.store.StepBack(copied)
		f.awaitEra(2)
		assert.Equal(t, f.grantsLater(expiry-sealedAfter), 0)
	})
}

// Guards against keys that are given to a server while another daemon relies on their having no owner.
func TestFallowKeysHaveNoOwnerWhileSealHolds(t *testing.T) {
	for name, value := range map[string]string{"seal": `{"hold":14000000000,"by":"b"}`, "not a seal": `[`} {
		t.Run(name, func(t *testing.T) {
			f, _ := startFallow(t)
			f.store.Put(mtstore.SealName(1, service), []byte(value))
			f.until("the seal is known", func() bool { return f.directory.View().Seals[service].Version != 0 })
			assert.Equal(t, f.grantsLater(expiry), 0)
			f.clock.advance(mtseal.MaxHold - expiry)
			f.until("the keys are granted", func() bool {
				f.directory.Publish(f.host.set(mtbackend.Ready))
				return f.server.count("grant") > 0
			})
		})
	}
}

// Guards against a takeover of fallow keys that was decided before their era was sealed and is written after it.
func TestFallowKeysAreNotTakenOverPastUnknownSeal(t *testing.T) {
	f, _ := startFallow(t)
	f.store.SuppressWatchEvents(true)
	value, err := mtseal.Seal{Hold: 9 * time.Second, By: "b"}.Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.SealName(1, service), value)
	f.clock.advance(expiry)
	f.directory.Publish(f.host.set(mtbackend.Ready))
	f.letLoopsRun()
	assert.Assert(t, f.tableOf(1) == nil, "%v", f.tableOf(1))
}

// endingEra is a store that comes back from a copy as an era is being sealed.
type endingEra struct {
	*mtstandin.RevisionStore
	copied *mtstandin.Copy
}

// SwapIf implements mtstore.ConditionalStore.
func (s *endingEra) SwapIf(ctx context.Context, conditions []mtstore.Condition, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	if name == mtstore.SealName(1, service) {
		s.StepBack(s.copied)
		time.Sleep(500 * time.Millisecond) // until the daemon knows the new era
	}
	return s.RevisionStore.SwapIf(ctx, conditions, name, expected, value, lease)
}

// Guards against a seal that is taken for one of the era that has begun while it was written.
func TestSealOfEndedEraCountsForNoOther(t *testing.T) {
	f := newFleet(t, "a", "b")
	copied := f.store.Copy()
	f.store.StepBack(copied)
	f.storeOfA = &endingEra{RevisionStore: f.store, copied: copied}
	f.restarted = true
	f.start()
	f.awaitEra(1)
	f.clock.advance(sealedAfter)
	f.awaitEra(2)
	f.letLoopsRun()
	_, known := f.directory.View().Seals[service]
	_, err := f.store.Get(context.Background(), mtstore.SealName(2, service))
	assert.Assert(t, !known && err != nil, "taken for sealed: %v, stored: %v", known, err)
}
