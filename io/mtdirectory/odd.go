package mtdirectory

import (
	"fmt"
	"strings"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// MisplacedError reports an entry that doesn't stand under the name that a daemon would give it: a
// copy, for example. Proper is empty if daemons write nothing of the kind.
type MisplacedError struct{ Name, Proper string }

// Error implements error.
func (e *MisplacedError) Error() string {
	if e.Proper == "" {
		return fmt.Sprintf("directory: no daemon writes under the name %q", e.Name)
	}
	return fmt.Sprintf("directory: entry of %q stands under the name %q", e.Proper, e.Name)
}

// checkName returns a *MisplacedError if no daemon writes under a name.
func checkName(name string) error {
	ok := true
	switch {
	case strings.HasPrefix(name, mtstore.BackendPrefix):
		_, _, ok = mtstore.SplitBackendName(name)
	case strings.HasPrefix(name, mtstore.RegistrationPrefix):
		_, _, ok = mtstore.SplitRegistrationName(name)
	case strings.HasPrefix(name, mtstore.RangePrefix):
		_, _, ok = mtstore.SplitRangeName(name)
	case strings.HasPrefix(name, mtstore.SealPrefix):
		_, _, ok = mtstore.SplitSealName(name)
	case strings.HasPrefix(name, mtstore.ZonePrefix):
		ok = name != mtstore.ZonePrefix
	case strings.HasPrefix(name, mtstore.LossPrefix):
		ok = name != mtstore.LossPrefix
	default:
		ok = !strings.HasPrefix(name, mtstore.LivePrefix)
	}
	if !ok {
		return &MisplacedError{Name: name}
	}
	return nil
}

// passOver notes an entry that no daemon wrote. It has no effect, isn't kept, and isn't passed on to
// other daemons. Each version of it is logged once, however often it is read. It is called with mu
// held.
func (d *Directory) passOver(e mtstore.Entry, err error) {
	if e.Version == 0 {
		delete(d.odd, e.Name)
		return
	}
	if d.odd[e.Name] == e.Version {
		return
	}
	d.odd[e.Name] = e.Version
	d.Log.Error("entry of another writer passed over", "name", e.Name, "version", e.Version.Number(), "bytes", len(e.Value), "error", err)
}

// OddEntries returns the number of entries in the store that were passed over, since no daemon wrote
// them.
func (d *Directory) OddEntries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.odd)
}

// forgetOdd forgets the entries that a full read doesn't contain any more. It is called with mu held.
func (d *Directory) forgetOdd(read mtstore.Changes) {
	present := make(map[string]mtid.Version, len(d.odd))
	for _, e := range read.Entries {
		if version, ok := d.odd[e.Name]; ok {
			present[e.Name] = version
		}
	}
	d.odd = present
}

// applyAndKeep applies an entry and keeps it, unless no daemon wrote it: then what is known of the
// name holds. Of a record, it keeps that something stands there, and whether it has no lease. It reports whether the entry is of a
// kind that the directory uses.
func (d *Directory) applyAndKeep(v *View, now mtclock.Instant, e mtstore.Entry) bool {
	before, known := d.entries[e.Name]
	d.entries[e.Name] = e
	used, err := d.applyEntry(v, now, e)
	if err == nil {
		delete(d.odd, e.Name)
		return used
	}
	d.passOver(e, err)
	unleased := showsUnleased(e)
	switch {
	case strings.HasPrefix(e.Name, mtstore.BackendPrefix):
		if e.Value = nil; unleased {
			e.Value = mtbackend.EncodeUnleased()
		}
		d.entries[e.Name] = e
	case known:
		d.entries[e.Name] = before
	default:
		delete(d.entries, e.Name)
	}
	return used
}
