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

// Figures of the decision to give keys away.
const (
	// minGap is how much more loaded, as a share of its slots, an owner has to be
	// than the level to which it could come, before it gives keys away. Below that
	// the pause of a move costs more than the shorter queue saves, and a measured
	// load scatters by a sixth.
	minGap = 0.25
	// busy is the load below which an owner keeps what it has: hardly anybody
	// waits there, whatever others have.
	busy = 0.85
	// full is the load up to which others are given work. Where all have more than
	// they can do, as after a loss of power while every key is cold, one that is
	// moved is served no sooner, and its callers wait for the release.
	full = 1.2
	// leastGift is the least work, in slots, that is worth the pause of a move and
	// one more range in the assignment.
	leastGift = 1.0
	// mostGifts is to how many servers an owner gives at once, so that one wrong
	// measurement does not scatter its keys over all of them.
	mostGifts = 8
	// MovePause is the least time between the end of one owner's moves and its
	// next ones. The load of the former moves has to show before it is judged
	// again.
	MovePause = 700 * time.Millisecond
)

// Standing is what an owner knows of a server of the same service.
type Standing struct {
	Owner   Owner
	Slots   int
	Demand  float64       // offered work, in slots
	Service time.Duration // that the same request takes there; 0 if not known
	Keys    int           // that it owns
	Known   bool          // a report of it is at hand
}

func (s Standing) slots() float64 { return float64(max(s.Slots, 1)) }

// load returns the offered work as a share of the slots.
func (s Standing) load() float64 { return s.Demand / s.slots() }

// newcomer reports whether the server has no keys yet. Nothing is known of its load
// then, and nothing needs to be.
func (s Standing) newcomer() bool { return s.Keys == 0 }

// Overloaded reports whether the server may have work to give away, so that it is
// worth asking others how they are.
func (s Standing) Overloaded() bool { return s.load() >= busy }

// Gift is work that an owner gives to another server.
type Gift struct {
	To     Owner
	Amount float64 // in slots of the giver
}

// Relief decides whether an owner gives work to other servers of its service, to
// which, and how much. It answers the pattern of a key, or a run of neighbouring
// keys, that gets much of the traffic within a second: the one owner has several
// servers' work while the others have room. So it gives to several at once, as
// much as brings all of them to one level. Half of the work given to one other
// server every 1.5 s, a run that was busy for five seconds was never spread.
//
// The largest gift comes first.
func Relief(self Standing, others []Standing) []Gift {
	var takers []Standing
	for _, o := range others {
		if o.newcomer() || (o.Known && self.load() >= busy && o.load() < self.load()) {
			takers = append(takers, o)
		}
	}
	level := min(level(self, takers), full)
	var gifts []Gift
	for _, o := range takers {
		if !o.newcomer() && self.load()-level < minGap {
			continue
		}
		if amount := o.room(self, level, len(others)); amount >= leastGift {
			gifts = append(gifts, Gift{To: o.Owner, Amount: amount})
		}
	}
	slices.SortFunc(gifts, func(a, b Gift) int {
		return cmp.Or(cmp.Compare(b.Amount, a.Amount), a.To.Compare(b.To))
	})
	return gifts[:min(len(gifts), mostGifts)]
}

// level returns the load at which the owner and all takers stand once the owner
// has given what is above it.
func level(self Standing, takers []Standing) float64 {
	low, high := 0.0, self.load()
	for range halvings {
		middle := (low + high) / 2
		room := 0.0
		for _, o := range takers {
			room += o.below(self, middle)
		}
		if room > (self.load()-middle)*self.slots() {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// halvings is how often the search for the level halves its span, which it then
// knows to a thousandth.
const halvings = 10

// below returns how much of the owner's work brings the server up to a level.
func (s Standing) below(owner Standing, level float64) float64 {
	return max(level-s.load(), 0) * s.slots() / ratio(s.Service, owner.Service)
}

// room returns how much of the owner's work the server is given.
func (s Standing) room(owner Standing, level float64, others int) float64 {
	room := s.below(owner, level)
	if !s.newcomer() {
		return room
	}
	// All owners give to a newcomer at the same time. Where there are many, a part
	// of each one's work would not be worth a move: some give a whole gift instead,
	// drawn by lot.
	part := min(room, owner.Demand/float64(others+1))
	if part < leastGift && part > leastGift*lot(owner.Owner, s.Owner) {
		return leastGift
	}
	return part
}

// lot returns a number from 0 to 1 that is always the same for two owners.
func lot(a, b Owner) float64 {
	sum := xxhash.Sum64String(a.Life.String() + "\x00" + b.Life.String())
	return float64(sum) / math.MaxUint64
}

// ratio returns how much longer work takes there than here, within bounds that
// keep a wrong estimate from deciding alone.
func ratio(there, here time.Duration) float64 {
	if there <= 0 || here <= 0 {
		return 1
	}
	return min(max(float64(there)/float64(here), 0.3), 3)
}

// Run is a run of keys that goes to another server.
type Run struct {
	Low, High mtid.KeyNumber
	To        Owner
}

// CutAll finds a run of keys for each gift, as Cut does, none of which overlap.
// Gifts for which there is none are left out.
func CutAll(now mtclock.Instant, ranges []Range, meter *Meter, gifts []Gift) []Run {
	var runs []Run
	for _, g := range gifts {
		low, high, ok := Cut(now, ranges, meter, g.Amount)
		if !ok {
			continue
		}
		runs = append(runs, Run{Low: low, High: high, To: g.To})
		i := slices.IndexFunc(ranges, func(r Range) bool { return r.Covers(low) })
		before, after := ranges[i].around(low, high)
		ranges = slices.Concat(ranges[:i], before, after, ranges[i+1:])
	}
	return runs
}

// tooMuch is by how much the work of a run may exceed what is to be given away.
// A single key can't be divided: moving a hot key as a whole only moves the
// overload.
const tooMuch = 1.3

// Cut finds the run of keys whose work comes closest to amount, from either end
// of one of the ranges. A whole range may be cut off, but never the last one.
func Cut(now mtclock.Instant, ranges []Range, meter *Meter, amount float64) (low, high mtid.KeyNumber, ok bool) {
	bestWork := 0.0
	for _, r := range ranges {
		for _, fromLow := range []bool{true, false} {
			n, work := run(now, r, meter, amount, fromLow)
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

// run returns how many keys from one end of a range make up at most amount, and
// a little more, and their work.
func run(now mtclock.Instant, r Range, meter *Meter, amount float64, fromLow bool) (n int, work float64) {
	for n < r.Keys() {
		key := r.Low + mtid.KeyNumber(n)
		if !fromLow {
			key = r.High - mtid.KeyNumber(n)
		}
		more := work + meter.Of(now, key)
		if more > amount*tooMuch {
			return n, work
		}
		work = more
		n++
		if work >= amount {
			return n, work
		}
	}
	return n, work
}
