// Package mtstore defines the interface to the platform's key-value store: get,
// compare-and-swap, leases and watches, with errors that distinguish the three
// ways in which a call can fail.
//
// The distinction matters for safety. A *ConflictError proves that nothing was
// written. An *UnknownError proves nothing: the write may have been applied, or may
// still be applied later. An *UnavailableError proves that the store did not accept
// the call.
//
// # Usage
//
//	version, err := store.Swap(ctx, "live/bundle/ratins", expected, value, "")
//	var conflict *mtstore.ConflictError
//	if errors.As(err, &conflict) { ... conflict.Current ... }
//
// The implementations are in io/mtstore. All of them pass the same contract tests.
package mtstore

import (
	"context"
	"fmt"
	"time"

	"magnoliaturn/core/mtid"
)

// MaxValue is the largest value that the platform's store accepts, in bytes.
const MaxValue = 1 << 20

// LeaseID identifies a lease of the store. The empty LeaseID means no lease.
type LeaseID string

// Entry is a named value. Watches report a deleted name as an Entry with a zero
// Version and no Value.
type Entry struct {
	Name     string
	Value    []byte
	Version  mtid.Version  // number of writes of this name, from 1
	Revision mtid.Revision // revision of the store that wrote this version
	Origin   Origin
	Lease    LeaseShown `json:"-"` // not passed on to other daemons
	LeaseID  LeaseID    `json:"-"` // as the store spells it in answers; empty if it shows none. Not passed on either
}

// LeaseShown is what the store has shown of the lease of an entry.
type LeaseShown uint8

// What the store shows of a lease.
const (
	LeaseUnknown LeaseShown = iota // nothing, or the entry was not read from the store
	Unleased                       // the entry was written without one
	Leased                         // the entry ends with a lease
)

// Changes is the result of a watch: the newest version of each name that changed
// after the requested revision, in order of Revision.
type Changes struct {
	Entries []Entry
	// Revision is the frontier: every change up to it is in Entries or not
	// after the requested revision.
	Revision mtid.Revision
	// More is set if the result was truncated at the store's size limit. The
	// next watch after Revision continues it.
	More bool
}

// Store is the platform's key-value store. All methods are safe for concurrent use
// and honour the deadline of the context. No decision may rely on a store lease
// alone, since it can expire while its holder is paused.
type Store interface {
	// Get returns the entry with a name. It fails with a *NotFoundError if there
	// is none.
	Get(ctx context.Context, name string) (Entry, error)
	// Swap writes value under name if the name is still at the expected version
	// (0: it must not exist), and returns the new version. It fails with a
	// *ConflictError, *UnknownError, *UnavailableError or *RejectedError, or
	// with a *LeaseExpiredError if the lease no longer exists.
	Swap(ctx context.Context, name string, expected mtid.Version, value []byte, lease LeaseID) (mtid.Version, error)
	// Watch waits up to wait for a change after a revision to a name with the
	// prefix, and returns all such changes. After revision 0 it returns the whole
	// current state immediately. If nothing changes in time, it returns no entries.
	Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (Changes, error)
	// Grant creates a lease. Entries written under it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It fails with a *LeaseExpiredError if the lease has expired.
	Renew(ctx context.Context, lease LeaseID) error
}

// Condition is a precondition of SwapIf: the name must be at the version, or must
// not exist if the version is 0.
type Condition struct {
	Name    string
	Version mtid.Version
}

// Put is an entry that Commit writes.
type Put struct {
	Name  string
	Value []byte
	Lease LeaseID
}

// MaxConditions is the maximum number of conditions of SwapIf. The platform's store
// accepts 32 entries in a transaction, and the written name needs two of them: one for
// its expected version and one for its new value.
const MaxConditions = 30

// MaxEntries is the maximum number of conditions and puts of Commit together.
const MaxEntries = MaxConditions + 2

// ConditionalStore is a Store that can also write a name atomically under conditions
// on other names, and end leases. A takeover from a lost process must check that the
// process is still lost in the same transaction that writes the new owner, since
// between two transactions the process could return and become owner again.
//
// A ConditionalStore uses its revisions as versions, so that versions of different
// names can be compared: the higher one was written later.
//
// It may come back from an older copy, which begins an era. Versions and revisions carry the era
// of the answer that named them: all entries have higher ones in the next era. A condition, a
// lease or a watch of an earlier era fails with a *ConflictError, a *LeaseExpiredError or a
// *CompactedError, and an answer of an earlier era is none.
type ConditionalStore interface {
	Store
	// Era returns the newest era that any answer has named.
	Era() mtid.Era
	// SwapIf is Swap with up to MaxConditions additional conditions. It fails like
	// Swap. A *ConflictError names the first condition that does not hold.
	SwapIf(ctx context.Context, conditions []Condition, name string, expected mtid.Version, value []byte, lease LeaseID) (mtid.Version, error)
	// Commit writes all puts atomically if all conditions hold, MaxEntries of both at most,
	// and returns the version that the puts share. It fails like SwapIf.
	Commit(ctx context.Context, conditions []Condition, puts ...Put) (mtid.Version, error)
	// End ends a lease and deletes everything that was written under it. It
	// succeeds if the lease has already expired.
	End(ctx context.Context, lease LeaseID) error
}

// CompactedError reports that the store no longer has the changes after the
// revision that a watch requested. The watcher has to read the whole state again;
// names that are missing from it were deleted.
type CompactedError struct{ After mtid.Revision }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: changes after revision %d are forgotten", e.After)
}

// NotFoundError reports that a name does not exist in the store.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s does not exist", e.Name) }

// ConflictError reports that a swap was rejected because the name was not at the
// expected version: the write was not applied and never will be.
type ConflictError struct {
	Name     string
	Expected mtid.Version
	Current  Entry // the entry in the store; may be empty if the name does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s is at version %d, not %d", e.Name, e.Current.Version, e.Expected)
}

// UnknownError reports that a call was sent and no response was received: a write
// may have been applied, or may still be applied later.
type UnknownError struct {
	Op   string
	Name string
	Err  error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: outcome of %s %s is unknown: %v", e.Op, e.Name, e.Err)
}

// Unwrap returns the error with which the call ended.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError reports that the store did not accept a call: nothing was done.
type UnavailableError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: not available for %s: %v", e.Op, e.Err)
}

// Unwrap returns the error that kept the call from reaching the store.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LeaseExpiredError reports that a lease has expired or was ended.
type LeaseExpiredError struct{ Lease LeaseID }

// Error implements error.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("store: lease %s lapsed", e.Lease)
}

// RejectedError reports that the store rejected a call as invalid, for example
// because the value exceeds MaxValue: nothing was done, and a retry will fail again.
type RejectedError struct {
	Op     string
	Reason string
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("store: %s rejected: %s", e.Op, e.Reason) }
