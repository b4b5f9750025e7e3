package mtpoison

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
)

// WholeVM is the Count of the loss of a daemon with its whole VM, which happens at
// most once per incarnation.
const WholeVM = math.MaxUint32

// CrashID identifies a crash, so that reports of it from several daemons can be
// merged.
type CrashID struct {
	Holder mtid.Holder
	Count  uint32 // number of the crash of the holder's server, from 1; or WholeVM
}

// Crash is one loss of a backend server with the requests in flight there.
type Crash struct {
	ID           CrashID
	At           mtclock.Instant
	Complete     bool          // Fingerprints holds every request that was in flight
	Fingerprints []Fingerprint // sorted, without duplicates
	// Cleared holds those of Fingerprints that ran alone and were answered since an
	// earlier crash. Having been in flight at both crashes is not evidence against
	// them.
	Cleared []Fingerprint
	alone   bool // the only request in flight was admitted alone
}

// contains reports whether the fingerprint was in flight.
func (c *Crash) contains(p Fingerprint) bool {
	_, found := slices.BinarySearch(c.Fingerprints, p)
	return found
}

// add inserts a fingerprint and reports whether it was new. If the list is already
// full, the fingerprint is left out and the crash is marked incomplete.
func (c *Crash) add(p Fingerprint, limit int) bool {
	i, found := slices.BinarySearch(c.Fingerprints, p)
	if found {
		return false
	}
	if len(c.Fingerprints) >= limit {
		c.Complete = false
		return false
	}
	c.Fingerprints = slices.Insert(c.Fingerprints, i, p)
	return true
}

// onlyCommon returns the fingerprint that was in flight at both crashes and not
// cleared, if there is exactly one.
func (c *Crash) onlyCommon(other *Crash) (Fingerprint, bool) {
	var common Fingerprint
	count := 0
	for _, p := range c.Fingerprints {
		if other.contains(p) && !slices.Contains(c.Cleared, p) && !slices.Contains(other.Cleared, p) {
			common = p
			count++
		}
	}
	return common, count == 1
}

// older reports whether c comes before other by time, then by identifier.
func (c *Crash) older(other *Crash) bool { return compareCrashes(c, other) < 0 }

func compareCrashes(a, b *Crash) int {
	return cmp.Or(
		cmp.Compare(a.At, b.At),
		cmp.Compare(a.ID.Holder.Daemon, b.ID.Holder.Daemon),
		cmp.Compare(a.ID.Holder.Incarnation, b.ID.Holder.Incarnation),
		cmp.Compare(a.ID.Count, b.ID.Count),
	)
}

// Quarantine is a fingerprint in quarantine, or pending quarantine.
type Quarantine struct {
	Fingerprint Fingerprint
	LastRequest mtclock.Instant // time of the last request
	// IfLost, if not zero, makes the quarantine pending: it takes effect once this
	// holder is lost.
	IfLost mtid.Holder
}

// Digest is the evidence that daemons exchange. Its times are on the local clock;
// Encode and Decode convert them to and from ages.
type Digest struct {
	Crashes     []Crash
	Quarantines []Quarantine
}

// Digest returns the newest evidence, limited to that many quarantines and
// fingerprints of crashes in total. Quarantines take precedence, since they protect
// servers that are still up. It is called to push new evidence at once, and for
// gossip.
func (t *Table[R]) Digest(now mtclock.Instant, limit int) Digest {
	t.Expire(now)
	var d Digest
	for p, requested := range t.quarantined {
		d.Quarantines = append(d.Quarantines, Quarantine{Fingerprint: p, LastRequest: requested})
	}
	for p, pending := range t.pending {
		d.Quarantines = append(d.Quarantines, Quarantine{Fingerprint: p, LastRequest: pending.at, IfLost: pending.holder})
	}
	slices.SortFunc(d.Quarantines, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(b.LastRequest, a.LastRequest), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	d.Quarantines = d.Quarantines[:min(limit, len(d.Quarantines))]
	left := limit - len(d.Quarantines)
	newest := make([]*Crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		newest = append(newest, c)
	}
	slices.SortFunc(newest, func(a, b *Crash) int { return compareCrashes(b, a) })
	for _, c := range newest {
		if left == 0 {
			break
		}
		out := c.truncated(left)
		left -= len(out.Fingerprints)
		d.Crashes = append(d.Crashes, out)
	}
	return d
}

// truncated returns a copy of c with at most limit fingerprints.
func (c *Crash) truncated(limit int) Crash {
	out := *c
	if len(c.Fingerprints) > limit {
		out.Complete = false
	}
	out.Fingerprints = slices.Clone(c.Fingerprints[:min(limit, len(c.Fingerprints))])
	out.Cleared = slices.Clone(c.Cleared)
	return out
}

// Merge adds the evidence of another daemon. It ignores crashes of this daemon's own
// server in the current incarnation, since the local evidence on them is already
// complete.
func (t *Table[R]) Merge(now mtclock.Instant, d Digest) {
	for _, q := range d.Quarantines {
		t.mergeQuarantine(q)
	}
	for i := range d.Crashes {
		if d.Crashes[i].ID.Holder != t.self {
			t.addCrash(now, &d.Crashes[i])
		}
	}
	t.Expire(now)
}

// mergeQuarantine adds a quarantine of another daemon. A pending one is ignored if
// the fingerprint is in quarantine already or was cleared since, or if too many are
// pending.
func (t *Table[R]) mergeQuarantine(q Quarantine) {
	if known, ok := t.quarantined[q.Fingerprint]; ok {
		if q.IfLost.IsZero() {
			t.quarantined[q.Fingerprint] = max(known, q.LastRequest)
		}
		return
	}
	if q.IfLost.IsZero() {
		t.quarantine(q.LastRequest, q.Fingerprint)
		return
	}
	if cleared, ok := t.cleared[q.Fingerprint]; (ok && !q.LastRequest.After(cleared)) || len(t.pending) >= t.limits.Quarantined {
		return
	}
	t.pending[q.Fingerprint] = pendingQuarantine{holder: q.IfLost, at: q.LastRequest}
}

// DecodeError reports that evidence from another daemon cannot be decoded.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "poison: cannot decode evidence: " + e.Reason
	}
	return fmt.Sprintf("poison: cannot decode evidence: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the protobuf error, or nil if the message itself was well-formed.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the serialized form of Wire(now, d). Equal digests give equal bytes.
func Encode(now mtclock.Instant, d Digest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(Wire(now, d))
}

// Wire converts d to the protobuf message that daemons exchange.
func Wire(now mtclock.Instant, d Digest) *mtwire.Evidence {
	w := &mtwire.Evidence{}
	for _, c := range d.Crashes {
		wc := &mtwire.Crash{
			Holder:   mtroster.HolderToWire(c.ID.Holder),
			Loss:     c.ID.Count,
			AgeMs:    ageMillis(now, c.At),
			Complete: c.Complete,
		}
		for _, p := range c.Fingerprints {
			wc.Prints = append(wc.Prints, uint64(p))
		}
		for _, p := range c.Cleared {
			wc.Cleared = append(wc.Cleared, uint64(p))
		}
		w.Crashes = append(w.Crashes, wc)
	}
	for _, q := range d.Quarantines {
		w.Quarantines = append(w.Quarantines, wireQuarantine(now, q))
	}
	return w
}

func wireQuarantine(now mtclock.Instant, q Quarantine) *mtwire.Quarantine {
	w := &mtwire.Quarantine{Print: uint64(q.Fingerprint), AgeMs: ageMillis(now, q.LastRequest)}
	if !q.IfLost.IsZero() {
		w.IfLost = mtroster.HolderToWire(q.IfLost)
	}
	return w
}

// Decode parses the bytes that Encode returned. Errors are of type *DecodeError.
func Decode(now mtclock.Instant, value []byte) (Digest, error) {
	w := &mtwire.Evidence{}
	if err := proto.Unmarshal(value, w); err != nil {
		return Digest{}, &DecodeError{Reason: "malformed message", Err: err}
	}
	return Read(now, w)
}

// Read converts a protobuf message from another daemon to a Digest. Errors are of
// type *DecodeError.
func Read(now mtclock.Instant, w *mtwire.Evidence) (Digest, error) {
	var d Digest
	for _, wc := range w.GetCrashes() {
		c := Crash{
			ID:       CrashID{Holder: mtroster.HolderFromWire(wc.GetHolder()), Count: wc.GetLoss()},
			At:       instantOf(now, wc.GetAgeMs()),
			Complete: wc.GetComplete(),
		}
		if c.ID.Holder.IsZero() {
			return Digest{}, &DecodeError{Reason: "crash without a holder"}
		}
		for _, p := range wc.GetPrints() {
			c.Fingerprints = append(c.Fingerprints, Fingerprint(p))
		}
		for _, p := range wc.GetCleared() {
			c.Cleared = append(c.Cleared, Fingerprint(p))
		}
		d.Crashes = append(d.Crashes, c)
	}
	for _, q := range w.GetQuarantines() {
		d.Quarantines = append(d.Quarantines, Quarantine{
			Fingerprint: Fingerprint(q.GetPrint()),
			LastRequest: instantOf(now, q.GetAgeMs()),
			IfLost:      mtroster.HolderFromWire(q.GetIfLost()),
		})
	}
	return d, nil
}

// ageMillis returns the time from at to now in milliseconds, clamped to the range
// of uint32.
func ageMillis(now, at mtclock.Instant) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

// instantOf returns the time that is ms milliseconds before now.
func instantOf(now mtclock.Instant, ms uint32) mtclock.Instant {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
