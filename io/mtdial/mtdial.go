// Package mtdial opens TCP connections that detect a dead peer or path within seconds.
//
// A connection between two VMs may stop transmitting for good without a reset, while new
// connections work. Only a timeout detects this, and the defaults of the kernel are
// minutes. The options set here end such a connection within three seconds, whether it
// is idle or has unacknowledged data.
//
// # Usage
//
//	conn, err := mtdial.Dial(ctx, "tcp", address)
//	listener, err := mtdial.Listen(ctx, address)
//	err = mtdial.AwaitAccepted(ctx, listener) // before closing it
//	mtdial.Linger(conn)                       // before closing it
package mtdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is the time after which the kernel closes a connection whose data is not
// acknowledged. It allows several retransmissions, the first of which comes after 200 ms.
const userTimeout = 1500 * time.Millisecond

// keepAlive detects an idle connection whose peer or path is dead.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Func connects to an address, as Dial does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Dial connects to an address with the options of this package.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: control, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, network, address)
}

// Listen listens on a TCP address. Accepted connections have the options of this package.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp", address)
}

// control sets TCP_USER_TIMEOUT, which package net has no setting for, and SO_REUSEADDR, which it sets
// only for listeners. With both, a listener can be opened at the port that the kernel has given to a
// connection.
func control(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		if sockErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); sockErr != nil {
			return
		}
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
