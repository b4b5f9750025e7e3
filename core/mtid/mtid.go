// Package mtid defines the identifiers that all other packages use: those of
// businesses, services, keys and daemons, and the counters that fence them.
//
// Every kind of identifier has its own type, so that the compiler rejects a
// region where a zone is expected, or a comparison of a version with an epoch.
// The package holds no state and imports no other package of this module.
//
// # Usage
//
//	ref := mtid.Ref{Business: "ratins", Service: "dispatch"}
//	point := ref.Point("hotel-7/room-214")
//
// A Point is the position of a key on the 64-bit hash ring, which is divided into
// shards. All functions are safe for concurrent use.
package mtid

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Business is the name of a tenant, which owns services and their bundle.
type Business string

// Service is the name of a group of backend servers within a business.
type Service string

// Key is the unit of ownership within a service, as sent by the caller.
type Key string

// Class is the name of a kind of request within a service, for example "status".
type Class string

// Daemon is the name of the router process on a VM. It stays the same when the
// process restarts.
type Daemon string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a group of availability zones.
type Region string

// Incarnation counts the registrations of a daemon in the platform's store. Each
// registration increments it by one; zero means not registered.
type Incarnation uint64

// Epoch is the fencing token of a shard. It increases with every change of owner,
// and no two owners of a key ever have the same epoch. The upper bits are the Era.
type Epoch uint64

// Version counts the successful writes of a value in the platform's store. Zero
// means that the value does not exist. The upper bits are the Era.
type Version uint64

// Revision counts the successful writes to the platform's store as a whole. The upper
// bits are the Era.
type Revision uint64

// Point is a position on the 64-bit hash ring of a service.
type Point uint64

// TryID identifies one try of a call among those of all daemons. It is drawn at random; zero
// means none.
type TryID uint64

// Holder is one incarnation of a daemon: the unit that owns shards and is fenced.
type Holder struct {
	Daemon      Daemon
	Incarnation Incarnation
}

// String returns "name@incarnation".
func (h Holder) String() string {
	return fmt.Sprintf("%s@%d", h.Daemon, h.Incarnation)
}

// Compare orders holders by daemon, then by incarnation.
func (h Holder) Compare(other Holder) int {
	return cmp.Or(cmp.Compare(h.Daemon, other.Daemon), cmp.Compare(h.Incarnation, other.Incarnation))
}

// IsZero reports whether h is the zero value, which refers to no daemon.
func (h Holder) IsZero() bool {
	return h == Holder{}
}

// Ref identifies a service by its business and its name.
type Ref struct {
	Business Business
	Service  Service
}

// String returns "business/service".
func (r Ref) String() string {
	return string(r.Business) + "/" + string(r.Service)
}

// Point returns the position of key on the ring of r. The hashed parts are
// separated by zero bytes, which names cannot contain, so that different keys
// never have the same hash input.
func (r Ref) Point(key Key) Point {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.Business))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(r.Service))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(key))
	return Point(d.Sum64())
}

// Rank returns the rendezvous hashing weight of daemon d for point p. The daemon
// with the highest rank is the first choice for p. Callers break ties by name.
func Rank(d Daemon, p Point) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(uint64(p))
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// KeyNumber is a key of a service with numbered keys. Adjacent keys tend to be busy
// at the same time, so these services are partitioned by ranges of numbers instead
// of by hash.
type KeyNumber uint16

// LastKeyNumber is the highest numbered key.
const LastKeyNumber KeyNumber = 1<<16 - 1

// numberShift moves a number to the high bits of a Point.
const numberShift = 48

// Point returns the first point of the ring that represents n. Code for ranges of
// the ring thereby also works for ranges of numbers.
func (n KeyNumber) Point() Point { return Point(n) << numberShift }

// LastPoint returns the last point of the ring that represents n.
func (n KeyNumber) LastPoint() Point { return n.Point() | (1<<numberShift - 1) }
