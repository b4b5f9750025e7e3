// Package mttakeover decides how the shards of a lost daemon get new owners.
//
// There are two steps, each a compare-and-swap in the platform's store, and
// each to be restarted by anyone at any time. First the lost life is fenced: a
// majority of the witnesses that its record names agree never to renew it, and
// then the record is written with Revoked above its incarnation. Then each
// chunk of an assignment that still names a fenced holder is written with a
// failover op. What is left to do is always seen from the records and the
// tables alone, so a taker that is lost half-way leaves nothing behind.
//
// # Usage
//
//	t := mttakeover.New(record, version)
//	for {
//		switch step := t.Next(now); step.Kind {
//		case mttakeover.Ask:    ... ask step.Witnesses; then t.Replied or t.Failed
//		case mttakeover.Write:  ... swap t.Revoked(stamp); then t.Seen what stands
//		case mttakeover.Wait:   ... sleep step.Wait
//		case mttakeover.Done:   ... the life is fenced
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

// Kind is what a taker does next.
type Kind int

// The kinds of a step.
const (
	Ask   Kind = iota // ask Witnesses to revoke
	Write             // write the revoked record
	Wait              // nothing to do before Wait has passed
	Done              // the life is fenced, or a newer one has registered
)

// Step is what a taker does next.
type Step struct {
	Kind      Kind
	Witnesses []mtid.Holder
	Wait      time.Duration
}

const (
	// retry is the pause after a witness did not answer.
	retry = 200 * time.Millisecond
	// shortest and longest bound the pause that a witness asks for: it may be
	// renewing, and then a takeover is not due at all.
	shortest = 5 * time.Millisecond
	longest  = mtlease.Guard
)

// Takeover fences one life of one daemon.
type Takeover struct {
	record  *mtroster.Record
	version mtid.Version
	target  mtid.Holder
	agreed  map[mtid.Holder]bool
	silent  map[mtid.Holder]bool
	asking  map[mtid.Holder]bool
	after   map[mtid.Holder]mtclock.Instant
}

// New begins to fence the life that the record names. The record may be out of
// date: the write will show it.
func New(record *mtroster.Record, version mtid.Version) *Takeover {
	t := &Takeover{target: record.Holder, silent: make(map[mtid.Holder]bool)}
	t.begin(record, version)
	return t
}

// begin starts the first step for another version of the record. Agreements to
// an earlier version don't count: the holder has moved to another set since.
func (t *Takeover) begin(record *mtroster.Record, version mtid.Version) {
	t.record = record
	t.version = version
	t.agreed = make(map[mtid.Holder]bool)
	t.asking = make(map[mtid.Holder]bool)
	t.after = make(map[mtid.Holder]mtclock.Instant)
}

// Target returns the life that is to be fenced.
func (t *Takeover) Target() mtid.Holder { return t.target }

// Version returns the version of the record that the witnesses are asked about,
// and that the write expects.
func (t *Takeover) Version() mtid.Version { return t.version }

// Next returns what to do now.
func (t *Takeover) Next(now mtclock.Instant) Step {
	if t.record.Holder != t.target || !t.record.MayHoldLease() {
		return Step{Kind: Done}
	}
	if t.fenced() {
		return Step{Kind: Write}
	}
	var ask []mtid.Holder
	wait := longest
	for _, w := range t.record.Witnesses {
		switch {
		case t.agreed[w] || t.silent[w] || t.asking[w]:
		case now.Before(t.after[w]):
			wait = min(wait, t.after[w].Sub(now))
		default:
			ask = append(ask, w)
		}
	}
	if len(ask) == 0 {
		return Step{Kind: Wait, Wait: wait}
	}
	for _, w := range ask {
		t.asking[w] = true
	}
	return Step{Kind: Ask, Witnesses: ask}
}

// fenced reports whether a majority of the set agreed. A life that never had a
// witness never had a lease.
func (t *Takeover) fenced() bool {
	set := t.record.Witnesses
	count := 0
	for _, w := range set {
		if t.agreed[w] || t.silent[w] {
			count++
		}
	}
	return len(set) == 0 || count >= mtlease.Majority(len(set))
}

// Silent says that w has been fenced for so long that no promise of it is left,
// and that it gives no more (see Fences). It counts as having agreed, under any
// version. Without that, a daemon lost together with most of its witnesses could
// not be taken over until one of them came back.
func (t *Takeover) Silent(w mtid.Holder) { t.silent[w] = true }

// Request returns what to ask witness w.
func (t *Takeover) Request(w mtid.Holder) mtwitness.Request {
	return mtwitness.Request{Target: t.target, Version: t.version, Witness: w}
}

// Replied takes the reply of a witness to the request of that version.
func (t *Takeover) Replied(now mtclock.Instant, r mtwitness.Request, reply mtwitness.Reply) {
	if r.Version != t.version || !slices.Contains(t.record.Witnesses, r.Witness) {
		return
	}
	t.asking[r.Witness] = false
	if reply.Granted {
		t.agreed[r.Witness] = true
		return
	}
	t.after[r.Witness] = now.Add(min(max(reply.Wait, shortest), longest))
}

// Failed notes that a witness could not be asked.
func (t *Takeover) Failed(now mtclock.Instant, r mtwitness.Request) {
	if r.Version == t.version {
		t.asking[r.Witness] = false
		t.after[r.Witness] = now.Add(retry)
	}
}

// Revoked returns the record that fences the life. It is written only where
// Next said Write, expecting Version.
func (t *Takeover) Revoked(stamp mtroster.WriteID) *mtroster.Record {
	next := *t.record
	next.WriteID = stamp
	next.RevokedBelow = t.target.Incarnation + 1
	return &next
}

// Seen takes the record that stands in the store: after a write that landed,
// after a conflict, or when a write whose answer was lost is looked up. If it
// shows the version that the write expected, the write may still land, and
// writing again is what settles it: of the two only one can succeed.
func (t *Takeover) Seen(record *mtroster.Record, version mtid.Version) {
	if version == t.version {
		return
	}
	t.begin(record, version)
}
