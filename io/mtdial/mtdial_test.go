package mtdial_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtdial"
)

// Guards against a port that can't be opened for minutes because the kernel has given it to a connection of
// a daemon, also one that has been closed. Other processes on this VM may have connections at some of
// the ports.
func TestConnectionsLeaveTheirPortsToListeners(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	var whileOpen, afterClose int
	for range 100 {
		conn, err := mtdial.Dial(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		whileOpen += countListen(t, conn.LocalAddr().String())
		assert.NilError(t, conn.Close())
		assert.NilError(t, accepted.Close())
		afterClose += countListen(t, conn.LocalAddr().String())
	}
	t.Logf("%d of 100 ports could be opened while the connection was open, %d after it", whileOpen, afterClose)
	assert.Assert(t, whileOpen > 0 && afterClose > 0)
}

// countListen returns 1 if a port can be opened at an address, and 0 otherwise.
func countListen(t *testing.T, address string) int {
	t.Helper()
	port, err := mtdial.Listen(t.Context(), address)
	if err != nil {
		return 0
	}
	assert.NilError(t, port.Close())
	return 1
}
