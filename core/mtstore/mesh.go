package mtstore

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

// Prefixes of the names that daemons without witnesses use. Below BackendPrefix are
// the records of backend servers, written under leases. Below RangePrefix are the
// assignments of numbered keys. Below ZonePrefix is one entry for each availability
// zone that is out of service; only operators write it, and it exists for as long as
// the zone is out of service. Below LossPrefix is one entry for each recent loss of a backend
// server, under a lease that nobody renews.
const (
	BackendPrefix = LivePrefix + "backend/"
	RangePrefix   = LivePrefix + "range/"
	ZonePrefix    = LivePrefix + "zone/"
	LossPrefix    = LivePrefix + "loss/"
)

// BackendName returns the name of the record of the backend server that runs on
// the VM of a daemon.
func BackendName(d mtid.Daemon) string { return BackendPrefix + string(d) }

// RangeName returns the name of the assignment of a service with numbered keys.
func RangeName(s mtid.Service) string { return RangePrefix + string(s) }

// ZoneName returns the name of the entry that takes an availability zone out of
// service.
func ZoneName(z mtid.Zone) string { return ZonePrefix + string(z) }

// LossName returns the name of the entry about the loss of a backend server.
func LossName(l mtpoison.LossID) string { return LossPrefix + l.String() }
