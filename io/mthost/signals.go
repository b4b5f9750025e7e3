package mthost

import (
	"math"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// A server reports with its answers how many calls per second it takes, and that it is
// leaving. Only this daemon reads those answers first, and only it sees all calls to the server,
// so that it enforces both. The other daemons pass the answers on to their callers and are
// bound by that even after this process has been replaced. So they send what they know back
// with their calls.

// signals is what the current incarnation of the server has reported with its answers.
type signals struct {
	limit   mtbackend.LimitTracker
	trial   mtbackend.LimitTrial
	started int64          // h.startedCalls when the trial was last advanced
	heard   bool           // it has answered a call of this process
	staying bool           // one of these answers did not report that it leaves
	logged  mtbackend.Rate // limit that was logged last
	invalid string         // last text that could not be read
}

// observeSignals processes what an incarnation of the server reports about itself with the
// answer to a call that was sent at the given time.
func (h *Host) observeSignals(incarnation mtid.ServerIncarnation, sent mtclock.Instant, s mtbackend.Signals) {
	h.recordSlowness(h.Clock.Now(), s.Slowness)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.record.Incarnation == incarnation {
		h.applySignals(sent, s)
	}
}

// applySignals processes the signals of the current incarnation. It is called with mu held.
func (h *Host) applySignals(sent mtclock.Instant, s mtbackend.Signals) {
	if s.Invalid != "" && s.Invalid != h.signals.invalid {
		h.Log.Warn("server reports what can't be read", "server", h.record.Incarnation.String(), "text", s.Invalid, "on", string(s.Source))
	}
	h.signals.invalid = s.Invalid
	h.signals.heard = h.signals.heard || s.Source == mtbackend.SourceAnswer
	// A limit that can't be read means that the server is overloaded: one call per slot and
	// second burdens it little, and shows when the limit has ended.
	h.signals.limit.Observe(h.Clock.Now(), sent, s, mtbackend.Rate(h.record.Slots))
	h.applyRateLimit(string(s.Source))
	h.signals.staying = h.signals.staying || s.Source == mtbackend.SourceAnswer && !s.Leaving
	if s.Leaving {
		h.leaveByAnswer(h.signals.staying, string(s.Source))
	}
}

// leaveByAnswer makes the current incarnation of the server drain, because an answer reports
// that it is leaving. It is called with mu held.
//
// The time for new work counts from now only if the leaving is news: if an answer to this
// process did not report it before. Otherwise a previous process may have passed it on, and the
// time counts as over: a restarted daemon that counted it anew, from its first answer, sent calls
// to the server a second after another daemon had passed the leaving on.
func (h *Host) leaveByAnswer(news bool, on string) {
	now := h.Clock.Now()
	at := now
	if !news {
		at = now.Add(-h.DrainPeriod)
	}
	h.acknowledgeLeaving(h.record.Incarnation, at)
	switch h.record.State {
	case mtbackend.Ready:
		h.startDraining(now, on)
	case mtbackend.Draining:
		h.advanceDrain(now)
	}
}

// applyNotice processes what another daemon knows of the server, before a call of that daemon
// is admitted. It may come from answers to a previous process: a rate limit counts only until
// the server has answered this one, and leaving that this one knows since it was news is not
// counted from before that.
func (h *Host) applyNotice(n mtbackend.Notice) {
	if n.IsZero() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if n.Incarnation != h.record.Incarnation {
		return
	}
	if n.Leaving && (h.record.State != mtbackend.Draining || !h.signals.staying) {
		h.leaveByAnswer(false, string(mtbackend.SourcePeer))
	}
	if n.Limited && !h.signals.heard {
		h.signals.limit.Assume(n.Limit)
		h.applyRateLimit(string(mtbackend.SourcePeer))
	}
}

// limitLogStep is the ratio of two limits from which a change is logged: a server may name
// another limit with each answer.
const limitLogStep = 1.25

// applyRateLimit applies the server's rate limit to the gate, and logs it if it begins, ends or
// has changed by much. It is called with mu held.
func (h *Host) applyRateLimit(on string) {
	rate, logged := h.signals.limit.Rate(), h.signals.logged
	h.admission.LimitRate(rate)
	if rate <= logged*limitLogStep && logged <= rate*limitLogStep {
		return
	}
	h.signals.logged = rate
	h.Log.Info("server's rate limit", "server", h.record.Incarnation.String(), "limit", limitText(rate), "on", on, "started", h.startedCalls.Load())
}

// tryLimit advances the trial of the server's rate limit, which begins when no call has confirmed
// the limit for some time. The gate keeps to the limit meanwhile. It is called with mu held.
func (h *Host) tryLimit() {
	limit, started := h.signals.limit.Rate(), h.startedCalls.Load()
	running, _ := h.admission.Busy()
	busy := running > 0 || started != h.signals.started
	h.signals.started = started
	if h.signals.trial.Advance(h.Clock.Steady(), limit, busy) {
		h.Log.Info("server's rate limit is tried: no recent call has confirmed it", "server", h.record.Incarnation.String(), "limit", limitText(limit), "started", started)
	}
}

// limitText returns a rate limit for logs and metrics: the rate per second, or null.
func limitText(rate mtbackend.Rate) any {
	if rate >= mtbackend.Unlimited {
		return nil
	}
	return math.Round(float64(rate)*1000) / 1000
}

// report returns what the server has reported about itself, for other daemons. It is called with
// mu held.
func (h *Host) report() mtbackend.Report {
	rate := h.signals.limit.Rate()
	n := mtbackend.Notice{Incarnation: h.record.Incarnation, Limited: rate < mtbackend.Unlimited, Leaving: h.record.State == mtbackend.Draining}
	if n.Limited {
		n.Limit = rate
	}
	return mtbackend.Report{Notice: n, Unheard: !h.signals.heard}
}
