package mtspread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtspread"
)

// nodes returns size daemons, assigned to the availability zones in rotation.
func nodes(size, zones int) []mtspread.Node {
	var out []mtspread.Node
	for i := range size {
		out = append(out, mtspread.Node{
			Daemon:  mtid.Daemon(fmt.Sprintf("vm-%03d", i)),
			Zone:    mtid.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Address: fmt.Sprintf("10.0.0.1:%d", i),
			Link:    mtbackend.Bandwidth(10 + 190*(i%7/6)),
		})
	}
	return out
}

// For any set of daemons, two watch the store, and all others are at most two
// hops from a watcher. The order in which the daemons are listed does not
// matter.
func TestAllDaemonsAreWithinTwoHopsOfAWatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 60).Draw(t, "size")
		all := nodes(size, rapid.IntRange(1, 7).Draw(t, "zones"))
		tree := mtspread.New(rapid.Permutation(all).Draw(t, "order"))
		var watchers []mtid.Daemon
		var regular int
		for _, n := range all {
			if tree.WatchesStore(n.Daemon) {
				watchers = append(watchers, n.Daemon)
				assert.Equal(t, len(tree.Upstreams(n.Daemon, n.Zone)), 0)
				assert.Assert(t, tree.PollSchedule(n.Daemon) != mtroute.PollFallback)
			}
			if tree.PollSchedule(n.Daemon) == mtroute.PollPrimary {
				regular++
			}
		}
		assert.Equal(t, len(watchers), min(size, 2))
		assert.Equal(t, regular, 1)
		for _, n := range all {
			upstreams := tree.Upstreams(n.Daemon, n.Zone)
			if slices.Contains(watchers, n.Daemon) {
				continue
			}
			assert.Assert(t, len(upstreams) > 0)
			for _, upstream := range upstreams {
				assert.Assert(t, upstream.Daemon != n.Daemon)
				schedule := tree.PollSchedule(upstream.Daemon)
				assert.Assert(t, schedule != mtroute.PollFallback)
				if tree.PollSchedule(n.Daemon) == mtroute.PollRelay {
					assert.Assert(t, tree.WatchesStore(upstream.Daemon))
				}
			}
			if tree.PollSchedule(n.Daemon) == mtroute.PollFallback {
				assert.Equal(t, upstreams[0].Zone, n.Zone)
			}
		}
	})
}

// A daemon that is not in its own view yet, and knows no other daemon of its
// zone, must watch the store itself.
func TestDaemonInUnknownZoneHasNoUpstreams(t *testing.T) {
	tree := mtspread.New(nodes(12, 3))
	assert.Equal(t, len(tree.Upstreams("new", "elsewhere")), 0)
	assert.Equal(t, len(mtspread.New(nil).Upstreams("new", "zone-0")), 0)
}

// daemon is one daemon of a simulated fleet.
type daemon struct {
	mtspread.Node
	freshness    mtroute.Freshness
	polls        int
	disconnected bool // from the store and from all other daemons
}

// fleet simulates how the configuration spreads: daemons poll the store and
// pull from their upstreams.
type fleet struct {
	daemons map[mtid.Daemon]*daemon
	order   []*daemon
	tree    *mtspread.Tree
}

func newFleet(now mtclock.Instant, size, zones int) *fleet {
	f := &fleet{daemons: make(map[mtid.Daemon]*daemon)}
	for _, n := range nodes(size, zones) {
		d := &daemon{Node: n, freshness: mtroute.NewFreshness(now, mtroute.DefaultPropagationLimit)}
		f.daemons[n.Daemon] = d
		f.order = append(f.order, d)
	}
	f.tree = mtspread.New(nodes(size, zones))
	return f
}

// step simulates one moment.
func (f *fleet) step(now mtclock.Instant) {
	for _, d := range f.order {
		if d.disconnected {
			continue
		}
		for _, upstream := range f.tree.Upstreams(d.Daemon, d.Zone) {
			if t := f.daemons[upstream.Daemon]; !t.disconnected && t.freshness.ShouldNotify(t.freshness.ConfirmedAt(), d.freshness.ConfirmedAt()) {
				d.freshness.MergeRemote(1, 1, t.freshness.Age(now), now)
				break
			}
		}
		if d.freshness.StartPoll(now, f.tree.PollSchedule(d.Daemon)) {
			d.polls++
			d.freshness.Confirm(now)
		}
	}
}

// 500 daemons start within a second. Without upstreams, each polls the store
// every 1.5 s until the operators write the first configuration, and after that
// whenever it has received nothing from one of the two daemons that poll
// regularly, which at that size is 50 polls per second. Only the watchers may
// continue to poll, and the configuration of every other daemon must stay fresh
// throughout.
func TestOnlyWatchersOf500DaemonsPollTheStore(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	f := newFleet(start, 500, 6)
	for at := time.Duration(0); at < 40*time.Second; at += step {
		f.step(start.Add(at))
		if at < 5*time.Second {
			continue
		}
		for _, d := range f.order {
			assert.Assert(t, d.freshness.MayDenyRoute(start.Add(at)), "the configuration of daemon %s is not fresh after %s", d.Daemon, at)
		}
	}
	polls := 0
	for _, d := range f.order {
		polls += d.polls
		assert.Assert(t, d.polls <= 1 || f.tree.WatchesStore(d.Daemon), "daemon %s polled the store %d times, want at most 1", d.Daemon, d.polls)
	}
	assert.Assert(t, polls <= 130, "the store was polled %d times, want at most 130", polls)
}

// Both watchers are disconnected, and no daemon has noticed yet. The
// distributor of each zone must poll in their place, so that 494 other daemons
// need not.
func TestDistributorsPollWhileWatchersAreDisconnected(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	f := newFleet(start, 500, 6)
	disconnectedAt := start.Add(10 * time.Second)
	var before int
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := start.Add(at)
		f.step(now)
		for _, d := range f.order {
			if now == disconnectedAt {
				before += d.polls
				d.disconnected = f.tree.WatchesStore(d.Daemon)
			}
			if now.After(disconnectedAt) && !d.disconnected {
				assert.Assert(t, d.freshness.MayDenyRoute(now), "the configuration of daemon %s is not fresh %s after the watchers were disconnected", d.Daemon, now.Sub(disconnectedAt))
			}
		}
	}
	var after int
	for _, d := range f.order {
		after += d.polls
	}
	// 4 distributors are left in 6 zones; the daemons of the two zones without
	// one pull from these.
	assert.Assert(t, after-before <= 60, "the store was polled %d times in ten seconds, want at most 60", after-before)
}
