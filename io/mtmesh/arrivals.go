package mtmesh

import (
	"expvar"
	"log/slog"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtmetric"
)

// arrivals records how each configuration has reached this daemon, and since when the daemon knows
// that another one has a newer one. It is safe for concurrent use.
type arrivals struct {
	received *expvar.Map // configurations received first, by way
	failed   *expvar.Map // transfers that failed, by way
	logger   *slog.Logger

	mu       sync.Mutex
	reported mtid.Version    // newest version that another daemon has reported
	since    mtclock.Instant // when a version above the one in force was first reported
}

func newArrivals(m *mtmetric.Metrics, log *slog.Logger) *arrivals {
	return &arrivals{received: m.Counters("configuration", "received"), failed: m.Counters("configuration", "failed"), logger: log}
}

// report records that another daemon has a newer version than the one in force here.
func (a *arrivals) report(now mtclock.Instant, own, newest mtid.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reported <= own {
		a.since = now
	}
	a.reported = max(a.reported, newest)
}

// behind returns how long ago a version above this daemon's was first reported, or zero.
func (a *arrivals) behind(now mtclock.Instant, own mtid.Version) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reported <= own {
		return 0
	}
	return now.Sub(a.since)
}

// fail counts a transfer that failed.
func (a *arrivals) fail(way mtstore.Way) { a.failed.Add(string(way), 1) }

// log logs a configuration newer than the one in force, which was last known to be the newest
// for the given age ago.
func (a *arrivals) log(now mtclock.Instant, version mtid.Version, from mtstore.Entry, age time.Duration) {
	a.received.Add(string(from.Origin.Way), 1)
	behind := a.behind(now, version-1)
	a.logger.Info("configuration received", "version", uint64(version), "way", from.Origin.Way, "peer", from.Origin.Peer,
		"took", from.Origin.Took, "bytes", len(from.Value), "age", age, "behind", behind)
}
