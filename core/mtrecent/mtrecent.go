// Package mtrecent remembers, at the owner of a key, the identifiers of the
// non-idempotent requests that it has run lately, so that none runs twice.
//
// # What a Table promises
//
// Within the time that a Table knows of, an identifier is run at most once. For
// what lies before it, the Table says that it doesn't know. It has three limits
// of knowledge, all expressed in the time that a UUIDv7 carries:
//
//   - The grant: a range that was taken over from a lost owner starts with no
//     memory. What that owner may have run was minted no later than the grant
//     plus twice the allowed skew: once for the identifier's lead over the lost
//     owner's clock, once for that clock's lead over this one's. One skew alone
//     would not do.
//   - The horizon: entries are forgotten Keep after they ended. The newest
//     identifier that was ever forgotten marks the horizon, and what isn't newer
//     counts as unknown. The horizon moves by what was forgotten and by nothing
//     else, so that no jump of the wall clock can open a gap.
//   - The future: an identifier that leads this clock by more than the skew is
//     refused. If it were run, the first rule would not cover it, and a new
//     owner would run it again once its clock had caught up. This holds for
//     identifiers of the ingress too.
//
// An identifier that the ingress minted for this very request is known to be
// new, hence passes the first two rules; the caller's resend of it does not.
//
// A full Table refuses new requests; it never forgets early.
//
// # Usage
//
//	table := mtrecent.New(limits)
//	table.Grant(low, high, wall)                  // taken over; or table.Import
//	verdict := table.Begin(now, wall, request, waiter)
//	switch verdict.Kind {
//	case mtrecent.Run:    // run it, then waiters := table.End(now, request.Name, outcome)
//	case mtrecent.Wait:   // it runs already: End returns waiter
//	case mtrecent.Replay: // answer with verdict.Answer
//	case mtrecent.Refuse: // answer with verdict.Err
//	}
//
// The clock is read by the caller: now ages entries, wall is compared with
// identifiers. A Table isn't safe for concurrent use.
package mtrecent

import (
	"time"

	"github.com/google/uuid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Name tells requests apart: an identifier counts per key, so that one caller's
// identifier can't collide with another's on a key that moves here later.
type Name struct {
	Point mtid.Point
	ID    uuid.UUID
}

// Fingerprint is a hash of what the request asks for: service, key, class,
// method, path and body.
type Fingerprint uint64

// Waiter names a resend that waits for the first one's answer. The caller of
// the Table chooses it.
type Waiter uint64

// Request is what the Table looks at.
type Request struct {
	Name        Name
	Fingerprint Fingerprint
	// Minted says that the ingress made the identifier for this very request.
	// It must be false for whatever a caller sent.
	Minted bool
}

// Answer is a whole reply of the backend server.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// size is what keeping the answer costs.
func (a *Answer) size() int { return len(a.Body) + len(a.ContentType) + answerOverhead }

// answerOverhead is the memory of an Answer beside its contents.
const answerOverhead = 48

// Kind says what to do with a request.
type Kind uint8

// The kinds of verdict.
const (
	Run    Kind = iota + 1 // it is new: run it, and call End whatever happens
	Wait                   // it runs already: End will return the waiter
	Replay                 // it has run: send the kept answer
	Refuse                 // send Err
)

// Verdict is the Table's word on a request. Err is a *mtreply.RefusedError or a
// *mtreply.UnknownError.
type Verdict struct {
	Kind   Kind
	Answer *Answer
	Err    error
}

// Limits bound a Table. Zero fields take the defaults.
type Limits struct {
	Keep    time.Duration // how long an ended request is remembered
	Skew    time.Duration // bound of the difference between the clocks of two VMs
	Count   int           // identifiers remembered, those running included
	Answer  int           // bytes of the largest answer that is kept
	Answers int           // bytes of all kept answers
	Waiters int           // resends that may wait for one request
}

// Defaults of Limits.
const (
	DefaultKeep    = 60 * time.Second
	DefaultSkew    = 250 * time.Millisecond
	DefaultCount   = 1 << 17
	DefaultAnswer  = 1 << 10
	DefaultAnswers = 8 << 20
	DefaultWaiters = 16
)

// state is what is known of an entry.
type state uint8

const (
	running  state = iota
	answered       // it ran to its end; the answer may be kept
	unknown        // it may have run
)

// entry is one remembered identifier.
type entry struct {
	name   Name
	print  Fingerprint
	ended  mtclock.Instant
	answer *Answer
	state  state
}

// Table is the memory of one owner. See the package comment.
type Table struct {
	limits  Limits
	entries map[Name]*entry
	waiters map[Name][]Waiter
	ended   queue // by time of end, oldest first
	ranges  []span
	horizon int64 // newest identifier time that was forgotten, in milliseconds
	bytes   int   // of kept answers
}

// New returns an empty Table that owns nothing.
func New(limits Limits) *Table {
	return &Table{
		limits:  limits.filled(),
		entries: make(map[Name]*entry),
		waiters: make(map[Name][]Waiter),
		horizon: noHorizon,
	}
}

// filled returns l with its zero fields set to the defaults.
func (l Limits) filled() Limits {
	fill(&l.Keep, DefaultKeep)
	fill(&l.Skew, DefaultSkew)
	fill(&l.Count, DefaultCount)
	fill(&l.Answer, DefaultAnswer)
	fill(&l.Answers, DefaultAnswers)
	fill(&l.Waiters, DefaultWaiters)
	return l
}

// fill sets a zero field to its default.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Len returns how many identifiers are remembered.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the size of the kept answers.
func (t *Table) Bytes() int { return t.bytes }

// Begin is called for each non-idempotent request before it is admitted. The
// waiter is kept only if the verdict is Wait.
func (t *Table) Begin(now mtclock.Instant, wall time.Time, r Request, w Waiter) Verdict {
	t.Expire(now)
	if r.Name.ID.Version() != 7 {
		return refuse(mtreply.CauseMalformed, never, "the identifier is not a UUIDv7")
	}
	if e, ok := t.entries[r.Name]; ok {
		return t.again(e, r, w)
	}
	if v, barred := t.barred(wall, r); barred {
		return v
	}
	if len(t.entries) >= t.limits.Count {
		return refuse(mtreply.CauseRecentFull, t.untilRoom(now), "")
	}
	t.entries[r.Name] = &entry{name: r.Name, print: r.Fingerprint, state: running}
	return Verdict{Kind: Run}
}

// again returns the verdict on a request whose identifier is remembered.
func (t *Table) again(e *entry, r Request, w Waiter) Verdict {
	if e.print != r.Fingerprint {
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

// wait lets a resend wait for the request that runs.
func (t *Table) wait(e *entry, w Waiter) Verdict {
	if len(t.waiters[e.name]) >= t.limits.Waiters {
		return unknownVerdict(mtreply.CauseEarlier)
	}
	t.waiters[e.name] = append(t.waiters[e.name], w)
	return Verdict{Kind: Wait}
}

// barred returns the verdict on a request that isn't remembered and must not
// run.
func (t *Table) barred(wall time.Time, r Request) (Verdict, bool) {
	s, ok := t.find(r.Name.Point)
	if !ok {
		return refuse(mtreply.CauseStaleRoute, 0, ""), true
	}
	minted := Millis(r.Name.ID)
	// What an earlier owner may have run comes before the look into the future:
	// just after a takeover both can hold, since the lost owner's clock may have
	// led this one, and "not run" would then be false.
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

// untilRoom returns how long until the next identifier is forgotten.
func (t *Table) untilRoom(now mtclock.Instant) time.Duration {
	e, ok := t.ended.oldest()
	if !ok {
		return t.limits.Keep
	}
	return max(e.ended.Add(t.limits.Keep).Sub(now), time.Millisecond)
}

// Outcome is how a request that Begin let run has ended. Answer may be nil
// unless What is mtreply.Answered.
type Outcome struct {
	What   mtreply.Outcome
	Answer *Answer
}

// End says how a request that was let run has ended, and returns the resends
// that wait for it: they get the same answer. A request that was proved not run
// is forgotten, since it may be sent again.
func (t *Table) End(now mtclock.Instant, name Name, o Outcome) []Waiter {
	e, ok := t.entries[name]
	if !ok || e.state != running {
		return nil
	}
	waiters := t.waiters[name]
	delete(t.waiters, name)
	switch o.What {
	case mtreply.NotRun:
		delete(t.entries, name)
		return waiters
	case mtreply.Answered:
		e.state = answered
		t.keep(e, o.Answer)
	default:
		e.state = unknown
	}
	e.ended = now
	t.ended.push(e)
	return waiters
}

// Leave takes a waiter back whose caller went away or whose deadline passed.
func (t *Table) Leave(name Name, w Waiter) {
	waiters := t.waiters[name]
	for i, other := range waiters {
		if other == w {
			t.waiters[name] = append(waiters[:i], waiters[i+1:]...)
			return
		}
	}
}

// keep keeps an answer if there is room. Without it a resend is told that the
// outcome is unknown, never that the request wasn't run.
func (t *Table) keep(e *entry, a *Answer) {
	if a == nil || len(a.Body) > t.limits.Answer || t.bytes+a.size() > t.limits.Answers {
		return
	}
	e.answer = a
	t.bytes += a.size()
}

// Expire forgets what ended longer than Keep ago. Begin calls it; a quiet owner
// calls it now and then to free memory.
func (t *Table) Expire(now mtclock.Instant) {
	for {
		e, ok := t.ended.oldest()
		if !ok || now.Sub(e.ended) < t.limits.Keep {
			return
		}
		t.ended.pop()
		t.forget(e)
	}
}

// forget removes an entry for good and moves the horizon over it.
func (t *Table) forget(e *entry) {
	// An entry that was replaced or dropped with its range is in the queue
	// still, but no longer the one that counts.
	if t.entries[e.name] != e {
		return
	}
	t.horizon = max(t.horizon, Millis(e.name.ID))
	t.remove(e)
}

// remove takes an entry out of the memory.
func (t *Table) remove(e *entry) {
	delete(t.entries, e.name)
	if e.answer != nil {
		t.bytes -= e.answer.size()
	}
}

// Millis returns the time that a UUIDv7 carries, in milliseconds since 1970.
func Millis(id uuid.UUID) int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// never is the RetryAfter of what won't get better.
const never = -1

// refuse returns the verdict that refuses a request as not run.
func refuse(cause mtreply.Cause, retryAfter time.Duration, detail string) Verdict {
	err := &mtreply.RefusedError{Cause: cause, RetryAfter: retryAfter, Detail: detail}
	return Verdict{Kind: Refuse, Err: err}
}

// unknownVerdict returns the verdict that the request may have run.
func unknownVerdict(cause mtreply.Cause) Verdict {
	return Verdict{Kind: Refuse, Err: &mtreply.UnknownError{Cause: cause}}
}
