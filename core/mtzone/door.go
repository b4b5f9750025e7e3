package mtzone

import (
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

const (
	// Within is within which time of an order a zone gets no new work, where nothing else is
	// set.
	Within = 5 * time.Second
	// keyedPart is the part of that time in which keyed work is begun: the rest is spare for
	// a daemon that is held up between its decision and the sending.
	keyedPart = 0.8
)

// Until returns until when keyed work may be begun in a zone of which a daemon hears now
// that it is out of service. The order is at most as old as the daemon's certainty that
// there was none.
func Until(certain mtclock.Instant, within time.Duration) mtclock.Instant {
	return certain.Add(time.Duration(keyedPart * float64(within)))
}

// Door decides what a server may begin while its zone is taken out of service and taken
// back. Work without a key has other servers at once, so none is begun from the moment at
// which the order is known. Keys have to move to other owners first, which takes some
// tenths of a second each; until then only this server can serve them, but not for longer
// than the order allows.
//
// The zero value is the door of a server whose zone is in service.
type Door struct {
	version mtid.Version    // of the order; zero while the zone is in service
	shut    mtclock.Instant // until when keyed work is begun
}

// Close notes an order, and until when it lets keyed work be begun. A second word of the
// same order can only bring that forward: its bound counts from the order, not from when
// it was heard of again.
func (d *Door) Close(version mtid.Version, until mtclock.Instant) {
	if d.version == version {
		d.shut = min(d.shut, until)
		return
	}
	d.version, d.shut = version, until
}

// Reopen notes that the zone is in service.
func (d *Door) Reopen() { *d = Door{} }

// Closed reports whether the zone is out of service.
func (d *Door) Closed() bool { return d.version != 0 }

// Open reports whether work may be begun now, for a key or without one.
func (d *Door) Open(now mtclock.Instant, keyed bool) bool {
	return d.version == 0 || keyed && now.Before(d.shut)
}
