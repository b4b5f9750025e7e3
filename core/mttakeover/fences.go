package mttakeover

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
)

// fence is the highest revocation observed in one daemon's records.
type fence struct {
	revoked mtid.Incarnation // all lower incarnations are fenced
	since   mtclock.Instant
}

// Fences records when each daemon's previous incarnations were first observed to
// be fenced. The instants must come from a clock that never runs ahead.
//
// A witness makes promises only if its own incarnation was confirmed within the
// last mtlease.ConfirmationTTL. A fenced incarnation can't be confirmed again:
// its own witnesses have agreed to the revocation, and its record shows it as
// revoked. So after mtlease.FencedExpiry all its promises have expired.
//
// The zero value is ready to use. It is not safe for concurrent use.
type Fences struct {
	seen map[mtid.Daemon]fence
}

// Note processes a record that was in the store at now.
func (f *Fences) Note(now mtclock.Instant, record *mtroster.Record) {
	if f.seen == nil {
		f.seen = make(map[mtid.Daemon]fence)
	}
	d := record.Holder.Daemon
	if record.RevokedBelow > f.seen[d].revoked {
		f.seen[d] = fence{revoked: record.RevokedBelow, since: now}
	}
}

// PromisesExpired reports whether h was observed to be fenced at least
// mtlease.FencedExpiry ago, so that all the promises it made as a witness have
// expired.
func (f *Fences) PromisesExpired(now mtclock.Instant, h mtid.Holder) bool {
	seen, ok := f.seen[h.Daemon]
	return ok && h.Incarnation < seen.revoked && now.Sub(seen.since) >= mtlease.FencedExpiry
}
