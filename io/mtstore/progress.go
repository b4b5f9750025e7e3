package mtstore

import (
	"context"
	"fmt"
	"io"
	"time"
)

// StalledError reports that a store sent nothing more for some time.
type StalledError struct{ Idle time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("nothing received for %s", e.Idle) }

// progress cancels a call when its response has not advanced for some time. A limit for the whole
// response would depend on its size and on the link, and a response that is cut off by it has used the
// link for nothing.
type progress struct {
	timer *time.Timer
	idle  time.Duration
}

// watchProgress returns a context that is canceled with a *StalledError if the response does not begin
// within first, or has a pause of idle after that. The returned function releases the resources.
func watchProgress(ctx context.Context, first, idle time.Duration) (context.Context, *progress, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancel(&StalledError{Idle: first}) })
	return ctx, &progress{timer: timer, idle: idle}, func() {
		timer.Stop()
		cancel(nil)
	}
}

// advanced restarts the wait for the next part of the response.
func (p *progress) advanced() { p.timer.Reset(p.idle) }

// reader returns r with each part that is read counted as progress.
func (p *progress) reader(r io.Reader) io.Reader { return &progressReader{Reader: r, progress: p} }

type progressReader struct {
	io.Reader
	*progress
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.advanced()
	}
	return n, err
}
