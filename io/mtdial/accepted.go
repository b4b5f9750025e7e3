package mtdial

import (
	"context"
	"io"
	"net"
	"time"
)

// Unopened is the address of a listener that isn't open, so that no connections wait there.
type Unopened string

// Network implements net.Addr.
func (Unopened) Network() string { return "tcp" }

// String implements net.Addr.
func (u Unopened) String() string { return string(u) }

// AwaitAccepted waits until the connections that a listener's kernel has established so far have
// been accepted, or until ctx ends. It is called before the listener is closed, which resets the
// connections that still wait: a client that connects during a shutdown would lose the request
// that it has sent. Connections are accepted in their order, so AwaitAccepted opens one itself
// and waits for its end. It fails with the error of that connection.
func AwaitAccepted(ctx context.Context, listener net.Listener) error {
	address := listener.Addr()
	if _, ok := address.(Unopened); ok {
		return nil
	}
	dialer := net.Dialer{Control: control}
	conn, err := dialer.DialContext(ctx, address.Network(), address.String())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			return err
		}
	}
	_, err = io.Copy(io.Discard, conn)
	return err
}
