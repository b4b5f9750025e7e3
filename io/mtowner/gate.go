package mtowner

import (
	"context"
	"sync"
	"time"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// gate drives the admission of one service: it gives the pure gate its events
// and wakes the requests that wait.
type gate struct {
	mu      sync.Mutex
	core    *mtgate.Gate[*mtgate.Fair]
	next    mtgate.Number
	waiters map[mtgate.Number]chan *mtreply.RefusedError
	quiet   func(low, high mtid.Point)
	idle    chan struct{}
	slots   int
	conns   int
	declare *mtbundle.Service // the declaration in force at the gate
}

func newGate(quiet func(low, high mtid.Point)) *gate {
	return &gate{
		core:    mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.Limits{}),
		waiters: make(map[mtgate.Number]chan *mtreply.RefusedError),
		quiet:   quiet,
		idle:    make(chan struct{}),
	}
}

// fit brings the gate's limits in line with the backend server and the bundle.
// It is called for each request and costs two comparisons when nothing changed.
func (g *gate) fit(now mtclock.Instant, a mtannounce.Announcement, business mtid.Business, service *mtbundle.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.declare != service {
		g.declare = service
		for _, class := range service.Classes {
			g.core.Declare(business, class)
		}
	}
	if g.slots != a.Slots || g.conns != a.Connections {
		g.slots, g.conns = a.Slots, a.Connections
		g.run(g.core.Resize(now, a.Slots, a.Connections))
	}
}

// admit waits until the request may start and returns the function that ends
// it, or fails with the refusal.
func (g *gate) admit(ctx context.Context, clock clock, t mtgate.Ticket) (func(), error) {
	verdict := make(chan *mtreply.RefusedError, 1)
	g.mu.Lock()
	g.next++
	t.Number = g.next
	g.waiters[t.Number] = verdict
	g.run(g.core.Offer(clock.Now(), t))
	g.mu.Unlock()
	var refused *mtreply.RefusedError
	select {
	case refused = <-verdict:
	case <-ctx.Done():
		// The caller went away: the ticket leaves the queue, unless it was
		// started a moment ago, and then it is ended like any other.
		g.cancel(clock.Now(), t.Number)
		refused = <-verdict
	}
	if refused != nil {
		return nil, refused
	}
	return func() { g.done(clock.Now(), t.Number) }, nil
}

func (g *gate) done(now mtclock.Instant, n mtgate.Number) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Done(now, n))
}

func (g *gate) cancel(now mtclock.Instant, n mtgate.Number) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Cancel(now, n))
}

// expire refuses what waited too long, if it is time.
func (g *gate) expire(now mtclock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at, ok := g.core.Next(); ok && !now.Before(at) {
		g.run(g.core.Expire(now))
	}
}

// stop holds new work for a range; quiet is called once none is in flight.
func (g *gate) stop(now mtclock.Instant, low, high mtid.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Stop(now, low, high, mtgate.HoldNew))
}

// resume admits the held work of a range here.
func (g *gate) resume(now mtclock.Instant, low, high mtid.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Resume(now, low, high))
}

// release refuses the held work of a range, for its new owner to serve.
func (g *gate) release(now mtclock.Instant, low, high mtid.Point) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Release(now, low, high))
}

// drain refuses all new work; idle is closed once none is in flight.
func (g *gate) drain(now mtclock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run(g.core.Drain(now))
}

// counts returns the gate's counters.
func (g *gate) counts() mtgate.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Counts()
}

// run carries out effects. It is called with mu held.
func (g *gate) run(effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			g.tell(e.Ticket.Number, nil)
		case mtgate.Refuse:
			g.tell(e.Ticket.Number, e.Err)
		case mtgate.Quiet:
			g.quiet(e.Low, e.High)
		case mtgate.Idle:
			close(g.idle)
		}
	}
}

func (g *gate) tell(n mtgate.Number, refused *mtreply.RefusedError) {
	verdict := g.waiters[n]
	delete(g.waiters, n)
	verdict <- refused
}

// expireEvery is how often the gates are asked for requests that waited too
// long. It bounds how late a refusal may come.
const expireEvery = 10 * time.Millisecond
