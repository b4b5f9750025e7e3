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

// domain keeps a signature of a bundle from being taken for one of anything
// else that the same key might sign.
const domain = "magnoliaturn bundle 1"

// Digest is what signers sign: a hash of business, version and text, each with
// its length, so that no two bundles share one.
type Digest [sha256.Size]byte

// String returns d in hex; operators compare it before they sign.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestOf returns the digest of a bundle's text.
func DigestOf(business mtid.Business, version mtid.Version, text []byte) Digest {
	h := sha256.New()
	writeField(h, []byte(domain))
	writeField(h, []byte(business))
	writeField(h, binary.BigEndian.AppendUint64(nil, uint64(version)))
	writeField(h, text)
	return Digest(h.Sum(nil))
}

// writeField never fails: a hash takes every write.
func writeField(h hash.Hash, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
	_, _ = h.Write(field)
}

// Digest returns what the signers of s sign.
func (s *Stored) Digest() Digest { return DigestOf(s.Business, s.Version, s.Text) }

// Sign returns the sign-off of a digest by the signer with that private key.
func Sign(signer string, key ed25519.PrivateKey, digest Digest) Signature {
	return Signature{Signer: signer, Value: ed25519.Sign(key, digest[:])}
}

// Authority says who may sign a bundle off, and how many must.
type Authority struct {
	Signers []Signer
	Needed  int
}

// Authority returns who signs off the successor of b.
func (b *Bundle) Authority() Authority { return Authority{Signers: b.Signers, Needed: b.Needed} }

// AuthorityFor returns who signs off the next bundle of a business: the
// signers that the bundle in force lists; for a first bundle those of the root
// of trust; without a root, the first bundle's own. It never takes the new
// bundle's word once there is another, or a proposer could name signers of its
// own choice.
func AuthorityFor(inForce *Bundle, root *Authority, next *Bundle) Authority {
	switch {
	case inForce != nil:
		return inForce.Authority()
	case root != nil:
		return *root
	}
	return next.Authority()
}

// verify reports why a signature does not count for s, or nil.
func (a Authority) verify(s *Stored, sig Signature) error {
	i := slices.IndexFunc(a.Signers, func(known Signer) bool { return known.Name == sig.Signer })
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

// count returns the signers whose signatures count for s, each once.
func (a Authority) count(s *Stored) []string {
	var signers []string
	for _, sig := range s.Signatures {
		if a.verify(s, sig) == nil && !slices.Contains(signers, sig.Signer) {
			signers = append(signers, sig.Signer)
		}
	}
	return signers
}

// ParseSigners reads a root of trust: INI text with [signer name] sections.
func ParseSigners(file string, text []byte) ([]Signer, Faults) {
	f := mtini.Read(file, text)
	f.Known(map[string]int{"signer": 1})
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
