package mtmemory_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtmemory"
)

const mega = mtmemory.Bytes(1 << 20)

// Guards against small requests that are refused because large ones hold the memory, and against
// answers that are refused because of requests.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	l := mtmemory.NewLedger(200 * mega)
	for l.Take(mtmemory.Request, 0, mega) {
		continue
	}
	assert.Assert(t, l.Held() > 70*mega && l.Held() <= 76*mega, "%d", l.Held())
	assert.Assert(t, l.Take(mtmemory.Answer, 0, mega))
	for l.Take(mtmemory.Answer, 0, mega) {
		continue
	}
	for l.Take(mtmemory.Answer, mtmemory.Small, 1) {
		continue
	}
	assert.Assert(t, l.Held() <= 81*mega, "a part of a large answer counts as small")
	assert.Assert(t, l.Take(mtmemory.Request, 0, mtmemory.Small))
	for l.Take(mtmemory.Request, 0, mtmemory.Small) {
		continue
	}
	assert.Assert(t, l.Held() <= 88*mega)
}

// Guards against a body that the configuration allows and that a VM of the smallest size never takes.
func TestLargestBodyFitsSmallestVM(t *testing.T) {
	const smallest, largest = 184_000_000, 64 * mega
	assert.Assert(t, mtmemory.NewLedger(smallest).Take(mtmemory.Request, 0, largest+mtmemory.Small))
}

// Guards against bytes that stay counted.
func TestReturnedBytesAreFree(t *testing.T) {
	l := mtmemory.NewLedger(0)
	assert.Assert(t, l.Take(mtmemory.Answer, 0, 64*mega))
	l.Add(mega)
	l.Return(65 * mega)
	assert.Equal(t, l.Held(), mtmemory.Bytes(0))
}
