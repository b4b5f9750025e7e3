package mtgrant_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
)

// leaseStore is a store that shows of some names whether they have a lease, as the platform's does of all. What the
// tests write for daemons has none.
type leaseStore struct {
	*mtstandin.RevisionStore
	shown map[string]bool
}

// Watch implements mtstore.Store.
func (s leaseStore) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	changes, err := s.RevisionStore.Watch(ctx, prefix, after, wait)
	for i, e := range changes.Entries {
		if s.shown[e.Name] {
			changes.Entries[i].Lease = s.LeaseOf(e)
		}
	}
	return changes, err
}

// newForeignFleet divides the keys among a and b; what stands in place of b's record was written by another writer
// without a lease.
func newForeignFleet(t *testing.T, value []byte) *fleet {
	f := newFleet(t, "a", "b")
	name := mtstore.BackendName(0, "b")
	f.source = leaseStore{f.store, map[string]bool{name: true}}
	if value != nil {
		f.store.Put(name, value)
	}
	return f
}

// passTime lets time pass while a's record stands.
func (f *fleet) passTime(d time.Duration) {
	for end := f.clock.Steady().Add(d); f.clock.Steady().Before(end); time.Sleep(time.Millisecond) {
		f.clock.advance(50 * time.Millisecond)
		f.directory.Publish(record("a", mtbackend.Ready))
	}
}

// Guards against keys that stay for ever with a daemon that doesn't exist, and against two owners where it does exist:
// every daemon writes a registration with its record.
func TestKeysBesideForeignRecordAreTakenOverUnlessRegistered(t *testing.T) {
	for name, c := range map[string]struct {
		value      string
		registered bool
	}{
		"copy of a record":             {},
		"bytes":                        {value: "\x00"},
		"registered, copy of a record": {registered: true},
		"registered, bytes":            {value: "\x00", registered: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForeignFleet(t, []byte(c.value))
			if c.value == "" {
				f.write(record("b", mtbackend.Ready))
			}
			if c.registered {
				f.store.Put(mtstore.RegistrationName(0, "b"), nil)
			}
			f.start()
			f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
			f.passTime(grantDuration)
			f.letLoopsRun()
			assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over early")
			f.passTime(lease + time.Second)
			if c.registered {
				f.passTime(time.Minute)
				f.letLoopsRun()
				assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over from a daemon that may run")
				return
			}
			f.until("the keys are taken over", func() bool { return f.owner(mtid.LastKeyNumber) == "a" })
		})
	}
}

// Guards against two owners: a daemon starts under a name under which another writer's entry stood when the takeover
// of its keys was decided.
func TestTakeoverBesideForeignRecordFailsOnceDaemonIsRegistered(t *testing.T) {
	f := newForeignFleet(t, nil)
	f.write(record("b", mtbackend.Ready))
	late := &lateStore{RevisionStore: f.store}
	f.storeOfA = late
	f.start()
	f.until("a takeover is unanswered", func() bool {
		f.passTime(50 * time.Millisecond)
		return late.count() > 0
	})
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{Self: "b", Store: f.store, Clock: f.clock, Lease: lease, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(closeDirectory)
	own := record("b", mtbackend.Ready)
	own.Address = "127.0.0.1:1"
	directory.Publish(own)
	f.until("b has written its record", func() bool { return directory.RecordVersion() != 0 })
	assert.Equal(t, late.executeLate(), 0)
	assert.Assert(t, len(f.storedTable().Owned(ownerOf("b"))) > 0)
	f.until("b counts", func() bool { return f.directory.View().Members["b"].Version == directory.RecordVersion() })
	assert.Equal(t, len(f.directory.View().Strangers), 0)
}

// Guards against keys that are given to a daemon that doesn't exist: by the first assignment, and by a leaving server.
func TestForeignRecordIsGivenNoKeys(t *testing.T) {
	f := newForeignFleet(t, nil)
	f.store.Delete(mtstore.RangeName(0, service))
	f.write(record("b", mtbackend.Ready))
	f.start()
	f.until("keys are assigned", func() bool {
		f.passTime(50 * time.Millisecond)
		return f.owner(0) != ""
	})
	assert.Equal(t, f.directory.View().Assignments[service].Keys(ownerOf("a")), int(mtid.LastKeyNumber)+1)
	f.until("the keys are granted", func() bool { return f.server.count("grant") == 1 })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.letLoopsRun()
	assert.Equal(t, f.server.count("release"), 0, "keys leave although there is nobody")
}

// Guards against keys of servers that have ended and that nobody takes over, because another writer's entry stands under the
// name of another daemon that has ended: all were taken over in one write, whose conditions never held.
func TestForeignEntryOverLostDaemonHoldsUpNoTakeover(t *testing.T) {
	for kind, leased := range map[string]bool{"without a lease": false, "under a lease": true} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			name := mtstore.BackendName(0, "b")
			f.source = leaseStore{f.store, map[string]bool{name: true}}
			for _, d := range []mtid.Daemon{"b", "c"} {
				f.store.Put(mtstore.RegistrationName(0, d), []byte(d))
			}
			f.start()
			f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
			f.store.Delete(mtstore.BackendName(0, "b"))
			f.store.Delete(mtstore.BackendName(0, "c"))
			f.until("both are absent", func() bool { return f.directory.View().Members["b"].Expired && f.directory.View().Members["c"].Expired })
			value, err := record("b", mtbackend.Ready).Encode()
			assert.NilError(t, err)
			if leased {
				value = []byte("\x00") // as a leased one of another writer that can't be read
			}
			version := f.store.Put(name, value)
			f.until("it is read", func() bool { return uint64(f.directory.View().Revision) >= uint64(version) })
			owned := func(d mtid.Daemon) int { return f.directory.View().Assignments[service].Keys(ownerOf(d)) }
			assert.Assert(t, owned("c") > 0)
			f.passTime(30 * time.Second)
			f.letLoopsRun()
			unowned, _ := f.grants.Waiting()
			assert.Equal(t, owned("b")+owned("c"), 0, "b owns %d, c owns %d, waits %v", owned("b"), owned("c"), unowned)
		})
	}
}

// Guards against a wait that begins anew each time another writer deletes and writes its entry under a name of its own.
func TestStrangerThatComesAndGoesRestartsNoWait(t *testing.T) {
	f := newForeignFleet(t, nil)
	name := mtstore.BackendName(0, "b")
	value, err := record("b", mtbackend.Ready).Encode()
	assert.NilError(t, err)
	f.store.Put(name, value)
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	for range 10 { // every 4 s for 40 s
		f.store.Delete(name)
		f.until("it is absent", func() bool { return f.directory.View().Members["b"].Expired && len(f.directory.View().Strangers) == 0 })
		f.passTime(2 * time.Second)
		f.store.Put(name, value)
		f.until("it is back", func() bool { return len(f.directory.View().Strangers) == 1 })
		f.passTime(2 * time.Second)
	}
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("a"), "nobody takes the keys over")
}
