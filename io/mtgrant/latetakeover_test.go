package mtgrant_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtstandin"
)

// lateStore is a store that leaves takeovers unanswered and executes them when the test calls
// executeLate.
type lateStore struct {
	*mtstandin.RevisionStore
	mu   sync.Mutex
	late []func() error
}

func (s *lateStore) SwapIf(ctx context.Context, conditions []mtstore.Condition, name string, expected mtid.Version, value []byte, lease mtstore.LeaseID) (mtid.Version, error) {
	if !strings.HasPrefix(name, mtstore.RangePrefix) || len(conditions) == 0 {
		return s.RevisionStore.SwapIf(ctx, conditions, name, expected, value, lease)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = append(s.late, func() error {
		_, err := s.RevisionStore.SwapIf(context.Background(), conditions, name, expected, value, lease)
		return err
	})
	return 0, &mtstore.UnknownError{Op: "swap", Name: name, Err: context.DeadlineExceeded}
}

func (s *lateStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.late)
}

// executeLate executes the unanswered takeovers and returns how many of them succeeded.
func (s *lateStore) executeLate() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := 0
	for _, execute := range s.late {
		if execute() == nil {
			succeeded++
		}
	}
	s.late = nil
	return succeeded
}

// startPeer starts the directory of another daemon, which writes its record. The returned function
// ends it with its record.
func (f *fleet) startPeer(d mtid.Daemon) func() {
	directory, closeDirectory := mtdirectory.New(mtdirectory.Config{Self: d, Store: f.store, Clock: f.clock, Lease: lease, Log: slog.New(slog.DiscardHandler)})
	directory.Publish(record(d, mtbackend.Ready))
	f.until("the record of a peer is in the copy", func() bool {
		m, ok := f.directory.View().Members[d]
		return ok && !m.Expired && m.Version.Number() > 0 && directory.RecordVersion() == m.Version
	})
	return sync.OnceFunc(closeDirectory)
}

// endPeers ends the records of daemons and waits until the copy shows that.
func (f *fleet) endPeers(stops map[mtid.Daemon]func()) {
	for d, stop := range stops {
		stop()
		f.until("the record of a peer has expired in the copy", func() bool { return f.directory.View().Members[d].Expired })
	}
}

// lateTakeover is a case of TestTakeoverExecutedLateGivesNoKeyOfReturnedServer.
type lateTakeover struct {
	vms, lost int
	returns   int           // of the lost daemons before the takeovers are executed
	up, down  time.Duration // how long each return lasts, and how long after its end the next one begins or the takeovers are executed
}

// A takeover is executed seconds after it was sent, when the lost daemon has been back and is lost
// again: its server must not lose keys that the return has granted to it.
func TestTakeoverExecutedLateGivesNoKeyOfReturnedServer(t *testing.T) {
	cases := []lateTakeover{
		{vms: 2, lost: 1, returns: 1, up: time.Second, down: 0},
		{vms: 2, lost: 1, returns: 1, up: 100 * time.Millisecond, down: 4 * time.Second},
		{vms: 3, lost: 1, returns: 2, up: 500 * time.Millisecond, down: time.Second},
		{vms: 5, lost: 3, returns: 1, up: 2 * time.Second, down: 500 * time.Millisecond},
		{vms: 40, lost: 20, returns: 1, up: time.Second, down: time.Second},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d VMs, %d lost, %d returns, up %s, down %s", c.vms, c.lost, c.returns, c.up, c.down), func(t *testing.T) {
			checkLateTakeover(t, c)
		})
	}
}

func checkLateTakeover(t *testing.T, c lateTakeover) {
	daemons := []mtid.Daemon{"a"}
	for n := range c.vms - 1 {
		daemons = append(daemons, mtid.Daemon(fmt.Sprintf("b%02d", n)))
	}
	f := newFleet(t, daemons...)
	late := &lateStore{RevisionStore: f.store}
	f.storeOfA = late
	f.start()
	lost := make(map[mtid.Daemon]func())
	startLost := func() {
		for _, d := range daemons[1 : 1+c.lost] {
			lost[d] = f.startPeer(d)
		}
	}
	t.Cleanup(func() {
		for _, stop := range lost {
			stop()
		}
	})
	for _, d := range daemons[1 : 1+c.lost] {
		f.store.Delete(mtstore.BackendName(0, d))
	}
	startLost()
	f.endPeers(lost)
	f.until("a takeover is unanswered", func() bool {
		f.clock.advance(50 * time.Millisecond)
		f.directory.Publish(record("a", mtbackend.Ready))
		return late.count() > 0
	})
	for range c.returns {
		startLost()
		f.clock.advance(c.up)
		f.endPeers(lost)
		f.clock.advance(c.down)
	}
	f.letLoopsRun()
	assert.Equal(t, late.executeLate(), 0, "takeovers executed although the owners have been back")
	table := f.storedTable()
	for d := range lost {
		assert.Assert(t, len(table.Owned(ownerOf(d))) > 0, "%s has lost its keys", d)
	}
	f.until("the keys are taken over after the last grants have expired", func() bool {
		f.clock.advance(50 * time.Millisecond)
		f.directory.Publish(record("a", mtbackend.Ready))
		late.executeLate()
		table := f.storedTable()
		for d := range lost {
			if len(table.Owned(ownerOf(d))) > 0 {
				return false
			}
		}
		return true
	})
}

var _ mtstore.ConditionalStore = (*lateStore)(nil)
