package mtforward_test

import (
	"errors"
	"net"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// Guards against keys that are given to a record, since another daemon answers at its address.
func TestLoadOfOtherDaemonIsNotReported(t *testing.T) {
	// A daemon of an earlier release doesn't read the name.
	for self, known := range map[mtid.Daemon]bool{"vm-1 üİ": true, "": false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer()
		local, _ := exchange(mtforward.StateSummary{})
		mtforward.Register(server, mtforward.Server{Self: self, Host: &host{}, Clock: mttime.New(), Exchange: local})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		c, _, _ := client(t)
		address := listener.Addr().String()
		assert.NilError(t, c.QueryLoad(t.Context(), "vm-1 üİ", address))
		err = c.QueryLoad(t.Context(), "vm-2", address)
		var other *mtforward.OtherDaemonError
		assert.Equal(t, errors.As(err, &other), known, "%v", err)
		_, reported := c.LoadReport("vm-2")
		assert.Equal(t, reported, !known)
		report, _ := c.LoadReport("vm-1 üİ")
		assert.Assert(t, report.NamedAt >= report.ReceivedAt && report.NamedAt != 0)
		assert.Assert(t, !c.Unresponsive(address))
	}
}
