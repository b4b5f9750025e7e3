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
	"time"

	"magnoliaturn/core/mtid"
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

// Rate is a bandwidth, in Mbit/s.
type Rate float64

// Record is what a daemon publishes.
type Record struct {
	Daemon  mtid.Daemon  `json:"daemon"`
	Address string       `json:"address"` // of the daemon, for other daemons
	Zone    mtid.Zone    `json:"zone"`
	Service mtid.Service `json:"service"`
	Server  mtid.Server  `json:"server"` // the present life, or the last one if it has ended
	Slots   int          `json:"slots"`
	State   State        `json:"state"`
	// Link is the bandwidth of the VM's own link. Those with the widest ones tell
	// the others what changes.
	Link Rate `json:"link"`
	// Leaving says that the daemon itself shuts down, so that nothing should be
	// sent to it although its server lives on.
	Leaving bool `json:"leaving"`
}

// Beat is what a backend server says of itself to the daemon beside it, about
// once a second.
type Beat struct {
	Server   mtid.Server
	Address  string // host:port of its HTTP listener
	Service  mtid.Service
	Slots    int
	Draining bool
	// Sequence grows with each beat of one life, so that a late one shows.
	Sequence uint64
	// Cold is how much longer the server is slow after its start.
	Cold time.Duration
}

// Owner returns the life of the server as an owner of keys.
func (r Record) Owner() mtrange.Owner { return mtrange.Owner{Daemon: r.Daemon, Server: r.Server} }

// Takes reports whether new work may be sent to the server.
func (r Record) Takes() bool { return r.State == Ready && !r.Leaving }

// Runs reports whether the record proves that this life of the server may still
// hold keys: it is the one that the daemon knows, or the daemon knows none yet.
func (r Record) Runs(server mtid.Server) bool {
	if r.State == Unknown {
		return true
	}
	return r.Server == server && r.State != Ended
}

// DecodeError says that a stored record can't be read.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return "backend: record can't be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of r.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// Decode reads a stored record. It fails with a *DecodeError.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &DecodeError{Err: err}
	}
	if r.Daemon == "" {
		return Record{}, &DecodeError{Err: errNameless{}}
	}
	return r, nil
}

// errNameless says that a record lacks the name of its daemon.
type errNameless struct{}

// Error implements error.
func (errNameless) Error() string { return fmt.Sprintf("%q is empty", "daemon") }
