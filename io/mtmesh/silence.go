package mtmesh

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"magnoliaturn/core/mtspread"
	"magnoliaturn/io/mtduty"
)

const (
	// silenceChecks is how many checks in a row a daemon must leave unanswered to be passed over, and
	// silenceCheckTime how long each of them may take.
	silenceChecks    = 2
	silenceCheckTime = 500 * time.Millisecond
	// minSilencePause is the pause before the first check of a daemon that is passed over, and
	// maxSilencePause bounds the later ones.
	minSilencePause = 500 * time.Millisecond
	maxSilencePause = 2 * time.Second
	// silenceChecked is how long a daemon is checked. If it is still asked then, it is checked anew.
	silenceChecked = time.Minute
)

// silentPeers tracks the daemons that answer nothing although there are records of them: those of
// another writer, for example. No changes are requested from them, and no writes. It is safe for
// concurrent use.
type silentPeers struct {
	ask func(ctx context.Context, n mtspread.Node) error // any call that a daemon answers at once
	log *slog.Logger

	ctx     context.Context // canceled by stop
	cancel  context.CancelFunc
	checks  sync.WaitGroup
	mu      sync.Mutex
	known   map[string]bool // by address, those that are checked; true if the daemon is passed over
	answers map[string]bool // by address, those that have answered and are not passed over
	changes uint64          // of those that are passed over
	logged  map[string]bool // by address, those of which it is logged that they are passed over
}

func newSilentPeers(log *slog.Logger, ask func(ctx context.Context, n mtspread.Node) error) *silentPeers {
	ctx, cancel := context.WithCancel(context.Background())
	return &silentPeers{ask: ask, log: log, ctx: ctx, cancel: cancel, known: make(map[string]bool), answers: make(map[string]bool), logged: make(map[string]bool)}
}

// stop ends all checks.
func (s *silentPeers) stop() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.checks.Wait()
}

// answered reports whether a daemon has answered at some time and isn't passed over.
func (s *silentPeers) answered(n mtspread.Node) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[n.Address]
}

// confirm asks a daemon that has never answered, and reports whether it answers soon. Without that, a call that
// waits for changes would take as long as it may wait, and longer, where nobody answers.
func (s *silentPeers) confirm(ctx context.Context, n mtspread.Node) bool {
	if s.answered(n) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, silenceCheckTime)
	defer cancel()
	if s.ask(ctx, n) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[n.Address] = true
	return true
}

// suspect starts to check a daemon that has not answered, unless it is checked already.
func (s *silentPeers) suspect(n mtspread.Node) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, checked := s.known[n.Address]; checked || s.ctx.Err() != nil {
		return
	}
	s.known[n.Address] = false
	s.checks.Go(func() { s.check(n) })
}

// check checks a daemon until it answers, or fails at once, and passes it over meanwhile once it has left some
// checks unanswered. A call that fails at once, as to a daemon that restarts, delays nothing.
func (s *silentPeers) check(n mtspread.Node) {
	begun, pause, unanswered := time.Now(), minSilencePause, 0
	for {
		asked := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, silenceCheckTime)
		err := s.ask(ctx, n)
		cancel()
		atOnce := time.Since(asked) < silenceCheckTime/2
		if err == nil || atOnce || s.ctx.Err() != nil || time.Since(begun) > silenceChecked {
			s.forget(n, err == nil)
			return
		}
		unanswered++
		if unanswered < silenceChecks {
			continue
		}
		if unanswered == silenceChecks {
			s.passOver(n, err)
		}
		mtduty.Sleep(s.ctx, pause)
		pause = min(2*pause, maxSilencePause)
	}
}

// passOver records that a daemon is passed over.
func (s *silentPeers) passOver(n mtspread.Node, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[n.Address] = true
	delete(s.answers, n.Address)
	s.changes++
	if s.logged[n.Address] {
		return
	}
	s.logged[n.Address] = true
	s.log.Warn("daemon that answers nothing is passed over for changes", "peer", n.Daemon, "address", n.Address, "error", err)
}

// forget ends the check of a daemon.
func (s *silentPeers) forget(n mtspread.Node, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[n.Address] {
		s.changes++
	}
	delete(s.known, n.Address)
	if !answered {
		return
	}
	s.answers[n.Address] = true
	if s.logged[n.Address] {
		delete(s.logged, n.Address)
		s.log.Info("daemon that answered nothing answers", "peer", n.Daemon, "address", n.Address)
	}
}

// has reports whether the daemon at an address is passed over.
func (s *silentPeers) has(address string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[address]
}

// version counts the changes of the daemons that are passed over.
func (s *silentPeers) version() uint64 {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// count returns the number of daemons that are passed over.
func (s *silentPeers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, passedOver := range s.known {
		if passedOver {
			n++
		}
	}
	return n
}
