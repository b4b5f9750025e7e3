// Package mtseal decides how long fallow keys of the platform's store wait for an owner, over several
// eras of the store if one ends while they wait.
//
// When the store comes back from an older copy, nobody knows who was given keys in the lost seconds. Keys
// that nobody claims are fallow until no grant of an earlier era can be in force. If the store
// comes back from a copy again meanwhile, keys may have been claimed or given to a server in the seconds
// lost then. An entry in the store, the seal of an era, excludes that: from the time at which it is
// written on, nobody claims keys in that era, and nobody gives fallow keys to a server before the
// hold that it names has passed. A daemon that has seen everything up to the seal, and the end of the
// era within its hold, knows that the keys that were fallow have had no owner in the whole era, and
// counts the time from before.
//
// # Usage
//
//	value, err := mtseal.Seal{Hold: hold, By: daemon}.Encode()
//	seal, err := mtseal.Decode(value)
//	if observed.Proves(now) { history = append(history, mtseal.Past{Since: began, Fallow: spans}) }
//	since := history.Since(present, low, high)
package mtseal

import (
	"encoding/json"
	"fmt"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
)

const (
	// MaxHold is the longest hold of a seal.
	MaxHold = 15 * time.Second
	// maxDrift is by how much the clocks of two VMs may differ in rate.
	maxDrift = 0.02
)

// Seal is an entry that ends the time for claims in an era of the store.
type Seal struct {
	// Hold is how long after the seal was seen nobody gives fallow keys to a server.
	Hold time.Duration `json:"hold"` // in nanoseconds
	By   mtid.Daemon   `json:"by"`
}

// DecodeError reports an entry that no daemon writes as a seal.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("seal can't be decoded: %v", e.Err) }

// Unwrap returns what is wrong with the entry.
func (e *DecodeError) Unwrap() error { return e.Err }

// HoldError reports a hold that no daemon writes.
type HoldError struct{ Hold time.Duration }

// Error implements error.
func (e *HoldError) Error() string { return fmt.Sprintf("a hold of %s is out of bounds", e.Hold) }

// Encode returns the form in which the store keeps a seal.
func (s Seal) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a seal. It fails with a *DecodeError.
func Decode(value []byte) (Seal, error) {
	var s Seal
	if err := json.Unmarshal(value, &s); err != nil {
		return Seal{}, &DecodeError{Err: err}
	}
	if s.Hold <= 0 || s.Hold > MaxHold {
		return Seal{}, &DecodeError{Err: &HoldError{Hold: s.Hold}}
	}
	return s, nil
}

// Observed is what a daemon knows of the seal of the present era.
type Observed struct {
	Seal
	Version mtid.Version    // of the entry; zero if there is none
	SeenAt  mtclock.Instant // when it was first seen, by the clock that never runs ahead
	// After is a time before which it was certainly not written, by the clock that never runs slow: the
	// era must not have lasted longer than it seems. It is not known unless Bounded.
	After   mtclock.Instant
	Bounded bool
	// Doubtful reports that another writer has changed it, so that it proves nothing.
	Doubtful bool
	// firstSeenAt is when the first seal of the era was seen, if another writer has changed it; zero otherwise.
	firstSeenAt mtclock.Instant
}

// Changed returns what is known once the seal has been followed by another entry in its place, or by none. No
// daemon does that: so the wait for the end of its hold doesn't begin anew.
func (o Observed) Changed(next Observed) Observed {
	next.Doubtful, next.firstSeenAt = true, o.firstSeenAt
	if o.firstSeenAt == 0 {
		next.firstSeenAt = o.SeenAt
	}
	return next
}

// Proves reports whether nobody can have given fallow keys to a server between the seal and the end of
// its era, which was over at a time by the clock that never runs slow.
func (o Observed) Proves(over mtclock.Instant) bool {
	hold := time.Duration(float64(o.Hold) * (1 - maxDrift))
	return o.Version != 0 && o.Bounded && !o.Doubtful && over.Sub(o.After) < hold
}

// HoldsUntil returns the time before which no fallow keys may be given to a server, or zero if there is
// no seal.
func (o Observed) HoldsUntil() mtclock.Instant {
	if o.Version == 0 {
		return 0
	}
	until := o.SeenAt.Add(o.Hold)
	if o.firstSeenAt != 0 {
		until = min(until, o.firstSeenAt.Add(MaxHold))
	}
	return until
}

// Past is an era that has ended and in which certain keys had no owner from its beginning to its end.
type Past struct {
	Since  mtclock.Instant // when this daemon first knew of the era, by the clock that never runs ahead
	Fallow []mtrange.Span  // these keys
}

// History is what a daemon knows of the eras just before the present one, in order and without a gap.
type History []Past

// Since returns the time after which nobody can have been given any of the keys from low to high by an assignment
// of an earlier era, with the time since when the present era is known.
func (h History) Since(present mtclock.Instant, low, high mtid.KeyNumber) mtclock.Instant {
	since := present
	for i := len(h) - 1; i >= 0 && mtrange.Covered(h[i].Fallow, low, high); i-- {
		since = h[i].Since
	}
	return since
}
