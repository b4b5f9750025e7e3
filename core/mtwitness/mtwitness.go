// Package mtwitness implements the witness's side of a lease: it tracks the
// promises that a daemon has made to its peers and the revocations that it has
// agreed to. It also selects witnesses by availability zone and region.
//
// With a promise, a witness commits not to agree to a takeover of the holder until
// the promise ends. With a revocation, it commits never to make another promise to
// the holder under a set of witnesses of the revoked version or an earlier one.
// The platform's store decides who owns a key; witnesses can only prevent a
// takeover or a renewal.
//
// # Usage
//
//	w := mtwitness.New("old-town-3", clock.Steady())
//	w.Register(incarnation)
//	answer := w.Renew(clock.Steady(), from, request, confirmed)
//	reply := w.Revoke(clock.Steady(), mtwitness.Request{...})
//
// All instants passed to a Witness must come from a clock that never runs ahead of
// the monotonic one. A Witness is a pure state machine, and keeps a few words of
// memory for each daemon that was ever named in a request. It is not safe for
// concurrent use.
package mtwitness

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
)

// Request is a claimant's request to a witness to agree to a takeover.
type Request struct {
	Target mtid.Holder
	// Version is the version of the target's record that the claimant read.
	Version mtid.Version
	// Witness is the incarnation of the witness that the record names.
	Witness mtid.Holder
}

// Reply is a witness's reply to a Request.
type Reply struct {
	Granted bool
	// Wait is how long to wait before repeating a request that was not granted.
	Wait time.Duration
}

// peerState is what a witness knows of one daemon.
type peerState struct {
	incarnation   mtid.Incarnation // the newest named in any request
	until         mtclock.Instant  // end of the promise to it
	floor         mtid.Version     // its sets up to this version are revoked
	previousUntil mtclock.Instant  // end of the promises to previous incarnations
}

// Witness holds the promises and revocations made by one process.
type Witness struct {
	self    mtid.Holder
	started mtclock.Instant
	peers   map[mtid.Daemon]*peerState
}

// New returns the witness of a process that started at the given instant. It makes
// no promises until Register gives it an incarnation.
func New(self mtid.Daemon, started mtclock.Instant) *Witness {
	return &Witness{
		self:    mtid.Holder{Daemon: self},
		started: started,
		peers:   make(map[mtid.Daemon]*peerState),
	}
}

// Register sets the witness's incarnation. It is called after the store has
// accepted it.
func (w *Witness) Register(incarnation mtid.Incarnation) { w.self.Incarnation = incarnation }

// Renew processes a holder's request for a promise. confirmed reports whether this
// incarnation of the witness was confirmed within the last mtlease.ConfirmationTTL.
func (w *Witness) Renew(now mtclock.Instant, from mtid.Holder, request mtlease.RenewRequest, confirmed bool) mtlease.Answer {
	answer := mtlease.Answer{Sequence: request.Sequence}
	if request.Witness != w.self {
		// The set names another incarnation of this daemon. That incarnation may
		// have revoked the holder, which this one can't know: a promise now could
		// give the holder a majority while the claimant's write takes effect.
		answer.Refusal = mtlease.Incarnation
		return answer
	}
	if !confirmed {
		// If most witnesses of a lost daemon are lost as well, a claimant counts
		// those that were fenced long enough ago as having agreed. A fenced
		// witness that still runs, partitioned off together with the holder, must
		// have stopped making promises by then.
		answer.Refusal = mtlease.Unconfirmed
		return answer
	}
	d := w.peer(from)
	if from.Incarnation < d.incarnation || request.Version <= d.floor {
		answer.Refusal = mtlease.Revoked
		answer.Floor = d.floor
		return answer
	}
	d.until = now.Add(mtlease.WitnessLength)
	answer.Floor = d.floor
	return answer
}

// Revoke processes a claimant's request. A granted revocation holds until this
// process ends. Later incarnations never make promises under a set that names
// this one.
func (w *Witness) Revoke(now mtclock.Instant, r Request) Reply {
	if wait := w.started.Add(mtlease.WitnessLength).Sub(now); wait > 0 {
		// The previous process may have made a promise just before it ended, which
		// this one can't know. A revocation now would permit a takeover while the
		// holder still serves under that promise.
		return Reply{Wait: wait}
	}
	d := w.peer(r.Target)
	until := d.until
	if r.Target.Incarnation < d.incarnation {
		until = d.previousUntil
	}
	if wait := until.Sub(now); wait > 0 {
		return Reply{Wait: wait}
	}
	if r.Target.Incarnation == d.incarnation {
		d.floor = max(d.floor, r.Version)
	}
	return Reply{Granted: true}
}

// Until returns when this witness would agree to a takeover of target: when the
// promise to it ends, or when the wait after the start of the process ends if that
// is later. So a restarted daemon suspects no peer before the peer has had time to
// send it a request.
func (w *Witness) Until(target mtid.Holder) mtclock.Instant {
	until := w.started.Add(mtlease.WitnessLength)
	d, ok := w.peers[target.Daemon]
	switch {
	case !ok:
		return until
	case target.Incarnation == d.incarnation:
		return max(until, d.until)
	case target.Incarnation < d.incarnation:
		return max(until, d.previousUntil)
	}
	return until
}

// peer returns the state of h's daemon. If h's incarnation is newer than the known
// one, the state is first advanced to it.
func (w *Witness) peer(h mtid.Holder) *peerState {
	d, ok := w.peers[h.Daemon]
	if !ok {
		d = &peerState{incarnation: h.Incarnation}
		w.peers[h.Daemon] = d
	}
	if h.Incarnation > d.incarnation {
		// Whoever revokes the previous incarnation must still wait until the
		// promise to it has ended.
		d.previousUntil = max(d.previousUntil, d.until)
		d.incarnation, d.until, d.floor = h.Incarnation, 0, 0
	}
	return d
}
