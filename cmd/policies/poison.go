package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

func init() {
	commands = append(commands, &simulation{
		name: "poison", synopsis: "compare rules that quarantine requests that crash servers",
		seedOf: "arrivals and service times", length: time.Minute, compare: compareRules,
	})
}

// compareRules compares rules that detect and quarantine requests that crash servers.
func compareRules(w *tabwriter.Writer, seed uint64, length time.Duration) {
	for _, l := range poisonLoads {
		printHeading(w, l.name, seed, length, "rule\tservers lost\tinnocent in quarantine\tinnocent answered %\tserver time kept for lone runs s\tunavailable s\t")
		for _, r := range poisonRules {
			t := r.run(l, seed, length)
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.1f\t\n", r.name, t.crashes, len(t.wronglyQuarantined),
				100*float64(t.answered)/float64(max(t.offered, 1)), t.aloneTime.Seconds(), t.unavailable.Seconds())
		}
	}
}

// poisonLoad describes the poison requests and the effect of a crash.
type poisonLoad struct {
	name          string
	losesVM       bool          // a crash takes down the daemon along with its server
	evidenceDelay time.Duration // until the other daemons receive the evidence of a crash
	kinds         int           // number of different poison requests
}

var poisonLoads = []poisonLoad{
	{"server lost, evidence told before the answer", false, 0, 1},
	{"VM lost, evidence told before the answer", true, 0, 1},
	{"VM lost, evidence 3 s late", true, 3 * time.Second, 1},
	{"server lost, three different poison requests", false, 0, 3},
}

// noQuarantine is the baseline rule, which never quarantines a request.
type noQuarantine struct{}

// Quarantines implements mtpoison.Rule.
func (noQuarantine) Quarantines(mtpoison.Coincidence) bool { return false }

// Alone implements mtpoison.Rule.
func (noQuarantine) Alone() bool { return false }

// poisonRules lists the rules compared.
var poisonRules = []struct {
	name string
	run  func(l poisonLoad, seed uint64, length time.Duration) *poisonTrial
}{
	{"none", poisonRule(noQuarantine{})},
	{"two crashes", poisonRule(mtpoison.Count{Crashes: 2})},
	{"three crashes", poisonRule(mtpoison.Count{Crashes: 3})},
	{"narrow", poisonRule(mtpoison.Narrow{})},
}

// The simulated fleet. All requests are for keys of one shard.
const (
	poisonDaemons      = 5
	poisonSlots        = 12
	poisonRate         = 400.0 // harmless requests per second
	poisonFingerprints = 300   // number of different harmless requests
	poisonService      = 15 * time.Millisecond
	poisonCrashDelay   = 5 * time.Millisecond // from the start of a poison request to the crash
	poisonEvery        = 700 * time.Millisecond
	poisonRestart      = time.Second
	poisonTakeover     = 2 * time.Second
	poisonTimeout      = time.Second
	poisonJitter       = 10 * time.Millisecond // maximum random delay of a resend
)

// poisonRequest is a simulated request.
type poisonRequest struct {
	fingerprint      mtpoison.Fingerprint
	ingress          int
	fatal            bool
	alone            bool
	started          mtclock.Instant
	serverGeneration int // of the server that the request was sent to
}

// poisonTrial is the state and the results of a simulation in virtual time.
type poisonTrial struct {
	now                mtclock.Instant
	length             time.Duration
	random             *rand.Rand
	load               poisonLoad
	events             eventHeap
	number             uint64
	owner              int
	serverGeneration   int // incremented when the server restarts
	up                 bool
	inFlight           map[mtgate.Number]*poisonRequest
	offered            int
	answered           int
	crashes            int
	aloneTime          time.Duration
	unavailable        time.Duration
	wronglyQuarantined map[mtpoison.Fingerprint]bool
}

// poisonFleet simulates a fleet of daemons that share one rule.
type poisonFleet[R mtpoison.Rule] struct {
	*poisonTrial
	rule         R
	incarnations []mtid.Incarnation
	tables       []*mtpoison.Table[R]
	gate         *mtgate.Gate[*mtgate.Fair]
}

func poisonRule[R mtpoison.Rule](rule R) func(poisonLoad, uint64, time.Duration) *poisonTrial {
	return func(l poisonLoad, seed uint64, length time.Duration) *poisonTrial {
		f := &poisonFleet[R]{rule: rule, poisonTrial: &poisonTrial{
			length: length, random: rand.New(rand.NewPCG(seed, 7)), load: l, up: true,
			wronglyQuarantined: make(map[mtpoison.Fingerprint]bool),
		}}
		for i := range poisonDaemons {
			f.incarnations = append(f.incarnations, 1)
			f.tables = append(f.tables, mtpoison.New(rule, f.holder(i), mtpoison.Limits{}))
		}
		f.restart()
		f.every(func() time.Duration { return time.Duration(f.random.ExpFloat64() / poisonRate * float64(time.Second)) }, f.sendHarmless)
		f.every(func() time.Duration { return poisonEvery }, f.sendPoison)
		for f.events.Len() > 0 {
			e := f.events.next()
			f.now = e.at
			e.run()
			f.scheduleExpiry()
		}
		return f.poisonTrial
	}
}

func (f *poisonFleet[R]) holder(i int) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(fmt.Sprint("d", i)), Incarnation: f.incarnations[i]}
}

// every calls do repeatedly until the trial ends, waiting for gap before each
// call.
func (f *poisonFleet[R]) every(gap func() time.Duration, do func()) {
	var again func()
	again = func() {
		if f.now.Sub(0) >= f.length {
			return
		}
		do()
		f.events.schedule(f.now.Add(gap()), again)
	}
	f.events.schedule(f.now.Add(gap()), again)
}

// scheduleExpiry schedules the gate's next expiry of queued requests if it is
// due before the next event.
func (f *poisonFleet[R]) scheduleExpiry() {
	due, ok := f.gate.Next()
	if !ok || (f.events.Len() > 0 && !due.Before(f.events.items[0].at)) {
		return
	}
	generation := f.serverGeneration
	f.events.schedule(max(due, f.now), func() {
		if generation == f.serverGeneration {
			f.apply(f.gate.Expire(f.now))
		}
	})
}

// restart brings the owner's server up again with no requests in flight.
func (f *poisonFleet[R]) restart() {
	f.serverGeneration++
	f.up = true
	f.gate = mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.Limits{Slots: poisonSlots, Connections: poisonSlots})
	f.inFlight = make(map[mtgate.Number]*poisonRequest)
}

func (f *poisonFleet[R]) sendHarmless() {
	f.offered++
	f.send(&poisonRequest{fingerprint: mtpoison.Fingerprint(1000 + f.random.IntN(poisonFingerprints))})
}

func (f *poisonFleet[R]) sendPoison() {
	f.send(&poisonRequest{fingerprint: mtpoison.Fingerprint(1 + f.random.IntN(f.load.kinds)), fatal: true})
}

// send routes a request through a random daemon other than the owner: the owner
// would lose its evidence when its VM is lost.
func (f *poisonFleet[R]) send(r *poisonRequest) {
	r.ingress = (f.owner + 1 + f.random.IntN(poisonDaemons-1)) % poisonDaemons
	if !f.up {
		return
	}
	hint := f.tables[r.ingress].Classify(f.now, r.fingerprint, false)
	verdict := hint
	if hint != mtpoison.Quarantined {
		verdict = f.tables[f.owner].Classify(f.now, r.fingerprint, hint == mtpoison.Suspect)
	}
	if verdict == mtpoison.Quarantined {
		if !r.fatal {
			f.wronglyQuarantined[r.fingerprint] = true
		}
		return
	}
	r.alone = verdict == mtpoison.Suspect
	r.serverGeneration = f.serverGeneration
	f.number++
	number := mtgate.Number(f.number)
	f.inFlight[number] = r
	f.tables[r.ingress].Relayed(f.now, mtpoison.FlightID(number), f.holder(f.owner), r.fingerprint)
	f.apply(f.gate.Offer(f.now, mtgate.Ticket{
		Number: number, Business: "ratins", Class: "status", Deadline: f.now.Add(poisonTimeout), Alone: r.alone,
	}))
}

// apply carries out the effects that the gate returned.
func (f *poisonFleet[R]) apply(effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			f.start(e.Ticket.Number)
		case mtgate.Refuse:
			r := f.inFlight[e.Ticket.Number]
			delete(f.inFlight, e.Ticket.Number)
			f.tables[r.ingress].Returned(mtpoison.FlightID(e.Ticket.Number), false)
		}
	}
}

func (f *poisonFleet[R]) start(number mtgate.Number) {
	r := f.inFlight[number]
	r.started = f.now
	f.tables[f.owner].Started(f.now, mtpoison.FlightID(number), r.fingerprint, r.alone)
	if r.alone {
		f.tables[r.ingress].StartedAlone(mtpoison.FlightID(number))
	}
	if r.fatal {
		f.events.schedule(f.now.Add(poisonCrashDelay), func() { f.crash(r) })
		return
	}
	service := time.Duration(f.random.ExpFloat64() * float64(poisonService))
	f.events.schedule(f.now.Add(service), func() { f.end(number, r) })
}

func (f *poisonFleet[R]) end(number mtgate.Number, r *poisonRequest) {
	if r.serverGeneration != f.serverGeneration || !f.up {
		return
	}
	delete(f.inFlight, number)
	f.answered++
	if r.alone {
		f.aloneTime += f.now.Sub(r.started)
	}
	f.tables[f.owner].Ended(f.now, mtpoison.FlightID(number), mtpoison.Answered)
	f.tables[r.ingress].Returned(mtpoison.FlightID(number), true)
	f.apply(f.gate.Done(f.now, number))
}

// crash takes the server down along with all requests in flight on it.
func (f *poisonFleet[R]) crash(by *poisonRequest) {
	if by.serverGeneration != f.serverGeneration || !f.up {
		return
	}
	f.crashes++
	f.up = false
	numbers := make([]mtgate.Number, 0, len(f.inFlight))
	for number := range f.inFlight {
		numbers = append(numbers, number)
	}
	slices.SortFunc(numbers, cmp.Compare)
	lost := f.holder(f.owner)
	for _, number := range numbers {
		r := f.inFlight[number]
		f.resend(r)
		if f.load.losesVM {
			f.tables[r.ingress].RelayLost(f.now, mtpoison.FlightID(number))
			continue
		}
		f.tables[f.owner].Ended(f.now, mtpoison.FlightID(number), mtpoison.Broken)
		f.tables[r.ingress].Returned(mtpoison.FlightID(number), false)
	}
	outage := f.outage()
	if f.load.losesVM {
		f.incarnations[f.owner]++
		f.tables[f.owner] = mtpoison.New(f.rule, f.holder(f.owner), mtpoison.Limits{})
		f.owner = (f.owner + 1) % poisonDaemons
		// Every daemon is notified of the loss just before the takeover.
		f.events.schedule(f.now.Add(outage-time.Millisecond), func() { f.holderLost(lost) })
	} else {
		f.tables[f.owner].ServerLost(f.now)
	}
	f.events.schedule(f.now.Add(f.load.evidenceDelay), f.shareEvidence)
	f.unavailable += outage
	f.events.schedule(f.now.Add(outage), f.restart)
}

// outage returns how long the shard is unavailable after a crash.
func (f *poisonFleet[R]) outage() time.Duration {
	if f.load.losesVM {
		return poisonTakeover
	}
	return poisonRestart
}

// resend schedules a lost request to be sent again as soon as a server is
// available. All callers resend, so requests that were in flight together are
// mostly in flight together again.
func (f *poisonFleet[R]) resend(r *poisonRequest) {
	if f.now.Sub(0) >= f.length {
		return
	}
	wait := f.outage() + time.Duration(f.random.Float64()*float64(poisonJitter))
	f.events.schedule(f.now.Add(wait), func() {
		f.send(&poisonRequest{fingerprint: r.fingerprint, fatal: r.fatal})
	})
}

func (f *poisonFleet[R]) holderLost(holder mtid.Holder) {
	for _, table := range f.tables {
		table.HolderLost(f.now, holder)
	}
	if f.load.evidenceDelay == 0 {
		f.shareEvidence()
	}
}

// shareEvidence merges the evidence of each daemon into all others.
func (f *poisonFleet[R]) shareEvidence() {
	for i, from := range f.tables {
		for j, to := range f.tables {
			if i != j {
				to.Merge(f.now, from.Digest(f.now, 1000))
			}
		}
	}
}
