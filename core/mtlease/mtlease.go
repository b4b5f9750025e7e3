// Package mtlease implements the holder's side of a lease: it tracks the promises
// that a daemon has received from its witnesses, and until when they permit it to
// serve.
//
// Each daemon has a set of witnesses among its peers, listed in its record in
// the platform's store. A witness promises not to agree to a takeover for
// Length. The daemon may serve while the promises of a majority of its set are
// unexpired. The daemon counts each promise from before it sent the request. The
// witness counts from receipt, and for longer (WitnessLength). So the promise
// always ends first at the holder, as long as no clock runs faster than another
// by more than one part in DriftShare.
//
// # Usage
//
//	lease := mtlease.New(holder)
//	lease.Adopt(mtlease.Set{Version: version, Witnesses: record.Witnesses})
//	for _, w := range lease.Witnesses() {
//		request, ok := lease.NewRequest(now, w, sequence)
//		... send it; when the answer arrives: lease.Answer(now, w, answer)
//	}
//	if now.Before(lease.Until()) { ... may serve }
//
// To change the set, call Propose, send requests until Ready, call Attempt just
// before the write to the store, and call Settle once its outcome is known. From
// Attempt until Settle, a majority of each of the two sets is needed.
//
// A Lease is a pure state machine for one incarnation. It is not safe for
// concurrent use.
package mtlease

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// All daemons of a fleet must use the same values of these constants.
const (
	// Length is how long a promise lasts on the holder's clock.
	Length = 1200 * time.Millisecond
	// Period is the interval between two renewal requests to the same witness.
	Period = 400 * time.Millisecond
	// DriftShare bounds the relative drift of clocks: while any VM's clock advances
	// by one second, another's advances by at most 1+1/DriftShare seconds.
	DriftShare = 20
	// WitnessLength is how long a promise lasts on the witness's clock: Length,
	// plus a margin for clock drift.
	WitnessLength = Length + Length/DriftShare
	// ConfirmationTTL is how long a witness keeps making promises after its own
	// incarnation was last confirmed: by a valid lease, or by its own record in
	// the store.
	ConfirmationTTL = 3 * time.Second
	// FencedExpiry is how long after a witness was observed to be fenced all its
	// promises have expired, on the observer's clock.
	FencedExpiry = (ConfirmationTTL + Length) + (ConfirmationTTL+Length)/DriftShare
	// MaxTimerDelay is how late the renewal timer may fire before all promises are
	// dropped.
	MaxTimerDelay = Length / 4
)

// maxOutstanding limits the unanswered requests that are tracked per witness.
const maxOutstanding = 8

// Set is a set of witnesses as listed in one version of the daemon's record.
type Set struct {
	Version   mtid.Version // of the record
	Witnesses []mtid.Holder
}

// Majority returns how many of n witnesses form a majority. It returns 1 for an
// empty set, which can thus never reach it.
func Majority(n int) int { return n/2 + 1 }

// RenewRequest is a request to a witness for a promise.
type RenewRequest struct {
	Sequence uint64
	// Witness is the incarnation of the witness that the set names.
	Witness mtid.Holder
	// Version is the highest version of a set under which the promise counts.
	Version mtid.Version
}

// Refusal is why a witness refused to make a promise.
type Refusal uint32

// The reasons for a refusal.
const (
	Granted     Refusal = iota // not refused
	Revoked                    // the set, or the holder's incarnation, was revoked
	Incarnation                // the set names another incarnation of the witness
	Unconfirmed                // the witness's own incarnation was not confirmed recently
)

// Answer is a witness's answer to a RenewRequest.
type Answer struct {
	Sequence uint64
	Refusal  Refusal
	// Floor is the version up to which the holder's sets are revoked. The promise
	// counts only under sets with a higher version.
	Floor mtid.Version
}

// sent is a request that has not been answered yet.
type sent struct {
	sequence uint64
	at       mtclock.Instant
}

// promise is the holder's state for one witness.
type promise struct {
	outstanding  []sent
	end          mtclock.Instant
	floor        mtid.Version // the highest Floor that the witness has reported
	refusal      Refusal      // from the last answer
	firstRequest mtclock.Instant
	lastAnswer   mtclock.Instant
	answered     bool
}

// Lease tracks the promises made to one incarnation of a daemon.
type Lease struct {
	holder    mtid.Holder
	current   Set
	pending   Set
	proposed  bool
	attempted bool
	closed    bool
	fresh     mtclock.Instant // answers to requests sent before then don't count
	promises  map[mtid.Holder]*promise
}

// New returns a lease for holder, without witnesses.
func New(holder mtid.Holder) *Lease {
	return &Lease{holder: holder, promises: make(map[mtid.Holder]*promise)}
}

// Holder returns the incarnation that the lease belongs to.
func (l *Lease) Holder() mtid.Holder { return l.holder }

// Current returns the set that the holder's record is known to list.
func (l *Lease) Current() Set { return l.current }

// Adopt makes set the current one, and drops any proposal. It is called after
// registration, when the holder's record is known to list set.
func (l *Lease) Adopt(set Set) {
	l.current = set
	l.pending = Set{}
	l.proposed = false
	l.attempted = false
	l.prune()
}

// Propose adds the witnesses of a set that is not written yet to those that
// receive requests. While the outcome of an attempt is unknown, it does nothing
// and returns false.
func (l *Lease) Propose(set Set) bool {
	if l.attempted {
		return false
	}
	l.pending = set
	l.proposed = true
	l.prune()
	return true
}

// Ready reports whether a majority of the proposed set has promised, so that the
// write can be attempted without interrupting the lease.
func (l *Lease) Ready(now mtclock.Instant) bool {
	return l.proposed && now.Before(l.majority(l.pending))
}

// Attempt is called before the write of the proposed set is sent to the store.
//
// From then on the store may hold either set, and a claimant uses the one that it
// reads. If the holder counted only one set, it could still serve after a majority
// of the other has agreed to a takeover, and a key would have two owners. So both
// count until Settle.
func (l *Lease) Attempt() bool {
	if !l.proposed {
		return false
	}
	l.attempted = true
	return true
}

// Settle is called once the outcome of the attempt is known. set is the one that
// the record lists.
func (l *Lease) Settle(set Set) { l.Adopt(set) }

// Withdraw drops a proposal whose write was never sent, or is proven never to take
// effect.
func (l *Lease) Withdraw() { l.Adopt(l.current) }

// Close ends the lease permanently. It is called when the record shows that this
// incarnation was revoked.
func (l *Lease) Close() { l.closed = true }

// Witnesses returns the witnesses to send requests to: those of the current set
// and of the proposed one.
func (l *Lease) Witnesses() []mtid.Holder {
	all := slices.Clone(l.current.Witnesses)
	for _, w := range l.pending.Witnesses {
		if !slices.Contains(all, w) {
			all = append(all, w)
		}
	}
	return all
}

// NewRequest returns the request to send to witness w, or false if w is not a
// witness or the lease is closed. now must be read before the request is sent:
// the promise counts from then, since the witness may make it at any time after.
// sequence identifies the request in its answer.
func (l *Lease) NewRequest(now mtclock.Instant, w mtid.Holder, sequence uint64) (RenewRequest, bool) {
	version := l.versionFor(w)
	if version == 0 || l.closed {
		return RenewRequest{}, false
	}
	p := l.promise(w)
	if p.firstRequest == 0 {
		p.firstRequest = now
	}
	if len(p.outstanding) == maxOutstanding {
		p.outstanding = slices.Delete(p.outstanding, 0, 1)
	}
	p.outstanding = append(p.outstanding, sent{sequence: sequence, at: now})
	return RenewRequest{Sequence: sequence, Witness: w, Version: version}, true
}

// Answer processes an answer from w. Late, duplicated and reordered answers do no
// harm: a promise counts from when the request with the answer's sequence was
// sent, and an answer is dropped if a later request has already been answered.
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

// TimerFired is called when the renewal timer, which was set for due, fires at
// now. If it is late by more than MaxTimerDelay, TimerFired drops all promises
// and returns true. Promises requested before now no longer count: the VM may
// have been paused in a way that none of its clocks fully shows, so only new
// requests can prove that the lease is still valid.
func (l *Lease) TimerFired(now, due mtclock.Instant) bool {
	if now.Sub(due) <= MaxTimerDelay {
		return false
	}
	l.fresh = now
	for _, p := range l.promises {
		p.end = 0
		// The witnesses are not at fault: this side was paused.
		p.firstRequest, p.lastAnswer = now, now
	}
	return true
}

// Until returns the instant at which the lease ends. It is zero if the daemon may
// not serve at all.
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

// Defects lists what is wrong with the set that the record lists.
type Defects struct {
	// Lost are the witnesses that refuse because of their own incarnation, or
	// have not answered for longer than Length.
	Lost []mtid.Holder
	// Revoked is true if a witness has revoked this set. The record then needs a
	// new version, even with the same witnesses.
	Revoked bool
}

// Defects reports what is wrong with the current set.
func (l *Lease) Defects(now mtclock.Instant) Defects {
	var defects Defects
	for _, w := range l.current.Witnesses {
		p, ok := l.promises[w]
		switch {
		case !ok:
		case p.unusable() || p.unresponsive(now):
			defects.Lost = append(defects.Lost, w)
		case p.refusal == Revoked || p.floor >= l.current.Version:
			defects.Revoked = true
		}
	}
	return defects
}

// Unpromised returns the witnesses of the proposed set without a valid promise, so
// that the next proposal can leave them out.
func (l *Lease) Unpromised(now mtclock.Instant) []mtid.Holder {
	var missing []mtid.Holder
	for _, w := range l.pending.Witnesses {
		if !now.Before(l.promisedUntil(l.pending, w)) {
			missing = append(missing, w)
		}
	}
	return missing
}

// unusable reports whether the witness refused because of its own incarnation,
// which no new version of the holder's set changes.
func (p *promise) unusable() bool { return p.refusal == Incarnation || p.refusal == Unconfirmed }

// unresponsive reports whether the witness has left requests unanswered for longer
// than Length.
func (p *promise) unresponsive(now mtclock.Instant) bool {
	since := p.firstRequest
	if p.answered {
		since = p.lastAnswer
	}
	return len(p.outstanding) > 0 && now.Sub(since) > Length
}

// majority returns the instant until which a majority of set has promised.
func (l *Lease) majority(set Set) mtclock.Instant {
	if len(set.Witnesses) == 0 {
		// A lease without witnesses could not be revoked by anyone.
		return 0
	}
	ends := make([]mtclock.Instant, 0, len(set.Witnesses))
	for _, w := range set.Witnesses {
		ends = append(ends, l.promisedUntil(set, w))
	}
	slices.Sort(ends)
	return ends[len(ends)-Majority(len(ends))]
}

// promisedUntil returns until when w's promise counts under set, or zero if w has
// made none or has revoked set.
func (l *Lease) promisedUntil(set Set, w mtid.Holder) mtclock.Instant {
	p, ok := l.promises[w]
	if !ok || p.floor >= set.Version {
		return 0
	}
	return p.end
}

// versionFor returns the version of the newest set that names w, or zero.
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

// prune drops the state of daemons that are not witnesses any more.
func (l *Lease) prune() {
	for w := range l.promises {
		if l.versionFor(w) == 0 {
			delete(l.promises, w)
		}
	}
}
