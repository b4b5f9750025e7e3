package mtchoice

import (
	"math"
	"math/rand/v2"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// LoadReport is the load of a server as its daemon reported it.
type LoadReport struct {
	Requests    int             // requests that run at the server or wait for it
	ServiceTime time.Duration   // service time of a typical request; only ratios between servers matter
	Capacity    float64         // slots that its rate limit lets the server use; zero for all
	ReceivedAt  mtclock.Instant // when the report was received; zero means no report
}

// Parameters of LeastLoaded.
const (
	// reportHalfAge is the age at which a report counts half. The queues of servers
	// that take a few hundred milliseconds per request have changed by then.
	reportHalfAge = 400 * time.Millisecond
	// costJitter is the random part of a cost. Several daemons receive the same
	// reports at the same time, and without it they would all choose the same
	// server.
	costJitter = 0.15
	// minBackoff and maxBackoff are how long a server is avoided after one failure
	// and after several in a row.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second
	// fullDuration is how long a server counts as full after it refused a call
	// because of its load. In that time it completes about ten requests and would
	// refuse more than half of the calls sent to it. Without this rule four in ten
	// of all calls were refused by local servers that had just refused others,
	// while remote servers had a third of their slots free.
	fullDuration = 150 * time.Millisecond
	// fullCostFactor multiplies the cost of a full server in the local zone.
	fullCostFactor = 1.5
)

// LeastLoaded chooses the server with the most spare capacity. The cost of a
// server combines the requests that run or wait there (its own report and what was
// sent since) with its relative service time. Both count since the speeds of servers
// differ by a factor of two: equal shares overload the slow servers while the
// fast ones are idle, and the shortest expected response time overloads the fast
// ones.
//
// Servers that fail are avoided for some time, unless all of them fail, and
// servers that refuse a call because of their load for a shorter time.
type LeastLoaded struct {
	random        *rand.Rand
	zone          mtid.Zone
	crossZoneCost float64
	servers       []*leastServer
	byName        map[mtid.Holder]*leastServer
}

// leastServer is the state of one candidate.
type leastServer struct {
	Candidate
	estimate        *Average
	inFlight        int // requests that this daemon sent and that have not ended
	sentSinceReport int // of these, sent after the report was received
	report          LoadReport
	avoidUntil      mtclock.Instant // after failures
	fullUntil       mtclock.Instant // after a refusal because of load
	failures        int             // in a row
}

// NewLeastLoaded returns a LeastLoaded without candidates. crossZoneCost is the
// additional cost of a server in another availability zone; 1 is the cost of a
// server with all slots in use.
func NewLeastLoaded(random *rand.Rand, zone mtid.Zone, crossZoneCost float64) *LeastLoaded {
	return &LeastLoaded{random: random, zone: zone, crossZoneCost: crossZoneCost, byName: make(map[mtid.Holder]*leastServer)}
}

// Update replaces the candidates. The state of those that remain is retained.
func (p *LeastLoaded) Update(candidates []Candidate) {
	before := p.byName
	p.byName = make(map[mtid.Holder]*leastServer, len(candidates))
	p.servers = p.servers[:0]
	for _, c := range sorted(candidates) {
		s, ok := before[c.Holder]
		if !ok {
			s = &leastServer{estimate: NewAverage()}
		}
		s.Candidate = c
		p.byName[c.Holder] = s
		p.servers = append(p.servers, s)
	}
}

// Pick returns the cheapest server that is not excluded, or false if there is
// none. Servers that failed recently are chosen only if no other is left, and
// full ones only after those. A call that was already tried elsewhere (exclude is
// not empty) is never sent to a full server. The first try may go to a full
// server in the local zone, at a higher cost: it takes a millisecond and no
// traffic between zones, and a quarter of these servers have spare capacity again.
func (p *LeastLoaded) Pick(now mtclock.Instant, exclude []mtid.Holder) (mtid.Holder, bool) {
	meanService := p.meanServiceTime()
	var best *leastServer
	bestRank, bestCost := rankFull, 0.0
	for _, s := range p.servers {
		if contains(exclude, s.Holder) {
			continue
		}
		rank, cost := s.rank(now), p.cost(now, s, meanService)
		if rank == rankFull && s.Zone == p.zone && len(exclude) == 0 {
			rank, cost = rankNormal, cost*fullCostFactor
		}
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = s, rank, cost
		}
	}
	if best == nil || bestRank == rankFull && len(exclude) > 0 {
		return mtid.Holder{}, false
	}
	return best.Holder, true
}

// The ranks of servers; a lower rank is chosen first.
const (
	rankNormal = iota
	rankFailed
	rankFull
)

func (s *leastServer) rank(now mtclock.Instant) int {
	switch {
	case now.Before(s.fullUntil):
		return rankFull
	case now.Before(s.avoidUntil):
		return rankFailed
	}
	return rankNormal
}

func contains(holders []mtid.Holder, h mtid.Holder) bool {
	for _, o := range holders {
		if o == h {
			return true
		}
	}
	return false
}

// meanServiceTime returns the mean over the servers that have reported a service
// time.
func (p *LeastLoaded) meanServiceTime() time.Duration {
	var sum time.Duration
	n := 0
	for _, s := range p.servers {
		if s.report.ServiceTime > 0 {
			sum += s.report.ServiceTime
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

// cost returns the cost of sending the next request to the server: the running
// and the waiting requests there relative to its slots, weighted by its slowness
// (its service time relative to the mean), plus the cost of crossing zones.
// Running requests are weighted by the square root of the slowness only. Most
// requests have time enough for a slow server, and with the full weight the slow
// servers (a third of all) were idle while every fast one had two requests
// waiting for each slot.
func (p *LeastLoaded) cost(now mtclock.Instant, s *leastServer, meanService time.Duration) float64 {
	slowness := 1.0
	if s.report.ServiceTime > 0 {
		slowness = float64(s.report.ServiceTime) / float64(meanService)
	}
	reportWeight := 1 / (1 + float64(now.Sub(s.report.ReceivedAt))/float64(reportHalfAge))
	load := max(float64(s.report.Requests)*reportWeight+float64(s.sentSinceReport), float64(s.inFlight))
	slots := s.capacity(now)
	excess := max(load+1-slots, 0)
	cost := math.Sqrt(slowness)*(1+min(load, slots)/slots) + slowness*excess/slots
	if s.Zone != p.zone {
		cost += p.crossZoneCost
	}
	cost /= max(s.estimate.Availability(), minAvailability)
	return cost * (1 + costJitter*p.random.Float64())
}

// capacityDuration is how long the capacity in a report is used. A server whose limit has
// ended meanwhile gets requests again, whose answers report that.
const capacityDuration = 2 * time.Second

// capacity returns how many requests the server can run at once.
func (s *leastServer) capacity(now mtclock.Instant) float64 {
	slots := float64(max(s.Slots, 1))
	if s.report.Capacity <= 0 || now.Sub(s.report.ReceivedAt) > capacityDuration {
		return slots
	}
	return min(slots, s.report.Capacity)
}

// Started records that a request is sent to the server.
func (p *LeastLoaded) Started(holder mtid.Holder) {
	if s, ok := p.byName[holder]; ok {
		s.inFlight++
		s.sentSinceReport++
	}
}

// Ended records how a request ended and, if report is newer than the last one,
// the server's load. The caller makes one call to Ended for each call to Started.
func (p *LeastLoaded) Ended(now mtclock.Instant, holder mtid.Holder, kind ResultKind, report LoadReport) {
	s, ok := p.byName[holder]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if report.ReceivedAt != 0 && report.ReceivedAt > s.report.ReceivedAt {
		s.report, s.sentSinceReport = report, 0
	}
	switch kind {
	case Success:
		s.estimate.Observe(true)
		s.failures, s.avoidUntil = 0, 0
		if float64(s.report.Requests) < s.capacity(now) {
			s.fullUntil = 0
		}
	case Failure:
		s.estimate.Observe(false)
		s.avoidUntil = now.Add(min(minBackoff<<min(s.failures, 8), maxBackoff))
		s.failures++
	case Overloaded:
		s.fullUntil = now.Add(fullDuration)
	case Inconclusive:
	}
}
