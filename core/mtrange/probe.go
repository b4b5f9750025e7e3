package mtrange

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtclock"
)

// Parameters of probes.
const (
	// probeBelow is the share of the calls that a rate limit allows below which a server gets
	// too few to report soon that the limit has ended.
	probeBelow = 0.03
	// probeShare is the share of the calls that the limit allows which a server gets after a
	// probe. It has to be far below one, since the measured work of few keys is uncertain, and
	// calls beyond the limit are refused.
	probeShare = 0.3
	// probeTurn is how long one owner is the only one that probes a server.
	probeTurn = 2 * time.Second
	// fewKeysShare is the share of the mean number of keys below which a server without a
	// recent report may have a limit unknown to the owner: its keys may have moved away before
	// any answer to the owner's daemon named the limit.
	fewKeysShare = 0.125
)

// PlanAll returns what the owner offloads because it is overloaded, and its probes.
func PlanAll(now mtclock.Instant, self LoadReport, others []LoadReport) []Offload {
	offloads := PlanOffload(self, others)
	for _, probe := range PlanProbe(now, self, others) {
		if !slices.ContainsFunc(offloads, func(o Offload) bool { return o.To == probe.To }) {
			offloads = append(offloads, probe)
		}
	}
	return offloads
}

// PlanProbe decides which servers with a rate limit the owner offloads a little work to, however
// loaded it is itself. Only an answer to a call ends a limit: a server whose keys have moved away
// would keep its limit, and get no keys, for as long as nobody asks for one of those that it has
// left. It gets less work than the limit allows, so that the probe costs nothing if the limit is
// still in force, and no more than makes both equally loaded. A server whose limit has just ended
// reports all its slots as its capacity, and gets work in the same way: the owners that its keys have
// moved to have room, and would not give them back because of overload.
//
// The owners take turns, so that not all of them probe a server at once. Their clocks differ: on
// average it is the turn of one of them.
func PlanProbe(now mtclock.Instant, self LoadReport, others []LoadReport) []Offload {
	if self.Capacity > 0 {
		return nil
	}
	var offloads []Offload
	for _, o := range others {
		if !o.Known || o.Capacity <= 0 || o.load() >= probeBelow || !isProber(now, self, o, others) {
			continue
		}
		level := min(balancedLoad(self, []LoadReport{o}), probeShare)
		offloads = append(offloads, Offload{To: o.Owner, Amount: o.spareCapacity(self, level)})
	}
	return offloads
}

// ProbeDue reports whether it is the owner's turn to probe a server that had a rate limit when it
// last reported, or that has hardly any keys and no recent report. If so, its load is worth querying.
func ProbeDue(now mtclock.Instant, self LoadReport, others []LoadReport) bool {
	unreported := Unreported(self, others)
	return self.Capacity <= 0 && slices.ContainsFunc(others, func(o LoadReport) bool {
		return (o.Limited || slices.Contains(unreported, o.Owner)) && isProber(now, self, o, others)
	})
}

// Unreported returns the servers that have hardly any keys and no recent report of their load.
func Unreported(self LoadReport, others []LoadReport) []Owner {
	few := fewKeysShare * meanKeys(self, others)
	var unreported []Owner
	for _, o := range others {
		if !o.Known && !o.empty() && float64(o.Keys) < few {
			unreported = append(unreported, o.Owner)
		}
	}
	return unreported
}

// meanKeys returns the mean number of keys of all owners.
func meanKeys(self LoadReport, others []LoadReport) float64 {
	sum := self.Keys
	for _, o := range others {
		sum += o.Keys
	}
	return float64(sum) / float64(len(others)+1)
}

// isProber reports whether it is the owner's turn among all owners to probe the server.
func isProber(now mtclock.Instant, self, server LoadReport, others []LoadReport) bool {
	own := probeDraw(now, self.Owner, server.Owner)
	return !slices.ContainsFunc(others, func(o LoadReport) bool {
		return o.Owner != server.Owner && !o.empty() && !o.Limited && probeDraw(now, o.Owner, server.Owner) > own
	})
}

// probeDraw returns a pseudo-random number for an owner and a server, which changes with each
// turn.
func probeDraw(now mtclock.Instant, owner, server Owner) float64 {
	turn := strconv.FormatInt(int64(now)/int64(probeTurn), 10)
	sum := xxhash.Sum64String(owner.Incarnation.String() + "\x00" + server.Incarnation.String() + "\x00" + turn)
	return float64(sum) / math.MaxUint64
}
