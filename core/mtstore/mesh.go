package mtstore

import "magnoliaturn/core/mtid"

// Prefixes of what daemons without witnesses keep: the records of backend
// servers, under leases, and the assignments of numbered keys; and of what only
// operators write: the availability zones that are out of service. An entry stands
// for as long as its zone is.
const (
	Backend = Live + "backend/"
	Range   = Live + "range/"
	Zone    = Live + "zone/"
)

// BackendName returns the name of the record of the backend server beside a
// daemon.
func BackendName(d mtid.Daemon) string { return Backend + string(d) }

// RangeName returns the name of a service's assignment.
func RangeName(s mtid.Service) string { return Range + string(s) }

// ZoneName returns the name of the entry that takes an availability zone out of
// service.
func ZoneName(z mtid.Zone) string { return Zone + string(z) }
