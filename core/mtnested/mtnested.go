// Package mtnested decides which requests not to begin because the nested requests that
// their server would send are likely to find no room.
//
// A Tracker belongs to one backend server. It counts which services the requests of each
// route call, and how many of these nested requests are served in time. While a called
// service can't serve all of them, the Tracker lets as many requests begin as that service
// serves, and some more to notice when it has room again. Where several routes call the service,
// the least urgent ones are refused first.
//
// A request is refused only if another route gains: one whose nested requests find
// room more often, or a more urgent one that calls the same service. If all requests are
// equally likely to succeed, beginning fewer of them only means fewer answers, since part of
// a route's requests may need no nested ones.
//
// Only a lack of room counts: a nested request that was refused because of load, or that
// was not answered in its time. Where servers reject requests at random, or can't be
// reached, all requests are equally likely to succeed.
//
// What is known decays within about a second. Without recent knowledge all requests begin.
//
// # Usage
//
//	tracker := mtnested.NewTracker()
//	if !tracker.Begins(now, route, priority, contended) { refuse it }
//	tracker.Begun(now, route) // once the gate of the server has started it
//	tracker.Observe(now, route, service, mtnested.Served) // of a nested request that has ended
//
// A Tracker isn't safe for concurrent use.
package mtnested

import (
	"maps"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Result is how a nested request ended.
type Result int

// The results of nested requests.
const (
	Served       Result = iota
	NoRoom              // refused because of load, or not answered in its time
	Inconclusive        // shows nothing about the room of the called service
)

const (
	// memory is the time constant with which counts decay. It is longer than the time between
	// two results of a busy route, and short enough to follow an overload of some seconds.
	memory = time.Second
	// RetryAfter is the time after which a request that wasn't begun may be retried: what
	// led to the refusal counts for little by then.
	RetryAfter = memory
	// minResults is the number of recent results that a decision needs. Fewer may be chance.
	minResults = 5
	// minSurplus and maxSurplus are how many nested requests are let begin for each that was
	// served. The excess shows when the called service serves more. The largest applies if
	// all were served, so that requests begin again soon after an overload.
	minSurplus = 1.25
	maxSurplus = 4.0
	// maxRefused is the largest part of the requests of a route that is refused, so that
	// knowledge is renewed even if no nested request is served.
	maxRefused = 0.9
	// betterFactor is how many times fewer nested requests of another route must find no room
	// for it to be given the slot. A smaller difference may be chance.
	betterFactor = 2
	// maxRoutes bounds the memory for routes that are gone. All requests of a route beyond it
	// begin.
	maxRoutes = 256
)

// decaying is a count whose past decays.
type decaying struct {
	value float64
	at    mtclock.Instant
}

func (c *decaying) add(now mtclock.Instant, n float64) {
	c.value, c.at = c.count(now)+n, max(c.at, now)
}

func (c *decaying) count(now mtclock.Instant) float64 {
	return c.value * math.Exp(-max(now.Sub(c.at), 0).Seconds()/memory.Seconds())
}

// callee is what is known of the nested requests of one route to one service.
type callee struct {
	service mtid.Service
	calls   decaying // results of nested requests
	served  decaying // of these, served in time
	avoided decaying // nested requests of requests that weren't begun
}

// demand returns how many nested requests there are, or would be if all requests began.
func (c *callee) demand(now mtclock.Instant) float64 {
	return c.calls.count(now) + c.avoided.count(now)
}

// route is what is known of the requests of one route.
type route struct {
	priority int       // the lowest value is the most urgent
	allowed  decaying  // requests that Begins allowed
	begun    decaying  // of these, started by the server's gate
	callees  []*callee // in the order of their first nested request
	refusals float64   // refusals that are due, less than one
}

// callee returns what is known of the nested requests to a service, or nil if there were none.
func (r *route) callee(service mtid.Service) *callee {
	for _, c := range r.callees {
		if c.service == service {
			return c
		}
	}
	return nil
}

// Tracker decides for the requests to one backend server. See the package comment.
type Tracker struct {
	routes map[mtid.Class]*route
	// ordered holds the routes in the order of their first request: sums over a map differ in
	// their last digits from run to run.
	ordered []*route
}

// NewTracker returns a Tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{routes: make(map[mtid.Class]*route)} }

// Observe records the result of a nested request to a service, which was part of a request
// of the named route.
func (t *Tracker) Observe(now mtclock.Instant, name mtid.Class, service mtid.Service, result Result) {
	r, ok := t.routes[name]
	if result == Inconclusive || !ok {
		return
	}
	c := r.callee(service)
	if c == nil {
		c = &callee{service: service}
		r.callees = append(r.callees, c)
	}
	c.calls.add(now, 1)
	if result == Served {
		c.served.add(now, 1)
	}
}

// Begins reports whether a request of the named route may begin. It is called for each
// request before the gate of the server decides on it. All may begin while the slots of the
// server are not contended: refusing one then would serve no other.
func (t *Tracker) Begins(now mtclock.Instant, name mtid.Class, priority int, contended bool) bool {
	r := t.route(now, name)
	if r == nil {
		return true
	}
	r.priority = priority
	if contended && t.othersGain(now, r) {
		r.refusals += min(t.refusedPart(now, r), maxRefused)
	}
	if r.refusals < 1 {
		r.allowed.add(now, 1)
		return true
	}
	r.refusals--
	begun := max(r.begun.count(now), 1)
	for _, c := range r.callees {
		c.avoided.add(now, c.calls.count(now)/begun)
	}
	return false
}

// Begun records that the gate of the server has started a request of the named route. A request
// that it refuses or hands back sends no nested ones: if it counted too, the route would seem to
// need fewer of them per request.
func (t *Tracker) Begun(now mtclock.Instant, name mtid.Class) {
	if r, ok := t.routes[name]; ok {
		r.begun.add(now, 1)
	}
}

// route returns the state of a route, or nil if there are too many.
func (t *Tracker) route(now mtclock.Instant, name mtid.Class) *route {
	if r, ok := t.routes[name]; ok {
		return r
	}
	if len(t.routes) >= maxRoutes {
		t.forgetIdle(now)
	}
	if len(t.routes) >= maxRoutes {
		return nil
	}
	r := &route{}
	t.routes[name] = r
	t.ordered = append(t.ordered, r)
	return r
}

// forgetIdle removes routes without recent requests.
func (t *Tracker) forgetIdle(now mtclock.Instant) {
	idle := func(r *route) bool { return r.allowed.count(now) < 1 }
	maps.DeleteFunc(t.routes, func(_ mtid.Class, r *route) bool { return idle(r) })
	t.ordered = slices.DeleteFunc(t.ordered, idle)
}

// failedPerRequest returns how many nested requests found no room per request of the route.
func (r *route) failedPerRequest(now mtclock.Instant) float64 {
	failed := 0.0
	for _, c := range r.callees {
		failed += c.calls.count(now) - c.served.count(now)
	}
	return failed / max(r.begun.count(now), 1)
}

// othersGain reports whether requests of another route gain if one of r doesn't begin.
func (t *Tracker) othersGain(now mtclock.Instant, r *route) bool {
	required := r.failedPerRequest(now) / betterFactor
	for _, other := range t.ordered {
		if other == r || other.allowed.count(now) < minResults {
			continue
		}
		if other.failedPerRequest(now) < required || other.priority < r.priority && other.sharesCallee(r) {
			return true
		}
	}
	return false
}

// sharesCallee reports whether both routes call the same service.
func (r *route) sharesCallee(other *route) bool {
	return slices.ContainsFunc(r.callees, func(c *callee) bool { return other.callee(c.service) != nil })
}

// refusedPart returns the part of the requests of r to refuse: the largest of those that its
// called services require.
func (t *Tracker) refusedPart(now mtclock.Instant, r *route) float64 {
	part := 0.0
	for _, c := range r.callees {
		if c.calls.count(now) >= minResults {
			part = max(part, t.excess(now, r, c.service))
		}
	}
	return part
}

// surplus returns how many nested requests are let begin for each that was served, given the
// part of them that was.
func surplus(servedPart float64) float64 {
	const usual = 1 / minSurplus // the part served if minSurplus for each are sent
	return minSurplus + (maxSurplus-minSurplus)*max(servedPart-usual, 0)/(1-usual)
}

// excess returns the part of the nested requests of r to a service for which that has no
// room, after those of more urgent routes. Equally urgent routes share what is left.
func (t *Tracker) excess(now mtclock.Instant, r *route, service mtid.Service) float64 {
	calls, served, urgent, demand := 0.0, 0.0, 0.0, 0.0
	for _, other := range t.ordered {
		c := other.callee(service)
		if c == nil {
			continue
		}
		calls += c.calls.count(now)
		served += c.served.count(now)
		switch {
		case other.priority < r.priority:
			urgent += c.demand(now)
		case other.priority == r.priority:
			demand += c.demand(now)
		}
	}
	if calls <= 0 || demand <= 0 {
		return 0
	}
	room := served*surplus(served/calls) - urgent
	return min(max(1-room/demand, 0), 1)
}
