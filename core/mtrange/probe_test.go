package mtrange_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

// quietKeys is the number of keys that the server with the rate limit has left in the simulation.
// Nobody asks for any of them.
const quietKeys = 100

// quietLimit is the rate limit of that server, in requests per second: less work than an overloaded
// owner offloads at once.
const quietLimit = 1.5

// newQuietSim simulates a service of which one server has a rate limit, in requests per second,
// and has only keys left that nobody asks for.
func newQuietSim(seed uint64, servers int, utilization, limit float64) (*fleetSim, mtrange.Owner) {
	f := newFleetSim(seed, servers, utilization)
	r, _ := f.table.Lookup(0)
	f.table, _ = f.table.Move(quietKeys, r.High, f.owners[len(f.owners)-1], "")
	for i := range quietKeys {
		f.weights[i] = 0
	}
	f.capacity[r.Owner] = limit * simWork.Seconds() / f.speed[r.Owner]
	return f, r.Owner
}

// Guards against a server whose rate limit has ended and that never reports it, since nobody
// asks for the keys that it has left.
func TestServerWithQuietKeysIsProbed(t *testing.T) {
	for _, utilization := range []float64{0.3, 0.6, 0.95} {
		for seed := range uint64(20) {
			f, limited := newQuietSim(seed, 5, utilization, quietLimit)
			end := f.now.Add(12 * time.Second)
			for f.arrived[limited] == 0 {
				f.step()
				assert.Assert(t, f.now < end, "seed %d at %.2f: no call in 12 s", seed, utilization)
			}
			t.Logf("seed %d at %.2f: first call after %s", seed, utilization, 12*time.Second-end.Sub(f.now))
		}
	}
}

// Guards against probes that send a server more than its rate limit allows, and against moves
// to it without end while the limit lasts.
func TestProbesStayBelowTheLimit(t *testing.T) {
	const seconds, seeds = 30, 20
	for _, utilization := range []float64{0.3, 0.6, 0.95} {
		arrived, moves := 0, 0
		for seed := range uint64(seeds) {
			f, limited := newQuietSim(seed, 5, utilization, quietLimit)
			owned := f.table.Keys(limited)
			for range seconds * int(time.Second/simStep) {
				f.step()
				if n := f.table.Keys(limited); n != owned {
					owned = n
					moves++
				}
			}
			// Its gate refuses what exceeds the limit. The work of a run is measured by a call
			// or two here, so that a run may bring as much as the limit allows.
			got := float64(f.arrived[limited]) / seconds
			assert.Assert(t, got < 1.2*quietLimit, "seed %d at %.2f: %.1f calls a second", seed, utilization, got)
			arrived += f.arrived[limited]
		}
		got, moved := float64(arrived)/seconds/seeds, float64(moves)/seeds
		t.Logf("at %.2f: %.2f calls a second, %.1f moves in %d seconds", utilization, got, moved, seconds)
		assert.Assert(t, got > 0.2*quietLimit && got < 0.6*quietLimit, "at %.2f: %.2f calls a second", utilization, got)
		assert.Assert(t, moved < 12, "at %.2f: %.1f moves", utilization, moved)
	}
}

// Guards against probes of servers that need none, and against several owners that probe one
// server in the same turn.
func TestProbeDecision(t *testing.T) {
	limited := loadReport("b", 0, 1.2)
	limited.Limited = true
	used, unlimited, old := limited, loadReport("b", 0, 0), limited
	unreported, known := unlimited, unlimited
	unreported.Keys, unreported.Known, known.Keys = 1, false, 1
	used.Demand = 0.5
	old.Known = false
	for _, test := range []struct {
		name   string
		self   mtrange.LoadReport
		other  mtrange.LoadReport
		probed bool
		ask    bool
	}{
		{"a limit and no calls", loadReport("a", 3, 0), limited, true, true},
		{"a limit and calls", loadReport("a", 3, 0), used, false, true},
		{"no limit", loadReport("a", 3, 0), unlimited, false, false},
		{"only an old report", loadReport("a", 3, 0), old, false, true},
		{"hardly any keys and no report", loadReport("a", 3, 0), unreported, false, true},
		{"hardly any keys and no limit", loadReport("a", 3, 0), known, false, false},
		{"the owner has a limit too", loadReport("a", 3, 5), limited, false, false},
	} {
		offloads := mtrange.PlanProbe(0, test.self, []mtrange.LoadReport{test.other})
		assert.Equal(t, len(offloads) > 0, test.probed, test.name)
		assert.Equal(t, mtrange.ProbeDue(0, test.self, []mtrange.LoadReport{test.other}), test.ask, test.name)
		for _, o := range offloads {
			assert.Assert(t, o.Amount > 0.3 && o.Amount < 0.4, "%s: %v", test.name, o)
		}
	}
	turns := map[mtid.Daemon]int{}
	names := []string{"a", "c", "d", "e"}
	for turn := range 200 {
		now := mtclock.Instant(time.Duration(2*turn) * time.Second)
		for _, name := range names {
			others := []mtrange.LoadReport{limited}
			for _, other := range names {
				if other != name {
					others = append(others, loadReport(other, 3, 0))
				}
			}
			turns[mtid.Daemon(name)] += len(mtrange.PlanProbe(now, loadReport(name, 3, 0), others))
		}
	}
	total := 0
	for _, name := range names {
		n := turns[mtid.Daemon(name)]
		total += n
		assert.Assert(t, n > 25 && n < 80, "%v", turns)
	}
	assert.Equal(t, total, 200)
}

// Guards against a server that gets no busy key while its limit is tried, and against many moves.
func TestServerIsOfferedBusyKeysWhileItsLimitIsTried(t *testing.T) {
	const seconds, seeds, limit = 60, 20, 1
	moves := 0
	for seed := range uint64(seeds) {
		f, limited := newQuietSim(seed, 3, 0.5, limit)
		sum := 0.0
		for i := range f.weights {
			if i%4000 == 500 {
				sum++
			}
			f.weights[i] = sum
		}
		var trial mtbackend.LimitTrial
		start, firstCall, owned := f.now, time.Duration(0), f.table.Keys(limited)
		for range seconds * int(time.Second/simStep) {
			arrived := f.arrived[limited]
			f.step()
			trial.Advance(f.now, limit, f.arrived[limited] > arrived)
			f.capacity[limited] = trial.Capacity(limit, simSlots, time.Duration(float64(simWork)/f.speed[limited]))
			if f.arrived[limited] > 0 && firstCall == 0 {
				firstCall = f.now.Sub(start)
			}
			if n := f.table.Keys(limited); n != owned {
				owned = n
				moves++
			}
		}
		t.Logf("seed %d: first call after %s", seed, firstCall)
		assert.Assert(t, firstCall > 0 && firstCall < 10*time.Second, "seed %d: first call after %s", seed, firstCall)
	}
	got := float64(moves) / seeds
	t.Logf("%.1f moves in %d seconds", got, seconds)
	assert.Assert(t, got < 24, "%.1f moves", got)
}

// Guards against a server that stays without work after its limit, since the other owners have room.
func TestServerGetsKeysBackAfterItsLimit(t *testing.T) {
	for _, utilization := range []float64{0.05, 0.3, 0.6} {
		for seed := range uint64(20) {
			f, limited := newQuietSim(seed, 3, utilization, quietLimit)
			var trial mtbackend.LimitTrial
			trial.Advance(f.now, quietLimit, false)
			for range 12 * int(time.Second/simStep) {
				f.step()
				trial.Advance(f.now, mtbackend.Unlimited, false)
				f.capacity[limited] = trial.Capacity(mtbackend.Unlimited, simSlots, simWork)
			}
			got, usual := float64(f.arrived[limited])/12, f.rate/3
			assert.Assert(t, got > usual/8, "seed %d at %.2f: %.1f calls a second of %.1f", seed, utilization, got, usual)
		}
	}
}
