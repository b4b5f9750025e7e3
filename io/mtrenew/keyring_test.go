package mtrenew_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtrenew"
)

// The shared secret is replaced on a running fleet, one daemon after another.
// In each step some daemons have the new files and some the old ones; no
// datagram between them may be refused, or leases would lapse.
func TestSecretRotatesWithoutARefusal(t *testing.T) {
	old, next := []byte("old"), []byte("new")
	steps := [][][]byte{
		{old},
		{old, next}, // everyone accepts the new one
		{next, old}, // everyone sends with it
		{next},      // the old one is dropped
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
	// A daemon that missed the rotation is shut out.
	secrets["a"] = steps[0]
	assert.Assert(t, exchange("a", "b") != nil)
	secrets["a"] = nil
	_, err := rings["a"].Seal("w", &mtwire.Renew{})
	assert.Assert(t, err != nil)
	assert.Assert(t, exchange("b", "a") != nil)
}
