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

// Flow holds the limits, queue and counters of one class of one business.
type Flow struct {
	Key      FlowKey
	Share    float64 // weight among the flows, greater than zero
	Priority int     // requests of the lowest priority are shed first
	Queue    int     // maximum number of waiting requests
	Counts   FlowCounts

	limiter *rate.Limiter // nil means no limit
	queue   []*Entry
	// startInterval is a moving average of the time between two starts while
	// requests of the flow were waiting: the estimated wait per queue position.
	startInterval time.Duration
	lastStart     mtclock.Instant
	// service is a moving average of the service time, and expectedService the
	// value used until the first request has ended.
	service         time.Duration
	expectedService time.Duration
	// slowdown is the current service time as a multiple of the average; zero
	// means one.
	slowdown float64
	finish   float64 // finish tag of the last start, for start-time fair queuing
	tenant   *tenant // the flow's business; set by Fair
}

// Entry is a waiting or running request of the gate.
type Entry struct {
	Ticket      Ticket
	Flow        *Flow
	Arrival     mtclock.Instant
	Started     mtclock.Instant
	GiveUp      mtclock.Instant // the request is refused if it still waits then
	heldBy      *stoppedRange
	startedLate bool // started after it could no longer meet its objective; set by Urgent
}

// service returns the expected service time of the request.
func (e *Entry) service() time.Duration {
	f := e.Flow
	service := f.service
	if service == 0 {
		service = f.expectedService
	}
	if f.slowdown == 0 {
		return service
	}
	return time.Duration(float64(service) * f.slowdown)
}

// FlowCounts are the counters of a flow, for load reports and metrics. They
// never decrease.
type FlowCounts struct {
	Offered uint64
	Started uint64
	Ended   uint64
	Refused map[mtreply.Cause]uint64
	Waited  time.Duration // total wait of the requests that started
	Ran     time.Duration // total service time of the requests that ended
}

// Counts are the counters of a gate. Busy never decreases; its increase divided
// by elapsed time and slots is the utilization.
type Counts struct {
	Running int
	Waiting int
	Busy    time.Duration
	Flows   map[FlowKey]FlowCounts
}

// rateBurst is the burst that a class's rate limit allows, as time at that rate.
const rateBurst = 250 * time.Millisecond

// averagingDivisor is the inverse of a new sample's weight in the moving averages.
const averagingDivisor = 8

// newFlow returns a flow with the defaults for a class that no bundle has declared.
func newFlow(key FlowKey) *Flow {
	return &Flow{
		Key:    key,
		Share:  DefaultShare,
		Queue:  DefaultQueue,
		Counts: FlowCounts{Refused: make(map[mtreply.Cause]uint64)},
	}
}

// declare sets the limits of the flow. Zero fields take their defaults.
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

// limit sets the rate limit of the flow in requests per second. Setting the same
// rate again keeps the remaining tokens.
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

// takeToken takes a token and returns zero. If there is none, it returns the time
// until the next one.
func (f *Flow) takeToken(now mtclock.Instant) time.Duration {
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

// Waiting returns how many requests wait in the flow's queue.
func (f *Flow) Waiting() int { return len(f.queue) }

// started updates the counters and averages for the start of e.
func (f *Flow) started(now mtclock.Instant, e *Entry) {
	f.Counts.Started++
	f.Counts.Waited += now.Sub(e.Arrival)
	// The average covers only the time in which a request of the flow was
	// waiting, which starts at the later of the last start and the arrival of
	// the request that starts now.
	since := max(f.lastStart, e.Arrival)
	if now.After(since) || len(f.queue) > 0 {
		f.startInterval += (now.Sub(since) - f.startInterval) / averagingDivisor
	}
	f.lastStart = now
}

// ended updates the counters and averages for a request with this service time.
func (f *Flow) ended(ran time.Duration) {
	f.Counts.Ended++
	f.Counts.Ran += ran
	if f.service == 0 {
		f.service = ran
		return
	}
	f.service += (ran - f.service) / averagingDivisor
}

// refused counts a refusal.
func (f *Flow) refused(cause mtreply.Cause) { f.Counts.Refused[cause]++ }

// Counts returns a copy of the gate's counters.
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

// Reserved describes the slots that the order keeps free.
type Reserved struct {
	Free    int    // slots kept free from waiting requests now
	Refused uint64 // requests refused so far while slots were kept free; it never decreases
}

// Reserved returns what the order keeps free.
func (g *Gate[O]) Reserved() Reserved {
	r := Reserved{Refused: g.refusedWhileReserving}
	if g.order.Len() > 0 && g.canStart(g.now) {
		r.Free = g.capacity() - len(g.running)
	}
	return r
}

// Busy returns the numbers of running and waiting requests. Unlike Counts it is
// cheap enough to call for each request.
func (g *Gate[O]) Busy() (running, waiting int) { return len(g.running), len(g.waiting) }

// byArrival returns all waiting entries in order of arrival. Map iteration order
// is random, and the same events have to give the same effects in the same order.
func (g *Gate[O]) byArrival() []*Entry {
	entries := make([]*Entry, 0, len(g.waiting))
	for _, e := range g.waiting {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Arrival, b.Arrival), cmp.Compare(a.Ticket.Number, b.Ticket.Number))
	})
	return entries
}

// without removes e from entries and keeps the order of the others.
func without(entries []*Entry, e *Entry) []*Entry {
	i := slices.Index(entries, e)
	if i < 0 {
		return entries
	}
	return slices.Delete(entries, i, i+1)
}
