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

// Bounds of the wait before the first table of a service is created.
const (
	// SettleTime is how long the set of servers must have stayed the same. The
	// servers of a starting fleet register over a second or two, and a table
	// created for the first server alone would have to be redistributed.
	SettleTime = time.Second
	// SettleLimit is when the table is created in any case, so that servers
	// that keep joining cannot delay the service indefinitely.
	SettleLimit = 4 * time.Second
)

// SettleDetector decides when the set of servers of a new keyed service has
// settled, so that its chunks can be created. The zero value is ready to use.
// It is not safe for concurrent use.
type SettleDetector struct {
	seen    []mtid.Holder
	first   mtclock.Instant
	changed mtclock.Instant
	begun   bool
}

// Ready reports whether the set of servers has settled by now. The caller
// passes the current serving holders, in any order, as long as the table does
// not exist.
func (d *SettleDetector) Ready(now mtclock.Instant, serving []mtid.Holder) bool {
	if len(serving) == 0 {
		*d = SettleDetector{}
		return false
	}
	set := slices.Clone(serving)
	slices.SortFunc(set, mtid.Holder.Compare)
	if !d.begun {
		d.begun = true
		d.first = now
	}
	if !slices.Equal(set, d.seen) {
		d.seen = set
		d.changed = now
	}
	if now.Sub(d.first) >= SettleLimit {
		return true
	}
	return now.Sub(d.changed) >= SettleTime
}

// Member is a server among those that share a new table.
type Member struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Slots  float64
}

// InitialLayout returns, for each chunk, the ops that create it. shards is the
// initial number of shards of the service over all chunks. Each chunk gets at
// least one shard, and each server a number of shards in proportion to its
// slots.
//
// The shards of a server lie in as few chunks as possible. The servers are
// lined up with alternating zones, each as wide as its slots, and a chunk is
// divided among the servers in its section of the line. The loss of a server,
// or a hot key on it, then affects one or two chunks of a large table rather
// than as many as the server has shards.
//
// Create distributes a chunk by rendezvous rank, which is uneven. The moves
// that even it out are part of the same write that creates the chunk: no server
// has served any of its keys yet, so there is nothing to hand over.
func InitialLayout(shards, chunks int, members []Member) [][]mtshard.Op {
	line := interleaveZones(members)
	total := 0.0
	for _, m := range line {
		total += m.Slots
	}
	each := max(1, (shards+chunks-1)/chunks)
	layout := make([][]mtshard.Op, chunks)
	for chunk := range layout {
		from := total * float64(chunk) / float64(chunks)
		to := total * float64(chunk+1) / float64(chunks)
		among, quota := section(line, from, to, each)
		create := mtshard.Create{Shards: each, Holders: among}
		table, err := mtshard.New(mtid.Ref{}, chunk, chunks).Apply(mtroster.WriteID{}, create)
		if err != nil {
			return nil
		}
		layout[chunk] = append([]mtshard.Op{create}, rebalance(table, among, quota)...)
	}
	return layout
}

// interleaveZones returns the members ordered so that the zones alternate.
func interleaveZones(members []Member) []Member {
	set := slices.Clone(members)
	slices.SortFunc(set, func(a, b Member) int { return a.Holder.Compare(b.Holder) })
	zoneCounts := make(map[mtid.Zone]int)
	rankInZone := make(map[mtid.Holder]int, len(set))
	for _, m := range set {
		rankInZone[m.Holder] = zoneCounts[m.Zone]
		zoneCounts[m.Zone]++
	}
	slices.SortStableFunc(set, func(a, b Member) int { return cmp.Compare(rankInZone[a.Holder], rankInZone[b.Holder]) })
	return set
}

// section returns the members between from and to in the line, and how many of
// count shards each of them gets. Rounding is cumulative along the line, so
// that the shares add up to count.
func section(line []Member, from, to float64, count int) ([]mtid.Holder, map[mtid.Holder]int) {
	var among []mtid.Holder
	quota := make(map[mtid.Holder]int)
	perSlot := float64(count) / (to - from)
	at, assigned := 0.0, 0
	for i, m := range line {
		end := at + m.Slots
		if low, high := max(at, from), min(end, to); high > low || (i+1 == len(line) && len(among) == 0) {
			until := int(math.Round((high - from) * perSlot))
			if until > assigned {
				among = append(among, m.Holder)
				quota[m.Holder] = until - assigned
				assigned = until
			}
		}
		at = end
	}
	return among, quota
}

// rebalance returns moves for the shards that exceed the quota of their owner.
// Each goes to the server with the highest rendezvous rank among those below
// their quota.
func rebalance(table *mtshard.Table, among []mtid.Holder, quota map[mtid.Holder]int) []mtshard.Op {
	var ops []mtshard.Op
	var surplus []mtid.Point
	for _, s := range table.Shards {
		if quota[s.Owner] == 0 {
			surplus = append(surplus, s.Low)
			continue
		}
		quota[s.Owner]--
	}
	for _, low := range surplus {
		available := slices.DeleteFunc(slices.Clone(among), func(h mtid.Holder) bool { return quota[h] == 0 })
		to := mtshard.Choose(low, available)
		if to.IsZero() {
			continue
		}
		quota[to]--
		ops = append(ops, mtshard.Move{Low: low, To: to})
	}
	return ops
}
