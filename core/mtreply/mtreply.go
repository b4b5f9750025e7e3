// Package mtreply defines the outcomes of requests and the causes that are reported
// to callers.
//
// There are three outcomes, which must never be confused. Answered: the caller gets the
// complete reply of the backend server to this very request. NotRun: it is certain
// that no backend server began the request, so that it is safe to send again.
// Unknown: the request may have run, or may still be running.
//
// # Usage
//
//	return &mtreply.RefusedError{Cause: mtreply.CauseQueueFull, RetryAfter: time.Second}
//
// A *RefusedError always means NotRun; an *UnknownError always means Unknown. Any
// other error on the path of a request counts as Unknown, since NotRun requires a
// proof.
package mtreply

import (
	"fmt"
	"time"

	"magnoliaturn/core/mtid"
)

// Outcome is what is known about a request when its caller gets the reply.
type Outcome string

// The outcomes. See the package comment.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
)

// Cause is the reason why a request was refused or its outcome is unknown. Its text
// appears in replies, counters and logs.
type Cause string

// The causes of the NotRun outcome.
const (
	CauseMalformed   Cause = "malformed"   // invalid request; a retry is useless
	CauseNoService   Cause = "no-service"  // no bundle defines the service or class
	CauseNoOwner     Cause = "no-owner"    // the key currently has no owner
	CauseStaleRoute  Cause = "stale-route" // sent to a daemon that isn't the owner
	CauseNoLease     Cause = "no-lease"    // the owner has no valid lease now
	CauseMoving      Cause = "moving"      // the shard is moving, and the request could not wait
	CauseUnreachable Cause = "unreachable" // never sent: no connection to the owner
	CauseQueueFull   Cause = "queue-full"  // the class's queue is full
	CauseShed        Cause = "shed"        // gave way to more important work
	CauseBusy        Cause = "busy"        // handed back to the daemon that sent it, since it would wait too long
	CauseExpired     Cause = "expired"     // the deadline passed before the request was begun
	CauseLimited     Cause = "limited"     // over the rate limit of the business or class
	CauseDraining    Cause = "draining"    // the backend server is being drained
	CauseNoServer    Cause = "no-server"   // this daemon has no backend server in operation
	CauseFenced      Cause = "fenced"      // the backend server refused the epoch or start-by time
	CauseRefused     Cause = "refused"     // the backend server reported that it was not run
	CauseQuarantined Cause = "quarantined" // found to crash backend servers
	CauseUnconfirmed Cause = "unconfirmed" // may crash its server, and no other daemon could record its run
	CauseRecentFull  Cause = "recent-full" // no capacity left to remember the request identifier
	CauseSkew        Cause = "skew"        // the identifier's time is too far in the future
	CauseTooLarge    Cause = "too-large"   // the body exceeds the size limit
	CauseStopping    Cause = "stopping"    // this daemon is shutting down
	CauseWithdrawn   Cause = "withdrawn"   // taken back by the daemon that sent it, which is shutting down
	CauseQuota       Cause = "quota"       // over the rate limit that the backend server names
	CauseZoneOut     Cause = "zone-out"    // the server's availability zone is out of service
	CauseOutdated    Cause = "outdated"    // other daemons have a later configuration than the one that this daemon has
	CauseLinkFull    Cause = "link-full"   // the server's network link has no room for the body
	CauseMemoryFull  Cause = "memory-full" // a daemon on the way has no memory for the body
)

// The causes of the Unknown outcome.
const (
	CauseLost      Cause = "lost"       // connection lost after the request was sent
	CauseTimeout   Cause = "timeout"    // deadline passed after the request was sent
	CauseTruncated Cause = "truncated"  // the reply was incomplete or for another request
	CauseTakenOver Cause = "taken-over" // sent before a takeover; may have run at the lost owner
	CauseEarlier   Cause = "earlier"    // an earlier try with this identifier has an unknown outcome
	CauseGone      Cause = "gone"       // the caller canceled the request
)

// RefusedError means that a request was not run.
type RefusedError struct {
	Cause Cause
	// RetryAfter is the time after which a retry makes sense. Zero means at once, and
	// a negative value means never.
	RetryAfter time.Duration
	// Detail is for human readers. For malformed input it names the field and its
	// valid range.
	Detail string
	// Owner is the daemon of the key's current owner, if the refusing daemon knows
	// that it is another one. Epoch is the next epoch of the assignment on which this
	// is based.
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

// UnknownError means that a request may have run.
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

// Unwrap returns the error, if any, that left the outcome unknown.
func (e *UnknownError) Unwrap() error { return e.Err }
