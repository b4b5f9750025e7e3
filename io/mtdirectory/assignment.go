package mtdirectory

import (
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
)

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
	current, known := v.Assignments[service]
	if !known {
		return nil, &mtrange.PatchError{Service: patch.Service, Since: patch.Since}
	}
	if current.Version >= e.Version {
		return &current, nil
	}
	table, err := current.Apply(patch)
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
		if old.Version > e.Version {
			d.Log.Warn("older assignment passed over", "service", service, "version", uint64(e.Version), "epoch", uint64(table.Next), "known", uint64(old.Version), "known-epoch", uint64(old.Next))
		}
		return
	}
	d.Log.Info("assignment", "service", service, "version", uint64(e.Version), "epoch", uint64(table.Next), "ranges", len(table.Ranges))
	v.Assignments[service] = Assignment{Table: table, Version: e.Version}
}
