package mtdial

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Poll reports whether any of the events is pending at a socket, without waiting for it. The events
// are those of poll(2), such as unix.POLLIN.
func Poll(socket syscall.Conn, events int16) (pending bool, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		var n int
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
		pending = n > 0
	})
	if err == nil {
		err = pollErr
	}
	return pending, err
}
