package mtbundle_test

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

var (
	now     = time.UnixMilli(1_700_000_000_000).UTC()
	writeID = mtroster.WriteID{Writer: mtid.Holder{Daemon: "d1", Incarnation: 1}, Sequence: 1}
)

// privateKey derives a signer's private key from the name.
func privateKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// bundleText returns the text of a bundle with those signers. The note is a comment
// that makes texts differ.
func bundleText(version, needed int, note string, signers ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n[bundle]\nbusiness = ratins\nversion = %d\nsignatures = %d\n", note, version, needed)
	for _, s := range signers {
		public := privateKey(s).Public().(ed25519.PublicKey)
		fmt.Fprintf(&b, "[signer %s]\nkey = %s\n", s, base64.StdEncoding.EncodeToString(public))
	}
	b.WriteString("[service dispatch]\n[class dispatch send]\n")
	return []byte(b.String())
}

func newLifecycle(t *testing.T, inForce []byte, version int) *mtbundle.Lifecycle {
	t.Helper()
	return &mtbundle.Lifecycle{Business: "ratins", InForce: &mtbundle.Stored{
		Business: "ratins", Version: mtid.Version(version), Text: inForce, Proposer: "janis", Accepter: "marta",
	}}
}

func propose(t *testing.T, l *mtbundle.Lifecycle, proposer string, text []byte) *mtbundle.Stored {
	t.Helper()
	drafts, s, err := l.Propose(now, proposer, text)
	assert.NilError(t, err)
	l.Drafts = drafts
	return s
}

func sign(l *mtbundle.Lifecycle, s *mtbundle.Stored, signer string, key ed25519.PrivateKey) error {
	drafts, _, err := l.Sign(s.Version, s.Digest().String(), mtbundle.Sign(signer, key, s.Digest()))
	if err == nil {
		l.Drafts = drafts
	}
	return err
}

func accept(l *mtbundle.Lifecycle, s *mtbundle.Stored) error {
	next, _, err := l.Accept(now, s.Version, s.Digest().String(), "marta", writeID)
	if err == nil {
		l.InForce = next
	}
	return err
}

func TestProposeSignAccept(t *testing.T) {
	l := newLifecycle(t, bundleText(1, 1, "first", "ilze", "janis", "marta"), 1)
	s := propose(t, l, "ilze", bundleText(2, 2, "second", "ilze", "janis", "marta"))
	assert.ErrorType(t, accept(l, s), &mtbundle.UnsignedError{})
	assert.NilError(t, sign(l, s, "janis", privateKey("janis")))
	assert.NilError(t, accept(l, s))
	assert.Equal(t, l.Version(), mtid.Version(2))
	assert.Equal(t, l.InForce.Accepter, "marta")
	// The request is retried after its reply was lost.
	again, done, err := l.Accept(now, 2, s.Digest().String(), "marta", writeID)
	assert.NilError(t, err)
	assert.Assert(t, done)
	assert.Equal(t, again.Version, mtid.Version(2))
	// Version 2 requires two signatures for all later bundles.
	s = propose(t, l, "ilze", bundleText(3, 1, "third", "ilze", "janis", "marta"))
	assert.NilError(t, sign(l, s, "janis", privateKey("janis")))
	assert.ErrorType(t, accept(l, s), &mtbundle.UnsignedError{})
	assert.NilError(t, sign(l, s, "marta", privateKey("marta")))
	assert.NilError(t, accept(l, s))
}

// A proposer lists accomplices as signers in the same bundle that they then sign.
// Only signers that the bundle in force lists may be accepted.
func TestSignersComeFromBundleInForce(t *testing.T) {
	l := newLifecycle(t, bundleText(1, 1, "first", "ilze", "janis"), 1)
	s := propose(t, l, "ilze", bundleText(2, 1, "coup", "friend", "other"))
	tests := []struct {
		name   string
		signer string
		key    ed25519.PrivateKey
		ok     bool
	}{
		{"a signer of the new bundle only", "friend", privateKey("friend"), false},
		{"the proposer", "ilze", privateKey("ilze"), false},
		{"the name of another signer", "janis", privateKey("friend"), false},
		{"a signer of the bundle in force", "janis", privateKey("janis"), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := sign(l, s, test.signer, test.key)
			if test.ok {
				assert.NilError(t, err)
				return
			}
			assert.ErrorType(t, err, &mtbundle.SignatureError{})
			assert.ErrorType(t, accept(l, s), &mtbundle.UnsignedError{})
		})
	}
}

// A signature is stored twice, by a bug or on purpose. It must not count as the
// signatures of two people.
func TestDuplicateSignatureCountsOnce(t *testing.T) {
	l := newLifecycle(t, bundleText(1, 2, "first", "ilze", "janis", "marta"), 1)
	s := propose(t, l, "ilze", bundleText(2, 2, "second", "ilze", "janis", "marta"))
	sig := mtbundle.Sign("janis", privateKey("janis"), s.Digest())
	signedTwice := *s
	signedTwice.Signatures = []mtbundle.Signature{sig, sig}
	l.Drafts = []*mtbundle.Stored{&signedTwice}
	assert.ErrorType(t, accept(l, &signedTwice), &mtbundle.UnsignedError{})
	assert.NilError(t, sign(l, &signedTwice, "marta", privateKey("marta")))
	assert.NilError(t, accept(l, &signedTwice))
}

func TestFirstBundleNeedsRootSigner(t *testing.T) {
	text := bundleText(1, 1, "first", "ilze", "janis")
	root := &mtbundle.Authority{Needed: 1, Signers: []mtbundle.Signer{{Name: "root", Key: privateKey("root").Public().(ed25519.PublicKey)}}}
	tests := []struct {
		name   string
		root   *mtbundle.Authority
		signer string
		ok     bool
	}{
		{"signer of the bundle, no root", nil, "janis", true},
		{"signer of the bundle, with a root", root, "janis", false},
		{"signer of the root", root, "root", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &mtbundle.Lifecycle{Business: "ratins", Root: test.root}
			s := propose(t, l, "ilze", text)
			err := sign(l, s, test.signer, privateKey(test.signer))
			assert.Equal(t, err == nil, test.ok)
			assert.Equal(t, accept(l, s) == nil, test.ok)
		})
	}
}

// Two operators propose version 2 on top of version 1, and both proposals are signed.
// The second one to be accepted must not silently replace the first.
func TestConflictErrorIdentifiesWinner(t *testing.T) {
	l := newLifecycle(t, bundleText(1, 1, "first", "ilze", "janis"), 1)
	one := propose(t, l, "ilze", bundleText(2, 1, "one", "ilze", "janis"))
	two := propose(t, l, "janis", bundleText(2, 1, "two", "ilze", "janis"))
	assert.NilError(t, sign(l, one, "janis", privateKey("janis")))
	assert.NilError(t, sign(l, two, "ilze", privateKey("ilze")))
	assert.NilError(t, accept(l, one))
	err := accept(l, two)
	var conflict *mtbundle.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.InForce, mtid.Version(2))
	assert.Equal(t, conflict.Proposer, "ilze")
	assert.Equal(t, conflict.Accepter, "marta")
	assert.Equal(t, conflict.Digest, one.Digest())
}

func TestProposeIsIdempotent(t *testing.T) {
	l := newLifecycle(t, bundleText(1, 1, "first", "ilze", "janis"), 1)
	text := bundleText(2, 1, "second", "ilze", "janis")
	propose(t, l, "ilze", text)
	s := propose(t, l, "janis", text)
	assert.Equal(t, len(l.Drafts), 1)
	assert.Equal(t, s.Proposer, "ilze")
}

func TestProposeRejectsInvalid(t *testing.T) {
	l := newLifecycle(t, bundleText(4, 1, "fourth", "ilze", "janis"), 4)
	_, _, err := l.Propose(now, "ilze", bundleText(4, 1, "again", "ilze", "janis"))
	assert.ErrorType(t, err, &mtbundle.ConflictError{})
	_, _, err = l.Propose(now, "ilze", bundleText(6, 1, "gap", "ilze", "janis"))
	assert.ErrorType(t, err, &mtbundle.ConflictError{})
	_, _, err = l.Propose(now, "ilze", []byte("[bundle]\n"))
	var faults mtbundle.Faults
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	l.Business = "bundesamt"
	_, _, err = l.Propose(now, "ilze", bundleText(5, 1, "foreign", "ilze", "janis"))
	assert.ErrorType(t, err, &mtbundle.BusinessMismatchError{})
	l.Business = "ratins"
	for i := range mtbundle.MaxDrafts {
		propose(t, l, "ilze", bundleText(5, 1, fmt.Sprint("draft ", i), "ilze", "janis"))
	}
	_, _, err = l.Propose(now, "ilze", bundleText(5, 1, "one more", "ilze", "janis"))
	assert.ErrorType(t, err, &mtbundle.TooManyDraftsError{})
}

// For any sequence of steps, versions increase by one, and every bundle in force was
// signed by enough signers of its predecessor, its proposer not counted.
func TestLifecycleInvariants(t *testing.T) {
	names := []string{"ilze", "janis", "marta", "peter"}
	rapid.Check(t, func(t *rapid.T) {
		l := &mtbundle.Lifecycle{Business: "ratins", InForce: &mtbundle.Stored{
			Business: "ratins", Version: 1, Text: bundleText(1, 1, "first", "ilze", "janis"),
		}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before, _ := l.InForce.Bundle()
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				signers := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 2, 4, rapid.ID[string]).Draw(t, "signers")
				needed := rapid.IntRange(1, len(signers)-1).Draw(t, "needed")
				version := int(l.Version()) + rapid.IntRange(0, 2).Draw(t, "ahead")
				drafts, _, err := l.Propose(now, rapid.SampledFrom(names).Draw(t, "proposer"), bundleText(version, needed, "x", signers...))
				if err == nil {
					l.Drafts = drafts
				}
			case 1:
				if len(l.Drafts) == 0 {
					continue
				}
				d := rapid.SampledFrom(l.Drafts).Draw(t, "draft")
				name := rapid.SampledFrom(names).Draw(t, "signer")
				_ = sign(l, d, name, privateKey(rapid.SampledFrom(names).Draw(t, "key")))
			case 2:
				if len(l.Drafts) == 0 {
					continue
				}
				d := rapid.SampledFrom(l.Drafts).Draw(t, "draft")
				if accept(l, d) != nil {
					continue
				}
				if l.Version() != before.Version && l.Version() != before.Version+1 {
					t.Fatalf("version went from %d to %d", before.Version, l.Version())
				}
				if l.Version() == before.Version {
					continue
				}
				valid := 0
				for _, sig := range l.InForce.Signatures {
					listed := slices.ContainsFunc(before.Signers, func(s mtbundle.Signer) bool { return s.Name == sig.Signer })
					digest := l.InForce.Digest()
					if listed && sig.Signer != l.InForce.Proposer && ed25519.Verify(privateKey(sig.Signer).Public().(ed25519.PublicKey), digest[:], sig.Value) {
						valid++
					}
				}
				if valid < before.Needed {
					t.Fatalf("accepted with %d of %d signatures", valid, before.Needed)
				}
			}
		}
	})
}

func TestDiffAndRenumber(t *testing.T) {
	for _, name := range []string{"ratins.ini", "bundesamt.ini"} {
		text, err := os.ReadFile("../../examples/bundles/" + name)
		assert.NilError(t, err)
		before, faults := mtbundle.Parse(name, text)
		assert.NilError(t, faults.Err())
		after, faults := mtbundle.Parse(name, mtbundle.Renumber(text, 7))
		assert.NilError(t, faults.Err())
		assert.DeepEqual(t, mtbundle.Diff(before, after), []mtbundle.Change{{Field: "[bundle] version", Old: "1", New: "7"}})
		assert.Equal(t, len(mtbundle.Diff(before, before)), 0)
	}
	before, _ := mtbundle.Parse("a", bundleText(1, 1, "a", "ilze", "janis"))
	after, _ := mtbundle.Parse("b", []byte(strings.Replace(string(bundleText(1, 1, "b", "ilze", "janis")), "dispatch send]", "dispatch send]\ntimeout = 2s", 1)))
	assert.DeepEqual(t, mtbundle.Diff(before, after), []mtbundle.Change{{Field: "[class dispatch send] timeout", Old: "1s", New: "2s"}})
}
