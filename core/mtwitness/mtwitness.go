// Package mtwitness is the witness's side of a lease: the promises that a
// daemon gave its peers, and the revocations that it agreed to. It also chooses
// witnesses by availability zone and region.
//
// A promise says: until it ends, this witness agrees to no takeover of that
// holder. A revocation says: never again will this witness promise to that
// holder under a set of witnesses of that version or an earlier one. The
// platform's store decides who owns; witnesses only forbid.
//
// # Usage
//
//	w := mtwitness.New("old-town-3", clock.Steady())
//	w.Register(incarnation)
//	answer := w.Renew(clock.Steady(), from, ask, vouched)
//	reply := w.Revoke(clock.Steady(), mtwitness.Request{...})
//
// All instants given to a Witness must come from a clock that never runs ahead
// of the monotonic one. A Witness is a pure state machine, and keeps a few
// words for each daemon that ever asked it. It is not safe for concurrent use.
package mtwitness

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
)

// Request asks a witness to agree to the takeover of a holder.
type Request struct {
	Target mtid.Holder
	// Version is the one of the target's record, as the taker read it.
	Version mtid.Version
	// Witness is the life of the witness that the record names.
	Witness mtid.Holder
}

// Reply is a witness's word on a Request.
type Reply struct {
	Granted bool
	// Wait is how long to wait before it makes sense to ask again, if the
	// revocation was not granted.
	Wait time.Duration
}

// ward is what a witness knows of one daemon.
type ward struct {
	incarnation mtid.Incarnation // the newest that asked or was revoked
	until       mtclock.Instant  // end of the promise to it
	floor       mtid.Version     // its sets up to this version are revoked
	earlier     mtclock.Instant  // end of promises to earlier incarnations
}

// Witness holds the promises and revocations of one process.
type Witness struct {
	self    mtid.Holder
	started mtclock.Instant
	wards   map[mtid.Daemon]*ward
}

// New returns the witness of a process that began at started. It has no
// incarnation, and so promises nothing, until Register.
func New(self mtid.Daemon, started mtclock.Instant) *Witness {
	return &Witness{
		self:    mtid.Holder{Daemon: self},
		started: started,
		wards:   make(map[mtid.Daemon]*ward),
	}
}

// Register gives the witness its incarnation, once the store has accepted it.
func (w *Witness) Register(incarnation mtid.Incarnation) { w.self.Incarnation = incarnation }

// Renew answers a holder that asks for a promise. Vouched says that this life
// of the witness was known to stand within mtlease.Vouch.
func (w *Witness) Renew(now mtclock.Instant, from mtid.Holder, ask mtlease.Ask, vouched bool) mtlease.Answer {
	answer := mtlease.Answer{Sequence: ask.Sequence}
	if ask.Witness != w.self {
		// The set names another life of this daemon. That life may have
		// revoked the holder, and this one has forgotten it: a promise now
		// would give the holder a majority while the taker's write lands.
		answer.Refusal = mtlease.Incarnation
		return answer
	}
	if !vouched {
		// Where most witnesses of a lost daemon are lost as well, a taker counts
		// those that were fenced long ago as having agreed. A fenced witness
		// that lives on, cut off with the holder, must have stopped by then.
		answer.Refusal = mtlease.Unvouched
		return answer
	}
	d := w.ward(from)
	if from.Incarnation < d.incarnation || ask.Version <= d.floor {
		answer.Refusal = mtlease.Revoked
		answer.Floor = d.floor
		return answer
	}
	d.until = now.Add(mtlease.Guard)
	answer.Floor = d.floor
	return answer
}

// Revoke answers a taker. A granted revocation stands for the life of this
// process; its next life never promises under a set that names this one.
func (w *Witness) Revoke(now mtclock.Instant, r Request) Reply {
	if wait := w.started.Add(mtlease.Guard).Sub(now); wait > 0 {
		// The process before this one may have promised just before it ended,
		// and this one can't know: a revocation now would let a taker in while
		// the holder still serves by that promise.
		return Reply{Wait: wait}
	}
	d := w.ward(r.Target)
	until := d.until
	if r.Target.Incarnation < d.incarnation {
		until = d.earlier
	}
	if wait := until.Sub(now); wait > 0 {
		return Reply{Wait: wait}
	}
	if r.Target.Incarnation == d.incarnation {
		d.floor = max(d.floor, r.Version)
	}
	return Reply{Granted: true}
}

// Until returns when the promise to target ends, or the end of the wait after
// start if that is later. Past it this witness would agree to a takeover. A
// daemon that restarts thus suspects no peer before it can have heard from it.
func (w *Witness) Until(target mtid.Holder) mtclock.Instant {
	until := w.started.Add(mtlease.Guard)
	d, ok := w.wards[target.Daemon]
	switch {
	case !ok:
		return until
	case target.Incarnation == d.incarnation:
		return max(until, d.until)
	case target.Incarnation < d.incarnation:
		return max(until, d.earlier)
	}
	return until
}

// ward returns what is known of the holder's daemon, moved on to the holder's
// incarnation if that is newer.
func (w *Witness) ward(h mtid.Holder) *ward {
	d, ok := w.wards[h.Daemon]
	if !ok {
		d = &ward{incarnation: h.Incarnation}
		w.wards[h.Daemon] = d
	}
	if h.Incarnation > d.incarnation {
		// An earlier life's promise must still be waited out by whoever
		// revokes that life.
		d.earlier = max(d.earlier, d.until)
		d.incarnation, d.until, d.floor = h.Incarnation, 0, 0
	}
	return d
}
