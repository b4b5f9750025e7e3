package mtpoison

import (
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// pendingQuarantine takes effect once its holder is known to be lost.
type pendingQuarantine struct {
	holder mtid.Holder
	at     mtclock.Instant // when the connection to the holder broke
}

// Relayed records that a request is sent to the daemon of its owner.
func (t *Table[R]) Relayed(now mtclock.Instant, id FlightID, to mtid.Holder, p Fingerprint) {
	t.relays[id] = &flight{fingerprint: p, holder: to, begun: now}
}

// StartedAlone records that the owner has started to run a relayed request alone. If the
// owner is lost, this distinguishes a suspect that ran from one that was queued.
func (t *Table[R]) StartedAlone(id FlightID) {
	if f, ok := t.relays[id]; ok {
		f.alone = true
	}
}

// Returned records that the owner's daemon replied. answered is set if the reply is
// the server's answer.
func (t *Table[R]) Returned(id FlightID, answered bool) {
	f, ok := t.relays[id]
	if !ok {
		return
	}
	delete(t.relays, id)
	if answered && f.alone {
		t.markClear(f.begun, f.fingerprint)
	}
}

// GivenUp records that the caller's deadline passed or the caller disconnected
// before the reply arrived. The request may still be running: if its owner's daemon
// is found lost soon after, the request counts as in flight there.
func (t *Table[R]) GivenUp(now mtclock.Instant, id FlightID) {
	if f, ok := t.relays[id]; ok {
		f.detachedAt = now
	}
}

// RelayLost records that the connection to the owner's daemon broke before the
// reply. The request becomes a suspect; whether it is quarantined is decided once
// the daemon is known to be lost.
func (t *Table[R]) RelayLost(now mtclock.Instant, id FlightID) {
	f, ok := t.relays[id]
	if !ok {
		return
	}
	delete(t.relays, id)
	loss := CrashID{Holder: f.holder, Count: WholeVM}
	c := &Crash{ID: loss, At: now, Fingerprints: []Fingerprint{f.fingerprint}}
	t.addCrash(now, c)
	if f.alone {
		t.pending[f.fingerprint] = pendingQuarantine{holder: f.holder, at: now}
	}
}

// HolderLost records that a daemon's incarnation was revoked. The requests in
// flight there count as lost with it.
func (t *Table[R]) HolderLost(now mtclock.Instant, holder mtid.Holder) {
	for id, f := range t.relays {
		if f.holder == holder {
			t.RelayLost(now, id)
		}
	}
	for p, pending := range t.pending {
		if pending.holder == holder {
			delete(t.pending, p)
			t.evaluate(now, p, Coincidence{Crashes: t.crashesOf(p), Alone: true})
		}
	}
}

// PendingHolders returns the holders whose loss would confirm a pending quarantine. An
// owner checks whether they are lost before it runs a request, since its shard may
// just have been taken over from one of them.
func (t *Table[R]) PendingHolders() []mtid.Holder {
	var holders []mtid.Holder
	for _, pending := range t.pending {
		if !slices.Contains(holders, pending.holder) {
			holders = append(holders, pending.holder)
		}
	}
	return holders
}
