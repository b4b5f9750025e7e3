// Package mtbackend describes a backend server as the daemon beside it knows
// it: which life of it runs, for which service, and whether it takes work.
//
// The daemon writes the record under its own name into the platform's store,
// with a lease. A record that has lapsed says nothing of the server; only a
// record that names another server, or none, proves that the former one has
// ended.
//
// # Usage
//
//	value, err := record.Encode()
//	record, err := mtbackend.Decode(value)
//
// Records are values.
package mtbackend

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtrange"
)

// State says whether a backend server takes new work.
type State string

// The states of a backend server, as its daemon knows them.
const (
	Unknown  State = "unknown"  // the daemon has just started and hasn't heard of it
	Ready    State = "ready"    // takes work
	Draining State = "draining" // finishes what it has
	Ended    State = "ended"    // its process is gone; it holds no keys
)

// known reports whether s is a state that daemons write.
func (s State) known() bool {
	return s == Unknown || s == Ready || s == Draining || s == Ended
}

// Rate is a bandwidth, in Mbit/s.
type Rate float64

// Record is what a daemon publishes.
type Record struct {
	Daemon  mtid.Daemon            `json:"daemon"`
	Address string                 `json:"address"` // of the daemon, for other daemons
	Zone    mtid.Zone              `json:"zone"`
	Service mtid.Service           `json:"service"`
	Life    mtid.ServerIncarnation `json:"-"` // the present life, or the last one if it has ended
	Slots   int                    `json:"slots"`
	State   State                  `json:"state"`
	// Link is the bandwidth of the VM's own link. Those with the widest ones tell
	// the others what changes.
	Link Rate `json:"link"`
	// Leaving says that the daemon itself shuts down, so that nothing should be
	// sent to it although its server lives on.
	Leaving bool `json:"leaving"`
	// Suspects are the requests that may have crashed the server when it was lost last.
	Suspects mtpoison.Suspects `json:"suspects,omitempty"`
}

// Beat is what a backend server says of itself to the daemon beside it, about
// once a second.
type Beat struct {
	Life     mtid.ServerIncarnation
	Address  string // host:port of its HTTP listener
	Service  mtid.Service
	Slots    int
	Draining bool
	// Sequence grows with each beat of one life, so that a late one shows.
	Sequence uint64
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
	// Connected is when the connection on which it came was accepted: its sender was
	// alive then, however late the beat itself is. Zero if that is not known.
	Connected mtclock.Instant
}

// Owner returns the life of the server as an owner of keys.
func (r Record) Owner() mtrange.Owner { return mtrange.Owner{Daemon: r.Daemon, Life: r.Life} }

// Takes reports whether new work may be sent to the server.
func (r Record) Takes() bool { return r.State == Ready && !r.Leaving }

// Runs reports whether the record proves that this life of the server may still
// hold keys: it is the one that the daemon knows, or the daemon knows none yet.
func (r Record) Runs(life mtid.ServerIncarnation) bool {
	if r.State == Unknown {
		return true
	}
	return r.Life == life && r.State != Ended
}

// DecodeError says that a stored record can't be read.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "backend: record can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// stored is the form in which a record lies in the platform's store.
type stored struct {
	Record
	Server mtid.Server    `json:"server"`
	Born   mtid.StartTime `json:"born,omitempty"`
}

// Encode returns the stored form of r.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(stored{Record: r, Server: r.Life.Server, Born: r.Life.Started})
}

// Decode reads a stored record. It fails with a *DecodeError.
//
// Somebody else may have written under a daemon's name. Taken at its word, such an
// entry could name a server to send work to, or make the keys of one that lives
// look free. So whatever no daemon writes is no record: the last good one holds.
func Decode(value []byte) (Record, error) {
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	r := s.Record
	r.Life = mtid.ServerIncarnation{Server: s.Server, Started: s.Born}
	if err := r.check(); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	return r, nil
}

// check returns what no daemon writes into a record, or nil.
func (r Record) check() error {
	switch {
	case r.Daemon == "":
		return &fieldError{field: "daemon"}
	case r.Address == "":
		return &fieldError{field: "address"}
	case r.Service == "":
		return &fieldError{field: "service"}
	case !r.State.known():
		return &fieldError{field: "state", value: string(r.State)}
	case (r.State == Ready || r.State == Draining) && r.Life.Server == "":
		// A daemon that never heard of its server may say that it has ended.
		return &fieldError{field: "server"}
	case r.State == Ready && r.Slots <= 0:
		return &fieldError{field: "slots", value: strconv.Itoa(r.Slots)}
	}
	return nil
}

// fieldError says which field of a record holds what no daemon writes.
type fieldError struct{ field, value string }

// Error implements error.
func (e *fieldError) Error() string {
	if e.value == "" {
		return fmt.Sprintf("%q is empty", e.field)
	}
	return fmt.Sprintf("%q can't be %q", e.field, e.value)
}
