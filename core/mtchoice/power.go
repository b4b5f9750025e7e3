package mtchoice

import (
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Options of a Power.
type Options struct {
	Zone mtid.Zone // of this daemon; empty is no preference
	// Ejected is the largest part of the candidates that may be left out for
	// their failures. Beyond it something else is wrong, such as this daemon's
	// own network, and leaving servers out would only load the others.
	Ejected float64
	// Reports says that the waiting times which servers report are counted as
	// load. It tells of what other daemons send to the same server.
	Reports bool
}

// DefaultEjected is the usual Options.Ejected.
const DefaultEjected = 0.5

// How long a server is left out after it counts as down, doubled each time it
// fails again.
const (
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
)

// Weights of a server's cost, in requests in flight per slot.
const (
	// farCost is what a server in another availability zone has to be less
	// loaded by: a millisecond more on the way is worth a tenth of its slots.
	farCost = 0.1
	// queueUnit is the waiting time that counts as much as all slots being
	// taken.
	queueUnit = 10 * time.Millisecond
	// queueWeight is the weight of a new report in the moving average.
	queueWeight = 0.2
	// queueMemory halves the average while nothing is heard of the server.
	queueMemory = 200 * time.Millisecond
	// minAvailability keeps the cost of a failing server finite.
	minAvailability = 0.05
)

// busyWait bounds how long a server that refused for its load is spared.
const busyWait = time.Second

// Power draws two servers at random and takes the one that costs less: requests
// in flight per slot, more for another availability zone, more for failures.
// Servers that are down are left out, and probed by a single request when their
// time is over.
type Power[E Estimator] struct {
	random  *rand.Rand
	options Options
	fresh   func() E
	servers []*server[E]
	byName  map[mtid.Holder]*server[E]
	near    []*server[E] // scratch: those of the own zone that may be chosen
	far     []*server[E] // scratch: the others
}

// server is what is known of one candidate.
type server[E Estimator] struct {
	Candidate
	estimate E
	inFlight int
	queue    float64 // moving average of the reported waits, in queueUnit
	heard    mtclock.Instant
	spared   mtclock.Instant // Busy: not before this time
	ejected  bool
	until    mtclock.Instant // Ejected: probed then
	times    int             // Ejected: in a row
	probing  bool
}

// NewPower returns a Power without candidates. fresh returns the judgement of a
// server of which nothing is known.
func NewPower[E Estimator](random *rand.Rand, options Options, fresh func() E) *Power[E] {
	if options.Ejected == 0 {
		options.Ejected = DefaultEjected
	}
	return &Power[E]{random: random, options: options, fresh: fresh, byName: make(map[mtid.Holder]*server[E])}
}

// Update implements Policy.
func (p *Power[E]) Update(candidates []Candidate) {
	before := p.byName
	p.byName = make(map[mtid.Holder]*server[E], len(candidates))
	p.servers = p.servers[:0]
	for _, c := range sorted(candidates) {
		s, ok := before[c.Holder]
		if !ok {
			s = &server[E]{estimate: p.fresh()}
		}
		s.Candidate = c
		p.byName[c.Holder] = s
		p.servers = append(p.servers, s)
	}
}

// Pick implements Policy.
func (p *Power[E]) Pick(now mtclock.Instant) (mtid.Holder, bool) {
	if len(p.servers) == 0 {
		return mtid.Holder{}, false
	}
	if s := p.due(now); s != nil {
		// Another probe follows if nothing is heard of this one.
		s.probing = true
		s.until = now.Add(minEjection)
		return s.Holder, true
	}
	p.sort(now)
	near, far := p.draw(now, p.near), p.draw(now, p.far)
	if far == nil || (near != nil && p.cost(now, near) <= p.cost(now, far)) {
		return near.Holder, true
	}
	return far.Holder, true
}

// due returns a server that is to be probed, or nil.
func (p *Power[E]) due(now mtclock.Instant) *server[E] {
	for _, s := range p.servers {
		if s.ejected && !now.Before(s.until) {
			return s
		}
	}
	return nil
}

// sort finds the servers that may be chosen, by distance. Without a zone of its
// own, all are far.
func (p *Power[E]) sort(now mtclock.Instant) {
	p.near, p.far = p.near[:0], p.far[:0]
	for _, s := range p.servers {
		switch {
		case s.ejected || now.Before(s.spared):
		case s.Zone == p.options.Zone && p.options.Zone != "":
			p.near = append(p.near, s)
		default:
			p.far = append(p.far, s)
		}
	}
	if len(p.near)+len(p.far) == 0 {
		// All of them are spared or down: a refusal by one of them is more
		// truthful than one made up here.
		p.far = append(p.far, p.servers...)
	}
}

// draw returns the cheaper of two servers drawn at random, or nil if there is
// none.
func (p *Power[E]) draw(now mtclock.Instant, from []*server[E]) *server[E] {
	if len(from) == 0 {
		return nil
	}
	i := p.random.IntN(len(from))
	if len(from) == 1 {
		return from[i]
	}
	j := p.random.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if p.cost(now, from[j]) < p.cost(now, from[i]) {
		return from[j]
	}
	return from[i]
}

// cost returns what the next request would meet at the server.
func (p *Power[E]) cost(now mtclock.Instant, s *server[E]) float64 {
	cost := float64(s.inFlight+1) / float64(max(s.Slots, 1))
	if p.options.Reports {
		cost += s.waits(now)
	}
	cost /= max(s.estimate.Availability(), minAvailability)
	if s.Zone != p.options.Zone && p.options.Zone != "" {
		cost += farCost
	}
	return cost
}

// waits returns the reported waits, which fade: a server that was avoided for
// its queue has to be tried again some time.
func (s *server[E]) waits(now mtclock.Instant) float64 {
	halvings := float64(now.Sub(s.heard)) / float64(queueMemory)
	return s.queue / (1 + halvings)
}

// Started implements Policy.
func (p *Power[E]) Started(_ mtclock.Instant, holder mtid.Holder) {
	if s, ok := p.byName[holder]; ok {
		s.inFlight++
	}
}

// Ended implements Policy.
func (p *Power[E]) Ended(now mtclock.Instant, holder mtid.Holder, r Result) {
	s, ok := p.byName[holder]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch r.Kind {
	case Good:
		s.hear(now, r.Queue)
		s.estimate.Note(true)
		p.reinstate(s)
	case Bad:
		s.estimate.Note(false)
		p.eject(now, s)
	case Busy:
		s.spared = now.Add(min(max(r.RetryAfter, 0), busyWait))
		p.reinstate(s)
	case Other:
		s.probing = false
	}
}

// hear takes in a reported wait.
func (s *server[E]) hear(now mtclock.Instant, wait time.Duration) {
	faded := s.waits(now)
	s.queue = faded + queueWeight*(float64(wait)/float64(queueUnit)-faded)
	s.heard = now
}

// reinstate ends an ejection, since the server has shown that it is up.
func (p *Power[E]) reinstate(s *server[E]) {
	s.ejected, s.probing = false, false
	if !s.estimate.Down() {
		s.times = 0
	}
}

// eject leaves out a server that counts as down, within the cap.
func (p *Power[E]) eject(now mtclock.Instant, s *server[E]) {
	if !s.ejected && (!s.estimate.Down() || !p.mayEject()) {
		return
	}
	// Requests that were on their way when it was ejected tell nothing new.
	if s.ejected && !s.probing {
		return
	}
	s.ejected, s.probing = true, false
	s.until = now.Add(min(minEjection<<min(s.times, 8), maxEjection))
	s.times++
}

// mayEject reports whether one more server may be left out.
func (p *Power[E]) mayEject() bool {
	ejected := 0
	for _, s := range p.servers {
		if s.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= p.options.Ejected*float64(len(p.servers))
}

// Ejected returns how many servers are left out, for metrics.
func (p *Power[E]) Ejected() int {
	n := 0
	for _, s := range p.servers {
		if s.ejected {
			n++
		}
	}
	return n
}
