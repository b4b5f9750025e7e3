package mtgate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// demandMemory is the time constant of the measured demand. Slots are kept free for about
	// as long after the last urgent request.
	demandMemory = time.Second
	// maxBlocked is the acceptable probability that a more urgent request finds no slot
	// in time. With a smaller one more requests wait, senders take the server for full, and
	// send the urgent requests to slower ones.
	maxBlocked = 0.25
	// guaranteedDivisor divides the slots to give the number that less urgent requests can
	// always get, so that they don't starve.
	guaranteedDivisor = 8
	// nestedDivisor divides the slots to give how many of them nested requests can get before
	// more urgent requests start. Otherwise those of less urgent parents could take all.
	nestedDivisor = 2
	// maxLevels bounds the work per request, whatever priorities senders use.
	maxLevels = 16
	// minDemand is the demand, in slots, below which a level needs no slot and its
	// measurement may be dropped.
	minDemand = 0.01
)

// reservation measures how much work arrives at each priority and how long it can wait,
// and derives how many slots less urgent requests may use. Without it a request that can
// wait for seconds takes the slot that a more urgent one needs a moment later.
type reservation struct {
	levels  []*level
	running []*Entry
}

// levelKey identifies the requests of one class with one priority. Nested requests of a class have
// the priorities of the requests that they are part of.
type levelKey struct {
	priority int
	flow     FlowKey
}

// level is the measured demand of the requests with one key.
type level struct {
	key      levelKey
	work     time.Duration // expected service times of the arrivals, decaying
	patience time.Duration // moving average of the time that arrivals can wait
	at       mtclock.Instant
}

// demand returns how many slots the level's requests use on average.
func (l *level) demand(now mtclock.Instant) float64 {
	age := max(now.Sub(l.at), 0)
	return l.work.Seconds() / demandMemory.Seconds() * math.Exp(-age.Seconds()/demandMemory.Seconds())
}

// record records the arrival of e. A request that can't meet its objective even if it
// starts at once needs no reserved slot. A class beyond maxLevels is not measured, so that
// no slots are reserved for it.
func (r *reservation) record(now mtclock.Instant, e *Entry) {
	patience := latestStart(e).Sub(now)
	if patience <= 0 {
		return
	}
	l := r.level(now, levelKey{priority: e.Ticket.Priority, flow: e.Flow.Key}, patience)
	if l == nil {
		return
	}
	l.work = time.Duration(l.demand(now)*float64(demandMemory)) + e.service()
	l.patience += (patience - l.patience) / averagingDivisor
	l.at = now
}

// level returns the level with a key, which it creates with a patience if necessary. It
// returns nil if there are too many.
func (r *reservation) level(now mtclock.Instant, key levelKey, patience time.Duration) *level {
	for _, l := range r.levels {
		if l.key == key {
			return l
		}
	}
	r.levels = slices.DeleteFunc(r.levels, func(l *level) bool { return l.demand(now) < minDemand })
	if len(r.levels) >= maxLevels {
		return nil
	}
	l := &level{key: key, patience: patience}
	r.levels = append(r.levels, l)
	return l
}

// limit returns how many slots requests that are no more urgent than e may use.
func (r *reservation) limit(now mtclock.Instant, e *Entry, slots int) int {
	reserved := 0
	for _, l := range r.levels {
		if l.key.priority < e.Ticket.Priority && l.demand(now) >= minDemand {
			reserved = max(reserved, l.slots(r.demand(now, l.key.priority), e.service(), slots))
		}
	}
	return max(slots-reserved, guaranteed(slots))
}

// demand returns how many slots the requests of a priority and the more urgent ones use on
// average.
func (r *reservation) demand(now mtclock.Instant, priority int) float64 {
	sum := 0.0
	for _, l := range r.levels {
		if l.key.priority <= priority {
			sum += l.demand(now)
		}
	}
	return sum
}

// slots returns how many of all slots the less urgent requests have to leave to the level
// and the more urgent ones, which together have this demand. service is the service time
// of the less urgent requests.
//
// The demand is taken for the mean of a Poisson distribution of slots in use. A request
// that finds its slots in use is blocked only if none of the other slots becomes free while
// it can wait.
func (l *level) slots(demand float64, service time.Duration, all int) int {
	if service <= 0 {
		return 0
	}
	noneFreed := math.Exp(-float64(all) * l.patience.Seconds() / service.Seconds())
	inUse := math.Exp(-demand) // probability of exactly n slots in use
	tail := 1.0                // probability of n or more
	n := 0
	for n < all && tail*noneFreed > maxBlocked {
		tail -= inUse
		n++
		inUse *= demand / float64(n)
	}
	return n
}

// guaranteed returns how many slots less urgent requests can always get.
func guaranteed(slots int) int { return max(slots/guaranteedDivisor, 1) }

// admits reports whether e may take a slot. Nested requests always may.
func (r *reservation) admits(now mtclock.Instant, e *Entry, slots int) bool {
	if e.Ticket.Nested {
		return true
	}
	sameOrLess := r.count(func(f *Entry) bool { return !f.Ticket.Nested && f.Ticket.Priority >= e.Ticket.Priority })
	return sameOrLess < r.limit(now, e, slots)
}

// count returns the number of running requests that the filter accepts.
func (r *reservation) count(accept func(*Entry) bool) int {
	n := 0
	for _, e := range r.running {
		if accept(e) {
			n++
		}
	}
	return n
}

// NewReserving returns an Urgent that keeps slots free for more urgent requests to come.
// It compares requests by the Priority of their tickets, before it looks at which of them
// can meet their objective. With equal priorities it decides like NewUrgent.
//
// Two limits prevent starvation: less urgent requests always get an eighth of the slots,
// and nested requests start before more urgent ones only while they have less than half.
func NewReserving() *Urgent { return &Urgent{reservation: &reservation{}} }

// before reports whether e starts before f.
func (o *Urgent) before(now mtclock.Instant, e, f *Entry) bool {
	if o.reservation == nil || e.Ticket.Priority == f.Ticket.Priority || e.Ticket.Nested != f.Ticket.Nested {
		return startsBefore(now, e, f)
	}
	return f.lessUrgent(e)
}

// first returns the waiting entry that starts first among those that the filter accepts, or
// nil.
func (o *Urgent) first(now mtclock.Instant, accept func(*Entry) bool) *Entry {
	var best *Entry
	for _, e := range o.waiting {
		if (best == nil || o.before(now, e, best)) && accept(e) {
			best = e
		}
	}
	return best
}

// nextReserving returns the entry to start now, or nil.
func (o *Urgent) nextReserving(now mtclock.Instant, slots int) *Entry {
	nested := o.first(now, func(e *Entry) bool { return e.Ticket.Nested })
	direct := o.first(now, func(e *Entry) bool { return !e.Ticket.Nested && o.Admits(now, e, slots) })
	switch {
	case direct == nil:
		return nested
	case nested == nil:
		return o.guarantee(now, direct, slots)
	case o.yields(now, nested, direct, slots):
		return direct
	}
	return nested
}

// yields reports whether a nested request waits for a more urgent one.
func (o *Urgent) yields(now mtclock.Instant, nested, direct *Entry, slots int) bool {
	if nested.Ticket.Priority <= direct.Ticket.Priority || missesObjective(now, direct) {
		return false
	}
	running := o.reservation.count(func(e *Entry) bool { return e.Ticket.Nested && e.lessUrgent(direct) })
	return running >= max(slots/nestedDivisor, 1)
}

// guarantee returns the entry to start instead of e: a less urgent one that is in time, if
// such requests use less than their guaranteed slots.
func (o *Urgent) guarantee(now mtclock.Instant, e *Entry, slots int) *Entry {
	running := o.reservation.count(func(f *Entry) bool { return !f.Ticket.Nested && f.lessUrgent(e) })
	if running >= guaranteed(slots) {
		return e
	}
	less := o.first(now, func(f *Entry) bool {
		return !f.Ticket.Nested && f.lessUrgent(e) && !missesObjective(now, f) && o.Admits(now, f, slots)
	})
	return cmp.Or(less, e)
}

// startsAtOnce reports whether e, which arrives now, takes a slot that is kept free from
// less urgent requests.
func (o *Urgent) startsAtOnce(now mtclock.Instant, e *Entry, slots int) bool {
	return o.reservation != nil && len(o.reservation.running) < slots && o.Ahead(now, e) == 0 &&
		slices.ContainsFunc(o.waiting, func(w *Entry) bool { return w.lessUrgent(e) }) && o.Admits(now, e, slots)
}

// lessUrgent reports whether e has a lower priority than f.
func (e *Entry) lessUrgent(f *Entry) bool { return e.Ticket.Priority > f.Ticket.Priority }
