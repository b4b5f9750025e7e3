// Package mtmetric provides the metrics and logging of a daemon: expvar counters
// per component, latency histograms per business and class, live statistics of
// each service, and a logger that limits repeated messages.
//
// # Usage
//
//	metrics, cleanUp := mtmetric.New()
//	defer cleanUp()
//	retries := metrics.Counter("caller", "retries")
//	retries.Add(1)
//	metrics.Gauge("renew", "ring", func() any { return ring.Counts() })
//	metrics.Record(mtmetric.Sample{Service: ref, Class: "send", Outcome: mtreply.Answered, Total: elapsed})
//	handler := metrics.Handler() // all metrics in JSON, in the format of expvar
//
// Each daemon has its own Metrics and nothing is published in expvar's global
// map, so that tests can run several daemons in one process. All methods are safe
// for concurrent use.
package mtmetric

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"magnoliaturn/io/mtduty"
)

// Window is how long one histogram collects samples. The summaries merge the last
// WindowCount windows, so that they cover the last 40 to 60 seconds.
const (
	Window      = 20 * time.Second
	WindowCount = 3
)

// Metrics holds the counters, gauges and histograms of one daemon.
type Metrics struct {
	root       expvar.Map
	mu         sync.Mutex // makes lookup and creation of maps and counters atomic
	histograms *Histograms
}

// New returns empty metrics and starts rotating the windows of the histograms.
// The returned function stops the rotation.
func New() (*Metrics, func()) {
	m := &Metrics{histograms: NewHistograms()}
	m.root.Set("requests", expvar.Func(func() any { return m.histograms.Summaries() }))
	m.root.Set("memory", expvar.Func(memory))
	m.root.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	return m, mtduty.Every(Window, func(context.Context) { m.histograms.Rotate() })
}

// Counter returns a counter of a component and creates it on first use. Callers
// should store the result, since the lookup is too slow for the request path.
func (m *Metrics) Counter(component, name string) *expvar.Int {
	group := m.component(component)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := group.Get(name).(*expvar.Int); ok {
		return found
	}
	counter := new(expvar.Int)
	group.Set(name, counter)
	return counter
}

// Counters returns a group of counters with one label, such as the cause of a
// refusal: counters.Add(label, 1). Labels must come from a bounded set, never from
// the input of a caller.
func (m *Metrics) Counters(component, name string) *expvar.Map {
	group := m.component(component)
	m.mu.Lock()
	defer m.mu.Unlock()
	if found, ok := group.Get(name).(*expvar.Map); ok {
		return found
	}
	counters := new(expvar.Map).Init()
	group.Set(name, counters)
	return counters
}

// Gauge adds a gauge whose value read returns each time the metrics are read. read
// is called from other goroutines, and its result is encoded as JSON.
func (m *Metrics) Gauge(component, name string, read func() any) {
	m.component(component).Set(name, expvar.Func(read))
}

// Publish adds the expvar counters that a component maintains itself, under the
// component's name.
func (m *Metrics) Publish(component string, counters expvar.Var) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.root.Set(component, counters)
}

func (m *Metrics) component(name string) *expvar.Map {
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

// Handler returns an HTTP handler that replies with all metrics in JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.root.String())) // the client may have disconnected
	})
}

// Do calls f with the name of each component and its metrics as JSON, for the
// status page.
func (m *Metrics) Do(f func(name string, value json.RawMessage)) {
	m.root.Do(func(kv expvar.KeyValue) { f(kv.Key, json.RawMessage(kv.Value.String())) })
}

// memory returns the memory statistics of the Go runtime that alerts are based on.
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

// Collections returns how often garbage has been collected since the start. Unlike the memory
// statistics, it stops nothing.
func Collections() uint64 {
	cycles := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(cycles)
	return cycles[0].Value.Uint64()
}
