// Package mtbackend describes a backend server as seen by the daemon beside it:
// which incarnation of it runs, for which service, and whether it accepts work.
//
// The daemon writes the record under its own name into the platform's store, with
// a lease. An expired record reveals nothing about the server; only a record that
// contains another server, or none, proves that the previous one has terminated.
//
// # Usage
//
//	value, err := record.Encode()
//	record, err := mtbackend.Decode(value)
//
// Records are values and can be copied.
package mtbackend

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// State describes whether a backend server accepts new work.
type State string

// States of a backend server, as reported by its daemon.
const (
	Unknown  State = "unknown"  // the daemon has just started and received no heartbeat yet
	Ready    State = "ready"    // accepts work
	Draining State = "draining" // finishes the work it has
	Ended    State = "ended"    // its process has terminated; it holds no keys
)

// known reports whether s is one of the states that daemons write.
func (s State) known() bool {
	return s == Unknown || s == Ready || s == Draining || s == Ended
}

// Bandwidth is the capacity of a network link, in Mbit/s.
type Bandwidth float64

// Record is the description of a backend server that its daemon publishes.
type Record struct {
	Daemon      mtid.Daemon            `json:"daemon"`
	Address     string                 `json:"address"` // of the daemon, for other daemons
	Zone        mtid.Zone              `json:"zone"`
	Service     mtid.Service           `json:"service"`
	Incarnation mtid.ServerIncarnation `json:"-"` // the last one if none runs
	Slots       int                    `json:"slots"`
	State       State                  `json:"state"`
	// Link is the bandwidth of the VM's network link. The daemons with the fastest
	// links distribute updates to the others.
	Link Bandwidth `json:"link"`
	// Leaving reports that the daemon itself shuts down, so that nothing should be
	// sent to it although its server keeps running.
	Leaving bool `json:"leaving"`
}

// Heartbeat is the status that a backend server reports to the daemon beside it, about
// once a second.
type Heartbeat struct {
	Incarnation mtid.ServerIncarnation
	Address     string // host:port of its HTTP listener
	Service     mtid.Service
	Slots       int
	Draining    bool
	// Sequence grows with each heartbeat of an incarnation, so that a late one is
	// recognized.
	Sequence uint64
	// Cold is the remaining time for which the server is cold.
	Cold time.Duration
	// OpenedAfter is a time after which the sender opened the connection that carried the
	// heartbeat, so it was running then. The heartbeat may arrive far later. Zero if unknown.
	OpenedAfter mtclock.Instant
	// Accepted is when that connection was accepted: soon after the sender opened it, or
	// later if the daemon is busy or was frozen. The sender may have ended by then. Zero if
	// unknown.
	Accepted mtclock.Instant
}

// Owner returns the incarnation of the server as an owner of keys.
func (r Record) Owner() mtrange.Owner {
	return mtrange.Owner{Daemon: r.Daemon, Incarnation: r.Incarnation}
}

// AcceptsWork reports whether the server accepts new work.
func (r Record) AcceptsWork() bool { return r.State == Ready && !r.Leaving }

// MayHoldKeys reports whether, by this record, an incarnation of the server may still
// hold keys: either it is the one that the record names and has not terminated, or the
// daemon does not know yet which one runs.
func (r Record) MayHoldKeys(incarnation mtid.ServerIncarnation) bool {
	if r.State == Unknown {
		return true
	}
	return r.Incarnation == incarnation && r.State != Ended
}

// DecodeError reports that a stored record is invalid.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "backend: decode record: " + e.Err.Error() }

// Unwrap returns the error of the JSON decoder or the one that names the invalid field.
func (e *DecodeError) Unwrap() error { return e.Err }

// storedRecord is the JSON form of a record in the platform's store.
type storedRecord struct {
	Record
	Server mtid.Server    `json:"server"`
	Born   mtid.StartTime `json:"born,omitempty"`
	// Unleased reports that the value only stands for an entry without a lease; see EncodeUnleased.
	Unleased bool `json:"unleased,omitempty"`
}

// UnleasedError reports an entry without a lease: daemons write their records under leases, so that these end with
// them, and another writer's would stand for ever.
type UnleasedError struct{}

// Error implements error.
func (*UnleasedError) Error() string { return "backend: record has no lease" }

// EncodeUnleased returns what daemons pass on to each other in place of a record without a lease: only that it stands
// there. It fails with an *UnleasedError when it is decoded.
func EncodeUnleased() []byte { return []byte(`{"unleased":true}`) }

// Encode returns the stored form of r.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(storedRecord{Record: r, Server: r.Incarnation.Server, Born: r.Incarnation.Started})
}

// Decode reads a stored record. It fails with a *DecodeError.
//
// Another program may have written under a daemon's name. If such an entry were
// trusted, it could direct work to a wrong server, or make the keys of a running
// server look free. So an entry that no daemon would write is rejected, and the last
// valid record remains in effect.
func Decode(value []byte) (Record, error) {
	var s storedRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	if s.Unleased {
		return Record{}, &DecodeError{Err: &UnleasedError{}}
	}
	r := s.Record
	r.Incarnation = mtid.ServerIncarnation{Server: s.Server, Started: s.Born}
	if err := r.check(); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	return r, nil
}

// check returns an error if a field has a value that no daemon writes.
func (r Record) check() error {
	switch {
	case r.Daemon == "":
		return &fieldError{field: "daemon"}
	case !reachable(r.Address):
		return &fieldError{field: "address", value: r.Address}
	case r.Service == "":
		return &fieldError{field: "service"}
	case !r.State.known():
		return &fieldError{field: "state", value: string(r.State)}
	case (r.State == Ready || r.State == Draining) && r.Incarnation.Server == "":
		// A daemon that never received a heartbeat may report that its server has ended.
		return &fieldError{field: "server"}
	case r.State == Ready && r.Slots <= 0:
		return &fieldError{field: "slots", value: strconv.Itoa(r.Slots)}
	}
	return nil
}

// NamesIP reports whether the record's address is an IP address and a port, spelled as daemons spell them whose settings
// name an IP address.
func (r Record) NamesIP() bool {
	address, err := netip.ParseAddrPort(r.Address)
	_, port, _ := net.SplitHostPort(r.Address)
	return err == nil && port == strconv.FormatUint(uint64(address.Port()), 10)
}

// maxHostBytes is the longest name of a host.
const maxHostBytes = 253

// reachable reports whether an address can be dialed: a host and a port, both named.
func reachable(address string) bool {
	host, text, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > maxHostBytes {
		return false
	}
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port != 0 && !strings.ContainsFunc(host, func(c rune) bool { return c <= ' ' || c == '/' || c > unicode.MaxASCII })
}

// fieldError reports an invalid field of a record.
type fieldError struct{ field, value string }

// Error implements error.
func (e *fieldError) Error() string {
	if e.value == "" {
		return fmt.Sprintf("field %q is empty", e.field)
	}
	return fmt.Sprintf("field %q has the invalid value %.80q", e.field, e.value)
}
