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
	is "gotest.tools/v3/assert/cmp"
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
	t              *testing.T
	store          *mtstandin.RevisionStore
	directory      *mtdirectory.Directory
	committer      *mtcommit.Committer
	recordVersions []mtid.Version
	writes         atomic.Int32
}

func daemonName(i int) mtid.Daemon { return mtid.Daemon(fmt.Sprintf("vm-%02d", i)) }

func ownerOf(i int) mtrange.Owner {
	return mtrange.Owner{Daemon: daemonName(i), Incarnation: mtid.ServerIncarnation{Server: mtid.Server(daemonName(i))}}
}

func (f *fleet) writeRecord(i int) mtid.Version {
	value, err := mtbackend.Record{
		Daemon: daemonName(i), Address: "x:1", Service: service, Incarnation: ownerOf(i).Incarnation, Slots: 10, State: mtbackend.Ready,
	}.Encode()
	assert.NilError(f.t, err)
	entry, err := f.store.Get(context.Background(), mtstore.BackendName(0, daemonName(i)))
	var missing *mtstore.NotFoundError
	if !errors.As(err, &missing) {
		assert.NilError(f.t, err)
	}
	version, err := f.store.Swap(context.Background(), mtstore.BackendName(0, daemonName(i)), entry.Version, value, "")
	assert.NilError(f.t, err)
	return version
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: mtstandin.NewRevisionStore(time.Now)}
	var all []mtrange.Owner
	for i := range owners {
		all = append(all, ownerOf(i))
		f.recordVersions = append(f.recordVersions, f.writeRecord(i))
	}
	table, err := mtrange.Spread(service, 0, all)
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	_, err = f.store.Swap(context.Background(), mtstore.RangeName(0, service), 0, value, "")
	assert.NilError(t, err)
	log := slog.New(slog.DiscardHandler)
	directory, stop := mtdirectory.New(mtdirectory.Config{Self: "writer", Store: f.store, Clock: mttime.New(), Lease: time.Minute, Log: log})
	t.Cleanup(stop)
	f.directory = directory
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if directory.View().Assignments[service].Table != nil {
			return poll.Success()
		}
		return poll.Continue("waiting until the assignment is read")
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

// batch transfers the lowest key of a daemon's server to the next server.
func (f *fleet) batch(i int) mtrange.Batch {
	r := f.directory.View().Assignments[service].Owned(ownerOf(i))[0]
	return mtrange.Batch{Service: service, Daemon: daemonName(i), RecordVersion: f.recordVersions[i], Transfers: []mtrange.Transfer{
		{From: r.Owner, Epoch: r.Epoch, Low: r.Low, High: r.Low, To: ownerOf((i + 1) % owners)},
	}}
}

// storedTable returns the assignment in the store.
func (f *fleet) storedTable() *mtrange.Table {
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(0, service))
	assert.NilError(f.t, err)
	table, err := mtrange.Decode(entry.Value)
	assert.NilError(f.t, err)
	return table
}

// Forty owners of hot keys move some of them at the same moment. When each wrote the
// assignment itself, nearly all writes conflicted with another one and were retried.
func TestBatchesOfManyOwnersAreWrittenTogether(t *testing.T) {
	f := newFleet(t)
	var batches []mtrange.Batch
	for i := range owners {
		batches = append(batches, f.batch(i))
	}
	f.writes.Store(0)
	var all sync.WaitGroup
	for _, b := range batches {
		all.Go(func() {
			assert.DeepEqual(t, f.committer.CommitForPeer(context.Background(), b), []mtrange.Outcome{mtrange.Written})
		})
	}
	all.Wait()
	table := f.storedTable()
	for _, b := range batches {
		got, _ := table.Lookup(b.Transfers[0].Low)
		assert.Equal(t, got.Owner, b.Transfers[0].To)
	}
	assert.Assert(t, f.writes.Load() <= owners/4, "%d writes for %d owners", f.writes.Load(), owners)
}

// One of several daemons with a batch has restarted. Its new incarnation has written its
// record and granted the keys again. If they were moved now, two servers would hold them.
// The keys of the other daemons must still move.
func TestBatchOfPreviousIncarnationIsRefused(t *testing.T) {
	f := newFleet(t)
	batches := []mtrange.Batch{f.batch(0), f.batch(1), f.batch(2)}
	f.writeRecord(1)
	outcomes := make([]mtrange.Outcome, len(batches))
	var all sync.WaitGroup
	for i, b := range batches {
		all.Go(func() { outcomes[i] = f.committer.CommitForPeer(context.Background(), b)[0] })
	}
	all.Wait()
	assert.DeepEqual(t, outcomes, []mtrange.Outcome{mtrange.Written, mtrange.Refused, mtrange.Written})
	got, _ := f.storedTable().Lookup(batches[1].Transfers[0].Low)
	assert.Equal(t, got.Owner, ownerOf(1))
}

// Another daemon writes at the same time, so that the local copy is stale. The batch must
// be written on top of that without another read, and the other daemon's change must
// remain.
func TestConflictingWriteIsRetried(t *testing.T) {
	f := newFleet(t)
	own, other := f.batch(3), f.batch(4).Transfers[0]
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(0, service))
	assert.NilError(t, err)
	table, err := f.storedTable().Move(other.Low, other.High, other.To, "")
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	_, err = f.store.Swap(context.Background(), mtstore.RangeName(0, service), entry.Version, value, "")
	assert.NilError(t, err)
	assert.DeepEqual(t, f.committer.Commit(context.Background(), own), []mtrange.Outcome{mtrange.Written})
	for _, want := range []mtrange.Transfer{own.Transfers[0], other} {
		got, _ := f.storedTable().Lookup(want.Low)
		assert.Equal(t, got.Owner, want.To)
	}
	assert.Equal(t, f.committer.Commit(context.Background(), own)[0], mtrange.Refused, "the transfer has been written before")
}

// The answer to a write is lost, or the daemon that requested the write has disconnected.
// The outcome must be reported as unknown, not as refused.
func TestUnansweredWriteHasUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	f.store.Fail(func(op, _ string) error {
		if op == "swap" {
			return &mtstore.UnknownError{Op: op, Err: errors.New("no answer")}
		}
		return nil
	})
	assert.DeepEqual(t, f.committer.Commit(context.Background(), f.batch(5)), []mtrange.Outcome{mtrange.OutcomeUnknown})
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	outcome := f.committer.CommitForPeer(canceled, f.batch(6))[0]
	assert.Assert(t, outcome == mtrange.OutcomeUnknown, "%v", outcome)
}

// Guards against a claim in an era whose seal shows other daemons that nobody claims keys any more. Moves go on.
func TestClaimsAreRefusedInSealedEra(t *testing.T) {
	for name, sealed := range map[string]bool{"sealed": true, "not sealed": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.store.StepBack(f.store.Copy())
			f.store.Fail(nil)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if f.directory.View().Era() == 1 {
					return poll.Success()
				}
				return poll.Continue("waiting until the era is known")
			})
			record := func(i int) mtid.Version {
				value, err := mtbackend.Record{Daemon: daemonName(i), Address: "x:1", Service: service, Incarnation: ownerOf(i).Incarnation, Slots: 10, State: mtbackend.Ready}.Encode()
				assert.NilError(t, err)
				return f.store.Put(mtstore.BackendName(1, daemonName(i)), value)
			}
			claim := func(i int) mtrange.Batch {
				r := f.directory.View().Assignments[service].Owned(ownerOf(i))[0]
				return mtrange.Batch{Service: service, Daemon: daemonName(i), RecordVersion: record(i), Transfers: []mtrange.Transfer{
					{From: r.Owner, Epoch: r.Epoch, Low: r.Low, High: r.High, To: r.Owner},
				}}
			}
			first := claim(0)
			assert.DeepEqual(t, f.committer.Commit(context.Background(), first), []mtrange.Outcome{mtrange.Written})
			if sealed {
				f.store.Put(mtstore.SealName(1, service), []byte("{}"))
			}
			second, want := claim(1), mtrange.Written
			if sealed {
				want = mtrange.Refused
			}
			owned := f.directory.View().Assignments[service].Owned(ownerOf(0))[0]
			move := mtrange.Batch{Service: service, Daemon: daemonName(0), RecordVersion: first.RecordVersion, Transfers: []mtrange.Transfer{
				{From: owned.Owner, Epoch: owned.Epoch, Low: owned.Low, High: owned.Low, To: ownerOf(1)},
			}}
			var both sync.WaitGroup
			both.Go(func() {
				assert.Check(t, is.DeepEqual(f.committer.CommitForPeer(context.Background(), second), []mtrange.Outcome{want}))
			})
			both.Go(func() {
				assert.Check(t, is.DeepEqual(f.committer.CommitForPeer(context.Background(), move), []mtrange.Outcome{mtrange.Written}))
			})
			both.Wait()
		})
	}
}
