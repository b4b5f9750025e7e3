package mtdirectory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtseal"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtstandin"
)

// Guards against a wait of fallow keys that begins anew whenever another writer writes, or deletes and writes, the seal of
// the era, also by an entry that is no seal.
func TestSealWrittenAgainDoesNotRestartWait(t *testing.T) {
	store := mtstandin.NewRevisionStore(time.Now)
	d := start(t, store, "a")
	value, err := mtseal.Seal{Hold: mtseal.MaxHold, By: "ghost"}.Encode()
	assert.NilError(t, err)
	name := mtstore.SealName(0, "maps")
	var first mtclock.Instant
	for _, again := range [][]byte{value, value, []byte("["), nil, value} {
		if again == nil {
			store.Delete(name)
		} else {
			store.Put(name, again)
		}
		mark := store.Put("mark", nil)
		waitFor(t, "it is read", func() bool { return uint64(d.View().Revision) >= uint64(mark) })
		until := d.View().Seals["maps"].HoldsUntil()
		if first == 0 {
			first = until
		}
		assert.Assert(t, !until.After(first), "the wait begins anew, %s later", until.Sub(first))
	}
}
