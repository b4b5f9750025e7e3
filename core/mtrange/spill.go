package mtrange

import (
	"cmp"
	"math"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// spillPieces limits the number of pieces that the work of a server is cut into; each
// of its ranges may add one. A piece costs a release, a grant and a range of the
// assignment.
const spillPieces = 6

// SpillPosition is the index of a server among those that spill their keys at the same
// time, with their total number.
type SpillPosition struct{ Index, Total int }

// Spill distributes all keys of a server over others, the hottest run first. It is
// used when a whole zone goes out of service and all its keys move within a second
// or two. Moving whole ranges would double the work of each receiver, so the keys
// are cut into runs of about equal work.
//
// All servers of the zone do this at the same time, with load reports that do not
// include each other's moves yet: if each chose the least loaded receivers, all
// would choose the same few. So they assign their runs round-robin, in an order of
// the receivers that they share. Overloaded receivers are left out, unless most are
// overloaded.
func Spill(now mtclock.Instant, ranges []Range, meter *Meter, position SpillPosition, others []LoadReport) []KeyMove {
	receivers := receiverOrder(others)
	if len(receivers) == 0 {
		return nil
	}
	pieces := cutEqual(now, ranges, meter, min(spillPieces, len(receivers)))
	slices.SortStableFunc(pieces, func(a, b piece) int { return cmp.Compare(b.work, a.work) })
	runs := make([]KeyMove, len(pieces))
	for i, p := range pieces {
		at := position.Index + i*max(position.Total, 1)
		// Each round is shifted by one. Otherwise, if the number of spilling servers
		// divides the number of receivers, each server would reach the same few
		// receivers in every round.
		at += at / len(receivers)
		runs[i] = KeyMove{Low: p.low, High: p.high, To: receivers[at%len(receivers)].Owner}
	}
	return runs
}

// receiverOrder returns the receivers in the order that all spilling servers share.
func receiverOrder(others []LoadReport) []LoadReport {
	receivers := slices.DeleteFunc(slices.Clone(others), func(s LoadReport) bool { return s.Known && s.Overloaded() })
	if len(receivers)*2 < len(others) {
		receivers = slices.Clone(others)
	}
	slices.SortFunc(receivers, func(a, b LoadReport) int { return a.Owner.Compare(b.Owner) })
	return receivers
}

// piece is a run of adjacent keys with its work, in slots.
type piece struct {
	low, high mtid.KeyNumber
	work      float64
}

// cutEqual cuts ranges into about limit runs of about equal work, at least one for
// each range.
func cutEqual(now mtclock.Instant, ranges []Range, meter *Meter, limit int) []piece {
	total := 0.0
	for _, r := range ranges {
		for key := int(r.Low); key <= int(r.High); key++ {
			total += meter.KeyDemand(now, mtid.KeyNumber(key))
		}
	}
	count := min(limit, int(math.Ceil(total/minOffload)))
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

// cutRange cuts one range into runs with about the given share of the work each.
func cutRange(now mtclock.Instant, r Range, meter *Meter, share float64) []piece {
	var pieces []piece
	p := piece{low: r.Low}
	for key := int(r.Low); key <= int(r.High); key++ {
		p.work += meter.KeyDemand(now, mtid.KeyNumber(key))
		p.high = mtid.KeyNumber(key)
		if p.work >= share && key < int(r.High) {
			pieces = append(pieces, p)
			p = piece{low: p.high + 1}
		}
	}
	return append(pieces, p)
}
