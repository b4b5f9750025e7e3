// Package mtdirectory keeps one daemon's copy of what all share in the
// platform's store: the records of the backend servers and the assignments of
// keys. It also keeps this daemon's own record alive there, under a lease.
//
// A record that has lapsed is kept for a while and marked: while the store is
// away leases may run out, although the servers live. Whoever routes may go on
// to use it; whoever takes keys over needs it gone for long enough.
//
// # Usage
//
//	directory, cleanUp := mtdirectory.New(config)
//	defer cleanUp()
//	directory.Publish(record)
//	view := directory.Now()
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

// clock has a steady instant, which never runs ahead: whoever waits for a lease
// to be over must not be led by a clock that steps forward.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// Config is what a Directory works with.
type Config struct {
	Self  mtid.Daemon
	Store mtstore.ConditionalStore
	Clock clock
	Log   *slog.Logger
	// Lease is how long the own record outlives this daemon.
	Lease time.Duration
	// Source is where changes are heard of; nil is the store.
	Source mtwatch.Source
	// Other is told of every entry that is no record and no assignment. It may
	// be nil.
	Other func(mtstore.Entry)
	// Former is told of a record under the own name that this life does not know to have
	// written, before it is written over: that of a former life, or one of its own whose
	// answer was lost. It may be nil.
	Former func(mtbackend.Record)
	// Heard is told of each record of another daemon. It may be nil, and must not block.
	Heard func(mtbackend.Record)
	// Applied is told of each update that has been taken in. It may be nil, and must not block.
	Applied func(mtwatch.Update)
}

// Assignment is a table with its version in the store.
type Assignment struct {
	*mtrange.Table
	Version mtid.Version
}

// Epoch returns the next epoch of the table, or 0 if there is none.
func (a Assignment) Epoch() mtid.Epoch {
	if a.Table == nil {
		return 0
	}
	return a.Next
}

// View is one state of the copy.
type View struct {
	Members     map[mtid.Daemon]Member
	Assignments map[mtid.Service]Assignment
	// Foreign are the daemons under whose names something stands that no daemon
	// wrote, while nothing else is known of them. It names no server to use, and it
	// proves no end either.
	Foreign map[mtid.Daemon]bool
	// Out are the availability zones that the operators have taken out of service. It is
	// known up to the revision at least.
	Out mtzone.OutOfService
	// Revision is that of the store up to which the copy is complete; zero if
	// nothing was read yet.
	Revision mtid.Revision
	// Roll counts the changes of Members, Foreign and Out. What is derived from these alone
	// need not be derived again after each move of a key.
	Roll   uint64
	newest mtid.Version // of all of these
}

// Serving returns the members whose servers take new work for a service, in zones that
// are in service.
func (v *View) Serving(service mtid.Service) []Member {
	var serving []Member
	for _, m := range v.Members {
		if m.Service == service && m.AcceptsWork() && !m.Lapsed && !v.Out.Has(m.Zone) {
			serving = append(serving, m)
		}
	}
	return serving
}

// Directory keeps the copy. See the package comment.
type Directory struct {
	Config
	view    atomic.Pointer[View]
	mu      sync.Mutex // guards what follows and the making of views
	changed []func()
	entries map[string]mtstore.Entry // all that was heard of, deletions included
	next    chan struct{}            // closed at the next change
	keeper  *keeper
	watcher atomic.Pointer[mtwatch.Watcher]
	upSince atomic.Int64 // steady instant since when the store answers; 0 if it doesn't
}

// New starts to follow the store and returns the Directory and its clean-up
// function, which ends the lease, so that others learn at once that this daemon
// is gone.
func New(config Config) (*Directory, func()) {
	d := &Directory{Config: config, entries: make(map[string]mtstore.Entry), next: make(chan struct{})}
	if d.Source == nil {
		d.Source = config.Store
	}
	d.view.Store(&View{Members: map[mtid.Daemon]Member{}, Assignments: map[mtid.Service]Assignment{}, Foreign: map[mtid.Daemon]bool{}})
	d.keeper = newKeeper(config)
	watcher, stopWatch := mtwatch.Start(mtwatch.Config{
		Source: d.Source, Apply: d.apply, Health: d.health, Log: config.Log,
	})
	d.watcher.Store(watcher)
	stopKeeper := d.keeper.start()
	return d, func() {
		stopWatch()
		stopKeeper()
	}
}

// Now returns the present copy. It is called for each request.
func (d *Directory) Now() *View { return d.view.Load() }

// Changed returns what is closed at the next change of the copy.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.next
}

// OnChange adds a function that is called after each change of the copy. It
// must not block.
func (d *Directory) OnChange(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = append(d.changed, f)
}

// Publish sets the own record. The duty writes it, and writes it again whenever
// it has lapsed.
func (d *Directory) Publish(r mtbackend.Record) { d.keeper.publish(r) }

// Certain returns until when the own record certainly stands in the store, by
// the clock that never runs slow. Zero means that it does not stand yet.
func (d *Directory) Certain() mtclock.Instant { return d.keeper.until() }

// Current reports whether the copy holds all that was written before the own record
// began to stand. Whoever takes over keys of this daemon's server writes that while the
// record is gone. So a daemon whose record is back has heard of each takeover only once
// its copy is as new as that record; by an older one it granted keys that had another
// owner already.
func (d *Directory) Current() bool {
	stands := d.keeper.stands()
	return stands != 0 && uint64(d.Now().Revision) >= uint64(stands)
}

// Own returns the version of the own record that this life wrote last, or zero.
func (d *Directory) Own() mtid.Version { return d.keeper.seen() }

// Up returns since when the store answers without a failure, by the steady
// clock, or false if it does not answer now.
func (d *Directory) Up() (mtclock.Instant, bool) {
	since := mtclock.Instant(d.upSince.Load())
	return since, since != 0
}

// Answers reports whether the store has answered lately, the watch as well as the keeping
// of the own record. What needs a write had better not be begun while it does not.
func (d *Directory) Answers() bool {
	_, up := d.Up()
	return up && !d.keeper.away.Load()
}

// Seen returns the newest version that this daemon knows of anything, its own
// writes included.
func (d *Directory) Seen() mtid.Version { return max(d.keeper.seen(), d.Now().newest) }

// Resync reads everything again: another daemon has seen a version that the
// watch has not brought.
func (d *Directory) Resync() {
	// What the first reading brings may be unreadable before New has returned. Another
	// reading would bring the same.
	if watcher := d.watcher.Load(); watcher != nil {
		watcher.Resync(time.Now())
	}
}

// Hurry makes a watch that pauses after a failure try again at once: the own record
// stands, so the store answers.
func (d *Directory) Hurry() {
	if watcher := d.watcher.Load(); watcher != nil {
		watcher.RetryNow()
	}
}

// health notes whether the store answers.
func (d *Directory) health(up bool) {
	if !up {
		d.upSince.Store(0)
		return
	}
	d.upSince.CompareAndSwap(0, int64(d.Clock.Steady()))
}

// Learn takes in an assignment that was written or read outside the watch, so
// that this daemon goes by its own write at once.
func (d *Directory) Learn(a Assignment) {
	d.change(func(v *View) bool {
		if old, ok := v.Assignments[a.Service]; ok && old.Version >= a.Version {
			return false
		}
		v.Assignments[a.Service] = a
		return true
	})
}

// Inform takes in a write of an assignment that another daemon tells of. What does not
// fit is heard of by the watch.
func (d *Directory) Inform(e mtstore.Entry) {
	told, err := d.Now().told(e)
	service, assignment := assigned(e)
	if err == nil && told == nil && assignment && e.Version != 0 {
		// All of it is told of one that has not changed often.
		var table *mtrange.Table
		if table, err = mtrange.Decode(e.Value); err == nil && table.Service == service {
			told = &Assignment{Table: table, Version: e.Version}
		}
	}
	if err != nil {
		d.Log.Info("word of an assignment passed over", "name", e.Name, "error", err)
		return
	}
	if told != nil {
		d.Learn(*told)
	}
}

// apply takes in what the watch brings.
func (d *Directory) apply(u mtwatch.Update) {
	now := d.Clock.Steady()
	var others []mtstore.Entry
	unfit := false
	d.change(func(v *View) bool {
		for _, e := range d.missing(u, v) {
			d.take(v, now, e)
		}
		for _, e := range u.Changes.Entries {
			if d.known(e) {
				continue
			}
			told, err := v.told(e)
			if err != nil {
				d.Log.Warn("patch of an assignment passed over", "name", e.Name, "error", err)
				unfit = true
				continue
			}
			if told != nil {
				d.patch(v, e, *told)
				continue
			}
			d.entries[e.Name] = e
			if !d.take(v, now, e) {
				others = append(others, e)
			}
		}
		v.Revision = u.Changes.Revision
		return true
	})
	if unfit {
		d.Resync()
	}
	if d.Other != nil {
		for _, e := range others {
			d.Other(e)
		}
	}
	if d.Applied != nil {
		d.Applied(u)
	}
}

// patch takes in an assignment of which only the changes were told. Its entry is kept
// without a value, which is made when another daemon asks for all of it, and not for each
// move.
func (d *Directory) patch(v *View, e mtstore.Entry, told Assignment) {
	e.Version, e.Value = told.Version, nil
	d.entries[e.Name] = e
	v.Assignments[told.Service] = told
}

// told returns the assignment that a patch in an entry leads to, or the one that is known
// already if it is as new. It is nil if the entry holds no patch, and fails with a
// *mtrange.PatchError if what is known does not fit.
func (v *View) told(e mtstore.Entry) (*Assignment, error) {
	service, assignment := assigned(e)
	if !assignment || e.Version == 0 {
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

// assigned returns the service whose assignment an entry is, or false.
func assigned(e mtstore.Entry) (mtid.Service, bool) {
	service, ok := strings.CutPrefix(e.Name, mtstore.RangePrefix)
	return mtid.Service(service), ok
}

// take takes in one entry, and reports whether it is of the product's own kinds.
func (d *Directory) take(v *View, now mtclock.Instant, e mtstore.Entry) bool {
	switch {
	case strings.HasPrefix(e.Name, mtstore.BackendPrefix):
		d.takeMember(v, now, e)
	case strings.HasPrefix(e.Name, mtstore.RangePrefix):
		d.takeAssignment(v, e)
	case strings.HasPrefix(e.Name, mtstore.ZonePrefix):
		d.takeZone(v, e)
	default:
		return false
	}
	return true
}

// Since returns what was heard after a revision, as a watch of the store would, and what
// is closed at the next change. Another daemon asks for it, so that not all have to watch.
// Of an assignment that it knows up to an epoch it gets a patch. With nothing new the
// revision is not below the one asked for.
func (d *Directory) Since(after mtid.Revision, epochs Epochs) (mtstore.Changes, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := mtstore.Changes{Revision: d.Now().Revision}
	if changes.Revision <= after {
		changes.Revision = after
		return changes, d.next
	}
	for _, e := range d.entries {
		if e.Revision > after {
			changes.Entries = append(changes.Entries, d.patched(e, epochs))
		}
	}
	slices.SortFunc(changes.Entries, func(a, b mtstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, d.next
}

// Epochs are the next epochs of the assignments that a daemon knows, by name of
// the entry.
type Epochs map[string]mtid.Epoch

// Epochs returns those of this copy.
func (v *View) Epochs() Epochs {
	epochs := make(Epochs, len(v.Assignments))
	for service, a := range v.Assignments {
		epochs[mtstore.RangeName(service)] = a.Next
	}
	return epochs
}

// patched returns the entry of an assignment as another daemon needs it: a patch, if it
// knows the assignment up to an epoch, or else all of it.
func (d *Directory) patched(e mtstore.Entry, epochs Epochs) mtstore.Entry {
	service, assignment := assigned(e)
	if !assignment || e.Version == 0 {
		return e
	}
	a, ok := d.Now().Assignments[service]
	if !ok || a.Version < e.Version {
		return e // it can't be read, and others see for themselves
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

func (d *Directory) takeAssignment(v *View, e mtstore.Entry) {
	service, _ := assigned(e)
	if e.Version == 0 {
		d.Log.Error("assignment deleted", "service", service)
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

// change makes a new view and tells the listeners, if f says that it differs.
func (d *Directory) change(f func(v *View) bool) {
	d.mu.Lock()
	old := d.view.Load()
	next := &View{
		Members:     old.Members,
		Assignments: maps.Clone(old.Assignments),
		Foreign:     old.Foreign,
		Out:         old.Out,
		Revision:    old.Revision,
		Roll:        old.Roll,
	}
	differs := f(next)
	if differs {
		next.newest = newest(next)
		d.view.Store(next)
		close(d.next)
		d.next = make(chan struct{})
	}
	listeners := d.changed
	d.mu.Unlock()
	if !differs {
		return
	}
	for _, f := range listeners {
		f()
	}
}

// newest returns the highest version of anything in a view.
func newest(v *View) mtid.Version {
	var newest mtid.Version
	for _, m := range v.Members {
		newest = max(newest, m.Version)
	}
	for _, a := range v.Assignments {
		newest = max(newest, a.Version)
	}
	return newest
}
