// Package mtcall holds a caller's HTTP request that is forwarded unchanged to a
// backend server, and the answer to it.
//
// A route determines how a call may be handled: whether it is idempotent, how long
// it may take and how urgent it is. Method, target, header and body are the concern
// of the caller and the backend server; nothing in between interprets or changes
// them.
//
// # Usage
//
//	call := &mtcall.Call{ID: id, Method: "GET", Target: "/plans/7", Service: "maps"}
//	fingerprint := call.Fingerprint() // the same for each try of one request
//
// A Call and an Answer aren't safe for concurrent use.
package mtcall

import (
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// ID is the identifier that the caller gave its request: any text of limited length.
type ID string

// MaxID is the maximum length of an identifier, in bytes.
const MaxID = 128

// Times after the deadline of a call until which its answer is awaited. A server stops work at
// the deadline and says so, and that answer has to travel. Whoever waits only until the deadline
// breaks off a server that is at work, and answers its caller up to a millisecond before the
// caller's own deadline, which a request names in whole milliseconds.
const (
	// ServerAnswerMargin is for the daemon beside the server.
	ServerAnswerMargin = 50 * time.Millisecond
	// CallerAnswerMargin is for the daemon that the caller sent the request to.
	CallerAnswerMargin = 100 * time.Millisecond
)

// Field is an HTTP header field.
type Field struct{ Name, Value string }

// Call is a caller's request with its routing properties.
type Call struct {
	ID     ID
	Method string
	Target string // path and query as received
	Host   string
	Header []Field // end-to-end fields, without those that the system sets
	Body   Body

	Service    mtid.Service
	Route      mtid.Class // name of the route, for queues and histograms
	Keyed      bool       // Key determines which server has to run the call
	Key        mtid.KeyNumber
	Idempotent bool
	// Nested is set if a backend server waits for the answer: the call is part of a
	// request that has already used other servers' time.
	Nested bool
	// Repeat is set if an earlier try reached a backend server, or if the call is part of a run
	// that was a repeat itself.
	Repeat bool
	// Claims is what the ingress daemon knows of the same request.
	Claims    mtpoison.Claims
	Priority  int             // the lowest value is the most urgent
	Objective mtclock.Instant // latency objective; zero if none
	Deadline  mtclock.Instant
	// Patience is how long the call may wait at the server's gate before it is handed back,
	// because another server may have room; zero means as long as its time allows.
	Patience time.Duration
	// Try identifies the current try, so that the daemon that sent it can withdraw it; zero if
	// it won't.
	Try mtid.TryID
	// Notice is what the daemon that sends the call knows of the server beside the daemon
	// that receives it.
	Notice mtbackend.Notice
	// The following fields are known only at the ingress.
	TypicalService time.Duration // typical service time of the route
	Arrived        mtclock.Instant
	FirstArrived   mtclock.Instant // arrival of its caller's first try
	CallerDeadline mtclock.Instant // deadline that the caller set; zero if none
	Parent         Parent          // the call that a nested one is part of
	// Announce is set if the daemon that gets the call has to be asked for room on its link
	// before the body is sent.
	Announce bool
	// Caller is the service on the VM where the request originated.
	Caller mtid.Service
	// Tries are the failed tries so far, for the logs of the ingress.
	Tries []Try
	// Search counts the servers that were passed over because they were full.
	Search SearchCounts
	// EndedBy is what ended the call, for the logs of the ingress; empty if no limit did.
	EndedBy Limit
}

// Parent is what is known of the call that a nested call is part of.
type Parent struct {
	Priority int  // the lowest value is the most urgent
	Repeat   bool // its run is a repeat, and so are the nested calls that it makes
}

// SearchCounts counts the servers that a call was not left at because they were full.
type SearchCounts struct {
	HandedBack int // servers that handed the call back
	KnownFull  int // servers that were not asked, because they had just handed back others
}

// Limit is what may end a call before it is answered.
type Limit string

// The limits of a call.
const (
	LimitCallerLeft     Limit = "caller left"
	LimitCallerDeadline Limit = "deadline of the caller"
	LimitRouteTimeout   Limit = "timeout of the route"
	LimitGracePeriod    Limit = "end of the grace period"
)

// Try describes a failed try of a call.
type Try struct {
	Daemon mtid.Daemon   `json:"daemon"`
	Cause  mtreply.Cause `json:"cause"`
	Took   time.Duration `json:"took"`
}

// Fingerprint returns a hash of the call's method, host, target and body. All tries of one
// request share it, whatever their identifiers, the daemons that took them and the services
// that their route leads to.
func (c *Call) Fingerprint() mtpoison.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	for _, segment := range c.Body {
		_, _ = d.Write(segment)
	}
	return mtpoison.Fingerprint(d.Sum64())
}

// MayCrash reports whether a call that ended with an error may have crashed its server, or was
// refused because it seems to: logs name its fingerprint then.
func (c *Call) MayCrash(err error) bool {
	var refused *mtreply.RefusedError
	return err != nil && (!errors.As(err, &refused) || refused.Cause == mtreply.CauseQuarantined)
}

// IsRetry reports whether the call is known to be a retry that its caller made.
func (c *Call) IsRetry() bool { return c.FirstArrived != 0 && c.FirstArrived < c.Arrived }

// Late reports whether the call can no longer meet its objective if it takes the given
// time from now. A nested call has no objective.
func (c *Call) Late(now mtclock.Instant, takes time.Duration) bool {
	return !c.Nested && c.Objective != 0 && now.Add(takes).After(c.Objective)
}

// Load is the load of a backend server as measured by its daemon.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// ServiceTime is the current service time of a request that usually takes a tenth
	// of a second. Only its ratio to that of other servers is significant.
	ServiceTime time.Duration
	Demand      float64 // offered load, in slots
	// Capacity is the number of slots that the server's rate limit lets it use on average;
	// zero without a limit.
	Capacity float64
	Report   mtbackend.Report // what the server reports about itself
}

// Answer is the response of the backend server.
type Answer struct {
	Status int
	Header []Field
	Body   Body
	Queued time.Duration // time in the gate's queue
	Served time.Duration // time at the server
	// Release returns the memory of the answer. Who gets the answer calls it once, when nothing
	// refers to the body any more. It may be nil.
	Release func()
}

// Free calls Release if it is set. The answer may be nil.
func (a *Answer) Free() {
	if a != nil && a.Release != nil {
		a.Release()
	}
}

// Finished reports whether the server finished the call. An error of its own only says that it
// gave the run up, for its deadline, a lost lease or a nested call that failed.
func (a *Answer) Finished() bool { return a.Status < http.StatusInternalServerError }

// OutOfTime reports whether the server stopped work on the call at its deadline.
func (a *Answer) OutOfTime() bool { return a.Status == http.StatusGatewayTimeout }
