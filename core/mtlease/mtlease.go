// Package mtlease is the holder's side of a lease: which promises of its
// witnesses a daemon holds, and until when it may serve by them.
//
// Each daemon has a set of witnesses among its peers, written in its record in
// the platform's store. A witness promises to agree to no takeover for Length.
// The daemon may serve while promises of a majority of its set are unexpired,
// each counted from before the daemon sent the datagram that asked for it. The
// witness counts from its receipt, and for longer (Guard), so that the holder's
// end always comes first as long as no clock runs faster than another by more
// than one part in DriftShare.
//
// # Usage
//
//	lease := mtlease.New(holder)
//	lease.Adopt(mtlease.Set{Version: version, Witnesses: record.Witnesses})
//	for _, w := range lease.Witnesses() {
//		ask, ok := lease.Ask(now, w, sequence)
//		... send it; on the answer: lease.Answer(now, w, answer)
//	}
//	if now.Before(lease.Until()) { ... may serve }
//
// To change the set: Propose it, ask until Ready, call Attempt just before the
// write to the store, and Settle once its outcome is known. From Attempt until
// then a majority of both sets is needed.
//
// A Lease is a pure state machine of one incarnation. It is not safe for
// concurrent use.
package mtlease

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Terms that all daemons of a fleet must share.
const (
	// Length is how long a promise lasts, counted by the holder.
	Length = 1200 * time.Millisecond
	// Period is the time between two asks to one witness.
	Period = 400 * time.Millisecond
	// DriftShare bounds the clocks: in one second of any VM's clock, another's
	// moves by at most 1+1/DriftShare seconds.
	DriftShare = 20
	// Guard is how long a promise lasts, counted by the witness.
	Guard = Length + Length/DriftShare
	// Vouch is how long a witness goes on promising after it last knew that
	// its own life stands: its lease was valid, or it read its own record.
	Vouch = 3 * time.Second
	// Silence is how long after a witness was seen to be fenced no promise of
	// it can be left, counted by whoever saw it.
	Silence = (Vouch + Length) + (Vouch+Length)/DriftShare
	// LateWake is how late a duty may wake before its promises are dropped.
	LateWake = Length / 4
)

// maxOutstanding bounds the asks whose answers are awaited, for each witness.
const maxOutstanding = 8

// Set is a set of witnesses as it stands in the daemon's record.
type Set struct {
	Version   mtid.Version // of the record that names it
	Witnesses []mtid.Holder
}

// Majority returns how many of n witnesses decide. No set of none decides
// anything, so it is more than n for zero.
func Majority(n int) int { return n/2 + 1 }

// Ask asks a witness for a promise.
type Ask struct {
	Sequence uint64
	// Witness is the life of the witness that the set names.
	Witness mtid.Holder
	// Version is the highest one of a set under which the promise counts.
	Version mtid.Version
}

// Refusal is why a witness gave no promise.
type Refusal uint32

// The reasons of a refusal.
const (
	Granted     Refusal = iota
	Revoked             // the set, or the holder's life, was revoked
	Incarnation         // the set names another life of the witness
	Unvouched           // the witness doesn't know whether its own life stands
)

// Answer is a witness's reply to an Ask.
type Answer struct {
	Sequence uint64
	Refusal  Refusal
	// Floor is the version up to which sets of the holder are revoked: the
	// promise counts only under sets of a higher version.
	Floor mtid.Version
}

// sent is an ask whose answer is awaited.
type sent struct {
	sequence uint64
	at       mtclock.Instant
}

// promise is what a holder knows of one witness.
type promise struct {
	outstanding []sent
	end         mtclock.Instant
	floor       mtid.Version
	refusal     Refusal
	firstAsk    mtclock.Instant
	lastAnswer  mtclock.Instant
	answered    bool
}

// Lease is what one life of a daemon knows of its promises.
type Lease struct {
	holder    mtid.Holder
	current   Set
	pending   Set
	proposed  bool
	attempted bool
	closed    bool
	fresh     mtclock.Instant
	promises  map[mtid.Holder]*promise
}

// New returns the lease of holder, which has no witnesses yet.
func New(holder mtid.Holder) *Lease {
	return &Lease{holder: holder, promises: make(map[mtid.Holder]*promise)}
}

// Holder returns whose lease it is.
func (l *Lease) Holder() mtid.Holder { return l.holder }

// Current returns the set that is known to stand in the record.
func (l *Lease) Current() Set { return l.current }

// Adopt takes set as the one that is known to stand in the record, and drops a
// proposal. It is called after registration.
func (l *Lease) Adopt(set Set) {
	l.current = set
	l.pending = Set{}
	l.proposed = false
	l.attempted = false
	l.forget()
}

// Propose begins to ask the witnesses of a set that is not written yet. It
// does nothing and returns false while the outcome of an attempt is unknown.
func (l *Lease) Propose(set Set) bool {
	if l.attempted {
		return false
	}
	l.pending = set
	l.proposed = true
	l.forget()
	return true
}

// Ready reports whether a majority of the proposed set has promised, so that
// the write may be attempted without a gap in the lease.
func (l *Lease) Ready(now mtclock.Instant) bool {
	return l.proposed && now.Before(l.majority(l.pending))
}

// Attempt is called before the write of the proposed set is sent to the store.
//
// From then on the store may hold either set, and a taker goes by the one it
// reads. A holder that counted only one of them could serve while the other's
// majority has agreed to a takeover: two owners of one key. So both count until
// Settle.
func (l *Lease) Attempt() bool {
	if !l.proposed {
		return false
	}
	l.attempted = true
	return true
}

// Settle is called once the outcome of the attempt is known: set is what the
// record names.
func (l *Lease) Settle(set Set) { l.Adopt(set) }

// Withdraw drops a proposal whose write was never sent, or is proved never to
// take effect.
func (l *Lease) Withdraw() { l.Adopt(l.current) }

// Close ends the lease for good. It is called when the record shows that this
// life was revoked.
func (l *Lease) Close() { l.closed = true }

// Witnesses returns whom to ask: those of the current and the proposed set.
func (l *Lease) Witnesses() []mtid.Holder {
	all := slices.Clone(l.current.Witnesses)
	for _, w := range l.pending.Witnesses {
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}

// Ask returns the ask for witness w under that sequence, or false if w is no
// witness. now must have been read before the ask is sent: a promise counts
// from there, since it may have been made any time after.
func (l *Lease) Ask(now mtclock.Instant, w mtid.Holder, sequence uint64) (Ask, bool) {
	version := l.versionFor(w)
	if version == 0 || l.closed {
		return Ask{}, false
	}
	p := l.promise(w)
	if p.firstAsk == 0 {
		p.firstAsk = now
	}
	if len(p.outstanding) == maxOutstanding {
		p.outstanding = slices.Delete(p.outstanding, 0, 1)
	}
	p.outstanding = append(p.outstanding, sent{sequence: sequence, at: now})
	return Ask{Sequence: sequence, Witness: w, Version: version}, true
}

// Answer takes w's answer. Answers that come late, twice or out of order do no
// harm: each counts from the ask that it names, and is dropped if a later ask
// was answered before.
func (l *Lease) Answer(now mtclock.Instant, w mtid.Holder, a Answer) {
	p, ok := l.promises[w]
	if !ok {
		return
	}
	i := slices.IndexFunc(p.outstanding, func(s sent) bool { return s.sequence == a.Sequence })
	if i < 0 {
		return
	}
	at := p.outstanding[i].at
	p.outstanding = slices.Delete(p.outstanding, 0, i+1)
	p.floor = max(p.floor, a.Floor)
	p.refusal = a.Refusal
	p.lastAnswer, p.answered = now, true
	if a.Refusal != Granted || at.Before(l.fresh) {
		return
	}
	p.end = at.Add(Length)
}

// Wake is called when the duty that asks wakes up, which was due at an earlier
// instant. A wake-up that is late by more than LateWake drops all promises
// asked for before: the VM may have been frozen in a way that no clock of it
// shows in full, so only a fresh round proves that the lease still stands.
func (l *Lease) Wake(now, due mtclock.Instant) bool {
	if now.Sub(due) <= LateWake {
		return false
	}
	l.fresh = now
	for _, p := range l.promises {
		p.end = 0
		// The silence was this side's own.
		p.firstAsk, p.lastAnswer = now, now
	}
	return true
}

// Until returns the instant up to which the daemon may serve; zero if it may
// not.
func (l *Lease) Until() mtclock.Instant {
	if l.closed {
		return 0
	}
	until := l.majority(l.current)
	if l.attempted {
		until = min(until, l.majority(l.pending))
	}
	return until
}

// Want says what is wrong with the set that stands in the record.
type Want struct {
	// Lost are witnesses that refuse for a reason of their own, or were silent
	// for longer than Length.
	Lost []mtid.Holder
	// Revoked says that a witness revoked this set: a new version is needed,
	// even of the same witnesses.
	Revoked bool
}

// Wants reports what is wrong with the current set.
func (l *Lease) Wants(now mtclock.Instant) Want {
	var want Want
	for _, w := range l.current.Witnesses {
		p, ok := l.promises[w]
		switch {
		case !ok:
		case p.unfit() || p.silent(now):
			want.Lost = append(want.Lost, w)
		case p.refusal == Revoked || p.floor >= l.current.Version:
			want.Revoked = true
		}
	}
	return want
}

// Doubtful returns the witnesses of the proposal that hold no promise to this
// daemon yet, so that another proposal may leave them out.
func (l *Lease) Doubtful(now mtclock.Instant) []mtid.Holder {
	var doubtful []mtid.Holder
	for _, w := range l.pending.Witnesses {
		if !now.Before(l.counted(l.pending, w)) {
			doubtful = append(doubtful, w)
		}
	}
	return doubtful
}

// unfit reports whether the witness can promise to nobody under this set.
func (p *promise) unfit() bool { return p.refusal == Incarnation || p.refusal == Unvouched }

// silent reports whether the witness let asks go unanswered for Length.
func (p *promise) silent(now mtclock.Instant) bool {
	since := p.firstAsk
	if p.answered {
		since = p.lastAnswer
	}
	return len(p.outstanding) > 0 && now.Sub(since) > Length
}

// majority returns the instant until which a majority of set has promised.
func (l *Lease) majority(set Set) mtclock.Instant {
	if len(set.Witnesses) == 0 {
		// A majority of none would be a lease that nobody can revoke.
		return 0
	}
	ends := make([]mtclock.Instant, 0, len(set.Witnesses))
	for _, w := range set.Witnesses {
		ends = append(ends, l.counted(set, w))
	}
	slices.Sort(ends)
	return ends[len(ends)-Majority(len(ends))]
}

// counted returns until when w's promise counts under set.
func (l *Lease) counted(set Set, w mtid.Holder) mtclock.Instant {
	p, ok := l.promises[w]
	if !ok || p.floor >= set.Version {
		return 0
	}
	return p.end
}

// versionFor returns the highest version of a set that names w, or zero.
func (l *Lease) versionFor(w mtid.Holder) mtid.Version {
	if slices.Contains(l.pending.Witnesses, w) {
		return l.pending.Version
	}
	if slices.Contains(l.current.Witnesses, w) {
		return l.current.Version
	}
	return 0
}

func (l *Lease) promise(w mtid.Holder) *promise {
	p, ok := l.promises[w]
	if !ok {
		p = &promise{}
		l.promises[w] = p
	}
	return p
}

// forget drops what is known of daemons that are no witnesses any more.
func (l *Lease) forget() {
	for w := range l.promises {
		if l.versionFor(w) == 0 {
			delete(l.promises, w)
		}
	}
}
