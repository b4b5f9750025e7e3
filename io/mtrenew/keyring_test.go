package mtrenew_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtrenew"
)

// The shared secret of a running fleet is replaced, one daemon after another. In
// each step some daemons have the new files and some the old ones. No datagram
// between them may be rejected, or leases would expire.
func TestSecretRotatesWithoutARefusal(t *testing.T) {
	old, next := []byte("old"), []byte("new")
	steps := [][][]byte{
		{old},
		{old, next}, // all daemons accept the new secret
		{next, old}, // all daemons send with it
		{next},      // the old secret is removed
	}
	secrets := map[string][][]byte{"a": steps[0], "b": steps[0]}
	rings := map[string]mtrenew.Keyring{}
	for name := range secrets {
		rings[name] = mtrenew.NewKeyring(func() [][]byte { return secrets[name] })
	}
	exchange := func(from, to string) error {
		packet, err := rings[from].Seal("w", &mtwire.Renew{From: from})
		assert.NilError(t, err)
		_, err = rings[to].Open("w", packet)
		return err
	}
	for _, step := range steps {
		for _, name := range []string{"a", "b"} {
			secrets[name] = step
			assert.NilError(t, exchange("a", "b"))
			assert.NilError(t, exchange("b", "a"))
		}
	}
	// Datagrams of a daemon that missed the rotation are rejected.
	secrets["a"] = steps[0]
	assert.Assert(t, exchange("a", "b") != nil)
	secrets["a"] = nil
	_, err := rings["a"].Seal("w", &mtwire.Renew{})
	assert.Assert(t, err != nil)
	assert.Assert(t, exchange("b", "a") != nil)
}
