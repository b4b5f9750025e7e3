package mtgrant_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// silence makes a daemon answer nothing.
func (f *fleet) silence(silent mtid.Daemon) {
	f.answers = func(_ context.Context, daemon mtid.Daemon) bool { return daemon != silent }
}

// Guards against keys of a leaving server that move to one whose daemon can't be called, and against keys that stay
// although another one can.
func TestLeavingServersKeysMoveToDaemonsThatAnswer(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.silence("b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	before := f.directory.View().Assignments[service].Keys(ownerOf("b"))
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("all keys have moved", func() bool { return f.directory.View().Assignments[service].Keys(ownerOf("a")) == 0 })
	assert.Equal(t, f.directory.View().Assignments[service].Keys(ownerOf("b")), before)
}

// Guards against keys of a lost server that are given to one whose daemon can't be called, where they stay.
func TestKeysOfLostServerGoToDaemonsThatAnswer(t *testing.T) {
	f := newFleet(t, "a", "b", "c", "d")
	f.silence("b")
	f.start()
	f.until("the own range is granted", func() bool { return f.server.count("grant") == 1 })
	before := f.directory.View().Assignments[service].Keys(ownerOf("b"))
	f.store.Delete(mtstore.BackendName(0, "d"))
	f.until("d is absent", func() bool { return f.directory.View().Members["d"].Expired })
	f.passTime(lease + grantDuration + 5*time.Second)
	f.until("the keys are taken over", func() bool { return f.directory.View().Assignments[service].Keys(ownerOf("d")) == 0 })
	assert.Equal(t, f.directory.View().Assignments[service].Keys(ownerOf("b")), before)
}
