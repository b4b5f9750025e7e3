package mtchoice

import (
	"math"
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
	// firstSpare and mostSpare are how long a server is passed over after one
	// failure and after several in a row.
	firstSpare = 200 * time.Millisecond
	mostSpare  = 3 * time.Second
	// fullFor is how long a server that refused for its load is taken for full. It
	// ends some ten requests in that time, and refuses more than half of the calls
	// that come meanwhile; four in ten of all calls were refused by near servers
	// that had just refused others, beside far ones with a third of their slots
	// free.
	fullFor = 150 * time.Millisecond
	// fullCost is how much more a full near server costs than another near one.
	fullCost = 1.5
)

// Least chooses the server with the most room: by what is busy and queued there,
// by its own report and by what was sent there since, and by how slow it is. It
// answers the pattern of servers whose speeds differ by a factor of two: an equal
// share of the requests overloads the slow ones while the fast ones are idle, and
// the least time until the answer overloads the fast ones.
//
// Servers that fail are passed over for a while, unless all do, and those that
// refuse for their load for a moment.
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
	full     mtclock.Instant
	failures int // in a row
}

// NewLeast returns a Least without candidates. far is what a server in another
// availability zone costs more; one costs as much as all slots in use.
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

// Pick returns a server that is not in without, or false if there is none. Servers
// that have failed, and then those that were full a moment ago, are chosen only if
// there are no others; a call that some server has refused already is not sent to
// one that was full. The first try may go to a near one all the same: asking there
// costs a millisecond and no bytes between zones, and a quarter of them have room
// again.
func (p *Least) Pick(now mtclock.Instant, without []mtid.Holder) (mtid.Holder, bool) {
	usual := p.usual()
	var best *least
	bestRank, bestCost := rankFull, 0.0
	for _, s := range p.servers {
		if contains(without, s.Holder) {
			continue
		}
		rank, cost := s.rank(now), p.cost(now, s, usual)
		if rank == rankFull && s.Zone == p.zone && len(without) == 0 {
			rank, cost = rankGood, cost*fullCost
		}
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = s, rank, cost
		}
	}
	if best == nil || bestRank == rankFull && len(without) > 0 {
		return mtid.Holder{}, false
	}
	return best.Holder, true
}

// The ranks of servers, the first to be chosen first.
const (
	rankGood = iota
	rankSpared
	rankFull
)

func (s *least) rank(now mtclock.Instant) int {
	switch {
	case now.Before(s.full):
		return rankFull
	case now.Before(s.spared):
		return rankSpared
	}
	return rankGood
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

// cost returns what it costs to send the next request to the server: what runs and
// what waits there as parts of its slots, by how slow it is, plus the distance.
// For what runs, how slow it is counts by its root only: requests mostly have time
// for a slow server, and by its full measure the slow ones, which were a third of
// all, stood idle while every fast one had two requests waiting for each slot.
func (p *Least) cost(now mtclock.Instant, s *least, usual time.Duration) float64 {
	pace := 1.0
	if s.report.Service > 0 {
		pace = float64(s.report.Service) / float64(usual)
	}
	fade := 1 / (1 + float64(now.Sub(s.report.At))/float64(reportMemory))
	busy := max(float64(s.report.Busy)*fade+float64(s.since), float64(s.mine))
	slots := float64(max(s.Slots, 1))
	over := max(busy+1-slots, 0)
	cost := math.Sqrt(pace)*(1+min(busy, slots)/slots) + pace*over/slots
	if s.Zone != p.zone {
		cost += p.far
	}
	cost /= max(s.estimate.Availability(), minAvailability)
	return cost * (1 + jitter*p.random.Float64())
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
		if s.report.Busy < s.Slots {
			s.full = 0
		}
	case Bad:
		s.estimate.Note(false)
		s.spared = now.Add(min(firstSpare<<min(s.failures, 8), mostSpare))
		s.failures++
	case Busy:
		s.full = now.Add(fullFor)
	case Other:
	}
}
