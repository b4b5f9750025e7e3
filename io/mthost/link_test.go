package mthost_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// grantedBodies announces 20 bodies of 60 kB at once, and returns how many find room.
func grantedBodies(t *testing.T, policy bool) (s *fixture, granted int) {
	t.Helper()
	s = newFixture(t, "127.0.0.1:1")
	s.host.Overload.Link = policy
	for range 20 {
		if s.host.ReserveLink(60_000) == 0 {
			granted++
		}
	}
	return s, granted
}

// Failure: uploads fill the link of a VM, so that small calls arrive late.
func TestBodiesBeyondLinkFindNoRoom(t *testing.T) {
	s, granted := grantedBodies(t, true)
	assert.Assert(t, granted > 0 && granted < 10, "%d granted", granted)
	assert.Equal(t, s.host.Status().LinkFull, int64(20-granted))
}

// Failure: a setting that is off keeps bodies away.
func TestAllBodiesAreGrantedWithoutPolicy(t *testing.T) {
	_, granted := grantedBodies(t, false)
	assert.Equal(t, granted, 20)
}
