// Package mtstore is what the system asks of the platform's key-value store:
// get, compare-and-swap, lease and watch, with errors that keep apart the three
// ways in which a call can fail.
//
// The distinction matters for safety. A *ConflictError proves that nothing was
// written. An *UnknownError proves nothing: the write may have landed, or may
// land later. An *UnavailableError proves that the store never took the call.
//
// # Usage
//
//	version, err := store.Swap(ctx, "live/bundle/ratins", expected, value, "")
//	var conflict *mtstore.ConflictError
//	if errors.As(err, &conflict) { ... conflict.Current ... }
//
// Implementations live in io/mtstore; each passes the same contract tests.
package mtstore

import (
	"context"
	"fmt"
	"time"

	"magnoliaturn/core/mtid"
)

// MaxValue is the largest value that the platform's store takes, in bytes.
const MaxValue = 1 << 20

// LeaseID names a lease of the store. The empty one means none.
type LeaseID string

// Entry is one named value. A zero Version with no Value is a name that was
// deleted, which watches report.
type Entry struct {
	Name     string
	Value    []byte
	Version  mtid.Version  // writes of this name, from 1
	Revision mtid.Revision // of the store when this version was written
}

// Changes is what a watch returns: the newest version of each name that
// changed after the revision that was asked for, in order of Revision.
type Changes struct {
	Entries []Entry
	// Revision is the frontier: every change up to it is in Entries or was
	// known to the watcher before.
	Revision mtid.Revision
	// More says that the answer was cut at the store's size limit; the next
	// watch from Revision continues it.
	More bool
}

// Store is the platform's store. All methods are safe for concurrent use, and
// honour the context's deadline. No decision may rest on a store lease alone:
// it can lapse while its holder is paused.
type Store interface {
	// Get returns the entry with that name, or a *MissingError.
	Get(ctx context.Context, name string) (Entry, error)
	// Swap writes value under name if its version is still expected (0: the
	// name must not exist) and returns the new version. It fails with a
	// *ConflictError, *UnknownError, *UnavailableError or *RejectedError, or
	// with a *LapsedError if the lease no longer exists.
	Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease LeaseID) (mtid.Version, error)
	// Watch waits up to wait for a change to a name with that prefix after the
	// revision, and returns all such changes. From revision 0 it returns the
	// whole present state at once. With no change in time it returns none.
	Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (Changes, error)
	// Grant makes a lease; entries written with it vanish when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease, or fails with a *LapsedError.
	Renew(ctx context.Context, lease LeaseID) error
}

// Condition is what has to hold of a name for a guarded write: its version, or
// that it does not exist (version 0).
type Condition struct {
	Name    string
	Version mtid.Version
}

// MostConditions is how many conditions a guarded write may have. The users' store
// takes 32 entries in one step, and the written name is two of them: what is
// expected of it and what is put there.
const MostConditions = 30

// Guarded is a Store that writes one name under conditions on others, all or
// nothing, and ends leases. Whoever takes over from a lost process has to write
// in one step with the proof that it is still lost: between two steps it could
// come back and be owner again.
//
// The versions of a Guarded store are its revisions, so that those of different
// names can be compared: the higher one was written later.
type Guarded interface {
	Store
	// SwapIf is Swap under further conditions, MostConditions of them at most. It
	// fails like Swap; a *ConflictError names the first of the conditions that does not hold.
	SwapIf(ctx context.Context, conditions []Condition, name string, expected mtid.Version, value []byte, lease LeaseID) (mtid.Version, error)
	// End ends a lease, with everything that was written under it. A lease that
	// is gone already is no failure.
	End(ctx context.Context, lease LeaseID) error
}

// CompactedError says that the changes after the revision that a watch asked for
// are forgotten. The watcher has to read everything again, and what it no longer
// finds then was deleted.
type CompactedError struct{ After mtid.Revision }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are forgotten", e.After)
}

// MissingError says that the name has no value.
type MissingError struct{ Name string }

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("store: %s does not exist", e.Name) }

// ConflictError says that a swap was refused since the version had moved on:
// the write did not take effect and never will.
type ConflictError struct {
	Name     string
	Expected mtid.Version
	Current  Entry // what won; may be empty if the name does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at version %d, not %d", e.Name, e.Current.Version, e.Expected)
}

// UnknownError says that a call was sent and no answer came back: a write may
// have taken effect, or may still do so later.
type UnknownError struct {
	Op   string
	Name string
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: outcome of %s %s is unknown: %v", e.Op, e.Name, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError says that the store did not take the call: nothing was done.
type UnavailableError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: not available for %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LapsedError says that a lease no longer exists.
type LapsedError struct{ Lease LeaseID }

// Error implements error.
func (e *LapsedError) Error() string { return fmt.Sprintf("store: lease %s lapsed", e.Lease) }

// RejectedError says that the store refused a call as malformed, for example a
// value over MaxValue: nothing was done, and asking again won't help.
type RejectedError struct {
	Op     string
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("store: %s rejected: %s", e.Op, e.Reason) }
