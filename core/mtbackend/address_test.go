package mtbackend_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
)

// Guards against addresses that lead to nobody, or to a search for a name that doesn't end.
func TestNamesIP(t *testing.T) {
	for _, address := range []string{
		"h:80", "no.such.host:80", "1.2.3:80", "256.1.1.1:80", "127.1:80", "0x7f.1:80", "127.0.0.1:080", "127.0.0.1:+80", "127.0.0.1:", "127.0.0.1", "127.0.0.1:65536",
		"127.0.0.01:80", "[127.0.0.1]:80", "h%2e:80", "..:80", "[::1]", "::1:80", "[::1]:", ":80", "", "[h:80", "[::1%réseau]:",
	} {
		assert.Assert(t, !mtbackend.Record{Address: address}.NamesIP(), address)
	}
	// What daemons write of the hosts that their settings accept.
	for _, host := range []string{"127.0.0.1", "10.128.0.9", "0.0.0.0", "::1", "2001:db8::1", "2001:DB8:0::1", "::ffff:10.0.0.1", "fe80::1%eth0"} {
		for _, port := range []string{"1", "80", "65535"} {
			address := net.JoinHostPort(host, port)
			assert.Assert(t, mtbackend.Record{Address: address}.NamesIP(), address)
		}
	}
}
