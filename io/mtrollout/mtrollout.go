// Package mtrollout keeps the bundles of the businesses in the platform's
// store: proposals, signatures, acceptance and history. What may happen is
// decided by mtbundle.Lifecycle; this package reads, writes by compare-and-swap and
// settles writes whose answer was lost.
//
// # Usage
//
//	rollout := mtrollout.New(store, holder, roots)
//	draft, err := rollout.Propose(ctx, time.Now(), "ratins", "ilze", text)
//	draft, err = rollout.Sign(ctx, "ratins", draft.Version, digest, signature)
//	bundle, err := rollout.Accept(ctx, time.Now(), "ratins", draft.Version, digest, "janis")
//
// Each call may be repeated with the same arguments, and then changes nothing.
// Errors are those of mtbundle.Lifecycle, those of mtstore where nothing was
// written, and *DoubtError where something may have been. All methods are safe
// for concurrent use, also from several daemons.
//
// # Writes in doubt
//
// A swap whose answer is lost may have landed, or may land later. The same
// change is then worked out anew from what the store holds and swapped in where
// the version is still the expected one. Of two writes that expect the same
// version only one can land. Either way the next read shows the change, or a
// version that another writer moved on, after which the lost write can't land.
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

// tries bounds the rounds of one call: each is lost to a racing writer or to a
// lost answer.
const tries = 8

// pause is how long a call waits before it asks a store again that gave no
// answer.
const pause = 50 * time.Millisecond

// DoubtError says that a change may be in the store, or may still get there.
// Repeating the call settles it.
type DoubtError struct {
	Op       string
	Business mtid.Business
	Err      error
}

// Error implements error.
func (e *DoubtError) Error() string {
	return fmt.Sprintf("rollout: %s for %s may have taken effect; repeat the same request to find out: %v", e.Op, e.Business, e.Err)
}

// Unwrap returns the cause.
func (e *DoubtError) Unwrap() error { return e.Err }

// RaceError says that other writers changed the same value in every round:
// nothing was written.
type RaceError struct {
	Op       string
	Business mtid.Business
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("rollout: %s for %s lost %d rounds to other writers", e.Op, e.Business, tries)
}

// PageError says that a version of the history is not kept.
type PageError struct {
	Business mtid.Business
	Version  mtid.Version
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("rollout: version %d of %s is not kept; the last %d are", e.Version, e.Business, mtstore.RetainedBundles)
}

// Rollout works on the bundles of all businesses.
type Rollout struct {
	store    mtstore.Store
	writer   func() mtid.Holder
	roots    map[mtid.Business]mtbundle.Authority
	sequence atomic.Uint64
}

// New returns a rollout on store. writer returns the life of the daemon that
// writes; roots say who signs first bundles and may be nil.
func New(store mtstore.Store, writer func() mtid.Holder, roots map[mtid.Business]mtbundle.Authority) *Rollout {
	return &Rollout{store: store, writer: writer, roots: roots}
}

// state is what the store holds of one business.
type state struct {
	life   *mtbundle.Lifecycle
	live   mtstore.Entry
	drafts mtstore.Entry
}

// Life returns the bundle in force and the open proposals of a business, and
// the store's version of the proposals.
func (r *Rollout) Life(ctx context.Context, business mtid.Business) (*mtbundle.Lifecycle, mtid.Version, error) {
	s, err := r.read(ctx, business)
	if err != nil {
		return nil, 0, err
	}
	return s.life, s.drafts.Version, nil
}

// read takes the proposals first: a bundle that is accepted in between is then
// newer than them, and its proposal no longer open. The other order could show
// a proposal as open that is not.
func (r *Rollout) read(ctx context.Context, business mtid.Business) (*state, error) {
	drafts, err := r.get(ctx, mtstore.DraftName(business))
	if err != nil {
		return nil, err
	}
	live, err := r.get(ctx, mtstore.BundleName(business))
	if err != nil {
		return nil, err
	}
	s := &state{life: &mtbundle.Lifecycle{Business: business}, live: live, drafts: drafts}
	if s.life.Drafts, err = mtbundle.DecodeDrafts(drafts.Value); err != nil {
		return nil, err
	}
	if root, ok := r.roots[business]; ok {
		s.life.Root = &root
	}
	if live.Version == 0 {
		return s, nil
	}
	s.life.InForce, err = mtbundle.DecodeStored(live.Value)
	return s, err
}

// get returns an entry, or the zero one if the name has no value. A read whose
// answer was lost changed nothing, so it counts as not taken: it must not cast
// doubt on a write.
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

// Propose adds a proposal. The same text again returns the same proposal.
func (r *Rollout) Propose(ctx context.Context, now time.Time, business mtid.Business, proposer string, text []byte) (*mtbundle.Stored, error) {
	return r.draft(ctx, "propose", business, func(l *mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error) {
		return l.Propose(now, proposer, text)
	})
}

// Sign adds a signature to an open proposal.
func (r *Rollout) Sign(ctx context.Context, business mtid.Business, version mtid.Version, digest string, sig mtbundle.Signature) (*mtbundle.Stored, error) {
	return r.draft(ctx, "sign", business, func(l *mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error) {
		return l.Sign(version, digest, sig)
	})
}

// change works out the proposals after one step, and the one that it concerns.
type change func(*mtbundle.Lifecycle) ([]*mtbundle.Stored, *mtbundle.Stored, error)

// draft applies a change to the proposals of a business.
func (r *Rollout) draft(ctx context.Context, op string, business mtid.Business, apply change) (*mtbundle.Stored, error) {
	var result *mtbundle.Stored
	err := r.rounds(ctx, op, business, func(s *state) (bool, error) {
		drafts, draft, err := apply(s.life)
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

// Accept puts an open proposal in force. If it is in force already, Accept
// returns it. A *mtbundle.ConflictError names the bundle that won instead.
func (r *Rollout) Accept(ctx context.Context, now time.Time, business mtid.Business, version mtid.Version, digest, accepter string) (*mtbundle.Stored, error) {
	stamp := mtroster.WriteID{Writer: r.writer(), Sequence: r.sequence.Add(1)}
	var result *mtbundle.Stored
	err := r.rounds(ctx, "accept", business, func(s *state) (bool, error) {
		next, done, err := s.life.Accept(now, version, digest, accepter, stamp)
		result = next
		if err != nil || done {
			return done, err
		}
		value, err := next.Encode()
		if err != nil {
			return false, err
		}
		if err := r.file(ctx, s.life.InForce, s.live.Value); err != nil {
			return false, err
		}
		_, err = r.store.Swap(ctx, s.live.Name, s.live.Version, value, "")
		return err == nil, err
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// file keeps the bundle that is about to be replaced. It is done before the
// replacement, and a crash between the two leaves a copy of the bundle in
// force, so that the history never has a gap.
func (r *Rollout) file(ctx context.Context, former *mtbundle.Stored, value []byte) error {
	if former == nil {
		return nil
	}
	entry, err := r.get(ctx, mtstore.PastBundleName(former.Business, former.Version))
	if err != nil {
		return err
	}
	if kept, err := mtbundle.DecodeStored(entry.Value); err == nil && kept.Version >= former.Version {
		return nil
	}
	_, err = r.store.Swap(ctx, entry.Name, entry.Version, value, "")
	return err
}

// rounds repeats a step from a fresh read until it is done or fails for good.
// Conflicts and lost answers start the next round. Once an answer was lost,
// not reaching the store no longer proves that nothing was written.
func (r *Rollout) rounds(ctx context.Context, op string, business mtid.Business, step func(*state) (bool, error)) error {
	var doubt error
	for range tries {
		done, err := r.round(ctx, business, step)
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
			doubt = err
		case errors.As(err, &unavailable) && doubt != nil:
		default:
			return err
		}
		if !mtduty.Sleep(ctx, pause) {
			break
		}
	}
	if doubt != nil {
		return &DoubtError{Op: op, Business: business, Err: doubt}
	}
	return &RaceError{Op: op, Business: business}
}

func (r *Rollout) round(ctx context.Context, business mtid.Business, step func(*state) (bool, error)) (bool, error) {
	s, err := r.read(ctx, business)
	if err != nil {
		return false, err
	}
	return step(s)
}

// Version returns one version of a business's bundle, in force or former. It
// fails with a *PageError if it is not kept.
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
	return nil, &PageError{Business: business, Version: version}
}

// History returns up to limit versions from the newest below before on
// (0: from the one in force), the newest first, and where the next page begins
// (0: no more). Each version costs one read of the store.
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
			stored, err = r.past(ctx, business, version)
		}
		if err != nil {
			return nil, 0, err
		}
		page = append(page, stored)
	}
	return page, 0, nil
}

func (r *Rollout) past(ctx context.Context, business mtid.Business, version mtid.Version) (*mtbundle.Stored, error) {
	entry, err := r.get(ctx, mtstore.PastBundleName(business, version))
	if err != nil {
		return nil, err
	}
	stored, err := mtbundle.DecodeStored(entry.Value)
	if err != nil {
		return nil, err
	}
	if stored.Version != version {
		return nil, &PageError{Business: business, Version: version}
	}
	return stored, nil
}
