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
	return mtrange.Owner{Daemon: mtid.Daemon("d" + strconv.Itoa(n)), Life: mtid.ServerIncarnation{Server: mtid.Server("s" + strconv.Itoa(n)), Started: mtid.StartTime(n)}}
}

func owners(n int) []mtrange.Owner {
	var out []mtrange.Owner
	for i := range n {
		out = append(out, owner(i))
	}
	return out
}

// Over any order of moves and takeovers each key has exactly one owner, and
// whenever a key changes hands its epoch is above every one that any key had.
func TestEveryKeyHasOneOwnerAndEpochsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := mtrange.Spread("maps", owners(rapid.IntRange(1, 9).Draw(t, "owners")))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			next := change(t, table)
			check(t, table, next)
			table = next
		}
	})
}

func change(t *rapid.T, table *mtrange.Table) *mtrange.Table {
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
	next, err := table.Take(func(o mtrange.Owner) bool { return o == lost }, survivors)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func check(t *rapid.T, before, after *mtrange.Table) {
	value, err := after.Encode()
	if err != nil {
		t.Fatal(err)
	}
	// Decode refuses gaps, overlaps and epochs that were not given out.
	if _, err := mtrange.Decode(value); err != nil {
		t.Fatal(err)
	}
	patched(t, before, after)
	for _, r := range after.Ranges {
		for _, key := range []mtid.KeyNumber{r.Low, r.High} {
			old, _ := before.Lookup(key)
			if old.Owner != r.Owner && r.Epoch < before.Next {
				t.Fatalf("key %d went from %v to %v at epoch %d, not above %d", key, old.Owner, r.Owner, r.Epoch, before.Next-1)
			}
		}
	}
}

// Servers are lost one after the other all day. Were each lost range cut for every
// survivor, the assignment would grow without end.
func TestTakeoversDoNotCutRangesWithoutEnd(t *testing.T) {
	table, err := mtrange.Spread("maps", owners(6))
	assert.NilError(t, err)
	for n := range 50 {
		lost := owner(n)
		survivors := owners(n + 7)[n+1:]
		table, err = table.Take(func(o mtrange.Owner) bool { return o == lost }, survivors)
		assert.NilError(t, err)
	}
	assert.Assert(t, len(table.Ranges) < 60, "%d ranges", len(table.Ranges))
}

const second = mtclock.Instant(time.Second)

// A wing of a hotel wakes up: one run of neighbouring keys gets most of the
// requests within a second. Its owner is overloaded while the others have room,
// and gives keys of that work away without giving all of them.
func TestAnOverloadedOwnerGivesPartOfItsWork(t *testing.T) {
	now := 10 * second
	meter := mtrange.NewMeter(now)
	for key := range mtid.KeyNumber(200) {
		for range 3 {
			meter.Arrive(now, 1000+key, 100*time.Millisecond)
		}
	}
	demand := meter.Demand(now)
	self := mtrange.Standing{Owner: owner(0), Slots: 12, Demand: demand, Service: 100 * time.Millisecond, Keys: 5000, Known: true}
	other := mtrange.Standing{Owner: owner(1), Slots: 12, Demand: 2, Service: 100 * time.Millisecond, Keys: 5000, Known: true}
	gifts := mtrange.Relief(self, []mtrange.Standing{other})
	assert.Equal(t, len(gifts), 1)
	assert.Equal(t, gifts[0].To, owner(1))
	amount := gifts[0].Amount
	assert.Assert(t, amount > 0.4*(demand-2) && amount < 0.6*(demand-2), "amount %.1f of %.1f", amount, demand)
	low, high, ok := mtrange.Cut(now, []mtrange.Range{{Low: 0, High: 4999, Owner: owner(0)}}, meter, amount)
	assert.Assert(t, ok)
	moved := 0.0
	for key := low; ; key++ {
		moved += meter.Of(now, key)
		if key == high {
			break
		}
	}
	assert.Assert(t, moved > 0.8*amount && moved < 1.4*amount, "moved %.1f, amount %.1f", moved, amount)
}

func TestRelief(t *testing.T) {
	standing := func(n int, demand float64, keys int) mtrange.Standing {
		return mtrange.Standing{Owner: owner(n), Slots: 10, Demand: demand, Service: time.Second, Keys: keys, Known: true}
	}
	unknown := standing(1, 0, 100)
	unknown.Known = false
	slow := standing(1, 2, 100)
	slow.Service = 2 * time.Second
	for _, test := range []struct {
		name   string
		self   mtrange.Standing
		others []mtrange.Standing
		want   bool
	}{
		{"nobody else", standing(0, 20, 100), nil, false},
		{"others as loaded", standing(0, 20, 100), []mtrange.Standing{standing(1, 19, 100)}, false},
		{"free slots here", standing(0, 4, 100), []mtrange.Standing{standing(1, 0, 100)}, false},
		{"overloaded", standing(0, 15, 100), []mtrange.Standing{standing(1, 5, 100)}, true},
		{"the other is slow", standing(0, 15, 100), []mtrange.Standing{slow}, true},
		{"nothing is known of the other", standing(0, 15, 100), []mtrange.Standing{unknown}, false},
		{"a newcomer without keys", standing(0, 4, 100), []mtrange.Standing{{Owner: owner(1), Slots: 10}}, true},
	} {
		got := len(mtrange.Relief(test.self, test.others)) > 0
		assert.Equal(t, got, test.want, test.name)
	}
}

// A run of sixty keys gets four tenths of the traffic for a few seconds: eight
// servers' work comes to one owner. Given away to one other server at a time, by
// halves, it would still be uneven when the run cools down again. In one step all
// servers come to one level, the fast ones with more of the work.
func TestAHotRunIsSpreadOverManyServersAtOnce(t *testing.T) {
	now := 10 * second
	meter := mtrange.NewMeter(now)
	for range 12 {
		for key := range mtid.KeyNumber(60) {
			meter.Arrive(now, 3000+key, 200*time.Millisecond)
		}
	}
	self := mtrange.Standing{Owner: owner(0), Slots: 9, Demand: meter.Demand(now), Service: 200 * time.Millisecond, Keys: 5000, Known: true}
	var others []mtrange.Standing
	for n := range 12 {
		service := 200 * time.Millisecond
		if n%2 == 0 {
			service = 330 * time.Millisecond
		}
		others = append(others, mtrange.Standing{Owner: owner(n + 1), Slots: 9, Demand: 3, Service: service, Keys: 5000, Known: true})
	}
	gifts := mtrange.Relief(self, others)
	assert.Equal(t, len(gifts), 8)
	runs := mtrange.CutAll(now, []mtrange.Range{{Low: 0, High: 4999, Owner: owner(0)}}, meter, gifts)
	assert.Assert(t, len(runs) >= 6, "%d runs", len(runs))
	left := self.Demand
	taken := make(map[mtid.KeyNumber]bool)
	for _, r := range runs {
		for key := r.Low; key <= r.High; key++ {
			assert.Assert(t, !taken[key], "key %d goes to two servers", key)
			taken[key] = true
			left -= meter.Of(now, key)
		}
	}
	assert.Assert(t, left < 0.5*self.Demand, "%.1f of %.1f slots are left", left, self.Demand)
}

// All VMs lose power and come back with new lives of their servers, a few at a
// time. Each life is given what the former one beside the same daemon had; were
// the keys spread over those that are up, the first ones would get all of them.
func TestTheNextLifeOfAServerInheritsItsKeys(t *testing.T) {
	table, err := mtrange.Spread("maps", owners(6))
	assert.NilError(t, err)
	next := owner(2)
	next.Life.Started++
	taken, err := table.Take(func(o mtrange.Owner) bool { return o == owner(2) }, []mtrange.Owner{owner(0), next, owner(5)})
	assert.NilError(t, err)
	assert.Equal(t, taken.Keys(next), table.Keys(owner(2)))
	assert.Equal(t, len(taken.Ranges), len(table.Ranges))
}

func TestASingleHotKeyStaysAndTheRestGoes(t *testing.T) {
	now := second
	meter := mtrange.NewMeter(now)
	for range 100 {
		meter.Arrive(now, 500, time.Second)
	}
	meter.Arrive(now, 10, time.Second)
	meter.Arrive(now, 900, time.Second)
	low, high, ok := mtrange.Cut(now, []mtrange.Range{{Low: 0, High: 999}}, meter, 5)
	assert.Assert(t, ok)
	assert.Assert(t, high < 500 || low > 500, "cut %d to %d moves the hot key", low, high)
}

func TestMeterForgets(t *testing.T) {
	meter := mtrange.NewMeter(0)
	meter.Arrive(second, 7, time.Second)
	meter.Arrive(second, 8, time.Second)
	before := meter.Demand(second)
	meter.Forget(second, 7, 7)
	assert.Assert(t, meter.Demand(second) < 0.6*before)
	assert.Equal(t, meter.Of(second, 7), 0.0)
	later := second + mtclock.Instant(20*mtrange.MeterMemory)
	assert.Assert(t, meter.Demand(later) < 1e-6)
	meter.Arrive(later, 9, time.Second)
	assert.Assert(t, meter.Of(later, 9) > 0.3, "precision is lost after long silence")
}

// A server was given a hot run half a second ago. Reported as it was measured, its
// load would seem a quarter of what it is, and every owner would give it more.
func TestKeysThatCameJustNowCountInFull(t *testing.T) {
	meter := mtrange.NewMeter(0)
	now := 60 * second
	meter.Gain(now, 100, 199)
	const gap = 10 * time.Millisecond
	for range 50 {
		now = now.Add(gap)
		meter.Arrive(now, 150, 50*time.Millisecond) // five slots
	}
	assert.Assert(t, meter.Demand(now) > 4 && meter.Demand(now) < 6, "%.1f slots", meter.Demand(now))
	assert.Assert(t, meter.Of(now, 150) > 4 && meter.Of(now, 150) < 6, "%.1f slots", meter.Of(now, 150))
	for range 2000 {
		now = now.Add(gap)
		meter.Arrive(now, 150, 50*time.Millisecond)
	}
	assert.Assert(t, meter.Demand(now) > 4.5 && meter.Demand(now) < 5.5, "%.1f slots", meter.Demand(now))
	meter.Forget(now, 100, 199)
	assert.Assert(t, meter.Demand(now) < 0.1, "%.1f slots", meter.Demand(now))
}

// A server joins forty others, none of which has too much. Each gives it a fortieth
// of its work, which is not worth a move, and it would stand idle for good.
func TestANewcomerAmongManyGetsWork(t *testing.T) {
	var owned []mtrange.Standing
	for n := range 40 {
		owned = append(owned, mtrange.Standing{Owner: owner(n), Slots: 9, Demand: 6, Service: time.Second, Keys: 1600, Known: true})
	}
	newcomer := mtrange.Standing{Owner: owner(40), Slots: 9}
	given := 0.0
	for n, self := range owned {
		others := append([]mtrange.Standing{newcomer}, owned[:n]...)
		for _, g := range mtrange.Relief(self, append(others, owned[n+1:]...)) {
			assert.Equal(t, g.To, newcomer.Owner)
			given += g.Amount
		}
	}
	assert.Assert(t, given >= 2 && given <= 12, "%.1f slots", given)
}
