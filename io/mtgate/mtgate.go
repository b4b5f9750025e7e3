// Package mtgate drives a gate of core/mtgate: it passes events to the pure gate, and wakes
// the waiting requests that the gate starts or refuses.
//
// # Usage
//
//	admission := mtgate.New(clock, mtgate.NewFair(mtgate.DefaultGuaranteed), limits, onRangeIdle)
//	admission.Resize(slots, connections)
//	end, err := admission.Admit(ctx, ticket) // waits
//	defer end()
//
// An AdmissionController is safe for concurrent use. It sets a timer for the next request
// that will have waited too long; polling for such requests would keep an idle daemon busy.
package mtgate

import (
	"context"
	"math"
	"sync"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// clock provides two times: Now may jump ahead but never falls behind the elapsed time, and
// Steady never jumps ahead.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// AdmissionController controls the admission of requests to one backend server.
type AdmissionController[O mtgate.Order] struct {
	clock       clock
	onRangeIdle func(low, high mtid.Point)
	idle        chan struct{}
	mu          sync.Mutex
	gate        *mtgate.Gate[O]
	lastNumber  mtgate.Number
	waiters     map[mtgate.Number]chan *mtreply.RefusedError
	slots       int
	conns       int
	startLimit  mtgate.StartRate
	rate        mtbackend.Rate
	slowness    float64       // last multiple passed to the gate
	clockLead   time.Duration // lead of Now over Steady at the last check
	timer       *time.Timer
	timerSet    bool
	timerAt     mtclock.Instant // when the timer fires, if it is set
}

// New returns an AdmissionController without slots. onRangeIdle is called, with the
// controller locked, once nothing is in flight in a stopped range.
func New[O mtgate.Order](clk clock, order O, limits mtgate.Limits, onRangeIdle func(low, high mtid.Point)) *AdmissionController[O] {
	return &AdmissionController[O]{
		clock:       clk,
		onRangeIdle: onRangeIdle,
		idle:        make(chan struct{}),
		gate:        mtgate.New(order, limits),
		waiters:     make(map[mtgate.Number]chan *mtreply.RefusedError),
		rate:        mtbackend.Unlimited,
		slowness:    1,
	}
}

// Declare sets the limits of a class of a business.
func (c *AdmissionController[O]) Declare(business mtid.Business, class mtbundle.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Declare(business, class)
}

// Expect sets the expected service time of a class until a request of it has ended.
func (c *AdmissionController[O]) Expect(business mtid.Business, class mtid.Class, usual time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.SetExpectedService(business, class, usual)
}

// Resize sets the gate's limits to those of the backend server. It is called for each
// request, and costs two comparisons if nothing changed.
func (c *AdmissionController[O]) Resize(slots, conns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slots == slots && c.conns == conns {
		return
	}
	c.slots, c.conns = slots, conns
	c.apply(c.gate.Resize(c.now(), slots, conns))
}

// LimitStartRate sets the maximum number of requests started in a second; zero means no limit. It is
// called often, and costs a comparison if nothing changed.
func (c *AdmissionController[O]) LimitStartRate(limit mtgate.StartRate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startLimit == limit {
		return
	}
	c.beginLimit()
	c.startLimit = limit
	c.apply(c.gate.LimitStartRate(c.now(), limit))
}

// LimitRate sets the number of requests per second that the server takes. It is called for each
// answer, and costs a comparison if nothing changed.
func (c *AdmissionController[O]) LimitRate(rate mtbackend.Rate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate == rate {
		return
	}
	c.beginLimit()
	c.rate = rate
	c.apply(c.gate.LimitRate(c.now(), rate))
}

// limited reports whether a limit of starts is in force. It is called with mu held.
func (c *AdmissionController[O]) limited() bool {
	return c.startLimit != 0 || c.rate != mtbackend.Unlimited
}

// beginLimit begins to watch the clock for jumps, before a limit is set. If one is in force
// already, a jump since the last check still has to be counted. It is called with mu held.
func (c *AdmissionController[O]) beginLimit() {
	if !c.limited() {
		c.clockLead = c.clock.Now().Sub(c.clock.Steady())
	}
}

// minSlownessChange is the smallest change of the multiple that is passed to the gate.
const minSlownessChange = 0.05

// Slow sets the factor by which requests currently take longer than on average. It is
// called often, and costs a comparison if the multiple has hardly changed.
func (c *AdmissionController[O]) Slow(multiple float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if math.Abs(multiple-c.slowness) < minSlownessChange {
		return
	}
	c.slowness = multiple
	c.apply(c.gate.SetSlowdown(c.now(), multiple))
}

// AssumeRecentStarts makes the start limit count requests that may have been started just
// before, unknown to the controller.
func (c *AdmissionController[O]) AssumeRecentStarts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.AssumeUnknownStarts(c.now())
}

// now returns the current time. While starts are limited it checks whether the clock has
// jumped ahead: otherwise a second that has just begun would count as over. It is called
// with mu held.
func (c *AdmissionController[O]) now() mtclock.Instant {
	now := c.clock.Now()
	if !c.limited() {
		return now
	}
	lead := now.Sub(c.clock.Steady())
	if jump := lead - c.clockLead; jump > 0 {
		c.gate.ClockJumped(jump)
	}
	c.clockLead = lead
	return now
}

// Admit waits until the request may start, and returns the function that ends it. It fails
// with a *mtreply.RefusedError.
func (c *AdmissionController[O]) Admit(ctx context.Context, t mtgate.Ticket) (func(), error) {
	result := make(chan *mtreply.RefusedError, 1)
	c.mu.Lock()
	c.lastNumber++
	t.Number = c.lastNumber
	c.waiters[t.Number] = result
	c.apply(c.gate.Offer(c.now(), t))
	c.mu.Unlock()
	var refused *mtreply.RefusedError
	select {
	case refused = <-result:
	case <-ctx.Done():
		// The caller has canceled the request. It leaves the queue, unless it was started a
		// moment ago; then it is ended like any other.
		c.cancel(t.Number)
		refused = <-result
	}
	if refused != nil {
		return nil, refused
	}
	return func() { c.done(t.Number) }, nil
}

func (c *AdmissionController[O]) done(n mtgate.Number) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Done(c.now(), n))
}

func (c *AdmissionController[O]) cancel(n mtgate.Number) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Cancel(c.now(), n))
}

// Withdraw refuses the waiting requests with these tries and returns their number.
func (c *AdmissionController[O]) Withdraw(tries map[mtid.TryID]bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	effects := c.gate.Withdraw(c.now(), tries)
	c.apply(effects)
	refused := 0
	for _, effect := range effects {
		if e, ok := effect.(mtgate.Refuse); ok && e.Err.Cause == mtreply.CauseWithdrawn {
			refused++
		}
	}
	return refused
}

// setTimer sets the timer for the next request that will have waited too long, unless it
// fires earlier anyway. It is called with mu held.
func (c *AdmissionController[O]) setTimer() {
	at, pending := c.gate.Next()
	if !pending || (c.timerSet && c.timerAt <= at) {
		return
	}
	c.timerSet, c.timerAt = true, at
	wait := max(at.Sub(c.clock.Now()), 0)
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.expire)
		return
	}
	c.timer.Reset(wait)
}

// expire refuses the requests that have waited too long.
func (c *AdmissionController[O]) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerSet = false
	c.apply(c.gate.Expire(c.now()))
}

// Stop holds new requests for a range. onRangeIdle is called once none is in flight there.
func (c *AdmissionController[O]) Stop(low, high mtid.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Stop(c.now(), low, high, mtgate.HoldNew))
}

// Resume admits the held requests of a range, whose owner has not changed.
func (c *AdmissionController[O]) Resume(low, high mtid.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Resume(c.now(), low, high))
}

// Release refuses the held requests of a range, so that they go to its new owner.
func (c *AdmissionController[O]) Release(low, high mtid.Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Release(c.now(), low, high))
}

// Drain refuses all new requests. Idle is closed once none is in flight.
func (c *AdmissionController[O]) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Drain(c.now()))
}

// Close refuses all waiting requests, and all new ones until Reopen.
func (c *AdmissionController[O]) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Close(c.now()))
}

// Reopen admits requests again after Close.
func (c *AdmissionController[O]) Reopen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.gate.Reopen(c.now()))
}

// Idle returns a channel that is closed once nothing is in flight after Drain.
func (c *AdmissionController[O]) Idle() <-chan struct{} { return c.idle }

// Busy returns the numbers of requests in flight and waiting.
func (c *AdmissionController[O]) Busy() (running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Busy()
}

// Reserved returns which slots the gate keeps free.
func (c *AdmissionController[O]) Reserved() mtgate.Reserved {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Reserved()
}

// Counts returns the gate's counters.
func (c *AdmissionController[O]) Counts() mtgate.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gate.Counts()
}

// apply carries out the effects that the gate returned. It is called with mu held.
func (c *AdmissionController[O]) apply(effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			c.resolve(e.Ticket.Number, nil)
		case mtgate.Refuse:
			c.resolve(e.Ticket.Number, e.Err)
		case mtgate.RangeIdle:
			c.onRangeIdle(e.Low, e.High)
		case mtgate.Idle:
			close(c.idle)
		}
	}
	c.setTimer()
}

func (c *AdmissionController[O]) resolve(n mtgate.Number, refused *mtreply.RefusedError) {
	result := c.waiters[n]
	delete(c.waiters, n)
	result <- refused
}
