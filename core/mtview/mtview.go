// Package mtview holds a daemon's local copy of the live state: the roster, the
// bundles in force and the assignments, together with the store revision up to
// which the copy is complete (the frontier).
//
// Daemons only have to exchange their frontiers: a daemon that receives a higher
// one pulls the delta after its own. Assignments are sent as steps if the
// receiver is not too far behind, otherwise in full.
//
// # Usage
//
//	view := mtview.New()
//	changed, err := view.Merge(delta)
//	shard, ok := view.Snapshot().Lookup(ref, ref.Point(key))
//	delta := view.Delta(after, 64<<10, false)
//
// A View is safe for concurrent use. A Snapshot is immutable. Values never go
// back to an older state: a value is only replaced by one with a higher revision.
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

// Item is a changed value of the live state, either in full or as steps.
type Item struct {
	Name     string
	Version  mtid.Version
	Revision mtid.Revision
	Value    []byte
	Steps    []mtshard.Step // set instead of Value, for assignments only
}

// Delta holds the changes after one revision, up to and including another.
type Delta struct {
	After    mtid.Revision
	Revision mtid.Revision
	// More is set if the delta was truncated at a size limit. The next delta
	// after Revision continues it.
	More  bool
	Items []Item
}

// ItemError reports a value of the live state that could not be applied. The view
// keeps the previous value, and its frontier does not advance past the failed one.
type ItemError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *ItemError) Error() string { return fmt.Sprintf("view: cannot apply %s: %v", e.Name, e.Err) }

// Unwrap returns the reason why the value could not be applied.
func (e *ItemError) Unwrap() error { return e.Err }

// VersionError reports that the version encoded in a table differs from the
// version of its entry in the store.
type VersionError struct {
	Table mtid.Version
	Store mtid.Version
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("table has version %d, but its store entry has version %d", e.Table, e.Store)
}

// MaxHistory is the number of past versions of a chunk whose revisions are
// retained, to find the steps that a receiver of a delta is missing.
const MaxHistory = mtshard.RetainedSteps

// historyEntry records the store revision at which a chunk reached a version.
type historyEntry struct {
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
	history  []historyEntry // oldest first
}

// View is a copy of the live state that is updated by deltas. The zero View is
// not usable; call New.
type View struct {
	mu      sync.Mutex // held by writers only; readers load current
	current atomic.Pointer[Snapshot]
}

// New returns an empty view at revision zero.
func New() *View {
	v := &View{}
	v.current.Store(&Snapshot{
		values: map[string]value{},
		tables: map[mtid.Ref][]*mtshard.Table{},
	})
	return v
}

// Snapshot returns the current snapshot. It is called for every request and costs
// one atomic load.
func (v *View) Snapshot() *Snapshot { return v.current.Load() }

// Merge applies a delta and returns the names whose values changed. If a value
// cannot be applied, the others still are, and Merge returns an *ItemError. The
// frontier then does not advance, so that the delta is requested again.
func (v *View) Merge(d Delta) ([]string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	next := old.clone()
	var changed []string
	var failed error
	for _, item := range d.Items {
		applied, err := next.apply(item)
		if err != nil {
			failed = &ItemError{Name: item.Name, Err: err}
			continue
		}
		if applied {
			changed = append(changed, item.Name)
		}
	}
	// A delta that begins after the frontier leaves a gap. Its values are valid,
	// but the frontier must not advance past the changes missing in the gap.
	if failed == nil && d.After <= next.frontier {
		next.frontier = max(next.frontier, d.Revision)
	}
	next.index(changed)
	v.current.Store(next)
	return changed, failed
}

// Delta returns the changes after a revision, truncated between two revisions
// once it holds about limit bytes. If full is set, assignments are never sent as
// steps.
//
// After a truncated delta, the frontier of the receiver may have passed
// revisions whose values were replaced in the meantime and which it never held.
// The steps that it appears to be missing then do not apply: its Merge fails
// with an *ItemError that wraps a *mtshard.GapError, and it has to request a
// full delta.
func (v *View) Delta(after mtid.Revision, limit int, full bool) Delta {
	s := v.Snapshot()
	d := Delta{After: after, Revision: s.frontier}
	for _, name := range s.changedAfter(after) {
		if limit <= 0 {
			d.More = true
			break
		}
		item := s.item(name, after, full)
		limit -= len(item.Value) + len(item.Name) + 64*len(item.Steps)
		d.Items = append(d.Items, item)
	}
	if d.More {
		d.Revision = min(d.Revision, d.Items[len(d.Items)-1].Revision)
	}
	return d
}

// ApplyWrite applies a value whose version in the store is known but whose revision
// is not, because this daemon wrote it or a peer reported its own write. The
// frontier does not change, and item.Revision is ignored. It returns whether
// the version was newer than the one in the view.
func (v *View) ApplyWrite(item Item) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	before := old.values[item.Name]
	if item.Version <= before.version {
		return false, nil
	}
	updated := value{version: item.Version, revision: before.revision}
	if err := updated.decode(item, before); err != nil {
		return false, &ItemError{Name: item.Name, Err: err}
	}
	// The version enters the history later, together with its revision.
	updated.history = before.history
	next := old.clone()
	next.values[item.Name] = updated
	next.index([]string{item.Name})
	v.current.Store(next)
	return true, nil
}

// FromStore converts the result of a store watch to a delta.
func FromStore(after mtid.Revision, c mtstore.Changes) Delta {
	d := Delta{After: after, Revision: c.Revision, More: c.More}
	for _, e := range c.Entries {
		d.Items = append(d.Items, Item{Name: e.Name, Version: e.Version, Revision: e.Revision, Value: e.Value})
	}
	return d
}

// Snapshot is an immutable copy of the live state at one point in time.
type Snapshot struct {
	frontier mtid.Revision
	values   map[string]value
	tables   map[mtid.Ref][]*mtshard.Table
	roster   []*mtroster.Record
}

// Frontier returns the revision up to which the snapshot is complete.
func (s *Snapshot) Frontier() mtid.Revision { return s.frontier }

// Roster returns the records of all daemons, ordered by daemon.
func (s *Snapshot) Roster() []*mtroster.Record { return s.roster }

// Record returns a daemon's record and its version in the store.
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

// Services returns the services that have an assignment, ordered by name.
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

// Tables returns the chunks of a service's assignment. Chunks that are not known
// yet are nil.
func (s *Snapshot) Tables(ref mtid.Ref) []*mtshard.Table { return s.tables[ref] }

// Lookup returns the shard that covers a point on the ring of a service. It is
// called for every request.
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

// apply stores an item if it is newer than the value in the snapshot.
func (s *Snapshot) apply(item Item) (bool, error) {
	old := s.values[item.Name]
	// Comparing revisions is not enough: ApplyWrite stores a new version under the
	// revision of the old one, and an older version must not replace it.
	if item.Revision <= old.revision || item.Version < old.version {
		return false, nil
	}
	next := value{version: item.Version, revision: item.Revision}
	if err := next.decode(item, old); err != nil {
		return false, err
	}
	s.values[item.Name] = next
	return true, nil
}

func (v *value) decode(item Item, old value) error {
	switch {
	case strings.HasPrefix(item.Name, mtstore.RosterPrefix):
		return v.decodeRecord(item)
	case strings.HasPrefix(item.Name, mtstore.BundlePrefix):
		return v.decodeBundle(item)
	case strings.HasPrefix(item.Name, mtstore.ShardPrefix):
		return v.decodeTable(item, old)
	}
	// Values of kinds unknown to this release are stored undecoded, so that newer
	// daemons can pull them from this one.
	v.bytes = item.Value
	return nil
}

func (v *value) decodeRecord(item Item) error {
	v.bytes = item.Value
	if len(item.Value) == 0 {
		return nil
	}
	record, err := mtroster.Decode(item.Value)
	if err == nil && mtstore.RosterName(record.Holder.Daemon) != item.Name {
		return nil // a copy of another daemon's record
	}
	v.record = record
	return err
}

func (v *value) decodeBundle(item Item) error {
	v.bytes = item.Value
	if len(item.Value) == 0 {
		return nil
	}
	bundle, err := mtbundle.Decode(item.Value)
	if err == nil && mtstore.BundleName(bundle.Business) != item.Name {
		return nil // a copy of another business's bundle
	}
	v.bundle = bundle
	return err
}

func (v *value) decodeTable(item Item, old value) error {
	table, err := newTable(item, old.table)
	if err != nil {
		return err
	}
	if mtstore.ShardName(table.Service, table.Chunk) != item.Name {
		v.bytes = item.Value // a copy of another chunk
		return nil
	}
	if table.Version != item.Version {
		return &VersionError{Table: table.Version, Store: item.Version}
	}
	v.table = table
	v.history = append(slices.Clone(old.history), historyEntry{version: item.Version, revision: item.Revision})
	if excess := len(v.history) - MaxHistory; excess > 0 {
		v.history = v.history[excess:]
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

// index rebuilds the roster and the tables if one of the changed names belongs
// to them.
func (s *Snapshot) index(changed []string) {
	roster, tables := false, false
	for _, name := range changed {
		roster = roster || strings.HasPrefix(name, mtstore.RosterPrefix)
		tables = tables || strings.HasPrefix(name, mtstore.ShardPrefix)
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

// changedAfter returns the names that changed after a revision, oldest change
// first.
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

// item returns the value of name for a receiver whose frontier is after.
func (s *Snapshot) item(name string, after mtid.Revision, full bool) Item {
	v := s.values[name]
	item := Item{Name: name, Version: v.version, Revision: v.revision, Value: v.bytes}
	if v.table == nil {
		return item
	}
	if steps, ok := v.stepsAfter(after); ok && !full {
		item.Steps = steps
		return item
	}
	// Encode cannot fail on a table that was decoded or replayed. If it did, the
	// receiver would find a gap and read the value from the store.
	item.Value, _ = v.table.Encode()
	return item
}

// stepsAfter returns the steps that a receiver whose frontier is after most
// likely lacks. It assumes that the receiver holds the newest version in the
// history whose revision is not higher than after.
func (v *value) stepsAfter(after mtid.Revision) ([]mtshard.Step, bool) {
	for i := len(v.history) - 1; i >= 0; i-- {
		if v.history[i].revision <= after {
			return v.table.StepsSince(v.history[i].version)
		}
	}
	return nil, false
}
