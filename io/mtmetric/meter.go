package mtmetric

import (
	"math"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// ServiceStats holds the balance, churn and unavailability of the keys of one
// service, computed from this daemon's copy of the live state. A share of keys is
// measured as a share of the service's ring, since keys are hashed onto the ring.
type ServiceStats struct {
	Owners int `json:"owners"` // holders that own a shard
	Shards int `json:"shards"`
	// KeyImbalance is the largest share of the keys of any owner, divided by the
	// mean; 1 is perfectly even.
	KeyImbalance float64 `json:"keyImbalance"`
	// LoadImbalance is the highest load divided by the mean, over the owners
	// whose load is known; 0 if none is.
	LoadImbalance float64 `json:"loadImbalance"`
	// Churn is the share of the keys that changed owner, summed over all changes
	// since the start.
	Churn float64 `json:"churn"`
	// Unavailable is the time without a live owner since the start, averaged over
	// all keys.
	Unavailable time.Duration `json:"unavailableNs"`
	// Orphaned is the share of the keys whose owner is not live at present.
	Orphaned float64 `json:"orphaned"`
}

// Meter computes the statistics of one service. Observe is called by one
// background task; Stats may be called from any goroutine.
type Meter struct {
	mu      sync.Mutex
	stats   ServiceStats
	last    mtclock.Instant
	started bool
	chunks  map[int]*chunkView
}

// chunkView caches the shares computed from one version of a chunk, so that an
// unchanged chunk is not processed again.
type chunkView struct {
	table  *mtshard.Table
	shares map[mtid.Holder]float64
}

// NewMeter returns a meter without observations.
func NewMeter() *Meter { return &Meter{chunks: make(map[int]*chunkView)} }

// Observe updates the statistics from the current assignment. It is called about
// once a second. live reports whether a holder may serve; load returns a holder's
// load and whether it is known. tables holds the service's chunks; nil chunks are
// skipped.
func (m *Meter) Observe(now mtclock.Instant, tables []*mtshard.Table, live func(mtid.Holder) bool, load func(mtid.Holder) (float64, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Assume that keys orphaned at the previous observation remained so until now.
	if m.started {
		m.stats.Unavailable += time.Duration(m.stats.Orphaned * float64(now.Sub(m.last)))
	}
	m.started, m.last = true, now
	m.stats.Shards = 0
	shares := make(map[mtid.Holder]float64)
	for _, table := range tables {
		if table == nil {
			continue
		}
		m.stats.Shards += len(table.Shards)
		for holder, share := range m.chunk(table).shares {
			shares[holder] += share
		}
	}
	m.stats.Owners = len(shares)
	m.stats.KeyImbalance = imbalance(shares)
	m.stats.LoadImbalance = imbalance(loads(shares, load))
	m.stats.Orphaned = 0
	for holder, share := range shares {
		if !live(holder) {
			m.stats.Orphaned += share
		}
	}
}

// chunk returns the cached view of a chunk. If the version is new, it computes
// the view and adds the churn since the previous version.
func (m *Meter) chunk(table *mtshard.Table) *chunkView {
	before := m.chunks[table.Chunk]
	if before != nil && before.table.Version == table.Version && before.table.Chunks == table.Chunks {
		return before
	}
	view := &chunkView{table: table, shares: make(map[mtid.Holder]float64)}
	for _, part := range overlay(table, table) {
		view.shares[part.now] += part.share
	}
	if before != nil && before.table.Chunks == table.Chunks {
		for _, part := range overlay(before.table, table) {
			if part.before != part.now {
				m.stats.Churn += part.share
			}
		}
	}
	m.chunks[table.Chunk] = view
	return view
}

// part is a range of the ring that has a single owner in both versions of a
// chunk.
type part struct {
	before, now mtid.Holder
	share       float64
}

// overlay splits a chunk at the shard boundaries of both versions and returns the
// owners of each part.
func overlay(before, now *mtshard.Table) []part {
	var parts []part
	low := mtshard.ChunkLow(now.Chunk, now.Chunks)
	for i, j := 0, 0; i < len(before.Shards) && j < len(now.Shards); {
		highBefore, highNow := high(before, i), high(now, j)
		end := min(highBefore, highNow)
		parts = append(parts, part{
			before: before.Shards[i].Owner,
			now:    now.Shards[j].Owner,
			share:  (float64(end-low) + 1) / math.Exp2(64),
		})
		if highBefore == end {
			i++
		}
		if highNow == end {
			j++
		}
		low = end + 1
	}
	return parts
}

// high returns the last point of shard i.
func high(t *mtshard.Table, i int) mtid.Point {
	if i+1 < len(t.Shards) {
		return t.Shards[i+1].Low - 1
	}
	if t.Chunk+1 < t.Chunks {
		return mtshard.ChunkLow(t.Chunk+1, t.Chunks) - 1
	}
	return ^mtid.Point(0)
}

func loads(shares map[mtid.Holder]float64, load func(mtid.Holder) (float64, bool)) map[mtid.Holder]float64 {
	out := make(map[mtid.Holder]float64)
	for holder := range shares {
		if v, ok := load(holder); ok {
			out[holder] = v
		}
	}
	return out
}

// imbalance returns the largest value divided by the mean, or 0 if the sum is 0.
func imbalance(values map[mtid.Holder]float64) float64 {
	var sum, largest float64
	for _, v := range values {
		sum += v
		largest = max(largest, v)
	}
	if sum == 0 {
		return 0
	}
	return largest / (sum / float64(len(values)))
}

// Stats returns the statistics as of the last call of Observe.
func (m *Meter) Stats() ServiceStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}
