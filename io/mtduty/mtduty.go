// Package mtduty provides helpers for background tasks: running a step
// periodically until it is stopped, and sleeping until a context is done.
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

// Every starts a goroutine that calls step once per period. Calls never overlap: a
// step that takes longer than the period delays the next one. The returned
// function stops the task: it cancels the context of the step and waits until the
// step has returned. It may be called more than once.
func Every(period time.Duration, step func(ctx context.Context)) func() {
	return EveryOrOnSignal(period, nil, step)
}

// EveryOrOnSignal is like Every, but also calls step whenever it receives from
// wake.
func EveryOrOnSignal(period time.Duration, wake <-chan struct{}, step func(ctx context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { Repeat(ctx, period, wake, step) })
	return func() {
		cancel()
		task.Wait()
	}
}

// Repeat calls step in each period, and whenever it receives from wake, until ctx is done.
func Repeat(ctx context.Context, period time.Duration, wake <-chan struct{}, step func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		// If ctx is done as well, select chooses at random. Without this
		// check, a step could start after the stop.
		if ctx.Err() == nil {
			step(ctx)
		}
	}
}

// Sleep waits for d and returns true, or returns false as soon as ctx is done.
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
