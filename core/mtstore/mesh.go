package mtstore

import "magnoliaturn/core/mtid"

// Prefixes of what daemons without witnesses keep: the records of backend
// servers, under leases, and the assignments of numbered keys.
const (
	Backend = Live + "backend/"
	Range   = Live + "range/"
)

// BackendName returns the name of the record of the backend server beside a
// daemon.
func BackendName(d mtid.Daemon) string { return Backend + string(d) }

// RangeName returns the name of a service's assignment.
func RangeName(s mtid.Service) string { return Range + string(s) }
