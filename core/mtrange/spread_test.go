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

// fleetSim simulates owners under keyed load whose hot run changes every few seconds,
// in steps of 20 ms. Each owner decides on moves from its own measurements and the
// load reports of some others.
type fleetSim struct {
	random      *rand.Rand
	now         mtclock.Instant
	table       *mtrange.Table
	owners      []mtrange.Owner
	speed       map[mtrange.Owner]float64
	meters      map[mtrange.Owner]*mtrange.Meter
	capacity    map[mtrange.Owner]float64 // of the owners with a rate limit
	arrived     map[mtrange.Owner]int     // requests so far
	last        map[mtrange.Owner]mtclock.Instant
	movingUntil map[mtrange.Owner]mtclock.Instant // end of the moves of an owner
	pending     []pendingMove
	weights     []float64 // cumulative weights of the keys
	rate        float64   // requests per second
	hot         struct {
		from, keys int
		share      float64
	}
	moves int
}

type pendingMove struct {
	at   mtclock.Instant
	run  mtrange.KeyMove
	from mtrange.Range
}

const (
	simSlots = 9
	simStep  = 20 * time.Millisecond
	simWork  = 280 * time.Millisecond // mean service time over the classes, at speed 1
)

func newFleetSim(seed uint64, servers int, utilization float64) *fleetSim {
	f := &fleetSim{
		random: rand.New(rand.NewPCG(seed, seed)), owners: owners(servers),
		speed: map[mtrange.Owner]float64{}, meters: map[mtrange.Owner]*mtrange.Meter{},
		capacity: map[mtrange.Owner]float64{}, arrived: map[mtrange.Owner]int{},
		last: map[mtrange.Owner]mtclock.Instant{}, movingUntil: map[mtrange.Owner]mtclock.Instant{},
	}
	f.now = mtclock.Instant(time.Minute)
	f.table, _ = mtrange.Spread("maps", 0, f.owners)
	for i, o := range f.owners {
		f.speed[o] = []float64{0.6, 1, 1.4}[i%3]
		f.meters[o] = mtrange.NewMeter(f.now)
		f.meters[o].AddKeys(f.now, 0, mtid.LastKeyNumber)
	}
	f.rate = utilization * float64(servers*simSlots) / simWork.Seconds()
	sum := 0.0
	for i := range int(mtid.LastKeyNumber) + 1 {
		// Busy keys are adjacent, and their rates follow a power law.
		sum += math.Pow(float64(i%8192)+1, -0.57)
		f.weights = append(f.weights, sum)
	}
	return f
}

func (f *fleetSim) randomKey() mtid.KeyNumber {
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

func (f *fleetSim) report(o mtrange.Owner) mtrange.LoadReport {
	return mtrange.LoadReport{
		Owner: o, Slots: simSlots, Demand: f.meters[o].Demand(f.now),
		ServiceTime: time.Duration(float64(simWork) / f.speed[o]), Keys: f.table.Keys(o), Known: true,
		Capacity: f.capacity[o], Limited: f.capacity[o] > 0,
	}
}

// step simulates the arrivals and the decisions of one time step.
func (f *fleetSim) step() {
	f.now = f.now.Add(simStep)
	n := f.rate * simStep.Seconds()
	for range int(n) + map[bool]int{true: 1}[f.random.Float64() < n-math.Floor(n)] {
		key := f.randomKey()
		r, _ := f.table.Lookup(key)
		f.arrived[r.Owner]++
		work := f.random.ExpFloat64()*0.3 + 0.7
		f.meters[r.Owner].RecordArrival(f.now, key, time.Duration(work*float64(simWork)/f.speed[r.Owner]))
	}
	f.applyMoves()
	for _, o := range f.owners {
		if f.now.Sub(f.last[o]) >= mtrange.MoveCooldown && !f.now.Before(f.movingUntil[o]) {
			f.decide(o)
		}
	}
}

// decide makes an owner offload work if it is overloaded.
func (f *fleetSim) decide(o mtrange.Owner) {
	f.last[o] = f.now
	var others []mtrange.LoadReport
	for _, i := range f.random.Perm(len(f.owners))[:min(12, len(f.owners))] {
		if f.owners[i] != o {
			others = append(others, f.report(f.owners[i]))
		}
	}
	offloads := mtrange.PlanAll(f.now, f.report(o), others)
	for _, run := range mtrange.SelectMoves(f.now, f.table.Owned(o), f.meters[o], offloads) {
		r, _ := f.table.Lookup(run.Low)
		duration := time.Duration(f.random.ExpFloat64() * float64(300*time.Millisecond))
		f.pending = append(f.pending, pendingMove{at: f.now.Add(duration), run: run, from: r})
		f.movingUntil[o] = max(f.movingUntil[o], f.now.Add(duration+mtrange.MoveCooldown))
		f.moves++
	}
}

// applyMoves applies the moves that are due.
func (f *fleetSim) applyMoves() {
	var notDue []pendingMove
	for _, p := range f.pending {
		if f.now.Before(p.at) {
			notDue = append(notDue, p)
			continue
		}
		next, err := f.table.Move(p.run.Low, p.run.High, p.run.To, "")
		if err != nil {
			continue
		}
		f.table = next
		f.meters[p.from.Owner].Forget(f.now, p.run.Low, p.run.High)
		f.meters[p.run.To].AddKeys(f.now, p.run.Low, p.run.High)
	}
	f.pending = notDue
}

// excess returns the fraction of the offered work that exceeds the slots of its server.
func (f *fleetSim) excess() float64 {
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

// run simulates hot runs that change every four seconds, and returns the mean excess
// and the moves per second.
func (f *fleetSim) run(seconds int) (excess, moves float64) {
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

// Hot runs change every four seconds, on servers whose speeds differ by more than a
// factor of two. Without moves, a quarter of the work waits for overloaded servers
// while others have spare capacity; with too many, keys move back and forth and no
// server is warm.
func TestHotRunsAreSpreadWithFewMoves(t *testing.T) {
	for _, test := range []struct {
		servers     int
		utilization float64
		excess      float64 // maximum fraction of the work beyond its server's slots
		moves       float64 // maximum per second
	}{
		{5, 0.8, 0.08, 2},
		{39, 0.8, 0.08, 16},
		{39, 1.0, 0.14, 22},
	} {
		f := newFleetSim(1, test.servers, test.utilization)
		excess, moves := f.run(24)
		t.Logf("%d servers at %.1f: excess %.3f, %.1f moves a second, %d ranges", test.servers, test.utilization, excess, moves, len(f.table.Ranges))
		assert.Assert(t, excess <= test.excess, "%d servers: excess %.3f", test.servers, excess)
		assert.Assert(t, moves <= test.moves, "%d servers: %.1f moves a second", test.servers, moves)
	}
}
