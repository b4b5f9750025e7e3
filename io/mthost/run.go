package mthost

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtcall"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	iobackend "magnoliaturn/io/mtbackend"
	iogate "magnoliaturn/io/mtgate"
)

// Run runs a call on the server.
func (h *Host) Run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	answer, err := h.run(ctx, call)
	if err != nil {
		h.logUnanswered(call, err)
	}
	return answer, err
}

// logUnanswered logs why a call was not answered. The message contains the cause, because
// the log limits the number of lines per message: a frequent cause must not suppress the
// others.
func (h *Host) logUnanswered(call *mtcall.Call, err error) {
	reply := mtrequest.FromError(err)
	if reply.Cause == mtreply.CauseBusy {
		return // its sender goes on to another server
	}
	if reply.Cause == mtreply.CauseQuota {
		h.quotaRefused.Add(1)
	}
	if reply.Cause == mtreply.CauseWithdrawn {
		h.withdrawnRefused.Add(1)
	}
	h.Log.Info("call "+string(reply.Outcome)+": "+string(reply.Cause), slog.Any("", unanswered{host: h, call: call, err: err}))
}

// unanswered is the log value of a call that was not answered. Its attributes are collected
// only if the line is written: under load most lines are left out.
type unanswered struct {
	host *Host
	call *mtcall.Call
	err  error
}

// LogValue implements slog.LogValuer.
func (u unanswered) LogValue() slog.Value {
	load := u.host.Load()
	record, _ := u.host.Record()
	attrs := []slog.Attr{
		slog.String("id", string(u.call.ID)), slog.String("route", string(u.call.Route)),
		slog.String("server", record.Incarnation.String()), slog.String("state", string(record.State)),
		slog.Int("running", load.Running), slog.Int("waiting", load.Waiting), slog.Int("slots", load.Slots),
		slog.String("service", load.ServiceTime.String()),
		slog.String("left", u.call.Deadline.Sub(u.host.Clock.Now()).String()), slog.String("error", u.err.Error()),
	}
	if u.call.MayCrash(u.err) {
		attrs = append(attrs, slog.String("fingerprint", u.call.Fingerprint().String()), slog.String("run", runResult(u.err).String()))
	}
	if u.call.Keyed {
		attrs = append(attrs, slog.Int("key", int(u.call.Key)))
	}
	return slog.GroupValue(attrs...)
}

func (h *Host) run(ctx context.Context, call *mtcall.Call) (*mtcall.Answer, error) {
	arrived := h.Clock.Now()
	h.applyNotice(call.Notice)
	record, admission, err := h.checkAccepts(call)
	if err != nil {
		return nil, err
	}
	if err := h.checkShutdown(call); err != nil {
		return nil, err
	}
	fingerprint := call.Fingerprint()
	if err := h.refusePoison(arrived, fingerprint, call); err != nil {
		return nil, err
	}
	h.recordArrival(arrived, call)
	ticket := mtgate.Ticket{
		Class: call.Route, Deadline: call.Deadline, Objective: call.Objective, Priority: call.Priority, Nested: call.Nested,
		Patience: call.Patience, Try: call.Try,
	}
	if call.Keyed {
		ticket.Point = call.Key.Point()
	}
	end, err := admission.Admit(ctx, ticket)
	if err != nil {
		return nil, withKeyMoveRetry(call, err)
	}
	defer end()
	// While the call waited, its key may have moved, its sender have withdrawn it, or the shutdown
	// of this daemon have begun.
	if call.Keyed {
		if err := h.CheckGrant(record.Incarnation, call.Key); err != nil {
			return nil, err
		}
	}
	if err := h.checkShutdown(call); err != nil {
		return nil, err
	}
	started := h.Clock.Now()
	run, err := h.startRequest(started, fingerprint, call)
	if err != nil {
		return nil, err
	}
	defer h.track(call)()
	_, address := h.Record()
	h.startedCalls.Add(1)
	answer, err := h.Client.Do(ctx, iobackend.Target{
		Address: address, Server: record.Incarnation.Server,
		Observe: func(s mtbackend.Signals) { h.observeSignals(record.Incarnation, started, s) },
	}, call)
	h.requestEnded(call.ID, run, answer, err)
	if err != nil {
		h.handleFailure(record.Incarnation, call, err)
		return nil, err
	}
	answer.Queued = started.Sub(arrived)
	ended := h.Clock.Now()
	answer.Served = ended.Sub(started)
	if !answer.OutOfTime() {
		h.recordServiceTime(call.Route, answer.Served)
	}
	return answer, nil
}

// withKeyMoveRetry returns the refusal of a call. For a key whose server is leaving, or is
// in a zone out of service, it sets the time after which the key can have another owner.
// Without it the caller would retry at once, when nothing can have changed.
func withKeyMoveRetry(call *mtcall.Call, err error) error {
	var refused *mtreply.RefusedError
	if !call.Keyed || !errors.As(err, &refused) || refused.Cause != mtreply.CauseDraining && refused.Cause != mtreply.CauseZoneOut {
		return err
	}
	return &mtreply.RefusedError{Cause: refused.Cause, RetryAfter: keyMoveRetry, Detail: refused.Detail}
}

// track records a call as in flight at the server until the returned function is called.
func (h *Host) track(call *mtcall.Call) func() {
	h.inFlightMu.Lock()
	defer h.inFlightMu.Unlock()
	started := h.inFlight[call.ID]
	started.count++
	// If several runs of a call are in flight, a nested call could be part of any of them. One
	// repeat among them makes all their nested calls repeats.
	repeat := call.Repeat || started.latest.Repeat
	started.latest = mtcall.Parent{Priority: call.Priority, Repeat: repeat}
	h.inFlight[call.ID] = started
	return func() {
		h.inFlightMu.Lock()
		defer h.inFlightMu.Unlock()
		ended := h.inFlight[call.ID]
		ended.count--
		h.inFlight[call.ID] = ended
		if ended.count == 0 {
			delete(h.inFlight, call.ID)
		}
	}
}

// Parent returns the call in flight at this VM's server from whose identifier another one is
// derived, by appending a dot and a suffix. The server sends the request with that identifier
// as part of the call. Parent returns false if there is no such call.
func (h *Host) Parent(id mtcall.ID) (mtcall.Parent, bool) {
	dot := strings.LastIndexByte(string(id), '.')
	if dot < 0 {
		return mtcall.Parent{}, false
	}
	h.inFlightMu.Lock()
	defer h.inFlightMu.Unlock()
	parents, ok := h.inFlight[id[:dot]]
	return parents.latest, ok
}

// checkAccepts returns the server's record and gate if the server accepts the call.
func (h *Host) checkAccepts(call *mtcall.Call) (mtbackend.Record, *iogate.AdmissionController[*mtgate.Urgent], error) {
	h.mu.Lock()
	now := h.Clock.Now()
	// After a pause of this process, calls may be next before the tick is.
	h.drainIfDue(now)
	h.detectPause(now)
	record, admission := h.record, h.admission
	zoneOpen := h.zone.Admits(now, call.Keyed)
	h.mu.Unlock()
	switch {
	case record.Service != call.Service:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute, Detail: "another service runs here"}
	case record.State == mtbackend.Unknown || record.State == mtbackend.Ended:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseNoServer, RetryAfter: time.Second}
	case record.Leaving && !call.Keyed:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseStopping}
	case record.State == mtbackend.Draining && !call.Keyed:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseDraining}
	case !zoneOpen:
		return record, nil, &mtreply.RefusedError{Cause: mtreply.CauseZoneOut, RetryAfter: keyMoveRetry}
	}
	if call.Keyed {
		if err := h.CheckGrant(record.Incarnation, call.Key); err != nil {
			return record, nil, err
		}
	}
	return record, admission, nil
}

// checkShutdown refuses a call that is not to begin because of a shutdown: one that could
// outlast this daemon, or one that its sender has withdrawn. The keys of a daemon that shuts
// down move, so that a keyed call is sent again to their next owner.
func (h *Host) checkShutdown(call *mtcall.Call) error {
	h.mu.Lock()
	schedule := h.shutdown
	withdrawn := h.withdrawnTries.Has(h.Clock.Now(), call.Try)
	h.mu.Unlock()
	if withdrawn {
		return &mtreply.RefusedError{Cause: mtreply.CauseWithdrawn}
	}
	if schedule == nil {
		return nil
	}
	err := schedule.Check(h.Clock.Now(), call.Deadline)
	if err != nil && call.Keyed {
		return &mtreply.RefusedError{Cause: mtreply.CauseNoLease, RetryAfter: stoppingRetry, Detail: err.Error()}
	}
	return err
}
