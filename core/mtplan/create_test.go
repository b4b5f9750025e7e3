package mtplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtplan"
)

func holder(name mtid.Daemon) mtid.Holder { return mtid.Holder{Daemon: name, Incarnation: 1} }

// Six servers start one after another. A table laid for the first one alone
// gives it every key, and five sixths of them have to move at once when the
// others come; so the table waits until the set has settled, but not for ever.
func TestCreationWaitsForServers(t *testing.T) {
	a, b, c := holder("a"), holder("b"), holder("c")
	tests := []struct {
		name string
		sets [][]mtid.Holder // one each half second
		want []bool
	}{
		{"settled", [][]mtid.Holder{{a, b}, {b, a}, {a, b}}, []bool{false, false, true}},
		{"joined meanwhile", [][]mtid.Holder{{a}, {a, b}, {a, b}, {a, b}}, []bool{false, false, false, true}},
		{"none", [][]mtid.Holder{{}, {}, {}, {}}, []bool{false, false, false, false}},
		{"all lost and back", [][]mtid.Holder{{a}, {a}, {}, {a}, {a}, {a}}, []bool{false, false, false, false, false, true}},
		{
			"never settles",
			[][]mtid.Holder{{a}, {b}, {c}, {a}, {b}, {c}, {a}, {b}, {c}},
			[]bool{false, false, false, false, false, false, false, false, true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var creation mtplan.Creation
			var now mtclock.Instant
			for i, set := range tt.sets {
				got := creation.Ready(now, set)
				assert.Equal(t, got, tt.want[i], "at step %d", i)
				now = now.Add(500 * time.Millisecond)
			}
		})
	}
}

func TestLayGivesEachChunkAShard(t *testing.T) {
	got := mtplan.Lay(2, 8, []mtid.Holder{holder("b"), holder("a")})
	assert.Equal(t, got.Shards, 1)
	assert.DeepEqual(t, got.Among, []mtid.Holder{holder("a"), holder("b")})
}
