package mtdirectory

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

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
		epochs[mtstore.RangeName(a.Era(), service)] = a.Next
	}
	return epochs
}

// encodeFor returns the entry of an assignment in the form that another daemon needs:
// a patch, if that daemon knows the assignment up to an epoch, or the whole assignment
// otherwise.
func (d *Directory) encodeFor(e mtstore.Entry, epochs Epochs) mtstore.Entry {
	era, service, isAssignment := mtstore.SplitRangeName(e.Name)
	if !isAssignment || e.Version == 0 {
		return e
	}
	a, ok := d.View().Assignments[service]
	if !ok || a.Era() != era || a.Version < e.Version {
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
