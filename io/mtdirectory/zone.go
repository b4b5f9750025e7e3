package mtdirectory

import (
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// applyZoneEntry applies an operators' order that takes an availability zone out of
// service, or the withdrawal of such an order. The entry must be newer than the known
// one.
func (d *Directory) applyZoneEntry(v *View, e mtstore.Entry) {
	zone := mtid.Zone(strings.TrimPrefix(e.Name, mtstore.ZonePrefix))
	d.copyMembersOnce(v)
	if e.Version == 0 {
		v.OutOfService = v.OutOfService.Without(zone, e.Revision)
	} else {
		v.OutOfService = v.OutOfService.With(zone, e.Version)
	}
	d.Log.Info("availability zone", "zone", zone, "out", e.Version != 0, "revision", uint64(e.Revision))
}

// zoneKnown reports whether an entry about a zone is not newer than the known one.
// That happens if the newer entry was read outside the watch, which delivers it later.
// It is called with mu held.
func (d *Directory) zoneKnown(e mtstore.Entry) bool {
	return strings.HasPrefix(e.Name, mtstore.ZonePrefix) && d.entries[e.Name].Revision >= e.Revision
}

// ApplyZones applies a full read of the operators' entries that was made outside the
// watch. It reports whether the read contained a change of a zone that the watch had
// not delivered.
func (d *Directory) ApplyZones(read mtstore.Changes) bool {
	changed := false
	d.update(func(v *View) bool {
		for _, e := range d.newerZoneEntries(read) {
			if d.rereadOfCopy(d.Clock.Steady(), v, e) && d.doubt(e) {
				continue
			}
			delete(d.doubtful, e.Name)
			d.entries[e.Name] = e
			d.applyZoneEntry(v, e)
			changed = true
		}
		return changed
	})
	return changed
}

// newerZoneEntries returns the zone entries of a full read that are newer than the
// known ones, including deletions of known entries that the read does not contain. It
// is called with mu held.
func (d *Directory) newerZoneEntries(read mtstore.Changes) []mtstore.Entry {
	var newer []mtstore.Entry
	present := make(map[string]bool)
	for _, e := range read.Entries {
		present[e.Name] = true
		if strings.HasPrefix(e.Name, mtstore.ZonePrefix) && !d.zoneKnown(e) {
			newer = append(newer, e)
		}
	}
	for name, e := range d.entries {
		deleted := e.Version != 0 && !present[name] && e.Revision < read.Revision
		if deleted && strings.HasPrefix(name, mtstore.ZonePrefix) {
			newer = append(newer, mtstore.Entry{Name: name, Revision: read.Revision})
		}
	}
	return newer
}
