package mthost_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mthost"
)

// Guards against another sender, with an address of its own, that is taken for the server of this VM.
func TestHeartbeatThatNamesAnotherAddressIsRejected(t *testing.T) {
	s := newFixture(t, "127.0.0.1:1")
	s.startServer("one")
	for _, address := range []string{"", ":1", "h.invalid:1", "127.0.0.1:", "127.0.0.1:-1", "127.0.0.1:65537", "127.0.0.1:9", "127.1:1", "[::1]:1", "0x7f.0.0.1:1"} {
		for sequence := range uint64(3) {
			b := s.newHeartbeat("other", 1+sequence)
			b.Address = address
			var foreign *mthost.AddressError
			assert.Assert(t, errors.As(s.host.ObserveHeartbeat(b), &foreign), address)
		}
	}
	known, address := s.host.Record()
	assert.Equal(t, known.Incarnation.Server, mtid.Server("one"))
	assert.Equal(t, address, "127.0.0.1:1")
}

// Guards against a server that gets no work because it spells its address in another way than the settings.
func TestEqualSpellingsOfTheServersAddressCount(t *testing.T) {
	for configured, named := range map[string][]string{
		"127.0.0.1:80": {"127.0.0.1:80", "[::ffff:127.0.0.1]:80", "127.0.0.1:080"}, "[::1]:80": {"[0:0:0:0:0:0:0:1]:80"}, "h.invalid:80": {"h.invalid:80"},
	} {
		for _, address := range named {
			s := newFixture(t, configured)
			b := s.newHeartbeat("one", 1)
			b.Address = address
			s.heartbeat(b)
			_, used := s.host.Record()
			assert.Equal(t, used, configured)
		}
	}
}
