// Package mtpoison finds the requests that crash each backend server which runs
// them, and keeps them from doing so a third time.
//
// A request is known by its fingerprint, a hash of what it asks for; its
// identifier doesn't count, since a caller may send the same thing under a new
// one. A fingerprint goes through three states. It is clear until it was in
// flight when a backend server was lost; then it is suspected. A suspect runs
// alone: nothing else is in flight on its server. If that server is lost as
// well, no other request can have done it, and the suspect is quarantined; if
// it is answered, it is clear again. So the innocent requests that were in
// flight beside the one that crashes servers are cleared by their own next run,
// even if all are sent again together.
//
// A fingerprint is quarantined as well if it is the only one that two complete
// lists of requests in flight have in common. That is for a request that runs
// on several servers at the same time, before anyone can suspect it.
//
// # Who knows what
//
// The daemon beside the server sees all that is in flight there (Started, Ended,
// ServerLost). If the whole VM is lost, its daemon's knowledge goes with it;
// then each ingress knows the requests that it had relayed there (Relayed,
// Begun, Returned, RelayLost). A broken connection between two daemons proves no
// crash, hence what an ingress saw only makes suspects until HolderLost confirms
// that the daemon is gone.
//
// Evidence is exchanged by Digest and Merge. It is a set of crashes, each named
// by the holder and a count, so that merging it twice or in any order gives the
// same. All of it is bounded and ages.
//
// # Usage
//
//	switch table.Judge(now, print, hint) {
//	case mtpoison.Quarantined: // refuse with mtreply.CauseQuarantined
//	case mtpoison.Suspect:     // admit it with mtgate.Ticket.Alone
//	}
//	table.Started(number, print, alone)
//	table.Ended(now, number, mtpoison.Broken)
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

// Print is the fingerprint of a request: a hash of service, key, class, method,
// path, query and body, as (*mtrequest.Request).Fingerprint makes it.
type Print uint64

// Verdict is what is known of a fingerprint.
type Verdict uint8

// The verdicts, from good to bad.
const (
	Clear Verdict = iota
	Suspect
	Quarantined
)

// String returns the verdict in words, for logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "quarantined"}[v]
}

// Number tells the requests in flight apart. The caller of the Table chooses
// it.
type Number uint64

// End is how a request in flight has ended.
type End uint8

// The ends of a request.
const (
	Whole  End = iota // the server answered it
	NotRun            // it was not run
	Broken            // the connection to the server broke
	Left              // it was given up; nothing is known of the server
)

// together is how long the connections of one lost server take to break. A
// request whose connection broke that long before the loss was noticed counts
// as in flight.
const together = 2 * time.Second

// givenUpFor is how long a request that nobody waits for counts as in flight at
// its owner: longer than it takes to find a daemon lost.
const givenUpFor = 30 * time.Second

// flight is a request in flight, here or at another daemon.
type flight struct {
	print  Print
	alone  bool
	holder mtid.Holder     // where it was relayed to; zero if it runs here
	broken mtclock.Instant // when its connection broke or it was given up; zero if neither
}

// condition is the holder that has to be lost for a quarantine to hold, and when
// the connection to it broke.
type condition struct {
	holder mtid.Holder
	at     mtclock.Instant
}

// Table is what one daemon knows. See the package comment.
type Table[R Rule] struct {
	rule        R
	limits      Limits
	self        mtid.Holder
	losses      uint32 // of the server beside this daemon
	here        map[Number]*flight
	relays      map[Number]*flight
	crashes     map[Loss]*Crash
	suspects    map[Print]mtclock.Instant // the last crash that each was part of
	cleared     map[Print]mtclock.Instant
	quarantined map[Print]mtclock.Instant // when each was last asked for
	pending     map[Print]condition       // quarantines that HolderLost would confirm
}

// New returns an empty Table of the daemon self.
func New[R Rule](rule R, self mtid.Holder, limits Limits) *Table[R] {
	return &Table[R]{
		rule:        rule,
		limits:      limits.filled(),
		self:        self,
		here:        make(map[Number]*flight),
		relays:      make(map[Number]*flight),
		crashes:     make(map[Loss]*Crash),
		suspects:    make(map[Print]mtclock.Instant),
		cleared:     make(map[Print]mtclock.Instant),
		quarantined: make(map[Print]mtclock.Instant),
		pending:     make(map[Print]condition),
	}
}

// Judge is called for each request, at the ingress and again at the owner. hint
// says that the ingress suspects it; the owner believes that unless it has
// cleared the fingerprint itself. A quarantine is renewed by each request, so
// that it lasts for as long as somebody goes on asking.
func (t *Table[R]) Judge(now mtclock.Instant, p Print, hint bool) Verdict {
	if asked, ok := t.quarantined[p]; ok {
		if now.Sub(asked) < t.limits.Quarantine {
			t.quarantined[p] = now
			return Quarantined
		}
		// Out of quarantine, but not clear: the next run is alone.
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

// Started says that a request is sent to the server beside this daemon. alone
// says that the gate keeps everything else out meanwhile.
func (t *Table[R]) Started(n Number, p Print, alone bool) {
	t.here[n] = &flight{print: p, alone: alone}
}

// Ended says how a started request has ended. With Broken it returns true if
// that may be a crash which isn't known yet: then the caller finds out whether
// the server is up, and calls ServerLost if it is not.
func (t *Table[R]) Ended(now mtclock.Instant, n Number, how End) bool {
	f, ok := t.here[n]
	if !ok {
		return false
	}
	if how == Broken {
		f.broken = now
		return true
	}
	delete(t.here, n)
	if how == Whole && f.alone {
		t.release(now, f.print)
	}
	return false
}

// Open reports whether a request that broke belongs to no known crash yet. It
// is asked once more right before ServerLost: all the requests that one crash
// broke look for the server at the same time, and only the first may report it.
func (t *Table[R]) Open(n Number) bool {
	_, ok := t.here[n]
	return ok
}

// Live sets the present life of this daemon, under which its crashes are named.
func (t *Table[R]) Live(self mtid.Holder) { t.self = self }

// ServerLost says that the server beside this daemon has crashed. It is called
// once per crash, and never for a single connection that broke.
func (t *Table[R]) ServerLost(now mtclock.Instant) {
	t.losses++
	c := &Crash{Loss: Loss{Holder: t.self, Count: t.losses}, At: now, Complete: true}
	for n, f := range t.here {
		delete(t.here, n)
		if f.broken != 0 && now.Sub(f.broken) > together {
			continue
		}
		c.Prints = append(c.Prints, f.print)
		if _, ok := t.cleared[f.print]; ok {
			c.Cleared = append(c.Cleared, f.print)
		}
		c.alone = c.alone || f.alone
	}
	// A lone request with company was sent to a server that another one had
	// taken down just before, unnoticed. It may have been either, so this crash
	// is no proof against any.
	if len(c.Prints) > 1 && c.alone {
		c.alone = false
		c.Complete = false
	}
	if len(c.Prints) > 0 {
		t.note(now, c)
	}
}

// Relayed says that a request is sent to the daemon of its owner.
func (t *Table[R]) Relayed(n Number, to mtid.Holder, p Print) {
	t.relays[n] = &flight{print: p, holder: to}
}

// Begun says that the owner has begun to run a relayed request, alone. It is
// what tells a suspect that ran from one that only waited when its owner was
// lost.
func (t *Table[R]) Begun(n Number) {
	if f, ok := t.relays[n]; ok {
		f.alone = true
	}
}

// Returned says that the owner's daemon has replied. whole says that the reply
// is the server's answer.
func (t *Table[R]) Returned(now mtclock.Instant, n Number, whole bool) {
	f, ok := t.relays[n]
	if !ok {
		return
	}
	delete(t.relays, n)
	if whole && f.alone {
		t.release(now, f.print)
	}
}

// GivenUp says that the caller's time was over or the caller gone before the
// reply came. The request may run still: if its owner's daemon is found lost
// soon, it was in flight there.
func (t *Table[R]) GivenUp(now mtclock.Instant, n Number) {
	if f, ok := t.relays[n]; ok {
		f.broken = now
	}
}

// RelayLost says that the connection to the owner's daemon broke before the
// reply. The request is suspected from now on; whether it is quarantined is
// decided once the daemon is known to be lost.
func (t *Table[R]) RelayLost(now mtclock.Instant, n Number) {
	f, ok := t.relays[n]
	if !ok {
		return
	}
	delete(t.relays, n)
	loss := Loss{Holder: f.holder, Count: WholeVM}
	c := &Crash{Loss: loss, At: now, Prints: []Print{f.print}}
	t.note(now, c)
	if f.alone {
		t.pending[f.print] = condition{holder: f.holder, at: now}
	}
}

// HolderLost says that a daemon's life is over: its incarnation was revoked.
// What was in flight there counts as lost.
func (t *Table[R]) HolderLost(now mtclock.Instant, holder mtid.Holder) {
	for n, f := range t.relays {
		if f.holder == holder {
			t.RelayLost(now, n)
		}
	}
	for p, c := range t.pending {
		if c.holder == holder {
			delete(t.pending, p)
			t.weigh(now, p, Coincidence{Crashes: t.crashesOf(p), Alone: true})
		}
	}
}

// Conditions returns the holders whose loss would put a request in quarantine.
// The owner of a request looks whether they are lost before it runs anything:
// its shard may have come from one of them a moment ago.
func (t *Table[R]) Conditions() []mtid.Holder {
	var holders []mtid.Holder
	for _, c := range t.pending {
		if !slices.Contains(holders, c.holder) {
			holders = append(holders, c.holder)
		}
	}
	return holders
}

// release clears a fingerprint that ran alone and was answered.
func (t *Table[R]) release(now mtclock.Instant, p Print) {
	delete(t.suspects, p)
	delete(t.pending, p)
	t.cleared[p] = now
}

// quarantine keeps a fingerprint from running.
func (t *Table[R]) quarantine(now mtclock.Instant, p Print) {
	delete(t.suspects, p)
	t.quarantined[p] = now
	for len(t.quarantined) > t.limits.Quarantined {
		delete(t.quarantined, oldest(t.quarantined))
	}
}

// note remembers a crash, or adds to what is known of it, and suspects what was
// in flight.
func (t *Table[R]) note(now mtclock.Instant, c *Crash) {
	known, ok := t.crashes[c.Loss]
	if !ok {
		known = &Crash{Loss: c.Loss, At: c.At}
		t.crashes[c.Loss] = known
	}
	known.Complete = known.Complete || c.Complete
	if len(known.Cleared) == 0 {
		known.Cleared = c.Cleared[:min(len(c.Cleared), t.limits.Prints)]
	}
	for _, p := range c.Prints {
		if known.add(p, t.limits.Prints) {
			t.suspect(p, c.At)
		}
	}
	only := t.onlyCommon(known)
	for _, p := range known.Prints {
		t.weigh(now, p, Coincidence{Crashes: t.crashesOf(p), Alone: c.alone, Only: only[p]})
	}
	t.bound()
}

// weigh quarantines a suspect if the rule says so.
func (t *Table[R]) weigh(now mtclock.Instant, p Print, c Coincidence) {
	if _, ok := t.suspects[p]; ok && t.rule.Quarantines(c) {
		t.quarantine(now, p)
	}
}

// crashesOf returns of how many crashes the fingerprint was part.
func (t *Table[R]) crashesOf(p Print) int {
	count := 0
	for _, c := range t.crashes {
		if c.lists(p) {
			count++
		}
	}
	return count
}

// onlyCommon returns the fingerprints that are all that c and another crash
// have in common, both being completely known.
func (t *Table[R]) onlyCommon(c *Crash) map[Print]bool {
	only := make(map[Print]bool)
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

// suspect notes that p was part of a crash at that time.
func (t *Table[R]) suspect(p Print, at mtclock.Instant) {
	if cleared, ok := t.cleared[p]; ok && !at.After(cleared) {
		return
	}
	delete(t.cleared, p)
	if _, ok := t.quarantined[p]; ok {
		return
	}
	t.suspects[p] = max(t.suspects[p], at)
}

// bound forgets the oldest crashes above the limit.
func (t *Table[R]) bound() {
	for len(t.crashes) > t.limits.Crashes {
		var first *Crash
		for _, c := range t.crashes {
			if first == nil || c.older(first) {
				first = c
			}
		}
		delete(t.crashes, first.Loss)
	}
}

// Expire forgets what has aged. It is called now and then.
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
	drop(t.suspects, now, t.limits.Suspicion)
	drop(t.cleared, now, t.limits.Suspicion)
	for n, f := range t.here {
		if f.broken != 0 && now.Sub(f.broken) > together {
			delete(t.here, n)
		}
	}
	for n, f := range t.relays {
		if f.broken != 0 && now.Sub(f.broken) > givenUpFor {
			delete(t.relays, n)
		}
	}
	for p, asked := range t.quarantined {
		if now.Sub(asked) >= t.limits.Quarantine {
			delete(t.quarantined, p)
			t.suspects[p] = now
		}
	}
}

// drop deletes what is older than limit.
func drop(prints map[Print]mtclock.Instant, now mtclock.Instant, limit time.Duration) {
	for p, at := range prints {
		if now.Sub(at) >= limit {
			delete(prints, p)
		}
	}
}

// oldest returns the fingerprint with the smallest time, the smaller one among
// equals: maps have no order.
func oldest(prints map[Print]mtclock.Instant) Print {
	var first Print
	found := false
	for p, at := range prints {
		if !found || at < prints[first] || (at == prints[first] && p < first) {
			first, found = p, true
		}
	}
	return first
}

// Counts are the sizes of a Table, for metrics.
type Counts struct {
	Crashes     int
	Suspects    int
	Quarantined int
	InFlight    int
}

// Counts returns the sizes of the Table.
func (t *Table[R]) Counts() Counts {
	return Counts{
		Crashes:     len(t.crashes),
		Suspects:    len(t.suspects),
		Quarantined: len(t.quarantined),
		InFlight:    len(t.here) + len(t.relays),
	}
}
