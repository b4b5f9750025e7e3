package mtnested_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtnested"
)

const start mtclock.Instant = 1

// load offers 50 requests a second of each route. Each of "a" and "b" sends one nested request
// to the service "desk", which serves the number given per tenth of a second. Those of "c" send
// none.
type load struct {
	tracker *mtnested.Tracker
	now     mtclock.Instant
	routes  map[mtid.Class]int // priorities
	served  int
}

func newLoad(served int, routes map[mtid.Class]int) *load {
	return &load{tracker: mtnested.NewTracker(), now: start, routes: routes, served: served}
}

// run lets time pass, and returns the number of requests begun by route, and the number of
// nested ones.
func (l *load) run(d time.Duration) (begun map[mtid.Class]int, nested int) {
	begun = make(map[mtid.Class]int)
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		room := l.served
		for range 5 {
			for _, name := range []mtid.Class{"a", "b", "c"} {
				priority, ok := l.routes[name]
				if !ok || !l.tracker.Begins(l.now, name, priority, true) {
					continue
				}
				l.tracker.Begun(l.now, name)
				begun[name]++
				if name == "c" {
					continue
				}
				nested++
				result := mtnested.NoRoom
				if room > 0 {
					room--
					result = mtnested.Served
				}
				l.tracker.Observe(l.now, name, "desk", result)
			}
		}
	}
	return begun, nested
}

// Load: twice the nested requests that the called service serves.
func TestBeginsWhatCalledServiceServes(t *testing.T) {
	l := newLoad(2, map[mtid.Class]int{"a": 1, "c": 1})
	l.run(3 * time.Second)
	_, total := l.run(5 * time.Second)
	const served = 100
	assert.Assert(t, total >= served && total <= served*3/2, "%d begun", total)
}

// Load: two routes call the same service, which serves one of them.
func TestLeastUrgentIsRefusedFirst(t *testing.T) {
	l := newLoad(5, map[mtid.Class]int{"a": 2, "b": 1})
	l.run(3 * time.Second)
	begun, _ := l.run(5 * time.Second)
	assert.Assert(t, begun["b"] >= 240 && begun["a"] <= 120, "%v begun", begun)
}

// Failure: a service that serves nothing for seconds is never called again.
func TestAllBeginSoonAfterOutage(t *testing.T) {
	l := newLoad(0, map[mtid.Class]int{"a": 1, "c": 1})
	l.run(3 * time.Second)
	_, during := l.run(5 * time.Second)
	assert.Assert(t, during > 10 && during < 50, "%d begun", during)
	l.served = 5
	l.run(3 * time.Second)
	_, after := l.run(2 * time.Second)
	assert.Assert(t, after > 90, "%d begun", after)
}

// Failure: old knowledge refuses requests, also after a jump of the clock.
func TestStaleKnowledgeRefusesNothing(t *testing.T) {
	l := newLoad(0, map[mtid.Class]int{"a": 1, "c": 1})
	l.run(3 * time.Second)
	l.now = l.now.Add(5 * time.Second)
	for range 100 {
		assert.Assert(t, l.tracker.Begins(l.now, "a", 1, true))
	}
}

// Failure: servers that can't be reached, or reject requests at random, count as full.
func TestOnlyLackOfRoomCounts(t *testing.T) {
	tracker := mtnested.NewTracker()
	for range 100 {
		assert.Assert(t, tracker.Begins(start, "a", 1, true))
		tracker.Begun(start, "a")
		tracker.Observe(start, "a", "desk", mtnested.Inconclusive)
	}
}

// Failure: a route that becomes the most urgent in mid-overload is still refused first.
func TestChangedPriorityCountsAtOnce(t *testing.T) {
	l := newLoad(5, map[mtid.Class]int{"a": 2, "b": 1})
	l.run(3 * time.Second)
	l.routes = map[mtid.Class]int{"a": 0, "b": 1}
	l.run(2 * time.Second)
	begun, _ := l.run(5 * time.Second)
	assert.Assert(t, begun["a"] >= 240 && begun["b"] <= 120, "%v begun", begun)
}

// Failure: endless new names of routes fill the memory, or stop decisions for others.
func TestRoutesAreBounded(t *testing.T) {
	tracker := mtnested.NewTracker()
	for n := range 10_000 {
		name := mtid.Class(rune(n))
		assert.Assert(t, tracker.Begins(start.Add(time.Duration(n)*time.Millisecond), name, 1<<60, true))
	}
}

// Failure: slots stay free while requests are refused, some of which need no nested ones.
func TestAllBeginWhileSlotsAreFree(t *testing.T) {
	l := newLoad(0, map[mtid.Class]int{"a": 1, "c": 1})
	l.run(3 * time.Second)
	for range 20 {
		assert.Assert(t, l.tracker.Begins(l.now, "a", 1, false))
	}
}

// Load: a service fails all nested requests of the only route, part of whose requests may need
// none.
func TestAllBeginIfNoOtherRouteGains(t *testing.T) {
	l := newLoad(0, map[mtid.Class]int{"a": 1})
	begun, _ := l.run(5 * time.Second)
	assert.Equal(t, begun["a"], 250)
}

// Failure: requests that the gate hands back hide that those of their route run in vain: all
// nested requests of "a" and two in five of "b" find no room, but only one in ten of "a" begins.
func TestRequestsHandedBackDontCount(t *testing.T) {
	tracker := mtnested.NewTracker()
	for n := range 100 {
		tracker.Begins(start, "a", 1, false)
		if n%10 == 0 {
			tracker.Begun(start, "a")
			tracker.Observe(start, "a", "desk", mtnested.NoRoom)
			tracker.Begins(start, "b", 1, false)
			tracker.Begun(start, "b")
			tracker.Observe(start, "b", "store", mtnested.Result(min(n%50/30, 1)))
		}
	}
	refused := 0
	for range 20 {
		if !tracker.Begins(start, "a", 1, true) {
			refused++
		}
	}
	assert.Assert(t, refused > 10, "%d refused", refused)
}

// Failure: the same events lead to other decisions in the next run, since sums depend on the
// order of a map.
func TestSameEventsGiveSameSums(t *testing.T) {
	sums := func() (failed, refused float64) {
		tracker, now := mtnested.NewTracker(), start
		for n := range 1000 {
			now = now.Add(time.Millisecond)
			name, service := mtid.Class(rune('a'+n%12)), mtid.Service(rune('a'+n%5))
			tracker.Begins(now, name, 1, false)
			tracker.Begun(now, name)
			tracker.Observe(now, name, service, mtnested.Result(min(n%7, 1)))
		}
		return tracker.Sums(now, "a")
	}
	failed, refused := sums()
	for range 50 {
		again, refusedAgain := sums()
		assert.Equal(t, again, failed)
		assert.Equal(t, refusedAgain, refused)
	}
	assert.Assert(t, failed > 0 && refused > 0 && refused < 1, "%v %v", failed, refused)
}
