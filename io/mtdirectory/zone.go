package mtdirectory

import (
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// takeZone takes in the operators' order that takes an availability zone out of service,
// or its end, which is newer than what is known.
func (d *Directory) takeZone(v *View, e mtstore.Entry) {
	zone := mtid.Zone(strings.TrimPrefix(e.Name, mtstore.ZonePrefix))
	d.rolled(v)
	if e.Version == 0 {
		v.Out = v.Out.Without(zone, e.Revision)
	} else {
		v.Out = v.Out.With(zone, e.Version)
	}
	d.Log.Info("availability zone", "zone", zone, "out", e.Version != 0, "revision", uint64(e.Revision))
}

// known reports whether as much or more is known of an order about a zone: it was read
// outside the watch, which brings it later. It is called with mu held.
func (d *Directory) known(e mtstore.Entry) bool {
	return strings.HasPrefix(e.Name, mtstore.ZonePrefix) && d.entries[e.Name].Revision >= e.Revision
}

// Recheck takes in a reading of all that operators have written, made outside the watch.
// It reports whether that told of a zone what the watch had not brought.
func (d *Directory) Recheck(read mtstore.Changes) bool {
	news := false
	d.change(func(v *View) bool {
		for _, e := range d.zones(read) {
			d.entries[e.Name] = e
			d.takeZone(v, e)
			news = true
		}
		return news
	})
	return news
}

// zones returns the orders about zones in a reading that are newer than what is known,
// the ends of those that it does not hold among them. It is called with mu held.
func (d *Directory) zones(read mtstore.Changes) []mtstore.Entry {
	var newer []mtstore.Entry
	present := make(map[string]bool)
	for _, e := range read.Entries {
		present[e.Name] = true
		if strings.HasPrefix(e.Name, mtstore.ZonePrefix) && !d.known(e) {
			newer = append(newer, e)
		}
	}
	for name, e := range d.entries {
		gone := e.Version != 0 && !present[name] && e.Revision < read.Revision
		if gone && strings.HasPrefix(name, mtstore.ZonePrefix) {
			newer = append(newer, mtstore.Entry{Name: name, Revision: read.Revision})
		}
	}
	return newer
}
