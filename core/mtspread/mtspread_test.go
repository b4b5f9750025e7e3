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

// nodes returns so many daemons, dealt to availability zones in turn.
func nodes(size, zones int) []mtspread.Node {
	var out []mtspread.Node
	for i := range size {
		out = append(out, mtspread.Node{
			Daemon:  mtid.Daemon(fmt.Sprintf("vm-%03d", i)),
			Zone:    mtid.Zone(fmt.Sprintf("zone-%d", i%zones)),
			Address: fmt.Sprintf("10.0.0.1:%d", i),
			Link:    mtbackend.Rate(10 + 190*(i%7/6)),
		})
	}
	return out
}

// Whoever is there, two watch the store, and everybody else is at most two hops from one
// of them. The order in which the daemons are known makes no difference.
func TestEverybodyHearsFromTwoSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 60).Draw(t, "size")
		all := nodes(size, rapid.IntRange(1, 7).Draw(t, "zones"))
		tree := mtspread.New(rapid.Permutation(all).Draw(t, "order"))
		var sources []mtid.Daemon
		var regular int
		for _, n := range all {
			if tree.Source(n.Daemon) {
				sources = append(sources, n.Daemon)
				assert.Equal(t, len(tree.Teachers(n.Daemon, n.Zone)), 0)
				assert.Assert(t, tree.Turn(n.Daemon) != mtroute.PollFallback)
			}
			if tree.Turn(n.Daemon) == mtroute.PollPrimary {
				regular++
			}
		}
		assert.Equal(t, len(sources), min(size, 2))
		assert.Equal(t, regular, 1)
		for _, n := range all {
			teachers := tree.Teachers(n.Daemon, n.Zone)
			if slices.Contains(sources, n.Daemon) {
				continue
			}
			assert.Assert(t, len(teachers) > 0)
			for _, teacher := range teachers {
				assert.Assert(t, teacher.Daemon != n.Daemon)
				turn := tree.Turn(teacher.Daemon)
				assert.Assert(t, turn != mtroute.PollFallback)
				if tree.Turn(n.Daemon) == mtroute.PollRelay {
					assert.Assert(t, tree.Source(teacher.Daemon))
				}
			}
			if tree.Turn(n.Daemon) == mtroute.PollFallback {
				assert.Equal(t, teachers[0].Zone, n.Zone)
			}
		}
	})
}

// A daemon that is not in its own view yet, and in whose zone it knows nobody, has to
// watch the store itself.
func TestAStrangerInItsZoneLearnsFromNobody(t *testing.T) {
	tree := mtspread.New(nodes(12, 3))
	assert.Equal(t, len(tree.Teachers("new", "elsewhere")), 0)
	assert.Equal(t, len(mtspread.New(nil).Teachers("new", "zone-0")), 0)
}

// daemon is one of a played fleet.
type daemon struct {
	mtspread.Node
	certainty mtroute.Freshness
	asked     int
	cut       bool // from the store and from all others
}

// fleet plays how the knowledge of the configuration spreads: daemons ask the store, and
// hear from those whom they learn from.
type fleet struct {
	daemons map[mtid.Daemon]*daemon
	order   []*daemon
	tree    *mtspread.Tree
}

func newFleet(now mtclock.Instant, size, zones int) *fleet {
	f := &fleet{daemons: make(map[mtid.Daemon]*daemon)}
	for _, n := range nodes(size, zones) {
		d := &daemon{Node: n, certainty: mtroute.NewFreshness(now, mtroute.DefaultPropagationLimit)}
		f.daemons[n.Daemon] = d
		f.order = append(f.order, d)
	}
	f.tree = mtspread.New(nodes(size, zones))
	return f
}

// step plays one moment.
func (f *fleet) step(now mtclock.Instant) {
	for _, d := range f.order {
		if d.cut {
			continue
		}
		for _, teacher := range f.tree.Teachers(d.Daemon, d.Zone) {
			if t := f.daemons[teacher.Daemon]; !t.cut && t.certainty.ShouldNotify(t.certainty.ConfirmedAt(), d.certainty.ConfirmedAt()) {
				d.certainty.MergeRemote(1, 1, t.certainty.Age(now), now)
				break
			}
		}
		if d.certainty.StartPoll(now, f.tree.Turn(d.Daemon)) {
			d.asked++
			d.certainty.Confirm(now)
		}
	}
}

// Five hundred daemons start within a second. Each had asked the store every 1.5 s until
// the operators wrote a first configuration, and then whenever it had not heard from one
// of the two that ask regularly, which at that size was fifty times a second. Only the
// sources may go on asking, and all others are certain all the while.
func TestFiveHundredDaemonsAskTheStoreAsOftenAsTwo(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	f := newFleet(start, 500, 6)
	for at := time.Duration(0); at < 40*time.Second; at += step {
		f.step(start.Add(at))
		if at < 5*time.Second {
			continue
		}
		for _, d := range f.order {
			assert.Assert(t, d.certainty.MayDenyRoute(start.Add(at)), "%s is not certain after %s", d.Daemon, at)
		}
	}
	asked := 0
	for _, d := range f.order {
		asked += d.asked
		assert.Assert(t, d.asked <= 1 || f.tree.Source(d.Daemon), "%s asked %d times", d.Daemon, d.asked)
	}
	assert.Assert(t, asked <= 130, "the store was asked %d times", asked)
}

// Both sources are cut off, and nobody has noticed yet. The first of each zone asks in
// their place, so that 494 others need not.
func TestTheFirstsAskWhileTheSourcesAreCutOff(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	f := newFleet(start, 500, 6)
	cut := start.Add(10 * time.Second)
	var before int
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := start.Add(at)
		f.step(now)
		for _, d := range f.order {
			if now == cut {
				before += d.asked
				d.cut = f.tree.Source(d.Daemon)
			}
			if now.After(cut) && !d.cut {
				assert.Assert(t, d.certainty.MayDenyRoute(now), "%s is not certain %s after the cut", d.Daemon, now.Sub(cut))
			}
		}
	}
	var after int
	for _, d := range f.order {
		after += d.asked
	}
	// 4 firsts are left in 6 zones; the others of the two zones without one learn from these.
	assert.Assert(t, after-before <= 60, "the store was asked %d times in ten seconds", after-before)
}
