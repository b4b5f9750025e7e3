package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

func init() { reports = append(reports, &poison{}) }

// poison compares the rules by which requests that crash servers are found.
type poison struct {
	seed    uint64
	seconds int
}

// Name implements subcommands.Command.
func (*poison) Name() string { return "poison" }

// Synopsis implements subcommands.Command.
func (*poison) Synopsis() string { return "compare rules against requests that crash servers" }

// Usage implements subcommands.Command.
func (*poison) Usage() string { return "poison [-seed n] [-seconds n]\n" }

// SetFlags implements subcommands.Command.
func (c *poison) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of arrivals and service times")
	f.IntVar(&c.seconds, "seconds", 60, "length of each run in virtual seconds")
}

// Execute implements subcommands.Command.
func (c *poison) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	length := time.Duration(c.seconds) * time.Second
	for _, l := range poisonLoads {
		_, _ = fmt.Fprintf(w, "\n%s, seed %d, %v\n", l.name, c.seed, length)
		_, _ = fmt.Fprintln(w, "rule\tservers lost\tinnocent in quarantine\tinnocent answered %\tserver time kept for lone runs s\tunavailable s\t")
		for _, r := range poisonRules {
			t := r.run(l, c.seed, length)
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.1f\t\n", r.name, t.crashes, len(t.wronged),
				100*float64(t.answered)/float64(max(t.offered, 1)), t.lone.Seconds(), t.down.Seconds())
		}
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// poisonLoad is how a poison request comes, and what it takes down.
type poisonLoad struct {
	name  string
	vm    bool          // the daemon falls with its server
	delay time.Duration // until the other daemons have the evidence
	kinds int           // different poison requests
}

var poisonLoads = []poisonLoad{
	{"server lost, evidence told before the answer", false, 0, 1},
	{"VM lost, evidence told before the answer", true, 0, 1},
	{"VM lost, evidence 3 s late", true, 3 * time.Second, 1},
	{"server lost, three different poison requests", false, 0, 3},
}

// nobody is the rule of a fleet that doesn't look.
type nobody struct{}

// Quarantines implements mtpoison.Rule.
func (nobody) Quarantines(mtpoison.Coincidence) bool { return false }

// Alone implements mtpoison.Rule.
func (nobody) Alone() bool { return false }

// poisonRules are what is compared.
var poisonRules = []struct {
	name string
	run  func(l poisonLoad, seed uint64, length time.Duration) *poisonTrial
}{
	{"none", poisonRule(nobody{})},
	{"two crashes", poisonRule(mtpoison.Count{Crashes: 2})},
	{"three crashes", poisonRule(mtpoison.Count{Crashes: 3})},
	{"narrow", poisonRule(mtpoison.Narrow{})},
}

// The fleet of the trials, all of whose requests are for keys of one shard.
const (
	poisonDaemons  = 5
	poisonSlots    = 12
	poisonRate     = 400.0 // innocent requests a second
	poisonPrints   = 300   // different innocent requests
	poisonService  = 15 * time.Millisecond
	poisonFatal    = 5 * time.Millisecond // until a poison request has its effect
	poisonEvery    = 700 * time.Millisecond
	poisonRestart  = time.Second
	poisonTakeover = 2 * time.Second
	poisonTimeout  = time.Second
	poisonJitter   = 10 * time.Millisecond // of resends
)

// poisonRequest is a request of a trial.
type poisonRequest struct {
	print   mtpoison.Fingerprint
	ingress int
	fatal   bool
	alone   bool
	started mtclock.Instant
	life    int // of the owner's gate
}

// poisonTrial is a run of one rule in virtual time.
type poisonTrial struct {
	now      mtclock.Instant
	length   time.Duration
	random   *rand.Rand
	load     poisonLoad
	events   eventHeap
	number   uint64
	owner    int
	life     int // changes with each crash
	up       bool
	open     map[mtgate.Number]*poisonRequest
	offered  int
	answered int
	crashes  int
	lone     time.Duration
	down     time.Duration
	wronged  map[mtpoison.Fingerprint]bool
}

// poisonFleet is a trial under one rule.
type poisonFleet[R mtpoison.Rule] struct {
	*poisonTrial
	rule   R
	lives  []mtid.Incarnation
	tables []*mtpoison.Table[R]
	gate   *mtgate.Gate[*mtgate.Fair]
}

func poisonRule[R mtpoison.Rule](rule R) func(poisonLoad, uint64, time.Duration) *poisonTrial {
	return func(l poisonLoad, seed uint64, length time.Duration) *poisonTrial {
		f := &poisonFleet[R]{rule: rule, poisonTrial: &poisonTrial{
			length: length, random: rand.New(rand.NewPCG(seed, 7)), load: l, up: true,
			wronged: make(map[mtpoison.Fingerprint]bool),
		}}
		for i := range poisonDaemons {
			f.lives = append(f.lives, 1)
			f.tables = append(f.tables, mtpoison.New(rule, f.holder(i), mtpoison.Limits{}))
		}
		f.restart()
		f.every(func() time.Duration { return time.Duration(f.random.ExpFloat64() / poisonRate * float64(time.Second)) }, f.innocent)
		f.every(func() time.Duration { return poisonEvery }, f.poisonous)
		for f.events.Len() > 0 {
			e := f.events.next()
			f.now = e.at
			e.do()
			f.wake()
		}
		return f.poisonTrial
	}
}

func (f *poisonFleet[R]) holder(i int) mtid.Holder {
	return mtid.Holder{Daemon: mtid.Daemon(fmt.Sprint("d", i)), Incarnation: f.lives[i]}
}

// every does something again and again until the trial is over.
func (f *poisonFleet[R]) every(gap func() time.Duration, do func()) {
	var again func()
	again = func() {
		if f.now.Sub(0) >= f.length {
			return
		}
		do()
		f.events.at(f.now.Add(gap()), again)
	}
	f.events.at(f.now.Add(gap()), again)
}

// wake lets the gate expire what waits, in time.
func (f *poisonFleet[R]) wake() {
	due, ok := f.gate.Next()
	if !ok || (f.events.Len() > 0 && !due.Before(f.events.items[0].at)) {
		return
	}
	life := f.life
	f.events.at(max(due, f.now), func() {
		if life == f.life {
			f.act(f.gate.Expire(f.now))
		}
	})
}

// restart gives the owner a server with nothing in flight.
func (f *poisonFleet[R]) restart() {
	f.life++
	f.up = true
	f.gate = mtgate.New(mtgate.NewFair(mtgate.DefaultGuaranteed), mtgate.Limits{Slots: poisonSlots, Connections: poisonSlots})
	f.open = make(map[mtgate.Number]*poisonRequest)
}

func (f *poisonFleet[R]) innocent() {
	f.offered++
	f.send(&poisonRequest{print: mtpoison.Fingerprint(1000 + f.random.IntN(poisonPrints))})
}

func (f *poisonFleet[R]) poisonous() {
	f.send(&poisonRequest{print: mtpoison.Fingerprint(1 + f.random.IntN(f.load.kinds)), fatal: true})
}

// send takes a request through any daemon but the owner, which would fall with
// what it knows.
func (f *poisonFleet[R]) send(r *poisonRequest) {
	r.ingress = (f.owner + 1 + f.random.IntN(poisonDaemons-1)) % poisonDaemons
	if !f.up {
		return
	}
	hint := f.tables[r.ingress].Classify(f.now, r.print, false)
	verdict := hint
	if hint != mtpoison.Quarantined {
		verdict = f.tables[f.owner].Classify(f.now, r.print, hint == mtpoison.Suspect)
	}
	if verdict == mtpoison.Quarantined {
		if !r.fatal {
			f.wronged[r.print] = true
		}
		return
	}
	r.alone = verdict == mtpoison.Suspect
	r.life = f.life
	f.number++
	number := mtgate.Number(f.number)
	f.open[number] = r
	f.tables[r.ingress].Relayed(mtpoison.FlightID(number), f.holder(f.owner), r.print)
	f.act(f.gate.Offer(f.now, mtgate.Ticket{
		Number: number, Business: "ratins", Class: "status", Deadline: f.now.Add(poisonTimeout), Alone: r.alone,
	}))
}

// act carries out the gate's effects.
func (f *poisonFleet[R]) act(effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			f.start(e.Ticket.Number)
		case mtgate.Refuse:
			r := f.open[e.Ticket.Number]
			delete(f.open, e.Ticket.Number)
			f.tables[r.ingress].Returned(f.now, mtpoison.FlightID(e.Ticket.Number), false)
		}
	}
}

func (f *poisonFleet[R]) start(number mtgate.Number) {
	r := f.open[number]
	r.started = f.now
	f.tables[f.owner].Started(mtpoison.FlightID(number), r.print, r.alone)
	if r.alone {
		f.tables[r.ingress].StartedAlone(mtpoison.FlightID(number))
	}
	if r.fatal {
		f.events.at(f.now.Add(poisonFatal), func() { f.crash(r) })
		return
	}
	service := time.Duration(f.random.ExpFloat64() * float64(poisonService))
	f.events.at(f.now.Add(service), func() { f.end(number, r) })
}

func (f *poisonFleet[R]) end(number mtgate.Number, r *poisonRequest) {
	if r.life != f.life || !f.up {
		return
	}
	delete(f.open, number)
	f.answered++
	if r.alone {
		f.lone += f.now.Sub(r.started)
	}
	f.tables[f.owner].Ended(f.now, mtpoison.FlightID(number), mtpoison.Answered)
	f.tables[r.ingress].Returned(f.now, mtpoison.FlightID(number), true)
	f.act(f.gate.Done(f.now, number))
}

// crash takes the server down with all that is in flight there.
func (f *poisonFleet[R]) crash(by *poisonRequest) {
	if by.life != f.life || !f.up {
		return
	}
	f.crashes++
	f.up = false
	numbers := make([]mtgate.Number, 0, len(f.open))
	for number := range f.open {
		numbers = append(numbers, number)
	}
	slices.SortFunc(numbers, cmp.Compare)
	lost := f.holder(f.owner)
	for _, number := range numbers {
		r := f.open[number]
		f.resend(r)
		if f.load.vm {
			f.tables[r.ingress].RelayLost(f.now, mtpoison.FlightID(number))
			continue
		}
		f.tables[f.owner].Ended(f.now, mtpoison.FlightID(number), mtpoison.Broken)
		f.tables[r.ingress].Returned(f.now, mtpoison.FlightID(number), false)
	}
	outage := f.outage()
	if f.load.vm {
		f.lives[f.owner]++
		f.tables[f.owner] = mtpoison.New(f.rule, f.holder(f.owner), mtpoison.Limits{})
		f.owner = (f.owner + 1) % poisonDaemons
		// Each daemon learns of the loss just before the takeover.
		f.events.at(f.now.Add(outage-time.Millisecond), func() { f.holderLost(lost) })
	} else {
		f.tables[f.owner].ServerLost(f.now)
	}
	f.events.at(f.now.Add(f.load.delay), f.tell)
	f.down += outage
	f.events.at(f.now.Add(outage), f.restart)
}

// outage returns how long a crash takes the shard out of service.
func (f *poisonFleet[R]) outage() time.Duration {
	if f.load.vm {
		return poisonTakeover
	}
	return poisonRestart
}

// resend lets a caller whose request was lost send it again as soon as there is
// a server. All callers do, so that what was in flight together mostly is again.
func (f *poisonFleet[R]) resend(r *poisonRequest) {
	if f.now.Sub(0) >= f.length {
		return
	}
	wait := f.outage() + time.Duration(f.random.Float64()*float64(poisonJitter))
	f.events.at(f.now.Add(wait), func() {
		f.send(&poisonRequest{print: r.print, fatal: r.fatal})
	})
}

func (f *poisonFleet[R]) holderLost(holder mtid.Holder) {
	for _, table := range f.tables {
		table.HolderLost(f.now, holder)
	}
	if f.load.delay == 0 {
		f.tell()
	}
}

// tell makes every daemon know what each knows.
func (f *poisonFleet[R]) tell() {
	for i, from := range f.tables {
		for j, to := range f.tables {
			if i != j {
				to.Merge(f.now, from.Digest(f.now, 1000))
			}
		}
	}
}
