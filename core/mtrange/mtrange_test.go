package mtrange_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

func owner(n int) mtrange.Owner {
	return mtrange.Owner{Daemon: mtid.Daemon("d" + strconv.Itoa(n)), Incarnation: mtid.ServerIncarnation{Server: mtid.Server("s" + strconv.Itoa(n)), Started: mtid.StartTime(n)}}
}

func owners(n int) []mtrange.Owner {
	var out []mtrange.Owner
	for i := range n {
		out = append(out, owner(i))
	}
	return out
}

// After any sequence of moves and takeovers each key has exactly one owner, and a
// key that changes owner gets an epoch above all that were assigned before.
func TestEveryKeyHasOneOwnerAndEpochsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := mtrange.Spread("maps", 0, owners(rapid.IntRange(1, 9).Draw(t, "owners")))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			next := randomChange(t, table)
			checkChange(t, table, next)
			table = next
		}
	})
}

func randomChange(t *rapid.T, table *mtrange.Table) *mtrange.Table {
	to := owner(rapid.IntRange(0, 12).Draw(t, "to"))
	if rapid.Bool().Draw(t, "move") {
		r := rapid.SampledFrom(table.Ranges).Draw(t, "range")
		low := rapid.IntRange(int(r.Low), int(r.High)).Draw(t, "low")
		high := rapid.IntRange(low, int(r.High)).Draw(t, "high")
		next, err := table.Move(mtid.KeyNumber(low), mtid.KeyNumber(high), to, "warm")
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	lost := rapid.SampledFrom(table.Owners()).Draw(t, "lost")
	survivors := slices.DeleteFunc(owners(13), func(o mtrange.Owner) bool { return o == lost })
	next, err := table.TakeOver(func(r mtrange.Range) bool { return r.Owner == lost }, survivors)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func checkChange(t *rapid.T, before, after *mtrange.Table) {
	value, err := after.Encode()
	if err != nil {
		t.Fatal(err)
	}
	// Decode rejects gaps, overlaps and epochs that have not been assigned.
	if _, err := mtrange.Decode(value); err != nil {
		t.Fatal(err)
	}
	checkPatch(t, before, after)
	for _, r := range after.Ranges {
		for _, key := range []mtid.KeyNumber{r.Low, r.High} {
			old, _ := before.Lookup(key)
			if old.Owner != r.Owner && r.Epoch < before.Next {
				t.Fatalf("key %d went from %v to %v at epoch %d, not above %d", key, old.Owner, r.Owner, r.Epoch, before.Next-1)
			}
		}
	}
}

// Servers are lost one after another. If each lost range were cut for every survivor,
// the table would grow without bound.
func TestTakeoversKeepTableSmall(t *testing.T) {
	table, err := mtrange.Spread("maps", 0, owners(6))
	assert.NilError(t, err)
	for n := range 50 {
		lost := owner(n)
		survivors := owners(n + 7)[n+1:]
		table, err = table.TakeOver(func(r mtrange.Range) bool { return r.Owner == lost }, survivors)
		assert.NilError(t, err)
	}
	assert.Assert(t, len(table.Ranges) < 60, "%d ranges", len(table.Ranges))
}

const second = mtclock.Instant(time.Second)

// A run of adjacent keys gets most of the requests within a second. Its owner is
// overloaded while another server has spare capacity, and must offload part of the
// run but not all of it.
func TestOverloadedOwnerOffloadsPartOfItsWork(t *testing.T) {
	now := 10 * second
	meter := mtrange.NewMeter(now)
	for key := range mtid.KeyNumber(200) {
		for range 3 {
			meter.RecordArrival(now, 1000+key, 100*time.Millisecond)
		}
	}
	demand := meter.Demand(now)
	self := mtrange.LoadReport{Owner: owner(0), Slots: 12, Demand: demand, ServiceTime: 100 * time.Millisecond, Keys: 5000, Known: true}
	other := mtrange.LoadReport{Owner: owner(1), Slots: 12, Demand: 2, ServiceTime: 100 * time.Millisecond, Keys: 5000, Known: true}
	offloads := mtrange.PlanOffload(self, []mtrange.LoadReport{other})
	assert.Equal(t, len(offloads), 1)
	assert.Equal(t, offloads[0].To, owner(1))
	amount := offloads[0].Amount
	assert.Assert(t, amount > 0.4*(demand-2) && amount < 0.6*(demand-2), "amount %.1f of %.1f", amount, demand)
	low, high, ok := mtrange.SelectKeys(now, []mtrange.Range{{Low: 0, High: 4999, Owner: owner(0)}}, meter, amount)
	assert.Assert(t, ok)
	moved := 0.0
	for key := low; ; key++ {
		moved += meter.KeyDemand(now, key)
		if key == high {
			break
		}
	}
	assert.Assert(t, moved > 0.8*amount && moved < 1.4*amount, "moved %.1f, amount %.1f", moved, amount)
}

func TestOffloadDecision(t *testing.T) {
	report := func(n int, demand float64, keys int) mtrange.LoadReport {
		return mtrange.LoadReport{Owner: owner(n), Slots: 10, Demand: demand, ServiceTime: time.Second, Keys: keys, Known: true}
	}
	unknown := report(1, 0, 100)
	unknown.Known = false
	slow := report(1, 2, 100)
	slow.ServiceTime = 2 * time.Second
	for _, test := range []struct {
		name   string
		self   mtrange.LoadReport
		others []mtrange.LoadReport
		want   bool
	}{
		{"no other server", report(0, 20, 100), nil, false},
		{"others as loaded", report(0, 20, 100), []mtrange.LoadReport{report(1, 19, 100)}, false},
		{"own slots are free", report(0, 4, 100), []mtrange.LoadReport{report(1, 0, 100)}, false},
		{"overloaded", report(0, 15, 100), []mtrange.LoadReport{report(1, 5, 100)}, true},
		{"the other is slow", report(0, 15, 100), []mtrange.LoadReport{slow}, true},
		{"no report of the other", report(0, 15, 100), []mtrange.LoadReport{unknown}, false},
		{"empty server", report(0, 4, 100), []mtrange.LoadReport{{Owner: owner(1), Slots: 10}}, true},
	} {
		got := len(mtrange.PlanOffload(test.self, test.others)) > 0
		assert.Equal(t, got, test.want, test.name)
	}
}

// A run of sixty keys gets four tenths of the traffic for a few seconds, so one owner
// gets the work of eight servers. Offloading half of it to one server at a time would
// not balance the load before the run cools down. One decision must bring all servers
// to the same load, with more of the work on the fast ones.
func TestHotRunIsSpreadOverManyServersAtOnce(t *testing.T) {
	now := 10 * second
	meter := mtrange.NewMeter(now)
	for range 12 {
		for key := range mtid.KeyNumber(60) {
			meter.RecordArrival(now, 3000+key, 200*time.Millisecond)
		}
	}
	self := mtrange.LoadReport{Owner: owner(0), Slots: 9, Demand: meter.Demand(now), ServiceTime: 200 * time.Millisecond, Keys: 5000, Known: true}
	var others []mtrange.LoadReport
	for n := range 12 {
		service := 200 * time.Millisecond
		if n%2 == 0 {
			service = 330 * time.Millisecond
		}
		others = append(others, mtrange.LoadReport{Owner: owner(n + 1), Slots: 9, Demand: 3, ServiceTime: service, Keys: 5000, Known: true})
	}
	offloads := mtrange.PlanOffload(self, others)
	assert.Equal(t, len(offloads), 8)
	runs := mtrange.SelectMoves(now, []mtrange.Range{{Low: 0, High: 4999, Owner: owner(0)}}, meter, offloads)
	assert.Assert(t, len(runs) >= 6, "%d runs", len(runs))
	left := self.Demand
	covered := make(map[mtid.KeyNumber]bool)
	for _, r := range runs {
		for key := r.Low; key <= r.High; key++ {
			assert.Assert(t, !covered[key], "key %d moves to two servers", key)
			covered[key] = true
			left -= meter.KeyDemand(now, key)
		}
	}
	assert.Assert(t, left < 0.5*self.Demand, "%.1f of %.1f slots remain", left, self.Demand)
}

// After a power loss of all VMs the servers come back as new incarnations, a few at a
// time. Each must get the keys of its previous incarnation: if the keys were spread
// over the servers that are up, the first ones would get all of them.
func TestNextIncarnationTakesOverItsOwnKeys(t *testing.T) {
	table, err := mtrange.Spread("maps", 0, owners(6))
	assert.NilError(t, err)
	next := owner(2)
	next.Incarnation.Started++
	after, err := table.TakeOver(func(r mtrange.Range) bool { return r.Owner == owner(2) }, []mtrange.Owner{owner(0), next, owner(5)})
	assert.NilError(t, err)
	assert.Equal(t, after.Keys(next), table.Keys(owner(2)))
	assert.Equal(t, len(after.Ranges), len(table.Ranges))
}

func TestSelectKeysLeavesSingleHotKey(t *testing.T) {
	now := second
	meter := mtrange.NewMeter(now)
	for range 100 {
		meter.RecordArrival(now, 500, time.Second)
	}
	meter.RecordArrival(now, 10, time.Second)
	meter.RecordArrival(now, 900, time.Second)
	low, high, ok := mtrange.SelectKeys(now, []mtrange.Range{{Low: 0, High: 999}}, meter, 5)
	assert.Assert(t, ok)
	assert.Assert(t, high < 500 || low > 500, "run %d to %d contains the hot key", low, high)
}

func TestMeterForgetsMovedAndOldWork(t *testing.T) {
	meter := mtrange.NewMeter(0)
	meter.RecordArrival(second, 7, time.Second)
	meter.RecordArrival(second, 8, time.Second)
	before := meter.Demand(second)
	meter.Forget(second, 7, 7)
	assert.Assert(t, meter.Demand(second) < 0.6*before)
	assert.Equal(t, meter.KeyDemand(second, 7), 0.0)
	later := second + mtclock.Instant(20*mtrange.MeterMemory)
	assert.Assert(t, meter.Demand(later) < 1e-6)
	meter.RecordArrival(later, 9, time.Second)
	assert.Assert(t, meter.KeyDemand(later, 9) > 0.3, "precision is lost after a long idle time")
}

// A server received a hot run half a second ago. Without extrapolation its reported
// load would be a quarter of the real one, and every owner would move more keys to it.
func TestRecentlyAcquiredKeysAreExtrapolated(t *testing.T) {
	meter := mtrange.NewMeter(0)
	now := 60 * second
	meter.AddKeys(now, 100, 199)
	const gap = 10 * time.Millisecond
	for range 50 {
		now = now.Add(gap)
		meter.RecordArrival(now, 150, 50*time.Millisecond) // five slots
	}
	assert.Assert(t, meter.Demand(now) > 4 && meter.Demand(now) < 6, "%.1f slots", meter.Demand(now))
	assert.Assert(t, meter.KeyDemand(now, 150) > 4 && meter.KeyDemand(now, 150) < 6, "%.1f slots", meter.KeyDemand(now, 150))
	for range 2000 {
		now = now.Add(gap)
		meter.RecordArrival(now, 150, 50*time.Millisecond)
	}
	assert.Assert(t, meter.Demand(now) > 4.5 && meter.Demand(now) < 5.5, "%.1f slots", meter.Demand(now))
	meter.Forget(now, 100, 199)
	assert.Assert(t, meter.Demand(now) < 0.1, "%.1f slots", meter.Demand(now))
}

// An empty server joins forty others, none of which is overloaded. A fortieth of each
// one's work is too little for a move, so without a special case the server would
// stay idle.
func TestEmptyServerAmongManyReceivesWork(t *testing.T) {
	var owned []mtrange.LoadReport
	for n := range 40 {
		owned = append(owned, mtrange.LoadReport{Owner: owner(n), Slots: 9, Demand: 6, ServiceTime: time.Second, Keys: 1600, Known: true})
	}
	empty := mtrange.LoadReport{Owner: owner(40), Slots: 9}
	offloaded := 0.0
	for n, self := range owned {
		others := append([]mtrange.LoadReport{empty}, owned[:n]...)
		for _, o := range mtrange.PlanOffload(self, append(others, owned[n+1:]...)) {
			assert.Equal(t, o.To, empty.Owner)
			offloaded += o.Amount
		}
	}
	assert.Assert(t, offloaded >= 2 && offloaded <= 12, "%.1f slots", offloaded)
}
