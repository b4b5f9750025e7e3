// Package mtgate is the admission control of a backend server. The owner's daemon
// uses it to decide which requests the server runs, which wait, and which are
// refused.
//
// A Gate is a state machine without a clock or goroutines. Each call takes the
// current time and returns effects for the caller to carry out: start a request,
// refuse one, or note that a range or the whole gate has no requests in flight.
//
// The backend server's slots and connections are hard limits: the number of
// requests in flight never exceeds the smaller of the two. A request that finds no
// free slot waits in a bounded queue per business and class. The Order decides
// which waiting request starts next and which one is shed when the gate is full.
// Fair is an order for production, FIFO the baseline for comparison.
//
// A request that won't start in time is refused as early as possible, with a time
// to retry after: on arrival if the queue ahead of it is too long, otherwise once
// it has waited for a fraction (MaxWaitFraction) of the time to its deadline. Every
// refusal of this package means that the request was not run.
//
// # Usage
//
//	gate := mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), limits)
//	gate.Declare("ratins", class)
//	effects := gate.Offer(now, ticket)
//	for _, effect := range effects {
//		switch e := effect.(type) {
//		case mtgate.Start:     // send e.Ticket to the backend server, later call gate.Done
//		case mtgate.Refuse:    // reply to e.Ticket's caller with e.Err
//		case mtgate.RangeIdle: // a stopped range has no requests in flight
//		case mtgate.Idle:      // a drained gate has no requests in flight
//		}
//	}
//	at, ok := gate.Next() // call gate.Expire at that time
//
// A Gate isn't safe for concurrent use.
package mtgate

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Number identifies a ticket within a gate. The caller chooses it; it must be
// unique among the waiting and running requests.
type Number uint64

// Ticket holds the properties of a request that matter for admission.
type Ticket struct {
	Number   Number
	Business mtid.Business
	Class    mtid.Class
	Point    mtid.Point
	Deadline mtclock.Instant
	// Objective is the time by which the request should be answered; zero means
	// the deadline.
	Objective mtclock.Instant
	// Priority compares the request with those of other classes; the lowest value is the
	// most urgent. A nested request has that of the request it is part of.
	Priority int
	// Nested is set if another backend server waits for this request and occupies
	// a slot meanwhile.
	Nested bool
	// Patience is how long the request may wait before it is handed back at once, because
	// another server may have room; zero means as long as its time allows.
	Patience time.Duration
	// Try identifies the request for Withdraw; zero if it can't be withdrawn.
	Try mtid.TryID
	// Alone requires that nothing else is in flight while the request runs. It is
	// set for a request that is suspected of crashing backend servers, so that a
	// second crash can't be attributed to any other request.
	Alone bool
}

// Limits are the capacities of the backend server and of the gate.
type Limits struct {
	Slots       int // maximum number of requests that the backend server runs at once
	Connections int // maximum number of connections to it; each request in flight uses one
	Waiting     int // maximum number of requests that wait at the gate
	// MaxWaitFraction is the fraction of the time to its deadline that a request may
	// wait. Half leaves its caller time to retry at another server after a refusal.
	MaxWaitFraction float64
}

// Defaults of Limits, and of flows that were not declared.
const (
	DefaultWaiting         = 1024
	DefaultMaxWaitFraction = 0.5
	DefaultQueue           = 64
	DefaultShare           = 1.0
)

// Gate is the admission control of one backend server. See the package comment.
type Gate[O Order] struct {
	order        O
	limits       Limits
	flows        map[FlowKey]*Flow
	running      map[Number]*Entry
	waiting      map[Number]*Entry
	alone        []*Entry
	aloneRunning bool
	aloneWindow  aloneWindow
	stopped      []*stoppedRange
	starts       startLimiter
	quota        quota
	slowdown     float64
	draining     bool
	closed       bool // between Close and Reopen
	idle         bool
	now          mtclock.Instant // time of the current call
	nextGiveUp   mtclock.Instant // no waiting entry has to give up before it
	counts       Counts
	effects      []Effect
	// refusedWhileReserving counts the refusals because of load while a slot was kept free.
	refusedWhileReserving uint64
}

// New returns a gate that admits requests in the given order. If Waiting or
// MaxWaitFraction is zero, it takes the default.
func New[O Order](order O, limits Limits) *Gate[O] {
	if limits.Waiting == 0 {
		limits.Waiting = DefaultWaiting
	}
	if limits.MaxWaitFraction == 0 {
		limits.MaxWaitFraction = DefaultMaxWaitFraction
	}
	return &Gate[O]{
		order:   order,
		limits:  limits,
		flows:   make(map[FlowKey]*Flow),
		running: make(map[Number]*Entry),
		waiting: make(map[Number]*Entry),
	}
}

// Declare sets the limits of a class of a business. It is called when a bundle
// comes into force, whether or not requests of the class have already arrived.
func (g *Gate[O]) Declare(business mtid.Business, class mtbundle.Class) {
	g.flow(FlowKey{Business: business, Class: class.Name}).declare(class)
}

// SetExpectedService sets the service time that is assumed for a class until one of its
// requests has ended. With no such value a newly started server seems to need no
// time per request, so hundreds are admitted that can only end late.
func (g *Gate[O]) SetExpectedService(business mtid.Business, class mtid.Class, service time.Duration) {
	g.flow(FlowKey{Business: business, Class: class}).expectedService = service
}

// Resize sets the backend server's slots and connections. It is called when the
// server announces itself, and with zero slots when it has terminated. Requests in
// flight above a lower limit are allowed to finish.
func (g *Gate[O]) Resize(now mtclock.Instant, slots, connections int) []Effect {
	g.begin(now)
	g.limits.Slots, g.limits.Connections = slots, connections
	if g.capacity() == 0 {
		g.refuseWaiting(mtreply.CauseNoServer, serverRetryAfter)
	}
	return g.end(now)
}

// Offer submits a request. Exactly one Start or Refuse is emitted for its ticket,
// by this call or a later one.
func (g *Gate[O]) Offer(now mtclock.Instant, t Ticket) []Effect {
	g.begin(now)
	flow := g.flow(FlowKey{Business: t.Business, Class: t.Class})
	e := &Entry{Ticket: t, Flow: flow, Arrival: now}
	e.GiveUp = g.giveUp(now, e)
	flow.Counts.Offered++
	g.order.Arrived(now, e)
	if refusal := g.precheck(now, e); refusal != nil {
		g.refuse(e, refusal)
		return g.end(now)
	}
	g.admit(now, e)
	return g.end(now)
}

// Done ends a running request, whatever its outcome. A number that isn't running
// is ignored.
func (g *Gate[O]) Done(now mtclock.Instant, number Number) []Effect {
	g.begin(now)
	e, ok := g.running[number]
	if !ok {
		return g.end(now)
	}
	delete(g.running, number)
	ran := now.Sub(e.Started)
	e.Flow.ended(ran)
	g.order.Ended(e)
	g.counts.Busy += ran
	if e.Ticket.Alone {
		g.aloneRunning = false
		g.aloneWindow.sharedUntil = now.Add(sharedTimeFactor * now.Sub(g.aloneWindow.blockedSince))
	}
	for _, s := range g.stopped {
		if s.covers(e.Ticket.Point) {
			s.inFlight--
		}
	}
	return g.end(now)
}

// Cancel removes a waiting request because its caller disconnected, and emits a
// Refuse. A running request is not affected, since only Done frees its slot.
func (g *Gate[O]) Cancel(now mtclock.Instant, number Number) []Effect {
	g.begin(now)
	if e, ok := g.waiting[number]; ok {
		g.removeWaiting(e)
		g.refuse(e, refusal(mtreply.CauseExpired, -1, "the caller went away"))
	}
	return g.end(now)
}

// Withdraw refuses the waiting requests with these tries because their sender has taken them
// back. Running requests are not affected.
func (g *Gate[O]) Withdraw(now mtclock.Instant, tries map[mtid.TryID]bool) []Effect {
	g.begin(now)
	for _, e := range g.byArrival() {
		if tries[e.Ticket.Try] {
			g.removeWaiting(e)
			g.refuse(e, refusal(mtreply.CauseWithdrawn, 0, ""))
		}
	}
	return g.end(now)
}

// Expire refuses the requests that have waited too long. It is to be called at the
// time that Next returned; every other method does the same first.
func (g *Gate[O]) Expire(now mtclock.Instant) []Effect {
	g.begin(now)
	return g.end(now)
}

// Next returns the earliest time at which Expire has work to do, or false if no
// requests wait.
func (g *Gate[O]) Next() (mtclock.Instant, bool) {
	if len(g.waiting) == 0 {
		return 0, false
	}
	// No other call would start a request that has to run alone once sharedUntil has
	// passed, or one that waits only for the start rate limit.
	if len(g.alone) > 0 && g.canStart(g.now) && !g.aloneWindow.blocking {
		return min(g.nextGiveUp, g.aloneWindow.sharedUntil), true
	}
	if next := g.startableAt(g.now, 1); next.After(g.now) && g.order.Len()+len(g.alone) > 0 {
		return min(g.nextGiveUp, next), true
	}
	return g.nextGiveUp, true
}

// Drain refuses all waiting and new requests and lets those in flight finish. Idle
// is emitted once nothing is in flight.
func (g *Gate[O]) Drain(now mtclock.Instant) []Effect {
	g.begin(now)
	g.draining = true
	g.refuseWaiting(mtreply.CauseDraining, 0)
	return g.end(now)
}

// Close refuses all waiting and new requests until Reopen, while other servers take
// over the work.
func (g *Gate[O]) Close(now mtclock.Instant) []Effect {
	g.begin(now)
	g.closed = true
	g.refuseWaiting(mtreply.CauseZoneOut, closedRetryAfter)
	return g.end(now)
}

// Reopen accepts requests again after Close.
func (g *Gate[O]) Reopen(now mtclock.Instant) []Effect {
	g.begin(now)
	g.closed = false
	return g.end(now)
}

// begin starts a call with an empty list of effects. It refuses expired requests
// first, so that the call can't start them.
func (g *Gate[O]) begin(now mtclock.Instant) {
	g.now, g.effects = now, nil
	g.expire(now)
}

// end completes a call: it starts waiting requests in free slots and reports ranges
// and drains that have nothing in flight.
func (g *Gate[O]) end(now mtclock.Instant) []Effect {
	g.startWaiting(now)
	g.reportIdle()
	return g.effects
}

// capacity returns the maximum number of requests in flight.
func (g *Gate[O]) capacity() int { return min(g.limits.Slots, g.limits.Connections) }

// canStart reports whether one more request may start now.
func (g *Gate[O]) canStart(now mtclock.Instant) bool {
	return !g.aloneRunning && len(g.running) < g.capacity() && !g.startableAt(now, 1).After(now)
}

// startableAt returns the earliest time at which the limits of the start rate let the nth
// request from now start.
func (g *Gate[O]) startableAt(now mtclock.Instant, n int) mtclock.Instant {
	return max(g.starts.at(now, n), g.quota.at(now, n))
}

// flow returns the flow for key and creates it if necessary.
func (g *Gate[O]) flow(key FlowKey) *Flow {
	f, ok := g.flows[key]
	if !ok {
		f = newFlow(key)
		f.slowdown = g.slowdown
		g.flows[key] = f
		g.order.AddFlow(f)
	}
	return f
}
