// Package mtzone tracks which availability zones the operators have taken out of
// service, and until when a server in such a zone may still start work.
//
// A zone is out of service while the operators' entry for it exists in the store.
// Requests of callers in that zone go to servers in other zones. A daemon receives
// the entries in the same way as a configuration, and tracks when it last confirmed
// that its entries are current: an order that it has not received may have been given
// at any time since.
//
// # Usage
//
//	out := mtzone.OutOfService{}.With("riga-a", version)
//	if out.Has(server.Zone) { ... } // send the server no new work
//
//	var admission mtzone.Admission // of the server on this VM
//	admission.Close(out.Version("riga-a"), mtzone.KeyedUntil(confirmed, within))
//	if !admission.Admits(now, keyed) { ... } // refuse the request
//
// An OutOfService is immutable; an Admission isn't safe for concurrent use.
package mtzone

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtid"
)

// Digest identifies a set of zones that are out of service and the versions of the orders
// that took them out, so that two daemons can compare their sets. Zero means that all
// zones are in service.
type Digest uint64

// OutOfService is the set of zones that are out of service. The zero value is empty.
type OutOfService struct {
	orders    map[mtid.Zone]mtid.Version  // the versions of the orders in force
	changedAt map[mtid.Zone]mtid.Revision // when the last order was given or withdrawn
	digest    Digest
}

// Has reports whether a zone is out of service.
func (o OutOfService) Has(zone mtid.Zone) bool {
	_, ok := o.orders[zone]
	return ok
}

// Version returns the version of the order that took a zone out of service, or zero if it
// is in service.
func (o OutOfService) Version(zone mtid.Zone) mtid.Version { return o.orders[zone] }

// Digest returns the digest of the set, for comparison with other daemons.
func (o OutOfService) Digest() Digest { return o.digest }

// ChangedAt returns the store revision at which a zone was last taken out of service or
// put back into service, or zero if no change is known.
func (o OutOfService) ChangedAt(zone mtid.Zone) mtid.Revision { return o.changedAt[zone] }

// With returns a copy of the set that includes a zone, taken out of service by an order of
// that version. The version is also the store revision of the order.
func (o OutOfService) With(zone mtid.Zone, version mtid.Version) OutOfService {
	next := o.cloneWithChange(zone, mtid.Revision(version))
	next.orders[zone] = version
	return next.withDigest()
}

// Without returns a copy of the set that excludes a zone, which was put back into service
// at a store revision.
func (o OutOfService) Without(zone mtid.Zone, at mtid.Revision) OutOfService {
	next := o.cloneWithChange(zone, at)
	delete(next.orders, zone)
	return next.withDigest()
}

// cloneWithChange returns a copy, without digest, in which a zone changed at a revision.
func (o OutOfService) cloneWithChange(zone mtid.Zone, revision mtid.Revision) OutOfService {
	next := OutOfService{orders: maps.Clone(o.orders), changedAt: maps.Clone(o.changedAt)}
	if next.orders == nil {
		next.orders, next.changedAt = make(map[mtid.Zone]mtid.Version), make(map[mtid.Zone]mtid.Revision)
	}
	next.changedAt[zone] = revision
	return next
}

// withDigest returns the set with its digest, which is a sum because the iteration order
// of a map is random.
func (o OutOfService) withDigest() OutOfService {
	for zone, version := range o.orders {
		o.digest += zoneDigest(zone, version)
	}
	return o
}

// zoneDigest returns a zone's contribution to the digest. The version seeds the hash, so
// that the digests of successive versions are unrelated.
func zoneDigest(zone mtid.Zone, version mtid.Version) Digest {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(version))
	_, _ = d.WriteString(string(zone))
	return Digest(d.Sum64())
}
