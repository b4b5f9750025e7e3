package mtmetric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Durations is a histogram of one kind of duration since the start of the process.
// It is safe for concurrent use.
type Durations struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewDurations returns an empty histogram.
func NewDurations() *Durations {
	return &Durations{histogram: hdrhistogram.New(1, maxValue, significantDigits)}
}

// Record adds a duration. Durations above five minutes are recorded as five
// minutes.
func (t *Durations) Record(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = t.histogram.RecordValue(min(max(int64(d/resolution), 1), maxValue))
}

// DurationsSummary holds the count of a Durations and its median, 99th percentile
// and maximum in microseconds.
type DurationsSummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// Summary summarizes the durations recorded so far.
func (t *Durations) Summary() DurationsSummary {
	const median, high = 50, 99
	t.mu.Lock()
	defer t.mu.Unlock()
	return DurationsSummary{
		Count: t.histogram.TotalCount(),
		P50:   t.histogram.ValueAtQuantile(median),
		P99:   t.histogram.ValueAtQuantile(high),
		Max:   t.histogram.Max(),
	}
}

// Merge adds the durations recorded by another histogram, so that several daemons
// can be summarized together.
func (t *Durations) Merge(other *Durations) {
	other.mu.Lock()
	defer other.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.histogram.Merge(other.histogram)
}
