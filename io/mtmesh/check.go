package mtmesh

import (
	"sync"
	"time"

	"magnoliaturn/core/mtid"
)

// delayedCheck makes a check some time after another daemon has reported a newer version. At most
// one check is pending. It is safe for concurrent use.
type delayedCheck struct {
	mu      sync.Mutex
	pending bool
	newest  mtid.Version // newest one that was reported since the pending check was scheduled
}

// report schedules a check of a version. If a check of an older one is pending, this one follows it:
// nobody may report the version again for long.
func (d *delayedCheck) report(version mtid.Version, after time.Duration, check func(mtid.Version)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending {
		d.newest = max(d.newest, version)
		return
	}
	d.pending, d.newest = true, version
	time.AfterFunc(after, func() {
		check(version)
		d.mu.Lock()
		d.pending = false
		newest := d.newest
		d.mu.Unlock()
		if newest > version {
			d.report(newest, after, check)
		}
	})
}
