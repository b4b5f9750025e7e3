// Package mtcall is a caller's HTTP request that is passed on unchanged to a
// backend server, and the answer on its way back.
//
// A route decides what may be done with a call: whether it is idempotent, how
// long it may take and how urgent it is. Method, target, header and body belong
// to caller and backend server, and nobody in between reads or changes them.
//
// # Usage
//
//	call := &mtcall.Call{ID: id, Method: "GET", Target: "/plans/7", Service: "maps"}
//	print := call.Print() // the same for each try of one request
//
// A Call and an Answer are values that one goroutine at a time may change.
package mtcall

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// ID is the identifier that the caller gave its request: any bounded text.
type ID string

// MaxID is the longest identifier that is passed on, in bytes.
const MaxID = 128

// Field is one header field.
type Field struct{ Name, Value string }

// Call is one request.
type Call struct {
	ID     ID
	Method string
	Target string // path and query as received
	Host   string
	Header []Field // end to end, less those that the system sets
	Body   []byte

	Service    mtid.Service
	Route      mtid.Class // names the route, for queues and histograms
	Keyed      bool       // Key tells which server has to run it
	Key        mtid.KeyNumber
	Idempotent bool
	// Nested says that a backend server waits for it: it is part of a request
	// that has used other servers' time already.
	Nested bool
	Repeat bool // an earlier try reached a backend server
	// Proven says that a server has answered the same request before, as the daemon
	// that the caller asked remembers: it is not one that crashes its servers.
	Proven    bool
	Priority  int // the lowest is the most urgent
	Objective mtclock.Instant
	Deadline  mtclock.Instant
	// The following are known at the ingress only.
	Usual   time.Duration // that calls of its route run
	Arrived mtclock.Instant
	First   mtclock.Instant // arrival of its caller's first try
	Given   mtclock.Instant // the deadline that its caller gave; zero if none
	// Caller is the service on the VM where the request began.
	Caller mtid.Service
	// Tries are the failed ones so far, for the logs of the ingress.
	Tries []Try
}

// Try is a try that failed.
type Try struct {
	Daemon mtid.Daemon   `json:"daemon"`
	Cause  mtreply.Cause `json:"cause"`
	Took   time.Duration `json:"took"`
}

// Print returns a hash of everything that the backend server sees but the
// identifier: two tries of one request share it, whatever identifier they
// carry.
func (c *Call) Print() mtpoison.Print {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(c.Service), string(c.Caller), c.Method, c.Host, c.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(c.Body)
	return mtpoison.Print(d.Sum64())
}

// Second reports whether the call is known to be a second try of its caller.
func (c *Call) Second() bool { return c.First != 0 && c.First < c.Arrived }

// Late reports whether the call can't meet its objective any more if it takes so
// long. A nested call has none of its own.
func (c *Call) Late(now mtclock.Instant, takes time.Duration) bool {
	return !c.Nested && c.Objective != 0 && now.Add(takes).After(c.Objective)
}

// Load is how loaded a backend server is, as its daemon counts it.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Service is how long a request takes there that usually takes a tenth of a
	// second. Only its ratio to that of other servers counts.
	Service time.Duration
	Demand  float64 // offered work, in slots
}

// Answer is what the backend server said.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
	Queued time.Duration // at the gate of the server
	Served time.Duration // at the server
	// Slowness is how long work takes on the server's machine at the moment, as a multiple
	// of what is usual; zero if the server does not tell. It is known beside the server only.
	Slowness float64
}
