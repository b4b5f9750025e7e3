package mtstore

import (
	"fmt"

	"magnoliaturn/core/mtid"
)

// Prefixes of the names in the store. All daemons hold a copy of everything below
// Live; the rest is read on demand.
const (
	Live   = "live/"
	Roster = Live + "roster/"
	Bundle = Live + "bundle/"
	Shard  = Live + "shard/"
	Draft  = "draft/"
	Past   = "past/"
)

// RosterName returns the name of a daemon's record.
func RosterName(d mtid.Daemon) string { return Roster + string(d) }

// BundleName returns the name of the bundle in force of a business.
func BundleName(b mtid.Business) string { return Bundle + string(b) }

// ShardName returns the name of one chunk of a service's assignment.
func ShardName(r mtid.Ref, chunk int) string {
	return fmt.Sprintf("%s%s/%d", Shard, r, chunk)
}

// KeptBundles is the number of previous bundles of a business that the store
// retains. Since nothing is deleted from the store, their names are reused
// cyclically.
const KeptBundles = 64

// DraftName returns the name of the entry with the open proposals of a business.
func DraftName(b mtid.Business) string { return Draft + string(b) }

// PastName returns the name under which a previous bundle of a business is
// retained.
func PastName(b mtid.Business, version mtid.Version) string {
	return fmt.Sprintf("%s%s/%d", Past, b, version%KeptBundles)
}
