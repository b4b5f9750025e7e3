package mtmetric

import (
	"math"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtshard"
)

// Figures are the three figures that businesses go by, live for one service as
// this daemon sees it. Shares are of the service's ring, and so of its keys,
// since keys are spread over the ring by hash.
type Figures struct {
	Owners int `json:"owners"` // holders that own a shard
	Shards int `json:"shards"`
	// KeyImbalance is the largest owner's share of the keys over the mean; 1
	// is even.
	KeyImbalance float64 `json:"keyImbalance"`
	// LoadImbalance is the same for the load, over the owners whose load is
	// known; 0 if none is.
	LoadImbalance float64 `json:"loadImbalance"`
	// Churn is the share of the keys that changed owner since the start, summed
	// over all changes.
	Churn float64 `json:"churn"`
	// Unavailable is how long the average key had no live owner since the
	// start.
	Unavailable time.Duration `json:"unavailableNs"`
	// Orphaned is the share of the keys whose owner is not live now.
	Orphaned float64 `json:"orphaned"`
}

// Meter keeps the figures of one service. One duty calls Observe, any may call
// Figures.
type Meter struct {
	mu     sync.Mutex
	now    Figures
	last   mtclock.Instant
	begun  bool
	chunks map[int]*chunkView
}

// chunkView is what was made of one version of a chunk, so that an unchanged
// chunk costs nothing.
type chunkView struct {
	table  *mtshard.Table
	shares map[mtid.Holder]float64
}

// NewMeter returns a meter that has seen nothing.
func NewMeter() *Meter { return &Meter{chunks: make(map[int]*chunkView)} }

// Observe takes in the present assignment. It is called about once a second.
// live reports whether a holder may serve; load returns a holder's load and
// whether it is known. tables holds the service's chunks; nil ones are skipped.
func (m *Meter) Observe(now mtclock.Instant, tables []*mtshard.Table, live func(mtid.Holder) bool, load func(mtid.Holder) (float64, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// What was orphaned at the last look stayed so until this one.
	if m.begun {
		m.now.Unavailable += time.Duration(m.now.Orphaned * float64(now.Sub(m.last)))
	}
	m.begun, m.last = true, now
	m.now.Shards = 0
	shares := make(map[mtid.Holder]float64)
	for _, table := range tables {
		if table == nil {
			continue
		}
		m.now.Shards += len(table.Shards)
		for holder, share := range m.look(table).shares {
			shares[holder] += share
		}
	}
	m.now.Owners = len(shares)
	m.now.KeyImbalance = imbalance(shares)
	m.now.LoadImbalance = imbalance(loads(shares, load))
	m.now.Orphaned = 0
	for holder, share := range shares {
		if !live(holder) {
			m.now.Orphaned += share
		}
	}
}

// look returns the view of a chunk, and counts the churn of a new version.
func (m *Meter) look(table *mtshard.Table) *chunkView {
	before := m.chunks[table.Chunk]
	if before != nil && before.table.Version == table.Version && before.table.Chunks == table.Chunks {
		return before
	}
	view := &chunkView{table: table, shares: make(map[mtid.Holder]float64)}
	for _, part := range cut(table, table) {
		view.shares[part.now] += part.share
	}
	if before != nil && before.table.Chunks == table.Chunks {
		for _, part := range cut(before.table, table) {
			if part.before != part.now {
				m.now.Churn += part.share
			}
		}
	}
	m.chunks[table.Chunk] = view
	return view
}

// part is a range of the ring with one owner before and one now.
type part struct {
	before, now mtid.Holder
	share       float64
}

// cut lays two versions of a chunk over each other.
func cut(before, now *mtshard.Table) []part {
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

// imbalance returns the largest value over the mean, or 0 if there is nothing.
func imbalance(values map[mtid.Holder]float64) float64 {
	var sum, most float64
	for _, v := range values {
		sum += v
		most = max(most, v)
	}
	if sum == 0 {
		return 0
	}
	return most / (sum / float64(len(values)))
}

// Figures returns the present figures.
func (m *Meter) Figures() Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}
