package mtload

import (
	"maps"
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
	// testLoad is the load in slots below which claims differ by chance, and
	// testLimit the one above which a shard may owe it to a key that cools.
	testLoad  = 0.03
	testLimit = 0.5
	// kept is how many comparisons are kept for a server, needed how many make
	// a verdict.
	kept   = 15
	needed = 5
	// honest is how far the middle one of a server's comparisons may be off,
	// as a factor, before its reports are corrected, and maxFactor the most
	// that they are corrected by.
	honest    = 1.5
	maxFactor = 5
)

// audit compares what successive owners of the same shard say of its load. A
// server whose measure is wrong by some factor disagrees with most of those it
// exchanges shards with, and a truthful one only with that server: so the
// middle one of a server's comparisons tells which of the two is off. What is
// off is told from the middle one of all servers, since comparisons alone fix
// no common scale.
type audit struct {
	values  map[mtid.Holder][]float64 // logarithms of the factors needed
	middles map[mtid.Holder]float64   // of those with enough values
	base    float64
}

func newAudit() audit {
	return audit{values: make(map[mtid.Holder][]float64), middles: make(map[mtid.Holder]float64)}
}

// add notes that before claimed load was for a shard, and after then claimed
// is. Both are corrected already, so what is kept is the factor that would
// still be needed on top.
func (a *audit) add(before, after mtid.Holder, was, is float64) {
	ratio := math.Log(was / max(is, testLoad/maxFactor))
	toAfter := ratio + math.Log(a.factor(after))
	toBefore := -ratio + math.Log(a.factor(before))
	a.push(after, toAfter)
	a.push(before, toBefore)
	a.base = middle(slices.Collect(maps.Values(a.middles)))
}

func (a *audit) push(holder mtid.Holder, value float64) {
	values := append(a.values[holder], value)
	if len(values) > kept {
		values = values[1:]
	}
	a.values[holder] = values
	if len(values) >= needed {
		a.middles[holder] = middle(values)
	}
}

// forget drops what is known of a server.
func (a *audit) forget(holder mtid.Holder) {
	delete(a.values, holder)
	delete(a.middles, holder)
}

// middle returns the lower median, or 0 for no values.
func middle(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}

// factor returns what a server's reports are multiplied by.
func (a *audit) factor(holder mtid.Holder) float64 {
	value, ok := a.middles[holder]
	if !ok || math.Abs(value-a.base) < math.Log(honest) {
		return 1
	}
	return min(max(math.Exp(value-a.base), 1.0/maxFactor), maxFactor)
}
