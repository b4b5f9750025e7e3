// Package mtgate decides, at the owner's daemon, which requests its backend
// server runs, which wait, and which are refused.
//
// A Gate is a state machine without clock or goroutine. Each call takes the
// present time and returns what is to be done: start a request, refuse one, or
// report that a range or the whole gate has nothing in flight any more.
//
// The backend server's slots and connections are hard limits: never more
// requests are in flight than the smaller of the two. What finds no free slot
// waits in a bounded queue per business and class. The Order decides which of
// the waiting ones starts next and which gives way when there is no room. Fair
// is the order meant for service, FIFO the plain one that it is measured
// against.
//
// A request that will not start in time is refused as soon as that can be told,
// with the time after which asking again makes sense: on arrival if the queue
// ahead of it is too long, and else once it has waited for its share (Patience)
// of the time that its caller gave. Every refusal of this package means that
// the request was not run.
//
// # Usage
//
//	gate := mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), limits)
//	gate.Declare("ratins", class)
//	effects := gate.Offer(now, ticket)
//	for _, effect := range effects {
//		switch e := effect.(type) {
//		case mtgate.Start:  // send e.Ticket to the backend server, later gate.Done
//		case mtgate.Refuse: // answer e.Ticket's caller with e.Err
//		case mtgate.Quiet:  // nothing is in flight in a stopped range
//		case mtgate.Idle:   // nothing is in flight after Drain
//		}
//	}
//	at, ok := gate.Next() // call gate.Expire then
//
// A Gate isn't safe for concurrent use: one duty owns it.
package mtgate

import (
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Number tells the tickets of one gate apart. The caller of the gate chooses
// it; no two live tickets have the same one.
type Number uint64

// Ticket is a request as the gate sees it.
type Ticket struct {
	Number   Number
	Business mtid.Business
	Class    mtid.Class
	Point    mtid.Point
	Deadline mtclock.Instant
	// Objective is until when an answer is worth most; zero is the deadline.
	Objective mtclock.Instant
	// Nested says that another backend server waits for this request, with a
	// slot of its own taken.
	Nested bool
	// Alone asks that nothing else is in flight while the request runs. It is
	// set for a request that is suspected of crashing backend servers, so that
	// a second crash can't be laid at the door of another request.
	Alone bool
}

// Effect is what the caller of the gate has to do: Start, Refuse, Quiet, Idle.
type Effect interface{ effect() }

// Start asks to send the ticket's request to the backend server now, and to
// call Done when it has ended, whatever its end.
type Start struct{ Ticket Ticket }

// Refuse asks to answer the ticket's caller. The request was not run.
type Refuse struct {
	Ticket Ticket
	Err    *mtreply.RefusedError
}

// Quiet reports that no request is in flight in a range that was stopped. It
// is given once per Stop.
type Quiet struct{ Low, High mtid.Point }

// Idle reports that nothing is in flight any more after Drain. It is given
// once.
type Idle struct{}

func (Start) effect()  {}
func (Refuse) effect() {}
func (Quiet) effect()  {}
func (Idle) effect()   {}

// Limits are what the backend server takes and the gate holds.
type Limits struct {
	Slots       int // requests that the backend server runs at once
	Connections int // connections that it takes; one is needed per request in flight
	Waiting     int // requests that may wait at the gate in all
	// Patience is the part of a request's time that it may spend waiting. Half
	// leaves its caller time to go elsewhere after a refusal.
	Patience float64
}

// Defaults of Limits and of flows that Declare did not name.
const (
	DefaultWaiting  = 1024
	DefaultPatience = 0.5
	DefaultQueue    = 64
	DefaultShare    = 1.0
)

// Bounds of the RetryAfter that a refusal names.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// serverRetryAfter is for a gate without a backend server: about the time
	// until a new one announces itself or the shard is served elsewhere.
	serverRetryAfter = time.Second
	// movingRetryAfter is for a shard on its way to another owner.
	movingRetryAfter = 100 * time.Millisecond
	// closedRetryAfter is for a server that takes no work for the time being: about the
	// time in which all others hear of it.
	closedRetryAfter = 200 * time.Millisecond
)

// loneShare is how long ordinary requests run between two that run alone, as a
// multiple of the time that the last one kept the others out.
const loneShare = 4

// Gate is the admission of one backend server. See the package comment.
type Gate[O Order] struct {
	order    O
	limits   Limits
	flows    map[FlowKey]*Flow
	running  map[Number]*Entry
	waiting  map[Number]*Entry
	lone     []*Entry
	loneRuns bool
	loneGate loneWindow
	stops    []*stop
	pacer    pacer
	slow     float64
	draining bool
	closed   bool // for the time being
	idle     bool
	now      mtclock.Instant // of the present call
	soonest  mtclock.Instant // no waiting entry gives up before it
	counts   Counts
	out      []Effect
}

// loneWindow remembers how long the last lone request kept the others out, and
// until when they go first in return.
type loneWindow struct {
	since mtclock.Instant
	held  bool
	until mtclock.Instant
}

// New returns a gate that admits in the given order. Zero fields of Waiting
// and Patience take the defaults.
func New[O Order](order O, limits Limits) *Gate[O] {
	if limits.Waiting == 0 {
		limits.Waiting = DefaultWaiting
	}
	if limits.Patience == 0 {
		limits.Patience = DefaultPatience
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
// comes into force, before or after requests of the class were seen.
func (g *Gate[O]) Declare(business mtid.Business, class mtbundle.Class) {
	g.flow(FlowKey{Business: business, Class: class.Name}).declare(class)
}

// Expect sets how long a request of a class is taken to run until one has ended.
// Without it the first requests at a server that has just started all seem to take
// no time, and hundreds are let in that can only end late.
func (g *Gate[O]) Expect(business mtid.Business, class mtid.Class, usual time.Duration) {
	g.flow(FlowKey{Business: business, Class: class}).usual = usual
}

// Resize sets the backend server's slots and connections. It is called when it
// announces itself, with zero slots when it is gone. Requests in flight above a
// smaller limit are left to finish.
func (g *Gate[O]) Resize(now mtclock.Instant, slots, connections int) []Effect {
	g.begin(now)
	g.limits.Slots, g.limits.Connections = slots, connections
	if g.capacity() == 0 {
		g.refuseWaiting(mtreply.CauseNoServer, serverRetryAfter)
	}
	return g.end(now)
}

// Offer asks to admit a request. Exactly one Start or Refuse follows for its
// ticket, now or from a later call.
func (g *Gate[O]) Offer(now mtclock.Instant, t Ticket) []Effect {
	g.begin(now)
	flow := g.flow(FlowKey{Business: t.Business, Class: t.Class})
	e := &Entry{Ticket: t, Flow: flow, Arrival: now}
	e.GiveUp = g.giveUp(now, e)
	flow.Counts.Offered++
	if refusal := g.barred(now, e); refusal != nil {
		g.refuse(e, refusal)
		return g.end(now)
	}
	g.admit(now, e)
	return g.end(now)
}

// Done says that a started request has ended, whatever its end. A number that
// isn't in flight is passed over.
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
		g.loneRuns = false
		g.loneGate.until = now.Add(loneShare * now.Sub(g.loneGate.since))
	}
	for _, s := range g.stops {
		if s.covers(e.Ticket.Point) {
			s.inFlight--
		}
	}
	return g.end(now)
}

// Cancel takes a waiting request out, because its caller went away. The effect
// is a Refuse; a request in flight is left alone, since only its end counts.
func (g *Gate[O]) Cancel(now mtclock.Instant, number Number) []Effect {
	g.begin(now)
	if e, ok := g.waiting[number]; ok {
		g.drop(e)
		g.refuse(e, refusal(mtreply.CauseExpired, -1, "the caller went away"))
	}
	return g.end(now)
}

// Expire refuses what has waited too long. It is called at the time that Next
// gave; every other call does the same work in passing.
func (g *Gate[O]) Expire(now mtclock.Instant) []Effect {
	g.begin(now)
	return g.end(now)
}

// Next returns when Expire has work to do at the earliest, or false if nothing
// waits.
func (g *Gate[O]) Next() (mtclock.Instant, bool) {
	if len(g.waiting) == 0 {
		return 0, false
	}
	// A lone request that only waits for the others' time to end has no event
	// of its own to wake it, and neither has one that waits for the pace.
	if len(g.lone) > 0 && g.free(g.now) && !g.loneGate.held {
		return min(g.soonest, g.loneGate.until), true
	}
	if next := g.pacer.at(g.now, 1); next.After(g.now) && g.order.Len() > 0 {
		return min(g.soonest, next), true
	}
	return g.soonest, true
}

// Drain refuses all that waits and all that comes, and lets what is in flight
// finish. Idle follows once nothing is in flight.
func (g *Gate[O]) Drain(now mtclock.Instant) []Effect {
	g.begin(now)
	g.draining = true
	g.refuseWaiting(mtreply.CauseDraining, 0)
	return g.end(now)
}

// Close refuses all that waits and all that comes until Reopen: the server takes no work
// for the time being, and others do.
func (g *Gate[O]) Close(now mtclock.Instant) []Effect {
	g.begin(now)
	g.closed = true
	g.refuseWaiting(mtreply.CauseZoneOut, closedRetryAfter)
	return g.end(now)
}

// Reopen ends what Close began.
func (g *Gate[O]) Reopen(now mtclock.Instant) []Effect {
	g.begin(now)
	g.closed = false
	return g.end(now)
}

// begin starts the effects of one call. What has expired goes first, so that
// nothing which follows can start it.
func (g *Gate[O]) begin(now mtclock.Instant) {
	g.now, g.out = now, nil
	g.expire(now)
}

// end does what each call has to do last: fill the free slots, report what has
// become quiet.
func (g *Gate[O]) end(now mtclock.Instant) []Effect {
	g.fill(now)
	g.report()
	return g.out
}

// barred returns why e is refused before it is weighed against others, or nil.
func (g *Gate[O]) barred(now mtclock.Instant, e *Entry) *mtreply.RefusedError {
	switch {
	case !e.Ticket.Deadline.After(now):
		return refusal(mtreply.CauseExpired, -1, "")
	case g.draining:
		return refusal(mtreply.CauseDraining, 0, "")
	case g.closed:
		return refusal(mtreply.CauseZoneOut, closedRetryAfter, "")
	case g.capacity() == 0:
		return refusal(mtreply.CauseNoServer, serverRetryAfter, "")
	}
	if wait := e.Flow.limited(now); wait > 0 {
		return refusal(mtreply.CauseLimited, clampRetry(wait), "")
	}
	return nil
}

// admit holds e if its range is stopped, and else enters it.
func (g *Gate[O]) admit(now mtclock.Instant, e *Entry) {
	if s := g.stopAt(e.Ticket.Point); s != nil {
		g.hold(s, e)
		return
	}
	g.enter(now, e)
}

// enter starts e, lets it wait, or refuses it or what gives way to it.
func (g *Gate[O]) enter(now mtclock.Instant, e *Entry) {
	if e.Ticket.Alone {
		g.enterLone(e)
		return
	}
	if g.free(now) && g.order.Len() == 0 && !g.loneFirst(now) && g.order.Admits(now, e, g.capacity()) {
		g.start(now, e)
		return
	}
	wait := max(g.order.Wait(now, e, g.capacity()), g.held(now, e))
	if !e.GiveUp.After(now) || g.order.TooLate(now, e, wait) {
		g.refuse(e, refusal(mtreply.CauseShed, clampRetry(g.order.Retry(e, wait)), "the queue is longer than its time allows"))
		return
	}
	if e.Flow.Waiting() >= e.Flow.Queue {
		g.refuse(e, refusal(mtreply.CauseQueueFull, clampRetry(wait), ""))
		return
	}
	if len(g.waiting) >= g.limits.Waiting && !g.makeRoom(now, e) {
		g.refuse(e, refusal(mtreply.CauseShed, clampRetry(wait), ""))
		return
	}
	g.wait(e)
	g.order.Push(e)
}

// makeRoom sheds one waiting request in favour of e and reports whether it
// could.
func (g *Gate[O]) makeRoom(now mtclock.Instant, e *Entry) bool {
	victim := g.order.Victim(e)
	if victim == nil {
		return false
	}
	g.drop(victim)
	g.refuse(victim, refusal(mtreply.CauseShed, clampRetry(g.order.Wait(now, victim, g.capacity())), ""))
	return true
}

// enterLone lets a request wait that has to run alone. There is room for few,
// since each keeps all the others out for as long as it runs.
func (g *Gate[O]) enterLone(e *Entry) {
	if len(g.lone) >= e.Flow.Queue || len(g.waiting) >= g.limits.Waiting {
		g.refuse(e, refusal(mtreply.CauseQueueFull, maxRetryAfter, ""))
		return
	}
	g.wait(e)
	g.lone = append(g.lone, e)
}

// wait notes that e waits.
func (g *Gate[O]) wait(e *Entry) {
	if len(g.waiting) == 0 || e.GiveUp.Before(g.soonest) {
		g.soonest = e.GiveUp
	}
	g.waiting[e.Ticket.Number] = e
}

// drop takes a waiting entry out of wherever it waits.
func (g *Gate[O]) drop(e *Entry) {
	delete(g.waiting, e.Ticket.Number)
	switch {
	case e.held != nil:
		e.held.remove(e)
	case e.Ticket.Alone:
		g.lone = without(g.lone, e)
		g.loneGate.held = g.loneGate.held && len(g.lone) > 0
	default:
		g.order.Remove(e)
	}
}

// fill starts waiting requests while there are free slots.
func (g *Gate[O]) fill(now mtclock.Instant) {
	for g.free(now) {
		if g.loneFirst(now) {
			g.startLone(now)
			return
		}
		e := g.order.Next(now, g.capacity())
		if e == nil {
			return
		}
		delete(g.waiting, e.Ticket.Number)
		g.start(now, e)
	}
}

// loneFirst reports whether a request that runs alone is next. From then on no
// other request starts, so that those in flight run out.
func (g *Gate[O]) loneFirst(now mtclock.Instant) bool {
	return len(g.lone) > 0 && !now.Before(g.loneGate.until)
}

// startLone starts the oldest lone request once nothing is in flight.
func (g *Gate[O]) startLone(now mtclock.Instant) {
	if !g.loneGate.held {
		g.loneGate.held = true
		g.loneGate.since = now
	}
	if len(g.running) > 0 {
		return
	}
	e := g.lone[0]
	g.lone = g.lone[1:]
	delete(g.waiting, e.Ticket.Number)
	g.loneGate.held = false
	g.loneRuns = true
	g.start(now, e)
}

// start sends e to the backend server.
func (g *Gate[O]) start(now mtclock.Instant, e *Entry) {
	e.Started = now
	g.pacer.note(now)
	g.running[e.Ticket.Number] = e
	e.Flow.started(now, e)
	g.order.Started(now, e)
	for _, s := range g.stops {
		if s.covers(e.Ticket.Point) {
			s.inFlight++
		}
	}
	g.out = append(g.out, Start{Ticket: e.Ticket})
}

// refuse answers e's caller.
func (g *Gate[O]) refuse(e *Entry, err *mtreply.RefusedError) {
	e.Flow.refused(err.Cause)
	g.out = append(g.out, Refuse{Ticket: e.Ticket, Err: err})
}

// refuseWaiting refuses all that waits, in order of arrival.
func (g *Gate[O]) refuseWaiting(cause mtreply.Cause, retryAfter time.Duration) {
	for _, e := range g.inOrder() {
		g.drop(e)
		g.refuse(e, refusal(cause, retryAfter, ""))
	}
}

// expire refuses what has waited too long.
func (g *Gate[O]) expire(now mtclock.Instant) {
	if len(g.waiting) == 0 || now.Before(g.soonest) {
		return
	}
	var soonest mtclock.Instant
	found := false
	for _, e := range g.inOrder() {
		if e.GiveUp.After(now) {
			if !found || e.GiveUp.Before(soonest) {
				soonest, found = e.GiveUp, true
			}
			continue
		}
		g.drop(e)
		g.refuse(e, g.lateRefusal(now, e))
	}
	g.soonest = soonest
}

// lateRefusal says why e, which waited too long, is refused.
func (g *Gate[O]) lateRefusal(now mtclock.Instant, e *Entry) *mtreply.RefusedError {
	if !e.Ticket.Deadline.After(now) {
		return refusal(mtreply.CauseExpired, -1, "")
	}
	if e.held != nil {
		return refusal(mtreply.CauseMoving, movingRetryAfter, "")
	}
	return refusal(mtreply.CauseShed, clampRetry(g.order.Retry(e, now.Sub(e.Arrival))), "waited too long")
}

// giveUp returns when e is refused if it hasn't started: after its patience,
// and early enough that it can still end in time.
func (g *Gate[O]) giveUp(now mtclock.Instant, e *Entry) mtclock.Instant {
	left := e.Ticket.Deadline.Sub(now)
	patient := now.Add(time.Duration(float64(left) * g.limits.Patience))
	return g.order.GiveUp(now, e, patient)
}

// capacity returns how many requests may be in flight.
func (g *Gate[O]) capacity() int { return min(g.limits.Slots, g.limits.Connections) }

// free reports whether one more request may be in flight.
func (g *Gate[O]) free(now mtclock.Instant) bool {
	return !g.loneRuns && len(g.running) < g.capacity() && g.pacer.allows(now)
}

// flow returns the flow with that key, which it makes if need be.
func (g *Gate[O]) flow(key FlowKey) *Flow {
	f, ok := g.flows[key]
	if !ok {
		f = newFlow(key)
		f.slow = g.slow
		g.flows[key] = f
		g.order.Join(f)
	}
	return f
}

// refusal returns a typed refusal.
func refusal(cause mtreply.Cause, retryAfter time.Duration, detail string) *mtreply.RefusedError {
	return &mtreply.RefusedError{Cause: cause, RetryAfter: retryAfter, Detail: detail}
}

// clampRetry keeps an estimate within what makes sense to tell a caller.
func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
