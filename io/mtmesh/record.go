package mtmesh

import (
	"errors"
	"expvar"
	"log/slog"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/io/mthost"
	"magnoliaturn/io/mtmetric"
)

// sampleInterval is the number of finished requests for each logged answer. At a hundred
// requests per second that is a line every few seconds, enough to see what usual requests
// look like.
const sampleInterval = 512

// recorder records the results of requests: all of them in counters and histograms, each
// failure in a log line, up to the rate limits of the log, and a sample of the answers.
type recorder struct {
	metrics  *mtmetric.Metrics
	results  *expvar.Map
	total    *expvar.Int
	calls    *expvar.Map // to the store, by purpose
	tally    *tally
	clock    clock
	service  mtid.Service // on this VM
	log      *slog.Logger
	versions func() (configuration, seen mtid.Version)

	// statusBefore and retriesBefore hold the totals at the previous summary.
	statusBefore  mthost.Status
	retriesBefore mtretry.Counts
	// collectedBefore is the number of garbage collections until the previous summary.
	collectedBefore uint64
}

type clock interface {
	Now() mtclock.Instant
	Steady() mtclock.Instant
}

func newRecorder(m *mtmetric.Metrics, c clock, service mtid.Service, log *slog.Logger, versions func() (configuration, seen mtid.Version)) *recorder {
	return &recorder{
		metrics: m, tally: newTally(), clock: c, service: service, results: m.Counters("requests", "ends"), total: m.Counter("requests", "answered"), calls: m.Counters("store", "calls"), log: log, versions: versions,
	}
}

// done records the result of a request.
func (r *recorder) done(call *mtcall.Call, answer *mtcall.Answer, status int, err error, took time.Duration) {
	sample := mtmetric.Sample{
		Service: mtid.Ref{Service: call.Service}, Class: call.Route, Outcome: mtreply.Answered, Total: took,
	}
	if err != nil {
		reply := mtrequest.FromError(err)
		sample.Outcome, sample.Cause = reply.Outcome, reply.Cause
	}
	if answer != nil {
		sample.Queue, sample.Server = answer.Queued, answer.Served
		sample.Relay = max(took-answer.Queued-answer.Served, 0)
	}
	if call.Route != "" {
		r.metrics.Record(sample)
	}
	r.countResult(call, sample, status)
	r.tally.add(call, r.result(call, sample, status))
	r.tally.addSearch(call, slowStart(r.clock.Now(), call, answer))
	r.logRequest(call, sample, status, err, took)
}

// countResult increments the counters. Requests of callers are counted apart from nested
// requests, which servers make.
func (r *recorder) countResult(call *mtcall.Call, s mtmetric.Sample, status int) {
	kind := "caller"
	if call.Nested {
		kind = "nested"
	}
	result := string(s.Cause)
	switch {
	case s.Outcome == mtreply.Answered && status >= 500:
		result = "failed by the server"
	case s.Outcome == mtreply.Answered:
		result = "answered"
	}
	r.results.Add(kind+" "+result, 1)
	r.total.Add(1)
}

// logRequest logs a request. The message contains the cause, so that a frequent cause does
// not use up the rate limit of the others.
func (r *recorder) logRequest(call *mtcall.Call, s mtmetric.Sample, status int, err error, took time.Duration) {
	message := "request answered"
	if err != nil {
		message = "request " + string(s.Outcome) + ": " + string(s.Cause)
	} else if r.total.Value()%sampleInterval != 0 {
		return
	}
	r.log.Info(message, slog.Any("", requestAttrs{recorder: r, call: call, sample: s, status: status, err: err, took: took}))
}

// requestAttrs holds what is logged of a request. The attributes are built only if the line
// is written: under load most lines are left out.
type requestAttrs struct {
	recorder *recorder
	call     *mtcall.Call
	sample   mtmetric.Sample
	status   int
	err      error
	took     time.Duration
}

// LogValue implements slog.LogValuer.
func (e requestAttrs) LogValue() slog.Value {
	configuration, seen := e.recorder.versions()
	attrs := []slog.Attr{
		slog.String("id", string(e.call.ID)), slog.String("route", string(e.call.Route)), slog.String("service", string(e.call.Service)),
		slog.Int("status", e.status), slog.String("took", e.took.String()),
		slog.String("queued", e.sample.Queue.String()), slog.String("served", e.sample.Server.String()),
		slog.Uint64("configuration", uint64(configuration)), slog.Uint64("seen", uint64(seen)),
	}
	if e.call.Keyed {
		attrs = append(attrs, slog.Int("key", int(e.call.Key)))
	}
	if e.call.Nested {
		attrs = append(attrs, slog.Bool("nested", true))
	}
	if e.call.CallerDeadline != 0 {
		attrs = append(attrs, slog.String("allowed", e.call.CallerDeadline.Sub(e.call.Arrived).String()))
	}
	if e.call.EndedBy != "" {
		attrs = append(attrs, slog.String("ended-by", string(e.call.EndedBy)), slog.String("left", e.call.Deadline.Sub(e.call.Arrived.Add(e.took)).String()))
	}
	if len(e.call.Tries) > 0 {
		attrs = append(attrs, slog.Any("tries", e.call.Tries))
	}
	var refused *mtreply.RefusedError
	if errors.As(e.err, &refused) {
		attrs = append(attrs, slog.String("retry", refused.RetryAfter.String()))
	}
	if e.err != nil {
		attrs = append(attrs, slog.String("error", e.err.Error()))
	}
	if e.call.MayCrash(e.err) {
		attrs = append(attrs, slog.String("fingerprint", e.call.Fingerprint().String()))
	}
	return slog.GroupValue(attrs...)
}

// logTotals logs all counters in one line, at shutdown.
func (r *recorder) logTotals() {
	attrs := []any{}
	r.results.Do(func(kv expvar.KeyValue) { attrs = append(attrs, kv.Key, kv.Value.String()) })
	r.log.Info("requests so far", attrs...)
}
