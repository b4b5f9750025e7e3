package mtscene

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
)

// The two businesses' services and what they weigh.
var (
	hotels = mtid.Ref{Business: "ratins", Service: "mapsvc"}
	loans  = mtid.Ref{Business: "landmaschinen", Service: "registry"}

	hotelWeights = mtbundle.Weights{Imbalance: 3, Churn: 1, Unavailability: 1}
	loanWeights  = mtbundle.Weights{Imbalance: 1, Churn: 1, Unavailability: 3}
)

var (
	riga = []mtid.Zone{"old-town", "centrs", "kipsala", "airport"}
	bern = []mtid.Zone{"bern-a", "bern-b", "bern-c"}
)

const (
	hotelSlots = 12
	loanSlots  = 9
	hotelBusy  = 5 * time.Millisecond
	loanBusy   = 5 * time.Millisecond
	slowBusy   = 200 * time.Millisecond
	// usual is the load per slot of a quiet fleet.
	usual = 0.4
)

// servers returns n servers spread over zones.
func servers(n int, zones []mtid.Zone, slots float64) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{
			Name:  mtid.Daemon(fmt.Sprintf("vm-%03d", i)),
			Zone:  zones[i%len(zones)],
			Slots: slots,
		})
	}
	return list
}

// population is a set of keys with a base load each and a slow sway of it.
type population struct {
	points []mtid.Point
	base   []float64
	group  []int // hotel or canton of each key
	phase  []float64
	period []float64
	// swayed is the load of the present step, which is counted from one.
	swayed []float64
	step   int
}

// newPopulation returns keys named group/number, with a base load that the
// weights divide, in the order of their points.
func newPopulation(ref mtid.Ref, groups, each int, total float64, weight func(i int) float64, source *rand.Rand) *population {
	type key struct {
		point mtid.Point
		group int
		load  float64
	}
	var keys []key
	sum := 0.0
	for i := range groups * each {
		name := mtid.Key(fmt.Sprintf("group-%d/key-%d", i/each, i%each))
		k := key{point: ref.Point(name), group: i / each, load: weight(i)}
		sum += k.load
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		if a.point < b.point {
			return -1
		}
		return 1
	})
	p := &population{}
	for _, k := range keys {
		p.points = append(p.points, k.point)
		p.group = append(p.group, k.group)
		p.base = append(p.base, k.load/sum*total)
		p.phase = append(p.phase, source.Float64()*2*math.Pi)
		p.period = append(p.period, 60+source.Float64()*540)
	}
	return p
}

// sway is how far a key's load swings around its base, and swayStep how often
// it changes.
const (
	sway     = 0.2
	swayStep = 5 * time.Second
)

// at fills in the swaying base load.
func (p *population) at(at time.Duration, load []float64) {
	if step := int(at/swayStep) + 1; step != p.step {
		p.step = step
		p.swing(at.Truncate(swayStep))
	}
	copy(load, p.swayed)
}

func (p *population) swing(at time.Duration) {
	if p.swayed == nil {
		p.swayed = make([]float64, len(p.base))
	}
	for i := range p.swayed {
		p.swayed[i] = p.base[i] * (1 + sway*math.Sin(2*math.Pi*at.Seconds()/p.period[i]+p.phase[i]))
	}
}

func even(int) float64 { return 1 }

// zipf returns weights of rank to the power of -s.
func zipf(s float64) func(int) float64 {
	return func(i int) float64 { return math.Pow(float64(i+1), -s) }
}

// bump rises from 0 to 1 and falls again over a length, with ramps of a tenth.
func bump(at, start, length time.Duration) float64 {
	x := float64(at-start) / float64(length)
	const ramp = 0.1
	return max(0, min(1, x/ramp, (1-x)/ramp))
}

// Breakfast is a peak that moves from hotel to hotel.
func Breakfast(seed uint64) Scene {
	const count, peak = 40, 12.0
	fleet := servers(6, riga, hotelSlots)
	p := newPopulation(hotels, count, 50, 6*hotelSlots*usual, even, source(seed))
	return Scene{
		Name: "breakfast", Ref: hotels, Length: 40 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 240, Chunks: 4, Weights: hotelWeights, Busy: hotelBusy, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.at(at, load)
			for i := range load {
				// Five hotels have breakfast at any time; the next begin as
				// the first end.
				start := time.Duration(p.group[i]) * time.Minute
				load[i] *= 1 + peak*bump(at, start, 5*time.Minute)
			}
		},
	}
}

// Harvest is a canton whose farmers all call for half an hour, and then another.
func Harvest(seed uint64) Scene {
	const cantons, peak = 26, 15.0
	fleet := servers(5, bern, loanSlots)
	p := newPopulation(loans, cantons, 100, 5*loanSlots*usual*0.7, even, source(seed))
	return Scene{
		Name: "harvest", Ref: loans, Length: 40 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 200, Chunks: 4, Weights: loanWeights, Busy: loanBusy, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.at(at, load)
			for i := range load {
				switch p.group[i] {
				case 7:
					load[i] *= 1 + peak*bump(at, 4*time.Minute, 16*time.Minute)
				case 19:
					load[i] *= 1 + peak*bump(at, 22*time.Minute, 16*time.Minute)
				}
			}
		},
	}
}

// Zipf is a steady load whose keys follow Zipf's law.
func Zipf(seed uint64, s float64) Scene {
	const n = 12
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usual, zipf(s), source(seed))
	return Scene{
		Name: fmt.Sprintf("zipf %.1f", s), Ref: hotels, Length: 15 * time.Minute, Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, Busy: hotelBusy, Seed: seed, Load: p.at,
	}
}

// hotKeys and hotTime are how many keys are hot, and for how long.
const (
	hotKeys = 11
	hotTime = 3 * time.Minute
)

// HotKeys is a load whose hottest keys are others every three minutes.
func HotKeys(seed uint64, n, keys, shards, chunks int, length time.Duration) Scene {
	p := newPopulation(hotels, keys/100, 100, float64(n)*hotelSlots*usual*0.85, even, source(seed))
	return Scene{
		Name: "hot keys", Ref: hotels, Length: length, Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: shards, Chunks: chunks, Weights: hotelWeights, Busy: hotelBusy, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.at(at, load)
			picks := source(seed + uint64(at/hotTime) + 1)
			for range hotKeys {
				// Half a server's usual load on one key.
				load[picks.IntN(len(load))] += hotelSlots * usual * 0.5
			}
		},
	}
}

func source(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// HotFleet is the usual fleet under hot keys.
func HotFleet(seed uint64) Scene { return HotKeys(seed, 24, 10000, 960, 8, 20*time.Minute) }

// Flash is one key that wants more than any server has, for five minutes.
func Flash(seed uint64) Scene {
	p := newPopulation(hotels, 40, 50, 6*hotelSlots*usual, even, source(seed))
	return Scene{
		Name: "flash", Ref: hotels, Length: 15 * time.Minute, Servers: servers(6, riga, hotelSlots), Keys: p.points,
		Shards: 240, Chunks: 4, Weights: hotelWeights, Busy: hotelBusy, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.at(at, load)
			load[len(load)/3] += 1.5 * hotelSlots * bump(at, 5*time.Minute, 5*time.Minute)
		},
	}
}

// JoinLeave is servers that come, leave in order and are lost.
func JoinLeave(seed uint64) Scene {
	const n = 12
	fleet := servers(n+3, riga, hotelSlots)
	fleet[1].Leaves = 4 * time.Minute
	fleet[n].Joins = 6 * time.Minute
	fleet[4].Lost = 9 * time.Minute
	fleet[n+1].Joins = 11 * time.Minute
	fleet[7].Leaves = 14 * time.Minute
	fleet[8].Leaves = 14 * time.Minute
	fleet[n+2].Joins = 16 * time.Minute
	fleet[n+2].Slots = 2 * hotelSlots
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usual, zipf(0.7), source(seed))
	return Scene{
		Name: "join, leave, loss", Ref: hotels, Length: 20 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, Busy: hotelBusy, Seed: seed, Load: p.at,
	}
}

// ZoneLoss is the loss of every server of an availability zone at once.
func ZoneLoss(seed uint64) Scene {
	const n = 24
	fleet := servers(n, riga, hotelSlots)
	for i := range fleet {
		if fleet[i].Zone == riga[2] {
			fleet[i].Lost = 6 * time.Minute
		}
	}
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usual, zipf(0.7), source(seed))
	return Scene{
		Name: "zone loss", Ref: hotels, Length: 12 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 960, Chunks: 8, Weights: hotelWeights, Busy: hotelBusy, Seed: seed, Load: p.at,
	}
}

// Rest is a quiet load that only sways.
func Rest(seed uint64) Scene {
	const n = 12
	p := newPopulation(loans, 200, 100, n*loanSlots*usual, zipf(0.7), source(seed))
	return Scene{
		Name: "rest", Ref: loans, Length: 60 * time.Minute, Servers: servers(n, bern, loanSlots), Keys: p.points,
		Shards: 480, Chunks: 8, Weights: loanWeights, Busy: loanBusy, Seed: seed, Load: p.at,
	}
}

// Capacities is a fleet of servers of three sizes.
func Capacities(seed uint64) Scene {
	const n = 12
	list := servers(n, riga, hotelSlots)
	for i := range list {
		list[i].Slots = hotelSlots / 2 * float64(1+i%3)
	}
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usual, zipf(0.7), source(seed))
	return Scene{
		Name: "capacities", Ref: hotels, Length: 15 * time.Minute, Servers: list, Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, Busy: hotelBusy, Seed: seed, Load: p.at,
	}
}

// withFaults returns the scene of hot keys under faulty reports.
func withFaults(seed uint64, name string, faults Faults) Scene {
	s := HotFleet(seed)
	s.Name = name
	s.Faults = faults
	return s
}

// lateness is how late reports are in the scenes of late reports.
const lateness = 5 * time.Second

// LateRest is a quiet load with reports that come late.
func LateRest(seed uint64) Scene {
	s := Rest(seed)
	s.Name = "rest, late"
	s.Faults = Faults{Late: lateness}
	return s
}

// SlowRest is a quiet load of slow requests: a server of nine slots sees some
// twenty a second, and its measured load is off by a tenth now and then.
func SlowRest(seed uint64) Scene {
	s := Rest(seed)
	s.Name = "rest, slow requests"
	s.Busy = slowBusy
	return s
}

// LateFleet is the usual fleet under hot keys, with reports that come late.
func LateFleet(seed uint64) Scene {
	return withFaults(seed, "hot keys, late", Faults{Late: lateness})
}

// Scenes returns all scenes of the report.
func Scenes(seed uint64) []Scene {
	frozen := func(server int, at time.Duration) bool {
		return server%6 == 1 && at > 5*time.Minute && at < 12*time.Minute
	}
	lies := func(server int) float64 {
		switch server % 8 {
		case 2:
			return 0.3
		case 5:
			return 2
		}
		return 1
	}
	return []Scene{
		Rest(seed),
		LateRest(seed),
		SlowRest(seed),
		Breakfast(seed),
		Harvest(seed),
		Zipf(seed, 0.9),
		Zipf(seed, 1.0),
		Zipf(seed, 1.1),
		Zipf(seed, 1.2),
		HotFleet(seed),
		LateFleet(seed),
		withFaults(seed, "hot keys, frozen", Faults{Frozen: frozen}),
		withFaults(seed, "hot keys, lying", Faults{Lies: lies}),
		Flash(seed),
		Capacities(seed),
		JoinLeave(seed),
		ZoneLoss(seed),
	}
}

// largeWarmUp covers the four minutes over which several hundred servers report
// to a new planner.
const largeWarmUp = 5 * time.Minute

// Fleet480 is the largest fleet that is planned for, its tables in that many
// chunks.
func Fleet480(seed uint64, chunks int) Scene {
	s := HotKeys(seed, 480, 100000, 25000, chunks, 14*time.Minute)
	s.WarmUp = largeWarmUp
	s.Name = fmt.Sprintf("480 servers, %d chunks", chunks)
	return s
}

// Rest480 is the largest fleet under a quiet load.
func Rest480(seed uint64, chunks int) Scene {
	const n, keys = 480, 100000
	p := newPopulation(hotels, keys/100, 100, n*hotelSlots*usual, even, source(seed))
	return Scene{
		Name: fmt.Sprintf("480 servers at rest, %d chunks", chunks), Ref: hotels, Length: 14 * time.Minute, WarmUp: largeWarmUp,
		Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: 25000, Chunks: chunks, Weights: hotelWeights, Busy: hotelBusy, Seed: seed, Load: p.at,
	}
}
