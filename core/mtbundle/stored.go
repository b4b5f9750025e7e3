package mtbundle

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// Signature is one signer's sign-off of a bundle's digest.
type Signature struct {
	Signer string
	Value  []byte // Ed25519 over Digest
}

// Stored is a bundle as the platform's store keeps it, proposed or accepted.
// It is a value; functions that change one return a copy.
type Stored struct {
	Business   mtid.Business
	Version    mtid.Version
	Text       []byte
	Proposer   string
	Signatures []Signature
	Stamp      mtroster.WriteID // of the write that accepted it
	Accepter   string
	Proposed   time.Time
	Accepted   time.Time // zero while it is proposed
}

// DecodeError says that a stored bundle can't be read.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "bundle: stored value can't be read: " + e.Reason
	}
	return "bundle: stored value can't be read: " + e.Reason + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the stored form of s.
func (s *Stored) Encode() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.wire())
}

func (s *Stored) wire() *mtwire.StoredBundle {
	w := &mtwire.StoredBundle{
		Business:   string(s.Business),
		Version:    uint64(s.Version),
		Text:       s.Text,
		Proposer:   s.Proposer,
		Stamp:      s.Stamp.Wire(),
		Accepter:   s.Accepter,
		ProposedMs: millis(s.Proposed),
		AcceptedMs: millis(s.Accepted),
	}
	for _, sig := range s.Signatures {
		w.Signatures = append(w.Signatures, &mtwire.Signature{Signer: sig.Signer, Value: sig.Value})
	}
	return w
}

// DecodeStored reads a stored bundle without parsing its text. It fails with a
// *DecodeError.
func DecodeStored(value []byte) (*Stored, error) {
	w := &mtwire.StoredBundle{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Reason: "not a bundle", Err: err}
	}
	return readStored(w), nil
}

func readStored(w *mtwire.StoredBundle) *Stored {
	s := &Stored{
		Business: mtid.Business(w.GetBusiness()),
		Version:  mtid.Version(w.GetVersion()),
		Text:     slices.Clone(w.GetText()),
		Proposer: w.GetProposer(),
		Stamp:    mtroster.WriteIDFromWire(w.GetStamp()),
		Accepter: w.GetAccepter(),
		Proposed: moment(w.GetProposedMs()),
		Accepted: moment(w.GetAcceptedMs()),
	}
	for _, sig := range w.GetSignatures() {
		s.Signatures = append(s.Signatures, Signature{Signer: sig.GetSigner(), Value: slices.Clone(sig.GetValue())})
	}
	return s
}

func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func moment(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

// Bundle parses the text of s. It fails with a *DecodeError if the text is
// faulty or speaks of another business or version than s, which a store value
// written by this package never does.
func (s *Stored) Bundle() (*Bundle, error) {
	b, faults := Parse("stored", s.Text)
	if err := faults.Err(); err != nil {
		return nil, &DecodeError{Reason: "faulty text", Err: err}
	}
	if b.Business != s.Business || b.Version != s.Version {
		return nil, &DecodeError{Reason: "text is of another business or version"}
	}
	b.Proposer = s.Proposer
	return b, nil
}

// Decode reads the bundle in force from the value at mtstore.BundleName. It
// fails with a *DecodeError.
func Decode(value []byte) (*Bundle, error) {
	s, err := DecodeStored(value)
	if err != nil {
		return nil, err
	}
	return s.Bundle()
}

// EncodeDrafts returns the stored form of a business's open proposals.
func EncodeDrafts(drafts []*Stored) ([]byte, error) {
	w := &mtwire.Drafts{}
	for _, d := range drafts {
		w.Drafts = append(w.Drafts, d.wire())
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(w)
}

// DecodeDrafts reads a business's open proposals. It fails with a
// *DecodeError.
func DecodeDrafts(value []byte) ([]*Stored, error) {
	w := &mtwire.Drafts{}
	if err := proto.Unmarshal(value, w); err != nil {
		return nil, &DecodeError{Reason: "not a list of drafts", Err: err}
	}
	var drafts []*Stored
	for _, d := range w.GetDrafts() {
		drafts = append(drafts, readStored(d))
	}
	return drafts, nil
}
