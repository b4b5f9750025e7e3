package mtchoice

import (
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Report is what a server's daemon said of its load, and when it was heard.
type Report struct {
	Busy    int           // requests at the server and waiting for it
	Service time.Duration // that the same request takes there; its ratio counts
	At      mtclock.Instant
}

// Figures of Least.
const (
	// reportMemory is the age at which a report counts half: queues of servers
	// that take some hundred milliseconds a request look different by then.
	reportMemory = 400 * time.Millisecond
	// jitter is the random part of a cost. Several daemons see the same reports
	// at the same time, and without it all of them would choose the same server.
	jitter = 0.15
	// slack is the weight of a server that has free slots but many in use. Some
	// servers slow down when they are nearly full.
	slack = 0.2
	// firstSpare and mostSpare are how long a server is passed over after one
	// failure and after several in a row.
	firstSpare = 200 * time.Millisecond
	mostSpare  = 3 * time.Second
)

// Least chooses the server with the least expected time until the answer: what
// is queued there, by its own report and by what was sent there since, times
// what a request takes there. It answers the pattern of servers whose speeds
// differ by a factor of two: an equal share of the requests overloads the slow
// ones while the fast ones are idle.
//
// Servers that fail are passed over for a while, unless all do.
type Least struct {
	random  *rand.Rand
	zone    mtid.Zone
	far     float64
	servers []*least
	byName  map[mtid.Holder]*least
}

// least is what is known of one candidate.
type least struct {
	Candidate
	estimate *Average
	mine     int // requests of this daemon on their way
	since    int // of these, sent after the report
	report   Report
	spared   mtclock.Instant
	failures int // in a row
}

// NewLeast returns a Least without candidates. far is what a server in another
// availability zone costs more, as a part of its service time.
func NewLeast(random *rand.Rand, zone mtid.Zone, far float64) *Least {
	return &Least{random: random, zone: zone, far: far, byName: make(map[mtid.Holder]*least)}
}

// Update replaces the candidates. What is known of those that stay is kept.
func (p *Least) Update(candidates []Candidate) {
	before := p.byName
	p.byName = make(map[mtid.Holder]*least, len(candidates))
	p.servers = p.servers[:0]
	for _, c := range sorted(candidates) {
		s, ok := before[c.Holder]
		if !ok {
			s = &least{estimate: NewAverage()}
		}
		s.Candidate = c
		p.byName[c.Holder] = s
		p.servers = append(p.servers, s)
	}
}

// Pick returns a server that is not in without, or false if there is none.
func (p *Least) Pick(now mtclock.Instant, without []mtid.Holder) (mtid.Holder, bool) {
	usual := p.usual()
	var best, spared *least
	bestCost, sparedCost := 0.0, 0.0
	for _, s := range p.servers {
		if contains(without, s.Holder) {
			continue
		}
		cost := p.cost(now, s, usual)
		if now.Before(s.spared) {
			if spared == nil || cost < sparedCost {
				spared, sparedCost = s, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	if best == nil {
		best = spared
	}
	if best == nil {
		return mtid.Holder{}, false
	}
	return best.Holder, true
}

func contains(holders []mtid.Holder, h mtid.Holder) bool {
	for _, o := range holders {
		if o == h {
			return true
		}
	}
	return false
}

// usual returns the mean service time of the servers that have reported one.
func (p *Least) usual() time.Duration {
	var sum time.Duration
	n := 0
	for _, s := range p.servers {
		if s.report.Service > 0 {
			sum += s.report.Service
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

// cost returns how long the next request is expected to take at the server, in
// seconds.
func (p *Least) cost(now mtclock.Instant, s *least, usual time.Duration) float64 {
	service := s.report.Service
	if service <= 0 {
		service = usual
	}
	fade := 1 / (1 + float64(now.Sub(s.report.At))/float64(reportMemory))
	busy := max(float64(s.report.Busy)*fade+float64(s.since), float64(s.mine))
	slots := float64(max(s.Slots, 1))
	over := max(busy+1-slots, 0)
	cost := 1 + over/slots + slack*min(busy/slots, 1)
	if s.Zone != p.zone {
		cost += p.far
	}
	cost /= max(s.estimate.Availability(), minAvailability)
	return cost * service.Seconds() * (1 + jitter*p.random.Float64())
}

// Started says that a request is sent to the server.
func (p *Least) Started(holder mtid.Holder) {
	if s, ok := p.byName[holder]; ok {
		s.mine++
		s.since++
	}
}

// Ended says how it ended. Each Started is followed by one Ended.
func (p *Least) Ended(now mtclock.Instant, holder mtid.Holder, kind Kind, report Report) {
	s, ok := p.byName[holder]
	if !ok {
		return
	}
	s.mine = max(s.mine-1, 0)
	if report.At != 0 && report.At > s.report.At {
		s.report, s.since = report, 0
	}
	switch kind {
	case Good:
		s.estimate.Note(true)
		s.failures, s.spared = 0, 0
	case Bad:
		s.estimate.Note(false)
		s.spared = now.Add(min(firstSpare<<min(s.failures, 8), mostSpare))
		s.failures++
	case Busy, Other:
	}
}
