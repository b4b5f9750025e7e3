package mthost

import (
	"errors"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// A request may crash each server that runs it, and its caller sends it again, through
// any daemon and to any server. Nothing was held against it: each loss costs the keys
// of a server some seconds, and whatever else was in flight there. The daemons tell each
// other in their records what was in flight at a loss, and refuse what was so too often.

// contain refuses a request that is held to have crashed its servers. It fails with a
// *mtreply.RefusedError.
func (h *Host) contain(now mtclock.Instant, p mtpoison.Fingerprint, proven bool) error {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	left := h.recurring.RefusedFor(now, p, proven)
	if left == 0 {
		return nil
	}
	return &mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: left, Detail: "servers were lost each time that the request ran"}
}

// began notes that a request is sent to the server.
func (h *Host) began(p mtpoison.Fingerprint) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.Started(p)
}

// ended notes how a request that began has ended.
func (h *Host) ended(p mtpoison.Fingerprint, err error) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.Ended(h.Clock.Now(), p, endOf(err))
}

// endOf returns what the end of a request tells of its server.
func endOf(err error) mtpoison.RunResult {
	var unknown *mtreply.UnknownError
	switch {
	case err == nil:
		return mtpoison.Answered
	case errors.As(err, &unknown) && unknown.Cause == mtreply.CauseLost:
		return mtpoison.Broken
	case errors.As(err, &unknown):
		return mtpoison.Abandoned
	}
	return mtpoison.NotRun
}

// lost notes that the server's process has ended. It is called with mu held, and before
// the record is published that says so.
func (h *Host) lost() {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	suspects := h.recurring.ServerLost(h.Clock.Now(), h.Daemon)
	if suspects == h.record.Suspects {
		return
	}
	h.record.Suspects = suspects
	h.Log.Warn("requests in flight when the server was lost are suspected", "server", h.record.Incarnation.String(), "suspects", string(suspects))
}

// Heard takes in what another daemon suspects, by its record.
func (h *Host) Heard(r mtbackend.Record) {
	if r.Suspects == "" {
		return
	}
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.MergeSuspects(h.Clock.Now(), r.Daemon, r.Suspects)
}

// Proven reports whether a server has answered the same request before.
func (h *Host) Proven(p mtpoison.Fingerprint) bool {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.recurring.Answered(p)
}

// Prove notes that a server anywhere has answered a request.
func (h *Host) Prove(p mtpoison.Fingerprint) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.MarkAnswered(p)
}
