package mtrenew_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwitness"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mttime"
)

// view is a live state that contains only the roster.
type view struct {
	mu      sync.Mutex
	records map[mtid.Daemon]*mtroster.Record
}

func (v *view) Record(d mtid.Daemon) (*mtroster.Record, mtid.Version, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.records[d]
	return r, 1, ok
}

// daemonView is the live state of one daemon: the shared roster and its own frontier.
type daemonView struct {
	*view
	frontier *atomic.Uint64
}

func (o daemonView) Frontier() mtid.Revision { return mtid.Revision(o.frontier.Load()) }

// fleet is a number of renewers in one process that are witnesses of each other.
type fleet struct {
	clock    *mttime.Clock
	holders  []mtid.Holder
	renewers []*mtrenew.Renewer
	cleanUps []func()
	received []chan mtid.Revision
	known    []*atomic.Uint64 // the frontier of each
}

func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	v := &view{records: make(map[mtid.Daemon]*mtroster.Record)}
	f := &fleet{clock: mttime.New()}
	for i := range n {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("old-town-%d", i)), Incarnation: 1}
		received := make(chan mtid.Revision, 1)
		known := &atomic.Uint64{}
		known.Store(7)
		renewer, cleanUp, err := mtrenew.New(mtrenew.Config{
			Self: h.Daemon, Listen: "127.0.0.1:0", Secret: []byte("test"), Clock: f.clock, View: daemonView{v, known},
			OnFrontier: func(_ mtid.Daemon, frontier mtid.Revision) {
				select {
				case received <- frontier:
				default:
				}
			},
		})
		assert.NilError(t, err)
		once := sync.OnceFunc(cleanUp)
		t.Cleanup(once)
		f.holders = append(f.holders, h)
		f.renewers = append(f.renewers, renewer)
		f.cleanUps = append(f.cleanUps, once)
		f.received = append(f.received, received)
		f.known = append(f.known, known)
		v.mu.Lock()
		v.records[h.Daemon] = &mtroster.Record{Holder: h, RenewAddress: renewer.Address()}
		v.mu.Unlock()
	}
	for i, d := range f.renewers {
		d.Register(f.holders[i], mtlease.Set{Version: 1, Witnesses: f.set(i)})
		d.Confirm(f.clock.Now())
	}
	return f
}

// set returns the witnesses of a daemon: up to three others. All witnesses are mutual
// if the size of the fleet is a multiple of 4.
func (f *fleet) set(i int) []mtid.Holder {
	var set []mtid.Holder
	for _, bit := range []int{1, 2, 3} {
		if other := i ^ bit; other < len(f.holders) {
			set = append(set, f.holders[other])
		}
	}
	return set
}

func (f *fleet) serving(i int) poll.Check {
	return func(poll.LogT) poll.Result {
		if f.clock.Now().Before(f.renewers[i].Until()) {
			return poll.Success()
		}
		return poll.Continue("daemon %d may not serve yet", i)
	}
}

func TestLeasesAreRenewedAndFrontiersExchanged(t *testing.T) {
	f := newFleet(t, 4)
	for i := range f.renewers {
		poll.WaitOn(t, f.serving(i))
		assert.Equal(t, <-f.received[i], mtid.Revision(7))
	}
	for i := range f.renewers {
		assert.Equal(t, f.renewers[i].Counters().Refused.Value(), int64(0))
	}
}

// After a loss many keys have new owners. The daemon that receives the change first
// notifies its peers immediately; with the next renewals, calls would be sent to the
// lost owner for another half second. A second change soon after is left to the
// renewals, so that a burst does not multiply the traffic.
func TestNotifyPeersReachesPeersThatAreBehind(t *testing.T) {
	f := newFleet(t, 4)
	for i := range f.renewers {
		poll.WaitOn(t, f.serving(i))
	}
	assert.Equal(t, f.renewers[0].NotifyPeers(), 0, "no peer has an older frontier")
	f.known[0].Store(8)
	// A daemon that may serve has received datagrams from at least two of its three
	// peers.
	got := f.renewers[0].NotifyPeers()
	assert.Assert(t, got >= 2, "notified %d peers, want at least 2", got)
	f.known[0].Store(9)
	assert.Equal(t, f.renewers[0].NotifyPeers(), 0, "within the minimum interval after the previous round")
}

// A daemon is cut off from two of its three witnesses. It must stop serving by
// itself, and the witnesses may agree to a takeover only after that: if they agreed
// earlier, its keys would have two owners.
func TestLossOfMajorityEndsTheLease(t *testing.T) {
	f := newFleet(t, 4)
	poll.WaitOn(t, f.serving(0))
	f.cleanUps[1]()
	f.cleanUps[2]()
	request := mtwitness.Request{Target: f.holders[0], Version: 1, Witness: f.holders[1]}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// A renewer that was stopped still waits until the promises it made expire.
		if !f.renewers[1].Revoke(request).Granted || !f.renewers[2].Revoke(request).Granted {
			return poll.Continue("the two witnesses have not both agreed yet")
		}
		if f.clock.Now().Before(f.renewers[0].Until()) {
			return poll.Error(&twoOwnersError{})
		}
		return poll.Success()
	})
	assert.Assert(t, !f.renewers[3].Revoke(request).Granted, "the third witness agreed although it still receives requests")
}

type twoOwnersError struct{}

func (*twoOwnersError) Error() string {
	return "the witnesses agreed to a takeover while the holder may still serve"
}

func TestCloseEndsServingAtOnce(t *testing.T) {
	f := newFleet(t, 4)
	poll.WaitOn(t, f.serving(0))
	f.renewers[0].Close()
	assert.Assert(t, f.renewers[0].Until() == 0)
}
