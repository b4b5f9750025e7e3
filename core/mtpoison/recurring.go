package mtpoison

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// lossesToRefuse is the number of server losses with a request in flight after
	// which that request is refused as their cause.
	lossesToRefuse = 3
	// lossTTL is how long a loss counts against the requests that were in flight. A
	// harmless request that was refused runs again after that.
	lossTTL = 10 * time.Minute
	// maxEnded is the number of unanswered runs retained, the newest ones.
	maxEnded = 256
	// maxAnswered is the number of answered requests retained: those of some tens of
	// seconds of a busy server.
	maxAnswered = 1024
	// maxLosses is the number of losses retained, the newest ones.
	maxLosses = 512
)

// RecurrenceDetector detects requests that crash every backend server that runs them, by
// counting, for servers with many slots: a request that was in flight at three losses
// and that no server has answered is refused from then on.
//
// Unlike with the Narrow rule of a Table, suspects don't run alone: a power failure
// terminates a hundred servers at once, and running all requests that were in flight
// there one by one would cost far more than a third crash. Harmless requests are
// recognized by an answer to the same request instead, which a request that crashes
// every server never gets.
//
// The daemon beside a server tracks the requests in flight there (Started, Ended,
// ServerAlive, ServerLost). How a run ended doesn't tell whether the server crashed: its
// connections may close in order, be reset or fall silent, and the caller may have left
// before. So each run without an answer counts as in flight at a loss until the server is
// known to have run after it. The daemon publishes its suspects in its record (Suspects), from which all other
// daemons merge them (MergeSuspects). The daemon that sends a request reports whether
// the same request was answered before (Answered), since a daemon that has just started
// has no record of answers.
//
// A RecurrenceDetector isn't safe for concurrent use.
type RecurrenceDetector struct {
	running  map[*Run]bool
	ended    []*Run // ended without an answer, oldest first
	answered fingerprintRing
	losses   map[lossKey]loss
	order    []lossKey // keys of losses, oldest first
	own      Suspects
}

// Run is a request that was sent to the server beside this daemon.
type Run struct {
	fingerprint Fingerprint
	started     mtclock.Instant
	deadline    mtclock.Instant // after which the server no longer works on it
	// until is the latest time at which an unanswered run may have been in progress. The
	// server's process has survived it if it was running later.
	until mtclock.Instant
	lost  bool // the server was lost during it
}

// lossKey identifies a loss of a daemon's server. The suspects contain the number of
// the loss within the daemon's incarnation.
type lossKey struct {
	daemon   mtid.Daemon
	suspects Suspects
}

// loss holds the requests that were in flight at the loss of a server.
type loss struct {
	at           mtclock.Instant // when this daemon received the report
	fingerprints []Fingerprint
}

// NewRecurrenceDetector returns a RecurrenceDetector without any evidence.
func NewRecurrenceDetector() *RecurrenceDetector {
	return &RecurrenceDetector{running: make(map[*Run]bool), answered: fingerprintRing{known: make(map[Fingerprint]bool)}, losses: make(map[lossKey]loss)}
}

// Started records that a request is sent to the server beside this daemon, which works on it
// until the deadline at most.
func (r *RecurrenceDetector) Started(now mtclock.Instant, p Fingerprint, deadline mtclock.Instant) *Run {
	run := &Run{fingerprint: p, started: now, deadline: deadline}
	r.running[run] = true
	return run
}

// Ended records how a request that was sent to the server ended.
func (r *RecurrenceDetector) Ended(now mtclock.Instant, run *Run, how RunResult) {
	delete(r.running, run)
	switch {
	case how == Answered || how == GivenUp:
		if how == Answered {
			r.MarkAnswered(run.fingerprint)
		}
		if !run.lost {
			r.ServerAlive(run.started)
		}
	case how == NotRun || run.lost:
	case how == Broken:
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

// ServerAlive records that the server's process, which has not been lost since, was running at
// the given time. What ended before that has not crashed it: a server that cuts answers and
// lives brings no suspicion on requests.
func (r *RecurrenceDetector) ServerAlive(at mtclock.Instant) {
	r.ended = slices.DeleteFunc(r.ended, func(run *Run) bool { return run.until.Before(at) })
}

// MarkAnswered records that a server has finished a request.
func (r *RecurrenceDetector) MarkAnswered(p Fingerprint) { r.answered.add(p) }

// Answered reports whether a server is known to have answered the same request. Only the
// newest answers are retained.
func (r *RecurrenceDetector) Answered(p Fingerprint) bool { return r.answered.known[p] }

// ServerLost records that the server beside this daemon was lost, and returns the suspects
// that the daemon publishes from now on.
func (r *RecurrenceDetector) ServerLost(now mtclock.Instant, self mtid.Daemon) Suspects {
	fingerprints := r.inFlight()
	r.ForgetRuns()
	slices.Sort(fingerprints)
	fingerprints = slices.DeleteFunc(slices.Compact(fingerprints), r.Answered)
	if len(fingerprints) == 0 {
		return r.own
	}
	r.own = newSuspects(r.own.lossNumber()+1, fingerprints)
	r.MergeSuspects(now, self, r.own)
	return r.own
}

// inFlight returns the fingerprints of all requests that may have been in progress at a loss.
func (r *RecurrenceDetector) inFlight() []Fingerprint {
	var fingerprints []Fingerprint
	for _, run := range r.ended {
		fingerprints = append(fingerprints, run.fingerprint)
	}
	for run := range r.running {
		fingerprints = append(fingerprints, run.fingerprint)
	}
	return fingerprints
}

// ForgetRuns drops all runs, because the server's process has ended: a later end of theirs says
// nothing about its next one.
func (r *RecurrenceDetector) ForgetRuns() {
	for run := range r.running {
		run.lost = true
	}
	r.ended = nil
}

// MergeSuspects adds the suspects that a daemon published, and reports whether they were
// unknown. A loss that is already recorded is ignored.
func (r *RecurrenceDetector) MergeSuspects(now mtclock.Instant, daemon mtid.Daemon, s Suspects) bool {
	key := lossKey{daemon: daemon, suspects: s}
	fingerprints := s.Fingerprints()
	if _, known := r.losses[key]; known || len(fingerprints) == 0 {
		return false
	}
	r.losses[key] = loss{at: now, fingerprints: fingerprints}
	r.order = append(r.order, key)
	if len(r.order) > maxLosses {
		delete(r.losses, r.order[0])
		r.order = slices.Delete(r.order, 0, 1)
	}
	return true
}

// Evidence counts the requests that count against the server if it is lost now.
type Evidence struct {
	Running  int // in flight
	Ended    int // ended without an answer since the server was last known to run
	Answered int // of both, those that a server is known to have answered
}

// Evidence returns the evidence for a loss of the server beside this daemon.
func (r *RecurrenceDetector) Evidence() Evidence {
	e := Evidence{Running: len(r.running), Ended: len(r.ended)}
	for _, p := range r.inFlight() {
		if r.Answered(p) {
			e.Answered++
		}
	}
	return e
}

// LossesOf returns the losses that count against a request, oldest first, each as the daemon
// beside the lost server and the number of the loss within its incarnation.
func (r *RecurrenceDetector) LossesOf(now mtclock.Instant, p Fingerprint) []string {
	var out []string
	for _, key := range r.order {
		if l := r.losses[key]; now.Sub(l.at) < lossTTL && slices.Contains(l.fingerprints, p) {
			out = append(out, string(key.daemon)+" "+strconv.Itoa(key.suspects.lossNumber()))
		}
	}
	return out
}

// RefusedFor returns for how much longer a request is refused, or zero if it is not. answered
// is set if the daemon that sends it has had an answer to the same request.
func (r *RecurrenceDetector) RefusedFor(now mtclock.Instant, p Fingerprint, answered bool) time.Duration {
	if answered || len(r.losses) < lossesToRefuse || r.Answered(p) {
		return 0
	}
	var left []time.Duration
	for _, l := range r.losses {
		if age := now.Sub(l.at); age < lossTTL && slices.Contains(l.fingerprints, p) {
			left = append(left, lossTTL-age)
		}
	}
	if len(left) < lossesToRefuse {
		return 0
	}
	// It runs again once fewer than lossesToRefuse losses count against it.
	slices.Sort(left)
	return left[len(left)-lossesToRefuse]
}

// Suspects lists the requests in flight at the last loss of a daemon's server, without those
// that a server is known to have answered, encoded for the daemon's record: the number of the
// loss within the daemon's incarnation, then the fingerprints, all in hexadecimal and
// separated by colons.
type Suspects string

// maxSuspects is the number of fingerprints that Suspects can hold, about as many as a
// server has slots. Other daemons have no evidence against the requests beyond that.
const maxSuspects = 16

// newSuspects encodes the suspects of the loss with that number.
func newSuspects(number int, fingerprints []Fingerprint) Suspects {
	text := strconv.AppendInt(nil, int64(number), 16)
	for _, p := range fingerprints[:min(len(fingerprints), maxSuspects)] {
		text = append(text, ':')
		text = strconv.AppendUint(text, uint64(p), 16)
	}
	return Suspects(text)
}

// lossNumber returns the number of the loss within the daemon's incarnation, from 1. It
// returns 0 if there was no loss or s is malformed.
func (s Suspects) lossNumber() int {
	text, _, _ := strings.Cut(string(s), ":")
	number, err := strconv.ParseInt(text, 16, 32)
	if err != nil {
		return 0
	}
	return int(number)
}

// Fingerprints returns the fingerprints, or none if s is malformed: the record is input from
// another writer and may hold anything.
func (s Suspects) Fingerprints() []Fingerprint {
	fields := strings.Split(string(s), ":")
	if s.lossNumber() <= 0 || len(fields) > 1+maxSuspects {
		return nil
	}
	fingerprints := make([]Fingerprint, 0, len(fields)-1)
	for _, field := range fields[1:] {
		p, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return nil
		}
		fingerprints = append(fingerprints, Fingerprint(p))
	}
	return fingerprints
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
