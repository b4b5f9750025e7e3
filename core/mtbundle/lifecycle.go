package mtbundle

import (
	"fmt"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

// MaxDrafts is the maximum number of open proposals of a business. It keeps their
// list within the size limit of one value in the store.
const MaxDrafts = 16

// SignatureError reports a signature that is not valid for a proposal.
type SignatureError struct {
	Signer string
	Reason string
}

// Error implements error.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle: signature of %q: %s", e.Signer, e.Reason)
}

// ConflictError reports that a version is not the next one, because another bundle
// is in force. Nothing was changed. The error identifies the bundle in force, so
// that the operator can review it and propose a change on top of it.
type ConflictError struct {
	Business  mtid.Business
	Requested mtid.Version // the version that was requested
	InForce   mtid.Version // the version in force
	Accepter  string       // who accepted the version in force
	Proposer  string       // who proposed the version in force
	Digest    Digest       // of the version in force
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle: %s version %d can't come next: version %d (proposed by %s, accepted by %s) is in force, the next is %d",
		e.Business, e.Requested, e.InForce, e.Proposer, e.Accepter, e.InForce+1)
}

// UnsignedError reports a proposal with too few valid signatures.
type UnsignedError struct {
	Needed int
	Signed []string // the signers with a valid signature
}

// Error implements error.
func (e *UnsignedError) Error() string {
	return fmt.Sprintf("bundle: %d signatures needed of signers other than the proposer, %d count: %v", e.Needed, len(e.Signed), e.Signed)
}

// DraftNotFoundError reports that a business has no open proposal with that version
// and digest.
type DraftNotFoundError struct {
	Business mtid.Business
	Version  mtid.Version
	Digest   string
}

// Error implements error.
func (e *DraftNotFoundError) Error() string {
	return fmt.Sprintf("bundle: %s has no open proposal of version %d %s", e.Business, e.Version, e.Digest)
}

// TooManyDraftsError reports that a business already has MaxDrafts open proposals.
type TooManyDraftsError struct{ Business mtid.Business }

// Error implements error.
func (e *TooManyDraftsError) Error() string {
	return fmt.Sprintf("bundle: %s has %d open proposals, no more are taken until one is accepted", e.Business, MaxDrafts)
}

// BusinessMismatchError reports a bundle text that was submitted for another
// business than the one it names.
type BusinessMismatchError struct {
	Requested mtid.Business // the business that the text was submitted for
	Named     mtid.Business // the business that the text names
}

// Error implements error.
func (e *BusinessMismatchError) Error() string {
	return fmt.Sprintf("bundle: the text is of business %q, not %q", e.Named, e.Requested)
}

// Lifecycle is the state of the bundles of one business as read from the store: the
// one in force and the open proposals. Its methods don't modify it but return the
// new value, which the caller writes by compare-and-swap.
type Lifecycle struct {
	Business mtid.Business
	InForce  *Stored // nil before the first bundle
	Drafts   []*Stored
	Root     *Authority // must sign the first bundle; nil means the signers that it lists itself
}

// Propose adds a proposal with a text. It returns the open proposals, the new one
// included, and the new one. If the same text is proposed again, Propose returns
// the existing proposal with its first proposer, so that a retried request changes
// nothing. It fails with Faults, a *BusinessMismatchError, a *ConflictError or a
// *TooManyDraftsError.
func (l *Lifecycle) Propose(now time.Time, proposer string, text []byte) ([]*Stored, *Stored, error) {
	bundle, faults := Parse("proposal", text)
	if err := faults.Err(); err != nil {
		return nil, nil, err
	}
	if bundle.Business != l.Business {
		return nil, nil, &BusinessMismatchError{Requested: l.Business, Named: bundle.Business}
	}
	proposal := &Stored{Business: l.Business, Version: bundle.Version, Text: slices.Clone(text), Proposer: proposer, Proposed: now}
	if l.isInForce(proposal.Version, proposal.Digest().String()) {
		return l.Drafts, l.InForce, nil
	}
	if err := l.checkNext(bundle.Version); err != nil {
		return nil, nil, err
	}
	drafts := l.openDrafts()
	if existing, err := l.findDraft(proposal.Version, proposal.Digest().String()); err == nil {
		return drafts, existing, nil
	}
	if len(drafts) >= MaxDrafts {
		return nil, nil, &TooManyDraftsError{Business: l.Business}
	}
	return append(drafts, proposal), proposal, nil
}

// Sign adds a signature to an open proposal. It returns the open proposals and the
// signed one. A second signature of the same signer, or one for a bundle that is
// already in force, changes nothing. Sign fails with a *DraftNotFoundError or a
// *SignatureError.
func (l *Lifecycle) Sign(version mtid.Version, digest string, sig Signature) ([]*Stored, *Stored, error) {
	if l.isInForce(version, digest) {
		return l.Drafts, l.InForce, nil
	}
	draft, err := l.findDraft(version, digest)
	if err != nil {
		return nil, nil, err
	}
	authority, err := l.authorityFor(draft)
	if err != nil {
		return nil, nil, err
	}
	if err := authority.verify(draft, sig); err != nil {
		return nil, nil, err
	}
	drafts := l.openDrafts()
	if slices.ContainsFunc(draft.Signatures, func(existing Signature) bool { return existing.Signer == sig.Signer }) {
		return drafts, draft, nil
	}
	signed := *draft
	signed.Signatures = append(slices.Clone(draft.Signatures), sig)
	drafts[slices.Index(drafts, draft)] = &signed
	return drafts, &signed, nil
}

// Accept returns the value that puts a proposal in force. The caller writes it by
// compare-and-swap where the version in the store is one below the proposal's. If
// the proposal is already in force, Accept returns it and true, so that a retried
// request succeeds. It fails with a *ConflictError, a *DraftNotFoundError or an
// *UnsignedError.
func (l *Lifecycle) Accept(now time.Time, version mtid.Version, digest, accepter string, writeID mtroster.WriteID) (next *Stored, done bool, err error) {
	if l.isInForce(version, digest) {
		return l.InForce, true, nil
	}
	if err := l.checkNext(version); err != nil {
		return nil, false, err
	}
	draft, err := l.findDraft(version, digest)
	if err != nil {
		return nil, false, err
	}
	authority, err := l.authorityFor(draft)
	if err != nil {
		return nil, false, err
	}
	if signed := authority.validSigners(draft); len(signed) < authority.Needed {
		return nil, false, &UnsignedError{Needed: authority.Needed, Signed: signed}
	}
	accepted := *draft
	accepted.Accepter = accepter
	accepted.Accepted = now
	accepted.WriteID = writeID
	return &accepted, false, nil
}

// ValidSigners returns the signers with a valid signature of an open proposal, and
// the number of signatures that it needs.
func (l *Lifecycle) ValidSigners(draft *Stored) (signers []string, needed int, err error) {
	authority, err := l.authorityFor(draft)
	if err != nil {
		return nil, 0, err
	}
	return authority.validSigners(draft), authority.Needed, nil
}

// Version returns the version in force, or 0 if there is none.
func (l *Lifecycle) Version() mtid.Version {
	if l.InForce == nil {
		return 0
	}
	return l.InForce.Version
}

// isInForce reports whether the bundle with that version and digest is in force.
// This is so when a client whose reply was lost retries a step after other
// operators have completed the remaining steps.
func (l *Lifecycle) isInForce(version mtid.Version, digest string) bool {
	return l.InForce != nil && l.InForce.Version == version && l.InForce.Digest().String() == digest
}

// checkNext returns a *ConflictError unless version is the one in force plus one.
// Versions never decrease: a rollback is a new version with an older text.
func (l *Lifecycle) checkNext(version mtid.Version) error {
	if version == l.Version()+1 {
		return nil
	}
	conflict := &ConflictError{Business: l.Business, Requested: version, InForce: l.Version()}
	if l.InForce != nil {
		conflict.Accepter = l.InForce.Accepter
		conflict.Proposer = l.InForce.Proposer
		conflict.Digest = l.InForce.Digest()
	}
	return conflict
}

// openDrafts returns the proposals that can still be accepted. The others are
// outdated by the version in force and are removed by the next write.
func (l *Lifecycle) openDrafts() []*Stored {
	var drafts []*Stored
	for _, d := range l.Drafts {
		if d.Version == l.Version()+1 {
			drafts = append(drafts, d)
		}
	}
	return drafts
}

func (l *Lifecycle) findDraft(version mtid.Version, digest string) (*Stored, error) {
	for _, d := range l.openDrafts() {
		if d.Version == version && d.Digest().String() == digest {
			return d, nil
		}
	}
	return nil, &DraftNotFoundError{Business: l.Business, Version: version, Digest: digest}
}

func (l *Lifecycle) authorityFor(draft *Stored) (Authority, error) {
	next, err := draft.Bundle()
	if err != nil {
		return Authority{}, err
	}
	if l.InForce == nil {
		return AuthorityFor(nil, l.Root, next), nil
	}
	inForce, err := l.InForce.Bundle()
	if err != nil {
		return Authority{}, err
	}
	return AuthorityFor(inForce, l.Root, next), nil
}
