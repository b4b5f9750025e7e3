package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
)

func init() {
	commands = append(commands, &simulation{
		name: "admission", synopsis: "compare queueing disciplines of the gate under load",
		seedOf: "arrivals and service times", length: time.Minute, compare: compareOrders,
	})
}

// compareOrders compares queueing disciplines of the gate in front of one backend
// server.
func compareOrders(w *tabwriter.Writer, seed uint64, length time.Duration) {
	for _, l := range admissionLoads {
		printHeading(w, l.name, seed, length, "order\tgoodput\tclass\toffered/s\tin time %\trefused %\tlate %\tp99 ms\tdeadline ms\trefusal p99 ms\t")
		for _, o := range disciplines {
			printTrial(w, o.name, o.run(l, seed, length))
		}
	}
}

// The simulated backend server has the slots and connections of a dispatch
// server.
const (
	trialSlots       = 12
	trialConnections = 130
)

// trialClass is a request class and the load offered for it.
type trialClass struct {
	business mtid.Business
	class    mtbundle.Class
	service  time.Duration // mean of an exponential service time
	share    float64       // offered load as a fraction of the server's capacity
}

// admissionLoad is a named mix of classes offered to the server.
type admissionLoad struct {
	name    string
	classes []trialClass
}

var (
	status     = mtbundle.Class{Name: "status", Timeout: 500 * time.Millisecond, Priority: 1, Queue: 64, Share: 2}
	send       = mtbundle.Class{Name: "send", Timeout: 2 * time.Second, Priority: 3, Queue: 64, Share: 4}
	archive    = mtbundle.Class{Name: "archive", Timeout: 5 * time.Second, Priority: 0, Queue: 64, Share: 1}
	collateral = mtbundle.Class{Name: "collateral", Timeout: 500 * time.Millisecond, Priority: 1, Queue: 64, Share: 1}
	balance    = mtbundle.Class{Name: "balance", Timeout: time.Second, Priority: 2, Queue: 64, Share: 2}
	payment    = mtbundle.Class{Name: "payment", Timeout: 3 * time.Second, Priority: 3, Queue: 64, Share: 4}
)

var admissionLoads = []admissionLoad{
	{"dispatch at capacity", dispatchLoad(0.7, 0.3)},
	{"dispatch at 3 times capacity, orders in their share", dispatchLoad(2.5, 0.5)},
	{"dispatch at 3 times capacity, orders above their share", dispatchLoad(2.1, 0.9)},
	{"loans at capacity", loansLoad(0.2, 0.2, 0.3, 0.3)},
	{"loans at 3 times capacity, payments in their share", loansLoad(1, 0.7, 0.9, 0.4)},
	{"loans at 3 times capacity, payments above their share", loansLoad(0.8, 0.5, 0.9, 0.8)},
	{"two businesses, one at 2.6 times capacity", []trialClass{
		{"ratins", status, 8 * time.Millisecond, 2.0},
		{"ratins", send, 20 * time.Millisecond, 0.6},
		{"bundesamt", balance, 10 * time.Millisecond, 0.15},
		{"bundesamt", payment, 20 * time.Millisecond, 0.25},
	}},
}

func dispatchLoad(ofStatus, ofSend float64) []trialClass {
	return []trialClass{
		{"ratins", status, 8 * time.Millisecond, ofStatus},
		{"ratins", send, 20 * time.Millisecond, ofSend},
	}
}

func loansLoad(ofArchive, ofCollateral, ofBalance, ofPayment float64) []trialClass {
	return []trialClass{
		{"bundesamt", archive, 60 * time.Millisecond, ofArchive},
		{"bundesamt", collateral, 6 * time.Millisecond, ofCollateral},
		{"bundesamt", balance, 10 * time.Millisecond, ofBalance},
		{"bundesamt", payment, 20 * time.Millisecond, ofPayment},
	}
}

// disciplines lists the queueing disciplines compared.
var disciplines = []struct {
	name string
	run  func(l admissionLoad, seed uint64, length time.Duration) *trial
}{
	{"fifo", func(l admissionLoad, seed uint64, length time.Duration) *trial {
		return runTrial(mtgate.NewFIFO(), 1, l, seed, length)
	}},
	{"priority", fairDiscipline(0)},
	{"shares", fairDiscipline(1)},
	{"fair", fairDiscipline(mtgate.DefaultGuaranteed)},
}

func fairDiscipline(guaranteed float64) func(admissionLoad, uint64, time.Duration) *trial {
	return func(l admissionLoad, seed uint64, length time.Duration) *trial {
		return runTrial(mtgate.NewFair(guaranteed), mtgate.DefaultMaxWaitFraction, l, seed, length)
	}
}

// result counts the outcomes of the requests of one class.
type result struct {
	class    trialClass
	offered  int
	inTime   int
	refused  int
	late     int
	latency  *hdrhistogram.Histogram // of admitted requests, in microseconds
	refusals *hdrhistogram.Histogram // time until a request was refused, in microseconds
}

// trial simulates one gate and one server in virtual time.
type trial struct {
	now        mtclock.Instant
	length     time.Duration
	random     *rand.Rand
	events     eventHeap
	results    []*result
	requests   map[mtgate.Number]*trialRequest
	usefulTime time.Duration // service time of requests that finished before their deadline
}

// trialRequest is a simulated request.
type trialRequest struct {
	result  *result
	arrival mtclock.Instant
	service time.Duration
}

// goodput returns the fraction of the server's slot time that was spent on
// requests that finished before their deadline.
func (t *trial) goodput() float64 {
	return t.usefulTime.Seconds() / (t.length.Seconds() * trialSlots)
}

// event is a function to run at a point in virtual time.
type event struct {
	at       mtclock.Instant
	sequence int
	run      func()
}

// eventHeap is a priority queue of events, ordered by time and then by the
// order in which they were scheduled.
type eventHeap struct {
	items     []event
	scheduled int
}

// Len implements heap.Interface.
func (h *eventHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *eventHeap) Less(i, j int) bool {
	if h.items[i].at != h.items[j].at {
		return h.items[i].at < h.items[j].at
	}
	return h.items[i].sequence < h.items[j].sequence
}

// Swap implements heap.Interface.
func (h *eventHeap) Swap(i, j int) { h.items[i], h.items[j] = h.items[j], h.items[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { h.items = append(h.items, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// schedule adds an event.
func (h *eventHeap) schedule(t mtclock.Instant, run func()) {
	h.scheduled++
	heap.Push(h, event{at: t, sequence: h.scheduled, run: run})
}

// next removes and returns the earliest event.
func (h *eventHeap) next() event { return heap.Pop(h).(event) }

// maxMicros is the largest value that the histograms record, in microseconds.
const maxMicros = 60_000_000

// runTrial offers a load to a gate with the given queueing discipline.
func runTrial[O mtgate.Order](order O, maxWaitFraction float64, l admissionLoad, seed uint64, length time.Duration) *trial {
	gate := mtgate.New(order, mtgate.Limits{Slots: trialSlots, Connections: trialConnections, MaxWaitFraction: maxWaitFraction})
	t := &trial{length: length, random: rand.New(rand.NewPCG(seed, 0)), requests: make(map[mtgate.Number]*trialRequest)}
	for _, c := range l.classes {
		gate.Declare(c.business, c.class)
		r := &result{class: c, latency: hdrhistogram.New(1, maxMicros, 3), refusals: hdrhistogram.New(1, maxMicros, 3)}
		t.results = append(t.results, r)
		scheduleArrivals(t, gate, r)
	}
	for t.events.Len() > 0 {
		e := t.events.next()
		t.now = e.at
		e.run()
		if due, ok := gate.Next(); ok && (t.events.Len() == 0 || due.Before(t.events.items[0].at)) {
			t.events.schedule(max(due, t.now), func() { apply(t, gate, gate.Expire(t.now)) })
		}
	}
	return t
}

// scheduleArrivals offers the requests of one class as a Poisson process.
func scheduleArrivals[O mtgate.Order](t *trial, gate *mtgate.Gate[O], r *result) {
	perSecond := r.class.share * trialSlots / r.class.service.Seconds()
	gap := func() time.Duration { return time.Duration(t.random.ExpFloat64() / perSecond * float64(time.Second)) }
	var arrive func()
	arrive = func() {
		if t.now.Sub(0) >= t.length {
			return
		}
		r.offered++
		number := mtgate.Number(len(t.requests) + 1)
		service := time.Duration(t.random.ExpFloat64() * float64(r.class.service))
		t.requests[number] = &trialRequest{result: r, arrival: t.now, service: service}
		t.events.schedule(t.now.Add(gap()), arrive)
		apply(t, gate, gate.Offer(t.now, mtgate.Ticket{
			Number:   number,
			Business: r.class.business,
			Class:    r.class.class.Name,
			Deadline: t.now.Add(r.class.class.Timeout),
		}))
	}
	t.events.schedule(mtclock.Instant(gap()), arrive)
}

// apply carries out the effects that the gate returned. The server cancels
// requests at their deadline.
func apply[O mtgate.Order](t *trial, gate *mtgate.Gate[O], effects []mtgate.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case mtgate.Start:
			start(t, gate, e.Ticket)
		case mtgate.Refuse:
			r := t.requests[e.Ticket.Number]
			r.result.refused++
			_ = r.result.refusals.RecordValue(max(t.now.Sub(r.arrival).Microseconds(), 1))
		}
	}
}

// start runs a request on the server, up to its deadline.
func start[O mtgate.Order](t *trial, gate *mtgate.Gate[O], ticket mtgate.Ticket) {
	r := t.requests[ticket.Number]
	end := t.now.Add(r.service)
	late := end.After(ticket.Deadline)
	t.events.schedule(min(end, ticket.Deadline), func() {
		if late {
			r.result.late++
		} else {
			r.result.inTime++
			if t.now.Sub(0) <= t.length {
				t.usefulTime += r.service
			}
		}
		_ = r.result.latency.RecordValue(max(t.now.Sub(r.arrival).Microseconds(), 1))
		apply(t, gate, gate.Done(t.now, ticket.Number))
	})
}

// printTrial prints one row per class.
func printTrial(w *tabwriter.Writer, name string, t *trial) {
	goodput := fmt.Sprintf("%.3f", t.goodput())
	for _, r := range t.results {
		percent := func(n int) float64 { return 100 * float64(n) / float64(max(r.offered, 1)) }
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t%.1f\t\n",
			name, goodput, r.class.class.Name, float64(r.offered)/t.length.Seconds(),
			percent(r.inTime), percent(r.refused), percent(r.late),
			float64(r.latency.ValueAtQuantile(99))/1000, r.class.class.Timeout.Milliseconds(),
			float64(r.refusals.ValueAtQuantile(99))/1000)
		name, goodput = "", ""
	}
}
