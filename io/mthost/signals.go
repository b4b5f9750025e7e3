package mthost

import (
	"math"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

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
	if s.Invalid != "" && s.Invalid != h.invalidSignals {
		h.Log.Warn("server reports what can't be read", "server", h.record.Incarnation.String(), "text", s.Invalid, "on", string(s.Source))
	}
	h.invalidSignals = s.Invalid
	h.limit.Observe(h.Clock.Now(), sent, s, mtbackend.Rate(h.record.Slots))
	h.logLimit(s.Source)
}

// limitLogStep is the ratio of two limits from which a change is logged: a server may name
// another limit with each answer.
const limitLogStep = 1.25

// logLimit logs the server's rate limit if it begins, ends or has changed by much. It is
// called with mu held.
func (h *Host) logLimit(on mtbackend.SignalSource) {
	rate, logged := h.limit.Rate(), h.loggedLimit
	began, ended := logged == mtbackend.Unlimited && rate != logged, rate == mtbackend.Unlimited && rate != logged
	if !began && !ended && rate <= logged*limitLogStep && logged <= rate*limitLogStep {
		return
	}
	h.loggedLimit = rate
	h.Log.Info("server's rate limit", "server", h.record.Incarnation.String(), "limit", limitText(rate), "on", string(on), "started", h.startedCalls.Load())
}

// limitText returns a rate limit for logs and metrics: the rate per second, or null.
func limitText(rate mtbackend.Rate) any {
	if rate >= mtbackend.Unlimited {
		return nil
	}
	return math.Round(float64(rate)*1000) / 1000
}

// StartedCalls returns the number of calls that have been sent to the server.
func (h *Host) StartedCalls() int64 { return h.startedCalls.Load() }
