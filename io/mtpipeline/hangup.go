package mtpipeline

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"magnoliaturn/io/mtdial"
)

// hangUpInterval is how often the connection is checked for a disconnect while nothing is read.
const hangUpInterval = 200 * time.Millisecond

// awaitAnswered waits until a request has been answered, and cancels all pending requests if the
// caller disconnects meanwhile. Nothing is read in that time, and the end of the input would be behind
// requests that the caller has sent already, so the socket is polled for the disconnect.
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
	hungUp, err := mtdial.Poll(socket, unix.POLLRDHUP)
	return err == nil && hungUp
}
