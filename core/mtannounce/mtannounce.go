// Package mtannounce defines the announcement that a backend server sends to the
// daemon on its VM. There is no configured list of backend servers: a server
// announces itself every second, and a server without an announcement within TTL is
// no longer used.
//
// # Usage
//
//	if invalid := announcement.Check(); len(invalid) > 0 { ... 422 ... }
//
// The JSON encoding is the protocol. The announced load is only a hint: the daemon
// decides by the requests that it counts itself.
package mtannounce

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"magnoliaturn/core/mtid"
)

// TTL is the time for which an announcement is valid.
const TTL = 3 * time.Second

// GrantAnnounceInterval is the interval between announcements of a server that sets
// Grants. There are several of them within a lease, so that one lost reply does not
// cancel running requests.
const GrantAnnounceInterval = 250 * time.Millisecond

// State is the readiness that a server announces.
type State string

// The states of a backend server.
const (
	Cold     State = "cold"     // accepts requests, but is slower until its caches fill
	Ready    State = "ready"    // accepts its full share of requests
	Draining State = "draining" // finishes its running requests and accepts no new ones
)

// Announcement describes one backend server.
type Announcement struct {
	Business    mtid.Business `json:"business"`
	Service     mtid.Service  `json:"service"`
	Address     string        `json:"address"`     // host:port of its HTTP listener
	Slots       int           `json:"slots"`       // maximum number of concurrent requests
	Connections int           `json:"connections"` // maximum number of connections
	Epochs      bool          `json:"epochs"`      // rejects epochs below the highest seen for a key
	Deadlines   bool          `json:"deadlines"`   // honours the headers Start-By and Deadline
	Grants      bool          `json:"grants"`      // cancels running requests when its daemon's lease ends
	State       State         `json:"state"`
	Load        float64       `json:"load"` // the server's own estimate, 0 to 1
}

// Upper limits of the values that a server may announce.
const (
	MaxSlots       = 4096
	MaxConnections = 65536
)

// FieldError reports an announced field with an invalid value.
type FieldError struct {
	Field  string
	Value  string
	Accept string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("announcement: %s is %q, accepted: %s", e.Field, e.Value, e.Accept)
}

// Check validates a and returns all invalid fields.
func (a *Announcement) Check() []*FieldError {
	var invalid []*FieldError
	reject := func(field, value, accept string) {
		invalid = append(invalid, &FieldError{Field: field, Value: value, Accept: accept})
	}
	if a.Business == "" {
		reject("business", "", "a name")
	}
	if a.Service == "" {
		reject("service", "", "a name")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		reject("address", a.Address, "host:port")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		reject("slots", strconv.Itoa(a.Slots), fmt.Sprintf("1 to %d", MaxSlots))
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		reject("connections", strconv.Itoa(a.Connections), fmt.Sprintf("1 to %d", MaxConnections))
	}
	switch a.State {
	case Cold, Ready, Draining:
	default:
		reject("state", string(a.State), "cold, ready or draining")
	}
	return invalid
}
