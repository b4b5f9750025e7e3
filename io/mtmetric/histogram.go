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

// Resolution of the histograms: microseconds up to the longest timeout that a
// bundle may give, within one per cent.
const (
	unit    = time.Microsecond
	highest = int64(5 * time.Minute / unit)
	digits  = 2
)

// MaxSeries bounds the series of one daemon. Bundles name far fewer; the bound
// keeps a fault elsewhere from turning callers' words into memory.
const MaxSeries = 2048

// Measure says which time a series measures.
type Measure string

// The measures. Total is what the caller waited for; the others are parts.
const (
	Total  Measure = "total"
	Queue  Measure = "queue"  // waiting at the owner's gate
	Relay  Measure = "relay"  // between ingress and owner, both ways
	Server Measure = "server" // at the backend server
)

// Sample is one request that has ended. Parts that are zero are not recorded.
type Sample struct {
	Service mtid.Ref
	Class   mtid.Class
	Outcome mtreply.Outcome
	Cause   mtreply.Cause // empty for an answered one
	Total   time.Duration
	Queue   time.Duration
	Relay   time.Duration
	Server  time.Duration
}

// Series names one histogram.
type Series struct {
	Service mtid.Ref
	Class   mtid.Class
	Outcome mtreply.Outcome
	Measure Measure
}

// Summary is a histogram in a few numbers.
type Summary struct {
	Business mtid.Business   `json:"business"`
	Service  mtid.Service    `json:"service"`
	Class    mtid.Class      `json:"class"`
	Outcome  mtreply.Outcome `json:"outcome"`
	Measure  Measure         `json:"measure"`
	Count    int64           `json:"count"` // within the windows
	Mean     time.Duration   `json:"meanNs"`
	P50      time.Duration   `json:"p50Ns"`
	P90      time.Duration   `json:"p90Ns"`
	P99      time.Duration   `json:"p99Ns"`
	P999     time.Duration   `json:"p999Ns"`
	Max      time.Duration   `json:"maxNs"`
}

// Refusals counts requests of one class that were not answered, by cause,
// since the start.
type Refusals struct {
	Business mtid.Business   `json:"business"`
	Service  mtid.Service    `json:"service"`
	Class    mtid.Class      `json:"class"`
	Outcome  mtreply.Outcome `json:"outcome"`
	Cause    mtreply.Cause   `json:"cause"`
	Count    int64           `json:"count"`
}

// Summaries is what is shown of the histograms.
type Summaries struct {
	Classes  []Summary  `json:"classes"`
	Refusals []Refusals `json:"refusals"`
	Dropped  int64      `json:"dropped"` // samples past MaxSeries
}

// Histograms hold the times of requests by series. The zero value is not
// usable.
type Histograms struct {
	mu      sync.Mutex // guards all below; held for map work only
	groups  map[groupName]*group
	dropped int64
}

// groupName names what a sample belongs to.
type groupName struct {
	service mtid.Ref
	class   mtid.Class
	outcome mtreply.Outcome
}

// group is everything kept of one class and outcome. It has a lock of its own,
// so that classes don't wait for each other, and a sample costs one lookup.
type group struct {
	mu       sync.Mutex
	times    [len(measures)]*windows // nil until used
	refusals map[mtreply.Cause]int64
}

// measures are the histograms of a group, in the order of group.times.
var measures = [...]Measure{Total, Queue, Relay, Server}

// NewHistograms returns empty histograms.
func NewHistograms() *Histograms {
	return &Histograms{groups: make(map[groupName]*group)}
}

// Record adds a sample. It is called once for each request and is safe for
// concurrent use.
func (h *Histograms) Record(s Sample) {
	g := h.find(groupName{s.Service, s.Class, s.Outcome})
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

// windows is one series over the last windows, the present one first. A daemon has some
// tens of series, so each holds a histogram only for windows in which it had samples.
type windows [Kept]*hdrhistogram.Histogram

func (w *windows) record(d time.Duration) {
	if w[0] == nil {
		w[0] = hdrhistogram.New(1, highest, digits)
	}
	// The value is clamped to the range, so recording can't fail.
	_ = w[0].RecordValue(min(max(int64(d/unit), 1), highest))
}

// rotate begins a window, in place of the oldest.
func (w *windows) rotate() {
	oldest := w[Kept-1]
	copy(w[1:], w[:Kept-1])
	if oldest != nil {
		oldest.Reset()
	}
	w[0] = oldest
}

// merge returns all windows in one histogram.
func (w *windows) merge() *hdrhistogram.Histogram {
	merged := hdrhistogram.New(1, highest, digits)
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

// find returns the group, made on first use, or nil past the bound.
func (h *Histograms) find(name groupName) *group {
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

// Rotate drops the oldest window. Metrics calls it once a Window.
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

// all returns the present groups, so that no lock is held while each is read.
func (h *Histograms) all() map[groupName]*group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.groups)
}

// Merged returns the histogram of a series over the kept windows, in
// microseconds; it is empty for an unknown series. The caller may merge those
// of several daemons.
func (h *Histograms) Merged(name Series) *hdrhistogram.Histogram {
	empty := hdrhistogram.New(1, highest, digits)
	g, ok := h.all()[groupName{name.Service, name.Class, name.Outcome}]
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

// Summaries returns every series that has samples in the kept windows, and the
// refusals, both in a fixed order.
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

func (g *group) summaries(name groupName) []Summary {
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

func (g *group) refused(name groupName) []Refusals {
	var out []Refusals
	for cause, n := range g.refusals {
		out = append(out, Refusals{name.service.Business, name.service.Service, name.class, name.outcome, cause, n})
	}
	return out
}

func summarize(name Series, h *hdrhistogram.Histogram) Summary {
	at := func(percent float64) time.Duration { return time.Duration(h.ValueAtPercentile(percent)) * unit }
	return Summary{
		Business: name.Service.Business,
		Service:  name.Service.Service,
		Class:    name.Class,
		Outcome:  name.Outcome,
		Measure:  name.Measure,
		Count:    h.TotalCount(),
		Mean:     time.Duration(h.Mean() * float64(unit)),
		P50:      at(50),
		P90:      at(90),
		P99:      at(99),
		P999:     at(99.9),
		Max:      time.Duration(h.Max()) * unit,
	}
}
