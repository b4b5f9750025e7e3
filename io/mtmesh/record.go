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
	configuration, seen := r.known()
	attrs := []any{
		"id", string(call.ID), "route", string(call.Route), "service", string(call.Service), "status", status,
		"took", took.String(), "queued", s.Queue.String(), "served", s.Server.String(),
		"configuration", uint64(configuration), "seen", uint64(seen),
	}
	if call.Keyed {
		attrs = append(attrs, "key", int(call.Key))
	}
	if call.Nested {
		attrs = append(attrs, "nested", true)
	}
	if len(call.Tries) > 0 {
		attrs = append(attrs, "tries", call.Tries)
	}
	if err == nil {
		r.log.Info(message, attrs...)
		return
	}
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		attrs = append(attrs, "retry", refused.RetryAfter.String())
	}
	r.log.Info(message, append(attrs, "error", err.Error())...)
}

// figures writes the counters in one line, at a stop.
func (r *recorder) figures() {
	attrs := []any{}
	r.ends.Do(func(kv expvar.KeyValue) { attrs = append(attrs, kv.Key, kv.Value.String()) })
	r.log.Info("requests so far", attrs...)
}
