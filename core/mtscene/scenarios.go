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

// The services of the two businesses and the weights of their planning goals.
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
	hotelSlots       = 12
	loanSlots        = 9
	hotelServiceTime = 5 * time.Millisecond
	loanServiceTime  = 5 * time.Millisecond
	slowServiceTime  = 200 * time.Millisecond
	// usualLoad is the load per slot of a fleet without peaks.
	usualLoad = 0.4
)

// servers returns n servers, assigned to the zones round robin.
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

// population is a set of keys, each with a base load that varies slowly.
type population struct {
	points []mtid.Point
	base   []float64
	group  []int // index of the hotel or canton of each key
	phase  []float64
	period []float64
	// current is the load of each key in the current step. Steps count from one, so
	// that zero means not computed yet.
	current []float64
	step    int
}

// newPopulation returns keys named group-G/key-N in the order of their points. The
// total load is divided among them in proportion to their weights.
func newPopulation(ref mtid.Ref, groups, perGroup int, total float64, weight func(i int) float64, source *rand.Rand) *population {
	type key struct {
		point mtid.Point
		group int
		load  float64
	}
	var keys []key
	sum := 0.0
	for i := range groups * perGroup {
		name := mtid.Key(fmt.Sprintf("group-%d/key-%d", i/perGroup, i%perGroup))
		k := key{point: ref.Point(name), group: i / perGroup, load: weight(i)}
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

// variation is the relative amplitude by which a key's load varies around its
// base, and variationStep the interval at which it changes.
const (
	variation     = 0.2
	variationStep = 5 * time.Second
)

// fillLoads stores the varying base load of each key at a time.
func (p *population) fillLoads(at time.Duration, load []float64) {
	if step := int(at/variationStep) + 1; step != p.step {
		p.step = step
		p.updateLoads(at.Truncate(variationStep))
	}
	copy(load, p.current)
}

func (p *population) updateLoads(at time.Duration) {
	if p.current == nil {
		p.current = make([]float64, len(p.base))
	}
	for i := range p.current {
		p.current[i] = p.base[i] * (1 + variation*math.Sin(2*math.Pi*at.Seconds()/p.period[i]+p.phase[i]))
	}
}

func equalWeight(int) float64 { return 1 }

// zipf returns a function that gives each rank the weight of that rank to the
// power of -s.
func zipf(s float64) func(int) float64 {
	return func(i int) float64 { return math.Pow(float64(i+1), -s) }
}

// trapezoid rises from 0 to 1 and falls back to 0 within a length; each ramp
// takes a tenth of it.
func trapezoid(at, start, length time.Duration) float64 {
	x := float64(at-start) / float64(length)
	const ramp = 0.1
	return max(0, min(1, x/ramp, (1-x)/ramp))
}

// Breakfast returns a scenario with a peak that moves from hotel to hotel.
func Breakfast(seed uint64) Scenario {
	const count, peak = 40, 12.0
	fleet := servers(6, riga, hotelSlots)
	p := newPopulation(hotels, count, 50, 6*hotelSlots*usualLoad, equalWeight, newRand(seed))
	return Scenario{
		Name: "breakfast", Ref: hotels, Length: 40 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 240, Chunks: 4, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.fillLoads(at, load)
			for i := range load {
				// Each hotel's peak lasts five minutes and the next one starts
				// a minute later, so five hotels peak at any time.
				start := time.Duration(p.group[i]) * time.Minute
				load[i] *= 1 + peak*trapezoid(at, start, 5*time.Minute)
			}
		},
	}
}

// Harvest returns a scenario in which the load of all keys of one canton peaks for
// 16 minutes, and later that of another canton.
func Harvest(seed uint64) Scenario {
	const cantons, peak = 26, 15.0
	fleet := servers(5, bern, loanSlots)
	p := newPopulation(loans, cantons, 100, 5*loanSlots*usualLoad*0.7, equalWeight, newRand(seed))
	return Scenario{
		Name: "harvest", Ref: loans, Length: 40 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 200, Chunks: 4, Weights: loanWeights, ServiceTime: loanServiceTime, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.fillLoads(at, load)
			for i := range load {
				switch p.group[i] {
				case 7:
					load[i] *= 1 + peak*trapezoid(at, 4*time.Minute, 16*time.Minute)
				case 19:
					load[i] *= 1 + peak*trapezoid(at, 22*time.Minute, 16*time.Minute)
				}
			}
		},
	}
}

// Zipf returns a scenario with a steady load that is distributed over the keys by
// Zipf's law with exponent s.
func Zipf(seed uint64, s float64) Scenario {
	const n = 12
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usualLoad, zipf(s), newRand(seed))
	return Scenario{
		Name: fmt.Sprintf("zipf %.1f", s), Ref: hotels, Length: 15 * time.Minute, Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed, Load: p.fillLoads,
	}
}

// hotKeys is the number of keys that are hot at a time, and hotTime how long they
// stay hot.
const (
	hotKeys = 11
	hotTime = 3 * time.Minute
)

// HotKeys returns a scenario in which different keys become hot every three
// minutes.
func HotKeys(seed uint64, n, keys, shards, chunks int, length time.Duration) Scenario {
	p := newPopulation(hotels, keys/100, 100, float64(n)*hotelSlots*usualLoad*0.85, equalWeight, newRand(seed))
	return Scenario{
		Name: "hot keys", Ref: hotels, Length: length, Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: shards, Chunks: chunks, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.fillLoads(at, load)
			picks := newRand(seed + uint64(at/hotTime) + 1)
			for range hotKeys {
				// One key gets half of the usual load of a server.
				load[picks.IntN(len(load))] += hotelSlots * usualLoad * 0.5
			}
		},
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// HotFleet returns the scenario of hot keys on a fleet of 24 servers.
func HotFleet(seed uint64) Scenario { return HotKeys(seed, 24, 10000, 960, 8, 20*time.Minute) }

// Flash returns a scenario in which a single key needs more slots than any server
// has, for five minutes.
func Flash(seed uint64) Scenario {
	p := newPopulation(hotels, 40, 50, 6*hotelSlots*usualLoad, equalWeight, newRand(seed))
	return Scenario{
		Name: "flash", Ref: hotels, Length: 15 * time.Minute, Servers: servers(6, riga, hotelSlots), Keys: p.points,
		Shards: 240, Chunks: 4, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed,
		Load: func(at time.Duration, load []float64) {
			p.fillLoads(at, load)
			load[len(load)/3] += 1.5 * hotelSlots * trapezoid(at, 5*time.Minute, 5*time.Minute)
		},
	}
}

// JoinLeave returns a scenario in which servers join, drain and are lost.
func JoinLeave(seed uint64) Scenario {
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
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usualLoad, zipf(0.7), newRand(seed))
	return Scenario{
		Name: "join, leave, loss", Ref: hotels, Length: 20 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed, Load: p.fillLoads,
	}
}

// ZoneLoss returns a scenario in which all servers of an availability zone are
// lost at once.
func ZoneLoss(seed uint64) Scenario {
	const n = 24
	fleet := servers(n, riga, hotelSlots)
	for i := range fleet {
		if fleet[i].Zone == riga[2] {
			fleet[i].Lost = 6 * time.Minute
		}
	}
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usualLoad, zipf(0.7), newRand(seed))
	return Scenario{
		Name: "zone loss", Ref: hotels, Length: 12 * time.Minute, Servers: fleet, Keys: p.points,
		Shards: 960, Chunks: 8, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed, Load: p.fillLoads,
	}
}

// Rest returns a scenario without peaks, whose load only varies slowly.
func Rest(seed uint64) Scenario {
	const n = 12
	p := newPopulation(loans, 200, 100, n*loanSlots*usualLoad, zipf(0.7), newRand(seed))
	return Scenario{
		Name: "rest", Ref: loans, Length: 60 * time.Minute, Servers: servers(n, bern, loanSlots), Keys: p.points,
		Shards: 480, Chunks: 8, Weights: loanWeights, ServiceTime: loanServiceTime, Seed: seed, Load: p.fillLoads,
	}
}

// Capacities returns a scenario with a fleet of servers of three sizes.
func Capacities(seed uint64) Scenario {
	const n = 12
	list := servers(n, riga, hotelSlots)
	for i := range list {
		list[i].Slots = hotelSlots / 2 * float64(1+i%3)
	}
	p := newPopulation(hotels, 200, 100, n*hotelSlots*usualLoad, zipf(0.7), newRand(seed))
	return Scenario{
		Name: "capacities", Ref: hotels, Length: 15 * time.Minute, Servers: list, Keys: p.points,
		Shards: 480, Chunks: 8, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed, Load: p.fillLoads,
	}
}

// withFaults returns the scenario of hot keys with faulty reports.
func withFaults(seed uint64, name string, faults Faults) Scenario {
	s := HotFleet(seed)
	s.Name = name
	s.Faults = faults
	return s
}

// reportDelay is the delay of reports in the scenarios with late reports.
const reportDelay = 5 * time.Second

// LateRest returns the scenario of Rest with delayed reports.
func LateRest(seed uint64) Scenario {
	s := Rest(seed)
	s.Name = "rest, late"
	s.Faults = Faults{ReportDelay: reportDelay}
	return s
}

// SlowRest returns the scenario of Rest with slow requests: a server of nine slots
// receives only about twenty per second, so its measured load is occasionally off
// by a tenth.
func SlowRest(seed uint64) Scenario {
	s := Rest(seed)
	s.Name = "rest, slow requests"
	s.ServiceTime = slowServiceTime
	return s
}

// LateFleet returns the scenario of HotFleet with delayed reports.
func LateFleet(seed uint64) Scenario {
	return withFaults(seed, "hot keys, late", Faults{ReportDelay: reportDelay})
}

// Scenarios returns all scenarios in which policies are compared.
func Scenarios(seed uint64) []Scenario {
	frozen := func(server int, at time.Duration) bool {
		return server%6 == 1 && at > 5*time.Minute && at < 12*time.Minute
	}
	wrongFactor := func(server int) float64 {
		switch server % 8 {
		case 2:
			return 0.3
		case 5:
			return 2
		}
		return 1
	}
	return []Scenario{
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
		withFaults(seed, "hot keys, lying", Faults{LoadFactor: wrongFactor}),
		Flash(seed),
		Capacities(seed),
		JoinLeave(seed),
		ZoneLoss(seed),
	}
}

// largeWarmUp covers the four minutes that several hundred servers take to send
// their first reports to a new planner.
const largeWarmUp = 5 * time.Minute

// Fleet480 returns the scenario of hot keys on the largest supported fleet, with
// the table divided into the given number of chunks.
func Fleet480(seed uint64, chunks int) Scenario {
	s := HotKeys(seed, 480, 100000, 25000, chunks, 14*time.Minute)
	s.WarmUp = largeWarmUp
	s.Name = fmt.Sprintf("480 servers, %d chunks", chunks)
	return s
}

// Rest480 returns a scenario of the largest fleet under a load without peaks.
func Rest480(seed uint64, chunks int) Scenario {
	const n, keys = 480, 100000
	p := newPopulation(hotels, keys/100, 100, n*hotelSlots*usualLoad, equalWeight, newRand(seed))
	return Scenario{
		Name: fmt.Sprintf("480 servers at rest, %d chunks", chunks), Ref: hotels, Length: 14 * time.Minute, WarmUp: largeWarmUp,
		Servers: servers(n, riga, hotelSlots), Keys: p.points,
		Shards: 25000, Chunks: chunks, Weights: hotelWeights, ServiceTime: hotelServiceTime, Seed: seed, Load: p.fillLoads,
	}
}
