package mtbundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
)

// signatureDomain is hashed into every digest, so that a signature of a bundle is
// not valid for any other kind of data that the same key signs.
const signatureDomain = "magnoliaturn bundle 1"

// Digest is the hash of a bundle that signers sign. It covers business, version
// and text, each prefixed with its length so that two different bundles never
// hash the same bytes.
type Digest [sha256.Size]byte

// String returns the digest in hex, which operators compare before they sign.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of a bundle's text.
func DigestOf(business mtid.Business, version mtid.Version, text []byte) Digest {
	h := sha256.New()
	writeField(h, []byte(signatureDomain))
	writeField(h, []byte(business))
	writeField(h, binary.BigEndian.AppendUint64(nil, uint64(version)))
	writeField(h, text)
	return Digest(h.Sum(nil))
}

// writeField hashes a field with its length. Writing to a hash never fails.
func writeField(h hash.Hash, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = h.Write(field)
}

// Digest returns the digest that the signers of s sign.
func (s *Stored) Digest() Digest { return DigestOf(s.Business, s.Version, s.Text) }

// Sign returns the signature of a digest by the signer with that private key.
func Sign(signer string, key ed25519.PrivateKey, digest Digest) Signature {
	return Signature{Signer: signer, Value: ed25519.Sign(key, digest[:])}
}

// Authority lists who may sign a bundle and how many of them must.
type Authority struct {
	Signers []Signer
	Needed  int
}

// Authority returns the authority that must sign the bundle after b.
func (b *Bundle) Authority() Authority { return Authority{Signers: b.Signers, Needed: b.Needed} }

// AuthorityFor returns the authority that must sign the next bundle of a
// business. It is that of the bundle in force. For a first bundle it is the root
// of trust or, without a root, the authority of the first bundle itself. While a
// bundle is in force, the authority of the new bundle is never used, since a
// proposer could otherwise choose the signers.
func AuthorityFor(inForce *Bundle, root *Authority, next *Bundle) Authority {
	switch {
	case inForce != nil:
		return inForce.Authority()
	case root != nil:
		return *root
	}
	return next.Authority()
}

// verify returns a *SignatureError if a signature is not valid for s, or nil.
func (a Authority) verify(s *Stored, sig Signature) error {
	i := slices.IndexFunc(a.Signers, func(signer Signer) bool { return signer.Name == sig.Signer })
	switch {
	case i < 0:
		return &SignatureError{Signer: sig.Signer, Reason: "no signer of the business"}
	case sig.Signer == s.Proposer:
		return &SignatureError{Signer: sig.Signer, Reason: "the proposer can't sign off the own bundle"}
	case len(a.Signers[i].Key) != ed25519.PublicKeySize:
		return &SignatureError{Signer: sig.Signer, Reason: "the signer has no usable key"}
	}
	digest := s.Digest()
	if !ed25519.Verify(a.Signers[i].Key, digest[:], sig.Value) {
		return &SignatureError{Signer: sig.Signer, Reason: "the signature does not fit the digest " + digest.String()}
	}
	return nil
}

// validSigners returns the signers with a valid signature of s, each once.
func (a Authority) validSigners(s *Stored) []string {
	var signers []string
	for _, sig := range s.Signatures {
		if a.verify(s, sig) == nil && !slices.Contains(signers, sig.Signer) {
			signers = append(signers, sig.Signer)
		}
	}
	return signers
}

// ParseSigners parses a root of trust: INI text with [signer name] sections.
func ParseSigners(file string, text []byte) ([]Signer, Faults) {
	f := mtini.Read(file, text)
	f.CheckKinds(map[string]int{"signer": 1})
	signers := readSigners(f)
	faults := f.Faults()
	if len(signers) == 0 {
		faults = append(faults, &Fault{File: file, Field: "text", Accept: "[signer name] sections"})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return signers, nil
}
