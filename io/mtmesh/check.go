package mtmesh

import (
	"sync"
	"time"

	"magnoliaturn/core/mtid"
)

// delayedCheck checks, some time after another daemon has reported a newer version, whether that has
// arrived. At most one check is pending. It is safe for concurrent use.
type delayedCheck struct {
	mu      sync.Mutex
	pending bool
	newest  mtid.Version // newest version reported since the pending check was scheduled
}

// report schedules a check of a version. If one of an older version is pending, this one follows it:
// it may take long until the version is reported again.
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
