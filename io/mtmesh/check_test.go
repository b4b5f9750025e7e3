package mtmesh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtmesh"
)

// Guards against a newer configuration that is passed over because it is reported while the
// check of an older one is pending, and that nobody reports again.
func TestVersionReportedDuringCheckIsCheckedToo(t *testing.T) {
	const delay = 20 * time.Millisecond
	checked := make(chan mtid.Version, 10)
	report := mtmesh.NewDelayedCheck(delay, func(v mtid.Version) { checked <- v })
	for _, v := range []mtid.Version{4, 7, 5, 7, 4} {
		report(v)
	}
	assert.Equal(t, <-checked, mtid.Version(4))
	assert.Equal(t, <-checked, mtid.Version(7))
	time.Sleep(5 * delay)
	assert.Equal(t, len(checked), 0, "a version was checked again")
	report(7)
	assert.Equal(t, <-checked, mtid.Version(7))
}
