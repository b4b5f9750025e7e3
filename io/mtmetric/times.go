package mtmetric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times is the distribution of one duration since the start of the process. It
// is safe for concurrent use.
type Times struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewTimes returns an empty distribution.
func NewTimes() *Times {
	return &Times{histogram: hdrhistogram.New(1, highest, digits)}
}

// Record adds a duration. One above five minutes counts as five.
func (t *Times) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// It fails only for values out of bounds, which min and max rule out.
	_ = t.histogram.RecordValue(min(max(int64(d/unit), 1), highest))
}

// TimesSummary is a distribution in four figures, in microseconds.
type TimesSummary struct {
	Count    int64 `json:"count"`
	P50      int64 `json:"p50_us"`
	P99      int64 `json:"p99_us"`
	Greatest int64 `json:"max_us"`
}

// Summary returns the figures of what was recorded so far.
func (t *Times) Summary() TimesSummary {
	const median, high = 50, 99
	t.mu.Lock()
	defer t.mu.Unlock()
	return TimesSummary{
		Count:    t.histogram.TotalCount(),
		P50:      t.histogram.ValueAtQuantile(median),
		P99:      t.histogram.ValueAtQuantile(high),
		Greatest: t.histogram.Max(),
	}
}

// Merge adds what another distribution recorded, so that the figures of several
// daemons can be summed up.
func (t *Times) Merge(other *Times) {
	other.mu.Lock()
	defer other.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histogram.Merge(other.histogram)
}
