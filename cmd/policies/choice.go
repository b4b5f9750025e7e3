package main

import (
	"fmt"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaturn/core/mtchoice"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

func init() {
	commands = append(commands, &simulation{
		name: "choice", synopsis: "compare policies that select a server of a spread service",
		seedOf: "arrivals, failures and choices", length: time.Minute, compare: compareChoices,
	})
}

// compareChoices compares policies that select a server of a spread service, and
// estimators of a server's availability.
func compareChoices(w *tabwriter.Writer, seed uint64, length time.Duration) {
	printPatterns(w, seed)
	for _, l := range choiceLoads {
		printHeading(w, l.name, seed, length, "policy\timbalance\tfar %\tanswered %\tfailed %\tleft out needlessly %\tp50 ms\tp99 ms\t")
		for _, p := range choicePolicies {
			printChoice(w, p.name, runChoice(p.make, l, seed, length))
		}
	}
}

// choiceLoad is a load offered to the servers, with the faults they have.
type choiceLoad struct {
	name           string
	utilization    float64 // offered load as a fraction of all servers' capacity
	firstZoneShare float64 // fraction of the requests that come from the first zone
	fault          fault
}

// fault selects how servers fail during a trial.
type fault uint8

const (
	noFault    fault = iota
	slowServer       // the first server takes three times as long
	brokenPair       // two servers fail all requests from 10 to 25 s
	flaky            // all servers fail 0.5 % of their requests, the first one a third
	restarting       // each server is down for 3 s in every 24 s
)

var choiceLoads = []choiceLoad{
	{"mapsvc, even load", 0.7, 0.25, noFault},
	{"mapsvc, most callers in one availability zone", 0.7, 0.7, noFault},
	{"mapsvc, one server three times slower", 0.6, 0.25, slowServer},
	{"mapsvc, two of six broken from 10 to 25 s", 0.5, 0.25, brokenPair},
	{"mapsvc, single failures, one server failing a third", 0.5, 0.25, flaky},
	{"mapsvc, servers restarting for 3 s", 0.5, 0.25, restarting},
}

// The simulated service, modelled on the map service of the hotels. The delays
// are one-way, within an availability zone and across zones.
const (
	choiceServers        = 6
	choiceSlots          = 12
	choiceQueue          = 64
	choiceCallers        = 12
	choiceService        = 10 * time.Millisecond
	choiceSameZoneDelay  = 100 * time.Microsecond
	choiceCrossZoneDelay = 500 * time.Microsecond
)

var choiceZones = []mtid.Zone{"old-town", "centrs", "kipsala", "airport"}

// choicePolicies lists the policies compared.
var choicePolicies = []struct {
	name string
	make func(zone mtid.Zone, random *rand.Rand) mtchoice.Policy
}{
	{"round robin", func(mtid.Zone, *rand.Rand) mtchoice.Policy { return mtchoice.NewRoundRobin() }},
	{"random", func(_ mtid.Zone, r *rand.Rand) mtchoice.Policy { return mtchoice.NewRandom(r) }},
	{"power, no zones", func(_ mtid.Zone, r *rand.Rand) mtchoice.Policy {
		return mtchoice.NewPowerOfTwo(r, mtchoice.Options{UseQueueTimes: true}, mtchoice.NewStreak)
	}},
	{"power, no reports", func(z mtid.Zone, r *rand.Rand) mtchoice.Policy {
		return mtchoice.NewPowerOfTwo(r, mtchoice.Options{Zone: z}, mtchoice.NewStreak)
	}},
	{"power, streak", powerWith(mtchoice.NewStreak)},
	{"power, last success", powerWith(mtchoice.NewLastSuccess)},
	{"power, average", powerWith(mtchoice.NewAverage)},
	{"power, status", powerWith(mtchoice.NewStatusIdentification)},
}

func powerWith[E mtchoice.Estimator](newEstimator func() E) func(mtid.Zone, *rand.Rand) mtchoice.Policy {
	return func(z mtid.Zone, r *rand.Rand) mtchoice.Policy {
		return mtchoice.NewPowerOfTwo(r, mtchoice.Options{Zone: z, UseQueueTimes: true}, newEstimator)
	}
}

// choiceTrial simulates one policy in virtual time.
type choiceTrial struct {
	now            mtclock.Instant
	length         time.Duration
	events         eventHeap
	random         *rand.Rand
	load           choiceLoad
	callers        []*choiceCaller
	servers        []*choiceServer
	sent           int
	crossZone      int
	answered       int
	failed         int
	wronglyEjected int // samples in which a server that was up was ejected
	samples        int
	latency        *hdrhistogram.Histogram // of answered requests, in microseconds
}

// choiceCaller is a daemon that selects a server for each of its requests.
type choiceCaller struct {
	zone   mtid.Zone
	policy mtchoice.Policy
}

// choiceServer is a simulated server with slots and a queue.
type choiceServer struct {
	index     int
	candidate mtchoice.Candidate
	busy      int
	queue     []func()
	busyTime  time.Duration // sum over the slots of the time that they were occupied
	down      [][2]mtclock.Instant
}

// imbalance returns the largest server load divided by the mean. Servers of a
// broken pair are excluded, since only servers that were down equally long are
// comparable.
func (t *choiceTrial) imbalance() float64 {
	var largest, sum time.Duration
	n := 0
	for _, s := range t.servers {
		if len(s.down) > 0 && t.load.fault == brokenPair {
			continue
		}
		largest = max(largest, s.busyTime)
		sum += s.busyTime
		n++
	}
	return float64(largest) * float64(n) / float64(max(sum, 1))
}

// runChoice simulates callers that send requests for the given length of time.
func runChoice(policy func(mtid.Zone, *rand.Rand) mtchoice.Policy, l choiceLoad, seed uint64, length time.Duration) *choiceTrial {
	t := &choiceTrial{
		length:  length,
		random:  rand.New(rand.NewPCG(seed, 3)),
		load:    l,
		latency: hdrhistogram.New(1, maxMicros, 3),
	}
	var candidates []mtchoice.Candidate
	for i := range choiceServers {
		c := mtchoice.Candidate{
			Holder: mtid.Holder{Daemon: mtid.Daemon(fmt.Sprint("map", i)), Incarnation: 1},
			Zone:   choiceZones[i%len(choiceZones)],
			Slots:  choiceSlots,
		}
		candidates = append(candidates, c)
		t.servers = append(t.servers, &choiceServer{index: i, candidate: c, down: t.outages(i)})
	}
	for i := range choiceCallers {
		zone := choiceZones[i%len(choiceZones)]
		p := policy(zone, rand.New(rand.NewPCG(seed, uint64(100+i))))
		p.Update(candidates)
		t.callers = append(t.callers, &choiceCaller{zone: zone, policy: p})
	}
	t.events.schedule(0, t.arrive)
	t.events.schedule(0, t.sample)
	for t.events.Len() > 0 {
		e := t.events.next()
		t.now = e.at
		e.run()
	}
	return t
}

// outages returns the intervals during which a server is down.
func (t *choiceTrial) outages(server int) [][2]mtclock.Instant {
	second := mtclock.Instant(time.Second)
	switch {
	case t.load.fault == brokenPair && server < 2:
		return [][2]mtclock.Instant{{10 * second, 25 * second}}
	case t.load.fault == restarting:
		var out [][2]mtclock.Instant
		for at := mtclock.Instant(server+1) * 4 * second; at.Sub(0) < t.length; at += 24 * second {
			out = append(out, [2]mtclock.Instant{at, at + 3*second})
		}
		return out
	}
	return nil
}

// fails reports whether a request that arrives at the server now fails.
func (t *choiceTrial) fails(s *choiceServer) bool {
	if t.load.fault == flaky {
		chance := 0.005
		if s.index == 0 {
			chance = 0.33
		}
		return t.random.Float64() < chance
	}
	return s.isDown(t.now)
}

func (s *choiceServer) isDown(now mtclock.Instant) bool {
	for _, d := range s.down {
		if d[0] <= now && now < d[1] {
			return true
		}
	}
	return false
}

// arrive sends one request and schedules the next arrival.
func (t *choiceTrial) arrive() {
	if t.now.Sub(0) >= t.length {
		return
	}
	perSecond := t.load.utilization * choiceServers * choiceSlots / choiceService.Seconds()
	t.events.schedule(t.now.Add(time.Duration(t.random.ExpFloat64()/perSecond*float64(time.Second))), t.arrive)
	t.send(t.caller(), t.now)
}

// caller picks a random daemon to receive the next request.
func (t *choiceTrial) caller() *choiceCaller {
	zones := len(choiceZones)
	zone := 0
	if t.random.Float64() >= t.load.firstZoneShare {
		zone = 1 + t.random.IntN(zones-1)
	}
	return t.callers[zone+zones*t.random.IntN(choiceCallers/zones)]
}

func (t *choiceTrial) send(c *choiceCaller, start mtclock.Instant) {
	holder, ok := c.policy.Pick(t.now)
	if !ok {
		return
	}
	c.policy.Started(t.now, holder)
	server := t.servers[0]
	for _, s := range t.servers {
		if s.candidate.Holder == holder {
			server = s
		}
	}
	t.sent++
	delay := choiceSameZoneDelay
	if server.candidate.Zone != c.zone {
		t.crossZone++
		delay = choiceCrossZoneDelay
	}
	end := func(r mtchoice.Result) {
		t.events.schedule(t.now.Add(delay), func() { t.end(c, holder, start, r) })
	}
	t.events.schedule(t.now.Add(delay), func() { t.deliver(server, end) })
}

// deliver handles the arrival of a request at its server: it fails, is rejected,
// queues or runs.
func (t *choiceTrial) deliver(s *choiceServer, end func(mtchoice.Result)) {
	if t.fails(s) {
		end(mtchoice.Result{Kind: mtchoice.Failure})
		return
	}
	if s.busy >= choiceSlots && len(s.queue) >= choiceQueue {
		end(mtchoice.Result{Kind: mtchoice.Overloaded, RetryAfter: 50 * time.Millisecond})
		return
	}
	arrived := t.now
	run := func() { t.run(s, arrived, end) }
	if s.busy >= choiceSlots {
		s.queue = append(s.queue, run)
		return
	}
	run()
}

// run occupies a slot for the request's service time, then starts the next
// queued request.
func (t *choiceTrial) run(s *choiceServer, arrived mtclock.Instant, end func(mtchoice.Result)) {
	s.busy++
	waited := t.now.Sub(arrived)
	service := time.Duration(t.random.ExpFloat64() * float64(choiceService))
	if t.load.fault == slowServer && s.index == 0 {
		service *= 3
	}
	s.busyTime += service
	t.events.schedule(t.now.Add(service), func() {
		s.busy--
		end(mtchoice.Result{Kind: mtchoice.Success, QueueTime: waited})
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

func (t *choiceTrial) end(c *choiceCaller, holder mtid.Holder, start mtclock.Instant, r mtchoice.Result) {
	c.policy.Ended(t.now, holder, r)
	switch r.Kind {
	case mtchoice.Success:
		t.answered++
		_ = t.latency.RecordValue(max(t.now.Sub(start).Microseconds(), 1))
	case mtchoice.Failure:
		t.failed++
	}
}

// sampleEvery is the interval at which ejected servers are counted.
const sampleEvery = 100 * time.Millisecond

// sample counts, for each caller, ejected servers in excess of those that are
// down.
func (t *choiceTrial) sample() {
	if t.now.Sub(0) >= t.length {
		return
	}
	t.events.schedule(t.now.Add(sampleEvery), t.sample)
	down := 0
	for _, s := range t.servers {
		if s.isDown(t.now) {
			down++
		}
	}
	for _, c := range t.callers {
		t.samples += choiceServers
		if p, ok := c.policy.(interface{ Ejected() int }); ok {
			t.wronglyEjected += max(p.Ejected()-down, 0)
		}
	}
}

// printChoice prints the row of one policy.
func printChoice(w *tabwriter.Writer, name string, t *choiceTrial) {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t\n", name, t.imbalance(),
		percent(t.crossZone, t.sent), percent(t.answered, t.sent), percent(t.failed, t.sent), percent(t.wronglyEjected, t.samples),
		float64(t.latency.ValueAtQuantile(50))/1000, float64(t.latency.ValueAtQuantile(99))/1000)
}
