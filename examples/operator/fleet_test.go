package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// The tour looks for free addresses and starts daemons there a moment later. It took a port
// that the system hands out by itself, another program was given it in between, and the
// daemon could not listen. No port of the tour is one of those.
func TestFreeAddressesAreNotHandedOut(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the system does not tell which ports it hands out")
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
