package mtrange

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Parameters of the decision to offload work.
const (
	// minLoadGap is by how much the load of an owner, relative to its slots, has
	// to exceed the load it could come down to before it offloads work. For a
	// smaller gap the pause of a move costs more than the shorter queue saves,
	// and measured loads vary by a sixth.
	minLoadGap = 0.25
	// busyLoad is the load below which an owner keeps its keys, whatever the load
	// of the others: hardly any request waits there.
	busyLoad = 0.85
	// maxReceiverLoad is the load up to which servers receive work. Where all are
	// overloaded, as after a power loss while every key is cold, moved keys are
	// not served any sooner, and their callers wait for the release.
	maxReceiverLoad = 1.2
	// minOffload is the least work, in slots, that justifies the pause of a move
	// and one more range in the assignment.
	minOffload = 1.0
	// maxReceivers is the maximum number of servers that an owner offloads to at
	// once, so that one wrong measurement does not scatter its keys over all of
	// them.
	maxReceivers = 8
	// MoveCooldown is the minimum time between the end of one owner's moves and its
	// next ones. The effect of the previous moves has to show in the load first.
	MoveCooldown = 700 * time.Millisecond
)

// LoadReport is what an owner knows about the load of a server of its service.
type LoadReport struct {
	Owner       Owner
	Slots       int
	Capacity    float64       // slots that its rate limit lets the server use; zero for all
	Demand      float64       // offered work, in slots
	ServiceTime time.Duration // service time of a standard request; 0 if not known
	Keys        int           // number of keys that it owns
	Known       bool          // whether a recent report of the load is available
	Limited     bool          // whether its last report, however old, named a rate limit or a capacity
}

func (r LoadReport) slots() float64 {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return float64(max(r.Slots, 1))
}

// minOffload returns the least work that the owner offloads to one server.
func (r LoadReport) minOffload() float64 {
	if r.Capacity > 0 {
		return min(minOffload, r.Capacity*minLoadGap)
	}
	return minOffload
}

// load returns the offered work relative to the slots.
func (r LoadReport) load() float64 { return r.Demand / r.slots() }

// empty reports whether the server owns no keys. No report of its load is needed
// then.
func (r LoadReport) empty() bool { return r.Keys == 0 }

// Overloaded reports whether the server may have to offload work, so that it is
// worth querying the load of others.
func (r LoadReport) Overloaded() bool { return r.load() >= busyLoad }

// Offload is an amount of work that an owner offloads to another server.
type Offload struct {
	To     Owner
	Amount float64 // in slots of the current owner
}

// PlanOffload decides which servers of the same service an owner offloads work to, and
// how much. It handles a key, or a run of adjacent keys, that attracts much of the
// traffic within a second: its owner gets the work of several servers while the
// others have spare capacity. So the owner offloads to several servers at once, as
// much as is needed to bring all of them to the same load. When it moved half of
// the work to one other server every 1.5 s, a run that was hot for five seconds was
// never spread.
//
// The largest offload comes first.
func PlanOffload(self LoadReport, others []LoadReport) []Offload {
	var receivers []LoadReport
	for _, o := range others {
		if o.empty() || (o.Known && self.load() >= busyLoad && o.load() < self.load()) {
			receivers = append(receivers, o)
		}
	}
	level := min(balancedLoad(self, receivers), maxReceiverLoad)
	var offloads []Offload
	for _, o := range receivers {
		if !o.empty() && self.load()-level < minLoadGap {
			continue
		}
		if amount := o.offloadAmount(self, level, len(others)); amount >= self.minOffload() {
			offloads = append(offloads, Offload{To: o.Owner, Amount: amount})
		}
	}
	slices.SortFunc(offloads, func(a, b Offload) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), a.To.Compare(b.To))
	})
	return offloads[:min(len(offloads), maxReceivers)]
}

// balancedLoad returns the load that the owner and all receivers have once the
// owner has offloaded everything above it.
func balancedLoad(self LoadReport, receivers []LoadReport) float64 {
	low, high := 0.0, self.load()
	for range bisections {
		mid := (low + high) / 2
		spare := 0.0
		for _, o := range receivers {
			spare += o.spareCapacity(self, mid)
		}
		if spare > (self.load()-mid)*self.slots() {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// bisections is the number of steps in the search for the balanced load, which
// determine it to a thousandth.
const bisections = 10

// spareCapacity returns how much of the owner's work brings the server up to a load.
func (r LoadReport) spareCapacity(owner LoadReport, level float64) float64 {
	return max(level-r.load(), 0) * r.slots() / costRatio(r.ServiceTime, owner.ServiceTime)
}

// offloadAmount returns how much of the owner's work is offloaded to the server.
func (r LoadReport) offloadAmount(owner LoadReport, level float64, others int) float64 {
	spare := r.spareCapacity(owner, level)
	if !r.empty() {
		return spare
	}
	// All owners offload to an empty server at the same time. Where there are
	// many, an equal part of each one's work would not be worth a move. Instead a
	// pseudo-random choice of them offloads the minimum amount.
	part := min(spare, owner.Demand/float64(others+1))
	if part < minOffload && part > minOffload*pairDraw(owner.Owner, r.Owner) {
		return minOffload
	}
	return part
}

// pairDraw returns a pseudo-random number from 0 to 1, always the same for a pair
// of owners.
func pairDraw(a, b Owner) float64 {
	sum := xxhash.Sum64String(a.Incarnation.String() + "\x00" + b.Incarnation.String())
	return float64(sum) / math.MaxUint64
}

// costRatio returns how much longer a request takes there than here, within bounds
// that keep a wrong estimate from dominating the decision.
func costRatio(there, here time.Duration) float64 {
	if there <= 0 || here <= 0 {
		return 1
	}
	return min(max(float64(there)/float64(here), 0.3), 3)
}

// KeyMove is a run of adjacent keys that moves to another server.
type KeyMove struct {
	Low, High mtid.KeyNumber
	To        Owner
}

// SelectMoves finds a run of keys for each offload, as SelectKeys does. The runs do not
// overlap. Offloads without a suitable run are left out.
func SelectMoves(now mtclock.Instant, ranges []Range, meter *Meter, offloads []Offload) []KeyMove {
	var runs []KeyMove
	for _, o := range offloads {
		low, high, ok := SelectKeys(now, ranges, meter, o.Amount)
		if !ok {
			continue
		}
		runs = append(runs, KeyMove{Low: low, High: high, To: o.To})
		i := slices.IndexFunc(ranges, func(r Range) bool { return r.Covers(low) })
		before, after := ranges[i].remainder(low, high)
		ranges = slices.Concat(ranges[:i], before, after, ranges[i+1:])
	}
	return runs
}

// maxOvershoot is the factor by which the work of a run may exceed the amount to
// offload. A single key cannot be divided, and moving a hot key as a whole only
// moves the overload.
const maxOvershoot = 1.3

// SelectKeys finds the run of keys with the most work, up to about amount, at either
// end of one of the ranges. The run may be an entire range, unless there is only one.
func SelectKeys(now mtclock.Instant, ranges []Range, meter *Meter, amount float64) (low, high mtid.KeyNumber, ok bool) {
	bestWork := 0.0
	for _, r := range ranges {
		for _, fromLow := range []bool{true, false} {
			n, work := keysUpTo(now, r, meter, amount, fromLow)
			if len(ranges) == 1 && n == r.Keys() {
				continue
			}
			if n == 0 || work <= bestWork {
				continue
			}
			bestWork, ok = work, true
			if fromLow {
				low, high = r.Low, r.Low+mtid.KeyNumber(n-1)
			} else {
				low, high = r.High-mtid.KeyNumber(n-1), r.High
			}
		}
	}
	return low, high, ok
}

// keysUpTo returns how many keys, counted from one end of a range, make up the
// amount of work without exceeding it by more than maxOvershoot, and their work.
func keysUpTo(now mtclock.Instant, r Range, meter *Meter, amount float64, fromLow bool) (n int, work float64) {
	for n < r.Keys() {
		key := r.Low + mtid.KeyNumber(n)
		if !fromLow {
			key = r.High - mtid.KeyNumber(n)
		}
		next := work + meter.KeyDemand(now, key)
		if next > amount*maxOvershoot {
			return n, work
		}
		work = next
		n++
		if work >= amount {
			return n, work
		}
	}
	return n, work
}
