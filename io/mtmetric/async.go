package mtmetric

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtring"
)

// maxBufferedLines is how many lines are buffered for a slow reader. At the rate that
// the limits for repeated messages allow, this covers several seconds; further
// lines are dropped and counted.
const maxBufferedLines = 4096

// flushTimeout bounds how long the clean-up waits for a stalled reader.
const flushTimeout = 300 * time.Millisecond

// Async returns a writer that never blocks: lines pass through a bounded ring
// buffer to a goroutine that writes them to w. Without it, a stalled reader of
// the logs would block every request that writes a log line. Lines are dropped
// when the buffer is full, and their number is logged once w accepts lines again.
// The clean-up function writes the buffered lines, for at most 300 ms.
func Async(w io.Writer) (io.Writer, func()) {
	a := &async{ring: mtring.New[[]byte](maxBufferedLines)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			line, ok := a.ring.Take(ctx.Done())
			if !ok {
				return
			}
			a.report(w)
			if _, err := w.Write(line); err != nil {
				a.failed.Add(1)
			}
		}
	}()
	return a, sync.OnceFunc(func() {
		deadline := time.Now().Add(flushTimeout)
		for a.ring.Counts().Waiting > 0 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		cancel()
		select {
		case <-done:
		case <-time.After(time.Until(deadline)):
		}
	})
}

// async implements the writer that Async returns.
type async struct {
	ring    *mtring.Ring[[]byte]
	dropped atomic.Int64
	failed  atomic.Int64 // lines for which the underlying writer returned an error
}

// Write implements io.Writer. Each call must contain one whole line, as the
// handlers of log/slog do.
func (a *async) Write(line []byte) (int, error) {
	if !a.ring.Put(append([]byte(nil), line...)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// report writes how many lines were dropped since the last report.
func (a *async) report(w io.Writer) {
	dropped, failed := a.dropped.Swap(0), a.failed.Swap(0)
	if dropped+failed == 0 {
		return
	}
	line, err := json.Marshal(struct {
		Level   string `json:"level"`
		Message string `json:"msg"`
		Dropped int64  `json:"dropped"`
		Failed  int64  `json:"failed"`
	}{"WARN", "log lines were left out", dropped, failed})
	if err != nil {
		return // can't happen: the fields are strings and integers
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		a.failed.Add(failed)
		a.dropped.Add(dropped)
	}
}
