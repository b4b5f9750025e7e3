package mtrange_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// fleetLoad plays a fleet of owners under keyed load whose hot run changes every
// few seconds, in steps of 20 ms: who gives keys to whom, by what each has
// measured and by reports that are old.
type fleetLoad struct {
	random  *rand.Rand
	now     mtclock.Instant
	table   *mtrange.Table
	owners  []mtrange.Owner
	speed   map[mtrange.Owner]float64
	meters  map[mtrange.Owner]*mtrange.Meter
	last    map[mtrange.Owner]mtclock.Instant
	busy    map[mtrange.Owner]mtclock.Instant // its moves end
	pending []pendingMove
	weights []float64 // of keys, cumulated
	rate    float64   // requests a second
	hot     struct {
		from, keys int
		share      float64
	}
	moves int
}

type pendingMove struct {
	at  mtclock.Instant
	run mtrange.Run
	by  mtrange.Range
}

const (
	simSlots = 9
	simStep  = 20 * time.Millisecond
	simWork  = 280 * time.Millisecond // mean over the classes, at speed one
)

func newFleetLoad(seed uint64, servers int, utilization float64) *fleetLoad {
	f := &fleetLoad{
		random: rand.New(rand.NewPCG(seed, seed)), owners: owners(servers),
		speed: map[mtrange.Owner]float64{}, meters: map[mtrange.Owner]*mtrange.Meter{},
		last: map[mtrange.Owner]mtclock.Instant{}, busy: map[mtrange.Owner]mtclock.Instant{},
	}
	f.now = mtclock.Instant(time.Minute)
	f.table, _ = mtrange.Spread("maps", f.owners)
	for i, o := range f.owners {
		f.speed[o] = []float64{0.6, 1, 1.4}[i%3]
		f.meters[o] = mtrange.NewMeter(f.now)
		f.meters[o].Gain(f.now, 0, mtid.LastKeyNumber)
	}
	f.rate = utilization * float64(servers*simSlots) / simWork.Seconds()
	sum := 0.0
	for i := range int(mtid.LastKeyNumber) + 1 {
		// Busy keys lie side by side, and their rates follow a power law.
		sum += math.Pow(float64(i%8192)+1, -0.57)
		f.weights = append(f.weights, sum)
	}
	return f
}

func (f *fleetLoad) key() mtid.KeyNumber {
	if f.random.Float64() < f.hot.share {
		return mtid.KeyNumber(f.hot.from + f.random.IntN(f.hot.keys))
	}
	x := f.random.Float64() * f.weights[len(f.weights)-1]
	low, high := 0, len(f.weights)-1
	for low < high {
		if m := (low + high) / 2; f.weights[m] < x {
			low = m + 1
		} else {
			high = m
		}
	}
	return mtid.KeyNumber(low)
}

func (f *fleetLoad) standing(o mtrange.Owner) mtrange.Standing {
	return mtrange.Standing{
		Owner: o, Slots: simSlots, Demand: f.meters[o].Demand(f.now),
		Service: time.Duration(float64(simWork) / f.speed[o]), Keys: f.table.Keys(o), Known: true,
	}
}

// step lets requests arrive and owners decide.
func (f *fleetLoad) step() {
	f.now = f.now.Add(simStep)
	n := f.rate * simStep.Seconds()
	for range int(n) + map[bool]int{true: 1}[f.random.Float64() < n-math.Floor(n)] {
		key := f.key()
		r, _ := f.table.Lookup(key)
		work := f.random.ExpFloat64()*0.3 + 0.7
		f.meters[r.Owner].Arrive(f.now, key, time.Duration(work*float64(simWork)/f.speed[r.Owner]))
	}
	f.land()
	for _, o := range f.owners {
		if f.now.Sub(f.last[o]) >= mtrange.MovePause && !f.now.Before(f.busy[o]) {
			f.decide(o)
		}
	}
}

// decide is one owner's look at its load.
func (f *fleetLoad) decide(o mtrange.Owner) {
	f.last[o] = f.now
	var others []mtrange.Standing
	for _, i := range f.random.Perm(len(f.owners))[:min(12, len(f.owners))] {
		if f.owners[i] != o {
			others = append(others, f.standing(f.owners[i]))
		}
	}
	gifts := mtrange.Relief(f.standing(o), others)
	for _, run := range mtrange.CutAll(f.now, f.table.Owned(o), f.meters[o], gifts) {
		r, _ := f.table.Lookup(run.Low)
		took := time.Duration(f.random.ExpFloat64() * float64(300*time.Millisecond))
		f.pending = append(f.pending, pendingMove{at: f.now.Add(took), run: run, by: r})
		f.busy[o] = max(f.busy[o], f.now.Add(took+mtrange.MovePause))
		f.moves++
	}
}

// land carries out the moves that are due.
func (f *fleetLoad) land() {
	var left []pendingMove
	for _, p := range f.pending {
		if f.now.Before(p.at) {
			left = append(left, p)
			continue
		}
		next, err := f.table.Move(p.run.Low, p.run.High, p.run.To, "")
		if err != nil {
			continue
		}
		f.table = next
		f.meters[p.by.Owner].Forget(f.now, p.run.Low, p.run.High)
		f.meters[p.run.To].Gain(f.now, p.run.Low, p.run.High)
	}
	f.pending = left
}

// excess returns the part of the offered work that is beyond the slots of the
// server that it comes to.
func (f *fleetLoad) excess() float64 {
	work := map[mtrange.Owner]float64{}
	total := 0.0
	sum := f.weights[len(f.weights)-1]
	for _, r := range f.table.Ranges {
		below := 0.0
		if r.Low > 0 {
			below = f.weights[r.Low-1]
		}
		part := (f.weights[r.High] - below) / sum * (1 - f.hot.share)
		inside := min(int(r.High), f.hot.from+f.hot.keys-1) - max(int(r.Low), f.hot.from) + 1
		if inside > 0 && f.hot.keys > 0 {
			part += f.hot.share * float64(inside) / float64(f.hot.keys)
		}
		work[r.Owner] += part * f.rate * simWork.Seconds() / f.speed[r.Owner]
		total += part * f.rate * simWork.Seconds() / f.speed[r.Owner]
	}
	over := 0.0
	for _, w := range work {
		over += max(w-simSlots, 0)
	}
	return over / total
}

// play plays hot runs that change every four seconds.
func (f *fleetLoad) play(seconds int) (excess, moves float64) {
	steps := 0
	for s := range seconds {
		if s%4 == 0 {
			f.hot.from, f.hot.keys, f.hot.share = f.random.IntN(65000), 60+f.random.IntN(140), 0.25*f.random.Float64()
		}
		for range int(time.Second / simStep) {
			f.step()
			if s >= 4 {
				excess += f.excess()
				steps++
			}
		}
	}
	return excess / float64(steps), float64(f.moves) / float64(seconds)
}

// Hot runs come to one owner and change every four seconds, on servers whose speeds
// differ by more than two. Left where they are, a quarter of the work waits for
// servers that can't do it, beside others with room; given away without measure,
// keys go back and forth and no server is warm.
func TestHotRunsAreSpreadWithFewMoves(t *testing.T) {
	for _, test := range []struct {
		servers     int
		utilization float64
		excess      float64 // part of the work beyond its server's slots, at most
		moves       float64 // a second, at most
	}{
		{5, 0.8, 0.08, 2},
		{39, 0.8, 0.08, 16},
		{39, 1.0, 0.14, 22},
	} {
		f := newFleetLoad(1, test.servers, test.utilization)
		excess, moves := f.play(24)
		t.Logf("%d servers at %.1f: excess %.3f, %.1f moves a second, %d ranges", test.servers, test.utilization, excess, moves, len(f.table.Ranges))
		assert.Assert(t, excess <= test.excess, "%d servers: excess %.3f", test.servers, excess)
		assert.Assert(t, moves <= test.moves, "%d servers: %.1f moves a second", test.servers, moves)
	}
}
