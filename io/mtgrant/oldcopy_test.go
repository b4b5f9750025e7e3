package mtgrant_test

import (
	"context"
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
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(service))
	assert.Check(f.t, err)
	next, err := f.storedTable().Move(low, high, ownerOf(to), "")
	assert.Check(f.t, err)
	value, err := next.Encode()
	assert.Check(f.t, err)
	version, err := f.store.Swap(context.Background(), entry.Name, entry.Version, value, "")
	assert.Check(f.t, err)
	f.directory.ApplyAssignment(mtdirectory.Assignment{Table: next, Version: version})
}

// A move ends between reconcile's read of the assignment and its comparison with the grants: the
// keys that have moved are granted again by the old copy, alongside their new owner.
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
	<-asked
	f.mu.Lock()
	f.ownLoad = mtrange.LoadReport{}
	f.mu.Unlock()
	f.until("the move ends during reconcile", func() bool {
		return f.grants.EndMoveDuringReconcile(0, func() { f.assign(0, 99, "b") })
	})
	f.until("that run has ended", func() bool { return !mtgrant.Reconciling() })
	close(ended)
	f.until("keys that stay can be served", func() bool { return f.grants.CheckGranted(incarnationOf("a"), 100) == nil })
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("the remaining keys are renewed", func() bool { return f.server.count("grant 100-32767") > 0 })
	assert.DeepEqual(t, f.server.sent(), []string{"grant 0-32767 at 1", "release 0-99 at 1", "grant 100-32767 at 1"})
}
