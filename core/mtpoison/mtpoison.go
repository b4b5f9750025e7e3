// Package mtpoison detects requests that crash every backend server that runs
// them, and stops such a request from crashing a third one.
//
// A request is identified by its fingerprint, a hash of its content. The request
// identifier is not part of it, since a caller may send the same content again
// under a new identifier. A fingerprint has three states. It is clear until it is
// in flight when a backend server is lost, which makes it a suspect. A suspect
// runs alone: nothing else is in flight on its server. If that server is lost too,
// no other request can be the cause, and the suspect is quarantined; if the server
// answers, the fingerprint is clear again. So harmless requests that were in
// flight beside the poison request are cleared by their own next run, even if all
// of them are sent again together.
//
// A fingerprint is also quarantined if it is the only one that was in flight at
// both of two crashes whose requests in flight are completely known. This covers a
// request that runs on several servers at once, before it is a suspect anywhere.
//
// # Sources of evidence
//
// The daemon beside a server sees every request in flight there (Started, Ended,
// ServerLost). If the whole VM is lost, that evidence is lost with the daemon;
// what remains is each ingress's record of the requests that it relayed there
// (Relayed, StartedAlone, Returned, RelayLost). A broken connection between two
// daemons does not prove a crash, so evidence from an ingress only makes suspects
// until HolderLost confirms that the daemon was terminated.
//
// Daemons exchange evidence with Digest and Merge. It is a set of crashes, each
// identified by its holder and a count, so merging is idempotent and independent
// of the order. All evidence is bounded in size and expires.
//
// # Usage
//
//	switch table.Classify(now, fingerprint, hint) {
//	case mtpoison.Quarantined: // refuse with mtreply.CauseQuarantined
//	case mtpoison.Suspect:     // admit it with mtgate.Ticket.Alone set
//	}
//	table.Started(now, id, fingerprint, alone)
//	table.Ended(now, id, mtpoison.Broken)
//	table.ServerLost(now) // then send table.Digest(now, ...) to the service's daemons
//
// A Table isn't safe for concurrent use.
package mtpoison

import (
	"strconv"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Fingerprint is the fingerprint of a request: a hash of service, key, class, method,
// path, query and body, computed by (*mtrequest.Request).Fingerprint.
type Fingerprint uint64

// String returns the fingerprint as suspects list it, in hexadecimal.
func (p Fingerprint) String() string { return strconv.FormatUint(uint64(p), 16) }

// Verdict is the state of a fingerprint.
type Verdict uint8

// The verdicts, in increasing order of severity.
const (
	Clear Verdict = iota
	Suspect
	Quarantined
)

// String returns the lower-case name of the verdict, for logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[v]
}

// Table holds the evidence that one daemon has. See the package comment.
type Table[R Rule] struct {
	rule        R
	limits      Limits
	self        mtid.Holder
	localLosses uint32               // crashes of the server beside this daemon
	local       map[FlightID]*flight // at the server beside this daemon
	relays      map[FlightID]*flight // at the daemons of other owners
	crashes     map[CrashID]*Crash
	suspects    map[Fingerprint]mtclock.Instant   // time of the last crash at which each was in flight
	cleared     map[Fingerprint]mtclock.Instant   // when the run began whose answer cleared each
	quarantined map[Fingerprint]mtclock.Instant   // time of the last request for each
	pending     map[Fingerprint]pendingQuarantine // quarantines that a lost holder would confirm
}

// New returns an empty Table for the daemon self.
func New[R Rule](rule R, self mtid.Holder, limits Limits) *Table[R] {
	return &Table[R]{
		rule:        rule,
		limits:      limits.withDefaults(),
		self:        self,
		local:       make(map[FlightID]*flight),
		relays:      make(map[FlightID]*flight),
		crashes:     make(map[CrashID]*Crash),
		suspects:    make(map[Fingerprint]mtclock.Instant),
		cleared:     make(map[Fingerprint]mtclock.Instant),
		quarantined: make(map[Fingerprint]mtclock.Instant),
		pending:     make(map[Fingerprint]pendingQuarantine),
	}
}

// Classify returns the verdict on a request. It is called at the ingress and again at
// the owner. hint is set if the request is a suspect at the ingress; the owner
// follows it unless it has cleared the fingerprint itself. Each request renews a
// quarantine, so the quarantine lasts as long as requests keep coming.
func (t *Table[R]) Classify(now mtclock.Instant, p Fingerprint, hint bool) Verdict {
	if requested, ok := t.quarantined[p]; ok {
		if now.Sub(requested) < t.limits.Quarantine {
			t.quarantined[p] = now
			return Quarantined
		}
		// An expired quarantine leaves a suspect: its next run is alone.
		delete(t.quarantined, p)
		t.suspects[p] = now
	}
	if !t.rule.Alone() {
		return Clear
	}
	if at, ok := t.suspects[p]; ok && now.Sub(at) < t.limits.Suspicion {
		return Suspect
	}
	if _, ok := t.cleared[p]; hint && !ok {
		return Suspect
	}
	return Clear
}

// SetSelf sets the current incarnation of this daemon, which identifies the crashes
// that it records.
func (t *Table[R]) SetSelf(self mtid.Holder) { t.self = self }

// markClear clears a fingerprint that ran alone and was answered. The answer says nothing on a crash after
// the run began.
func (t *Table[R]) markClear(begun mtclock.Instant, p Fingerprint) {
	if pending, ok := t.pending[p]; ok && !pending.at.After(begun) {
		delete(t.pending, p)
	}
	if at, ok := t.suspects[p]; ok && at.After(begun) {
		return
	}
	delete(t.suspects, p)
	t.cleared[p] = max(t.cleared[p], begun)
}

// quarantine puts a fingerprint in quarantine and evicts the one that was requested
// least recently if there are too many.
func (t *Table[R]) quarantine(now mtclock.Instant, p Fingerprint) {
	delete(t.suspects, p)
	t.quarantined[p] = now
	for len(t.quarantined) > t.limits.Quarantined {
		delete(t.quarantined, leastRecent(t.quarantined))
	}
}

// suspect makes p a suspect after a crash at that time, unless it was cleared later
// or is in quarantine.
func (t *Table[R]) suspect(p Fingerprint, at mtclock.Instant) {
	if cleared, ok := t.cleared[p]; ok && !at.After(cleared) {
		return
	}
	delete(t.cleared, p)
	if _, ok := t.quarantined[p]; ok {
		return
	}
	t.suspects[p] = max(t.suspects[p], at)
}

// Expire removes evidence that is too old. It is called periodically.
func (t *Table[R]) Expire(now mtclock.Instant) {
	for id, c := range t.crashes {
		if now.Sub(c.At) >= t.limits.Suspicion {
			delete(t.crashes, id)
		}
	}
	for p, pending := range t.pending {
		if now.Sub(pending.at) >= t.limits.Suspicion {
			delete(t.pending, p)
		}
	}
	removeOlder(t.suspects, now, t.limits.Suspicion)
	removeOlder(t.cleared, now, t.limits.Suspicion)
	for id, f := range t.local {
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > breakWindow {
			delete(t.local, id)
		}
	}
	for id, f := range t.relays {
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > abandonedTTL {
			delete(t.relays, id)
		}
	}
	for p, requested := range t.quarantined {
		if now.Sub(requested) >= t.limits.Quarantine {
			delete(t.quarantined, p)
			t.suspects[p] = now
		}
	}
}

// removeOlder deletes the fingerprints whose time is limit or more ago.
func removeOlder(times map[Fingerprint]mtclock.Instant, now mtclock.Instant, limit time.Duration) {
	for p, at := range times {
		if now.Sub(at) >= limit {
			delete(times, p)
		}
	}
}

// leastRecent returns the fingerprint with the earliest time, and the smallest
// among equals, so that the result does not depend on the order of the map.
func leastRecent(times map[Fingerprint]mtclock.Instant) Fingerprint {
	var first Fingerprint
	found := false
	for p, at := range times {
		if !found || at < times[first] || (at == times[first] && p < first) {
			first, found = p, true
		}
	}
	return first
}

// Counts are the numbers of entries in a Table, for metrics.
type Counts struct {
	Crashes     int
	Suspects    int
	Quarantined int
	InFlight    int
}

// Counts returns the current numbers of entries.
func (t *Table[R]) Counts() Counts {
	return Counts{
		Crashes:     len(t.crashes),
		Suspects:    len(t.suspects),
		Quarantined: len(t.quarantined),
		InFlight:    len(t.local) + len(t.relays),
	}
}
