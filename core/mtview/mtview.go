// Package mtview is a daemon's copy of the live state: the roster, the bundles
// in force and the assignments, with the store's revision up to which the copy
// is complete.
//
// The revision (the frontier) is all that daemons have to tell each other: who
// hears of a higher one asks for the delta after its own. Assignments travel as
// steps where the asker is not too far behind, else whole.
//
// # Usage
//
//	view := mtview.New()
//	changed, err := view.Merge(delta)
//	shard, ok := view.Now().Lookup(ref, ref.Point(key))
//	delta := view.Delta(after, 64<<10, false)
//
// A View is safe for concurrent use. A Snapshot is immutable. Nothing in a view
// ever goes back: a value is replaced only by one of a higher revision.
package mtview

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
)

// Item is one changed value of the live state, whole or as steps.
type Item struct {
	Name     string
	Version  mtid.Version
	Revision mtid.Revision
	Value    []byte
	Steps    []mtshard.Step // only for assignments, instead of Value
}

// Delta is what changed after one revision and up to another.
type Delta struct {
	After    mtid.Revision
	Revision mtid.Revision
	// More says that the delta was cut at a size limit; asking again after
	// Revision continues it.
	More  bool
	Items []Item
}

// ItemError says that a value of the live state can't be used. The copy keeps
// the former one, and its frontier does not pass the value.
type ItemError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ItemError) Error() string { return fmt.Sprintf("view: %s: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *ItemError) Unwrap() error { return e.Err }

// VersionError says that a table's own version differs from the store's.
type VersionError struct {
	Table mtid.Version
	Store mtid.Version
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("table of version %d stored as version %d", e.Table, e.Store)
}

// KeptMarks is how many past revisions of a chunk are remembered, to find the
// steps that an asker lacks.
const KeptMarks = mtshard.RetainedSteps

// mark says that a chunk was at version when the view was at revision.
type mark struct {
	version  mtid.Version
	revision mtid.Revision
}

type value struct {
	version  mtid.Version
	revision mtid.Revision
	bytes    []byte // nil for tables, which are encoded on demand
	record   *mtroster.Record
	bundle   *mtbundle.Bundle
	table    *mtshard.Table
	marks    []mark
}

// View is the copy. The zero View is not usable; call New.
type View struct {
	mu  sync.Mutex // held by writers; readers load now
	now atomic.Pointer[Snapshot]
}

// New returns an empty view at revision zero.
func New() *View {
	v := &View{}
	v.now.Store(&Snapshot{
		values: map[string]value{},
		tables: map[mtid.Ref][]*mtshard.Table{},
	})
	return v
}

// Now returns the present snapshot. It is called for each request and costs one
// atomic load.
func (v *View) Now() *Snapshot { return v.now.Load() }

// Merge takes a delta in and returns the names that changed. A value that can't
// be used is reported by an *ItemError after all others were taken in; then the
// frontier stays, so that the delta is asked for again.
func (v *View) Merge(d Delta) ([]string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.now.Load()
	next := old.clone()
	var changed []string
	var failed error
	for _, item := range d.Items {
		took, err := next.take(item)
		if err != nil {
			failed = &ItemError{Name: item.Name, Err: err}
			continue
		}
		if took {
			changed = append(changed, item.Name)
		}
	}
	// A delta that begins after the frontier leaves a hole before it: its values
	// are good, but the frontier must not claim what lies in the hole.
	if failed == nil && d.After <= next.frontier {
		next.frontier = max(next.frontier, d.Revision)
	}
	next.index(changed)
	v.now.Store(next)
	return changed, failed
}

// Delta returns what changed after a revision, cut near limit bytes at a
// revision's border. With whole, assignments are never sent as steps.
//
// An asker that took in a cut delta has passed revisions whose values were
// replaced since, without ever holding those values. The steps that it seems to
// lack then don't fit, its Merge fails with a *mtshard.GapError inside an
// *ItemError, and it asks for the whole.
func (v *View) Delta(after mtid.Revision, limit int, whole bool) Delta {
	s := v.Now()
	d := Delta{After: after, Revision: s.frontier}
	for _, name := range s.changedAfter(after) {
		if limit <= 0 {
			d.More = true
			break
		}
		item := s.item(name, after, whole)
		limit -= len(item.Value) + len(item.Name) + 64*len(item.Steps)
		d.Items = append(d.Items, item)
	}
	if d.More {
		d.Revision = min(d.Revision, d.Items[len(d.Items)-1].Revision)
	}
	return d
}

// Wrote takes in a value that is known to be in the store at a version, though
// not at which revision: one that this daemon wrote, or that a peer wrote and
// told of. The frontier stays, and item.Revision is ignored. It reports whether
// the value was new.
func (v *View) Wrote(item Item) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.now.Load()
	before := old.values[item.Name]
	if item.Version <= before.version {
		return false, nil
	}
	fresh := value{version: item.Version, revision: before.revision}
	if err := fresh.read(item, before); err != nil {
		return false, &ItemError{Name: item.Name, Err: err}
	}
	// No mark: the steps of this version get theirs with its revision.
	fresh.marks = before.marks
	next := old.clone()
	next.values[item.Name] = fresh
	next.index([]string{item.Name})
	v.now.Store(next)
	return true, nil
}

// FromStore returns the delta that a watch of the store stands for.
func FromStore(after mtid.Revision, c mtstore.Changes) Delta {
	d := Delta{After: after, Revision: c.Revision, More: c.More}
	for _, e := range c.Entries {
		d.Items = append(d.Items, Item{Name: e.Name, Version: e.Version, Revision: e.Revision, Value: e.Value})
	}
	return d
}

// Snapshot is the live state at one moment. It is immutable.
type Snapshot struct {
	frontier mtid.Revision
	values   map[string]value
	tables   map[mtid.Ref][]*mtshard.Table
	roster   []*mtroster.Record
}

// Frontier returns the revision up to which the snapshot is complete.
func (s *Snapshot) Frontier() mtid.Revision { return s.frontier }

// Roster returns all records, ordered by daemon.
func (s *Snapshot) Roster() []*mtroster.Record { return s.roster }

// Record returns a daemon's record with its version in the store.
func (s *Snapshot) Record(d mtid.Daemon) (*mtroster.Record, mtid.Version, bool) {
	v, ok := s.values[mtstore.RosterName(d)]
	if !ok || v.record == nil {
		return nil, 0, false
	}
	return v.record, v.version, true
}

// Bundle returns the bundle in force for a business.
func (s *Snapshot) Bundle(b mtid.Business) (*mtbundle.Bundle, bool) {
	v, ok := s.values[mtstore.BundleName(b)]
	return v.bundle, ok && v.bundle != nil
}

// Bundles returns all bundles in force, ordered by business.
func (s *Snapshot) Bundles() []*mtbundle.Bundle {
	var out []*mtbundle.Bundle
	for _, v := range s.values {
		if v.bundle != nil {
			out = append(out, v.bundle)
		}
	}
	slices.SortFunc(out, func(a, b *mtbundle.Bundle) int { return cmp.Compare(a.Business, b.Business) })
	return out
}

// Services returns the services that have an assignment, ordered.
func (s *Snapshot) Services() []mtid.Ref {
	refs := slices.Collect(maps.Keys(s.tables))
	slices.SortFunc(refs, func(a, b mtid.Ref) int { return cmp.Compare(a.String(), b.String()) })
	return refs
}

// Table returns one chunk of a service's assignment.
func (s *Snapshot) Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool) {
	tables := s.tables[ref]
	if chunk >= len(tables) || tables[chunk] == nil {
		return nil, false
	}
	return tables[chunk], true
}

// Tables returns the chunks of a service's assignment; unknown ones are nil.
func (s *Snapshot) Tables(ref mtid.Ref) []*mtshard.Table { return s.tables[ref] }

// Lookup returns the shard that covers a point of a service. It is called for
// each request.
func (s *Snapshot) Lookup(ref mtid.Ref, p mtid.Point) (mtshard.Shard, bool) {
	tables := s.tables[ref]
	if len(tables) == 0 {
		return mtshard.Shard{}, false
	}
	table := tables[mtshard.ChunkOf(p, len(tables))]
	if table == nil {
		return mtshard.Shard{}, false
	}
	return table.Lookup(p)
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		frontier: s.frontier,
		values:   maps.Clone(s.values),
		tables:   s.tables,
		roster:   s.roster,
	}
}

// take stores one item if it is newer than what the snapshot holds.
func (s *Snapshot) take(item Item) (bool, error) {
	old := s.values[item.Name]
	// The version guards against going back after Wrote, which knows a version
	// before its revision.
	if item.Revision <= old.revision || item.Version < old.version {
		return false, nil
	}
	next := value{version: item.Version, revision: item.Revision}
	if err := next.read(item, old); err != nil {
		return false, err
	}
	s.values[item.Name] = next
	return true, nil
}

func (v *value) read(item Item, old value) error {
	switch {
	case strings.HasPrefix(item.Name, mtstore.Roster):
		return v.readRecord(item)
	case strings.HasPrefix(item.Name, mtstore.Bundle):
		return v.readBundle(item)
	case strings.HasPrefix(item.Name, mtstore.Shard):
		return v.readTable(item, old)
	}
	// A kind that this release does not know is passed on to newer daemons.
	v.bytes = item.Value
	return nil
}

func (v *value) readRecord(item Item) error {
	v.bytes = item.Value
	if len(item.Value) == 0 {
		return nil
	}
	record, err := mtroster.Decode(item.Value)
	v.record = record
	return err
}

func (v *value) readBundle(item Item) error {
	v.bytes = item.Value
	if len(item.Value) == 0 {
		return nil
	}
	bundle, err := mtbundle.Decode(item.Value)
	v.bundle = bundle
	return err
}

func (v *value) readTable(item Item, old value) error {
	table, err := newTable(item, old.table)
	if err != nil {
		return err
	}
	if table.Version != item.Version {
		return &VersionError{Table: table.Version, Store: item.Version}
	}
	v.table = table
	v.marks = append(slices.Clone(old.marks), mark{version: item.Version, revision: item.Revision})
	if over := len(v.marks) - KeptMarks; over > 0 {
		v.marks = v.marks[over:]
	}
	return nil
}

func newTable(item Item, old *mtshard.Table) (*mtshard.Table, error) {
	if len(item.Value) > 0 {
		return mtshard.Decode(item.Value)
	}
	if old == nil {
		return nil, &mtshard.GapError{Got: item.Version}
	}
	return old.Replay(item.Steps)
}

// index rebuilds what is derived from the values that changed.
func (s *Snapshot) index(changed []string) {
	roster, tables := false, false
	for _, name := range changed {
		roster = roster || strings.HasPrefix(name, mtstore.Roster)
		tables = tables || strings.HasPrefix(name, mtstore.Shard)
	}
	if roster {
		s.indexRoster()
	}
	if tables {
		s.indexTables()
	}
}

func (s *Snapshot) indexRoster() {
	s.roster = nil
	for _, v := range s.values {
		if v.record != nil {
			s.roster = append(s.roster, v.record)
		}
	}
	slices.SortFunc(s.roster, func(a, b *mtroster.Record) int {
		return cmp.Compare(a.Holder.Daemon, b.Holder.Daemon)
	})
}

func (s *Snapshot) indexTables() {
	s.tables = map[mtid.Ref][]*mtshard.Table{}
	for _, v := range s.values {
		t := v.table
		if t == nil {
			continue
		}
		if s.tables[t.Service] == nil {
			s.tables[t.Service] = make([]*mtshard.Table, t.Chunks)
		}
		if t.Chunk < len(s.tables[t.Service]) {
			s.tables[t.Service][t.Chunk] = t
		}
	}
}

// changedAfter returns the names that changed after a revision, oldest first.
func (s *Snapshot) changedAfter(after mtid.Revision) []string {
	var names []string
	for name, v := range s.values {
		if v.revision > after {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(s.values[a].revision, s.values[b].revision)
	})
	return names
}

// item returns the value of name for an asker that is complete up to after.
func (s *Snapshot) item(name string, after mtid.Revision, whole bool) Item {
	v := s.values[name]
	item := Item{Name: name, Version: v.version, Revision: v.revision, Value: v.bytes}
	if v.table == nil {
		return item
	}
	if steps, ok := v.stepsAfter(after); ok && !whole {
		item.Steps = steps
		return item
	}
	// Encode can't fail on a table that was decoded or replayed; if it ever
	// did, the asker would see a gap and read the store.
	item.Value, _ = v.table.Encode()
	return item
}

// stepsAfter returns the steps that an asker complete up to after most likely
// lacks: it should hold the version of the newest mark that is not after it.
func (v *value) stepsAfter(after mtid.Revision) ([]mtshard.Step, bool) {
	for i := len(v.marks) - 1; i >= 0; i-- {
		if v.marks[i].revision <= after {
			return v.table.StepsSince(v.marks[i].version)
		}
	}
	return nil, false
}
