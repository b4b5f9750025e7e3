// Package mttakeover decides how the shards of a lost daemon get new owners.
//
// There are two steps. Both are compare-and-swap writes to the platform's store,
// and any daemon can restart either of them at any time. First the lost
// incarnation is fenced: a majority of the witnesses named in its record agree
// never to renew its lease, and then the record is written with RevokedBelow above
// its incarnation. Second, each chunk of an assignment that still names a fenced
// holder is written with a failover op. The records and tables alone show what
// is left to do, so a claimant that crashes half-way leaves no state to clean up.
//
// # Usage
//
//	t := mttakeover.New(record, version)
//	for {
//		switch step := t.Next(now); step.Kind {
//		case mttakeover.Ask:    ... send t.Request to step.Witnesses; then t.Replied or t.Failed
//		case mttakeover.Write:  ... swap in t.RevokedRecord(writeID); then t.Observe what is stored
//		case mttakeover.Wait:   ... sleep step.Wait
//		case mttakeover.Done:   ... the incarnation is fenced
//		}
//	}
//	op, ok := mttakeover.Failover(table, roster)
//
// All types are pure state machines, and not safe for concurrent use.
package mttakeover

import (
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwitness"
)

// Kind is the kind of a Step.
type Kind int

// What a claimant does in a step.
const (
	Ask   Kind = iota // send a revocation request to each of Witnesses
	Write             // write the revoked record
	Wait              // nothing to do before Wait has passed
	Done              // the incarnation is fenced, or a newer one has registered
)

// Step is the next action of a claimant: a daemon that takes over a lost one.
type Step struct {
	Kind      Kind
	Witnesses []mtid.Holder
	Wait      time.Duration
}

const (
	// retryDelay is the delay before a request that got no reply is repeated.
	retryDelay = 200 * time.Millisecond
	// minWait and maxWait bound the delay that a witness requests in its reply:
	// the holder may still be renewing its lease there, and no takeover is due.
	minWait = 5 * time.Millisecond
	maxWait = mtlease.WitnessLength
)

// Takeover fences one incarnation of one daemon.
type Takeover struct {
	record  *mtroster.Record
	version mtid.Version
	target  mtid.Holder
	agreed  map[mtid.Holder]bool
	expired map[mtid.Holder]bool // all promises of the witness have expired
	pending map[mtid.Holder]bool // a request is in flight
	retryAt map[mtid.Holder]mtclock.Instant
}

// New starts to fence the incarnation that the record names. The record may be
// stale: the write then fails with a version conflict.
func New(record *mtroster.Record, version mtid.Version) *Takeover {
	t := &Takeover{target: record.Holder, expired: make(map[mtid.Holder]bool)}
	t.begin(record, version)
	return t
}

// begin restarts the first step with a new version of the record. Agreements to
// an earlier version don't count: the holder has since switched to another set
// of witnesses.
func (t *Takeover) begin(record *mtroster.Record, version mtid.Version) {
	t.record = record
	t.version = version
	t.agreed = make(map[mtid.Holder]bool)
	t.pending = make(map[mtid.Holder]bool)
	t.retryAt = make(map[mtid.Holder]mtclock.Instant)
}

// Target returns the incarnation to be fenced.
func (t *Takeover) Target() mtid.Holder { return t.target }

// Version returns the record version that the witnesses are asked to revoke and
// that the write expects.
func (t *Takeover) Version() mtid.Version { return t.version }

// Next returns the step that is due at now. The witnesses of an Ask step count as
// pending until Replied or Failed is called for them.
func (t *Takeover) Next(now mtclock.Instant) Step {
	if t.record.Holder != t.target || !t.record.MayHoldLease() {
		return Step{Kind: Done}
	}
	if t.fenced() {
		return Step{Kind: Write}
	}
	var due []mtid.Holder
	wait := maxWait
	for _, w := range t.record.Witnesses {
		switch {
		case t.agreed[w] || t.expired[w] || t.pending[w]:
		case now.Before(t.retryAt[w]):
			wait = min(wait, t.retryAt[w].Sub(now))
		default:
			due = append(due, w)
		}
	}
	if len(due) == 0 {
		return Step{Kind: Wait, Wait: wait}
	}
	for _, w := range due {
		t.pending[w] = true
	}
	return Step{Kind: Ask, Witnesses: due}
}

// fenced reports whether a majority of the set agreed. An incarnation that never
// had a witness never had a lease.
func (t *Takeover) fenced() bool {
	set := t.record.Witnesses
	count := 0
	for _, w := range set {
		if t.agreed[w] || t.expired[w] {
			count++
		}
	}
	return len(set) == 0 || count >= mtlease.Majority(len(set))
}

// CountAsAgreed records that w has been fenced for so long that all its promises
// have expired and it can make no new ones (see Fences). It counts as having
// agreed, whatever the version. Without this rule, a daemon that is lost
// together with most of its witnesses could not be taken over until one of them
// restarted.
func (t *Takeover) CountAsAgreed(w mtid.Holder) { t.expired[w] = true }

// Request returns the revocation request to send to witness w.
func (t *Takeover) Request(w mtid.Holder) mtwitness.Request {
	return mtwitness.Request{Target: t.target, Version: t.version, Witness: w}
}

// Replied processes a witness's reply to r. Replies to requests for another
// version of the record, or from daemons outside its set, are ignored.
func (t *Takeover) Replied(now mtclock.Instant, r mtwitness.Request, reply mtwitness.Reply) {
	if r.Version != t.version || !slices.Contains(t.record.Witnesses, r.Witness) {
		return
	}
	t.pending[r.Witness] = false
	if reply.Granted {
		t.agreed[r.Witness] = true
		return
	}
	t.retryAt[r.Witness] = now.Add(min(max(reply.Wait, minWait), maxWait))
}

// Failed records that r got no reply, and schedules a retry.
func (t *Takeover) Failed(now mtclock.Instant, r mtwitness.Request) {
	if r.Version == t.version {
		t.pending[r.Witness] = false
		t.retryAt[r.Witness] = now.Add(retryDelay)
	}
}

// RevokedRecord returns the record that fences the incarnation. It may be
// written only after Next returned Write, and the write must expect Version.
func (t *Takeover) RevokedRecord(writeID mtroster.WriteID) *mtroster.Record {
	next := *t.record
	next.WriteID = writeID
	next.RevokedBelow = t.target.Incarnation + 1
	return &next
}

// Observe processes the record that is now in the store: after a successful write,
// after a conflict, or after a read that follows a write with unknown outcome. If
// the record still has the version that the write expected, that write may yet
// take effect. Writing again resolves this: only one of the two can succeed.
func (t *Takeover) Observe(record *mtroster.Record, version mtid.Version) {
	if version == t.version {
		return
	}
	t.begin(record, version)
}
