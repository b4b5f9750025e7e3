package mtgate

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// FlowKey names a flow: the requests of one class of one business.
type FlowKey struct {
	Business mtid.Business
	Class    mtid.Class
}

// Flow is the state of one class of one business at the gate.
type Flow struct {
	Key      FlowKey
	Share    float64 // weight among the flows, above zero
	Priority int     // the lowest gives way first
	Queue    int     // requests that may wait
	Counts   FlowCounts

	limiter *rate.Limiter // nil is no limit
	queue   []*Entry
	// interval is a moving average of the time between two starts while
	// requests of the flow waited: what one place in the queue costs.
	interval  time.Duration
	lastStart mtclock.Instant
	// service is a moving average of how long its requests run, and usual what
	// stands in for it until one has ended.
	service time.Duration
	usual   time.Duration
	// slow is how much longer requests take at the moment than they do on average, as a
	// multiple; zero stands for one.
	slow   float64
	finish float64 // start-time fair queuing: finish tag of the last start
	tenant *tenant // its business, under Fair
}

// Entry is one request at the gate.
type Entry struct {
	Ticket  Ticket
	Flow    *Flow
	Arrival mtclock.Instant
	Started mtclock.Instant
	GiveUp  mtclock.Instant // refused then if it still waits
	held    *stop
	late    bool // started although it could not meet its objective, under Urgent
}

// service returns how long the entry is expected to run.
func (e *Entry) service() time.Duration {
	f := e.Flow
	service := f.service
	if service == 0 {
		service = f.usual
	}
	if f.slow == 0 {
		return service
	}
	return time.Duration(float64(service) * f.slow)
}

// FlowCounts are the counters of a flow, for load reports and metrics. They
// only grow.
type FlowCounts struct {
	Offered uint64
	Started uint64
	Ended   uint64
	Refused map[mtreply.Cause]uint64
	Waited  time.Duration // by those that started
	Ran     time.Duration // by those that ended
}

// Counts are the counters of a gate. Busy only grows; divided by time and
// slots it is the load.
type Counts struct {
	Running int
	Waiting int
	Busy    time.Duration
	Flows   map[FlowKey]FlowCounts
}

// rateBurst is how much of its rate a class may use at once.
const rateBurst = 250 * time.Millisecond

// averaging is the weight of a new value in the moving averages: one over it.
const averaging = 8

// newFlow returns the flow of a class that no bundle has declared yet.
func newFlow(key FlowKey) *Flow {
	return &Flow{
		Key:    key,
		Share:  DefaultShare,
		Queue:  DefaultQueue,
		Counts: FlowCounts{Refused: make(map[mtreply.Cause]uint64)},
	}
}

// declare sets the limits of the flow. An empty field takes its default.
func (f *Flow) declare(class mtbundle.Class) {
	f.Priority = class.Priority
	f.Share = DefaultShare
	if class.Share > 0 {
		f.Share = class.Share
	}
	f.Queue = DefaultQueue
	if class.Queue > 0 {
		f.Queue = class.Queue
	}
	f.limit(class.Rate)
}

// limit sets the flow's rate, in requests a second. The same rate again keeps
// the tokens that are left.
func (f *Flow) limit(perSecond float64) {
	if perSecond <= 0 {
		f.limiter = nil
		return
	}
	if f.limiter != nil && f.limiter.Limit() == rate.Limit(perSecond) {
		return
	}
	burst := max(1, int(perSecond*rateBurst.Seconds()))
	f.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
}

// limited takes a token and returns zero, or takes none and returns how long
// until there is one.
func (f *Flow) limited(now mtclock.Instant) time.Duration {
	if f.limiter == nil {
		return 0
	}
	at := time.Unix(0, int64(now))
	reservation := f.limiter.ReserveN(at, 1)
	wait := reservation.DelayFrom(at)
	if wait > 0 {
		reservation.CancelAt(at)
	}
	return wait
}

// Waiting returns how many of its requests wait in order.
func (f *Flow) Waiting() int { return len(f.queue) }

// started notes that e has started.
func (f *Flow) started(now mtclock.Instant, e *Entry) {
	f.Counts.Started++
	f.Counts.Waited += now.Sub(e.Arrival)
	// Only the time in which the flow had something waiting tells what a place
	// in its queue costs: counted from the last start or from the arrival of
	// what starts now, whichever came later.
	since := max(f.lastStart, e.Arrival)
	if now.After(since) || len(f.queue) > 0 {
		f.interval += (now.Sub(since) - f.interval) / averaging
	}
	f.lastStart = now
}

// ended notes that one of its requests ran for that long.
func (f *Flow) ended(ran time.Duration) {
	f.Counts.Ended++
	f.Counts.Ran += ran
	if f.service == 0 {
		f.service = ran
		return
	}
	f.service += (ran - f.service) / averaging
}

// refused notes a refusal.
func (f *Flow) refused(cause mtreply.Cause) { f.Counts.Refused[cause]++ }

// Counts returns the counters of the gate.
func (g *Gate[O]) Counts() Counts {
	c := g.counts
	c.Running = len(g.running)
	c.Waiting = len(g.waiting)
	c.Flows = make(map[FlowKey]FlowCounts, len(g.flows))
	for key, f := range g.flows {
		counts := f.Counts
		counts.Refused = make(map[mtreply.Cause]uint64, len(f.Counts.Refused))
		for cause, n := range f.Counts.Refused {
			counts.Refused[cause] = n
		}
		c.Flows[key] = counts
	}
	return c
}

// Busy returns how many requests are in flight and how many wait. It is for each
// request, where Counts is for metrics.
func (g *Gate[O]) Busy() (running, waiting int) { return len(g.running), len(g.waiting) }

// inOrder returns all that waits, by arrival. Maps have no order, and effects
// must come in the same one from the same events.
func (g *Gate[O]) inOrder() []*Entry {
	entries := make([]*Entry, 0, len(g.waiting))
	for _, e := range g.waiting {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.Ticket.Number, b.Ticket.Number))
	})
	return entries
}

// without returns entries less e, in the same order.
func without(entries []*Entry, e *Entry) []*Entry {
	i := slices.Index(entries, e)
	if i < 0 {
		return entries
	}
	return slices.Delete(entries, i, i+1)
}
