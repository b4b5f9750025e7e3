// Package mtgate drives a gate of core/mtgate: it gives the pure gate its events
// and wakes the requests that wait.
//
// # Usage
//
//	door := mtgate.New(clock, mtgate.NewFair(mtgate.DefaultGuaranteed), limits, quiet)
//	door.Resize(slots, connections)
//	end, err := door.Admit(ctx, ticket) // waits
//	defer end()
//
// A Door is safe for concurrent use. It wakes by itself when somebody has waited too
// long; a timer that looks for that would keep an idle daemon busy.
package mtgate

import (
	"context"
	"math"
	"sync"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// clock has an elapsed time that may run ahead but never late, and one that never runs
// ahead.
type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

// Door drives the admission to one backend server.
type Door[O mtgate.Order] struct {
	clock   clock
	quiet   func(low, high mtid.Point)
	idle    chan struct{}
	mu      sync.Mutex
	core    *mtgate.Gate[O]
	next    mtgate.Number
	waiters map[mtgate.Number]chan *mtreply.RefusedError
	slots   int
	conns   int
	pace    mtgate.StartRate
	slow    float64       // the multiple that the gate was told
	ahead   time.Duration // of Now before Steady, when it was looked last
	alarm   *time.Timer
	armed   bool
	rings   mtclock.Instant // the alarm, if it is armed
}

// New returns a Door without slots. quiet is called, with the Door locked, once
// nothing is in flight in a stopped range.
func New[O mtgate.Order](c clock, order O, limits mtgate.Limits, quiet func(low, high mtid.Point)) *Door[O] {
	return &Door[O]{
		clock:   c,
		quiet:   quiet,
		idle:    make(chan struct{}),
		core:    mtgate.New(order, limits),
		waiters: make(map[mtgate.Number]chan *mtreply.RefusedError),
		slow:    1,
	}
}

// Declare sets the limits of a class of a business.
func (d *Door[O]) Declare(business mtid.Business, class mtbundle.Class) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Declare(business, class)
}

// Expect sets how long a request of a class is taken to run until one has ended.
func (d *Door[O]) Expect(business mtid.Business, class mtid.Class, usual time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetExpectedService(business, class, usual)
}

// Resize brings the gate's limits in line with the backend server. It is called
// for each request and costs two comparisons when nothing changed.
func (d *Door[O]) Resize(slots, conns int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slots == slots && d.conns == conns {
		return
	}
	d.slots, d.conns = slots, conns
	d.run(d.core.Resize(d.now(), slots, conns))
}

// Limit bounds how many requests are started in a second; zero is no limit. It is called
// often, and costs a comparison when nothing changed.
func (d *Door[O]) Limit(pace mtgate.StartRate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pace == pace {
		return
	}
	d.pace = pace
	d.ahead = d.clock.Now().Sub(d.clock.Steady())
	d.run(d.core.LimitStartRate(d.now(), pace))
}

// leastSlower is by how much the multiple has to differ until the gate is told.
const leastSlower = 0.05

// Slow sets how much longer requests take at the moment than on average, as a multiple. It
// is called often, and costs a comparison when hardly anything changed.
func (d *Door[O]) Slow(multiple float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if math.Abs(multiple-d.slow) < leastSlower {
		return
	}
	d.slow = multiple
	d.run(d.core.SetSlowdown(d.now(), multiple))
}

// Unseen says that requests may have been started a moment ago that the Door knows nothing
// of.
func (d *Door[O]) Unseen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.AssumeUnknownStarts(d.now())
}

// now returns the present time. While starts are limited it looks whether the clock has
// jumped ahead, since a second seemed to be over then that had just begun. It is called
// with mu held.
func (d *Door[O]) now() mtclock.Instant {
	now := d.clock.Now()
	if d.pace == 0 {
		return now
	}
	ahead := now.Sub(d.clock.Steady())
	if jump := ahead - d.ahead; jump > 0 {
		d.core.ClockJumped(jump)
	}
	d.ahead = ahead
	return now
}

// Admit waits until the request may start and returns the function that ends
// it, or fails with the refusal, a *mtreply.RefusedError.
func (d *Door[O]) Admit(ctx context.Context, t mtgate.Ticket) (func(), error) {
	verdict := make(chan *mtreply.RefusedError, 1)
	d.mu.Lock()
	d.next++
	t.Number = d.next
	d.waiters[t.Number] = verdict
	d.run(d.core.Offer(d.now(), t))
	d.mu.Unlock()
	var refused *mtreply.RefusedError
	select {
	case refused = <-verdict:
	case <-ctx.Done():
		// The caller went away: the ticket leaves the queue, unless it was
		// started a moment ago, and then it is ended like any other.
		d.cancel(t.Number)
		refused = <-verdict
	}
	if refused != nil {
		return nil, refused
	}
	return func() { d.done(t.Number) }, nil
}

func (d *Door[O]) done(n mtgate.Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Done(d.now(), n))
}

func (d *Door[O]) cancel(n mtgate.Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Cancel(d.now(), n))
}

// arm sets the alarm for the next request that will have waited too long, unless it
// rings before. It is called with mu held.
func (d *Door[O]) arm() {
	at, waits := d.core.Next()
	if !waits || (d.armed && d.rings <= at) {
		return
	}
	d.armed, d.rings = true, at
	wait := max(at.Sub(d.clock.Now()), 0)
	if d.alarm == nil {
		d.alarm = time.AfterFunc(wait, d.ring)
		return
	}
	d.alarm.Reset(wait)
}

// ring refuses what has waited too long.
func (d *Door[O]) ring() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armed = false
	d.run(d.core.Expire(d.now()))
}

// Stop holds new work for a range; quiet is called once none is in flight.
func (d *Door[O]) Stop(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Stop(d.now(), low, high, mtgate.HoldNew))
}

// Resume admits the held work of a range here.
func (d *Door[O]) Resume(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Resume(d.now(), low, high))
}

// Release refuses the held work of a range, for its new owner to serve.
func (d *Door[O]) Release(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Release(d.now(), low, high))
}

// Drain refuses all new work; Idle is closed once none is in flight.
func (d *Door[O]) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Drain(d.now()))
}

// Close refuses all that waits and all that comes until Reopen.
func (d *Door[O]) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Close(d.now()))
}

// Reopen ends what Close began.
func (d *Door[O]) Reopen() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Reopen(d.now()))
}

// Idle is closed once nothing is in flight after Drain.
func (d *Door[O]) Idle() <-chan struct{} { return d.idle }

// Busy returns how many requests are in flight and how many wait.
func (d *Door[O]) Busy() (running, waiting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Busy()
}

// Counts returns the gate's counters.
func (d *Door[O]) Counts() mtgate.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Counts()
}

// run carries out effects. It is called with mu held.
func (d *Door[O]) run(effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			d.tell(e.Ticket.Number, nil)
		case mtgate.Refuse:
			d.tell(e.Ticket.Number, e.Err)
		case mtgate.RangeIdle:
			d.quiet(e.Low, e.High)
		case mtgate.Idle:
			close(d.idle)
		}
	}
	d.arm()
}

func (d *Door[O]) tell(n mtgate.Number, refused *mtreply.RefusedError) {
	verdict := d.waiters[n]
	delete(d.waiters, n)
	verdict <- refused
}
