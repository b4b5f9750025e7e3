package mtbundle

import (
	"fmt"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

// MaxDrafts bounds the open proposals of a business, so that their list stays
// within one value of the store.
const MaxDrafts = 16

// SignatureError says that a signature does not count.
type SignatureError struct {
	Signer string
	Reason string
}

// Error implements error.
func (e *SignatureError) Error() string {
	return fmt.Sprintf("bundle: signature of %q: %s", e.Signer, e.Reason)
}

// ConflictError says that another bundle has taken the version: nothing was
// changed. It names what won, so that the operator can look at it and propose
// on top of it.
type ConflictError struct {
	Business mtid.Business
	Wanted   mtid.Version // the version that was asked for
	InForce  mtid.Version // the version in force
	Winner   string       // who accepted it
	Proposer string       // who proposed it
	Digest   Digest       // of the version in force
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("bundle: %s version %d can't come next: version %d (proposed by %s, accepted by %s) is in force, the next is %d",
		e.Business, e.Wanted, e.InForce, e.Proposer, e.Winner, e.InForce+1)
}

// UnsignedError says that a bundle lacks signatures.
type UnsignedError struct {
	Needed int
	Signed []string // the signers whose signatures count
}

// Error implements error.
func (e *UnsignedError) Error() string {
	return fmt.Sprintf("bundle: %d signatures needed of signers other than the proposer, %d count: %v", e.Needed, len(e.Signed), e.Signed)
}

// MissingError says that there is no open proposal with that version and
// digest.
type MissingError struct {
	Business mtid.Business
	Version  mtid.Version
	Digest   string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("bundle: %s has no open proposal of version %d %s", e.Business, e.Version, e.Digest)
}

// FullError says that a business has too many open proposals.
type FullError struct{ Business mtid.Business }

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("bundle: %s has %d open proposals, no more are taken until one is accepted", e.Business, MaxDrafts)
}

// BusinessError says that a text belongs to another business than the one that
// it was brought for.
type BusinessError struct {
	Wanted mtid.Business
	Text   mtid.Business
}

// Error implements error.
func (e *BusinessError) Error() string {
	return fmt.Sprintf("bundle: the text is of business %q, not %q", e.Text, e.Wanted)
}

// Life is what decides about the bundles of one business: the one in force and
// the open proposals. It is a value read from the store; the functions on it
// return what to write, and the write is by compare-and-swap.
type Life struct {
	Business mtid.Business
	InForce  *Stored // nil before the first bundle
	Drafts   []*Stored
	Root     *Authority // who signs the first bundle; nil for its own signers
}

// Propose returns the open proposals with text among them, and the proposal.
// The same text twice is one proposal, with its first proposer, so that a
// retried request changes nothing. It fails with Faults, a *BusinessError, a
// *ConflictError or a *FullError.
func (l *Life) Propose(now time.Time, proposer string, text []byte) ([]*Stored, *Stored, error) {
	bundle, faults := Parse("proposal", text)
	if err := faults.Err(); err != nil {
		return nil, nil, err
	}
	if bundle.Business != l.Business {
		return nil, nil, &BusinessError{Wanted: l.Business, Text: bundle.Business}
	}
	s := &Stored{Business: l.Business, Version: bundle.Version, Text: slices.Clone(text), Proposer: proposer, Proposed: now}
	if l.accepted(s.Version, s.Digest().String()) {
		return l.Drafts, l.InForce, nil
	}
	if err := l.next(bundle.Version); err != nil {
		return nil, nil, err
	}
	drafts := l.open()
	if same, err := l.find(s.Version, s.Digest().String()); err == nil {
		return drafts, same, nil
	}
	if len(drafts) >= MaxDrafts {
		return nil, nil, &FullError{Business: l.Business}
	}
	return append(drafts, s), s, nil
}

// Sign returns the open proposals with one more signature, and the signed
// proposal. A signature that is there already, or comes after the bundle is in
// force, changes nothing. It fails with a
// *MissingError or a *SignatureError.
func (l *Life) Sign(version mtid.Version, digest string, sig Signature) ([]*Stored, *Stored, error) {
	if l.accepted(version, digest) {
		return l.Drafts, l.InForce, nil
	}
	draft, err := l.find(version, digest)
	if err != nil {
		return nil, nil, err
	}
	authority, err := l.authority(draft)
	if err != nil {
		return nil, nil, err
	}
	if err := authority.verify(draft, sig); err != nil {
		return nil, nil, err
	}
	drafts := l.open()
	if slices.ContainsFunc(draft.Signatures, func(have Signature) bool { return have.Signer == sig.Signer }) {
		return drafts, draft, nil
	}
	signed := *draft
	signed.Signatures = append(slices.Clone(draft.Signatures), sig)
	drafts[slices.Index(drafts, draft)] = &signed
	return drafts, &signed, nil
}

// Accept returns the value that puts a proposal in force, to be swapped in
// where the store's version is the proposal's less one. If it is in force
// already, Accept returns it and true, so that a retried request succeeds. It
// fails with a *ConflictError, a *MissingError or an *UnsignedError.
func (l *Life) Accept(now time.Time, version mtid.Version, digest, accepter string, stamp mtroster.WriteID) (next *Stored, done bool, err error) {
	if l.accepted(version, digest) {
		return l.InForce, true, nil
	}
	if err := l.next(version); err != nil {
		return nil, false, err
	}
	draft, err := l.find(version, digest)
	if err != nil {
		return nil, false, err
	}
	authority, err := l.authority(draft)
	if err != nil {
		return nil, false, err
	}
	if signed := authority.count(draft); len(signed) < authority.Needed {
		return nil, false, &UnsignedError{Needed: authority.Needed, Signed: signed}
	}
	accepted := *draft
	accepted.Accepter = accepter
	accepted.Accepted = now
	accepted.Stamp = stamp
	return &accepted, false, nil
}

// Signed returns which signatures of an open proposal count, and how many are
// needed.
func (l *Life) Signed(draft *Stored) (signers []string, needed int, err error) {
	authority, err := l.authority(draft)
	if err != nil {
		return nil, 0, err
	}
	return authority.count(draft), authority.Needed, nil
}

// Version returns the version in force, 0 for none.
func (l *Life) Version() mtid.Version {
	if l.InForce == nil {
		return 0
	}
	return l.InForce.Version
}

// accepted reports whether that very bundle is in force. A step that is
// repeated after its answer was lost, while others went on, finds it so.
func (l *Life) accepted(version mtid.Version, digest string) bool {
	return l.InForce != nil && l.InForce.Version == version && l.InForce.Digest().String() == digest
}

// next checks that version is the one that comes after the one in force.
// Versions only grow by one: a rollback is a new version with an older text.
func (l *Life) next(version mtid.Version) error {
	if version == l.Version()+1 {
		return nil
	}
	conflict := &ConflictError{Business: l.Business, Wanted: version, InForce: l.Version()}
	if l.InForce != nil {
		conflict.Winner = l.InForce.Accepter
		conflict.Proposer = l.InForce.Proposer
		conflict.Digest = l.InForce.Digest()
	}
	return conflict
}

// open returns the proposals that can still be accepted. The others lost to
// the version in force, and drop out with the next write.
func (l *Life) open() []*Stored {
	var drafts []*Stored
	for _, d := range l.Drafts {
		if d.Version == l.Version()+1 {
			drafts = append(drafts, d)
		}
	}
	return drafts
}

func (l *Life) find(version mtid.Version, digest string) (*Stored, error) {
	for _, d := range l.open() {
		if d.Version == version && d.Digest().String() == digest {
			return d, nil
		}
	}
	return nil, &MissingError{Business: l.Business, Version: version, Digest: digest}
}

func (l *Life) authority(draft *Stored) (Authority, error) {
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
