// Package mtdirectory maintains a daemon's copy of the shared state in the platform's
// store: the records of the backend servers and the assignments of keys. It also
// writes this daemon's own record to the store, under a lease that it renews.
//
// An expired record stays in the copy for a while and is marked as expired: while the
// store is unavailable, leases may expire although the servers are running. Routing
// may continue to use such a record; a takeover of keys requires that the record has
// been absent for long enough.
//
// # Usage
//
//	directory, cleanUp := mtdirectory.New(config)
//	defer cleanUp()
//	directory.Publish(record)
//	view := directory.View()
//
// A Directory is safe for concurrent use; a View is immutable.
package mtdirectory

import (
	"errors"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtwatch"
)

// clock provides a steady instant that never runs ahead: a daemon that waits for a
// lease to expire must not follow a clock that may step forward.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// Config holds the settings and dependencies of a Directory.
type Config struct {
	Self  mtid.Daemon
	Store mtstore.ConditionalStore
	Clock clock
	Log   *slog.Logger
	// Lease is the duration of the lease of this daemon's record: the record expires this
	// long after the last renewal.
	Lease time.Duration
	// Source is the source of changes; nil means the store.
	Source mtwatch.Source
	// OnOtherEntry is called with every entry that is neither a record, an assignment
	// nor an order about a zone. It may be nil.
	OnOtherEntry func(mtstore.Entry)
	// OnPreviousRecord is called with a record under this daemon's name before it is
	// overwritten, if this incarnation does not know that it wrote the record. Either
	// a previous incarnation wrote it, or this one did and the response was lost. It
	// may be nil.
	OnPreviousRecord func(mtbackend.Record)
	// OnLoss is called with each loss of a backend server in the store, also those that
	// this daemon has published. It may be nil, and must not block.
	OnLoss func(mtpoison.Loss)
	// OnEra is called when a call of the publisher has shown that the store is in a later era than
	// the publisher knew. The era known at the start is zero. It may be nil.
	OnEra func(mtid.Era)
	// OnUpdate is called with each update after it has been applied. It may be nil, and
	// must not block.
	OnUpdate func(mtwatch.Update)
}

// Directory maintains the copy. See the package comment.
type Directory struct {
	Config
	view      atomic.Pointer[View]
	mu        sync.Mutex // guards listeners, entries, nextChange and the creation of views
	listeners []func()
	entries   map[string]mtstore.Entry // all entries that were received, including deletions
	doubtful  map[string]mtstore.Entry // what operators may have changed since, by name
	odd       map[string]mtid.Version  // entries in the store that no daemon wrote, by name
	// overwritten holds the last valid records that were overwritten; later ones of the same daemons may stand.
	overwritten map[mtid.Daemon]overwrittenRecord
	eraEntered  mtid.Revision // of the update that began the era; the copy's entries are older
	// assignmentMissed reports that an assignment could not be applied since everything was read last.
	assignmentMissed bool
	settleTimer      *time.Timer   // applies the doubtful entries; nil before the first of them
	nextChange       chan struct{} // closed at the next change
	publisher        *publisher
	watcher          atomic.Pointer[mtwatch.Watcher]
	storeUpSince     atomic.Int64 // steady instant since when the store has responded; 0 if it fails
	health           storeHealth
}

// New starts to watch the store and returns the Directory and its clean-up function.
// The clean-up function ends the lease, so that other daemons are notified immediately
// that this one has terminated.
func New(config Config) (*Directory, func()) {
	d := &Directory{
		Config: config, entries: make(map[string]mtstore.Entry), doubtful: make(map[string]mtstore.Entry), odd: make(map[string]mtid.Version), overwritten: make(map[mtid.Daemon]overwrittenRecord), nextChange: make(chan struct{}),
	}
	if d.Source == nil {
		d.Source = config.Store
	}
	d.view.Store(&View{
		Members: map[mtid.Daemon]Member{}, Assignments: map[mtid.Service]Assignment{}, InvalidRecords: map[mtid.Daemon]bool{},
		Registrations: map[mtid.Daemon]mtid.Version{}, Strangers: map[mtid.Daemon]Stranger{},
	})
	d.publisher = newPublisher(config)
	watcher, stopWatch := mtwatch.Start(mtwatch.Config{
		Source: d.Source, Apply: d.apply, Health: d.onStoreHealth, Log: config.Log,
	})
	d.watcher.Store(watcher)
	stopPublisher := d.publisher.start()
	return d, func() {
		stopWatch()
		stopPublisher()
		d.stopSettling()
		d.stopAwaiting()
	}
}

// View returns the current view. It is called for each request.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed at the next change of the copy.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nextChange
}

// OnChange registers a function that is called after each change of the copy. The
// function must not block.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
}

// Publish sets this daemon's record. It is written in the background, and written again
// whenever it has expired.
func (d *Directory) Publish(r mtbackend.Record) { d.publisher.publish(r) }

// RecordValidUntil returns the time until which this daemon's record is certainly present
// in the store, by the clock that never runs slow. Zero means that the record is not
// present yet.
func (d *Directory) RecordValidUntil() mtclock.Instant { return d.publisher.recordValidUntil() }

// Current reports whether the copy contains everything that was written before this
// daemon's record became valid. A claimant of the keys of this daemon's server writes the
// takeover while the record is absent. So a daemon whose record has returned has received
// every takeover only when its copy is at least as new as that record. With an older copy,
// it granted keys that already had another owner. It is false while the record reports the end
// of the server, which lets others take over its keys, and while the record and the copy are of
// different eras of the store.
func (d *Directory) Current() bool {
	validSince, revision := d.publisher.recordValidSince(), d.View().Revision
	return validSince != 0 && validSince.Era() == revision.Era() && uint64(revision) >= uint64(validSince)
}

// RecordVersion returns the version of this daemon's record that this incarnation wrote
// last, or zero.
func (d *Directory) RecordVersion() mtid.Version { return d.publisher.lastWritten() }

// StoreUpSince returns the instant since when the store has responded without a
// failure, by the steady clock. It returns false if the store does not respond.
func (d *Directory) StoreUpSince() (mtclock.Instant, bool) {
	since := mtclock.Instant(d.storeUpSince.Load())
	return since, since != 0
}

// StoreAvailable reports whether the last calls to the store succeeded, both of the watch
// and of the publisher of this daemon's record. Operations that need a write should not be
// started while it returns false.
func (d *Directory) StoreAvailable() bool {
	_, up := d.StoreUpSince()
	return up && !d.publisher.unavailable.Load()
}

// NewestVersion returns the newest version of any entry that this daemon knows,
// including its own writes.
func (d *Directory) NewestVersion() mtid.Version {
	return max(d.publisher.lastWritten(), d.View().newestVersion)
}

// Resync reads everything again. It is called when another daemon has seen a version
// that the watch has not delivered.
func (d *Directory) Resync() {
	// The first read may contain an unusable patch before New has returned. Another
	// read would return the same.
	if watcher := d.watcher.Load(); watcher != nil {
		watcher.Resync(time.Now())
	}
}

// RetryWatch makes a watch that waits after a failure retry immediately. It is called when
// this daemon's record is present, which shows that the store responds.
func (d *Directory) RetryWatch() {
	if watcher := d.watcher.Load(); watcher != nil {
		watcher.RetryNow()
	}
}

// onStoreHealth records whether the store responds to the watch.
func (d *Directory) onStoreHealth(up bool) {
	d.health.observe(d.Clock.Steady(), up, d.Lease/renewalsPerLease)
	if !up {
		d.storeUpSince.Store(0)
		return
	}
	d.storeUpSince.CompareAndSwap(0, int64(d.Clock.Steady()))
}

// apply applies an update that the watch delivered.
func (d *Directory) apply(u mtwatch.Update) {
	now := d.Clock.Steady()
	var others []mtstore.Entry
	patchFailed := false
	d.update(func(v *View) bool {
		entered := d.enterEra(v, u.Changes.Revision, now)
		for _, e := range d.deletedEntries(u, v, entered) {
			d.applyAndKeep(v, now, e)
		}
		if u.Snapshot {
			d.forgetOdd(u.Changes)
			d.assignmentMissed = false
		}
		for _, e := range registrationsFirst(u.Changes.Entries) {
			if err := checkName(e.Name); err != nil {
				d.passOver(e, err)
				continue
			}
			if d.zoneKnown(e) {
				continue
			}
			if (entered || u.Snapshot && d.rereadOfCopy(now, v, e)) && d.doubt(e) {
				if !strings.HasPrefix(e.Name, mtstore.ZonePrefix) {
					others = append(others, e) // who uses it knows whether it is older
				}
				continue
			}
			delete(d.doubtful, e.Name)
			patched, err := v.applyPatch(e)
			var unfit *mtrange.PatchError
			if errors.As(err, &unfit) {
				d.assignmentMissed = true
				d.Log.Warn("patch of an assignment can't be applied", "name", e.Name, "error", err)
				patchFailed = true
				continue
			}
			if err != nil {
				d.assignmentMissed = true
				d.passOver(e, err)
				continue
			}
			if patched != nil {
				d.setPatched(v, e, *patched)
				continue
			}
			if !d.applyAndKeep(v, now, e) {
				others = append(others, e)
			}
		}
		v.Revision = u.Changes.Revision
		return true
	})
	if patchFailed {
		d.Resync()
	}
	if d.OnOtherEntry != nil {
		for _, e := range others {
			d.OnOtherEntry(e)
		}
	}
	if d.OnUpdate != nil {
		d.OnUpdate(u)
	}
}

// applyEntry applies an entry, and reports whether it is a record, a registration, an assignment, an
// order about a zone or the loss of a server. It fails if no daemon wrote the entry.
func (d *Directory) applyEntry(v *View, now mtclock.Instant, e mtstore.Entry) (used bool, _ error) {
	switch {
	case strings.HasPrefix(e.Name, mtstore.BackendPrefix):
		return true, d.applyRecordEntry(v, now, e)
	case strings.HasPrefix(e.Name, mtstore.RegistrationPrefix):
		d.applyRegistrationEntry(v, now, e)
	case strings.HasPrefix(e.Name, mtstore.SealPrefix):
		return true, d.applySealEntry(v, now, e)
	case strings.HasPrefix(e.Name, mtstore.RangePrefix):
		return true, d.applyAssignmentEntry(v, e)
	case strings.HasPrefix(e.Name, mtstore.ZonePrefix):
		d.applyZoneEntry(v, e)
	case strings.HasPrefix(e.Name, mtstore.LossPrefix):
		return true, d.applyLossEntry(e)
	default:
		return false, nil
	}
	return true, nil
}

// update creates a new view and calls the listeners if edit reports a difference.
func (d *Directory) update(edit func(v *View) bool) {
	d.mu.Lock()
	old := d.view.Load()
	next := &View{
		Members:           old.Members,
		Assignments:       maps.Clone(old.Assignments),
		InvalidRecords:    old.InvalidRecords,
		Registrations:     old.Registrations,
		Strangers:         old.Strangers,
		OutOfService:      old.OutOfService,
		Revision:          old.Revision,
		MembershipVersion: old.MembershipVersion,
		Former:            old.Former,
		EraSince:          old.EraSince,
		FormerRevision:    old.FormerRevision,
		Seals:             old.Seals,
		Unowned:           old.Unowned,
	}
	differs := edit(next)
	if differs {
		next.newestVersion = newestVersion(next)
		d.view.Store(next)
		close(d.nextChange)
		d.nextChange = make(chan struct{})
	}
	listeners := d.listeners
	d.mu.Unlock()
	if !differs {
		return
	}
	for _, f := range listeners {
		f()
	}
}
