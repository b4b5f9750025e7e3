package mtplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

func holder(name mtid.Daemon) mtid.Holder { return mtid.Holder{Daemon: name, Incarnation: 1} }

// Six servers start one after another. A table created for the first one alone
// gives it every key, and five sixths of them must move at once when the others
// join. The table must wait until the set of servers settles, but not
// indefinitely.
func TestLayoutWaitsUntilServersSettle(t *testing.T) {
	a, b, c := holder("a"), holder("b"), holder("c")
	tests := []struct {
		name string
		sets [][]mtid.Holder // one every half second
		want []bool
	}{
		{"settled", [][]mtid.Holder{{a, b}, {b, a}, {a, b}}, []bool{false, false, true}},
		{"joined during the wait", [][]mtid.Holder{{a}, {a, b}, {a, b}, {a, b}}, []bool{false, false, false, true}},
		{"none", [][]mtid.Holder{{}, {}, {}, {}}, []bool{false, false, false, false}},
		{"all lost and available again", [][]mtid.Holder{{a}, {a}, {}, {a}, {a}, {a}}, []bool{false, false, false, false, false, true}},
		{
			"never settles",
			[][]mtid.Holder{{a}, {b}, {c}, {a}, {b}, {c}, {a}, {b}, {c}},
			[]bool{false, false, false, false, false, false, false, false, true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var detector mtplan.SettleDetector
			var now mtclock.Instant
			for i, set := range tt.sets {
				got := detector.Ready(now, set)
				assert.Equal(t, got, tt.want[i], "at step %d", i)
				now = now.Add(500 * time.Millisecond)
			}
		})
	}
}

// With rendezvous rank alone, some of many servers get 1.5 times as many shards
// as others, and a service that starts under load stays unbalanced until dozens
// of moves are done. Each server must start with its share.
func TestInitialLayoutIsProportionalToSlots(t *testing.T) {
	tests := []struct {
		name           string
		shards, chunks int
		slots          []float64
	}{
		{"one server", 8, 2, []float64{12}},
		{"equal slots", 600, 4, []float64{12, 12, 12, 12, 12, 12}},
		{"three sizes", 600, 4, []float64{6, 12, 18}},
		{"more servers than shards", 2, 2, []float64{9, 9, 9, 9, 9}},
		{"fewer shards than chunks", 2, 8, []float64{9, 9}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var members []mtplan.Member
			total := 0.0
			for i, slots := range tt.slots {
				members = append(members, mtplan.Member{Holder: holder(mtid.Daemon(rune('a' + i))), Slots: slots})
				total += slots
			}
			layout := mtplan.InitialLayout(tt.shards, tt.chunks, members)
			assert.Equal(t, len(layout), tt.chunks)
			counts := make(map[mtid.Holder]int)
			all := 0
			for chunk, ops := range layout {
				table, err := mtshard.New(mtid.Ref{}, chunk, tt.chunks).Apply(mtroster.WriteID{}, ops...)
				assert.NilError(t, err)
				assert.Assert(t, len(table.Shards) > 0)
				all += len(table.Shards)
				for _, s := range table.Shards {
					counts[s.Owner]++
				}
			}
			assert.Assert(t, all >= tt.shards)
			for _, m := range members {
				share := float64(all) * m.Slots / total
				assert.Assert(t, float64(counts[m.Holder]) < share+1, "%v has %d shards, its share is %.1f", m.Holder, counts[m.Holder], share)
			}
		})
	}
}
