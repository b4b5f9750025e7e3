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
	"sync"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

type clock interface{ Now() mtclock.Instant }

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
	d.core.Expect(business, class, usual)
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
	d.run(d.core.Resize(d.clock.Now(), slots, conns))
}

// Admit waits until the request may start and returns the function that ends
// it, or fails with the refusal, a *mtreply.RefusedError.
func (d *Door[O]) Admit(ctx context.Context, t mtgate.Ticket) (func(), error) {
	verdict := make(chan *mtreply.RefusedError, 1)
	d.mu.Lock()
	d.next++
	t.Number = d.next
	d.waiters[t.Number] = verdict
	d.run(d.core.Offer(d.clock.Now(), t))
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
	d.run(d.core.Done(d.clock.Now(), n))
}

func (d *Door[O]) cancel(n mtgate.Number) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Cancel(d.clock.Now(), n))
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
	d.run(d.core.Expire(d.clock.Now()))
}

// Stop holds new work for a range; quiet is called once none is in flight.
func (d *Door[O]) Stop(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Stop(d.clock.Now(), low, high, mtgate.HoldNew))
}

// Resume admits the held work of a range here.
func (d *Door[O]) Resume(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Resume(d.clock.Now(), low, high))
}

// Release refuses the held work of a range, for its new owner to serve.
func (d *Door[O]) Release(low, high mtid.Point) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Release(d.clock.Now(), low, high))
}

// Drain refuses all new work; Idle is closed once none is in flight.
func (d *Door[O]) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.run(d.core.Drain(d.clock.Now()))
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
		case mtgate.Quiet:
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
