// Package mtheader names the HTTP headers that callers, daemons and backend
// servers speak, one documented place for each piece of a request.
//
// # Usage
//
// A caller sends, to any daemon:
//
//	POST /v1/{business}/{service}/{key}/{rest...}?query
//	Request-Class: send            the class of the bundle; required
//	Request-Timeout: 750ms         time left, a Go duration; the class's if absent
//	Idempotency-Key: 0191...       UUIDv7; minted if absent
//
// and receives Request-Outcome, Request-Cause (unless answered), Request-Id,
// Request-Owner (where to ask next time), Shard-Epoch, and Retry-After where
// asking again makes sense.
//
// The key is one path segment, percent-encoded; it may hold an encoded slash.
//
// A daemon sends to its backend server the same method, key, rest, query and
// body, as /{key}/{rest...}, with Request-Id, Request-Class, Shard-Epoch,
// Start-By and Deadline. The server echoes Request-Id. It says that it did not
// run a request by Request-Outcome: not-run with a Request-Cause.
package mtheader

// Headers that callers send and receive.
const (
	Class   = "Request-Class"
	Timeout = "Request-Timeout"
	Key     = "Idempotency-Key"
	ID      = "Request-Id"
	Outcome = "Request-Outcome"
	Cause   = "Request-Cause"
	Owner   = "Request-Owner"
	Epoch   = "Shard-Epoch"
)

// Headers that only backend servers receive. Both are nanoseconds of the VM's
// boot-time clock, which daemon and server share: a request that was paused on
// its way past StartBy must not be begun, and one past Deadline is cancelled.
const (
	StartBy  = "Start-By"
	Deadline = "Deadline"
)

// Until is in the answer to an announcement: the time, in nanoseconds of the
// VM's boot-time clock, up to which the daemon's lease is certain. A server that
// announces Grants cancels the runs of keyed requests once that time has passed
// and neither a later answer nor a request's StartBy has moved it on.
const Until = "Serve-Until"

// Prefix is the path under which callers reach services.
const Prefix = "/v1"

// AnnouncePath is where a backend server announces itself to the daemon on its
// VM, on the local listener, with a POST of an mtannounce.Announcement.
const AnnouncePath = "/announce"
