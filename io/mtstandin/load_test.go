package mtstandin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtstandin"
)

// due is the number of requests that a load with loadSetting schedules.
const due = 50

func loadSetting(targets ...string) mtstandin.LoadSetting {
	return mtstandin.LoadSetting{
		Service: dispatch, Targets: targets, Rate: 1000, Duration: due * time.Millisecond, Keys: 10, Zipf: 1.2, Rest: "run",
		Tries: 1, Open: 1000, Seed: 7,
		Classes: []mtstandin.LoadClass{
			{Name: "send", Weight: 1, Timeout: 30 * time.Second, Body: 64},
			{Name: "status", Idempotent: true, Weight: 3, Timeout: 30 * time.Second},
		},
	}
}

func runLoad(t *testing.T, s mtstandin.LoadSetting) (mtstandin.Summary, []mtaudit.Call) {
	t.Helper()
	written := &journalBuffer{}
	load, cleanUp, err := mtstandin.NewLoad(s, mtstandin.NewJournal[mtaudit.Call](written), nil)
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	summary := load.Run(t.Context())
	return summary, read[mtaudit.Call](t, written)
}

func TestLoadOnServerPassesAudit(t *testing.T) {
	url, _, written := start(t, setting())
	s := loadSetting(url)
	s.Direct = true
	summary, calls := runLoad(t, s)
	assert.Equal(t, summary.Calls, uint64(due))
	report := mtaudit.Audit(mtaudit.Input{
		Events: read[mtaudit.Event](t, written), Calls: calls, Spread: map[mtid.Ref]bool{dispatch: true},
	})
	assert.Equal(t, len(report.Findings), 0, "got %v", report.Findings)
	assert.Equal(t, report.Runs, due)
	assert.DeepEqual(t, report.Phases[0].Counts, []mtaudit.Count{{Outcome: mtreply.Answered, Calls: due}})
}

func TestSeedDeterminesRequests(t *testing.T) {
	draw := func() map[string]int {
		s := loadSetting("http://127.0.0.1:1")
		_, calls := runLoad(t, s)
		drawn := make(map[string]int)
		for _, c := range calls {
			drawn[string(c.Key)+" "+string(c.Class)]++
		}
		return drawn
	}
	assert.DeepEqual(t, draw(), draw())
}

// A load must not record a more definite outcome than the reply states, or the audit
// would report faults that the system does not have.
func TestLoadRecordsOutcomeOfReply(t *testing.T) {
	tests := []struct {
		name    string
		reply   func(w http.ResponseWriter)
		outcome mtreply.Outcome
		cause   mtreply.Cause
	}{
		{"answered", func(w http.ResponseWriter) {
			w.Header().Set(mtheader.Outcome, "answered")
		}, mtreply.Answered, ""},
		{"refused", func(w http.ResponseWriter) {
			w.Header().Set(mtheader.Outcome, "not-run")
			w.Header().Set(mtheader.Cause, "shed")
		}, mtreply.NotRun, mtreply.CauseShed},
		{"unknown", func(w http.ResponseWriter) {
			w.Header().Set(mtheader.Outcome, "unknown")
			w.Header().Set(mtheader.Cause, "lost")
		}, mtreply.Unknown, mtreply.CauseLost},
		{"no outcome", func(http.ResponseWriter) {}, mtreply.Unknown, mtreply.CauseTruncated},
		{"cut reply", func(w http.ResponseWriter) {
			w.Header().Set(mtheader.Outcome, "answered")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
		}, mtreply.Unknown, mtreply.CauseTruncated},
		{"no reply", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, mtreply.Unknown, mtreply.CauseLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tt.reply(w) }))
			defer daemon.Close()
			_, calls := runLoad(t, loadSetting(daemon.URL))
			assert.Equal(t, len(calls), due)
			for _, c := range calls {
				assert.Equal(t, c.Outcome, tt.outcome)
				assert.Equal(t, c.Cause, tt.cause)
			}
		})
	}
	t.Run("no listener", func(t *testing.T) {
		_, calls := runLoad(t, loadSetting("http://127.0.0.1:1"))
		for _, c := range calls {
			assert.Equal(t, c.Outcome, mtreply.NotRun)
			assert.Equal(t, c.Cause, mtreply.CauseUnreachable)
		}
	})
}

// A load that retried a non-idempotent request after an unknown outcome without
// Resend could run it twice, and the audit would report this as a fault of the system.
func TestLoadRetriesByOutcomeAndSettings(t *testing.T) {
	tests := []struct {
		name    string
		outcome mtreply.Outcome
		resend  bool
		tries   map[mtid.Class]int
	}{
		{"not run", mtreply.NotRun, false, map[mtid.Class]int{"send": 3, "status": 3}},
		{"unknown", mtreply.Unknown, false, map[mtid.Class]int{"send": 1, "status": 3}},
		{"unknown, resent", mtreply.Unknown, true, map[mtid.Class]int{"send": 3, "status": 3}},
		{"answered", mtreply.Answered, true, map[mtid.Class]int{"send": 1, "status": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(mtheader.Outcome, string(tt.outcome))
			}))
			defer daemon.Close()
			s := loadSetting(daemon.URL)
			s.Tries, s.Resend = 3, tt.resend
			summary, calls := runLoad(t, s)
			assert.Equal(t, summary.Calls, uint64(due))
			tries := make(map[mtaudit.ID]int)
			for _, c := range calls {
				tries[c.ID]++
				assert.Equal(t, c.Try, tries[c.ID])
			}
			for _, c := range calls {
				assert.Equal(t, tries[c.ID], tt.tries[c.Class])
			}
		})
	}
}

// A load that waited for a stalled system would send fewer requests and hide the
// stall from the latencies. Every scheduled request must be recorded.
func TestLoadRecordsAllRequestsOfAStalledSystem(t *testing.T) {
	stalled := make(chan struct{})
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		<-stalled
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer daemon.Close()
	defer close(stalled)
	s := loadSetting(daemon.URL)
	s.Open = 20
	s.Classes = []mtstandin.LoadClass{{Name: "status", Idempotent: true, Weight: 1, Timeout: time.Second}}
	_, calls := runLoad(t, s)
	counts := make(map[mtreply.Cause]int)
	for _, c := range calls {
		counts[c.Cause]++
	}
	assert.DeepEqual(t, counts, map[mtreply.Cause]int{mtreply.CauseTimeout: 20, mtstandin.CauseUnsent: due - 20})
}

func TestNewLoadRejectsInvalidSettings(t *testing.T) {
	tests := []struct {
		field      string
		invalidate func(s *mtstandin.LoadSetting)
	}{
		{"targets", func(s *mtstandin.LoadSetting) { s.Targets = nil }},
		{"rate", func(s *mtstandin.LoadSetting) { s.Rate = 0 }},
		{"keys", func(s *mtstandin.LoadSetting) { s.Keys = 0 }},
		{"zipf", func(s *mtstandin.LoadSetting) { s.Zipf = 1 }},
		{"tries", func(s *mtstandin.LoadSetting) { s.Tries = 0 }},
		{"open", func(s *mtstandin.LoadSetting) { s.Open = 0 }},
		{"classes", func(s *mtstandin.LoadSetting) { s.Classes = nil }},
		{"classes", func(s *mtstandin.LoadSetting) { s.Classes[0].Timeout = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			s := loadSetting("http://127.0.0.1:1")
			tt.invalidate(&s)
			_, _, err := mtstandin.NewLoad(s, nil, nil)
			assert.ErrorContains(t, err, tt.field)
		})
	}
}
