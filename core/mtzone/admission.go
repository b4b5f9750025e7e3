package mtzone

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// DefaultCloseTime is the default time after which a zone that was ordered out of
	// service gets no new work.
	DefaultCloseTime = 5 * time.Second
	// keyedFraction is the fraction of that time in which keyed work may still start. The
	// rest is a margin for a daemon that is delayed between its decision and the sending.
	keyedFraction = 0.8
)

// KeyedUntil returns until when keyed work may start in a zone that a daemon now finds out
// of service. The order was given after the daemon last confirmed that there was none, so
// the time counts from that confirmation.
func KeyedUntil(confirmed mtclock.Instant, within time.Duration) mtclock.Instant {
	return confirmed.Add(time.Duration(keyedFraction * float64(within)))
}

// Admission decides which work a server may start while its zone is taken out of service
// and put back. Other servers can take work without a key at once, so none starts here once
// the order is known. Keys have to move to other owners first, which takes some tenths of a
// second each. Until then only this server can serve them, but no longer than the order
// allows.
//
// The zero value is ready to use, for a server whose zone is in service.
type Admission struct {
	version    mtid.Version    // of the order; zero while the zone is in service
	keyedUntil mtclock.Instant // when keyed work stops being admitted
}

// Close applies an order that took the zone out of service, with the time until which keyed
// work may start. If the same order is received again, that time can only become
// earlier, because it counts from the order and not from its receipt.
func (a *Admission) Close(version mtid.Version, until mtclock.Instant) {
	if a.version == version || a.version != 0 && a.version.Era() != version.Era() {
		// In a new era of the store the same order has another version.
		a.version, a.keyedUntil = version, min(a.keyedUntil, until)
		return
	}
	a.version, a.keyedUntil = version, until
}

// Reopen puts the zone back into service.
func (a *Admission) Reopen() { *a = Admission{} }

// Closed reports whether the zone is out of service.
func (a *Admission) Closed() bool { return a.version != 0 }

// Admits reports whether keyed work, or work without a key, may start now.
func (a *Admission) Admits(now mtclock.Instant, keyed bool) bool {
	return a.version == 0 || keyed && now.Before(a.keyedUntil)
}
