package mtdial

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AcceptPending accepts the connections that the kernel has established and that no call of
// Accept has returned yet. The kernel resets them when the listener is closed: a client that
// connects during a shutdown, or has sent its first request, sees a reset instead of an
// orderly close. It returns what it could accept, with the first error, and nothing for a
// listener that is closed already or does not implement syscall.Conn.
func AcceptPending(listener net.Listener) ([]net.Conn, error) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted []net.Conn
	controlErr := raw.Control(func(listening uintptr) {
		for {
			var conn net.Conn
			conn, err = acceptOne(int(listening))
			if err != nil {
				return
			}
			accepted = append(accepted, conn)
		}
	})
	if errors.Is(controlErr, net.ErrClosed) {
		return nil, nil
	}
	if controlErr != nil {
		return accepted, controlErr
	}
	if err == unix.EAGAIN {
		return accepted, nil
	}
	return accepted, err
}

// acceptOne accepts a connection without blocking.
func acceptOne(listening int) (net.Conn, error) {
	descriptor, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "accepted")
	defer func() { _ = file.Close() }() // the connection has a descriptor of its own
	return net.FileConn(file)
}

// lingerTime is how long a peer has to read what was written last.
const lingerTime = 500 * time.Millisecond

// Linger closes the write side of a connection and discards input until the peer closes its
// side too, or for half a second. Closing a connection with unread input would reset it, and
// what is in transit would be lost. It does not close the connection, and does nothing if the
// connection can't be half-closed.
func Linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, conn)
}
