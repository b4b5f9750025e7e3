package mtroute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

// member is a daemon of a played fleet.
type member struct {
	mtroute.Certainty
	version mtid.Version
	cut     bool // from all others
}

func newMember(start mtclock.Instant) *member {
	return &member{Certainty: mtroute.NewCertainty(start, mtroute.Within), version: 3}
}

// turnOf returns the turn of one of the few that ask regularly, or of all others.
func turnOf(regular bool) mtroute.Turn {
	if regular {
		return mtroute.Regular
	}
	return mtroute.Last
}

// ask asks the store.
func (m *member) ask(now mtclock.Instant, newest mtid.Version) {
	m.version = newest
	m.Confirm(now)
}

// hear hears the answer of another daemon.
func (m *member) hear(now mtclock.Instant, other *member) {
	m.Hear(m.version, other.version, other.Age(now), now)
}

// A route is added while every watch is deaf, and the two daemons that ask regularly
// have just been cut off. The others have calls for each other, all of them with the
// old configuration, or none at all. Three seconds later one still said that there was
// no such route.
func TestNobodyDeniesARouteThatWasAddedTwoSecondsAgo(t *testing.T) {
	for name, talks := range map[string]bool{"they talk": true, "they are quiet": false} {
		t.Run(name, func(t *testing.T) {
			const step = 50 * time.Millisecond
			start := mtclock.Instant(time.Hour)
			fleet := make([]*member, 14)
			for i := range fleet {
				fleet[i] = newMember(start)
				fleet[i].Confirm(start)
			}
			asked := 0
			for d := time.Duration(0); d < 6*time.Second; d += step {
				now, newest := start.Add(d), mtid.Version(3)
				if d >= 300*time.Millisecond {
					newest = 4
				}
				for i, m := range fleet {
					turn := i < 2
					m.cut = turn && d >= 200*time.Millisecond
					if !m.cut && m.Ask(now, turnOf(turn)) {
						m.ask(now, newest)
						asked++
					}
					if other := fleet[(i+1+int(d/step))%len(fleet)]; talks && !m.cut && !other.cut {
						m.hear(now, other)
					}
					if d >= 300*time.Millisecond+2*time.Second && m.version < newest {
						assert.Assert(t, !m.Denies(now), "daemon %d denies a route after %s", i, d)
						assert.Assert(t, m.cut, "daemon %d does not know the configuration after %s", i, d)
					}
				}
			}
			t.Logf("the store was asked %d times", asked)
		})
	}
}

// Calm: the word of the two that ask is enough, and nobody else asks the store.
func TestTheWordOfOthersSparesTheStore(t *testing.T) {
	const step = 50 * time.Millisecond
	start := mtclock.Instant(time.Hour)
	fleet := make([]*member, 14)
	for i := range fleet {
		fleet[i] = newMember(start)
		fleet[i].Confirm(start)
	}
	asked := make([]int, len(fleet))
	for d := time.Duration(0); d < 20*time.Second; d += step {
		now := start.Add(d)
		for i, m := range fleet {
			if m.Ask(now, turnOf(i < 2)) {
				m.ask(now, 3)
				asked[i]++
			}
			m.hear(now, fleet[(i+1+int(d/step))%len(fleet)])
		}
	}
	for i, n := range asked[2:] {
		assert.Assert(t, n <= 2, "daemon %d asked %d times", i+2, n)
	}
	assert.Assert(t, asked[0]+asked[1] >= 20)
}

// The store is away: questions are paid for, and few.
func TestAStoreThatIsAwayIsAskedSeldom(t *testing.T) {
	start := mtclock.Instant(time.Hour)
	c := mtroute.NewCertainty(start, mtroute.Within)
	c.Confirm(start)
	asked := 0
	for d := time.Duration(0); d < 9*time.Second; d += 50 * time.Millisecond {
		if c.Ask(start.Add(d), mtroute.Last) {
			asked++
		}
	}
	assert.Assert(t, asked <= 6, "asked %d times", asked)
}
