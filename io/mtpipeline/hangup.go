package mtpipeline

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hangUpInterval is how often it is checked that the caller is there while nothing is read.
const hangUpInterval = 200 * time.Millisecond

// awaitAnswered waits until a request has been answered. Nothing is read meanwhile, so that only
// the kernel knows if the caller disconnects behind a request that it has sent already. Then all
// pending requests are canceled.
func (c *conn) awaitAnswered(answered <-chan struct{}) {
	select {
	case <-answered:
		return
	default:
	}
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ticker.C:
		}
		if c.hungUp() {
			c.cancel()
			<-answered
			return
		}
	}
}

// hungUp reports whether the caller has disconnected; false if that is unknown.
func (c *conn) hungUp() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		events, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
		hungUp = pollErr == nil && events > 0
	})
	return err == nil && hungUp
}
