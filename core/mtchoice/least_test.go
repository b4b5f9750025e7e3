package mtchoice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

func newLeast(candidates ...mtchoice.Candidate) *mtchoice.LeastLoaded {
	p := mtchoice.NewLeastLoaded(rand.New(rand.NewPCG(1, 2)), "near", 0.1)
	p.Update(candidates)
	return p
}

func server(name string, zone mtid.Zone) mtchoice.Candidate {
	return mtchoice.Candidate{Holder: mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1}, Zone: zone, Slots: 10}
}

// The servers of one service differ in speed by more than a factor of two. With
// equal shares the slow one queues requests while the fast one is half idle.
func TestLeastLoadedSendsMoreToFasterServer(t *testing.T) {
	fast, slow := server("fast", "near"), server("slow", "near")
	p := newLeast(fast, slow)
	now := mtclock.Instant(time.Second)
	report := func(c mtchoice.Candidate, busy int, service time.Duration) {
		p.Started(c.Holder)
		p.Ended(now, c.Holder, mtchoice.Success, mtchoice.LoadReport{Requests: busy, ServiceTime: service, ReceivedAt: now})
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
	assert.Assert(t, got["slow"] > 0, "the slow server got no request although the fast one is full")
}

// Guards against requests that a server with a rate limit refuses while others have room: the
// limit counts as capacity, until the report is old.
func TestLeastLoadedSendsLessToServerWithLimit(t *testing.T) {
	limited, other := server("limited", "near"), server("other", "near")
	p := newLeast(limited, other)
	now := mtclock.Instant(time.Second)
	p.Ended(now, limited.Holder, mtchoice.Success, mtchoice.LoadReport{ServiceTime: 100 * time.Millisecond, Capacity: 1.2, ReceivedAt: now})
	p.Ended(now, other.Holder, mtchoice.Success, mtchoice.LoadReport{ServiceTime: 100 * time.Millisecond, ReceivedAt: now})
	count := func(now mtclock.Instant) map[mtid.Daemon]int {
		got := map[mtid.Daemon]int{}
		for range 10 {
			h, _ := p.Pick(now, nil)
			p.Started(h)
			got[h.Daemon]++
		}
		for name, n := range got {
			for range n {
				p.Ended(now, mtid.Holder{Daemon: name, Incarnation: 1}, mtchoice.Inconclusive, mtchoice.LoadReport{})
			}
		}
		return got
	}
	assert.Assert(t, count(now)["limited"] <= 2)
	assert.Assert(t, count(now)["other"] >= 8)
}

func TestLeastLoadedAvoidsFailingServers(t *testing.T) {
	good, bad := server("good", "far"), server("bad", "near")
	p := newLeast(good, bad)
	now := mtclock.Instant(time.Second)
	p.Started(bad.Holder)
	p.Ended(now, bad.Holder, mtchoice.Failure, mtchoice.LoadReport{})
	for range 20 {
		h, _ := p.Pick(now, nil)
		assert.Equal(t, h, good.Holder)
	}
	// A server that has failed is still picked if all others are excluded.
	h, ok := p.Pick(now, []mtid.Holder{good.Holder})
	assert.Assert(t, ok)
	assert.Equal(t, h, bad.Holder)
	_, ok = p.Pick(now, []mtid.Holder{good.Holder, bad.Holder})
	assert.Assert(t, !ok)
}

func TestLeastLoadedPrefersOwnZone(t *testing.T) {
	p := newLeast(server("a", "far"), server("b", "near"), server("c", "far"))
	near := 0
	for range 100 {
		if h, _ := p.Pick(0, nil); h.Daemon == "b" {
			near++
		}
	}
	assert.Assert(t, near > 60, "the near server got %d of 100", near)
}

// The local servers are full and a remote one has free slots. Retrying local
// servers again and again would have the call refused in spite of the free slots;
// trying every server would delay the refusal when none has any.
func TestLeastLoadedAvoidsFullServers(t *testing.T) {
	near, other, far := server("a", "near"), server("b", "near"), server("c", "far")
	p := newLeast(near, other, far)
	now := mtclock.Instant(time.Second)
	refuse := func(c mtchoice.Candidate) {
		p.Started(c.Holder)
		p.Ended(now, c.Holder, mtchoice.Overloaded, mtchoice.LoadReport{Requests: 30, ServiceTime: time.Second, ReceivedAt: now})
	}
	refuse(near)
	refuse(other)
	for range 20 {
		h, _ := p.Pick(now, []mtid.Holder{near.Holder})
		assert.Equal(t, h, far.Holder)
	}
	refuse(far)
	_, ok := p.Pick(now, nil)
	assert.Assert(t, ok, "the first try must be sent even if all servers are full")
	_, ok = p.Pick(now, []mtid.Holder{near.Holder})
	assert.Assert(t, !ok, "a retry must not be sent to a full server")
	_, ok = p.Pick(now.Add(time.Second), []mtid.Holder{near.Holder})
	assert.Assert(t, ok, "servers must count as full for a limited time only")
}

// A third of the servers take twice as long as the others, and the deadlines allow
// for that. Fast servers received all requests until two waited for each of their
// slots and most were refused, while slow servers were idle.
func TestLeastLoadedUsesSlowServersBeforeFastOnesQueue(t *testing.T) {
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
		p.Ended(now, c.Holder, mtchoice.Success, mtchoice.LoadReport{Requests: 0, ServiceTime: service, ReceivedAt: now})
	}
	got := map[mtid.Daemon]int{}
	for range 24 { // of thirty slots
		h, _ := p.Pick(now, nil)
		p.Started(h)
		got[h.Daemon]++
	}
	assert.Assert(t, got["s1"] >= 3, "the slow server got %d of 24", got["s1"])
	assert.Assert(t, got["f1"] <= 12 && got["f2"] <= 12, "fast servers have requests waiting: %v", got)
	assert.Assert(t, got["s1"] < got["f1"] && got["s1"] < got["f2"], "%v", got)
}

// Guards against a server that gets no call, which would end its limit, since it reports no room.
func TestLeastLoadedTriesLimitThatNoCallConfirms(t *testing.T) {
	limited, other := server("limited", "near"), server("other", "near")
	p := newLeast(limited, other)
	var trial mtbackend.LimitTrial
	now := mtclock.Instant(time.Second)
	for end := now.Add(8 * time.Second); ; {
		now = now.Add(50 * time.Millisecond)
		trial.Advance(now, 1, false)
		capacity := trial.Capacity(1, limited.Slots, 100*time.Millisecond)
		p.Ended(now, limited.Holder, mtchoice.Inconclusive, mtchoice.LoadReport{ServiceTime: 100 * time.Millisecond, Capacity: capacity, ReceivedAt: now})
		p.Ended(now, other.Holder, mtchoice.Inconclusive, mtchoice.LoadReport{Requests: 5, ServiceTime: 100 * time.Millisecond, ReceivedAt: now})
		if h, ok := p.Pick(now, nil); ok && h == limited.Holder {
			return
		}
		assert.Assert(t, now < end, "no call in 8 s")
	}
}
