package mtrange_test

import (
	"errors"
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
	return mtrange.Owner{Daemon: mtid.Daemon("d" + strconv.Itoa(n)), Server: mtid.Server("s" + strconv.Itoa(n))}
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
		next, err := table.Move(mtid.Number(low), mtid.Number(high), to, "warm")
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
	for _, r := range after.Ranges {
		for _, key := range []mtid.Number{r.Low, r.High} {
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

func TestDecodeRefusesWhatWouldLeaveKeysOrShareThem(t *testing.T) {
	for name, text := range map[string]string{
		"gap":            `{"service":"m","next":3,"ranges":[{"low":0,"high":9,"epoch":1},{"low":11,"high":65535,"epoch":2}]}`,
		"overlap":        `{"service":"m","next":3,"ranges":[{"low":0,"high":9,"epoch":1},{"low":9,"high":65535,"epoch":2}]}`,
		"end missing":    `{"service":"m","next":3,"ranges":[{"low":0,"high":65534,"epoch":1}]}`,
		"epoch to come":  `{"service":"m","next":1,"ranges":[{"low":0,"high":65535,"epoch":1}]}`,
		"no ranges":      `{"service":"m","next":1}`,
		"not an object":  `[]`,
		"key out of 16b": `{"service":"m","next":3,"ranges":[{"low":0,"high":65536,"epoch":1}]}`,
	} {
		_, err := mtrange.Decode([]byte(text))
		var want *mtrange.DecodeError
		assert.Assert(t, errors.As(err, &want), name)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"service":"m","next":2,"ranges":[{"low":0,"high":65535,"owner":{"daemon":"d","server":"s"},"epoch":1}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		table, err := mtrange.Decode(value)
		if err != nil {
			return
		}
		for _, key := range []mtid.Number{0, 1, 4096, mtid.LastNumber} {
			if _, ok := table.Lookup(key); !ok {
				t.Fatalf("key %d has no owner", key)
			}
		}
	})
}

const second = mtclock.Instant(time.Second)

// A wing of a hotel wakes up: one run of neighbouring keys gets most of the
// requests within a second. Its owner is overloaded while the others have room,
// and gives keys of that work away without giving all of them.
func TestAnOverloadedOwnerGivesPartOfItsWork(t *testing.T) {
	now := 10 * second
	meter := mtrange.NewMeter(now)
	for key := range mtid.Number(200) {
		for range 3 {
			meter.Arrive(now, 1000+key, 100*time.Millisecond)
		}
	}
	demand := meter.Demand(now)
	self := mtrange.Standing{Owner: owner(0), Slots: 12, Demand: demand, Service: 100 * time.Millisecond, Keys: 5000, Known: true}
	other := mtrange.Standing{Owner: owner(1), Slots: 12, Demand: 2, Service: 100 * time.Millisecond, Keys: 5000, Known: true}
	to, amount, ok := mtrange.Relief(self, []mtrange.Standing{other})
	assert.Assert(t, ok)
	assert.Equal(t, to, owner(1))
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
		_, _, got := mtrange.Relief(test.self, test.others)
		assert.Equal(t, got, test.want, test.name)
	}
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
