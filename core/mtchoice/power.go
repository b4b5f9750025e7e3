package mtchoice

import (
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Options are the parameters of a PowerOfTwo.
type Options struct {
	Zone mtid.Zone // of this daemon; if empty, no zone is preferred
	// MaxEjected is the largest fraction of the candidates that may be ejected
	// because of failures. If more of them fail, the cause lies elsewhere, such as in
	// this daemon's own network, and ejecting more would only overload the others.
	MaxEjected float64
	// UseQueueTimes adds the queue times that servers report to their cost. They
	// reflect the load that other daemons put on the same server.
	UseQueueTimes bool
}

// DefaultMaxEjected is the Options.MaxEjected that a zero value stands for.
const DefaultMaxEjected = 0.5

// The duration of an ejection. It doubles each time the server fails again.
const (
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
)

// Weights of a server's cost, whose unit is requests in flight per slot.
const (
	// crossZoneCost is the additional cost of a server in another availability
	// zone: a millisecond of additional latency counts as a tenth of its slots.
	crossZoneCost = 0.1
	// queueUnit is the queue time that costs as much as all slots in use.
	queueUnit = 10 * time.Millisecond
	// reportWeight is the weight of a new report in the moving average.
	reportWeight = 0.2
	// queueHalfAge is the time without a new report after which the moving average
	// counts half.
	queueHalfAge = 200 * time.Millisecond
	// minAvailability keeps the cost of a failing server finite.
	minAvailability = 0.05
)

// maxRetryAfter limits how long a server that refused because of its load is
// avoided.
const maxRetryAfter = time.Second

// PowerOfTwo implements the power of two choices: it draws two servers at random
// and selects the one with the lower cost. The cost is the number of requests in
// flight per slot, higher for another availability zone and after failures.
// Servers that are down are ejected, and probed by a single request when the
// ejection has expired.
type PowerOfTwo[E Estimator] struct {
	random       *rand.Rand
	options      Options
	newEstimator func() E
	servers      []*server[E]
	byName       map[mtid.Holder]*server[E]
	local        []*server[E] // scratch: eligible servers in the own zone
	remote       []*server[E] // scratch: other eligible servers
}

// server is the state of one candidate.
type server[E Estimator] struct {
	Candidate
	estimate   E
	inFlight   int
	queueWait  float64 // moving average of the reported queue times, in units of queueUnit
	reportedAt mtclock.Instant
	avoidUntil mtclock.Instant // after an Overloaded result
	ejected    bool
	probeAt    mtclock.Instant // when an ejected server is probed
	ejections  int             // in a row
	probing    bool
}

// NewPowerOfTwo returns a PowerOfTwo without candidates. newEstimator returns the
// initial estimator of a new candidate.
func NewPowerOfTwo[E Estimator](random *rand.Rand, options Options, newEstimator func() E) *PowerOfTwo[E] {
	if options.MaxEjected == 0 {
		options.MaxEjected = DefaultMaxEjected
	}
	return &PowerOfTwo[E]{random: random, options: options, newEstimator: newEstimator, byName: make(map[mtid.Holder]*server[E])}
}

// Update implements Policy.
func (p *PowerOfTwo[E]) Update(candidates []Candidate) {
	before := p.byName
	p.byName = make(map[mtid.Holder]*server[E], len(candidates))
	p.servers = p.servers[:0]
	for _, c := range sorted(candidates) {
		s, ok := before[c.Holder]
		if !ok {
			s = &server[E]{estimate: p.newEstimator()}
		}
		s.Candidate = c
		p.byName[c.Holder] = s
		p.servers = append(p.servers, s)
	}
}

// Pick implements Policy.
func (p *PowerOfTwo[E]) Pick(now mtclock.Instant) (mtid.Holder, bool) {
	if len(p.servers) == 0 {
		return mtid.Holder{}, false
	}
	if s := p.dueForProbe(now); s != nil {
		// If this probe never ends, another one is sent.
		s.probing = true
		s.probeAt = now.Add(minEjection)
		return s.Holder, true
	}
	p.partition(now)
	local, remote := p.pickCheaper(now, p.local), p.pickCheaper(now, p.remote)
	if remote == nil || (local != nil && p.cost(now, local) <= p.cost(now, remote)) {
		return local.Holder, true
	}
	return remote.Holder, true
}

// dueForProbe returns an ejected server that is due for a probe, or nil.
func (p *PowerOfTwo[E]) dueForProbe(now mtclock.Instant) *server[E] {
	for _, s := range p.servers {
		if s.ejected && !now.Before(s.probeAt) {
			return s
		}
	}
	return nil
}

// partition collects the eligible servers by zone. If Options.Zone is empty, all
// of them count as remote.
func (p *PowerOfTwo[E]) partition(now mtclock.Instant) {
	p.local, p.remote = p.local[:0], p.remote[:0]
	for _, s := range p.servers {
		switch {
		case s.ejected || now.Before(s.avoidUntil):
		case s.Zone == p.options.Zone && p.options.Zone != "":
			p.local = append(p.local, s)
		default:
			p.remote = append(p.remote, s)
		}
	}
	if len(p.local)+len(p.remote) == 0 {
		// All servers are avoided or ejected. Any of them is tried, since the refusal
		// of a server is more accurate than one generated here.
		p.remote = append(p.remote, p.servers...)
	}
}

// pickCheaper returns the cheaper of two servers drawn at random, or nil if
// there are none.
func (p *PowerOfTwo[E]) pickCheaper(now mtclock.Instant, from []*server[E]) *server[E] {
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

// cost returns the cost of sending the next request to the server.
func (p *PowerOfTwo[E]) cost(now mtclock.Instant, s *server[E]) float64 {
	cost := float64(s.inFlight+1) / float64(max(s.Slots, 1))
	if p.options.UseQueueTimes {
		cost += s.decayedQueueWait(now)
	}
	cost /= max(s.estimate.Availability(), minAvailability)
	if s.Zone != p.options.Zone && p.options.Zone != "" {
		cost += crossZoneCost
	}
	return cost
}

// decayedQueueWait returns the moving average of the reported queue times, which
// decays with the age of the last report, so that a server that was avoided
// because of its queue is eventually tried again.
func (s *server[E]) decayedQueueWait(now mtclock.Instant) float64 {
	relativeAge := float64(now.Sub(s.reportedAt)) / float64(queueHalfAge)
	return s.queueWait / (1 + relativeAge)
}

// Started implements Policy.
func (p *PowerOfTwo[E]) Started(_ mtclock.Instant, holder mtid.Holder) {
	if s, ok := p.byName[holder]; ok {
		s.inFlight++
	}
}

// Ended implements Policy.
func (p *PowerOfTwo[E]) Ended(now mtclock.Instant, holder mtid.Holder, r Result) {
	s, ok := p.byName[holder]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch r.Kind {
	case Success:
		s.recordQueueWait(now, r.QueueTime)
		s.estimate.Observe(true)
		p.reinstate(s)
	case Failure:
		s.estimate.Observe(false)
		p.eject(now, s)
	case Overloaded:
		s.avoidUntil = now.Add(min(max(r.RetryAfter, 0), maxRetryAfter))
		p.reinstate(s)
	case Inconclusive:
		s.probing = false
	}
}

// recordQueueWait adds a reported queue time to the moving average.
func (s *server[E]) recordQueueWait(now mtclock.Instant, wait time.Duration) {
	decayed := s.decayedQueueWait(now)
	s.queueWait = decayed + reportWeight*(float64(wait)/float64(queueUnit)-decayed)
	s.reportedAt = now
}

// reinstate ends an ejection after a reply that proves the server to be up.
func (p *PowerOfTwo[E]) reinstate(s *server[E]) {
	s.ejected, s.probing = false, false
	if !s.estimate.Down() {
		s.ejections = 0
	}
}

// eject ejects a server that counts as down, unless the limit is reached, and
// extends the ejection if its probe failed.
func (p *PowerOfTwo[E]) eject(now mtclock.Instant, s *server[E]) {
	if !s.ejected && (!s.estimate.Down() || !p.canEject()) {
		return
	}
	// Requests that were in flight when the server was ejected add no evidence.
	if s.ejected && !s.probing {
		return
	}
	s.ejected, s.probing = true, false
	s.probeAt = now.Add(min(minEjection<<min(s.ejections, 8), maxEjection))
	s.ejections++
}

// canEject reports whether the limit allows for one more ejected server.
func (p *PowerOfTwo[E]) canEject() bool {
	ejected := 0
	for _, s := range p.servers {
		if s.ejected {
			ejected++
		}
	}
	return float64(ejected+1) <= p.options.MaxEjected*float64(len(p.servers))
}

// Ejected returns the number of ejected servers, for metrics.
func (p *PowerOfTwo[E]) Ejected() int {
	n := 0
	for _, s := range p.servers {
		if s.ejected {
			n++
		}
	}
	return n
}
