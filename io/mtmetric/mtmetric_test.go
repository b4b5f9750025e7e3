package mtmetric_test

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"math"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/io/mtmetric"
)

var dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}

func TestHistogramsByOutcome(t *testing.T) {
	h := mtmetric.NewHistograms()
	for i := 1; i <= 100; i++ {
		h.Record(mtmetric.Sample{
			Service: dispatch, Class: "send", Outcome: mtreply.Answered,
			Total: time.Duration(i) * time.Millisecond, Server: time.Millisecond,
		})
	}
	h.Record(mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.NotRun, Cause: mtreply.CauseShed, Total: time.Microsecond})
	got := h.Summaries()
	assert.Equal(t, len(got.Classes), 3)
	answered := got.Classes[1]
	assert.Equal(t, answered.Measure, mtmetric.Total)
	assert.Equal(t, answered.Outcome, mtreply.Answered)
	assert.Equal(t, answered.Count, int64(100))
	assertNear(t, answered.P50.Seconds(), 0.050, 0.01)
	assertNear(t, answered.P99.Seconds(), 0.099, 0.01)
	assert.DeepEqual(t, got.Refusals, []mtmetric.Refusals{
		{Business: "ratins", Service: "dispatch", Class: "send", Outcome: mtreply.NotRun, Cause: mtreply.CauseShed, Count: 1},
	})
}

func assertNear(t *testing.T, got, want, share float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= share*want, "got %v, want %v", got, want)
}

func TestWindowsDropOldSamples(t *testing.T) {
	h := mtmetric.NewHistograms()
	name := mtmetric.Series{Service: dispatch, Class: "send", Outcome: mtreply.Answered, Measure: mtmetric.Total}
	for i := range mtmetric.WindowCount {
		h.Record(mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.Answered, Total: time.Second})
		assert.Equal(t, h.Merged(name).TotalCount(), int64(i+1))
		h.Rotate()
	}
	assert.Equal(t, h.Merged(name).TotalCount(), int64(mtmetric.WindowCount-1))
	for range mtmetric.WindowCount {
		h.Rotate()
	}
	assert.Equal(t, len(h.Summaries().Classes), 0)
}

// Durations outside the range of the histogram must be counted: they include hung
// requests, which operators need to see.
func TestOutOfRangeDurationsAreCounted(t *testing.T) {
	h := mtmetric.NewHistograms()
	h.Record(mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.Unknown, Total: time.Hour})
	h.Record(mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.Unknown, Total: -time.Second})
	assert.Equal(t, h.Summaries().Classes[0].Count, int64(2))
}

func TestSeriesAreBounded(t *testing.T) {
	h := mtmetric.NewHistograms()
	const maxClasses = mtmetric.MaxSeries / 4 // each class has four measures
	for i := range maxClasses + 5 {
		h.Record(mtmetric.Sample{Service: dispatch, Class: mtid.Class(fmt.Sprint(i)), Outcome: mtreply.Answered, Total: 1})
	}
	got := h.Summaries()
	assert.Equal(t, len(got.Classes), maxClasses)
	assert.Equal(t, got.Dropped, int64(5))
}

func TestHandlerIncludesAllMetrics(t *testing.T) {
	m, cleanUp := mtmetric.New()
	defer cleanUp()
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			m.Counter("caller", "retries").Add(1)
			m.Counters("caller", "refused").Add("shed", 1)
			m.Record(mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.Answered, Total: time.Millisecond})
		})
	}
	wait.Wait()
	m.Gauge("renew", "waiting", func() any { return 7 })
	published := new(expvar.Map).Init()
	published.Add("reads", 3)
	m.Publish("store", published)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/", nil))
	var got struct {
		Caller struct {
			Retries int
			Refused map[string]int
		}
		Renew    struct{ Waiting int }
		Store    struct{ Reads int }
		Requests mtmetric.Summaries
	}
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
	assert.Equal(t, got.Caller.Retries, 4)
	assert.Equal(t, got.Caller.Refused["shed"], 4)
	assert.Equal(t, got.Renew.Waiting, 7)
	assert.Equal(t, got.Store.Reads, 3)
	assert.Equal(t, got.Requests.Classes[0].Count, int64(4))
}

func TestLogLimitsRepeats(t *testing.T) {
	var out bytes.Buffer
	handler := mtmetric.LimitRepeats(slog.NewJSONHandler(&out, nil))
	at := time.UnixMilli(0)
	log := func(after time.Duration, text string) {
		assert.NilError(t, handler.WithAttrs([]slog.Attr{slog.Int("shard", 1)}).Handle(t.Context(), slog.NewRecord(at.Add(after), slog.LevelWarn, text, 0)))
	}
	for i := range 50 {
		log(time.Duration(i)*time.Millisecond, "store down")
	}
	log(time.Second, "another")
	assert.Equal(t, strings.Count(out.String(), "store down"), mtmetric.MaxRepeats)
	assert.Equal(t, strings.Count(out.String(), "another"), 1)
	for range 50 {
		assert.NilError(t, handler.Handle(t.Context(), slog.NewRecord(at, mtmetric.LevelAudit, "operator acts", 0)))
	}
	assert.Equal(t, strings.Count(out.String(), "operator acts"), 50)
	log(mtmetric.RepeatInterval, "store down")
	assert.Assert(t, strings.Contains(out.String(), `"repeats":45`), out.String())
}

func TestMeter(t *testing.T) {
	a, b := mtid.Holder{Daemon: "a", Incarnation: 1}, mtid.Holder{Daemon: "b", Incarnation: 1}
	table := mtshard.New(dispatch, 0, 1)
	table, err := table.Apply(mtroster.WriteID{}, mtshard.Create{Shards: 4, Holders: []mtid.Holder{a}})
	assert.NilError(t, err)
	table, err = table.Apply(mtroster.WriteID{}, mtshard.Move{Low: table.Shards[3].Low, To: b})
	assert.NilError(t, err)
	live := map[mtid.Holder]bool{a: true, b: true}
	isLive := func(h mtid.Holder) bool { return live[h] }
	load := func(h mtid.Holder) (float64, bool) { return map[mtid.Holder]float64{a: 30, b: 10}[h], true }
	at := func(d time.Duration) mtclock.Instant { return mtclock.Instant(d) }

	m := mtmetric.NewMeter()
	m.Observe(at(0), []*mtshard.Table{table, nil}, isLive, load)
	got := m.Stats()
	assert.Equal(t, got.Owners, 2)
	assert.Equal(t, got.Shards, 4)
	assertNear(t, got.KeyImbalance, 1.5, 1e-9)
	assertNear(t, got.LoadImbalance, 1.5, 1e-9)
	assert.Equal(t, got.Churn, 0.0)

	// A quarter of the keys has no live owner for two seconds, then changes owner.
	live[b] = false
	m.Observe(at(time.Second), []*mtshard.Table{table}, isLive, load)
	assertNear(t, m.Stats().Orphaned, 0.25, 1e-9)
	table, err = table.Apply(mtroster.WriteID{}, mtshard.Failover{Lost: []mtid.Holder{b}, Survivors: []mtid.Holder{a}})
	assert.NilError(t, err)
	m.Observe(at(3*time.Second), []*mtshard.Table{table}, isLive, load)
	got = m.Stats()
	assertNear(t, got.Churn, 0.25, 1e-9)
	assertNear(t, got.Unavailable.Seconds(), 0.5, 1e-9)
	assert.Equal(t, got.Orphaned, 0.0)
	assert.Equal(t, got.Owners, 1)

	// A split does not change the owner of any key.
	table, err = table.Apply(mtroster.WriteID{}, mtshard.Split{Point: 5})
	assert.NilError(t, err)
	m.Observe(at(4*time.Second), []*mtshard.Table{table}, isLive, load)
	assertNear(t, m.Stats().Churn, 0.25, 1e-9)
}

func BenchmarkRecord(b *testing.B) {
	h := mtmetric.NewHistograms()
	sample := mtmetric.Sample{Service: dispatch, Class: "send", Outcome: mtreply.Answered, Total: 3e6, Queue: 1e6, Relay: 1e6, Server: 1e6}
	for b.Loop() {
		h.Record(sample)
	}
}
