// Package mtheader defines the HTTP header names and paths that callers, daemons and
// backend servers use.
//
// # Usage
//
// A caller sends, to any daemon:
//
//	POST /v1/{business}/{service}/{key}/{rest...}?query
//	Request-Class: send            class of the bundle; required
//	Request-Timeout: 750ms         remaining time, a Go duration; default: the class's timeout
//	Idempotency-Key: 0191...       UUIDv7; generated if absent
//
// and receives Request-Outcome, Request-Cause (unless answered), Request-Id,
// Request-Owner (the daemon to send the next request to), Shard-Epoch, and
// Retry-After if a retry makes sense.
//
// The key is one path segment, percent-encoded; it may contain an encoded slash.
//
// A daemon sends the same method, key, rest, query and body to its backend server, as
// /{key}/{rest...}, with Request-Id, Request-Class, Shard-Epoch, Start-By and
// Deadline. The server echoes Request-Id. A server that did not run a request reports
// this by Request-Outcome: not-run and a Request-Cause.
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

// Headers that only backend servers receive. Their values are nanoseconds of the VM's
// boot-time clock, which daemon and server share. A request that was delayed past
// StartBy must not be begun, and one that is past Deadline is canceled.
const (
	StartBy  = "Start-By"
	Deadline = "Deadline"
)

// ServeUntil is set in the reply to an announcement: the time, in nanoseconds of the VM's
// boot-time clock, until which the daemon's lease is certain to be valid. A server
// that announces Grants cancels its running keyed requests after that time, unless a
// later reply or a request's StartBy has extended it.
const ServeUntil = "Serve-Until"

// Prefix is the path prefix under which callers reach services.
const Prefix = "/v1"

// AnnouncePath is the path on the daemon's local listener at which a backend server on
// the same VM announces itself, with a POST of an mtannounce.Announcement.
const AnnouncePath = "/announce"
