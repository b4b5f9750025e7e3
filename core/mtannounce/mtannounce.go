// Package mtannounce is what a backend server says of itself to the daemon on
// its own VM. There is no list of backend servers: a server announces itself
// every second, and one that falls silent for Lifetime is no longer used.
//
// # Usage
//
//	if faults := announcement.Check(); len(faults) > 0 { ... 422 ... }
//
// The JSON form is the protocol. Load and Health are hints: what the daemon
// counts itself decides.
package mtannounce

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"magnoliaturn/core/mtid"
)

// Lifetime is how long an announcement holds.
const Lifetime = 3 * time.Second

// GrantPeriod is how often a server that announces Grants does so: several times
// within a lease, so that one lost answer cancels nothing.
const GrantPeriod = 250 * time.Millisecond

// State is what the server says of its readiness.
type State string

// The states of a backend server.
const (
	Cold     State = "cold"     // ready, but slower until its caches fill
	Ready    State = "ready"    // ready for its full share
	Draining State = "draining" // finishes what it has; wants no new work
)

// Announcement describes one backend server.
type Announcement struct {
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Address     string        `json:"address"`     // host:port of its HTTP listener
	Slots       int           `json:"slots"`       // requests that it runs at once
	Connections int           `json:"connections"` // connections that it takes
	Epochs      bool          `json:"epochs"`      // it refuses epochs below the highest seen for a key
	Deadlines   bool          `json:"deadlines"`   // it honours Start-By and Deadline
	Grants      bool          `json:"grants"`      // it cancels what it runs when its daemon's lease ends
	State       State         `json:"state"`
	Load        float64       `json:"load"` // its own estimate, 0 to 1
}

// Bounds of what a server may announce.
const (
	MaxSlots       = 4096
	MaxConnections = 65536
)

// FieldError says that a field is outside its accepted range.
type FieldError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("announcement: %s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// Check returns every fault of a at once.
func (a *Announcement) Check() []*FieldError {
	var faults []*FieldError
	fault := func(field, value, accept string) {
		faults = append(faults, &FieldError{Field: field, Value: value, Accept: accept})
	}
	if a.Business == "" {
		fault("business", "", "a name")
	}
	if a.Service == "" {
		fault("service", "", "a name")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		fault("address", a.Address, "host:port")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		fault("slots", strconv.Itoa(a.Slots), fmt.Sprintf("1 to %d", MaxSlots))
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		fault("connections", strconv.Itoa(a.Connections), fmt.Sprintf("1 to %d", MaxConnections))
	}
	switch a.State {
	case Cold, Ready, Draining:
	default:
		fault("state", string(a.State), "cold, ready or draining")
	}
	return faults
}
