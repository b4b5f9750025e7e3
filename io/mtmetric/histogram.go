package mtmetric

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// The histograms record microseconds up to 5 minutes, the longest timeout that a
// bundle may set, with 2 significant digits (an error of at most 1 %).
const (
	resolution        = time.Microsecond
	maxValue          = int64(5 * time.Minute / resolution)
	significantDigits = 2
)

// MaxSeries limits the number of series in one daemon. Bundles define far fewer;
// the limit bounds memory if a bug lets callers choose the names of series.
const MaxSeries = 2048

// Measure identifies the duration that a series records.
type Measure string

// Durations of a request. Total is how long the caller waited for the reply; the
// others are parts of it.
const (
	Total  Measure = "total"
	Queue  Measure = "queue"  // time in the queue of the owner's gate
	Relay  Measure = "relay"  // time between ingress and owner, in both directions
	Server Measure = "server" // time at the backend server
)

// Sample describes one completed request. Durations other than Total are not
// recorded if they are zero.
type Sample struct {
	Service mtid.Ref
	Class   mtid.Class
	Outcome mtreply.Outcome
	Cause   mtreply.Cause // empty if the request was answered
	Total   time.Duration
	Queue   time.Duration
	Relay   time.Duration
	Server  time.Duration
}

// Series identifies one histogram.
type Series struct {
	Service mtid.Ref
	Class   mtid.Class
	Outcome mtreply.Outcome
	Measure Measure
}

// Summary holds the count, mean and quantiles of one histogram.
type Summary struct {
	Business mtid.Business   `json:"business"`
	Service  mtid.Service    `json:"service"`
	Class    mtid.Class      `json:"class"`
	Outcome  mtreply.Outcome `json:"outcome"`
	Measure  Measure         `json:"measure"`
	Count    int64           `json:"count"` // in the retained windows
	Mean     time.Duration   `json:"meanNs"`
	P50      time.Duration   `json:"p50Ns"`
	P90      time.Duration   `json:"p90Ns"`
	P99      time.Duration   `json:"p99Ns"`
	P999     time.Duration   `json:"p999Ns"`
	Max      time.Duration   `json:"maxNs"`
}

// Refusals counts the requests of one class that were not answered for one cause
// since the start.
type Refusals struct {
	Business mtid.Business   `json:"business"`
	Service  mtid.Service    `json:"service"`
	Class    mtid.Class      `json:"class"`
	Outcome  mtreply.Outcome `json:"outcome"`
	Cause    mtreply.Cause   `json:"cause"`
	Count    int64           `json:"count"`
}

// Summaries is the JSON form of all histograms and refusal counts.
type Summaries struct {
	Classes  []Summary  `json:"classes"`
	Refusals []Refusals `json:"refusals"`
	Dropped  int64      `json:"dropped"` // samples dropped because of MaxSeries
}

// Histograms records the durations of requests by series. The zero value is not
// usable; call NewHistograms.
type Histograms struct {
	mu      sync.Mutex // guards the fields below; held for map operations only
	groups  map[groupKey]*group
	dropped int64
}

// groupKey is the key of a group.
type groupKey struct {
	service mtid.Ref
	class   mtid.Class
	outcome mtreply.Outcome
}

// group holds the histograms and refusal counts of one class and outcome. Each
// group has its own lock, so that classes don't block each other; recording a
// sample takes one lookup.
type group struct {
	mu       sync.Mutex
	times    [len(measures)]*windows // nil until used
	refusals map[mtreply.Cause]int64
}

// measures lists the histograms of a group in the order of group.times.
var measures = [...]Measure{Total, Queue, Relay, Server}

// NewHistograms returns empty histograms.
func NewHistograms() *Histograms {
	return &Histograms{groups: make(map[groupKey]*group)}
}

// Record adds a sample. It is called once per request and is safe for concurrent
// use.
func (h *Histograms) Record(s Sample) {
	g := h.find(groupKey{s.Service, s.Class, s.Outcome})
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, d := range [len(measures)]time.Duration{s.Total, s.Queue, s.Relay, s.Server} {
		if d > 0 || measures[i] == Total {
			g.record(i, d)
		}
	}
	if s.Outcome == mtreply.Answered {
		return
	}
	if g.refusals == nil {
		g.refusals = make(map[mtreply.Cause]int64)
	}
	g.refusals[s.Cause]++
}

// windows holds the histograms of one series, one for each retained window, the
// current window first. A daemon has several tens of series, so a histogram is
// allocated only for windows that have samples.
type windows [WindowCount]*hdrhistogram.Histogram

func (w *windows) record(d time.Duration) {
	if w[0] == nil {
		w[0] = hdrhistogram.New(1, maxValue, significantDigits)
	}
	// RecordValue fails only for values out of range, and the value is clamped.
	_ = w[0].RecordValue(min(max(int64(d/resolution), 1), maxValue))
}

// rotate starts a new window and reuses the histogram of the oldest one.
func (w *windows) rotate() {
	oldest := w[WindowCount-1]
	copy(w[1:], w[:WindowCount-1])
	if oldest != nil {
		oldest.Reset()
	}
	w[0] = oldest
}

// merge returns a new histogram with the samples of all windows.
func (w *windows) merge() *hdrhistogram.Histogram {
	merged := hdrhistogram.New(1, maxValue, significantDigits)
	for _, h := range w {
		if h != nil {
			merged.Merge(h)
		}
	}
	return merged
}

func (g *group) record(i int, d time.Duration) {
	if g.times[i] == nil {
		g.times[i] = &windows{}
	}
	g.times[i].record(d)
}

// find returns the group with the given name. It creates the group on first use,
// and returns nil if that would exceed MaxSeries.
func (h *Histograms) find(name groupKey) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	if g, ok := h.groups[name]; ok {
		return g
	}
	if len(h.groups) >= MaxSeries/len(measures) {
		h.dropped++
		return nil
	}
	g := &group{}
	h.groups[name] = g
	return g
}

// Rotate starts a new window and drops the oldest one. Metrics calls it once per
// Window.
func (h *Histograms) Rotate() {
	for _, g := range h.all() {
		g.mu.Lock()
		for _, times := range g.times {
			if times != nil {
				times.rotate()
			}
		}
		g.mu.Unlock()
	}
}

// all returns a copy of the map of groups, so that h.mu is not held while the
// groups are read.
func (h *Histograms) all() map[groupKey]*group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.groups)
}

// Merged returns a histogram in microseconds with the samples of a series in all
// retained windows. It is empty for an unknown series. The caller may merge the
// histograms of several daemons.
func (h *Histograms) Merged(name Series) *hdrhistogram.Histogram {
	empty := hdrhistogram.New(1, maxValue, significantDigits)
	g, ok := h.all()[groupKey{name.Service, name.Class, name.Outcome}]
	if !ok {
		return empty
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.Index(measures[:], name.Measure)
	if i < 0 || g.times[i] == nil {
		return empty
	}
	return g.times[i].merge()
}

// Summaries returns a summary of every series that has samples in the retained
// windows, and the refusal counts, both in sorted order.
func (h *Histograms) Summaries() Summaries {
	out := Summaries{Classes: []Summary{}, Refusals: []Refusals{}}
	for name, g := range h.all() {
		g.mu.Lock()
		out.Classes = append(out.Classes, g.summaries(name)...)
		out.Refusals = append(out.Refusals, g.refused(name)...)
		g.mu.Unlock()
	}
	slices.SortFunc(out.Classes, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Business, b.Business), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Measure, b.Measure))
	})
	slices.SortFunc(out.Refusals, func(a, b Refusals) int {
		return cmp.Or(cmp.Compare(a.Business, b.Business), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Class, b.Class), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Cause, b.Cause))
	})
	h.mu.Lock()
	out.Dropped = h.dropped
	h.mu.Unlock()
	return out
}

func (g *group) summaries(name groupKey) []Summary {
	var out []Summary
	for i, times := range g.times {
		if times == nil {
			continue
		}
		if merged := times.merge(); merged.TotalCount() > 0 {
			out = append(out, summarize(Series{name.service, name.class, name.outcome, measures[i]}, merged))
		}
	}
	return out
}

func (g *group) refused(name groupKey) []Refusals {
	var out []Refusals
	for cause, n := range g.refusals {
		out = append(out, Refusals{name.service.Business, name.service.Service, name.class, name.outcome, cause, n})
	}
	return out
}

func summarize(name Series, h *hdrhistogram.Histogram) Summary {
	at := func(percent float64) time.Duration { return time.Duration(h.ValueAtPercentile(percent)) * resolution }
	return Summary{
		Business: name.Service.Business,
		Service:  name.Service.Service,
		Class:    name.Class,
		Outcome:  name.Outcome,
		Measure:  name.Measure,
		Count:    h.TotalCount(),
		Mean:     time.Duration(h.Mean() * float64(resolution)),
		P50:      at(50),
		P90:      at(90),
		P99:      at(99),
		P999:     at(99.9),
		Max:      time.Duration(h.Max()) * resolution,
	}
}
