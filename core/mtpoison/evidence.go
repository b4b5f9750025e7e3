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

// WholeVM is the Count of a daemon's own loss. A life has only one.
const WholeVM = math.MaxUint32

// Loss names a crash, so that all who report it speak of the same one.
type Loss struct {
	Holder mtid.Holder
	Count  uint32 // of the server beside the holder, from 1; WholeVM for both
}

// Crash is one loss of a backend server and what was in flight there.
type Crash struct {
	Loss     Loss
	At       mtclock.Instant
	Complete bool    // all that was in flight is listed
	Prints   []Print // in order, each once
	// Cleared are those of Prints that had been answered while alone since an
	// earlier crash. That they were in flight at both tells nothing.
	Cleared []Print
	alone   bool // the one that was in flight was kept alone
}

// lists reports whether the fingerprint was in flight.
func (c *Crash) lists(p Print) bool {
	_, found := slices.BinarySearch(c.Prints, p)
	return found
}

// add adds a fingerprint and reports whether it wasn't known. A list that is
// full is no longer complete.
func (c *Crash) add(p Print, limit int) bool {
	i, found := slices.BinarySearch(c.Prints, p)
	if found {
		return false
	}
	if len(c.Prints) >= limit {
		c.Complete = false
		return false
	}
	c.Prints = slices.Insert(c.Prints, i, p)
	return true
}

// onlyCommon returns the fingerprint that both crashes list, if there is
// exactly one.
func (c *Crash) onlyCommon(other *Crash) (Print, bool) {
	var common Print
	count := 0
	for _, p := range c.Prints {
		if other.lists(p) && !slices.Contains(c.Cleared, p) && !slices.Contains(other.Cleared, p) {
			common = p
			count++
		}
	}
	return common, count == 1
}

// older orders crashes by time, and by name among equals.
func (c *Crash) older(other *Crash) bool { return compareCrashes(c, other) < 0 }

func compareCrashes(a, b *Crash) int {
	return cmp.Or(
		cmp.Compare(a.At, b.At),
		cmp.Compare(a.Loss.Holder.Daemon, b.Loss.Holder.Daemon),
		cmp.Compare(a.Loss.Holder.Incarnation, b.Loss.Holder.Incarnation),
		cmp.Compare(a.Loss.Count, b.Loss.Count),
	)
}

// Quarantine is a fingerprint in quarantine.
type Quarantine struct {
	Print Print
	Asked mtclock.Instant // last time
	// IfLost, if not zero, is the holder that has to be lost for it to hold.
	IfLost mtid.Holder
}

// Digest is evidence as it is exchanged. Times in it are the exchanging
// daemon's own; Encode and Decode make ages of them.
type Digest struct {
	Crashes     []Crash
	Quarantines []Quarantine
}

// Digest returns the newest evidence: up to that many quarantines and
// fingerprints of crashes in all. Quarantines go first, since they save servers
// that are still up. It is called when there is something new to send at once,
// and for gossip.
func (t *Table[R]) Digest(now mtclock.Instant, prints int) Digest {
	t.Expire(now)
	var d Digest
	for p, asked := range t.quarantined {
		d.Quarantines = append(d.Quarantines, Quarantine{Print: p, Asked: asked})
	}
	for p, c := range t.pending {
		d.Quarantines = append(d.Quarantines, Quarantine{Print: p, Asked: c.at, IfLost: c.holder})
	}
	slices.SortFunc(d.Quarantines, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Print, b.Print))
	})
	d.Quarantines = d.Quarantines[:min(prints, len(d.Quarantines))]
	left := prints - len(d.Quarantines)
	newest := make([]*Crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		newest = append(newest, c)
	}
	slices.SortFunc(newest, func(a, b *Crash) int { return compareCrashes(b, a) })
	for _, c := range newest {
		if left == 0 {
			break
		}
		out := c.cut(left)
		left -= len(out.Prints)
		d.Crashes = append(d.Crashes, out)
	}
	return d
}

// cut returns a copy of c with so many fingerprints at most.
func (c *Crash) cut(limit int) Crash {
	out := *c
	if len(c.Prints) > limit {
		out.Complete = false
	}
	out.Prints = slices.Clone(c.Prints[:min(limit, len(c.Prints))])
	out.Cleared = slices.Clone(c.Cleared)
	return out
}

// Merge takes in the evidence of another daemon. A crash of this daemon's own
// server is passed over unless it is of an earlier life: what is known here of
// this one is all there is to know.
func (t *Table[R]) Merge(now mtclock.Instant, d Digest) {
	for _, s := range d.Quarantines {
		t.take(s)
	}
	for i := range d.Crashes {
		if d.Crashes[i].Loss.Holder != t.self {
			t.note(now, &d.Crashes[i])
		}
	}
	t.Expire(now)
}

// take takes in a quarantine of another daemon.
func (t *Table[R]) take(s Quarantine) {
	if known, ok := t.quarantined[s.Print]; ok {
		if s.IfLost.IsZero() {
			t.quarantined[s.Print] = max(known, s.Asked)
		}
		return
	}
	if s.IfLost.IsZero() {
		t.quarantine(s.Asked, s.Print)
		return
	}
	if cleared, ok := t.cleared[s.Print]; (ok && !s.Asked.After(cleared)) || len(t.pending) >= t.limits.Quarantined {
		return
	}
	t.pending[s.Print] = condition{holder: s.IfLost, at: s.Asked}
}

// DecodeError says that evidence can't be read.
type DecodeError struct {
	Reason string
	Err    error
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Err == nil {
		return "poison: evidence can't be read: " + e.Reason
	}
	return fmt.Sprintf("poison: evidence can't be read: %s: %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the bytes of Wire.
func Encode(now mtclock.Instant, d Digest) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(Wire(now, d))
}

// Wire returns the form of d that daemons exchange.
func Wire(now mtclock.Instant, d Digest) *mtwire.Evidence {
	w := &mtwire.Evidence{}
	for _, c := range d.Crashes {
		wc := &mtwire.Crash{
			Holder:   mtroster.HolderToWire(c.Loss.Holder),
			Loss:     c.Loss.Count,
			AgeMs:    age(now, c.At),
			Complete: c.Complete,
		}
		for _, p := range c.Prints {
			wc.Prints = append(wc.Prints, uint64(p))
		}
		for _, p := range c.Cleared {
			wc.Cleared = append(wc.Cleared, uint64(p))
		}
		w.Crashes = append(w.Crashes, wc)
	}
	for _, s := range d.Quarantines {
		w.Quarantines = append(w.Quarantines, wireQuarantine(now, s))
	}
	return w
}

func wireQuarantine(now mtclock.Instant, s Quarantine) *mtwire.Quarantine {
	w := &mtwire.Quarantine{Print: uint64(s.Print), AgeMs: age(now, s.Asked)}
	if !s.IfLost.IsZero() {
		w.IfLost = mtroster.HolderToWire(s.IfLost)
	}
	return w
}

// Decode reads the bytes of Encode. It fails with a *DecodeError.
func Decode(now mtclock.Instant, value []byte) (Digest, error) {
	w := &mtwire.Evidence{}
	if err := proto.Unmarshal(value, w); err != nil {
		return Digest{}, &DecodeError{Reason: "not evidence", Err: err}
	}
	return Read(now, w)
}

// Read reads evidence. It fails with a *DecodeError.
func Read(now mtclock.Instant, w *mtwire.Evidence) (Digest, error) {
	var d Digest
	for _, wc := range w.GetCrashes() {
		c := Crash{
			Loss:     Loss{Holder: mtroster.HolderFromWire(wc.GetHolder()), Count: wc.GetLoss()},
			At:       since(now, wc.GetAgeMs()),
			Complete: wc.GetComplete(),
		}
		if c.Loss.Holder.IsZero() {
			return Digest{}, &DecodeError{Reason: "crash of nobody"}
		}
		for _, p := range wc.GetPrints() {
			c.Prints = append(c.Prints, Print(p))
		}
		for _, p := range wc.GetCleared() {
			c.Cleared = append(c.Cleared, Print(p))
		}
		d.Crashes = append(d.Crashes, c)
	}
	for _, s := range w.GetQuarantines() {
		d.Quarantines = append(d.Quarantines, Quarantine{
			Print:  Print(s.GetPrint()),
			Asked:  since(now, s.GetAgeMs()),
			IfLost: mtroster.HolderFromWire(s.GetIfLost()),
		})
	}
	return d, nil
}

// age returns the time from at to now in milliseconds.
func age(now, at mtclock.Instant) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

// since returns the time that many milliseconds before now.
func since(now mtclock.Instant, ms uint32) mtclock.Instant {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
