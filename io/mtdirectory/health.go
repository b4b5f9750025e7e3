package mtdirectory

import (
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
)

// storeHealth tracks since when the store has had no outage in which records may have expired. It is
// safe for concurrent use; its zero value knows of no answer.
type storeHealth struct {
	mu          sync.Mutex
	steadySince mtclock.Instant
	failedAt    mtclock.Instant // the first failure since the last answer; zero if there is none
}

// observe records whether the store answered. Failures that end within the given time are no outage.
func (h *storeHealth) observe(now mtclock.Instant, up bool, outage time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !up && h.failedAt == 0:
		h.failedAt = now
	case up && (h.steadySince == 0 || h.failedAt != 0 && now.Sub(h.failedAt) >= outage):
		h.steadySince, h.failedAt = now, 0
	case up:
		h.failedAt = 0
	}
}

// StoreSteadySince returns the instant since when the store has had no outage in which records may
// have expired, by the steady clock. A connection that was cut is none. It returns false if the
// store does not respond.
func (d *Directory) StoreSteadySince() (mtclock.Instant, bool) {
	d.health.mu.Lock()
	defer d.health.mu.Unlock()
	return d.health.steadySince, d.health.steadySince != 0 && d.health.failedAt == 0
}
