package mthost

import (
	"errors"
	"fmt"
	"io"
	"time"

	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtreply"
)

// A request may crash every server that runs it, and its caller resends it through any
// daemon to any server. Each crash makes the keys of a server unavailable for some seconds
// and loses whatever else was in flight there. So the daemons publish which requests were in
// flight at a crash, and refuse a request that was in flight at too many.

// refusePoison refuses a call whose request is suspected of crashing its servers. It fails with a
// *mtreply.RefusedError.
func (h *Host) refusePoison(now mtclock.Instant, p mtpoison.Fingerprint, call *mtcall.Call) error {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	left := h.recurring.RefusedFor(now, p, claims(call))
	h.logCleared(call.ID)
	if left == 0 {
		return nil
	}
	return h.poisonError(now, p, left)
}

// startRequest records that a call is sent to the server, or refuses it like refusePoison.
func (h *Host) startRequest(now mtclock.Instant, p mtpoison.Fingerprint, call *mtcall.Call) (*mtpoison.Run, error) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	run, left := h.recurring.Start(now, p, call.Deadline, claims(call))
	h.logCleared(call.ID)
	if run == nil {
		return nil, h.poisonError(now, p, left)
	}
	if run.Probe() {
		h.crashes.Probes++
		h.Log.Warn("a request that is refused runs as a probe", "id", string(call.ID), "fingerprint", p.String(), "losses", lossTexts(h.recurring.LossesOf(now, p)))
	}
	return run, nil
}

// claims returns what is known of the request of a call. A key has one owner, so that a keyed call
// goes to no other server.
func claims(call *mtcall.Call) mtpoison.Claims {
	c := call.Claims
	c.SoleServer = c.SoleServer || call.Keyed
	return c
}

// poisonError returns the refusal of a request that is suspected of crashing its servers. It is called
// with crashMu held.
func (h *Host) poisonError(now mtclock.Instant, p mtpoison.Fingerprint, left time.Duration) error {
	h.crashes.Refused++
	return &mtreply.RefusedError{Cause: mtreply.CauseQuarantined, RetryAfter: left, Detail: fmt.Sprintf("servers were lost each time that the request %s ran: %v", p, h.recurring.LossesOf(now, p))}
}

// requestEnded records how a request that was sent to the server ended.
func (h *Host) requestEnded(id mtcall.ID, run *mtpoison.Run, answer *mtcall.Answer, err error) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	how := runResult(err)
	if how == mtpoison.Answered && !answer.Finished() {
		how = mtpoison.GivenUp
	}
	h.recurring.Ended(h.Clock.Now(), run, how)
	h.logCleared(id)
}

// logCleared logs which losses no longer count against a request, and the call by which. It is
// called with crashMu held.
func (h *Host) logCleared(id mtcall.ID) {
	for _, c := range h.recurring.TakeCleared() {
		h.crashes.Cleared++
		h.Log.Info("losses of servers no longer count against a request: "+string(c.By), "id", string(id), "fingerprint", c.Fingerprint.String(), "losses", lossTexts(c.Losses), "age", c.Age)
	}
}

// runResult classifies how a request ended at the server.
func runResult(err error) mtpoison.RunResult {
	var unknown *mtreply.UnknownError
	switch {
	case err == nil:
		return mtpoison.Answered
	case errors.As(err, &unknown) && endedByServer(unknown):
		return mtpoison.Broken
	case errors.As(err, &unknown):
		return mtpoison.Abandoned
	}
	return mtpoison.NotRun
}

// endedByServer reports whether the server ended the connection of a request before its whole
// answer, as a process that ends does.
func endedByServer(err *mtreply.UnknownError) bool {
	return err.Cause == mtreply.CauseLost || errors.Is(err, io.ErrUnexpectedEOF)
}

// heartbeatOpened records that the server opened the connection of a heartbeat after the given time.
func (h *Host) heartbeatOpened(at mtclock.Instant) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.HeartbeatOpened(at)
}

// serverLost records that the server's process has terminated. It is called with mu held,
// before the record that reports the end is published.
func (h *Host) serverLost() {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	now := h.Clock.Now()
	if h.leftInTime(now) {
		h.recurring.ForgetRuns()
		return
	}
	loss, e := h.recurring.ServerLost(now, mtpoison.LossID{Daemon: h.Daemon, Server: h.record.Incarnation})
	h.crashes.add(loss, e)
	log := h.Log.With("server", h.record.Incarnation.String(), "running", e.Running, "broken", e.Broken, "abandoned", e.Abandoned, "answered", e.Answered, "left-out", e.LeftOut, "served", fingerprintTexts(loss.Served), "probed", fingerprintTexts(loss.Probed))
	if len(loss.Suspects) == 0 {
		log.Warn("no request is suspected of the loss of the server")
		return
	}
	log.Warn("requests in flight when the server was lost are suspected", "suspects", fingerprintTexts(loss.Suspects))
	h.PublishLoss(loss)
}

// CrashCounts counts the losses of this VM's server in this process, and how they showed.
type CrashCounts struct {
	Losses    int `json:"losses"`
	Running   int `json:"running"`   // requests in flight when a loss was detected
	Broken    int `json:"broken"`    // ended by the server shortly before
	Abandoned int `json:"abandoned"` // ended by a deadline or the caller shortly before
	Answered  int `json:"answered"`  // of all, those that a server had answered before
	Probes    int `json:"probes"`    // runs of refused requests that were let through
	Suspects  int `json:"suspects"`  // published
	LeftOut   int `json:"leftOut"`   // not published, since there were too many
	Refused   int `json:"refused"`   // calls refused because servers were lost when they ran
	Cleared   int `json:"cleared"`   // requests against which losses no longer count, by an answer
}

// crashCounts returns the counts so far.
func (h *Host) crashCounts() CrashCounts {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.crashes
}

func (c *CrashCounts) add(l mtpoison.Loss, e mtpoison.Evidence) {
	c.Losses++
	c.Running += e.Running
	c.Broken += e.Broken
	c.Abandoned += e.Abandoned
	c.Answered += e.Answered
	c.Suspects += len(l.Suspects)
	c.LeftOut += e.LeftOut
}

// fingerprintTexts returns fingerprints for logs.
func fingerprintTexts(fingerprints []mtpoison.Fingerprint) []string {
	var texts []string
	for _, p := range fingerprints {
		texts = append(texts, p.String())
	}
	return texts
}

// lossTexts returns the identities of losses for logs.
func lossTexts(losses []mtpoison.LossID) []string {
	var texts []string
	for _, l := range losses {
		texts = append(texts, l.String())
	}
	return texts
}

// leftInTime reports whether the server has been leaving for longer than it promises to serve: its
// end shows nothing about what it was still at work on. It is called with mu held.
func (h *Host) leftInTime(now mtclock.Instant) bool {
	since, leaving := h.leavingSince[h.record.Incarnation]
	return leaving && now.Sub(since) >= h.DrainPeriod
}

// MergeLoss merges the loss of a server that a daemon has published.
func (h *Host) MergeLoss(l mtpoison.Loss) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	if h.recurring.MergeLoss(h.Clock.Now(), l) {
		h.Log.Info("a server was lost", "loss", l.ID.String(), "suspects", fingerprintTexts(l.Suspects))
	}
}

// Claims returns what is known of a request that this daemon sends.
func (h *Host) Claims(p mtpoison.Fingerprint) mtpoison.Claims {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.recurring.ClaimsOf(h.Clock.Now(), p)
}

// ClearedLosses returns the losses of which answers have cleared a request, as far as known here.
func (h *Host) ClearedLosses(p mtpoison.Fingerprint) []mtpoison.LossKey {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.recurring.ClearedLosses(h.Clock.Now(), p)
}

// MarkAnswered records the answer of another daemon to a call of this one that went with the claims.
func (h *Host) MarkAnswered(id mtcall.ID, p mtpoison.Fingerprint, c mtpoison.Claims) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.recurring.MarkAnswered(h.Clock.Now(), p, c.Mark)
	h.logCleared(id)
}
