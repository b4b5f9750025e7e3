package mtdirectory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
)

// assignmentOf returns the entry of an assignment in an era of the store, in which a daemon has all keys.
func assignmentOf(t *testing.T, era mtid.Era, daemon mtid.Daemon) mtstore.Entry {
	t.Helper()
	table, err := mtrange.Spread("maps", era, []mtrange.Owner{record(daemon).Owner()})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	return mtstore.Entry{Name: mtstore.RangeName(era, "maps"), Value: value}
}

// Guards against an assignment of an era that has not begun, which took the place of the present one for good: its
// epochs are higher, and each takeover was written on condition of its version.
func TestAssignmentOfLaterEraCountsForNone(t *testing.T) {
	const later = 3
	store := mtstandin.NewRevisionStore(time.Now)
	present, foreign := assignmentOf(t, 0, "a"), assignmentOf(t, later, "ghost")
	d := start(t, store, "a")
	store.Put(present.Name, present.Value)
	waitFor(t, "present assignment", func() bool { return d.View().Assignments["maps"].Table != nil })
	counts := func(d *mtdirectory.Directory) mtid.Epoch { return d.View().Assignments["maps"].Next }
	before := counts(d)

	foreign.Version = store.Put(foreign.Name, foreign.Value)
	waitFor(t, "it is read", func() bool { return uint64(d.View().Revision) >= uint64(foreign.Version) })
	assert.Equal(t, counts(d), before)
	assert.Equal(t, d.OddEntries(), 1)
	passedOn, _ := d.ChangesSince(0, nil)
	assert.Equal(t, len(passedOn.Entries), 1, "only the present one is passed on")

	foreign.Version = mtid.VersionOf(later, 2)
	d.ApplyPushedAssignment(foreign)
	assert.Equal(t, counts(d), before, "pushed as a whole")
	patch, err := (&mtrange.Patch{Service: "maps", Since: before, Next: mtid.FirstEpoch(later) + 1}).Encode()
	assert.NilError(t, err)
	d.ApplyPushedAssignment(mtstore.Entry{Name: foreign.Name, Value: patch, Version: foreign.Version})
	assert.Equal(t, counts(d), before, "pushed as a patch")

	started := start(t, store, "b")
	waitFor(t, "a daemon that starts", func() bool { return started.View().Revision != 0 })
	assert.Equal(t, counts(started), before)
}
