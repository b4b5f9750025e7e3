package mtstore

import (
	"fmt"

	"magnoliaturn/core/mtid"
)

// Prefixes of the names in the store. All daemons hold a copy of everything below
// LivePrefix; the rest is read on demand.
const (
	LivePrefix   = "live/"
	RosterPrefix = LivePrefix + "roster/"
	BundlePrefix = LivePrefix + "bundle/"
	ShardPrefix  = LivePrefix + "shard/"
	DraftPrefix  = "draft/"
	PastPrefix   = "past/"
)

// RosterName returns the name of a daemon's record.
func RosterName(d mtid.Daemon) string { return RosterPrefix + string(d) }

// BundleName returns the name of the bundle in force of a business.
func BundleName(b mtid.Business) string { return BundlePrefix + string(b) }

// ShardName returns the name of one chunk of a service's assignment.
func ShardName(r mtid.Ref, chunk int) string {
	return fmt.Sprintf("%s%s/%d", ShardPrefix, r, chunk)
}

// RetainedBundles is the number of previous bundles of a business that the store
// retains. Since nothing is deleted from the store, their names are reused
// cyclically.
const RetainedBundles = 64

// DraftName returns the name of the entry with the open proposals of a business.
func DraftName(b mtid.Business) string { return DraftPrefix + string(b) }

// PastBundleName returns the name under which a previous bundle of a business is
// retained.
func PastBundleName(b mtid.Business, version mtid.Version) string {
	return fmt.Sprintf("%s%s/%d", PastPrefix, b, version%RetainedBundles)
}
