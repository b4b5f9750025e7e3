package mtingress

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/io/mtdirectory"
)

// BeginShutdown refuses tries from now on that could outlast the daemon: a call may wait here for
// its next try, such as for the new owner of its key. It withdraws those that wait at the gates of
// daemons.
func (s *Sender) BeginShutdown(schedule mtshutdown.Schedule) {
	s.shutdown.Store(&schedule)
	s.triesMu.Lock()
	withdrawals := s.tries.Outlasting(schedule)
	s.triesMu.Unlock()
	if len(withdrawals) > 0 {
		go s.withdraw(schedule, withdrawals)
	}
}

// withdraw sends each daemon its withdrawal and logs what they replied. It returns when this daemon
// retires, at the latest: its connections to the others are still open then.
func (s *Sender) withdraw(schedule mtshutdown.Schedule, withdrawals []mtshutdown.Withdrawal) {
	now := s.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), schedule.Retire.Sub(now))
	defer cancel()
	remember := schedule.CutOff().Sub(now) // the calls are canceled then
	calls := 0
	var refused, unconfirmed atomic.Int64
	var sent sync.WaitGroup
	for _, w := range withdrawals {
		calls += len(w.Tries)
		sent.Go(func() {
			n, err := s.withdrawFrom(ctx, w, remember)
			refused.Add(int64(n))
			if err != nil {
				unconfirmed.Add(1)
			}
		})
	}
	sent.Wait()
	s.Log.Info("calls withdrawn", "calls", calls, "daemons", len(withdrawals), "refused", refused.Load(), "unconfirmed", unconfirmed.Load())
}

func (s *Sender) withdrawFrom(ctx context.Context, w mtshutdown.Withdrawal, remember time.Duration) (int, error) {
	if w.Address == "" {
		return s.Host.Withdraw(w.Tries, remember), nil
	}
	return s.Peers.Withdraw(ctx, w.Address, w.Tries, remember)
}

// registerTry registers a try that begins now, if a shutdown before its end would withdraw it: the
// same tries that checkShutdown refuses during a shutdown. It checks for one again, with the lock
// held: a try is either refused here or among those that BeginShutdown withdraws.
func (s *Sender) registerTry(now mtclock.Instant, call *mtcall.Call, member mtdirectory.Member, state *sending) error {
	call.Try = 0
	if call.Nested || state.uncertain != nil || !mtshutdown.New(now, s.Grace).Outlasts(call.Deadline) {
		return nil
	}
	address := member.Address
	if member.Daemon == s.Self {
		address = ""
	}
	s.triesMu.Lock()
	defer s.triesMu.Unlock()
	if err := s.checkShutdown(call); err != nil {
		return err
	}
	call.Try = mtid.TryID(rand.Uint64())
	s.tries.Add(call.Try, address, call.Deadline)
	return nil
}

// forgetTry removes the try that registerTry registered, which has ended.
func (s *Sender) forgetTry(call *mtcall.Call) {
	if call.Try == 0 {
		return
	}
	s.triesMu.Lock()
	defer s.triesMu.Unlock()
	s.tries.Remove(call.Try)
}

// checkShutdown returns a *mtreply.RefusedError if a try that begins now could outlast the
// daemon. A nested call is not refused: the call that waits for it was accepted.
func (s *Sender) checkShutdown(call *mtcall.Call) error {
	schedule := s.shutdown.Load()
	if schedule == nil || call.Nested {
		return nil
	}
	return schedule.Check(s.Clock.Now(), call.Deadline)
}
