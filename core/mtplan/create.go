package mtplan

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
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

// Lay returns the op that lays one chunk of a service which begins with that
// many shards in all chunks together. Each chunk gets at least one shard.
func Lay(shards, chunks int, serving []mtid.Holder) mtshard.Create {
	among := slices.Clone(serving)
	slices.SortFunc(among, compareHolders)
	return mtshard.Create{Shards: max(1, (shards+chunks-1)/chunks), Among: among}
}
