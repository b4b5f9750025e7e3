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
//	table.Started(id, fingerprint, alone)
//	table.Ended(now, id, mtpoison.Broken)
//	table.ServerLost(now) // then send table.Digest(now, ...) to the service's daemons
//
// A Table isn't safe for concurrent use.
package mtpoison

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Fingerprint is the fingerprint of a request: a hash of service, key, class, method,
// path, query and body, computed by (*mtrequest.Request).Fingerprint.
type Fingerprint uint64

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

// FlightID identifies a request in flight. The caller of the Table assigns it.
type FlightID uint64

// RunResult classifies how a request in flight ended.
type RunResult uint8

// The ways in which a request in flight ends.
const (
	Answered  RunResult = iota // the server sent a complete answer
	NotRun                     // the server did not run it
	Broken                     // the connection to the server broke
	Abandoned                  // it was abandoned; the state of the server is unknown
)

// breakWindow bounds how long it takes until all connections to a lost server have
// broken. A request whose connection broke within that time before the loss was
// detected counts as in flight.
const breakWindow = 2 * time.Second

// abandonedTTL is how long an abandoned relay still counts as in flight at its
// owner. It is longer than the detection of a lost daemon takes.
const abandonedTTL = 30 * time.Second

// flight is a request in flight at the local server or at another daemon.
type flight struct {
	fingerprint Fingerprint
	alone       bool
	holder      mtid.Holder     // the daemon that it was relayed to; zero if it runs locally
	detachedAt  mtclock.Instant // when its connection broke or it was abandoned; zero if neither
}

// pendingQuarantine takes effect once its holder is known to be lost.
type pendingQuarantine struct {
	holder mtid.Holder
	at     mtclock.Instant // when the connection to the holder broke
}

// Table holds the evidence that one daemon has. See the package comment.
type Table[R Rule] struct {
	rule        R
	limits      Limits
	self        mtid.Holder
	localLosses uint32 // crashes of the server beside this daemon
	local       map[FlightID]*flight
	relays      map[FlightID]*flight
	crashes     map[CrashID]*Crash
	suspects    map[Fingerprint]mtclock.Instant // time of the last crash at which each was in flight
	cleared     map[Fingerprint]mtclock.Instant // time of the answer that cleared each
	quarantined map[Fingerprint]mtclock.Instant // time of the last request for each
	pending     map[Fingerprint]pendingQuarantine
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

// Started records that a request is sent to the server beside this daemon. alone
// is set if the gate admits no other request until it ends.
func (t *Table[R]) Started(n FlightID, p Fingerprint, alone bool) {
	t.local[n] = &flight{fingerprint: p, alone: alone}
}

// Ended records how a started request ended. It returns true if how is Broken and
// the cause may be a crash that is not recorded yet: the caller then probes the
// server and calls ServerLost if the server is down.
func (t *Table[R]) Ended(now mtclock.Instant, n FlightID, how RunResult) bool {
	f, ok := t.local[n]
	if !ok {
		return false
	}
	if how == Broken {
		f.detachedAt = now
		return true
	}
	delete(t.local, n)
	if how == Answered && f.alone {
		t.markClear(now, f.fingerprint)
	}
	return false
}

// Unattributed reports whether a request whose connection broke is not yet assigned to a
// recorded crash. The caller checks it again right before ServerLost: all requests
// that one crash interrupted probe the server concurrently, and only the first of
// them may report the crash.
func (t *Table[R]) Unattributed(n FlightID) bool {
	_, ok := t.local[n]
	return ok
}

// SetSelf sets the current incarnation of this daemon, which identifies the crashes
// that it records.
func (t *Table[R]) SetSelf(self mtid.Holder) { t.self = self }

// ServerLost records that the server beside this daemon crashed. It is called once
// per crash; a broken connection alone is not a crash.
func (t *Table[R]) ServerLost(now mtclock.Instant) {
	t.localLosses++
	c := &Crash{ID: CrashID{Holder: t.self, Count: t.localLosses}, At: now, Complete: true}
	for n, f := range t.local {
		delete(t.local, n)
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > breakWindow {
			continue
		}
		c.Fingerprints = append(c.Fingerprints, f.fingerprint)
		if _, ok := t.cleared[f.fingerprint]; ok {
			c.Cleared = append(c.Cleared, f.fingerprint)
		}
		c.alone = c.alone || f.alone
	}
	// A request that was admitted alone is in flight with others only if it was sent to
	// a server that an earlier request had just crashed, undetected. Either may be the
	// cause, so this crash is not evidence against any of them.
	if len(c.Fingerprints) > 1 && c.alone {
		c.alone = false
		c.Complete = false
	}
	if len(c.Fingerprints) > 0 {
		t.addCrash(now, c)
	}
}

// Relayed records that a request is sent to the daemon of its owner.
func (t *Table[R]) Relayed(n FlightID, to mtid.Holder, p Fingerprint) {
	t.relays[n] = &flight{fingerprint: p, holder: to}
}

// StartedAlone records that the owner has started to run a relayed request alone. If the
// owner is lost, this distinguishes a suspect that ran from one that was queued.
func (t *Table[R]) StartedAlone(n FlightID) {
	if f, ok := t.relays[n]; ok {
		f.alone = true
	}
}

// Returned records that the owner's daemon replied. answered is set if the reply is
// the server's answer.
func (t *Table[R]) Returned(now mtclock.Instant, n FlightID, answered bool) {
	f, ok := t.relays[n]
	if !ok {
		return
	}
	delete(t.relays, n)
	if answered && f.alone {
		t.markClear(now, f.fingerprint)
	}
}

// GivenUp records that the caller's deadline passed or the caller disconnected
// before the reply arrived. The request may still be running: if its owner's daemon
// is found lost soon after, the request counts as in flight there.
func (t *Table[R]) GivenUp(now mtclock.Instant, n FlightID) {
	if f, ok := t.relays[n]; ok {
		f.detachedAt = now
	}
}

// RelayLost records that the connection to the owner's daemon broke before the
// reply. The request becomes a suspect; whether it is quarantined is decided once
// the daemon is known to be lost.
func (t *Table[R]) RelayLost(now mtclock.Instant, n FlightID) {
	f, ok := t.relays[n]
	if !ok {
		return
	}
	delete(t.relays, n)
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
	for n, f := range t.relays {
		if f.holder == holder {
			t.RelayLost(now, n)
		}
	}
	for p, c := range t.pending {
		if c.holder == holder {
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
	for _, c := range t.pending {
		if !slices.Contains(holders, c.holder) {
			holders = append(holders, c.holder)
		}
	}
	return holders
}

// markClear clears a fingerprint that ran alone and was answered.
func (t *Table[R]) markClear(now mtclock.Instant, p Fingerprint) {
	delete(t.suspects, p)
	delete(t.pending, p)
	t.cleared[p] = now
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

// addCrash records a crash, or merges it with the same crash recorded before, and
// makes suspects of the requests in flight.
func (t *Table[R]) addCrash(now mtclock.Instant, c *Crash) {
	known, ok := t.crashes[c.ID]
	if !ok {
		known = &Crash{ID: c.ID, At: c.At}
		t.crashes[c.ID] = known
	}
	known.Complete = known.Complete || c.Complete
	if len(known.Cleared) == 0 {
		known.Cleared = c.Cleared[:min(len(c.Cleared), t.limits.Fingerprints)]
	}
	for _, p := range c.Fingerprints {
		if known.add(p, t.limits.Fingerprints) {
			t.suspect(p, c.At)
		}
	}
	only := t.onlyCommon(known)
	for _, p := range known.Fingerprints {
		t.evaluate(now, p, Coincidence{Crashes: t.crashesOf(p), Alone: c.alone, Only: only[p]})
	}
	t.evictCrashes()
}

// evaluate quarantines a suspect if c satisfies the rule.
func (t *Table[R]) evaluate(now mtclock.Instant, p Fingerprint, c Coincidence) {
	if _, ok := t.suspects[p]; ok && t.rule.Quarantines(c) {
		t.quarantine(now, p)
	}
}

// crashesOf returns the number of recorded crashes at which the fingerprint was in
// flight.
func (t *Table[R]) crashesOf(p Fingerprint) int {
	count := 0
	for _, c := range t.crashes {
		if c.contains(p) {
			count++
		}
	}
	return count
}

// onlyCommon returns each fingerprint that is the only one in common between c and
// another crash, if the requests in flight at both are completely known.
func (t *Table[R]) onlyCommon(c *Crash) map[Fingerprint]bool {
	only := make(map[Fingerprint]bool)
	for _, other := range t.crashes {
		if other == c || !c.Complete || !other.Complete {
			continue
		}
		if p, ok := c.onlyCommon(other); ok {
			only[p] = true
		}
	}
	return only
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

// evictCrashes removes the oldest crashes above the limit.
func (t *Table[R]) evictCrashes() {
	for len(t.crashes) > t.limits.Crashes {
		var oldest *Crash
		for _, c := range t.crashes {
			if oldest == nil || c.older(oldest) {
				oldest = c
			}
		}
		delete(t.crashes, oldest.ID)
	}
}

// Expire removes evidence that is too old. It is called periodically.
func (t *Table[R]) Expire(now mtclock.Instant) {
	for loss, c := range t.crashes {
		if now.Sub(c.At) >= t.limits.Suspicion {
			delete(t.crashes, loss)
		}
	}
	for p, c := range t.pending {
		if now.Sub(c.at) >= t.limits.Suspicion {
			delete(t.pending, p)
		}
	}
	removeOlder(t.suspects, now, t.limits.Suspicion)
	removeOlder(t.cleared, now, t.limits.Suspicion)
	for n, f := range t.local {
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > breakWindow {
			delete(t.local, n)
		}
	}
	for n, f := range t.relays {
		if f.detachedAt != 0 && now.Sub(f.detachedAt) > abandonedTTL {
			delete(t.relays, n)
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
