package mtdirectory

import (
	"fmt"
	"maps"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
)

// Assignment is a table with its version in the store.
type Assignment struct {
	*mtrange.Table
	Version mtid.Version
}

// Basis returns the table from which the next one of an era of the store is made, and the version
// that the assignment must have for it to be written: zero if the era has none yet.
func (a Assignment) Basis(era mtid.Era) (*mtrange.Table, mtid.Version) {
	if a.Table == nil {
		return nil, 0
	}
	if a.Era() < era {
		return a.InEra(era), 0
	}
	return a.Table, a.Version
}

// NextEpoch returns the next epoch of the table, or 0 if there is no table.
func (a Assignment) NextEpoch() mtid.Epoch {
	if a.Table == nil {
		return 0
	}
	return a.Next
}

// ApplyAssignment applies an assignment that was written or read outside the watch, so
// that this daemon uses its own writes immediately.
func (d *Directory) ApplyAssignment(a Assignment) {
	d.update(func(v *View) bool {
		if old, ok := v.Assignments[a.Service]; ok && !a.newer(old) {
			return false
		}
		v.setAssignment(a)
		return true
	})
}

// newer reports whether an assignment was written after another one. Versions tell only within an
// era of the store: one of an earlier era that is read in a later one has a version of the later
// one. The next epoch grows across eras as well.
func (a Assignment) newer(other Assignment) bool {
	if a.Era() == other.Era() && a.Version.Era() == other.Version.Era() {
		return a.Version > other.Version
	}
	return a.Next > other.Next
}

// setAssignment stores a newer assignment. The last one of an earlier era is kept: it shows which
// keys this daemon may claim.
func (v *View) setAssignment(a Assignment) {
	if old, ok := v.Assignments[a.Service]; ok && old.Era() < a.Era() {
		v.Former = maps.Clone(v.Former)
		if v.Former == nil {
			v.Former = make(map[mtid.Service]Assignment)
		}
		v.Former[a.Service] = old
	}
	v.Assignments[a.Service] = a
}

// ApplyPushedAssignment applies an assignment that another daemon has written and
// pushed. If it does not fit the known one, it is ignored; the watch will deliver the
// change.
func (d *Directory) ApplyPushedAssignment(e mtstore.Entry) {
	pushed, err := d.View().applyPatch(e)
	if err == nil && pushed == nil && e.Version != 0 {
		// An assignment that has not changed often is sent as a whole.
		var whole Assignment
		whole, err = DecodeAssignment(e)
		pushed = &whole
	}
	if err == nil && pushed != nil {
		err = d.View().checkEra(*pushed)
	}
	if err != nil {
		d.Log.Info("pushed assignment ignored", "name", e.Name, "error", err)
		return
	}
	if pushed != nil {
		d.ApplyAssignment(*pushed)
	}
}

// setPatched stores an assignment that was received as a patch. Its entry is stored
// without a value. The value is encoded when another daemon requests the whole
// assignment, not for each move.
func (d *Directory) setPatched(v *View, e mtstore.Entry, assignment Assignment) {
	e.Version, e.Value = assignment.Version, nil
	d.entries[e.Name] = e
	v.setAssignment(assignment)
}

// applyPatch returns the assignment that results from the patch in an entry, or the
// known assignment if that is not older. It returns nil if the entry contains no
// patch, and fails with a *mtrange.PatchError if the patch cannot be applied to the
// known assignment, or with another error if no daemon wrote it.
func (v *View) applyPatch(e mtstore.Entry) (*Assignment, error) {
	_, service, isAssignment := mtstore.SplitRangeName(e.Name)
	if !isAssignment || e.Version == 0 || e.Origin.FromStore() {
		return nil, nil // the store contains no patches
	}
	patch, err := mtrange.DecodePatch(e.Value)
	if err != nil || patch == nil {
		return nil, err
	}
	if name := mtstore.RangeName(patch.Next.Era(), patch.Service); name != e.Name {
		return nil, &MisplacedError{Name: e.Name, Proper: name}
	}
	if err := v.checkEra(Assignment{Table: &mtrange.Table{Service: service, Next: patch.Next}}); err != nil {
		return nil, err
	}
	current, known := v.Assignments[service]
	if !known {
		return nil, &mtrange.PatchError{Service: patch.Service, Since: patch.Since}
	}
	if patched := (Assignment{Table: &mtrange.Table{Next: patch.Next}, Version: e.Version}); !patched.newer(current) {
		return &current, nil
	}
	table, err := current.Apply(patch)
	if err != nil {
		return nil, err
	}
	return &Assignment{Table: table, Version: e.Version}, nil
}

// DecodeAssignment reads the entry of an assignment. It fails with a *mtrange.DecodeError, or with a
// *MisplacedError if the entry doesn't stand under the name that its writer would give it.
func DecodeAssignment(e mtstore.Entry) (Assignment, error) {
	table, err := mtrange.Decode(e.Value)
	if err != nil {
		return Assignment{}, err
	}
	if name := mtstore.RangeName(table.Era(), table.Service); name != e.Name {
		return Assignment{}, &MisplacedError{Name: e.Name, Proper: name}
	}
	return Assignment{Table: table, Version: e.Version}, nil
}

// LaterEraError reports an assignment of an era of the store that has not begun, by what is known of the store.
type LaterEraError struct {
	Service mtid.Service
	Era     mtid.Era
	Present mtid.Era
}

// Error implements error.
func (e *LaterEraError) Error() string {
	return fmt.Sprintf("directory: assignment of %q is of era %d of the store, which is in era %d", e.Service, e.Era, e.Present)
}

// checkEra returns a *LaterEraError if an assignment is of an era that has not begun. Its epochs are
// higher than all of the present era, so that it would count as the newest one for good.
func (v *View) checkEra(a Assignment) error {
	if a.Era() > v.Era() {
		return &LaterEraError{Service: a.Service, Era: a.Era(), Present: v.Era()}
	}
	return nil
}

// applyAssignmentEntry applies an assignment. It fails if no daemon wrote it.
func (d *Directory) applyAssignmentEntry(v *View, e mtstore.Entry) error {
	if e.Version == 0 {
		d.Log.Error("assignment was deleted from the store", "name", e.Name)
		return nil
	}
	read, err := DecodeAssignment(e)
	if err != nil {
		return err
	}
	if err := v.checkEra(read); err != nil {
		return err
	}
	table, service, era := read.Table, read.Service, read.Era()
	if old, ok := v.Assignments[service]; ok && !read.newer(old) {
		if old.newer(read) {
			d.Log.Warn("older assignment passed over", "service", service, "version", e.Version.Number(), "epoch", uint64(table.Next), "known", old.Version.Number(), "known-epoch", uint64(old.Next))
		}
		return nil
	}
	d.Log.Info("assignment", "service", service, "era", era, "version", e.Version.Number(), "epoch", uint64(table.Next), "ranges", len(table.Ranges))
	v.setAssignment(read)
	return nil
}
