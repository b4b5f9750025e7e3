// Package mtmetric counts and measures what a daemon does: expvar counters per
// duty, histograms of requests per business and class, live figures of each
// service, and a logger that doesn't repeat itself without end.
//
// # Usage
//
//	metrics, cleanUp := mtmetric.New()
//	defer cleanUp()
//	retries := metrics.Counter("caller", "retries")
//	retries.Add(1)
//	metrics.Gauge("renew", "ring", func() any { return ring.Counts() })
//	metrics.Record(mtmetric.Sample{Service: ref, Class: "send", Outcome: mtreply.Answered, Total: elapsed})
//	handler := metrics.Handler() // all of it in JSON, in the form of expvar
//
// A Metrics belongs to one daemon, so that several daemons can live in one
// process of a test; nothing is published in expvar's process-wide list. All
// methods are safe for concurrent use.
package mtmetric

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
	"sync"
	"time"

	"magnoliaturn/io/mtduty"
)

// Window is how long samples are gathered before the oldest ones are dropped;
// Kept windows are merged into what is shown: the last 40 to 60 seconds.
const (
	Window = 20 * time.Second
	Kept   = 3
)

// Metrics holds all figures of one daemon.
type Metrics struct {
	root       expvar.Map
	mu         sync.Mutex // guards the making of duties' maps
	histograms *Histograms
}

// New returns empty metrics, and begins to rotate the windows of the
// histograms.
func New() (*Metrics, func()) {
	m := &Metrics{histograms: NewHistograms()}
	m.root.Set("requests", expvar.Func(func() any { return m.histograms.Summaries() }))
	m.root.Set("memory", expvar.Func(memory))
	m.root.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	return m, mtduty.Every(Window, func(context.Context) { m.histograms.Rotate() })
}

// Counter returns the counter of a duty, and makes it on first use. Callers
// keep the result: the lookup is not for the path of a request.
func (m *Metrics) Counter(duty, name string) *expvar.Int {
	group := m.duty(duty)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := group.Get(name).(*expvar.Int); ok {
		return found
	}
	counter := new(expvar.Int)
	group.Set(name, counter)
	return counter
}

// Counters returns a group of counters that are told apart by a word, such as
// the cause of a refusal: group.Add(word, 1). The words must come from a
// bounded set, never from a caller.
func (m *Metrics) Counters(duty, name string) *expvar.Map {
	group := m.duty(duty)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := group.Get(name).(*expvar.Map); ok {
		return found
	}
	counters := new(expvar.Map).Init()
	group.Set(name, counters)
	return counters
}

// Gauge shows what read returns whenever somebody looks. read is called from
// other goroutines, and its result is shown in JSON.
func (m *Metrics) Gauge(duty, name string, read func() any) {
	m.duty(duty).Set(name, expvar.Func(read))
}

// Publish shows a duty's own counters as a whole, under the duty's name.
func (m *Metrics) Publish(duty string, counters expvar.Var) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.root.Set(duty, counters)
}

func (m *Metrics) duty(name string) *expvar.Map {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := m.root.Get(name).(*expvar.Map); ok {
		return found
	}
	group := new(expvar.Map).Init()
	m.root.Set(name, group)
	return group
}

// Record adds one request to the histograms.
func (m *Metrics) Record(s Sample) { m.histograms.Record(s) }

// Histograms returns the histograms, for reports.
func (m *Metrics) Histograms() *Histograms { return m.histograms }

// Handler answers with all figures in JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.root.String())) // the asker may have gone
	})
}

// Do calls f with each duty's name and its figures as JSON, for the status page.
func (m *Metrics) Do(f func(name string, value json.RawMessage)) {
	m.root.Do(func(kv expvar.KeyValue) { f(kv.Key, json.RawMessage(kv.Value.String())) })
}

// memory returns the few figures of the Go runtime that alarms watch.
func memory() any {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return struct {
		HeapBytes  uint64 `json:"heapBytes"`
		SysBytes   uint64 `json:"sysBytes"`
		Objects    uint64 `json:"objects"`
		Allocated  uint64 `json:"allocated"` // objects since the start
		GCPauses   uint64 `json:"gcPausesNs"`
		Collection uint32 `json:"collections"`
	}{s.HeapAlloc, s.Sys, s.HeapObjects, s.Mallocs, s.PauseTotalNs, s.NumGC}
}
