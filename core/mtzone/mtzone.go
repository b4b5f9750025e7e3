// Package mtzone says which availability zones the operators have taken out of
// service, and until when a server in such a zone may still begin work.
//
// A zone is out of service while the operators' entry for it stands in the store.
// Requests of callers there go to servers elsewhere. Each daemon learns of the
// entries like of a configuration, and counts how old its knowledge is: what it has
// not heard of may have been ordered since it was certain last.
//
// # Usage
//
//	out := mtzone.Out{}.With("riga-a", version)
//	if out.Has(server.Zone) { ... } // send it nothing new
//
//	var door mtzone.Door // of the server on this VM
//	door.Close(out.Version("riga-a"), mtzone.Until(certain, within))
//	if !door.Open(now, keyed) { ... } // refuse
//
// An Out is immutable; a Door isn't safe for concurrent use.
package mtzone

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtid"
)

// Digest is the same for two daemons that know the same zones to be out of service, by
// the same orders. Zero means that all zones are in service.
type Digest uint64

// Out is the set of the zones that are out of service. The zero value is empty.
type Out struct {
	zones   map[mtid.Zone]mtid.Version
	changed map[mtid.Zone]mtid.Revision // by the last order or its end
	digest  Digest
}

// Has reports whether a zone is out of service.
func (o Out) Has(zone mtid.Zone) bool {
	_, out := o.zones[zone]
	return out
}

// Version returns the version of the order that took a zone out of service, or zero if it
// is in service.
func (o Out) Version(zone mtid.Zone) mtid.Version { return o.zones[zone] }

// Digest returns what tells this set from others.
func (o Out) Digest() Digest { return o.digest }

// Changed returns the revision of the store at which a zone was last taken out of service
// or back, as far as is known.
func (o Out) Changed(zone mtid.Zone) mtid.Revision { return o.changed[zone] }

// With returns the set with one more zone, by an order of that version, which is its
// revision too.
func (o Out) With(zone mtid.Zone, version mtid.Version) Out {
	next := o.at(zone, mtid.Revision(version))
	next.zones[zone] = version
	return next.summed()
}

// Without returns the set less one zone, which was taken back at a revision.
func (o Out) Without(zone mtid.Zone, at mtid.Revision) Out {
	next := o.at(zone, at)
	delete(next.zones, zone)
	return next.summed()
}

// at returns a copy with a zone changed at a revision.
func (o Out) at(zone mtid.Zone, revision mtid.Revision) Out {
	next := Out{zones: maps.Clone(o.zones), changed: maps.Clone(o.changed)}
	if next.zones == nil {
		next.zones, next.changed = make(map[mtid.Zone]mtid.Version), make(map[mtid.Zone]mtid.Revision)
	}
	next.changed[zone] = revision
	return next
}

// summed returns the set with its digest: a sum, so that the order of a map says nothing.
func (o Out) summed() Out {
	for zone, version := range o.zones {
		o.digest += digest(zone, version)
	}
	return o
}

// digest returns the part of one zone. Versions that follow each other differ in all bits.
func digest(zone mtid.Zone, version mtid.Version) Digest {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(version))
	_, _ = d.WriteString(string(zone))
	return Digest(d.Sum64())
}
