package mtcommit_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtcommit"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

const (
	service mtid.Service = "maps"
	owners               = 40
)

// fleet is a store with the records of many daemons, whose servers own all keys.
type fleet struct {
	t         *testing.T
	store     *mtstandin.Revisions
	directory *mtdirectory.Directory
	committer *mtcommit.Committer
	records   []mtid.Version
	writes    atomic.Int32
}

func name(i int) mtid.Daemon { return mtid.Daemon(fmt.Sprintf("vm-%02d", i)) }

func owner(i int) mtrange.Owner {
	return mtrange.Owner{Daemon: name(i), Incarnation: mtid.ServerIncarnation{Server: mtid.Server(name(i))}}
}

func (f *fleet) record(i int) mtid.Version {
	value, err := mtbackend.Record{
		Daemon: name(i), Address: "x:1", Service: service, Incarnation: owner(i).Incarnation, Slots: 10, State: mtbackend.Ready,
	}.Encode()
	assert.NilError(f.t, err)
	entry, err := f.store.Get(context.Background(), mtstore.BackendName(name(i)))
	var missing *mtstore.NotFoundError
	if !errors.As(err, &missing) {
		assert.NilError(f.t, err)
	}
	version, err := f.store.Swap(context.Background(), mtstore.BackendName(name(i)), entry.Version, value, "")
	assert.NilError(f.t, err)
	return version
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: mtstandin.NewRevisions(time.Now)}
	var all []mtrange.Owner
	for i := range owners {
		all = append(all, owner(i))
		f.records = append(f.records, f.record(i))
	}
	table, err := mtrange.Spread(service, all)
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	_, err = f.store.Swap(context.Background(), mtstore.RangeName(service), 0, value, "")
	assert.NilError(t, err)
	log := slog.New(slog.DiscardHandler)
	directory, stop := mtdirectory.New(mtdirectory.Config{Self: "writer", Store: f.store, Clock: mttime.New(), Lease: time.Minute, Log: log})
	t.Cleanup(stop)
	f.directory = directory
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if directory.View().Assignments[service].Table != nil {
			return poll.Success()
		}
		return poll.Continue("assignment not read")
	})
	f.store.Fail(func(op, _ string) error {
		if op == "swap" {
			f.writes.Add(1)
		}
		return nil
	})
	committer, closeCommitter := mtcommit.New(mtcommit.Config{Directory: directory, Store: f.store, Log: log})
	t.Cleanup(closeCommitter)
	f.committer = committer
	return f
}

// batch gives the lowest key of a daemon's server to the next one.
func (f *fleet) batch(i int) mtrange.Batch {
	r := f.directory.View().Assignments[service].Owned(owner(i))[0]
	return mtrange.Batch{Service: service, Daemon: name(i), RecordVersion: f.records[i], Transfers: []mtrange.Transfer{
		{From: r.Owner, Epoch: r.Epoch, Low: r.Low, High: r.Low, To: owner((i + 1) % owners)},
	}}
}

// stored returns what stands in the store.
func (f *fleet) stored() *mtrange.Table {
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(service))
	assert.NilError(f.t, err)
	table, err := mtrange.Decode(entry.Value)
	assert.NilError(f.t, err)
	return table
}

// Forty owners of hot keys give some away at the same moment. Each wrote the assignment
// itself, and nearly all of the writes were beaten by another one and made again.
func TestChangesOfManyOwnersAreWrittenTogether(t *testing.T) {
	f := newFleet(t)
	var batches []mtrange.Batch
	for i := range owners {
		batches = append(batches, f.batch(i))
	}
	f.writes.Store(0)
	var all sync.WaitGroup
	for _, b := range batches {
		all.Go(func() {
			assert.DeepEqual(t, f.committer.Gather(context.Background(), b), []mtrange.Outcome{mtrange.Written})
		})
	}
	all.Wait()
	table := f.stored()
	for _, b := range batches {
		got, _ := table.Lookup(b.Transfers[0].Low)
		assert.Equal(t, got.Owner, b.Transfers[0].To)
	}
	assert.Assert(t, f.writes.Load() <= owners/4, "%d writes for %d owners", f.writes.Load(), owners)
}

// One of those daemons was restarted in between. Its next life has written its record and
// granted the keys again; were they given away now, two servers would hold them. The
// others' keys move all the same.
func TestAChangeOfAFormerLifeIsNotWritten(t *testing.T) {
	f := newFleet(t)
	batches := []mtrange.Batch{f.batch(0), f.batch(1), f.batch(2)}
	f.record(1)
	outcomes := make([]mtrange.Outcome, len(batches))
	var all sync.WaitGroup
	for i, b := range batches {
		all.Go(func() { outcomes[i] = f.committer.Gather(context.Background(), b)[0] })
	}
	all.Wait()
	assert.DeepEqual(t, outcomes, []mtrange.Outcome{mtrange.Written, mtrange.Refused, mtrange.Written})
	got, _ := f.stored().Lookup(batches[1].Transfers[0].Low)
	assert.Equal(t, got.Owner, owner(1))
}

// Another daemon writes at the same time, and the copy here is old. The batch is written
// over that without another reading; what the other one has changed stands.
func TestAWriteThatIsBeatenIsMadeAgain(t *testing.T) {
	f := newFleet(t)
	mine, theirs := f.batch(3), f.batch(4).Transfers[0]
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(service))
	assert.NilError(t, err)
	table, err := f.stored().Move(theirs.Low, theirs.High, theirs.To, "")
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	_, err = f.store.Swap(context.Background(), mtstore.RangeName(service), entry.Version, value, "")
	assert.NilError(t, err)
	assert.DeepEqual(t, f.committer.Commit(context.Background(), mine), []mtrange.Outcome{mtrange.Written})
	for _, want := range []mtrange.Transfer{mine.Transfers[0], theirs} {
		got, _ := f.stored().Lookup(want.Low)
		assert.Equal(t, got.Owner, want.To)
	}
	assert.Equal(t, f.committer.Commit(context.Background(), mine)[0], mtrange.Refused, "it has landed before")
}

// The answer to a write is lost, and the daemon that asked for it has gone away. Nobody is
// told that it was not written.
func TestAWriteWithoutAnAnswerIsDoubtful(t *testing.T) {
	f := newFleet(t)
	f.store.Fail(func(op, _ string) error {
		if op == "swap" {
			return &mtstore.UnknownError{Op: op, Err: errors.New("no answer")}
		}
		return nil
	})
	assert.DeepEqual(t, f.committer.Commit(context.Background(), f.batch(5)), []mtrange.Outcome{mtrange.OutcomeUnknown})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	outcome := f.committer.Gather(gone, f.batch(6))[0]
	assert.Assert(t, outcome == mtrange.OutcomeUnknown, "%v", outcome)
}
