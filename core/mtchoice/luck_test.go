package mtchoice_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtchoice"
)

// A service of 140 servers is asked for more than it can do, and one server in fifty has
// room at any moment. A call must not be taken to six of them in turn; once every second
// one has room again, it is.
func TestACallLooksAtFewServersWhileAllAreFull(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var luck mtchoice.Luck
	assert.Equal(t, luck.Looks(5), 5, "nothing is known yet")
	looks := func(calls int, room float64) float64 {
		n := 0
		for range calls {
			for range luck.Looks(5) {
				n++
				found := random.Float64() < room
				luck.Note(found)
				if found {
					break
				}
			}
		}
		return float64(n) / float64(calls)
	}
	looks(100, 0.02)
	assert.Assert(t, looks(1000, 0.02) < 0.5)
	looks(1000, 0.5)
	assert.Assert(t, looks(1000, 0.5) > 1.8, "a call that finds room at every second server needs two looks")
}
