package mtpoison

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

// maxRefused bounds the fingerprints that are listed for operators.
const maxRefused = mtpoison.DefaultQuarantined

// Refused is a quarantined request that this daemon refused. Fingerprints that
// are in quarantine but weren't asked for here are not listed: a fingerprint
// alone doesn't tell whose service it is for.
type Refused struct {
	Service mtid.Ref
	Print   mtpoison.Fingerprint
	Times   int
	Last    mtclock.Instant
	// Until is when the quarantine ends if nobody asks again.
	Until mtclock.Instant
}

// refusals are the Refused of a Watch, guarded by its lock.
type refusals map[mtpoison.Fingerprint]Refused

// note counts a refusal.
func (r refusals) note(now mtclock.Instant, service mtid.Ref, p mtpoison.Fingerprint) {
	refused, ok := r[p]
	if !ok && len(r) >= maxRefused {
		r.expire(now)
	}
	if !ok && len(r) >= maxRefused {
		return
	}
	refused.Service, refused.Print, refused.Last = service, p, now
	refused.Times++
	refused.Until = now.Add(mtpoison.DefaultQuarantine)
	r[p] = refused
}

func (r refusals) expire(now mtclock.Instant) {
	for p, refused := range r {
		if !now.Before(refused.Until) {
			delete(r, p)
		}
	}
}

// Refused returns the quarantined requests that this daemon refused and that
// are still in quarantine, ordered by fingerprint.
func (w *Watch) Refused() []Refused {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused.expire(w.Clock.Now())
	out := make([]Refused, 0, len(w.refused))
	for _, refused := range w.refused {
		out = append(out, refused)
	}
	slices.SortFunc(out, func(a, b Refused) int { return cmp.Compare(a.Print, b.Print) })
	return out
}
