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
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtzone"
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
	// OnRecord is called with each record of another daemon. It may be nil, and must
	// not block.
	OnRecord func(mtbackend.Record)
	// OnUpdate is called with each update after it has been applied. It may be nil, and
	// must not block.
	OnUpdate func(mtwatch.Update)
}

// Assignment is a table with its version in the store.
type Assignment struct {
	*mtrange.Table
	Version mtid.Version
}

// NextEpoch returns the next epoch of the table, or 0 if there is no table.
func (a Assignment) NextEpoch() mtid.Epoch {
	if a.Table == nil {
		return 0
	}
	return a.Next
}

// View is an immutable snapshot of the copy.
type View struct {
	Members     map[mtid.Daemon]Member
	Assignments map[mtid.Service]Assignment
	// InvalidRecords contains the daemons under whose names there is an entry that no
	// daemon wrote, if no valid record of them is known. Such an entry identifies no
	// usable server, and it does not prove that a server has terminated.
	InvalidRecords map[mtid.Daemon]bool
	// OutOfService contains the availability zones that the operators have taken out of
	// service. It is complete up to Revision, and may be newer.
	OutOfService mtzone.OutOfService
	// Revision is the store revision up to which the copy is complete; zero if nothing
	// has been read yet.
	Revision mtid.Revision
	// MembershipVersion counts the changes of Members, InvalidRecords and
	// OutOfService. Values that are derived only from these need not be recomputed
	// after each move of a key.
	MembershipVersion uint64
	newestVersion     mtid.Version // of all members and assignments
}

// Serving returns the members whose servers accept new work for a service, in zones
// that are in service.
func (v *View) Serving(service mtid.Service) []Member {
	var serving []Member
	for _, m := range v.Members {
		if m.Service == service && m.AcceptsWork() && !m.Expired && !v.OutOfService.Has(m.Zone) {
			serving = append(serving, m)
		}
	}
	return serving
}

// Directory maintains the copy. See the package comment.
type Directory struct {
	Config
	view         atomic.Pointer[View]
	mu           sync.Mutex // guards listeners, entries, nextChange and the creation of views
	listeners    []func()
	entries      map[string]mtstore.Entry // all entries that were received, including deletions
	nextChange   chan struct{}            // closed at the next change
	publisher    *publisher
	watcher      atomic.Pointer[mtwatch.Watcher]
	storeUpSince atomic.Int64 // steady instant since when the store has responded; 0 if it fails
}

// New starts to watch the store and returns the Directory and its clean-up function.
// The clean-up function ends the lease, so that other daemons are notified immediately
// that this one has terminated.
func New(config Config) (*Directory, func()) {
	d := &Directory{Config: config, entries: make(map[string]mtstore.Entry), nextChange: make(chan struct{})}
	if d.Source == nil {
		d.Source = config.Store
	}
	d.view.Store(&View{Members: map[mtid.Daemon]Member{}, Assignments: map[mtid.Service]Assignment{}, InvalidRecords: map[mtid.Daemon]bool{}})
	d.publisher = newPublisher(config)
	watcher, stopWatch := mtwatch.Start(mtwatch.Config{
		Source: d.Source, Apply: d.apply, Health: d.onStoreHealth, Log: config.Log,
	})
	d.watcher.Store(watcher)
	stopPublisher := d.publisher.start()
	return d, func() {
		stopWatch()
		stopPublisher()
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
// it granted keys that already had another owner.
func (d *Directory) Current() bool {
	validSince := d.publisher.recordValidSince()
	return validSince != 0 && uint64(d.View().Revision) >= uint64(validSince)
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
	if !up {
		d.storeUpSince.Store(0)
		return
	}
	d.storeUpSince.CompareAndSwap(0, int64(d.Clock.Steady()))
}

// ApplyAssignment applies an assignment that was written or read outside the watch, so
// that this daemon uses its own writes immediately.
func (d *Directory) ApplyAssignment(a Assignment) {
	d.update(func(v *View) bool {
		if old, ok := v.Assignments[a.Service]; ok && old.Version >= a.Version {
			return false
		}
		v.Assignments[a.Service] = a
		return true
	})
}

// ApplyPushedAssignment applies an assignment that another daemon has written and
// pushed. If it does not fit the known one, it is ignored; the watch will deliver the
// change.
func (d *Directory) ApplyPushedAssignment(e mtstore.Entry) {
	pushed, err := d.View().applyPatch(e)
	service, isAssignment := assignmentService(e)
	if err == nil && pushed == nil && isAssignment && e.Version != 0 {
		// An assignment that has not changed often is sent as a whole.
		var table *mtrange.Table
		if table, err = mtrange.Decode(e.Value); err == nil && table.Service == service {
			pushed = &Assignment{Table: table, Version: e.Version}
		}
	}
	if err != nil {
		d.Log.Info("pushed assignment ignored", "name", e.Name, "error", err)
		return
	}
	if pushed != nil {
		d.ApplyAssignment(*pushed)
	}
}

// apply applies an update that the watch delivered.
func (d *Directory) apply(u mtwatch.Update) {
	now := d.Clock.Steady()
	var others []mtstore.Entry
	patchFailed := false
	d.update(func(v *View) bool {
		for _, e := range d.deletedEntries(u, v) {
			d.applyEntry(v, now, e)
		}
		for _, e := range u.Changes.Entries {
			if d.zoneKnown(e) {
				continue
			}
			patched, err := v.applyPatch(e)
			if err != nil {
				d.Log.Warn("patch of an assignment can't be applied", "name", e.Name, "error", err)
				patchFailed = true
				continue
			}
			if patched != nil {
				d.setPatched(v, e, *patched)
				continue
			}
			d.entries[e.Name] = e
			if !d.applyEntry(v, now, e) {
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

// setPatched stores an assignment that was received as a patch. Its entry is stored
// without a value. The value is encoded when another daemon requests the whole
// assignment, not for each move.
func (d *Directory) setPatched(v *View, e mtstore.Entry, assignment Assignment) {
	e.Version, e.Value = assignment.Version, nil
	d.entries[e.Name] = e
	v.Assignments[assignment.Service] = assignment
}

// applyPatch returns the assignment that results from the patch in an entry, or the
// known assignment if that is not older. It returns nil if the entry contains no
// patch, and fails with a *mtrange.PatchError if the patch cannot be applied to the
// known assignment.
func (v *View) applyPatch(e mtstore.Entry) (*Assignment, error) {
	service, isAssignment := assignmentService(e)
	if !isAssignment || e.Version == 0 {
		return nil, nil
	}
	patch, err := mtrange.DecodePatch(e.Value)
	if err != nil || patch == nil {
		return nil, err
	}
	own, known := v.Assignments[service]
	if !known {
		return nil, &mtrange.PatchError{Service: patch.Service, Since: patch.Since}
	}
	if own.Version >= e.Version {
		return &own, nil
	}
	table, err := own.Apply(patch)
	if err != nil {
		return nil, err
	}
	return &Assignment{Table: table, Version: e.Version}, nil
}

// assignmentService returns the service of an assignment entry, or false for other
// entries.
func assignmentService(e mtstore.Entry) (mtid.Service, bool) {
	service, ok := strings.CutPrefix(e.Name, mtstore.RangePrefix)
	return mtid.Service(service), ok
}

// applyEntry applies an entry, and reports whether it is a record, an assignment or an
// order about a zone.
func (d *Directory) applyEntry(v *View, now mtclock.Instant, e mtstore.Entry) bool {
	switch {
	case strings.HasPrefix(e.Name, mtstore.BackendPrefix):
		d.applyRecordEntry(v, now, e)
	case strings.HasPrefix(e.Name, mtstore.RangePrefix):
		d.applyAssignmentEntry(v, e)
	case strings.HasPrefix(e.Name, mtstore.ZonePrefix):
		d.applyZoneEntry(v, e)
	default:
		return false
	}
	return true
}

// ChangesSince returns the changes after a revision, like a watch of the store, and a
// channel that is closed at the next change. Other daemons call it, so that not all of
// them have to watch the store. An assignment that the caller knows up to an epoch is
// returned as a patch. If there are no changes, the returned revision is not lower
// than the requested one.
func (d *Directory) ChangesSince(after mtid.Revision, epochs Epochs) (mtstore.Changes, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := mtstore.Changes{Revision: d.View().Revision}
	if changes.Revision <= after {
		changes.Revision = after
		return changes, d.nextChange
	}
	for _, e := range d.entries {
		if e.Revision > after {
			changes.Entries = append(changes.Entries, d.encodeFor(e, epochs))
		}
	}
	slices.SortFunc(changes.Entries, func(a, b mtstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, d.nextChange
}

// Epochs maps the entry names of the assignments that a daemon knows to their next
// epochs.
type Epochs map[string]mtid.Epoch

// Epochs returns the next epochs of the assignments in this view.
func (v *View) Epochs() Epochs {
	epochs := make(Epochs, len(v.Assignments))
	for service, a := range v.Assignments {
		epochs[mtstore.RangeName(service)] = a.Next
	}
	return epochs
}

// encodeFor returns the entry of an assignment in the form that another daemon needs:
// a patch, if that daemon knows the assignment up to an epoch, or the whole assignment
// otherwise.
func (d *Directory) encodeFor(e mtstore.Entry, epochs Epochs) mtstore.Entry {
	service, isAssignment := assignmentService(e)
	if !isAssignment || e.Version == 0 {
		return e
	}
	a, ok := d.View().Assignments[service]
	if !ok || a.Version < e.Version {
		return e // undecodable; the other daemons detect that themselves
	}
	encode := a.Encode
	if epoch, known := epochs[e.Name]; known && epoch <= a.Next {
		encode = a.Since(epoch).Encode
	}
	value, err := encode()
	if err != nil {
		d.Log.Error("assignment can't be encoded", "service", service, "error", err)
		return e
	}
	e.Value, e.Version = value, a.Version
	return e
}

func (d *Directory) applyAssignmentEntry(v *View, e mtstore.Entry) {
	service, _ := assignmentService(e)
	if e.Version == 0 {
		d.Log.Error("assignment was deleted from the store", "service", service)
		return
	}
	table, err := mtrange.Decode(e.Value)
	if err != nil {
		d.Log.Error("assignment passed over", "service", service, "error", err)
		return
	}
	if old, ok := v.Assignments[service]; ok && old.Version >= e.Version {
		return
	}
	d.Log.Info("assignment", "service", service, "version", uint64(e.Version), "epoch", uint64(table.Next), "ranges", len(table.Ranges))
	v.Assignments[service] = Assignment{Table: table, Version: e.Version}
}

// update creates a new view and calls the listeners if f reports a difference.
func (d *Directory) update(f func(v *View) bool) {
	d.mu.Lock()
	old := d.view.Load()
	next := &View{
		Members:           old.Members,
		Assignments:       maps.Clone(old.Assignments),
		InvalidRecords:    old.InvalidRecords,
		OutOfService:      old.OutOfService,
		Revision:          old.Revision,
		MembershipVersion: old.MembershipVersion,
	}
	differs := f(next)
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

// newestVersion returns the highest version of all members and assignments in a view.
func newestVersion(v *View) mtid.Version {
	var newest mtid.Version
	for _, m := range v.Members {
		newest = max(newest, m.Version)
	}
	for _, a := range v.Assignments {
		newest = max(newest, a.Version)
	}
	return newest
}
