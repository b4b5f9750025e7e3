package mtdirectory_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

// inEra reports whether the copy of a directory is of an era.
func inEra(d *mtdirectory.Directory, era mtid.Era) bool { return d.View().Era() == era }

// Guards against a daemon that takes its lease or its record for those of a store that has lost them.
func TestRecordIsWrittenAgainInNewEra(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	copied := store.Copy()
	a.Publish(record("a"))
	b.Publish(record("b"))
	waitFor(t, "both records are written", func() bool { return knowsRecord(a, "b", false) && a.Current() })
	for era := mtid.Era(1); era <= 2; era++ {
		store.StepBack(copied)
		waitFor(t, "the records are back", func() bool {
			return inEra(a, era) && knowsRecord(a, "b", false) && inEra(b, era) && knowsRecord(b, "a", false) && a.Current()
		})
		tenure, ok := a.FormerTenure()
		assert.Assert(t, ok && tenure.Era() == era-1, "%v", tenure)
		assert.Equal(t, tenure.Incarnation, record("a").Incarnation)
	}
}

// Guards against a claim of keys that others may have taken over, since the daemon had offered them.
func TestNoTenureAfterEndWasWritten(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.Publish(record("a"))
	waitFor(t, "b knows the record of a", func() bool { return knowsRecord(b, "a", false) })
	copied := store.Copy()
	ended := record("a")
	ended.State = "ended"
	a.Publish(ended)
	waitFor(t, "b knows the end", func() bool { return b.View().Members["a"].State == "ended" })
	store.StepBack(copied)
	waitFor(t, "the end is known in the new era", func() bool {
		return inEra(b, 1) && b.View().Members["a"].State == "ended" && knowsRecord(b, "a", false)
	})
	_, ok := a.FormerTenure()
	assert.Assert(t, !ok)
}

// Guards against an assignment of the copy that replaces a newer one, and against one that can't be written any more.
func TestOlderAssignmentOfCopyIsPassedOver(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a := start(t, store, "a")
	table, err := mtrange.Spread("maps", 0, []mtrange.Owner{record("a").Owner(), record("b").Owner()})
	assert.NilError(t, err)
	put := func(table *mtrange.Table) {
		value, err := table.Encode()
		assert.NilError(t, err)
		store.Put(mtstore.RangeName(0, "maps"), value)
	}
	put(table)
	copied := store.Copy()
	newer, err := table.Move(0, 9, record("b").Owner(), "")
	assert.NilError(t, err)
	put(newer)
	waitFor(t, "the newer one is known", func() bool { return a.View().Assignments["maps"].NextEpoch() == newer.Next })
	store.StepBack(copied)
	waitFor(t, "the new era is known", func() bool { return inEra(a, 1) })
	known := a.View().Assignments["maps"]
	assert.Equal(t, known.Next, newer.Next)
	base, expected := known.Basis(1)
	assert.Equal(t, expected, mtid.Version(0))
	assert.Assert(t, base.Next > newer.Next && base.Era() == 1 && len(base.Owners()) == 0, "%v", base)
}

// Guards against an order about a zone that is dropped, or one that was withdrawn and comes back, between the return of the store and the operators' rewrite.
func TestOrdersOutliveStepBack(t *testing.T) {
	for name, out := range map[string]bool{"given since the copy": true, "withdrawn since the copy": false} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			zone := mtstore.ZoneName("riga-b")
			if !out {
				store.Put(zone, []byte("{}"))
			}
			a := start(t, store, "a")
			isOut := func() bool { return a.View().OutOfService.Has("riga-b") }
			waitFor(t, "the first state is known", func() bool { return a.View().Revision != 0 && isOut() == !out })
			copied := store.Copy()
			if out {
				store.Put(zone, []byte("{}"))
			} else {
				store.Delete(zone)
			}
			waitFor(t, "the change is known", func() bool { return isOut() == out })
			rewrite := store.StepBack(copied)
			waitFor(t, "the new era is known", func() bool { return inEra(a, 1) })
			assert.Equal(t, isOut(), out)
			rewrite(mtstore.ZonePrefix)
			waitFor(t, "the rewrite is known", func() bool { return a.View().OutOfService.ChangedAt("riga-b").Era() == 1 })
			assert.Equal(t, isOut(), out)
			store.Put(zone, []byte("{}"))
			waitFor(t, "a new order is obeyed", isOut)
			store.Delete(zone)
			waitFor(t, "its withdrawal is obeyed", func() bool { return !isOut() })
		})
	}
}

// Guards against an order that is dropped, or one that comes back, because everything is read a
// second time before the operators' rewrite.
func TestOrdersOutliveSecondReadOfEra(t *testing.T) {
	for name, out := range map[string]bool{"given since the copy": true, "withdrawn since the copy": false} {
		t.Run(name, func(t *testing.T) {
			store := mtstandin.NewRevisionStore(time.Now)
			zone := mtstore.ZoneName("riga-b")
			if !out {
				store.Put(zone, []byte("{}"))
			}
			var reads atomic.Int32
			a := startWith(t, store, "a", func(u mtwatch.Update) {
				if u.Snapshot {
					reads.Add(1)
				}
			})
			isOut := func() bool { return a.View().OutOfService.Has("riga-b") }
			waitFor(t, "the first state is known", func() bool { return a.View().Revision != 0 && isOut() == !out })
			copied := store.Copy()
			if out {
				store.Put(zone, []byte("{}"))
			} else {
				store.Delete(zone)
			}
			waitFor(t, "the change is known", func() bool { return isOut() == out })
			store.StepBack(copied)
			waitFor(t, "the new era is known", func() bool { return inEra(a, 1) })
			before := reads.Load()
			a.Resync()
			waitFor(t, "everything is read again", func() bool { return reads.Load() > before })
			assert.Equal(t, isOut(), out)
			waitFor(t, "what nobody writes again ends", func() bool { return isOut() == !out })
		})
	}
}

// Guards against a new order that is held back like one of the copy, because it is received with everything else soon after the beginning of an era.
func TestNewOrderIsObeyedAtOnceInSecondReadOfEra(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	zone := mtstore.ZoneName("riga-b")
	store.Put(zone, []byte("{}"))
	a := start(t, store, "a")
	isOut := func() bool { return a.View().OutOfService.Has("riga-b") }
	waitFor(t, "the first state is known", isOut)
	copied := store.Copy()
	for range 10 {
		store.Put("op/other", []byte("{}")) // raises the revision of the withdrawal
	}
	store.Delete(zone)
	waitFor(t, "the change is known", func() bool { return !isOut() })
	store.StepBack(copied)
	waitFor(t, "the new era is known", func() bool { return inEra(a, 1) })
	assert.Assert(t, !isOut())
	store.SuppressWatchEvents(true)
	store.Put(zone, []byte("{}"))
	ordered := time.Now()
	a.Resync()
	waitFor(t, "the order is obeyed", isOut)
	assert.Assert(t, time.Since(ordered) < time.Second, "%s", time.Since(ordered))
}

// Guards against an order that stays in force for ever because the operators don't write it again.
func TestUnconfirmedOrderEnds(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a := start(t, store, "a")
	waitFor(t, "the store is read", func() bool { return a.View().Revision != 0 })
	copied := store.Copy()
	store.Put(mtstore.ZoneName("riga-b"), []byte("{}"))
	waitFor(t, "the order is known", func() bool { return a.View().OutOfService.Has("riga-b") })
	store.StepBack(copied)
	waitFor(t, "the order ends", func() bool { return inEra(a, 1) && !a.View().OutOfService.Has("riga-b") })
}

// Guards against losses of servers that nobody knows any more after the store has lost them.
func TestLossIsWrittenAgainInNewEra(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	a := start(t, store, "a")
	copied := store.Copy()
	a.Publish(record("a"))
	loss := lossOf("a")
	a.PublishLoss(loss)
	waitFor(t, "the loss is stored", func() bool { return hasLoss(t, store, loss) && !a.LossPending(loss.ID) })
	store.Fail(func(op, name string) error {
		if op != "swap" || name != mtstore.LossName(loss.ID) {
			return nil
		}
		return &mtstore.UnavailableError{Op: op, Err: errors.New("busy")}
	})
	store.StepBack(copied)
	assert.Assert(t, !hasLoss(t, store, loss))
	store.Fail(nil)
	waitFor(t, "the loss is stored again", func() bool { return hasLoss(t, store, loss) })
}

// Guards against an era that is never entered because it begins while the daemon has no lease, or
// while it is notified of that.
func TestEraIsEnteredWithoutLease(t *testing.T) {
	steps := map[string]struct {
		published mtbackend.State // what the daemon writes when the store steps back
		expired   bool            // the lease expired before
		before    string          // the store steps back before this call; empty: after one
		after     string          // the store steps back after this call
		held      bool            // the tenure lasted until the step back
	}{
		"the write of the record shows it":  {published: mtbackend.Draining, before: "swap", held: true},
		"the lease has expired before":      {published: mtbackend.Ready, expired: true, before: "grant"},
		"the next lease was granted before": {published: mtbackend.Ready, expired: true, after: "grant"},
		"the record was deleted before":     {published: mtbackend.Ready, expired: true, before: "swap"},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			store := &steppingStore{RevisionStore: mtstandin.NewRevisionStore(time.Now)}
			copied := store.Copy()
			var eras atomic.Uint32
			a, cleanUp := mtdirectory.New(mtdirectory.Config{
				Self: "a", Store: store, Clock: mttime.New(), Lease: lease, Log: slog.New(slog.DiscardHandler),
				OnEra: func(era mtid.Era) { eras.Store(uint32(era)) },
			})
			t.Cleanup(cleanUp)
			a.Publish(record("a"))
			loss := lossOf("a")
			a.PublishLoss(loss)
			waitFor(t, "the record and the loss are stored", func() bool {
				return a.RecordValidUntil() != 0 && hasLoss(t, store, loss) && !a.LossPending(loss.ID)
			})
			store.stepBackAt(copied, step.before, step.after)
			if step.expired {
				store.EndLeases()
			}
			next := record("a")
			next.State = step.published
			a.Publish(next)
			waitFor(t, "the loss is stored again", func() bool { return store.Era() == 1 && hasLoss(t, store, loss) })
			waitFor(t, "the record is stored again", func() bool { return a.RecordVersion().Era() == 1 && a.Current() })
			assert.Equal(t, eras.Load(), uint32(1))
			tenure, ok := a.FormerTenure()
			assert.Equal(t, ok, step.held, "%v", tenure)
		})
	}
}

// steppingStore is a store that steps back between two calls of the publisher.
type steppingStore struct {
	*mtstandin.RevisionStore
	mu            sync.Mutex
	before, after string // the call; empty if it doesn't step back there
	copied        *mtstandin.Copy
}

// stepBackAt makes the store step back, once, before or after the next call of a kind.
func (s *steppingStore) stepBackAt(copied *mtstandin.Copy, before, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after, s.copied = before, after, copied
}

// stepBackOnce makes the store step back if op is the call at which it should, and clears that.
func (s *steppingStore) stepBackOnce(at *string, op string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *at == op {
		*at = ""
		s.StepBack(s.copied)
	}
}

// Grant implements mtstore.Store.
func (s *steppingStore) Grant(ctx context.Context, ttl time.Duration) (mtstore.LeaseID, error) {
	s.stepBackOnce(&s.before, "grant")
	defer s.stepBackOnce(&s.after, "grant")
	return s.RevisionStore.Grant(ctx, ttl)
}

// Swap implements mtstore.Store.
func (s *steppingStore) Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	s.stepBackOnce(&s.before, "swap")
	return s.RevisionStore.Swap(ctx, name, expected, value, lease)
}

// Commit implements mtstore.ConditionalStore.
func (s *steppingStore) Commit(ctx context.Context, conditions []mtstore.Condition, puts ...mtstore.Put) (mtid.Version, error) {
	s.stepBackOnce(&s.before, "swap")
	return s.RevisionStore.Commit(ctx, conditions, puts...)
}

// lossOf returns the loss of a daemon's server.
func lossOf(daemon mtid.Daemon) mtpoison.Loss {
	return mtpoison.Loss{ID: mtpoison.LossID{Daemon: daemon, Server: record(daemon).Incarnation}}
}

// hasLoss reports whether the store contains a loss.
func hasLoss(t *testing.T, store mtstore.Store, loss mtpoison.Loss) bool {
	t.Helper()
	_, err := store.Get(t.Context(), mtstore.LossName(loss.ID))
	return err == nil
}
