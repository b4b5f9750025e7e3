// Package mtrecent deduplicates non-idempotent requests. The owner of a key retains
// the identifiers of the requests that it ran recently, so that none runs twice.
//
// # Guarantee
//
// A Table runs an identifier at most once within the period that it has records of.
// For an identifier from before that period, the outcome is unknown. Three rules,
// all on the time within a UUIDv7, limit the period:
//
//   - The grant: a range that was taken over from a lost owner starts without
//     records. The identifiers that the lost owner may have run were minted no
//     later than the grant plus twice the allowed skew: once for the identifier's
//     lead over the lost owner's clock, once for that clock's lead over this one.
//     A single skew is not enough.
//   - The horizon: entries expire Retention after they ended. The newest identifier that
//     has expired is the horizon, and an identifier that isn't newer counts as
//     unknown. Only expired entries move the horizon, so that no jump of the wall
//     clock can open a gap.
//   - The future: an identifier that leads this clock by more than the skew is
//     refused. If it ran, the first rule would not cover it, and a new owner would
//     run it again once its clock had caught up. This applies to identifiers that
//     the ingress minted, too.
//
// An identifier that the ingress minted for the request at hand is new, so the first
// two rules don't apply to it; they do apply when the caller resends it.
//
// A full Table refuses new requests; it never drops an entry early.
//
// # Usage
//
//	table := mtrecent.New(limits)
//	table.Grant(low, high, wall)                  // after a takeover; or table.Import
//	verdict := table.Begin(now, wall, request, waiter)
//	switch verdict.Kind {
//	case mtrecent.Run:    // run it, then waiters := table.End(now, request.DedupKey, result)
//	case mtrecent.Wait:   // it is running: the End of the first try returns waiter
//	case mtrecent.Replay: // answer with verdict.Answer
//	case mtrecent.Refuse: // answer with verdict.Err
//	}
//
// The caller reads the clocks: now expires entries, wall is compared with the time of
// identifiers. A Table isn't safe for concurrent use.
package mtrecent

import (
	"cmp"
	"time"

	"github.com/google/uuid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// DedupKey identifies a request. Identifiers are scoped to the point of the key, so that
// one caller's identifier can't collide with another's on a key that moves here later.
type DedupKey struct {
	Point mtid.Point
	ID    uuid.UUID
}

// Fingerprint is a hash of the content of a request: service, key, class, method, path
// and body.
type Fingerprint uint64

// Waiter identifies a resend that waits for the answer to the first try. The caller of
// the Table assigns it.
type Waiter uint64

// Request holds the properties of a request on which its verdict depends.
type Request struct {
	DedupKey    DedupKey
	Fingerprint Fingerprint
	// Minted is set if the ingress generated the identifier for this request. It
	// must be false if the caller sent the identifier.
	Minted bool
}

// Answer is a complete reply of the backend server.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// size returns the memory that retaining the answer takes.
func (a *Answer) size() int { return len(a.Body) + len(a.ContentType) + answerOverhead }

// answerOverhead is the size of an Answer without its contents.
const answerOverhead = 48

// Kind is the action to take on a request.
type Kind uint8

// The kinds of verdict.
const (
	Run    Kind = iota + 1 // it is new: run it, and call End in any case
	Wait                   // it is running: End will return the waiter
	Replay                 // it has run: send the retained answer
	Refuse                 // reply with Err
)

// Verdict is the Table's decision on a request. Answer is set for Replay. Err is set
// for Refuse, to a *mtreply.RefusedError or a *mtreply.UnknownError.
type Verdict struct {
	Kind   Kind
	Answer *Answer
	Err    error
}

// Limits bound the size of a Table and the age of its entries. Zero fields take the
// defaults.
type Limits struct {
	Retention        time.Duration // how long the entry of an ended request is retained
	Skew             time.Duration // maximum difference between the clocks of two VMs
	Entries          int           // maximum number of entries, running requests included
	AnswerBytes      int           // maximum body of a retained answer, in bytes
	TotalAnswerBytes int           // maximum total size of the retained answers, in bytes
	Waiters          int           // maximum number of resends waiting for one request
}

// Defaults for the fields of Limits.
const (
	DefaultRetention        = 60 * time.Second
	DefaultSkew             = 250 * time.Millisecond
	DefaultEntries          = 1 << 17
	DefaultAnswerBytes      = 1 << 10
	DefaultTotalAnswerBytes = 8 << 20
	DefaultWaiters          = 16
)

// state is the progress of the request of an entry.
type state uint8

const (
	running  state = iota
	answered       // the server answered; the answer may be retained
	unknown        // it may have run
)

// entry is the record of one identifier.
type entry struct {
	key         DedupKey
	fingerprint Fingerprint
	ended       mtclock.Instant
	answer      *Answer
	state       state
}

// Table holds the recent requests of one owner. See the package comment.
type Table struct {
	limits  Limits
	entries map[DedupKey]*entry
	waiters map[DedupKey][]Waiter
	ended   queue // by time of end, oldest first
	ranges  []span
	horizon int64 // newest time of an expired identifier, in milliseconds
	bytes   int   // total size of the retained answers
}

// New returns an empty Table that covers no range.
func New(limits Limits) *Table {
	return &Table{
		limits:  limits.withDefaults(),
		entries: make(map[DedupKey]*entry),
		waiters: make(map[DedupKey][]Waiter),
		horizon: noHorizon,
	}
}

// withDefaults returns l with its zero fields set to the defaults.
func (l Limits) withDefaults() Limits {
	l.Retention = cmp.Or(l.Retention, DefaultRetention)
	l.Skew = cmp.Or(l.Skew, DefaultSkew)
	l.Entries = cmp.Or(l.Entries, DefaultEntries)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, DefaultAnswerBytes)
	l.TotalAnswerBytes = cmp.Or(l.TotalAnswerBytes, DefaultTotalAnswerBytes)
	l.Waiters = cmp.Or(l.Waiters, DefaultWaiters)
	return l
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the total size of the retained answers.
func (t *Table) Bytes() int { return t.bytes }

// Begin returns the verdict on a non-idempotent request, before the request is
// admitted. The waiter is stored only if the verdict is Wait.
func (t *Table) Begin(now mtclock.Instant, wall time.Time, r Request, w Waiter) Verdict {
	t.Expire(now)
	if r.DedupKey.ID.Version() != 7 {
		return refuse(mtreply.CauseMalformed, never, "the identifier is not a UUIDv7")
	}
	if e, ok := t.entries[r.DedupKey]; ok {
		return t.resent(e, r, w)
	}
	if v, rejected := t.rejected(wall, r); rejected {
		return v
	}
	if len(t.entries) >= t.limits.Entries {
		return refuse(mtreply.CauseRecentFull, t.untilCapacity(now), "")
	}
	t.entries[r.DedupKey] = &entry{key: r.DedupKey, fingerprint: r.Fingerprint, state: running}
	return Verdict{Kind: Run}
}

// resent returns the verdict on a request whose identifier has an entry.
func (t *Table) resent(e *entry, r Request, w Waiter) Verdict {
	if e.fingerprint != r.Fingerprint {
		return refuse(mtreply.CauseMalformed, never, "the identifier belongs to another request")
	}
	switch {
	case e.state == running:
		return t.wait(e, w)
	case e.state == answered && e.answer != nil:
		return Verdict{Kind: Replay, Answer: e.answer}
	}
	return unknownVerdict(mtreply.CauseEarlier)
}

// wait adds a resend to the waiters of a running request. If too many wait already, the
// resend gets an unknown outcome.
func (t *Table) wait(e *entry, w Waiter) Verdict {
	if len(t.waiters[e.key]) >= t.limits.Waiters {
		return unknownVerdict(mtreply.CauseEarlier)
	}
	t.waiters[e.key] = append(t.waiters[e.key], w)
	return Verdict{Kind: Wait}
}

// rejected returns the verdict on a request that has no entry, if it must not run.
func (t *Table) rejected(wall time.Time, r Request) (Verdict, bool) {
	s, ok := t.find(r.DedupKey.Point)
	if !ok {
		return refuse(mtreply.CauseStaleRoute, 0, ""), true
	}
	minted := Millis(r.DedupKey.ID)
	// The horizons are checked before the lead over the clock: just after a takeover
	// both rules can apply, since the lost owner's clock may have led this one, and
	// replying "not run" would then be false.
	if !r.Minted && minted <= s.horizon {
		return unknownVerdict(mtreply.CauseTakenOver), true
	}
	if !r.Minted && minted <= t.horizon {
		return unknownVerdict(mtreply.CauseEarlier), true
	}
	if lead := time.UnixMilli(minted).Sub(wall); lead > t.limits.Skew {
		return refuse(mtreply.CauseSkew, lead-t.limits.Skew, "the identifier is from the future"), true
	}
	return Verdict{}, false
}

// untilCapacity returns the time until the next entry expires.
func (t *Table) untilCapacity(now mtclock.Instant) time.Duration {
	e, ok := t.ended.oldest()
	if !ok {
		return t.limits.Retention
	}
	return max(e.ended.Add(t.limits.Retention).Sub(now), time.Millisecond)
}

// Result describes how a request with the verdict Run ended. Answer may be nil unless
// Outcome is mtreply.Answered.
type Result struct {
	Outcome mtreply.Outcome
	Answer  *Answer
}

// End records how a request with the verdict Run ended, and returns the resends that
// wait for it, which get the same answer. The entry of a request that did not run is
// removed, so that a resend may run.
func (t *Table) End(now mtclock.Instant, key DedupKey, o Result) []Waiter {
	e, ok := t.entries[key]
	if !ok || e.state != running {
		return nil
	}
	waiters := t.waiters[key]
	delete(t.waiters, key)
	switch o.Outcome {
	case mtreply.NotRun:
		delete(t.entries, key)
		return waiters
	case mtreply.Answered:
		e.state = answered
		t.retain(e, o.Answer)
	default:
		e.state = unknown
	}
	e.ended = now
	t.ended.push(e)
	return waiters
}

// RemoveWaiter removes a waiter whose caller disconnected or whose deadline passed.
func (t *Table) RemoveWaiter(key DedupKey, w Waiter) {
	waiters := t.waiters[key]
	for i, other := range waiters {
		if other == w {
			t.waiters[key] = append(waiters[:i], waiters[i+1:]...)
			return
		}
	}
}

// retain stores an answer if it is within the limits. A resend without a stored answer
// gets an unknown outcome, never "not run".
func (t *Table) retain(e *entry, a *Answer) {
	if a == nil || len(a.Body) > t.limits.AnswerBytes || t.bytes+a.size() > t.limits.TotalAnswerBytes {
		return
	}
	e.answer = a
	t.bytes += a.size()
}

// Expire removes the entries that ended Retention or longer ago. Begin calls it; an idle
// owner calls it periodically to free memory.
func (t *Table) Expire(now mtclock.Instant) {
	for {
		e, ok := t.ended.oldest()
		if !ok || now.Sub(e.ended) < t.limits.Retention {
			return
		}
		t.ended.pop()
		t.expire(e)
	}
}

// expire removes an entry and advances the horizon to its identifier.
func (t *Table) expire(e *entry) {
	// An entry that was replaced, or removed with its range, stays in the queue
	// but no longer counts.
	if t.entries[e.key] != e {
		return
	}
	t.horizon = max(t.horizon, Millis(e.key.ID))
	t.remove(e)
}

// remove deletes an entry and releases its answer.
func (t *Table) remove(e *entry) {
	delete(t.entries, e.key)
	if e.answer != nil {
		t.bytes -= e.answer.size()
	}
}

// Millis returns the time within a UUIDv7, in milliseconds since 1970.
func Millis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// never is the RetryAfter of a request that a retry cannot help.
const never = -1

// refuse returns the verdict for a request that is refused without running.
func refuse(cause mtreply.Cause, retryAfter time.Duration, detail string) Verdict {
	err := &mtreply.RefusedError{Cause: cause, RetryAfter: retryAfter, Detail: detail}
	return Verdict{Kind: Refuse, Err: err}
}

// unknownVerdict returns the verdict for a request that may have run.
func unknownVerdict(cause mtreply.Cause) Verdict {
	return Verdict{Kind: Refuse, Err: &mtreply.UnknownError{Cause: cause}}
}
