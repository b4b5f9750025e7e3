// Package mtdial opens TCP connections that don't stay silent for ever.
//
// Between two VMs an open connection may go silent for good, without a reset,
// while new ones work. Nobody hears of it but by a time-out; the kernel's own
// are counted in minutes. The options set here end such a connection within
// three seconds, whether bytes are on their way or not.
//
// # Usage
//
//	conn, err := mtdial.Dial(ctx, "tcp", address)
//	listener, err := mtdial.Listen(ctx, address)
package mtdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledged is after which time the kernel gives a connection up whose bytes
// nobody acknowledges. Several retransmissions fit into it, the first of which
// comes after 200 ms.
const unacknowledged = 1500 * time.Millisecond

// keepAlive finds an idle connection that has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial connects to an address.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: control, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, network, address)
}

// Listen listens on a TCP address; the options hold for what is accepted.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: control, KeepAliveConfig: keepAlive}
	return config.Listen(ctx, "tcp", address)
}

// control sets the option that package net does not know.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
