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

// view is a live state that only holds the roster.
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

// own is the live state of one daemon: the shared roster, and how far it is.
type own struct {
	*view
	frontier *atomic.Uint64
}

func (o own) Frontier() mtid.Revision { return mtid.Revision(o.frontier.Load()) }

// fleet is n duties in one process, each the witness of the next three.
type fleet struct {
	clock    *mttime.Clock
	holders  []mtid.Holder
	duties   []*mtrenew.Duty
	cleanUps []func()
	heard    []chan mtid.Revision
	known    []*atomic.Uint64 // the frontier of each
}

func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	v := &view{records: make(map[mtid.Daemon]*mtroster.Record)}
	f := &fleet{clock: mttime.New()}
	for i := range n {
		h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("old-town-%d", i)), Incarnation: 1}
		heard := make(chan mtid.Revision, 1)
		known := &atomic.Uint64{}
		known.Store(7)
		duty, cleanUp, err := mtrenew.New(mtrenew.Config{
			Self: h.Daemon, Listen: "127.0.0.1:0", Secret: []byte("test"), Clock: f.clock, View: own{v, known},
			Heard: func(_ mtid.Daemon, frontier mtid.Revision) {
				select {
				case heard <- frontier:
				default:
				}
			},
		})
		assert.NilError(t, err)
		once := sync.OnceFunc(cleanUp)
		t.Cleanup(once)
		f.holders = append(f.holders, h)
		f.duties = append(f.duties, duty)
		f.cleanUps = append(f.cleanUps, once)
		f.heard = append(f.heard, heard)
		f.known = append(f.known, known)
		v.mu.Lock()
		v.records[h.Daemon] = &mtroster.Record{Holder: h, RenewAddress: duty.Address()}
		v.mu.Unlock()
	}
	for i, d := range f.duties {
		d.Register(f.holders[i], mtlease.Set{Version: 1, Witnesses: f.set(i)})
		d.Vouch(f.clock.Now())
	}
	return f
}

// set pairs each daemon with three others, mutually where n is a multiple of 4.
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
		if f.clock.Now().Before(f.duties[i].Until()) {
			return poll.Success()
		}
		return poll.Continue("daemon %d may not serve yet", i)
	}
}

func TestDutiesHoldLeasesAndPassFrontiers(t *testing.T) {
	f := newFleet(t, 4)
	for i := range f.duties {
		poll.WaitOn(t, f.serving(i))
		assert.Equal(t, <-f.heard[i], mtid.Revision(7))
	}
	for i := range f.duties {
		assert.Equal(t, f.duties[i].Counters().Refused.Value(), int64(0))
	}
}

// The owners of many keys have changed after a loss. The daemon that learns of
// it first tells its peers at once; at the pace of renewals callers would be sent
// to the lost owner for half a second more. A second piece of news right after
// waits for the renewals, so that a burst doesn't multiply the traffic.
func TestTellReachesPeersThatAreBehind(t *testing.T) {
	f := newFleet(t, 4)
	for i := range f.duties {
		poll.WaitOn(t, f.serving(i))
	}
	assert.Equal(t, f.duties[0].Tell(), 0, "nobody is behind")
	f.known[0].Store(8)
	// A daemon that serves has heard at least two of its three peers.
	got := f.duties[0].Tell()
	assert.Assert(t, got >= 2, "told %d peers", got)
	f.known[0].Store(9)
	assert.Equal(t, f.duties[0].Tell(), 0, "too soon after the last")
}

// A daemon is cut from two of its three witnesses. It has to stop by itself,
// and only then may the witnesses agree to a takeover; an agreement sooner
// would give its keys two owners.
func TestLossOfMajorityEndsTheLease(t *testing.T) {
	f := newFleet(t, 4)
	poll.WaitOn(t, f.serving(0))
	f.cleanUps[1]()
	f.cleanUps[2]()
	request := mtwitness.Request{Target: f.holders[0], Version: 1, Witness: f.holders[1]}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// A duty that is closed still answers for the promises that it gave.
		if !f.duties[1].Revoke(request).Granted || !f.duties[2].Revoke(request).Granted {
			return poll.Continue("not both agree yet")
		}
		if f.clock.Now().Before(f.duties[0].Until()) {
			return poll.Error(&twoOwnersError{})
		}
		return poll.Success()
	})
	assert.Assert(t, !f.duties[3].Revoke(request).Granted, "the third still hears it")
}

type twoOwnersError struct{}

func (*twoOwnersError) Error() string { return "the witnesses agreed while the holder may serve" }

func TestCloseEndsServingAtOnce(t *testing.T) {
	f := newFleet(t, 4)
	poll.WaitOn(t, f.serving(0))
	f.duties[0].Close()
	assert.Assert(t, f.duties[0].Until() == 0)
}
