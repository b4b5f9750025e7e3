package mtpipeline

import (
	"net"
	"time"
)

// stallGranularity is the part of the stall timeout after which a deadline is set anew.
const stallGranularity = 4

// stallWriter writes to a connection, and fails once the other end has read nothing for the timeout.
// Zero stands for none.
type stallWriter struct {
	net.Conn
	timeout time.Duration
	renewed time.Time // when the deadline was set
}

// Write implements io.Writer.
func (w *stallWriter) Write(p []byte) (int, error) {
	if now := time.Now(); w.timeout > 0 && now.Sub(w.renewed) > w.timeout/stallGranularity {
		w.renewed = now
		_ = w.SetWriteDeadline(now.Add(w.timeout))
	}
	return w.Conn.Write(p)
}

// awaitBody sets the deadline for the next part of the body that is being read.
func (b *trackedBody) awaitBody() {
	timeout := b.conn.server.Limits.StallTimeout
	if now := time.Now(); timeout > 0 && now.Sub(b.renewed) > timeout/stallGranularity {
		b.renewed = now
		_ = b.conn.SetReadDeadline(now.Add(timeout))
	}
}
