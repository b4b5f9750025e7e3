// Package mtrollout stores the bundles of the businesses in the platform's store:
// proposals, signatures, acceptance and history. mtbundle.Lifecycle decides which
// changes are permitted; this package reads, writes by compare-and-swap, and
// determines the outcome of writes whose response was lost.
//
// # Usage
//
//	rollout := mtrollout.New(store, holder, roots)
//	draft, err := rollout.Propose(ctx, time.Now(), "ratins", "ilze", text)
//	draft, err = rollout.Sign(ctx, "ratins", draft.Version, digest, signature)
//	bundle, err := rollout.Accept(ctx, time.Now(), "ratins", draft.Version, digest, "janis")
//
// All calls are idempotent: a call that is repeated with the same arguments changes
// nothing. Errors are those of mtbundle.Lifecycle, those of mtstore if nothing was
// written, and *OutcomeUnknownError if a write may have taken effect. All methods are
// safe for concurrent use, also from several daemons.
//
// # Writes with an unknown outcome
//
// A swap whose response is lost may have been applied, or may be applied later. The
// same change is then computed again from the stored state, and swapped in if the
// version is still the expected one. Of two writes that expect the same version, only
// one can be applied. In either case the next read returns the change, or a newer
// version by another writer, after which the lost write can no longer be applied.
package mtrollout

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtduty"
)

// maxRounds limits the attempts of one call. An attempt fails because of a concurrent
// write or a lost response.
const maxRounds = 8

// retryDelay is the delay before another attempt after the store did not respond.
const retryDelay = 50 * time.Millisecond

// OutcomeUnknownError reports that a change may have been applied to the store, or
// may still be. Repeating the call determines the outcome.
type OutcomeUnknownError struct {
	Op       string
	Business mtid.Business
	Err      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("rollout: %s for %s may have taken effect; repeat the same request to find out: %v", e.Op, e.Business, e.Err)
}

// Unwrap returns the error of the last write whose outcome is unknown.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// RaceError reports that every attempt lost to a concurrent write of the same value.
// Nothing was written.
type RaceError struct {
	Op       string
	Business mtid.Business
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("rollout: %s for %s lost %d rounds to other writers", e.Op, e.Business, maxRounds)
}

// NotRetainedError reports that a version of a bundle is not retained.
type NotRetainedError struct {
	Business mtid.Business
	Version  mtid.Version
}

// Error implements error.
func (e *NotRetainedError) Error() string {
	return fmt.Sprintf("rollout: version %d of %s is not kept; the last %d are", e.Version, e.Business, mtstore.RetainedBundles)
}

// Rollout reads and changes the bundles of all businesses.
type Rollout struct {
	store    mtstore.Store
	writer   func() mtid.Holder
	roots    map[mtid.Business]mtbundle.Authority
	sequence atomic.Uint64
}

// New returns a rollout on store. writer returns the current incarnation of the
// daemon that writes. roots are the authorities that sign the first bundles of
// businesses; it may be nil.
func New(store mtstore.Store, writer func() mtid.Holder, roots map[mtid.Business]mtbundle.Authority) *Rollout {
	return &Rollout{store: store, writer: writer, roots: roots}
}

// state is the stored state of one business.
type state struct {
	lifecycle *mtbundle.Lifecycle
	inForce   mtstore.Entry
	drafts    mtstore.Entry
}

// Lifecycle returns the bundle in force and the open proposals of a business, and
// the store's version of the proposals.
func (r *Rollout) Lifecycle(ctx context.Context, business mtid.Business) (*mtbundle.Lifecycle, mtid.Version, error) {
	s, err := r.read(ctx, business)
	if err != nil {
		return nil, 0, err
	}
	return s.lifecycle, s.drafts.Version, nil
}

// read reads the proposals before the bundle in force: if a proposal is accepted in
// between, the bundle is newer, and the proposal does not count as open. In the
// opposite order, an accepted proposal could be returned as open.
func (r *Rollout) read(ctx context.Context, business mtid.Business) (*state, error) {
	drafts, err := r.get(ctx, mtstore.DraftName(business))
	if err != nil {
		return nil, err
	}
	live, err := r.get(ctx, mtstore.BundleName(business))
	if err != nil {
		return nil, err
	}
	s := &state{lifecycle: &mtbundle.Lifecycle{Business: business}, inForce: live, drafts: drafts}
	if s.lifecycle.Drafts, err = mtbundle.DecodeDrafts(drafts.Value); err != nil {
		return nil, err
	}
	if root, ok := r.roots[business]; ok {
		s.lifecycle.Root = &root
	}
	if live.Version == 0 {
		return s, nil
	}
	s.lifecycle.InForce, err = mtbundle.DecodeStored(live.Value)
	return s, err
}

// get returns an entry, or one with version zero if the name has no value. A read
// whose response was lost is returned as an *mtstore.UnavailableError, since it
// changed nothing: it must not make the outcome of a write count as unknown.
func (r *Rollout) get(ctx context.Context, name string) (mtstore.Entry, error) {
	entry, err := r.store.Get(ctx, name)
	var missing *mtstore.NotFoundError
	if errors.As(err, &missing) {
		return mtstore.Entry{Name: name}, nil
	}
	var unknown *mtstore.UnknownError
	if errors.As(err, &unknown) {
		return mtstore.Entry{}, &mtstore.UnavailableError{Op: "get " + name, Err: err}
	}
	return entry, err
}

// Propose adds a proposal. If the same text was proposed before, Propose returns the
// existing proposal.
func (r *Rollout) Propose(ctx context.Context, now time.Time, business mtid.Business, proposer string, text []byte) (*mtbundle.Stored, error) {
	return r.changeDrafts(ctx, "propose", business, func(l *mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error) {
		return l.Propose(now, proposer, text)
	})
}

// Sign adds a signature to an open proposal.
func (r *Rollout) Sign(ctx context.Context, business mtid.Business, version mtid.Version, digest string, sig mtbundle.Signature) (*mtbundle.Stored, error) {
	return r.changeDrafts(ctx, "sign", business, func(l *mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error) {
		return l.Sign(version, digest, sig)
	})
}

// draftChange returns all proposals after a change, and the one that it changed.
type draftChange func(*mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error)

// changeDrafts applies a change to the proposals of a business and stores the result.
func (r *Rollout) changeDrafts(ctx context.Context, op string, business mtid.Business, apply draftChange) (*mtbundle.Stored, error) {
	var result *mtbundle.Stored
	err := r.retry(ctx, op, business, func(s *state) (bool, error) {
		drafts, draft, err := apply(s.lifecycle)
		if err != nil {
			return false, err
		}
		result = draft
		value, err := mtbundle.EncodeDrafts(drafts)
		if err != nil {
			return false, err
		}
		if string(value) == string(s.drafts.Value) {
			return true, nil
		}
		_, err = r.store.Swap(ctx, s.drafts.Name, s.drafts.Version, value, "")
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// Accept puts an open proposal in force. If it is already in force, Accept returns
// it. If another bundle was accepted instead, Accept fails with a
// *mtbundle.ConflictError that identifies it.
func (r *Rollout) Accept(ctx context.Context, now time.Time, business mtid.Business, version mtid.Version, digest, accepter string) (*mtbundle.Stored, error) {
	writeID := mtroster.WriteID{Writer: r.writer(), Sequence: r.sequence.Add(1)}
	var result *mtbundle.Stored
	err := r.retry(ctx, "accept", business, func(s *state) (bool, error) {
		next, done, err := s.lifecycle.Accept(now, version, digest, accepter, writeID)
		result = next
		if err != nil || done {
			return done, err
		}
		value, err := next.Encode()
		if err != nil {
			return false, err
		}
		if err := r.archive(ctx, s.lifecycle.InForce, s.inForce.Value); err != nil {
			return false, err
		}
		_, err = r.store.Swap(ctx, s.inForce.Name, s.inForce.Version, value, "")
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// archive stores a copy of the bundle that is about to be replaced. It is called
// before the replacement, so that the history never has a gap: a crash between the
// two leaves a copy of the bundle that is still in force.
func (r *Rollout) archive(ctx context.Context, previous *mtbundle.Stored, value []byte) error {
	if previous == nil {
		return nil
	}
	entry, err := r.get(ctx, mtstore.PastBundleName(previous.Business, previous.Version))
	if err != nil {
		return err
	}
	if archived, err := mtbundle.DecodeStored(entry.Value); err == nil && archived.Version >= previous.Version {
		return nil
	}
	_, err = r.store.Swap(ctx, entry.Name, entry.Version, value, "")
	return err
}

// retry reads the state and executes step until it is done or fails permanently. It
// retries after conflicts and lost responses. Once a response was lost, an
// unavailable store no longer proves that nothing was written, so it is retried too.
func (r *Rollout) retry(ctx context.Context, op string, business mtid.Business, step func(*state) (bool, error)) error {
	var unknownErr error
	for range maxRounds {
		done, err := r.attempt(ctx, business, step)
		if done {
			return nil
		}
		var conflict *mtstore.ConflictError
		var unknown *mtstore.UnknownError
		var unavailable *mtstore.UnavailableError
		switch {
		case errors.As(err, &conflict):
			continue
		case errors.As(err, &unknown):
			unknownErr = err
		case errors.As(err, &unavailable) && unknownErr != nil:
		default:
			return err
		}
		if !mtduty.Sleep(ctx, retryDelay) {
			break
		}
	}
	if unknownErr != nil {
		return &OutcomeUnknownError{Op: op, Business: business, Err: unknownErr}
	}
	return &RaceError{Op: op, Business: business}
}

func (r *Rollout) attempt(ctx context.Context, business mtid.Business, step func(*state) (bool, error)) (bool, error) {
	s, err := r.read(ctx, business)
	if err != nil {
		return false, err
	}
	return step(s)
}

// Version returns the bundle in force or a previous version of it. It fails with a
// *NotRetainedError if the version is not retained.
func (r *Rollout) Version(ctx context.Context, business mtid.Business, version mtid.Version) (*mtbundle.Stored, error) {
	for _, name := range []string{mtstore.BundleName(business), mtstore.PastBundleName(business, version)} {
		entry, err := r.get(ctx, name)
		if err != nil {
			return nil, err
		}
		stored, err := mtbundle.DecodeStored(entry.Value)
		if err == nil && entry.Version > 0 && stored.Version == version {
			return stored, nil
		}
	}
	return nil, &NotRetainedError{Business: business, Version: version}
}

// History returns up to limit retained versions that are older than before, newest
// first, and the value of before for the next page, which is 0 on the last page. With
// before 0, it starts at the version in force. Each version takes one store read.
func (r *Rollout) History(ctx context.Context, business mtid.Business, before mtid.Version, limit int) ([]*mtbundle.Stored, mtid.Version, error) {
	entry, err := r.get(ctx, mtstore.BundleName(business))
	if err != nil || entry.Version == 0 {
		return nil, 0, err
	}
	inForce, err := mtbundle.DecodeStored(entry.Value)
	if err != nil {
		return nil, 0, err
	}
	var page []*mtbundle.Stored
	version := inForce.Version
	if before > 0 {
		version = min(version, before-1)
	}
	for ; version > 0 && inForce.Version-version < mtstore.RetainedBundles; version-- {
		if len(page) == limit {
			return page, version + 1, nil
		}
		stored := inForce
		if version != inForce.Version {
			stored, err = r.previousVersion(ctx, business, version)
		}
		if err != nil {
			return nil, 0, err
		}
		page = append(page, stored)
	}
	return page, 0, nil
}

func (r *Rollout) previousVersion(ctx context.Context, business mtid.Business, version mtid.Version) (*mtbundle.Stored, error) {
	entry, err := r.get(ctx, mtstore.PastBundleName(business, version))
	if err != nil {
		return nil, err
	}
	stored, err := mtbundle.DecodeStored(entry.Value)
	if err != nil {
		return nil, err
	}
	if stored.Version != version {
		return nil, &NotRetainedError{Business: business, Version: version}
	}
	return stored, nil
}
