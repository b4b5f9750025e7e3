package mtrange

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Figures of the decision to give keys away.
const (
	// minGap is how much more loaded, as a share of its slots, an owner has to
	// be than another one before it gives keys to it. Below that the pause of a
	// move costs more than the shorter queue saves.
	minGap = 0.2
	// busy is the load below which an owner keeps what it has: with less than
	// half of the slots taken nobody waits, whatever others have.
	busy = 0.5
	// strangerPart is what a server that has no keys yet gets of an owner's
	// work, at most: it has just started and is slow.
	strangerPart = 0.5
	// MovePause is the least time between two moves of one owner. The load of
	// the former move has to show before it is judged again.
	MovePause = 1500 * time.Millisecond
)

// Standing is what an owner knows of a server of the same service.
type Standing struct {
	Owner   Owner
	Slots   int
	Demand  float64       // offered work, in slots
	Service time.Duration // mean time that a request takes there; 0 if not known
	Keys    int           // that it owns
	Known   bool          // a report of it is at hand
}

// load returns the offered work as a share of the slots.
func (s Standing) load() float64 { return s.Demand / float64(max(s.Slots, 1)) }

// Relief decides whether an owner gives work to another server of its service,
// to which, and how much of it in slots. It answers the pattern of a key, or a
// run of neighbouring keys, that gets much of the traffic within a second: the
// one owner is overloaded while the others have room.
func Relief(self Standing, others []Standing) (to Owner, amount float64, ok bool) {
	best := -1
	for i, o := range others {
		if !o.Known && o.Keys > 0 {
			continue
		}
		if best < 0 || o.load() < others[best].load() {
			best = i
		}
	}
	if best < 0 {
		return Owner{}, 0, false
	}
	other := others[best]
	stranger := other.Keys == 0
	gap := self.load() - other.load()
	if !stranger && (gap < minGap || self.load() < busy) {
		return Owner{}, 0, false
	}
	if gap <= 0 {
		return Owner{}, 0, false
	}
	slower := ratio(other.Service, self.Service)
	amount = gap / (1 + slower) * float64(max(self.Slots, 1))
	if stranger {
		// All owners give to a newcomer at the same time.
		amount = min(amount, self.Demand*strangerPart/float64(len(others)+1)*2)
	}
	return other.Owner, amount, amount > 0
}

// ratio returns how much longer work takes there than here, within bounds that
// keep a wrong estimate from deciding alone.
func ratio(there, here time.Duration) float64 {
	if there <= 0 || here <= 0 {
		return 1
	}
	return min(max(float64(there)/float64(here), 0.3), 3)
}

// tooMuch is by how much the work of a run may exceed what is to be given away.
// A single key can't be divided: moving a hot key as a whole only moves the
// overload.
const tooMuch = 1.3

// Cut finds the run of keys whose work comes closest to amount, from either end
// of one of the ranges. A whole range may be cut off, but never the last one.
func Cut(now mtclock.Instant, ranges []Range, meter *Meter, amount float64) (low, high mtid.Number, ok bool) {
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
				low, high = r.Low, r.Low+mtid.Number(n-1)
			} else {
				low, high = r.High-mtid.Number(n-1), r.High
			}
		}
	}
	return low, high, ok
}

// run returns how many keys from one end of a range make up at most amount, and
// a little more, and their work.
func run(now mtclock.Instant, r Range, meter *Meter, amount float64, fromLow bool) (n int, work float64) {
	for n < r.Keys() {
		key := r.Low + mtid.Number(n)
		if !fromLow {
			key = r.High - mtid.Number(n)
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
