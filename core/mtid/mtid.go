// Package mtid names the things that every other package speaks of:
// businesses, services, keys, daemons and the counters that fence them.
//
// Every identifier has a type of its own, so that a function which takes a
// zone can't be handed a region, and a version can't be compared with an
// epoch. The package holds no state and imports no other package of this
// module.
//
// # Usage
//
//	ref := mtid.Ref{Business: "ratins", Service: "dispatch"}
//	point := ref.Point("hotel-7/room-214")
//
// A Point is where a key lies on the 64-bit ring that shards divide. All
// functions are safe for concurrent use.
package mtid

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Business names a tenant: the owner of services and of their bundle.
type Business string

// Service names a group of backend servers within one business.
type Service string

// Key names the unit of ownership within a service, as the caller spells it.
type Key string

// Class names a kind of request within a service, for example "status".
type Class string

// Daemon names one router process; its VM keeps the name over restarts.
type Daemon string

// Zone names an availability zone.
type Zone string

// Region names a group of availability zones.
type Region string

// Incarnation counts the lives of one daemon. It grows by one with each
// registration in the platform's store; zero means not registered.
type Incarnation uint64

// Epoch is the fencing token of a shard. It grows with each change of owner,
// and no two owners of one key ever carry the same one.
type Epoch uint64

// Version counts the accepted writes of one value in the platform's store.
// Zero means that the value does not exist.
type Version uint64

// Revision counts the accepted writes of the platform's store as a whole.
type Revision uint64

// Point is a place on the 64-bit hash ring of a service.
type Point uint64

// Holder is one life of one daemon: the unit that owns shards and is fenced.
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

// IsZero reports whether h names no daemon.
func (h Holder) IsZero() bool {
	return h == Holder{}
}

// Ref names a service within its business.
type Ref struct {
	Business Business
	Service  Service
}

// String returns "business/service".
func (r Ref) String() string {
	return string(r.Business) + "/" + string(r.Service)
}

// Point returns where key lies on the ring of r. The separator is a zero
// byte, which names can't contain, so that no two keys share an input.
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

// Rank returns the rendezvous weight of daemon d for point p. The daemon with
// the highest rank is the first choice for p; ties don't matter, since callers
// break them by name.
func Rank(d Daemon, p Point) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(uint64(p))
	_, _ = h.WriteString(string(d))
	return h.Sum64()
}

// Number is a key of a numbered key space: services whose keys lie side by side
// in load, and are divided by ranges of numbers, not by hashes.
type Number uint16

// LastNumber is the highest key of a numbered key space.
const LastNumber Number = 1<<16 - 1

// numberShift takes a number to the high bits of a Point.
const numberShift = 48

// Point returns the first point of the ring that stands for n, so that what
// works on ranges of the ring works on ranges of numbers.
func (n Number) Point() Point { return Point(n) << numberShift }

// LastPoint returns the last point that stands for n.
func (n Number) LastPoint() Point { return n.Point() | (1<<numberShift - 1) }
