package mtstore

import (
	"fmt"

	"magnoliaturn/core/mtid"
)

// Prefixes under which the system keeps its values. Everything below Live is
// known to every daemon; the rest is read on demand.
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

// BundleName returns the name of the bundle that is in force for a business.
func BundleName(b mtid.Business) string { return Bundle + string(b) }

// ShardName returns the name of one chunk of a service's assignment.
func ShardName(r mtid.Ref, chunk int) string {
	return fmt.Sprintf("%s%s/%d", Shard, r, chunk)
}

// KeptBundles is how many former bundles of a business the store keeps: names
// are used in turn, since the store deletes nothing.
const KeptBundles = 64

// DraftName returns the name of the open proposals of a business.
func DraftName(b mtid.Business) string { return Draft + string(b) }

// PastName returns the name that a former bundle is kept under.
func PastName(b mtid.Business, version mtid.Version) string {
	return fmt.Sprintf("%s%s/%d", Past, b, version%KeptBundles)
}
