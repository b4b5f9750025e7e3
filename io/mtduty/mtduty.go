// Package mtduty holds the two things that most duties begin with: doing a step
// at a steady pace until stopped, and pausing in a way that a stop ends.
//
// # Usage
//
//	stop := mtduty.Every(time.Second, func(ctx context.Context) { pool.Expire(clock.Now()) })
//	defer stop()
//
//	for mtduty.Sleep(ctx, pause) { ... }
//
// All functions are safe for concurrent use.
package mtduty

import (
	"context"
	"sync"
	"time"
)

// Every starts a goroutine that calls step once in each period, never twice at
// a time; a step that outlasts the period delays the next one. The returned
// function ends the duty: it cancels the step's context and waits for the step
// to return. It may be called more than once.
func Every(period time.Duration, step func(ctx context.Context)) func() {
	return EveryOr(period, nil, step)
}

// EveryOr is Every, with a step also whenever wake has something.
func EveryOr(period time.Duration, wake <-chan struct{}, step func(ctx context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			case <-wake:
			}
			// The stop may be ready as well, and select draws then: without this
			// look a step would begin after it.
			if ctx.Err() == nil {
				step(ctx)
			}
		}
	})
	return func() {
		cancel()
		duty.Wait()
	}
}

// Sleep pauses for d and returns true, or returns false as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
