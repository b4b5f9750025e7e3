package mtplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

// Bounds of the wait before a first table is laid.
const (
	// SettleTime is how long the set of servers must have stayed the same. A
	// fleet that starts announces itself over a second or two, and a table
	// laid for the first server alone would have to be moved apart again.
	SettleTime = time.Second
	// SettleLimit is when the table is laid in any case, so that servers that
	// keep joining can't put the service off for ever.
	SettleLimit = 4 * time.Second
)

// Creation decides when and how the chunks of a new keyed service are laid. The
// zero value is ready. It is not safe for concurrent use.
type Creation struct {
	seen    []mtid.Holder
	first   mtclock.Instant
	changed mtclock.Instant
	begun   bool
}

// Ready reports whether the servers have settled by now. It is called with the
// present serving holders, in any order, as long as the table does not exist.
func (c *Creation) Ready(now mtclock.Instant, serving []mtid.Holder) bool {
	if len(serving) == 0 {
		*c = Creation{}
		return false
	}
	set := slices.Clone(serving)
	slices.SortFunc(set, mtid.Holder.Compare)
	if !c.begun {
		c.begun = true
		c.first = now
	}
	if !slices.Equal(set, c.seen) {
		c.seen = set
		c.changed = now
	}
	if now.Sub(c.first) >= SettleLimit {
		return true
	}
	return now.Sub(c.changed) >= SettleTime
}

// Member is a server that a new table is laid over.
type Member struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  float64
}

// Lay returns the ops that lay each chunk of a service which begins with that
// many shards in all chunks together. Each chunk gets at least one shard, and
// each server shards in proportion to its slots.
//
// A server's shards lie in as few chunks as can be: the servers stand in a row,
// the zones taking turns, each as wide as its slots, and a chunk is laid over
// those that stand in its part of the row. The loss of a server or a hot key on
// it then touches one or two chunks of a large table, not as many as the server
// has shards.
//
// Create spreads a chunk by rendezvous rank, which is uneven. The moves that
// even it out are part of the step that lays the chunk: nobody has served a key
// of it yet, so there is no owner to ask.
func Lay(shards, chunks int, members []Member) [][]mtshard.Op {
	row := lineUp(members)
	total := 0.0
	for _, m := range row {
		total += m.Slots
	}
	each := max(1, (shards+chunks-1)/chunks)
	laid := make([][]mtshard.Op, chunks)
	for chunk := range laid {
		from := total * float64(chunk) / float64(chunks)
		to := total * float64(chunk+1) / float64(chunks)
		among, quota := share(row, from, to, each)
		create := mtshard.Create{Shards: each, Holders: among}
		table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.Stamp{}, create)
		if err != nil {
			return nil
		}
		laid[chunk] = append([]mtshard.Op{create}, even(table, among, quota)...)
	}
	return laid
}

// lineUp returns the members with the zones taking turns.
func lineUp(members []Member) []Member {
	set := slices.Clone(members)
	slices.SortFunc(set, func(a, b Member) int { return a.Holder.Compare(b.Holder) })
	turns := make(map[mtid.Zone]int)
	turn := make(map[mtid.Holder]int, len(set))
	for _, m := range set {
		turn[m.Holder] = turns[m.Zone]
		turns[m.Zone]++
	}
	slices.SortStableFunc(set, func(a, b Member) int { return cmp.Compare(turn[a.Holder], turn[b.Holder]) })
	return set
}

// share returns the members that stand between from and to in the row, and how
// many of count shards each of them takes. Shares are rounded along the row, so
// that they add up to count.
func share(row []Member, from, to float64, count int) ([]mtid.Holder, map[mtid.Holder]int) {
	var among []mtid.Holder
	quota := make(map[mtid.Holder]int)
	perSlot := float64(count) / (to - from)
	at, given := 0.0, 0
	for i, m := range row {
		end := at + m.Slots
		if low, high := max(at, from), min(end, to); high > low || (i+1 == len(row) && len(among) == 0) {
			until := int(math.Round((high - from) * perSlot))
			if until > given {
				among = append(among, m.Holder)
				quota[m.Holder] = until - given
				given = until
			}
		}
		at = end
	}
	return among, quota
}

// even returns moves of the shards that exceed their owner's quota, each to the
// first in rank that has room.
func even(table *mtshard.Table, among []mtid.Holder, quota map[mtid.Holder]int) []mtshard.Op {
	var ops []mtshard.Op
	var over []mtid.Point
	for _, s := range table.Shards {
		if quota[s.Owner] == 0 {
			over = append(over, s.Low)
			continue
		}
		quota[s.Owner]--
	}
	for _, low := range over {
		open := slices.DeleteFunc(slices.Clone(among), func(h mtid.Holder) bool { return quota[h] == 0 })
		to := mtshard.Choose(low, open)
		if to.IsZero() {
			continue
		}
		quota[to]--
		ops = append(ops, mtshard.Move{Low: low, To: to})
	}
	return ops
}
