package mtpoison

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

// maxRefusals is the maximum number of fingerprints that are listed for operators.
const maxRefusals = mtpoison.DefaultQuarantined

// Refusal is a quarantined request that this daemon refused at least once. Quarantined
// fingerprints that were not requested here are not listed, since the service of a
// request can't be determined from its fingerprint.
type Refusal struct {
	Service       mtid.Ref
	Fingerprint   mtpoison.Fingerprint
	Count         int
	LastRefusedAt mtclock.Instant
	// Until is when the quarantine ends unless the request is sent again.
	Until mtclock.Instant
}

// refusals holds the refused requests by fingerprint. Detector.mu guards it.
type refusals map[mtpoison.Fingerprint]Refusal

// add counts a refusal. If the list is full of unexpired entries, a new fingerprint is
// not listed.
func (r refusals) add(now mtclock.Instant, service mtid.Ref, p mtpoison.Fingerprint) {
	refused, ok := r[p]
	if !ok && len(r) >= maxRefusals {
		r.expire(now)
	}
	if !ok && len(r) >= maxRefusals {
		return
	}
	refused.Service, refused.Fingerprint, refused.LastRefusedAt = service, p, now
	refused.Count++
	refused.Until = now.Add(mtpoison.DefaultQuarantine)
	r[p] = refused
}

// expire removes the requests whose quarantine has ended.
func (r refusals) expire(now mtclock.Instant) {
	for p, refused := range r {
		if !now.Before(refused.Until) {
			delete(r, p)
		}
	}
}

// Refusals returns the requests that this daemon refused and that are still in
// quarantine, sorted by fingerprint.
func (d *Detector) Refusals() []Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusals.expire(d.Clock.Now())
	out := make([]Refusal, 0, len(d.refusals))
	for _, refused := range d.refusals {
		out = append(out, refused)
	}
	slices.SortFunc(out, func(a, b Refusal) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}
