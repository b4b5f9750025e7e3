package mtforward_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// countedConn counts the bytes that it receives.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Guards against a large configuration that fills the link of each daemon that it is sent to.
func TestLargeChangesAreSentCompressed(t *testing.T) {
	const routes = 4000
	var text strings.Builder
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r-%07x","route_kind":"idempotent","priority":1,"match":{"path_prefix":"/%x/"},"action":{"service":"desk"}},`, i*7919, i*15485863)
	}
	want := mtstore.Entry{Name: "op/routes", Value: []byte(text.String()), Version: 7, Revision: 9}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	local, _ := exchange(mtforward.StateSummary{})
	mtforward.Register(server, mtforward.Server{
		Host: &host{}, Clock: mttime.New(), Exchange: local,
		ServeChanges: func(context.Context, mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
			return mtforward.ChangesReply{Changes: mtstore.Changes{Entries: []mtstore.Entry{want}}}, nil
		},
	})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var received atomic.Int64
	c, cleanUp := mtforward.NewClient(mttime.New(), func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := mtdial.Dial(ctx, network, address)
		return countedConn{Conn: conn, received: &received}, err
	}, local, nil)
	defer cleanUp()
	reply, err := c.PullChanges(t.Context(), listener.Addr().String(), mtforward.ChangesRequest{})
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Changes.Entries, []mtstore.Entry{want})
	t.Logf("%d bytes received for %d", received.Load(), text.Len())
	assert.Assert(t, received.Load() < int64(text.Len()/4), "%d bytes received for %d", received.Load(), text.Len())
}
