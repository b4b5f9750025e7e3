package mthost

import (
	"cmp"
	"fmt"
	"slices"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	iobackend "magnoliaturn/io/mtbackend"
)

// proof is what shows that an incarnation is the server of this VM.
type proof string

const (
	// proofAnswer: the server has answered with the name of the incarnation.
	proofAnswer proof = "answer"
	// proofHeartbeats: the incarnation has sent two heartbeats, and the server could not be asked.
	proofHeartbeats proof = "heartbeats"
)

// contender is an unknown sender of heartbeats, which may be the server.
type contender struct {
	first   mtbackend.Heartbeat
	latest  mtbackend.Heartbeat
	arrived mtclock.Instant // the latest
	refuted bool            // by the server's answer or its process; another answer may show the contrary
	again   bool            // it has sent a second heartbeat
	asked   bool            // the server has not answered a query since the first
}

// contenders are the unknown senders of heartbeats, the one with the latest heartbeat last.
type contenders []contender

// maxContenders bounds the number of contenders. The one that was silent for longest is dropped.
const maxContenders = 64

// observe adds a heartbeat.
func (c *contenders) observe(now mtclock.Instant, b mtbackend.Heartbeat, refuted bool) {
	next := contender{first: b, latest: b, arrived: now, refuted: refuted}
	if i := slices.IndexFunc(*c, func(o contender) bool { return o.latest.Incarnation == b.Incarnation }); i >= 0 {
		previous := (*c)[i]
		next.first, next.asked = previous.first, previous.asked
		next.again = previous.again || b.Sequence > previous.latest.Sequence
		*c = slices.Delete(*c, i, i+1)
	}
	if len(*c) == maxContenders {
		*c = slices.Delete(*c, 0, 1)
	}
	*c = append(*c, next)
}

// has reports whether an incarnation is a contender that isn't refuted.
func (c contenders) has(incarnation mtid.ServerIncarnation) bool {
	return slices.ContainsFunc(c, func(o contender) bool { return !o.refuted && o.latest.Incarnation == incarnation })
}

// unanswered records that the server has not answered a query.
func (c contenders) unanswered() {
	for i := range c {
		c[i].asked = true
	}
}

// pending reports whether a heartbeat has arrived so recently that the server is queried because of it.
func (c contenders) pending(now mtclock.Instant) bool {
	return len(c) > 0 && now.Sub(c[len(c)-1].arrived) <= identifyWindow
}

// allRefuted reports whether no contender is left that may be the server as far as known.
func (c contenders) allRefuted() bool {
	return !slices.ContainsFunc(c, func(o contender) bool { return !o.refuted })
}

// names returns the contenders' names, for the log.
func (c contenders) names() []string {
	var names []string
	for _, o := range c {
		names = append(names, o.latest.Incarnation.String())
	}
	return names
}

// ForeignSenderError reports a heartbeat whose sender is not the server of this VM.
type ForeignSenderError struct {
	Sender mtid.ServerIncarnation
	Reason string
}

// Error implements error.
func (e *ForeignSenderError) Error() string {
	return fmt.Sprintf("host: %.80q isn't the server: %s", e.Sender.String(), e.Reason)
}

// observeContender determines whether the sender of a heartbeat is the running incarnation, by
// querying the server. If that fails, a second heartbeat of the same incarnation confirms it too,
// unless something shows that the known one runs. It is called with mu held.
func (h *Host) observeContender(b mtbackend.Heartbeat) error {
	now := h.Clock.Now()
	refuted, running := h.refuted[b.Incarnation.Server], h.provenRunning()
	h.contenders.observe(now, b, refuted || running)
	if !refuted && !running {
		h.observeLeaving(b)
	}
	h.acceptHeartbeats()
	h.identify(now)
	switch {
	case refuted:
		return &ForeignSenderError{Sender: b.Incarnation, Reason: "another one answers at its address"}
	case running:
		return &ForeignSenderError{Sender: b.Incarnation, Reason: fmt.Sprintf("the process of %s runs at its address", h.record.Incarnation)}
	}
	return nil
}

// acceptHeartbeats makes a contender the current incarnation that has sent two heartbeats, if the server
// can't be queried. It is called with mu held.
func (h *Host) acceptHeartbeats() {
	if h.provenRunning() {
		return
	}
	for _, c := range slices.Backward(h.contenders) {
		if c.again && !c.refuted && (c.asked || h.Health() == "") && h.mayHaveReplaced(c.first, c.latest) {
			h.startIncarnation(c.latest, proofHeartbeats)
			return
		}
	}
}

// provenRunning reports whether the process of the current incarnation is certainly the one at the
// server's address: the server has named it, and the connection that ends with the process is open. It
// is called with mu held.
func (h *Host) provenRunning() bool {
	t := h.liveness
	return h.proof == proofAnswer && t != nil && t.incarnation == h.record.Incarnation && t.confirmed && t.open()
}

// mayHaveReplaced reports whether two heartbeats of an unknown incarnation, its first and its latest one,
// show that it runs instead of the current one. They don't
//
//   - if both may have been sent before the current one started;
//   - if the current one, or another sender, was running after the unknown one was;
//   - if nothing listens at the server's address, and the sender isn't leaving.
//
// It is called with mu held.
func (h *Host) mayHaveReplaced(first, latest mtbackend.Heartbeat) bool {
	newer := h.record.Incarnation.IsZero() || latest.OpenedAfter.After(h.lastAccepted)
	outlived := first.Accepted != 0 && h.lastOpened.After(first.Accepted) && (h.proof == proofAnswer || !h.noHeartbeat(h.Clock.Now()))
	late := slices.ContainsFunc(h.contenders, func(o contender) bool {
		return !o.refuted && o.latest.Incarnation != latest.Incarnation && latest.OpenedAfter.Before(o.latest.Accepted)
	})
	// A leaving server may refuse connections.
	absent := h.nothingListens && !latest.Draining
	return newer && !outlived && !late && !absent
}

// settle processes the server's answer to a query that was sent at a time: of the contenders with the name that it
// answers, the one that started last is running, and those with another name aren't the server. It is called
// with mu held.
func (h *Host) settle(sent mtclock.Instant, health iobackend.Health) {
	var named, others contenders
	for _, c := range h.contenders {
		if c.latest.Incarnation.Server == health.Server {
			named = append(named, c)
			continue
		}
		if !c.arrived.After(sent) {
			h.refute(c.latest.Incarnation, health.Server)
		}
		others = append(others, c)
	}
	h.contenders = slices.DeleteFunc(others, func(c contender) bool { return !c.arrived.After(sent) })
	delete(h.refuted, health.Server)
	isCurrent := h.record.Incarnation.Server == health.Server && !h.ended[h.record.Incarnation]
	if isCurrent && (len(named) == 0 || h.provenRunning()) {
		// The current incarnation runs. Others of its name were made up, or have ended.
		h.proof = proofAnswer
		return
	}
	if len(named) > 0 {
		latest := slices.MaxFunc(named, func(a, b contender) int {
			return cmp.Compare(a.latest.Incarnation.Started, b.latest.Incarnation.Started)
		}).latest
		h.startIncarnation(latest, proofAnswer)
		h.applySignals(sent, health.Signals)
	}
}

// logUndetermined logs that a query had no result, once for each reason and set of contenders. It is called with
// mu held.
func (h *Host) logUndetermined(err error) {
	names := h.contenders.names()
	line := fmt.Sprint(names, iobackend.ConnectionRefused(err), iobackend.ConnectionTimedOut(err))
	if line != h.undetermined {
		h.Log.Info("running incarnation of the server could not be determined", "beats", names, "error", err)
	}
	h.undetermined = line
}

// refute records that senders of a name aren't the server. It is called with mu held.
func (h *Host) refute(incarnation mtid.ServerIncarnation, answers mtid.Server) {
	if h.refuted[incarnation.Server] {
		return
	}
	if len(h.refuted) >= maxContenders {
		clear(h.refuted)
	}
	h.refuted[incarnation.Server] = true
	h.Log.Warn("heartbeat is not from the running incarnation of the server", "beat", incarnation.String(), "server", string(answers))
}

// replaceIncarnation records that an incarnation was replaced by another one. What only heartbeats show may turn
// out to be wrong. It is called with mu held.
func (h *Host) replaceIncarnation(former mtid.ServerIncarnation, by proof) {
	if by == proofHeartbeats && !h.ended[former] {
		if len(h.replacedAt) >= maxContenders {
			clear(h.replacedAt)
		}
		h.replacedAt[former] = h.Clock.Now()
	}
	h.ended[former] = true
}

// hasOutlivedReplacement reports whether a heartbeat shows that an incarnation runs although it was replaced. It
// is called with mu held.
func (h *Host) hasOutlivedReplacement(b mtbackend.Heartbeat) bool {
	at, replaced := h.replacedAt[b.Incarnation]
	return replaced && b.OpenedAfter.After(at) && !b.Incarnation.Before(h.record.Incarnation)
}
