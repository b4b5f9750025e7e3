package mtstore

import "magnoliaturn/core/mtid"

// Prefixes of the names that daemons without witnesses use. Backend holds the
// records of backend servers, written under leases. Range holds the assignments of
// numbered keys. Zone holds one entry for each availability zone that is out of
// service; only operators write it, and it exists for as long as the zone is out of
// service.
const (
	Backend = Live + "backend/"
	Range   = Live + "range/"
	Zone    = Live + "zone/"
)

// BackendName returns the name of the record of the backend server that runs on
// the VM of a daemon.
func BackendName(d mtid.Daemon) string { return Backend + string(d) }

// RangeName returns the name of the assignment of a service with numbered keys.
func RangeName(s mtid.Service) string { return Range + string(s) }

// ZoneName returns the name of the entry that takes an availability zone out of
// service.
func ZoneName(z mtid.Zone) string { return Zone + string(z) }
