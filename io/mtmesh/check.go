package mtmesh

import (
	"sync"
	"time"

	"magnoliaturn/core/mtid"
)

const (
	// maxQuickChecks is how often a version that doesn't arrive is checked at the usual pace: for
	// some seconds, in which the store or the daemons that have the version may be slow.
	maxQuickChecks = 8
	// slowCheckDelay is the delay of the checks after that. Each message reports the version again,
	// and a daemon may never be able to use it.
	slowCheckDelay = 4 * time.Second
)

// checkResult is the result of a check.
type checkResult int

// The results of a check. Only an absent version makes the next checks rare: a daemon that can't
// reach the store or the others must not go on waiting once they are back.
const (
	versionArrived checkResult = iota
	versionAbsent              // the store and the daemons that were asked don't have it
	versionUnknown             // they didn't answer
)

// delayedCheck checks, some time after another daemon has reported a newer version, whether that has
// arrived. At most one check is pending. It is safe for concurrent use.
type delayedCheck struct {
	mu      sync.Mutex
	pending bool
	newest  mtid.Version // newest version reported since the pending check was scheduled
	missed  mtid.Version // the last version that had not arrived after its check
	misses  int          // checks of it in a row
}

// report schedules a check of a version. If one of an
// older version is pending, this one follows it: it may take long until the version is reported again.
func (d *delayedCheck) report(version mtid.Version, after time.Duration, check func(mtid.Version) checkResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending {
		d.newest = max(d.newest, version)
		return
	}
	d.pending, d.newest = true, version
	if version <= d.missed && d.misses >= maxQuickChecks {
		after = max(after, slowCheckDelay)
	}
	time.AfterFunc(after, func() {
		newest := d.end(version, check(version))
		if newest > version {
			d.report(newest, after, check)
		}
	})
}

// end records the outcome of the pending check, and returns the newest version reported meanwhile.
func (d *delayedCheck) end(version mtid.Version, result checkResult) mtid.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending = false
	switch {
	case result == versionArrived:
		d.missed, d.misses = 0, 0
	case result == versionUnknown:
	case version > d.missed:
		d.missed, d.misses = version, 1
	default:
		d.misses++
	}
	return d.newest
}
