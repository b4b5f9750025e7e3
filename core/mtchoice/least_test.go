package mtchoice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

func newLeast(candidates ...mtchoice.Candidate) *mtchoice.Least {
	p := mtchoice.NewLeast(rand.New(rand.NewPCG(1, 2)), "near", 0.1)
	p.Update(candidates)
	return p
}

func server(name string, zone mtid.Zone) mtchoice.Candidate {
	return mtchoice.Candidate{Holder: mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1}, Zone: zone, Slots: 10}
}

// Servers of one service differ in speed by more than two. With equal shares the
// slow one has a queue while the fast one is half idle.
func TestLeastGivesTheFastServerMore(t *testing.T) {
	fast, slow := server("fast", "near"), server("slow", "near")
	p := newLeast(fast, slow)
	now := mtclock.Instant(time.Second)
	report := func(c mtchoice.Candidate, busy int, service time.Duration) {
		p.Started(c.Holder)
		p.Ended(now, c.Holder, mtchoice.Good, mtchoice.Report{Busy: busy, Service: service, At: now})
	}
	report(fast, 0, 100*time.Millisecond)
	report(slow, 0, 250*time.Millisecond)
	got := map[mtid.Daemon]int{}
	for range 30 {
		h, ok := p.Pick(now, nil)
		assert.Assert(t, ok)
		p.Started(h)
		got[h.Daemon]++
	}
	assert.Assert(t, got["fast"] > 20, "fast server got %d of 30", got["fast"])
	assert.Assert(t, got["slow"] > 0, "the slow server got nothing although the fast one is full")
}

func TestLeastPassesOverServersThatFail(t *testing.T) {
	good, bad := server("good", "far"), server("bad", "near")
	p := newLeast(good, bad)
	now := mtclock.Instant(time.Second)
	p.Started(bad.Holder)
	p.Ended(now, bad.Holder, mtchoice.Bad, mtchoice.Report{})
	for range 20 {
		h, _ := p.Pick(now, nil)
		assert.Equal(t, h, good.Holder)
	}
	// If it is the only one left, a server that has failed is better than none.
	h, ok := p.Pick(now, []mtid.Holder{good.Holder})
	assert.Assert(t, ok)
	assert.Equal(t, h, bad.Holder)
	_, ok = p.Pick(now, []mtid.Holder{good.Holder, bad.Holder})
	assert.Assert(t, !ok)
}

func TestLeastPrefersTheOwnZone(t *testing.T) {
	p := newLeast(server("a", "far"), server("b", "near"), server("c", "far"))
	near := 0
	for range 100 {
		if h, _ := p.Pick(0, nil); h.Daemon == "b" {
			near++
		}
	}
	assert.Assert(t, near > 60, "the near server got %d of 100", near)
}

// Near servers are full, far ones have room. Whoever asks near ones again and again
// is refused beside free slots; whoever asks all of them holds the refusal back
// while there is no room anywhere.
func TestLeastPassesOverServersThatAreFull(t *testing.T) {
	near, other, far := server("a", "near"), server("b", "near"), server("c", "far")
	p := newLeast(near, other, far)
	now := mtclock.Instant(time.Second)
	full := func(c mtchoice.Candidate) {
		p.Started(c.Holder)
		p.Ended(now, c.Holder, mtchoice.Busy, mtchoice.Report{Busy: 30, Service: time.Second, At: now})
	}
	full(near)
	full(other)
	for range 20 {
		h, _ := p.Pick(now, []mtid.Holder{near.Holder})
		assert.Equal(t, h, far.Holder)
	}
	full(far)
	_, ok := p.Pick(now, nil)
	assert.Assert(t, ok, "a first try goes somewhere")
	_, ok = p.Pick(now, []mtid.Holder{near.Holder})
	assert.Assert(t, !ok, "a second one does not")
	_, ok = p.Pick(now.Add(time.Second), []mtid.Holder{near.Holder})
	assert.Assert(t, ok, "room is looked for again")
}

// A third of the servers take twice as long as the others, which requests have time
// for. Fast ones were sent everything until two requests waited for each of their
// slots and most were refused, beside slow ones without any.
func TestLeastUsesSlowServersBeforeFastOnesQueue(t *testing.T) {
	var servers []mtchoice.Candidate
	for _, name := range []string{"f1", "f2", "s1"} {
		servers = append(servers, server(name, "near"))
	}
	p := newLeast(servers...)
	now := mtclock.Instant(time.Second)
	for _, c := range servers {
		service := 70 * time.Millisecond
		if c.Holder.Daemon == "s1" {
			service = 170 * time.Millisecond
		}
		p.Started(c.Holder)
		p.Ended(now, c.Holder, mtchoice.Good, mtchoice.Report{Busy: 0, Service: service, At: now})
	}
	got := map[mtid.Daemon]int{}
	for range 24 { // of thirty slots
		h, _ := p.Pick(now, nil)
		p.Started(h)
		got[h.Daemon]++
	}
	assert.Assert(t, got["s1"] >= 3, "the slow server got %d of 24", got["s1"])
	assert.Assert(t, got["f1"] <= 12 && got["f2"] <= 12, "fast servers queue: %v", got)
	assert.Assert(t, got["s1"] < got["f1"] && got["s1"] < got["f2"], "%v", got)
}
