package mtgrant_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// A VM is lost with its server. Its last grant may have been sent up to a lease after the
// record disappeared, and lasts longer on a slow clock. The keys must be taken over only
// after that time, and then must be.
func TestTakeoverWaitsForGrantsOfLostVM(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.expireRecordOfB()
	f.clock.advance(grantDuration)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over while a grant may still be in effect")
	f.clock.advance(lease + time.Second)
	f.until("the keys are taken over", func() bool { return f.owner(mtid.LastKeyNumber) == "a" })
	f.until("the keys are granted to a", func() bool { return f.server.count("grant") >= 2 })
}

// The store removes a daemon's record before its lease has expired, and rejects that
// daemon. The daemon goes by its last renewal: it considers the record certain for the rest
// of the lease and sends grants until then, which last for the grant duration. Another
// daemon that counted only the grant duration from the removal would take over the keys too
// early, and two servers would hold them.
func TestTakeoverWaitsForGrantsAfterEarlyRecordRemoval(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.expireRecordOfB() // just after a renewal of the lease
	const lastCommand = lease * 98 / 100
	f.clock.advance(lastCommand + grantDuration)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"), "taken over while a grant may still be in effect")
}

// All VMs of a large fleet lose power while the store is unavailable, and forty servers are
// found lost at once when it returns. The store accepts at most thirty conditions in one
// write, so a takeover of all owners in one step would be rejected and retried forever.
func TestMassTakeoverRespectsConditionLimit(t *testing.T) {
	daemons := []mtid.Daemon{"a"}
	for n := range 40 {
		daemons = append(daemons, mtid.Daemon(fmt.Sprintf("b%02d", n)))
	}
	f := newFleet(t, daemons...)
	for _, d := range daemons[1:] {
		f.write(record(d, mtbackend.Ended))
	}
	f.start()
	f.until("all keys are taken over", func() bool {
		a, ok := f.directory.View().Assignments[service]
		return ok && a.Keys(ownerOf("a")) == int(mtid.LastKeyNumber)+1
	})
}

// The daemon of a lost server is alive and reports that the server's process has
// terminated, or that another incarnation runs. The takeover must not wait then.
func TestKeysOfTerminatedServerAreTakenOverAtOnce(t *testing.T) {
	for name, change := range map[string]func(r *mtbackend.Record){
		"ended":                            func(r *mtbackend.Record) { r.State = mtbackend.Ended },
		"another incarnation":              func(r *mtbackend.Record) { r.Incarnation.Server = "next" },
		"another incarnation of that name": func(r *mtbackend.Record) { r.Incarnation.Started++ },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.start()
			f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
			r := record("b", mtbackend.Ready)
			change(&r)
			f.write(r)
			f.until("the keys are taken over", func() bool {
				a := f.directory.View().Assignments[service]
				return a.Keys(ownerOf("b")) == 0
			})
		})
	}
}

// Another writer overwrites the record of a daemon that is alive but unreachable. A daemon
// that has started since knows nothing else about it. The entry does not prove that the
// server has terminated, however long it exists: after a takeover the keys would have two
// owners.
func TestNoTakeoverWhileRecordIsOverwritten(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Put(mtstore.BackendName(0, "b"), []byte(`{"daemon":"b","state":"resting"}`))
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.clock.advance(grantDuration + lease + time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

// A daemon has restarted and has not received a heartbeat from its server yet. Its record
// does not show whether the server is alive, so the server must keep the keys that it was
// granted.
func TestServerOfRestartedDaemonKeepsItsKeys(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.write(mtbackend.Record{Daemon: "b", Service: service, State: mtbackend.Unknown})
	f.clock.advance(time.Minute)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.letLoopsRun()
	assert.Equal(t, f.owner(mtid.LastKeyNumber), mtid.Daemon("b"))
}

// All daemons start together without an assignment. The first assignment must not be
// written before all servers have appeared.
func TestFirstAssignmentWaitsForAllServers(t *testing.T) {
	f := newFleet(t)
	f.start()
	f.until("the copy contains the own record", func() bool { return len(f.directory.View().Members) == 1 })
	f.letLoopsRun()
	assert.Equal(t, f.owner(0), mtid.Daemon(""))
	f.write(record("b", mtbackend.Ready))
	f.until("the copy contains the other record", func() bool { return len(f.directory.View().Members) == 2 })
	f.letLoopsRun()
	f.clock.advance(2 * time.Second)
	f.until("keys are assigned", func() bool { return f.owner(0) == "a" && f.owner(mtid.LastKeyNumber) == "b" })
}

// Guards against keys of a lost VM that nobody takes over as long as connections to the store break now and then.
func TestTakeoverDespiteBrokenWatches(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Put(mtstore.RegistrationName(0, "b"), nil)
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	f.expireRecordOfB()
	f.clock.advance(grantDuration + lease + time.Second)
	f.store.Fail(func(op, _ string) error {
		if op != "watch" {
			return nil
		}
		return &mtstore.UnavailableError{Op: op}
	})
	f.until("the watch is broken", func() bool { return !f.directory.StoreAvailable() })
	f.store.Fail(nil)
	f.until("the keys are taken over", func() bool { return f.owner(mtid.LastKeyNumber) == "a" })
}

// Guards against a first assignment that is never written because servers come and go all the time.
func TestFirstAssignmentDoesNotWaitForeverForServers(t *testing.T) {
	f := newFleet(t)
	f.start()
	f.until("the copy contains the own record", func() bool { return len(f.directory.View().Members) == 1 })
	for n := 0; f.tableOf(0) == nil; n++ {
		assert.Assert(t, n < 12, "no assignment after %d changes", n)
		state := mtbackend.Ready
		if n%2 == 1 {
			state = mtbackend.Ended
		}
		f.write(record("b", state))
		f.until("the change is known", func() bool { return f.directory.View().Members["b"].State == state })
		f.letLoopsRun()
		f.clock.advance(500 * time.Millisecond)
		f.directory.Publish(f.host.set(mtbackend.Ready))
	}
}
