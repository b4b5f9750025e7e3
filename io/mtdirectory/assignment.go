package mtdirectory

import (
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
	_, service, isAssignment := mtstore.SplitRangeName(e.Name)
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
// known assignment.
func (v *View) applyPatch(e mtstore.Entry) (*Assignment, error) {
	_, service, isAssignment := mtstore.SplitRangeName(e.Name)
	if !isAssignment || e.Version == 0 {
		return nil, nil
	}
	patch, err := mtrange.DecodePatch(e.Value)
	if err != nil || patch == nil {
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

func (d *Directory) applyAssignmentEntry(v *View, e mtstore.Entry) {
	era, service, ok := mtstore.SplitRangeName(e.Name)
	if e.Version == 0 {
		d.Log.Error("assignment was deleted from the store", "name", e.Name)
		return
	}
	table, err := mtrange.Decode(e.Value)
	if err == nil && (!ok || table.Era() > era) {
		err = &mtrange.DecodeError{Reason: "assignment of another era than its name"}
	}
	if err != nil {
		d.Log.Error("assignment passed over", "service", service, "error", err)
		return
	}
	read := Assignment{Table: table, Version: e.Version}
	if old, ok := v.Assignments[service]; ok && !read.newer(old) {
		if old.newer(read) {
			d.Log.Warn("older assignment passed over", "service", service, "version", e.Version.Number(), "epoch", uint64(table.Next), "known", old.Version.Number(), "known-epoch", uint64(old.Next))
		}
		return
	}
	d.Log.Info("assignment", "service", service, "era", era, "version", e.Version.Number(), "epoch", uint64(table.Next), "ranges", len(table.Ranges))
	v.setAssignment(read)
}
