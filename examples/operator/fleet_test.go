package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// Between the check of an address and the daemon's start, the system may assign an
// ephemeral port to another program, and the daemon then fails to listen. freeAddress
// returns no ephemeral port.
func TestFreeAddressIsNotEphemeral(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range of ephemeral ports is not readable")
	}
	var first, last int
	_, err = fmt.Sscan(string(text), &first, &last)
	assert.NilError(t, err)
	for range 200 {
		address, err := freeAddress()
		assert.NilError(t, err)
		_, text, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		port, err := strconv.Atoi(text)
		assert.NilError(t, err)
		assert.Assert(t, port < first || port > last, "%d is between %d and %d", port, first, last)
	}
}
