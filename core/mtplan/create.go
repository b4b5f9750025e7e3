package mtplan

import (
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
	slices.SortFunc(set, compareHolders)
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
	Slots  float64
}

// Lay returns the ops that lay each chunk of a service which begins with that
// many shards in all chunks together. Each chunk gets at least one shard, and
// each server shards in proportion to its slots.
//
// Create alone spreads shards by rendezvous rank, which leaves some of several
// hundred servers with half as many again as others. The moves that even this
// out are part of the step that lays the chunk: nobody has served a key of it
// yet, so there is no owner to ask.
func Lay(shards, chunks int, members []Member) [][]mtshard.Op {
	set := slices.Clone(members)
	slices.SortFunc(set, func(a, b Member) int { return compareHolders(a.Holder, b.Holder) })
	among := make([]mtid.Holder, len(set))
	for i := range set {
		among[i] = set[i].Holder
	}
	each := max(1, (shards+chunks-1)/chunks)
	quota := quotas(set, each*chunks)
	laid := make([][]mtshard.Op, chunks)
	for chunk := range laid {
		create := mtshard.Create{Shards: each, Among: among}
		table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.Stamp{}, create)
		if err != nil {
			return nil
		}
		laid[chunk] = append([]mtshard.Op{create}, even(table, among, quota)...)
	}
	return laid
}

// quotas returns how many of count shards each member takes at most.
func quotas(set []Member, count int) map[mtid.Holder]int {
	total := 0.0
	for _, m := range set {
		total += m.Slots
	}
	quota := make(map[mtid.Holder]int, len(set))
	for _, m := range set {
		quota[m.Holder] = int(math.Ceil(float64(count) * m.Slots / total))
	}
	return quota
}

// even returns moves of the shards that would exceed their owner's quota, each
// to the next in rank that has room, and takes all shards off the quotas.
func even(table *mtshard.Table, among []mtid.Holder, quota map[mtid.Holder]int) []mtshard.Op {
	var ops []mtshard.Op
	for _, s := range table.Shards {
		if quota[s.Owner] > 0 {
			quota[s.Owner]--
			continue
		}
		var open []mtid.Holder
		for _, h := range among {
			if quota[h] > 0 {
				open = append(open, h)
			}
		}
		to := mtshard.Choose(s.Low, open)
		if to.IsZero() {
			continue
		}
		quota[to]--
		ops = append(ops, mtshard.Move{Low: s.Low, To: to})
	}
	return ops
}
