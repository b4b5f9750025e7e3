package mttakeover

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
)

// fence is what was seen of one daemon's revocations.
type fence struct {
	revoked mtid.Incarnation
	since   mtclock.Instant
}

// Fences remembers since when each daemon's former lives have been seen to be
// fenced. The instants must come from a clock that never runs ahead.
//
// A witness promises only while its own life was known to stand within
// mtlease.Vouch. A fenced life can't learn that any more: its own witnesses
// have agreed, and its record says otherwise. So after mtlease.Silence all its
// promises have ended.
//
// The zero Fences is ready. It is not safe for concurrent use.
type Fences struct {
	seen map[mtid.Daemon]fence
}

// Note takes a record as it stands at now.
func (f *Fences) Note(now mtclock.Instant, record *mtroster.Record) {
	if f.seen == nil {
		f.seen = make(map[mtid.Daemon]fence)
	}
	d := record.Holder.Daemon
	if record.RevokedBelow > f.seen[d].revoked {
		f.seen[d] = fence{revoked: record.RevokedBelow, since: now}
	}
}

// Silent reports whether h has been fenced for mtlease.Silence.
func (f *Fences) Silent(now mtclock.Instant, h mtid.Holder) bool {
	seen, ok := f.seen[h.Daemon]
	return ok && h.Incarnation < seen.revoked && now.Sub(seen.since) >= mtlease.Silence
}
