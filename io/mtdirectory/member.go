package mtdirectory

import (
	"fmt"
	"maps"
	"strings"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtwatch"
)

// Member is a record with what is known of its lease.
type Member struct {
	mtbackend.Record
	Version mtid.Version
	// Lapsed says that the record is gone from the store, since when by the
	// steady clock of this daemon at the latest.
	Lapsed bool
	Since  mtclock.Instant
	// gone is the store's revision at which the record was last known to be gone.
	gone mtid.Revision
}

// lapse returns the member with its record gone at a revision, heard of now. One that was
// known as gone at an earlier revision has been back: its daemon may have ordered grants
// until just now. Counted from its first end, its keys were taken while the last of
// those was in force.
func (m Member) lapse(now mtclock.Instant, revision mtid.Revision) Member {
	m.Lapsed, m.Since, m.gone = true, now, revision
	return m
}

// missing returns the deletions that a whole reading shows: what was known and is no
// longer there, and records that are gone still. Those may have been back in between.
// It is called with mu held.
func (d *Directory) missing(u mtwatch.Update, v *View) []mtstore.Entry {
	if !u.Snapshot || u.Changes.Revision <= v.Revision {
		return nil
	}
	present := make(map[string]bool, len(u.Changes.Entries))
	for _, e := range u.Changes.Entries {
		present[e.Name] = true
	}
	var gone []mtstore.Entry
	for name, e := range d.entries {
		if e.Revision > u.Changes.Revision {
			continue // heard of since the reading began
		}
		if present[name] || e.Version == 0 && !strings.HasPrefix(name, mtstore.BackendPrefix) {
			continue
		}
		e = mtstore.Entry{Name: name, Revision: u.Changes.Revision}
		d.entries[name] = e
		gone = append(gone, e)
	}
	return gone
}

// rolled makes Members, Foreign and Out those of a view that is being made, before the first
// change of them: until then they are shared with the view before.
func (d *Directory) rolled(v *View) {
	if old := d.view.Load(); v.Roll == old.Roll {
		v.Members, v.Foreign = maps.Clone(old.Members), maps.Clone(old.Foreign)
		v.Roll++
	}
}

// takeMember takes in the record of a daemon, or its end.
func (d *Directory) takeMember(v *View, now mtclock.Instant, e mtstore.Entry) {
	d.rolled(v)
	name := mtid.Daemon(strings.TrimPrefix(e.Name, mtstore.BackendPrefix))
	delete(v.Foreign, name)
	if e.Version == 0 {
		// One that was never seen is noted too. It may have stood between a reading of
		// everything and now, while this daemon heard nothing: its daemon ordered
		// grants until then, and whoever counts from the reading takes the keys while
		// the last one is in force.
		m, ok := v.Members[name]
		if !ok {
			m.Daemon = name
		}
		if name == d.Self {
			d.keeper.removed(e.Revision)
		}
		if m.Lapsed && e.Revision <= m.gone {
			return
		}
		v.Members[name] = m.lapse(now, e.Revision)
		d.Log.Info("record of backend server gone", "peer", name, "server", m.Incarnation.String(), "known", ok, "revision", uint64(e.Revision))
		return
	}
	old, known := v.Members[name]
	record, err := mtbackend.Decode(e.Value)
	if err == nil && record.Daemon != name {
		err = &mtbackend.DecodeError{Err: &nameError{name: name, daemon: record.Daemon}}
	}
	if err != nil {
		// What was known holds on. A takeover is conditional on its version, so
		// that it fails while this entry stands.
		d.Log.Error("record of backend server passed over", "name", e.Name, "version", uint64(e.Version), "error", err)
		if !known {
			v.Foreign[name] = true
		}
		if name == d.Self {
			d.keeper.overwritten(e.Version)
		}
		return
	}
	if !known || old.Record != record || old.Lapsed {
		d.Log.Info("backend server", "peer", name, "server", record.Incarnation.String(), "service", record.Service,
			"state", record.State, "leaving", record.Leaving, "version", uint64(e.Version))
	}
	v.Members[name] = Member{Record: record, Version: e.Version}
	if d.Heard != nil && name != d.Self {
		d.Heard(record)
	}
}

// nameError says that a record stands under another daemon's name.
type nameError struct{ name, daemon mtid.Daemon }

// Error implements error.
func (e *nameError) Error() string {
	return fmt.Sprintf("record of %q stands under the name of %q", e.daemon, e.name)
}
