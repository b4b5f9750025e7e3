// Package mtreply says what a caller is told: the outcome of a request, never
// blurred, and the typed cause of a refusal.
//
// There are three outcomes. Answered: the whole reply of the backend server to
// this very request. NotRun: proved that no backend server began it, so it is
// safe to send again. Unknown: it may have run, or may be running still.
//
// # Usage
//
//	return &mtreply.RefusedError{Cause: mtreply.CauseQueueFull, RetryAfter: time.Second}
//
// A RefusedError always means NotRun; an *UnknownError always means Unknown.
// Any other error on the path of a request counts as Unknown, since only a
// proof allows NotRun.
package mtreply

import (
	"fmt"
	"time"

	"magnoliaturn/core/mtid"
)

// Outcome is what is known about a request when the caller hears of it.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// Cause tells why a request was refused or its outcome is unknown. The words
// appear in replies, counters and logs alike.
type Cause string

// The causes of a NotRun outcome.
const (
	CauseMalformed   Cause = "malformed"   // bad input; asking again won't help
	CauseNoService   Cause = "no-service"  // no bundle names the service or class
	CauseNoOwner     Cause = "no-owner"    // nobody owns the key at present
	CauseStaleRoute  Cause = "stale-route" // asked a daemon that is not the owner
	CauseNoLease     Cause = "no-lease"    // the owner may not serve right now
	CauseMoving      Cause = "moving"      // the shard moved, and the wait outlived the deadline
	CauseUnreachable Cause = "unreachable" // never sent: no connection to the owner
	CauseQueueFull   Cause = "queue-full"  // the class's queue is full
	CauseShed        Cause = "shed"        // gave way to more important work
	CauseExpired     Cause = "expired"     // deadline passed before it was begun
	CauseLimited     Cause = "limited"     // over the business's or class's limit
	CauseDraining    Cause = "draining"    // the backend server is leaving
	CauseNoServer    Cause = "no-server"   // no backend server is announced here
	CauseFenced      Cause = "fenced"      // the backend server refused the epoch or start-by time
	CauseRefused     Cause = "refused"     // the backend server said that it did not run it
	CauseQuarantined Cause = "quarantined" // suspected of crashing backend servers
	CauseRecentFull  Cause = "recent-full" // no room to remember the request identifier
	CauseSkew        Cause = "skew"        // identifier from further in the future than allowed
	CauseTooLarge    Cause = "too-large"   // body over the limit
	CauseStopping    Cause = "stopping"    // this daemon is shutting down
	CauseZoneOut     Cause = "zone-out"    // the server's availability zone is out of service
)

// The causes of an Unknown outcome.
const (
	CauseLost      Cause = "lost"       // connection lost after the request was sent
	CauseTimeout   Cause = "timeout"    // deadline passed after the request was sent
	CauseTruncated Cause = "truncated"  // the reply was incomplete or not for this request
	CauseTakenOver Cause = "taken-over" // sent before a takeover; may have run at the lost owner
	CauseEarlier   Cause = "earlier"    // an earlier try with this identifier has an unknown outcome
	CauseGone      Cause = "gone"       // the caller went away
)

// RefusedError says that a request was not run, and why.
type RefusedError struct {
	Cause Cause
	// RetryAfter is when it makes sense to ask again. Zero means at once, and
	// a negative value means never.
	RetryAfter time.Duration
	// Detail is for people; it names the field and range for malformed input.
	Detail string
	// Owner is the daemon beside the present owner of the key, where the one that
	// refused knows of another, and Epoch the next one of the assignment by which
	// it goes.
	Owner mtid.Daemon
	Epoch mtid.Epoch
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("not run: %s", e.Cause)
	}
	return fmt.Sprintf("not run: %s: %s", e.Cause, e.Detail)
}

// UnknownError says that a request may have run.
type UnknownError struct {
	Cause Cause
	Err   error
}

// Error implements error.
func (e *UnknownError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("outcome unknown: %s", e.Cause)
	}
	return fmt.Sprintf("outcome unknown: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
