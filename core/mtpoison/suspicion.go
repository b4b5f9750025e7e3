package mtpoison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// sameEvent is how long after a loss others still count as the same event: all servers that lose
	// power together are detected and published within that time. Longer, and a request that crashes
	// one server after the other would have its crashes cleared together.
	sameEvent = 500 * time.Millisecond
	// probeRetry is the time after which to retry a request of which a probe runs: a usual run.
	probeRetry = time.Second
	// maxAnswersInRow bounds the answers in a row that clear ever more losses: maxLosses at last.
	maxAnswersInRow = 10
)

// probeWaits are the times from the last loss until a request runs as a probe, by the number of
// probes that crashed their server. After the last one the request waits until losses expire.
// A request that nobody knows to have been answered begins with the second.
var probeWaits = [...]time.Duration{0, time.Minute, 5 * time.Minute}

// Claims is what the daemon that sends a request knows of it.
type Claims struct {
	// Answered is set if it knows that a server has answered the same request, at whatever time.
	Answered bool
	// Suspect is set if it would refuse the request itself.
	Suspect bool
	// SoleServer is set if a suspect goes to no other server: this one owns its key, or is the prober.
	SoleServer bool
	// Cleared are losses of which answers have cleared the request. Its sender names them once the
	// request has been refused.
	Cleared []LossKey
	// Mark is the moment of the claims at that daemon.
	Mark Mark
}

// suspicion is what speaks against a request, and for it.
type suspicion struct {
	charges []charge // that count, oldest first
	cleared []charge // that an answer has cleared
	served  bool     // a server had answered the request before one of the losses
	// answersInRow is the number of answers since the last loss that have cleared losses.
	answersInRow int
}

// charge is a loss at which the request was in flight: it counts against it until an answer clears it.
type charge struct {
	*knownLoss
	probed bool // the request was in flight as a probe
}

// charge adds a charge, unless it is known.
func (s *suspicion) charge(c charge) {
	if n := len(s.charges); n == 0 || s.charges[n-1].ID != c.ID {
		s.charges = append(s.charges, c)
		s.answersInRow = 0
	}
}

// counted returns the charges that have not expired.
func (s *suspicion) counted(now mtclock.Instant) []charge {
	for i, c := range s.charges {
		if now.Sub(c.at) < LossTTL {
			return s.charges[i:]
		}
	}
	return nil
}

// forget removes the charge of a loss.
func (s *suspicion) forget(id LossID) {
	of := func(c charge) bool { return c.ID == id }
	s.charges = slices.DeleteFunc(s.charges, of)
	s.cleared = slices.DeleteFunc(s.cleared, of)
}

func (s *suspicion) empty() bool { return len(s.charges) == 0 && len(s.cleared) == 0 }

// clear clears the charges for which remove returns true, and returns them.
func (s *suspicion) clear(remove func(charge) bool) []charge {
	var removed []charge
	for _, c := range s.charges {
		if remove(c) {
			removed = append(removed, c)
		}
	}
	s.charges = slices.DeleteFunc(s.charges, remove)
	s.cleared = append(s.cleared, removed...)
	return removed
}

// clearBefore clears what an answer speaks for to a run that began at the mark: the oldest event
// before that, and twice as many with each answer that follows without a loss in between.
func (s *suspicion) clearBefore(now mtclock.Instant, mark Mark) []charge {
	before := s.counted(now)
	if i := slices.IndexFunc(before, func(c charge) bool { return c.mark > mark }); i >= 0 {
		before = before[:i]
	}
	if len(before) == 0 {
		return nil
	}
	last := before[endOfEvents(before, 1<<min(s.answersInRow, maxAnswersInRow))-1].mark
	s.answersInRow++
	return s.clear(func(c charge) bool { return c.mark <= last })
}

// endOfEvents returns how many of the charges belong to the first events.
func endOfEvents(charges []charge, events int) int {
	first := charges[0]
	for i, c := range charges[1:] {
		if c.together(first.knownLoss) {
			continue
		}
		if events--; events == 0 {
			return i + 1
		}
		first = c
	}
	return len(charges)
}

// probeDue returns when the request that the charges count against may run as a probe, or false if it
// may not.
func (r *RecurrenceDetector) probeDue(counted []charge, answered bool) (mtclock.Instant, bool) {
	crashed := 0
	for _, c := range counted {
		if c.probed && r.lostAlone(c) {
			crashed++
		}
	}
	if !answered {
		crashed++
	}
	if crashed >= len(probeWaits) {
		return 0, false
	}
	return counted[len(counted)-1].at.Add(probeWaits[crashed]), true
}

// lostAlone reports whether no other server was lost together with that of a charge, since its probe
// began. Losses of other probes don't count: one after the other, each would excuse the one before.
func (r *RecurrenceDetector) lostAlone(c charge) bool {
	var begun Mark
	for id, other := range r.losses {
		if id.Key() == c.After {
			begun = other.mark
		}
	}
	for id, other := range r.losses {
		if id != c.ID && len(other.Probed) == 0 && other.mark > begun && c.together(other) {
			return false
		}
	}
	return true
}

// RefusedFor returns for how much longer a request is refused, or zero if it is not. The claims of the
// daemon that sends it may clear losses.
func (r *RecurrenceDetector) RefusedFor(now mtclock.Instant, p Fingerprint, c Claims) time.Duration {
	left, _ := r.admit(now, p, c)
	return left
}

// admit returns for how much longer a request is refused, or zero and whether it may run only as a
// probe.
func (r *RecurrenceDetector) admit(now mtclock.Instant, p Fingerprint, c Claims) (left time.Duration, probe bool) {
	s := r.suspicions[p]
	if s == nil {
		return 0, false
	}
	r.clearClaimed(now, p, s, c.Cleared)
	counted := s.counted(now)
	if len(counted) < lossesToRefuse {
		return 0, false
	}
	// It runs again once fewer than lossesToRefuse losses count against it.
	refused := LossTTL - now.Sub(counted[len(counted)-lossesToRefuse].at)
	answered := s.served || c.Answered || r.Answered(p)
	due, ok := r.probeDue(counted, answered)
	switch {
	case !ok:
		return refused, false
	case !c.SoleServer && answered:
		return probeRetry, false // by then its sender knows the losses, and the prober
	case !c.SoleServer:
		return refused, false
	case now.Before(due):
		return min(due.Sub(now), refused), false
	case r.probing(p):
		return probeRetry, false
	}
	return 0, true
}

// probing reports whether a probe of a request is in progress, or ended in a way that may have
// crashed the server.
func (r *RecurrenceDetector) probing(p Fingerprint) bool {
	for run := range r.unanswered() {
		if run.probe && run.fingerprint == p {
			return true
		}
	}
	return false
}

// ClaimsOf returns what this daemon knows of a request that it sends, for the daemon beside the
// server that is to run it.
func (r *RecurrenceDetector) ClaimsOf(now mtclock.Instant, p Fingerprint) Claims {
	c := Claims{Answered: r.Answered(p), Mark: r.mark}
	s := r.suspicions[p]
	if s == nil {
		return c
	}
	c.Suspect = len(s.counted(now)) >= lossesToRefuse
	c.Answered = c.Answered || s.served
	return c
}

// ClearedLosses returns the losses of which answers have cleared a request here.
func (r *RecurrenceDetector) ClearedLosses(now mtclock.Instant, p Fingerprint) []LossKey {
	s := r.suspicions[p]
	if s == nil {
		return nil
	}
	s.cleared = slices.DeleteFunc(s.cleared, func(c charge) bool { return now.Sub(c.at) >= LossTTL })
	var keys []LossKey
	for _, c := range s.cleared {
		keys = append(keys, c.ID.Key())
	}
	return keys
}

// Prober returns the daemon, of those beside the servers of a service, whose server alone runs a
// request that may crash its server, or false if there is none. The order of the daemons doesn't
// matter.
func Prober(p Fingerprint, daemons []mtid.Daemon) (mtid.Daemon, bool) {
	var chosen mtid.Daemon
	var best uint64
	for _, d := range daemons {
		if h := xxhash.Sum64String(string(d) + "/" + p.String()); chosen == "" || h > best || h == best && d < chosen {
			chosen, best = d, h
		}
	}
	return chosen, chosen != ""
}

// Answered reports whether a server is known to have answered the same request. Only the
// newest answers are retained.
func (r *RecurrenceDetector) Answered(p Fingerprint) bool { return r.answered.known[p] }

// MarkAnswered records an answer to a request that was sent to another daemon with claims of the
// given mark.
func (r *RecurrenceDetector) MarkAnswered(now mtclock.Instant, p Fingerprint, mark Mark) {
	r.markAnswered(now, p, mark, FromPeer)
}

// markAnswered records an answer to a run of a request that began after the losses before the mark.
func (r *RecurrenceDetector) markAnswered(now mtclock.Instant, p Fingerprint, mark Mark, by AnswerSource) {
	r.answered.add(p)
	s := r.suspicions[p]
	if s == nil {
		return
	}
	s.served = true
	r.recordCleared(now, p, by, s.clearBefore(now, mark))
}

// clearClaimed clears the losses that the sender of a request knows to be cleared.
func (r *RecurrenceDetector) clearClaimed(now mtclock.Instant, p Fingerprint, s *suspicion, claimed []LossKey) {
	if len(claimed) == 0 {
		return
	}
	r.recordCleared(now, p, FromSender, s.clear(func(c charge) bool { return slices.Contains(claimed, c.ID.Key()) }))
}

// AnswerSource is how a daemon knows that a server has finished a request.
type AnswerSource string

// The ways in which a daemon knows of an answer.
const (
	FromServer AnswerSource = "server" // the server beside it sent the answer
	FromPeer   AnswerSource = "peer"   // the answer came to a call that it had sent to another daemon
	FromSender AnswerSource = "sender" // the daemon that sends the same request has reported one
)

// Clearance tells that losses no longer count against a request, for logs.
type Clearance struct {
	Fingerprint Fingerprint
	By          AnswerSource
	Losses      []LossID // oldest first
	// Age is how long ago this daemon received the newest of the losses.
	Age time.Duration
}

// recordCleared keeps the clearance of a request for TakeCleared.
func (r *RecurrenceDetector) recordCleared(now mtclock.Instant, p Fingerprint, by AnswerSource, charges []charge) {
	if len(charges) == 0 {
		return
	}
	c := Clearance{Fingerprint: p, By: by, Age: now.Sub(charges[len(charges)-1].at)}
	for _, charge := range charges {
		c.Losses = append(c.Losses, charge.ID)
	}
	r.cleared = append(r.cleared, c)
	r.cleared = r.cleared[max(len(r.cleared)-maxCleared, 0):]
}

// TakeCleared returns the clearances since the previous call.
func (r *RecurrenceDetector) TakeCleared() []Clearance {
	cleared := r.cleared
	r.cleared = nil
	return cleared
}
