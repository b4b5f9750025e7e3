package mtrange

import (
	"cmp"
	"math"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// spillPieces is in how many pieces a server's work is given away at most: each is a
// release, a grant and a range of the assignment.
const spillPieces = 6

// Turn is the place of a server among those that give their keys away at the same time.
type Turn struct{ Place, Of int }

// Spill gives all keys of a server to others, the hottest run first. It answers the
// pattern of a whole zone whose keys leave within a second or two: whole ranges would
// double the work of whoever gets one. So the keys are cut into runs of about equal work.
//
// All servers of the zone do so at once, by figures that don't show each other's gifts:
// were the least loaded chosen, all would choose the same few. So they deal their runs in
// turn, around the circle of all takers. Those that are overloaded are left out, unless
// most are.
func Spill(now mtclock.Instant, ranges []Range, meter *Meter, turn Turn, others []Standing) []Run {
	takers := circle(others)
	if len(takers) == 0 {
		return nil
	}
	pieces := cutEqual(now, ranges, meter, min(spillPieces, len(takers)))
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.work, a.work) })
	runs := make([]Run, len(pieces))
	for i, p := range pieces {
		at := turn.Place + i*max(turn.Of, 1)
		// Each round begins one further on: where the givers divide the takers evenly, each
		// would meet the same few in all rounds.
		at += at / len(takers)
		runs[i] = Run{Low: p.low, High: p.high, To: takers[at%len(takers)].Owner}
	}
	return runs
}

// circle returns the takers in an order that all who give share.
func circle(others []Standing) []Standing {
	takers := slices.DeleteFunc(slices.Clone(others), func(s Standing) bool { return s.Known && s.Overloaded() })
	if len(takers)*2 < len(others) {
		takers = slices.Clone(others)
	}
	slices.SortFunc(takers, func(a, b Standing) int { return a.Owner.Compare(b.Owner) })
	return takers
}

// piece is a run of keys with its work, in slots.
type piece struct {
	low, high mtid.KeyNumber
	work      float64
}

// cutEqual cuts ranges into runs of about equal work, as many as given or one for each
// range, if these are more.
func cutEqual(now mtclock.Instant, ranges []Range, meter *Meter, most int) []piece {
	total := 0.0
	for _, r := range ranges {
		for key := int(r.Low); key <= int(r.High); key++ {
			total += meter.Of(now, mtid.KeyNumber(key))
		}
	}
	count := min(most, int(math.Ceil(total/leastGift)))
	share := math.Inf(1)
	if count > 1 {
		share = total / float64(count)
	}
	var pieces []piece
	for _, r := range ranges {
		pieces = append(pieces, cutRange(now, r, meter, share)...)
	}
	return pieces
}

// cutRange cuts one range into runs that have about a share of the work each.
func cutRange(now mtclock.Instant, r Range, meter *Meter, share float64) []piece {
	var pieces []piece
	p := piece{low: r.Low}
	for key := int(r.Low); key <= int(r.High); key++ {
		p.work += meter.Of(now, mtid.KeyNumber(key))
		p.high = mtid.KeyNumber(key)
		if p.work >= share && key < int(r.High) {
			pieces = append(pieces, p)
			p = piece{low: p.high + 1}
		}
	}
	return append(pieces, p)
}
