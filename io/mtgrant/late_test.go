package mtgrant_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtgrant"
	"magnoliaturn/io/mtwatch"
)

// lateServer is a backend server that leaves grants unanswered while delaying is set, and
// executes them when the test calls executeLate. It refuses a grant if it has seen a higher
// epoch on one of the keys.
type lateServer struct {
	fleet *fleet

	mu       sync.Mutex
	delaying bool
	// pause is for how long the daemon is paused before a delayed grant leaves it.
	pause time.Duration
	// delayFirst leaves the first grant under each epoch unanswered, and answers the others.
	delayFirst bool
	epochs     map[mtid.Epoch]bool // seen while delayFirst was set
	delayed    []delayedGrant
	seen       []mtrange.Range // all grants that were executed
	held       []mtrange.Range
	releases   int
}

// delayedGrant is a grant that was not answered. Its duration counts from its arrival.
type delayedGrant struct {
	mtrange.Range
	until mtclock.Instant
}

func (s *lateServer) Grant(_ context.Context, _ string, r mtrange.Range, duration time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.delayFirst && !s.epochs[r.Epoch]
	if first {
		s.epochs[r.Epoch] = true
	}
	if s.delaying || first {
		s.fleet.clock.advance(s.pause)
		s.delayed = append(s.delayed, delayedGrant{Range: r, until: s.fleet.clock.Steady().Add(duration)})
		return context.DeadlineExceeded
	}
	return s.execute(r)
}

// execute executes a grant. It is called with mu held.
func (s *lateServer) execute(r mtrange.Range) error {
	for _, earlier := range s.seen {
		if earlier.Epoch > r.Epoch && earlier.Low <= r.High && r.Low <= earlier.High {
			return &mtgrant.SupersededError{Epoch: r.Epoch}
		}
	}
	s.seen = append(s.seen, r)
	s.held = append(s.held, r)
	return nil
}

func (s *lateServer) Release(_ context.Context, _ string, low, high mtid.KeyNumber, _ mtid.Epoch) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases++
	var kept []mtrange.Range
	for _, r := range s.held {
		before, after := r, r
		before.High = min(r.High, low-1)
		after.Low = max(r.Low, high+1)
		if r.Low < low {
			kept = append(kept, before)
		}
		if r.High > high {
			kept = append(kept, after)
		}
	}
	s.held = kept
	return "warm", nil
}

func (s *lateServer) setDelaying(delaying bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delaying = delaying
}

func (s *lateServer) delayedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.delayed)
}

// executeLate executes the delayed grants whose time has not passed.
func (s *lateServer) executeLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, late := range s.delayed {
		if s.fleet.clock.Steady().Before(late.until) {
			_ = s.execute(late.Range)
		}
	}
	s.delayed = nil
}

// executeIfMoved executes the delayed grants once the store assigns the first key to another
// owner, at the first moment at which that could do harm.
func (s *lateServer) executeIfMoved() {
	if s.fleet.storedOwner(0) != "a" {
		s.executeLate()
	}
}

// storedOwner returns the daemon of the owner of a key by the assignment in the store.
func (f *fleet) storedOwner(key mtid.KeyNumber) mtid.Daemon {
	r, _ := f.storedTable().Lookup(key)
	return r.Owner.Daemon
}

func (f *fleet) storedTable() *mtrange.Table {
	entry, err := f.store.Get(context.Background(), mtstore.RangeName(0, service))
	assert.NilError(f.t, err)
	table, err := mtrange.Decode(entry.Value)
	assert.NilError(f.t, err)
	return table
}

// violations returns the ranges that the server holds although the store assigns their first
// key to another owner.
func (s *lateServer) violations() []string {
	table := s.fleet.storedTable()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for _, r := range s.held {
		if assigned, _ := table.Lookup(r.Low); assigned.Owner != ownerOf("a") {
			found = append(found, fmt.Sprintf("keys from %d at epoch %d, assigned to %s at %d", r.Low, r.Epoch, assigned.Owner.Daemon, assigned.Epoch))
		}
	}
	return slices.Compact(found)
}

// overload makes the server of daemon a overloaded, while that of b has spare capacity.
func (f *fleet) overload() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownLoad = mtrange.LoadReport{Owner: ownerOf("a"), Slots: 10, Demand: 25, Keys: 32768, Known: true}
	f.otherLoads = []mtrange.LoadReport{{Owner: ownerOf("b"), Slots: 10, Demand: 1, Keys: 32768, Known: true}}
}

// untilMoved waits until the first keys have moved to b, which must take less than the
// time until an unanswered command expires.
func (f *fleet) untilMoved() {
	f.t.Helper()
	began := f.clock.Now()
	f.until("keys have moved", func() bool {
		f.clock.advance(5 * time.Millisecond)
		return f.owner(0) == "b"
	})
	took := f.clock.Now().Sub(began)
	assert.Assert(f.t, took < grantDuration/2, "moved after %v", took)
}

func newLateFleet(t *testing.T) (*fleet, *lateServer) {
	f := newFleet(t, "a", "b")
	server := &lateServer{fleet: f, epochs: make(map[mtid.Epoch]bool)}
	f.client = server
	f.start()
	f.until("the own range is granted", func() bool { return f.grants.CheckGranted(incarnationOf("a"), 0) == nil })
	return f, server
}

// delayRenewal makes the server leave a renewal of its keys unanswered.
func (f *fleet) delayRenewal(server *lateServer) {
	server.setDelaying(true)
	f.clock.advance(grantDuration / 2)
	f.directory.Publish(record("a", mtbackend.Ready))
	f.grants.Wake()
	f.until("a renewal is unanswered", func() bool { return server.delayedCount() > 0 })
}

// restartWithUnansweredGrant restarts the daemon while a renewal is unanswered, and waits until
// the next process has granted the keys.
func (f *fleet) restartWithUnansweredGrant(server *lateServer) {
	f.delayRenewal(server)
	f.stop()
	server.setDelaying(false)
	f.restarted = true
	f.start()
	f.until("the successor has granted the keys", func() bool { return f.grants.CheckGranted(incarnationOf("a"), 0) == nil })
}

// checkLateGrant checks that an overloaded server moves keys only once an unanswered grant must
// have expired, and holds no key alongside its new owner if it executes the grant after that.
func (f *fleet) checkLateGrant(server *lateServer) {
	f.t.Helper()
	f.overload()
	began := f.clock.Now()
	f.until("keys have moved", func() bool {
		f.clock.advance(20 * time.Millisecond)
		f.directory.Publish(record("a", mtbackend.Ready))
		server.executeIfMoved()
		return f.owner(0) == "b"
	})
	assert.DeepEqual(f.t, server.violations(), []string(nil))
	took := f.clock.Now().Sub(began)
	assert.Assert(f.t, took > grantDuration, "moved after %v, while the grant could still take effect", took)
}

// A grant of a daemon's previous process is executed after its successor has moved the keys.
// The server must not hold them alongside their new owner.
func TestLateGrantOfPreviousProcessTakesNoMovedKey(t *testing.T) {
	f, server := newLateFleet(t)
	f.restartWithUnansweredGrant(server)
	f.checkLateGrant(server)
}

// A daemon moves keys after one of its own grants was not answered, and the grant is executed
// after the move. The server must not hold the keys alongside their new owner.
func TestLateGrantTakesNoMovedKey(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	server.setDelaying(false)
	f.checkLateGrant(server)
}

// A daemon is paused between its decision to send a grant and the sending. The grant takes effect
// from its arrival, after the pause, so that its keys must wait for that much longer.
func TestGrantThatLeavesAfterPauseTakesNoMovedKey(t *testing.T) {
	f, server := newLateFleet(t)
	server.mu.Lock()
	server.pause = grantDuration / 2
	server.mu.Unlock()
	f.delayRenewal(server)
	server.setDelaying(false)
	f.checkLateGrant(server)
}

// A server leaves while one of its daemon's grants is unanswered. Its keys must move soon, and
// the late grant must not give them back.
func TestKeysOfLeavingServerMoveSoonDespiteUnansweredGrant(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	server.setDelaying(false)
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.untilMoved()
	server.executeLate()
	assert.DeepEqual(t, server.violations(), []string(nil))
}

// A server leaves just after its daemon was restarted. Its keys must not wait until every
// command of the previous process must have expired: the server has ended by then, and the
// keys would be unserved for seconds.
func TestKeysOfLeavingServerMoveSoonAfterRestart(t *testing.T) {
	f, server := newLateFleet(t)
	f.restartWithUnansweredGrant(server)
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.untilMoved()
	server.executeLate()
	assert.DeepEqual(t, server.violations(), []string(nil))
}

// A server is leaving when its daemon restarts. It is granted nothing more, so that nothing
// makes it refuse the commands of the previous process: its keys must move only once these
// have expired.
func TestKeysOfLeavingServerWaitForCommandsOfPreviousProcess(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	f.stop()
	server.setDelaying(false)
	f.host.set(mtbackend.Draining)
	f.restarted = true
	f.start()
	f.until("the assignment is read", func() bool { return f.owner(0) == "a" })
	f.letLoopsRun()
	assert.Equal(t, f.owner(0), mtid.Daemon("a"), "moved while a command of the previous process may be executed")
	f.clock.advance(grantDuration + time.Second)
	f.until("the keys have moved", func() bool { return f.owner(0) == "b" })
}

// A server leaves the first grant under each epoch unanswered while it is leaving. Its daemon
// must not write a new epoch several times a second in the hope of better luck.
func TestEpochIsRenewedRarely(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	server.mu.Lock()
	server.delaying, server.delayFirst = false, true
	server.mu.Unlock()
	before := f.storedTable().Next
	f.directory.Publish(f.host.set(mtbackend.Draining))
	for range 8 {
		f.clock.advance(500 * time.Millisecond)
		f.grants.Wake()
		time.Sleep(450 * time.Millisecond) // at least one run of each loop; fewer would make the test weaker
	}
	written := f.storedTable().Next - before
	assert.Assert(t, written <= 3, "%d epochs written in 4 s", written)
}

// The keys of a leaving server get a new epoch, and the server denies holding one of them before
// that is written, so that nothing more is granted to it. Its keys must not move while an
// unanswered grant under the earlier epoch may still be executed.
func TestNewEpochKeepsUncertaintyOfEarlierOne(t *testing.T) {
	f := newFleet(t, "a", "b")
	server := &lateServer{fleet: f, epochs: make(map[mtid.Epoch]bool)}
	f.client = server
	f.delegate = func(context.Context, mtrange.Batch) ([]mtrange.Outcome, bool) {
		f.grants.Regrant(0)
		return nil, false
	}
	f.start()
	f.until("the own range is granted", func() bool { return f.grants.CheckGranted(incarnationOf("a"), 0) == nil })
	f.delayRenewal(server)
	server.setDelaying(false)
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the epoch is renewed", func() bool { return f.storedTable().Next > 3 })
	f.letLoopsRun()
	server.executeIfMoved()
	assert.DeepEqual(t, server.violations(), []string(nil))
}

// staleSource delivers an earlier state until it is released.
type staleSource struct {
	mtwatch.Source
	state    mtstore.Changes
	released chan struct{}
}

func (s *staleSource) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	select {
	case <-s.released:
		return s.Source.Watch(ctx, prefix, after, wait)
	default:
	}
	if after == 0 {
		return s.state, nil
	}
	select {
	case <-s.released:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return mtstore.Changes{Revision: after}, ctx.Err()
}

// A restarted daemon first receives a copy from before its previous process was given some keys.
// If it took these for new, they would move although a command of that process may be executed.
func TestCommandsOfPreviousProcessAreKnownDespiteStaleCopy(t *testing.T) {
	f, server := newLateFleet(t)
	stale, err := f.store.Watch(t.Context(), "", 0, 0)
	assert.NilError(t, err)
	table, err := f.storedTable().Move(mtid.LastKeyNumber-99, mtid.LastKeyNumber, ownerOf("a"), "")
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	f.store.Put(mtstore.RangeName(0, service), value)
	f.until("the new keys are granted", func() bool { return f.grants.CheckGranted(incarnationOf("a"), mtid.LastKeyNumber) == nil })
	f.delayRenewal(server)
	f.until("both renewals are unanswered", func() bool { return server.delayedCount() > 1 })
	f.stop()
	server.setDelaying(false)
	f.restarted = true
	source := &staleSource{Source: f.store, state: stale, released: make(chan struct{})}
	f.source = source
	f.start()
	f.until("the stale copy is read", func() bool { return f.owner(0) == "a" })
	f.letLoopsRun()
	close(source.released)
	f.until("the keys are granted", func() bool { return f.grants.CheckGranted(incarnationOf("a"), mtid.LastKeyNumber) == nil })
	f.directory.Publish(f.host.set(mtbackend.Draining))
	f.until("the new keys have moved", func() bool {
		f.clock.advance(5 * time.Millisecond)
		return f.owner(mtid.LastKeyNumber) == "b"
	})
	server.executeLate()
	assert.DeepEqual(t, server.violations(), []string(nil))
}

// Commands go unanswered while a server is leaving. Its daemon must not write a new
// epoch again and again in the hope of an answer.
func TestEpochIsRenewedRarelyWhileCommandsGoUnanswered(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	before := f.directory.View().Assignments[service].Next
	const seconds = 4
	f.directory.Publish(f.host.set(mtbackend.Draining))
	for range 2 * seconds {
		f.clock.advance(500 * time.Millisecond)
		time.Sleep(250 * time.Millisecond) // at least one run of the loop; fewer would make the test weaker
	}
	written := f.directory.View().Assignments[service].Next - before
	assert.Assert(t, written <= 2, "%d epochs written in %d s", written, seconds)
	assert.Equal(t, server.releases, 0)
}

// Guards against two servers that own the same keys: the time of day jumps ahead, keys with an
// unanswered grant move, and the grant is executed after that.
func TestClockThatJumpsAheadDoesNotExpireCommands(t *testing.T) {
	f, server := newLateFleet(t)
	f.delayRenewal(server)
	server.setDelaying(false)
	f.clock.jump(time.Hour)
	f.checkLateGrant(server)
}
