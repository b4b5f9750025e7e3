package mtload

import (
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
)

// Bounds of the comparison of claims.
const (
	// testWait is how long a new owner's meter is given to see a shard's load,
	// and testAge how old the former owner's claim may be.
	testWait = 10 * time.Second
	testAge  = 90 * time.Second
	// testLoad is the load in slots below which claims differ by chance.
	testLoad = 0.03
	// kept is how many comparisons are kept for a server, needed how many make
	// a verdict.
	kept   = 15
	needed = 5
	// honest is how far the middle one of a server's comparisons may be off,
	// as a factor, before its reports are corrected.
	honest = 1.4
)

// audit compares what successive owners of the same shard say of its load. A
// server whose measure is wrong by some factor disagrees with most of those it
// exchanges shards with, and a truthful one only with that server: so the
// middle one of a server's comparisons tells which of the two is off. A key
// that cools while it moves spoils single comparisons only.
type audit map[mtid.Holder][]float64

// add notes that before claimed load a for a shard, and after claimed b. Both
// are corrected already, so what is kept is the factor that would still be
// needed.
func (a audit) add(before, after mtid.Holder, was, is float64) {
	ratio := math.Log(was / max(is, testLoad/10))
	a.push(after, ratio+math.Log(a.factor(after)))
	a.push(before, -ratio+math.Log(a.factor(before)))
}

func (a audit) push(holder mtid.Holder, value float64) {
	values := append(a[holder], value)
	if len(values) > kept {
		values = values[1:]
	}
	a[holder] = values
}

// factor returns what a server's reports are multiplied by.
func (a audit) factor(holder mtid.Holder) float64 {
	values := a[holder]
	if len(values) < needed {
		return 1
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := sorted[len(sorted)/2]
	if math.Abs(middle) < math.Log(honest) {
		return 1
	}
	return math.Exp(middle)
}
