package mtpoison

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
)

const (
	// lossesToRefuse is the number of server losses with a request in flight after
	// which that request is refused as their cause.
	lossesToRefuse = 3
	// LossTTL is how long a loss counts against the requests that were in flight. A
	// harmless request that was refused runs again after that.
	LossTTL = 10 * time.Minute
	// maxEnded is the number of unanswered runs retained, the newest ones.
	maxEnded = 256
	// maxAnswered is the number of answered requests retained: those of some tens of
	// seconds of a busy server.
	maxAnswered = 1024
	// maxLosses is the number of losses retained, the newest ones: all servers of a large
	// fleet may be lost at once.
	maxLosses = 1024
	// maxCleared is the number of clearances retained for logs: those of a busy tick.
	maxCleared = 64
	// formerTime is how long after the start of a daemon it may read losses from before that.
	formerTime = 3 * time.Second
	// maxCrashTime is the longest time from when a crashing server breaks the connections of
	// its requests until its process ends: several times what a busy VM needs. It may send
	// heartbeats meanwhile.
	maxCrashTime = time.Second
)

// RecurrenceDetector detects requests that crash every backend server that runs them, by
// counting, for servers with many slots: a request that was in flight at three losses without
// an answer that speaks for it is refused from then on.
//
// Unlike with the Narrow rule of a Table, suspects don't run alone: a power failure
// terminates a hundred servers at once, and running all requests that were in flight
// there one by one would cost far more than a third crash. Harmless requests are
// recognized by an answer to the same request instead. An answer speaks only for what lies
// before it: the same request may crash servers from the next moment on, because the data of its key
// or the version of the servers has changed. So it clears losses that were known before its run
// began, and no later ones. A first answer clears one of them, or those that became known together,
// and more with each that follows: a request that crashes two of three servers is refused too.
//
// If a request is refused that a server had answered before, it may be harmless all the same. One
// run of it at a time is let through as a probe.
//
// The daemon beside a server tracks the requests in flight there (Start, Ended,
// HeartbeatOpened, ServerLost). How a run ended doesn't tell whether the server crashed: its
// connections may close in order, be reset or fall silent, and the caller may have left
// before. So each run without an answer counts as in flight at a loss until the server is
// known to have run after it. Losses are stored where they outlive all daemons, and each
// daemon merges them (MergeLoss). The daemon that sends a request passes on what it knows of it
// (Claims), since a daemon that has just started, or that now owns the key, has seen no answers.
//
// A RecurrenceDetector isn't safe for concurrent use.
type RecurrenceDetector struct {
	running    map[*Run]bool
	ended      []*Run // ended without an answer, oldest first
	answered   fingerprintRing
	begun      mtclock.Instant
	losses     map[LossID]*knownLoss
	order      []LossID // keys of losses, oldest first
	mark       Mark     // the number of losses merged so far
	suspicions map[Fingerprint]*suspicion
	cleared    []Clearance // since the last TakeCleared, the newest maxCleared
}

// Mark is a moment in the order in which a daemon learned of losses: the number of those that it had
// learned of until then.
type Mark uint64

// Run is a request that was sent to the server beside this daemon.
type Run struct {
	fingerprint Fingerprint
	started     mtclock.Instant
	mark        Mark            // at its start
	deadline    mtclock.Instant // after which the server no longer works on it
	// until is the latest time at which an unanswered run may have been in progress. The
	// server's process has survived it if it was running later.
	until  mtclock.Instant
	broken bool // ended by the server
	lost   bool // the server was lost during it
	probe  bool
	after  LossKey // of a probe, the newest loss known at its start
}

// Probe reports whether the run of a refused request was let through to find out whether it still
// crashes its server.
func (r *Run) Probe() bool { return r.probe }

// knownLoss is a loss and when this daemon learned of it.
type knownLoss struct {
	Loss
	mark Mark
	at   mtclock.Instant
	// former is set if the loss may be older than this daemon's process.
	former bool
}

// together reports whether two losses became known at the same time and so may have one cause: all
// servers of a rack lose power together, but a request crashes one server after the other.
func (l *knownLoss) together(other *knownLoss) bool {
	return !l.former && !other.former && l.at.Sub(other.at).Abs() < sameEvent
}

// NewRecurrenceDetector returns a RecurrenceDetector without any evidence.
func NewRecurrenceDetector(now mtclock.Instant) *RecurrenceDetector {
	return &RecurrenceDetector{
		begun: now, running: make(map[*Run]bool), answered: fingerprintRing{known: make(map[Fingerprint]bool)},
		losses: make(map[LossID]*knownLoss), suspicions: make(map[Fingerprint]*suspicion),
	}
}

// Start records that a request is sent to the server beside this daemon, which works on it until the
// deadline at most. It returns nil, and for how much longer the request is refused, if it is.
func (r *RecurrenceDetector) Start(now mtclock.Instant, p Fingerprint, deadline mtclock.Instant, c Claims) (*Run, time.Duration) {
	left, probe := r.admit(now, p, c)
	if left > 0 {
		return nil, left
	}
	run := &Run{fingerprint: p, started: now, mark: r.mark, deadline: deadline, probe: probe}
	if probe {
		run.after = r.order[len(r.order)-1].Key()
	}
	r.running[run] = true
	return run, 0
}

// Ended records how a request that was sent to the server ended.
func (r *RecurrenceDetector) Ended(now mtclock.Instant, run *Run, how RunResult) {
	delete(r.running, run)
	switch {
	case how == Answered || how == GivenUp:
		if how == Answered {
			r.markAnswered(now, run.fingerprint, run.mark, FromServer)
		}
		if !run.lost {
			r.serverAlive(run.started)
		}
	case how == NotRun || run.lost:
	case how == Broken:
		run.broken = true
		r.keepEnded(run, now)
	default:
		r.keepEnded(run, max(now, run.deadline))
	}
}

// keepEnded keeps a run that ended without an answer, and may have been in progress until the
// given time, as a possible cause of a loss of the server.
func (r *RecurrenceDetector) keepEnded(run *Run, until mtclock.Instant) {
	run.until = until
	r.ended = append(r.ended, run)
	if len(r.ended) > maxEnded {
		r.ended = slices.Delete(r.ended, 0, 1)
	}
}

// HeartbeatOpened records that the server, which has not been lost since, opened the connection of
// a heartbeat after the given time. A crashing server may still do so for up to maxCrashTime. If the
// heartbeat showed that it had outlived its requests, the crash would count against none of them.
// The time at which the connection was accepted must not be given: the server may have ended while
// the connection waited.
func (r *RecurrenceDetector) HeartbeatOpened(at mtclock.Instant) {
	r.serverAlive(at.Add(-maxCrashTime))
}

// serverAlive records that the server's process, which has not been lost since, was running at
// the given time. What ended before that has not crashed it: a server that cuts answers and
// lives brings no suspicion on requests.
func (r *RecurrenceDetector) serverAlive(at mtclock.Instant) {
	r.ended = slices.DeleteFunc(r.ended, func(run *Run) bool { return run.until.Before(at) })
}

// Evidence counts the requests that may have caused the loss of a server.
type Evidence struct {
	Running   int // in flight
	Broken    int // ended by the server, which is not known to have run after that
	Abandoned int // the same, but ended by this daemon or the caller
	Answered  int // of all, requests that a server is known to have finished before
	LeftOut   int // not published as suspects, since there were too many
}

// ServerLost records that the server beside this daemon was lost. It returns the loss to publish,
// which has no suspects if there is no evidence.
func (r *RecurrenceDetector) ServerLost(now mtclock.Instant, id LossID) (Loss, Evidence) {
	evidence := Evidence{Running: len(r.running)}
	for _, run := range r.ended {
		if run.broken {
			evidence.Broken++
		} else {
			evidence.Abandoned++
		}
	}
	suspects := r.inFlight()
	loss := Loss{ID: id}
	loss.Probed, loss.After = r.probed()
	r.ForgetRuns()
	for _, p := range suspects {
		if r.Answered(p) {
			evidence.Answered++
		}
	}
	r.sortLikeliest(now, suspects)
	evidence.LeftOut = max(len(suspects)-maxSuspects, 0)
	loss.Suspects = suspects[:min(len(suspects), maxSuspects)]
	for _, p := range loss.Suspects {
		if s := r.suspicions[p]; r.Answered(p) || s != nil && s.served {
			loss.Served = append(loss.Served, p)
		}
	}
	loss.Probed = slices.DeleteFunc(loss.Probed, func(p Fingerprint) bool { return !slices.Contains(loss.Suspects, p) })
	if len(loss.Suspects) > 0 {
		r.MergeLoss(now, loss)
	}
	return loss, evidence
}

// inFlight returns the fingerprints of all requests that may have been in progress at a loss,
// each once: first those still running, then those that ended, the latest first.
func (r *RecurrenceDetector) inFlight() []Fingerprint {
	fingerprints := make([]Fingerprint, 0, len(r.running)+len(r.ended))
	for run := range r.running {
		fingerprints = append(fingerprints, run.fingerprint)
	}
	slices.Sort(fingerprints)
	byEnd := slices.SortedStableFunc(slices.Values(r.ended), func(a, b *Run) int { return cmp.Compare(b.until, a.until) })
	for _, run := range byEnd {
		fingerprints = append(fingerprints, run.fingerprint)
	}
	seen := make(map[Fingerprint]bool, len(fingerprints))
	return slices.DeleteFunc(fingerprints, func(p Fingerprint) bool {
		known := seen[p]
		seen[p] = true
		return known
	})
}

// probed returns the fingerprints of the probes that may have been in progress at a loss, and the newest
// loss known at the start of the last one.
func (r *RecurrenceDetector) probed() ([]Fingerprint, LossKey) {
	var fingerprints []Fingerprint
	var last *Run
	for run := range r.unanswered() {
		if !run.probe {
			continue
		}
		fingerprints = append(fingerprints, run.fingerprint)
		if last == nil || run.mark > last.mark {
			last = run
		}
	}
	if last == nil {
		return nil, 0
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints), last.after
}

// unanswered returns the runs that may have been in progress at a loss.
func (r *RecurrenceDetector) unanswered() iter.Seq[*Run] {
	return func(yield func(*Run) bool) {
		for run := range r.running {
			if !yield(run) {
				return
			}
		}
		for _, run := range r.ended {
			if !yield(run) {
				return
			}
		}
	}
}

// sortLikeliest orders the suspects of a loss: first those against which most losses count, then
// those that no server is known to have answered.
func (r *RecurrenceDetector) sortLikeliest(now mtclock.Instant, suspects []Fingerprint) {
	rank := make(map[Fingerprint]int, len(suspects))
	for _, p := range suspects {
		rank[p] = -2 * len(r.countedAgainst(now, p))
		if r.Answered(p) {
			rank[p]++
		}
	}
	slices.SortStableFunc(suspects, func(a, b Fingerprint) int { return cmp.Compare(rank[a], rank[b]) })
}

// ForgetRuns drops all runs, because the server's process has ended: a later end of theirs says
// nothing about its next one.
func (r *RecurrenceDetector) ForgetRuns() {
	for run := range r.running {
		run.lost = true
	}
	clear(r.running)
	r.ended = nil
}

// MergeLoss adds a loss that a daemon published, and reports whether it was unknown.
func (r *RecurrenceDetector) MergeLoss(now mtclock.Instant, l Loss) bool {
	if _, known := r.losses[l.ID]; known {
		return false
	}
	r.mark++
	loss := &knownLoss{Loss: l, mark: r.mark, at: now, former: now.Sub(r.begun) < formerTime}
	r.losses[l.ID] = loss
	r.order = append(r.order, l.ID)
	for _, p := range l.Suspects {
		s := r.suspicions[p]
		if s == nil {
			s = &suspicion{}
			r.suspicions[p] = s
		}
		s.served = s.served || r.Answered(p) || slices.Contains(l.Served, p)
		s.charge(charge{knownLoss: loss, probed: slices.Contains(l.Probed, p)})
	}
	if len(r.order) > maxLosses {
		r.forgetLoss(r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
	return true
}

// forgetLoss removes a loss and what it counts for.
func (r *RecurrenceDetector) forgetLoss(id LossID) {
	loss, ok := r.losses[id]
	if !ok {
		return
	}
	for _, p := range loss.Suspects {
		s := r.suspicions[p]
		if s == nil {
			continue
		}
		if s.forget(id); s.empty() {
			delete(r.suspicions, p)
		}
	}
	delete(r.losses, id)
}

// LossesOf returns the losses that count against a request, oldest first.
func (r *RecurrenceDetector) LossesOf(now mtclock.Instant, p Fingerprint) []LossID {
	var out []LossID
	for _, c := range r.countedAgainst(now, p) {
		out = append(out, c.ID)
	}
	return out
}

// countedAgainst returns the charges that count against a request, oldest first.
func (r *RecurrenceDetector) countedAgainst(now mtclock.Instant, p Fingerprint) []charge {
	if s := r.suspicions[p]; s != nil {
		return s.counted(now)
	}
	return nil
}

// fingerprintRing holds the maxAnswered fingerprints added last.
type fingerprintRing struct {
	known map[Fingerprint]bool
	order [maxAnswered]Fingerprint
	next  int // index in order of the oldest, which the next one replaces
}

// add adds a fingerprint, replacing the oldest, unless it is already present.
func (r *fingerprintRing) add(p Fingerprint) {
	if r.known[p] {
		return
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = p
	r.next = (r.next + 1) % len(r.order)
	r.known[p] = true
}
