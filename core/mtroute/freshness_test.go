package mtroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

// daemon is a simulated daemon.
type daemon struct {
	mtroute.Freshness
	version     mtid.Version
	partitioned bool // from the store and from all other daemons
}

func newDaemon(start mtclock.Instant) *daemon {
	return &daemon{Freshness: mtroute.NewFreshness(start, mtroute.DefaultPropagationLimit), version: 3}
}

// scheduleOf returns the schedule of a daemon that polls regularly, or of all others.
func scheduleOf(regular bool) mtroute.PollSchedule {
	if regular {
		return mtroute.PollPrimary
	}
	return mtroute.PollFallback
}

// poll reads the newest version from the store.
func (d *daemon) poll(now mtclock.Instant, newest mtid.Version) {
	d.version = newest
	d.Confirm(now)
}

// receive merges the reply of another daemon.
func (d *daemon) receive(now mtclock.Instant, other *daemon) {
	d.MergeRemote(d.version, other.version, other.Age(now), now)
}

// A route is added while no watch delivers changes, just after the two daemons that poll
// regularly were partitioned. The others exchange calls while all of them have the old
// configuration, or exchange none. One of them still denied the route three seconds
// later.
func TestNoDaemonDeniesRouteAddedTwoSecondsAgo(t *testing.T) {
	for name, exchange := range map[string]bool{"daemons exchange calls": true, "daemons are idle": false} {
		t.Run(name, func(t *testing.T) {
			const step = 50 * time.Millisecond
			start := mtclock.Instant(time.Hour)
			fleet := make([]*daemon, 14)
			for i := range fleet {
				fleet[i] = newDaemon(start)
				fleet[i].Confirm(start)
			}
			polls := 0
			for d := time.Duration(0); d < 6*time.Second; d += step {
				now, newest := start.Add(d), mtid.Version(3)
				if d >= 300*time.Millisecond {
					newest = 4
				}
				for i, self := range fleet {
					regular := i < 2
					self.partitioned = regular && d >= 200*time.Millisecond
					if !self.partitioned && self.StartPoll(now, scheduleOf(regular)) {
						self.poll(now, newest)
						polls++
					}
					if other := fleet[(i+1+int(d/step))%len(fleet)]; exchange && !self.partitioned && !other.partitioned {
						self.receive(now, other)
					}
					if d >= 300*time.Millisecond+2*time.Second && self.version < newest {
						assert.Assert(t, !self.MayDenyRoute(now), "daemon %d denies the route after %s", i, d)
						assert.Assert(t, self.partitioned, "daemon %d has an old configuration after %s", i, d)
					}
				}
			}
			t.Logf("the store was polled %d times", polls)
		})
	}
}

// Without failures, the updates of the two daemons that poll regularly suffice, and no
// other daemon polls the store.
func TestUpdatesFromOtherDaemonsReplacePolls(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	fleet := make([]*daemon, 14)
	for i := range fleet {
		fleet[i] = newDaemon(start)
		fleet[i].Confirm(start)
	}
	polls := make([]int, len(fleet))
	for d := time.Duration(0); d < 20*time.Second; d += step {
		now := start.Add(d)
		for i, self := range fleet {
			if self.StartPoll(now, scheduleOf(i < 2)) {
				self.poll(now, 3)
				polls[i]++
			}
			self.receive(now, fleet[(i+1+int(d/step))%len(fleet)])
		}
	}
	for i, n := range polls[2:] {
		assert.Assert(t, n <= 2, "daemon %d polled the store %d times", i+2, n)
	}
	assert.Assert(t, polls[0]+polls[1] >= 20)
}

// Every poll is billed, also while the store is unavailable and does not reply. Polls
// that fail must not be repeated at once.
func TestUnavailableStoreIsPolledRarely(t *testing.T) {
	start := mtclock.Instant(time.Hour)
	c := mtroute.NewFreshness(start, mtroute.DefaultPropagationLimit)
	c.Confirm(start)
	polls := 0
	for d := time.Duration(0); d < 9*time.Second; d += 50 * time.Millisecond {
		if c.StartPoll(start.Add(d), mtroute.PollFallback) {
			polls++
		}
	}
	assert.Assert(t, polls <= 6, "polled %d times", polls)
}

// Guards against a daemon that serves for long by a configuration that others have replaced, and against one that
// refuses what it need not: it has only just missed the later one, nobody has it any more, or it can't read it.
func TestOutdatedConfiguration(t *testing.T) {
	const own, later = 3, 4
	start := mtclock.Instant(time.Hour)
	limit := mtroute.DefaultPropagationLimit
	for name, c := range map[string]struct {
		now      time.Duration // since the last confirmation
		reported mtid.Version  // zero for none
		own      mtid.Version
		prepare  func(*mtroute.Freshness)
		want     bool
	}{
		"nobody has a later one":      {now: 9 * time.Second, own: own},
		"just missed":                 {now: limit / 2, reported: later, own: own},
		"missed for long":             {now: limit + time.Second, reported: later, own: own, want: true},
		"the others have lost it":     {now: limit + time.Second, reported: later, own: own, prepare: func(f *mtroute.Freshness) { f.Forget(later) }},
		"the others have a later one": {now: limit + time.Second, reported: later, own: own, prepare: func(f *mtroute.Freshness) { f.Forget(later - 1) }, want: true},
		"has it":                      {now: limit + time.Second, reported: later, own: later},
		"can't read it":               {now: limit + time.Second, reported: later, own: own, prepare: (*mtroute.Freshness).PassOver},
		"can read the one after that": {now: limit + time.Second, reported: later + 1, own: later, prepare: func(f *mtroute.Freshness) { f.PassOver(); f.Adopt() }, want: true},
	} {
		f := mtroute.NewFreshness(start, limit)
		f.Confirm(start)
		f.Report(c.reported)
		if c.prepare != nil {
			c.prepare(&f)
		}
		assert.Equal(t, f.Outdated(start.Add(c.now), c.own), c.want, name)
	}
}
