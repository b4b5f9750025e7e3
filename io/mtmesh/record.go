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
	"magnoliaturn/io/mtmetric"
)

// sampled is of how many answered requests one gets a line of its own: enough to
// see what usual ones look like, and at a hundred requests a second a line every
// few seconds.
const sampled = 512

// recorder notes what became of requests: every one in counters and histograms,
// failures in a line each, up to the rate of the log's limits, answers now and
// then.
type recorder struct {
	metrics *mtmetric.Metrics
	ends    *expvar.Map
	answers *expvar.Int
	calls   *expvar.Map // of the store
	tally   *tally
	clock   clock
	service mtid.Service // on this VM
	log     *slog.Logger
	known   func() (configuration, seen mtid.Version)
}

type clock interface{ Now() mtclock.Instant }

func newRecorder(m *mtmetric.Metrics, c clock, service mtid.Service, log *slog.Logger, known func() (configuration, seen mtid.Version)) *recorder {
	return &recorder{
		metrics: m, tally: newTally(), clock: c, service: service, ends: m.Counters("requests", "ends"), answers: m.Counter("requests", "answered"), calls: m.Counters("store", "calls"), log: log, known: known,
	}
}

// done takes in what became of a request.
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
	r.count(call, sample, status)
	r.tally.add(call, r.end(call, sample, status))
	r.write(call, sample, status, err, took)
}

// count adds to the counters: what callers sent apart from what servers did.
func (r *recorder) count(call *mtcall.Call, s mtmetric.Sample, status int) {
	kind := "caller"
	if call.Nested {
		kind = "nested"
	}
	what := string(s.Cause)
	switch {
	case s.Outcome == mtreply.Answered && status >= 500:
		what = "failed by the server"
	case s.Outcome == mtreply.Answered:
		what = "answered"
	}
	r.ends.Add(kind+" "+what, 1)
	r.answers.Add(1)
}

// write writes the line of a request. Its message holds the cause, so that one
// frequent cause does not use up the room of the others.
func (r *recorder) write(call *mtcall.Call, s mtmetric.Sample, status int, err error, took time.Duration) {
	message := "request answered"
	if err != nil {
		message = "request " + string(s.Outcome) + ": " + string(s.Cause)
	} else if r.answers.Value()%sampled != 0 {
		return
	}
	r.log.Info(message, slog.Any("", ended{recorder: r, call: call, sample: s, status: status, err: err, took: took}))
}

// ended is what the line of a request says. It is gathered only if the line is written:
// under load most are left out.
type ended struct {
	recorder *recorder
	call     *mtcall.Call
	sample   mtmetric.Sample
	status   int
	err      error
	took     time.Duration
}

// LogValue implements slog.LogValuer.
func (e ended) LogValue() slog.Value {
	configuration, seen := e.recorder.known()
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
	return slog.GroupValue(attrs...)
}

// figures writes the counters in one line, at a stop.
func (r *recorder) figures() {
	attrs := []any{}
	r.ends.Do(func(kv expvar.KeyValue) { attrs = append(attrs, kv.Key, kv.Value.String()) })
	r.log.Info("requests so far", attrs...)
}
