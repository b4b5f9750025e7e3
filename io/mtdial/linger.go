package mtdial

import (
	"io"
	"net"
	"time"
)

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
