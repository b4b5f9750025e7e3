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

// asyncLines is how many lines wait for a slow reader. At the rate that the
// limits of repeated messages allow, they are some seconds' worth; what comes
// beyond is dropped and counted.
const asyncLines = 4096

// flushTimeout bounds how long the clean-up waits for a reader that has stalled.
const flushTimeout = 300 * time.Millisecond

// Async returns a writer that never blocks: lines go through a bounded ring to
// the goroutine that writes them to w. A reader of the logs that stalls would
// else stall every request that logs something. Lines that found the ring full
// are counted in a line of their own once there is room again. The clean-up
// writes what waits, but not for longer than a moment.
func Async(w io.Writer) (io.Writer, func()) {
	a := &async{ring: mtring.New[[]byte](asyncLines)}
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

// async is the writer of Async.
type async struct {
	ring    *mtring.Ring[[]byte]
	dropped atomic.Int64
	failed  atomic.Int64 // lines that the reader did not take
}

// Write implements io.Writer. A handler writes each line at once.
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
		return // four plain fields always encode
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		a.failed.Add(failed)
		a.dropped.Add(dropped)
	}
}
