package mtbundle

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// Signature is a signer's signature of a bundle's digest.
type Signature struct {
	Signer string
	Value  []byte // Ed25519 over Digest
}

// Stored is a proposed or accepted bundle as it is saved in the platform's store.
// It is treated as immutable: functions that change one return a copy.
type Stored struct {
	Business   mtid.Business
	Version    mtid.Version
	Text       []byte
	Proposer   string
	Signatures []Signature
	WriteID    mtroster.WriteID // write ID of the write that accepted it
	Accepter   string
	Proposed   time.Time
	Accepted   time.Time // zero before the bundle is accepted
}

// DecodeError reports a stored value that cannot be decoded into a bundle.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "bundle: cannot decode stored value: " + e.Reason
	}
	return "bundle: cannot decode stored value: " + e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the error of the protobuf decoder or the faults of the text, if any.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the deterministic protobuf encoding of s.
func (s *Stored) Encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.wire())
}

func (s *Stored) wire() *mtwire.StoredBundle {
	w := &mtwire.StoredBundle{
		Business:   string(s.Business),
		Version:    uint64(s.Version),
		Text:       s.Text,
		Proposer:   s.Proposer,
		Stamp:      s.WriteID.Wire(),
		Accepter:   s.Accepter,
		ProposedMs: toMillis(s.Proposed),
		AcceptedMs: toMillis(s.Accepted),
	}
	for _, sig := range s.Signatures {
		w.Signatures = append(w.Signatures, &mtwire.Signature{Signer: sig.Signer, Value: sig.Value})
	}
	return w
}

// DecodeStored decodes a stored bundle without parsing its text. It fails with a
// *DecodeError.
func DecodeStored(value []byte) (*Stored, error) {
	w := &mtwire.StoredBundle{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Reason: "not an encoded bundle", Err: err}
	}
	return storedFromWire(w), nil
}

func storedFromWire(w *mtwire.StoredBundle) *Stored {
	s := &Stored{
		Business: mtid.Business(w.GetBusiness()),
		Version:  mtid.Version(w.GetVersion()),
		Text:     slices.Clone(w.GetText()),
		Proposer: w.GetProposer(),
		WriteID:  mtroster.WriteIDFromWire(w.GetStamp()),
		Accepter: w.GetAccepter(),
		Proposed: fromMillis(w.GetProposedMs()),
		Accepted: fromMillis(w.GetAcceptedMs()),
	}
	for _, sig := range w.GetSignatures() {
		s.Signatures = append(s.Signatures, Signature{Signer: sig.GetSigner(), Value: slices.Clone(sig.GetValue())})
	}
	return s
}

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// Bundle parses the text of s. It fails with a *DecodeError if the text is
// invalid or names another business or version than s. Neither occurs in values
// that this package has written.
func (s *Stored) Bundle() (*Bundle, error) {
	b, faults := Parse("stored", s.Text)
	if err := faults.Err(); err != nil {
		return nil, &DecodeError{Reason: "text is invalid", Err: err}
	}
	if b.Business != s.Business || b.Version != s.Version {
		return nil, &DecodeError{Reason: fmt.Sprintf("text is version %d of business %q, want version %d of business %q",
			b.Version, b.Business, s.Version, s.Business)}
	}
	b.Proposer = s.Proposer
	return b, nil
}

// Decode decodes the bundle in force from the value at mtstore.BundleName and
// parses its text. It fails with a *DecodeError.
func Decode(value []byte) (*Bundle, error) {
	s, err := DecodeStored(value)
	if err != nil {
		return nil, err
	}
	return s.Bundle()
}

// EncodeDrafts returns the deterministic protobuf encoding of a business's open
// proposals.
func EncodeDrafts(drafts []*Stored) ([]byte, error) {
	w := &mtwire.Drafts{}
	for _, d := range drafts {
		w.Drafts = append(w.Drafts, d.wire())
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// DecodeDrafts decodes a business's open proposals without parsing their text. It
// fails with a *DecodeError.
func DecodeDrafts(value []byte) ([]*Stored, error) {
	w := &mtwire.Drafts{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Reason: "not an encoded list of drafts", Err: err}
	}
	var drafts []*Stored
	for _, d := range w.GetDrafts() {
		drafts = append(drafts, storedFromWire(d))
	}
	return drafts, nil
}
