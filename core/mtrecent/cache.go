package mtrecent

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Deduplicator is a policy that keeps non-idempotent requests from running twice. Table is
// the one for production; Cache is the simple one that it is compared with.
type Deduplicator interface {
	// Begin returns the verdict on a request.
	Begin(now mtclock.Instant, wall time.Time, r Request, w Waiter) Verdict
	// End records how a request with the verdict Run ended, and returns the resends
	// that wait for it.
	End(now mtclock.Instant, key DedupKey, o Result) []Waiter
	// Grant adds a range that was taken over from a lost owner.
	Grant(low, high mtid.Point, at time.Time) error
	// Revoke removes a range.
	Revoke(low, high mtid.Point)
	// Export returns the state of a range for its new owner.
	Export(now mtclock.Instant, low, high mtid.Point) Handover
	// Import adds a range with the state that its previous owner exported.
	Import(now mtclock.Instant, h Handover) error
}

// Cache is an LRU cache of the identifiers seen last. It runs an identifier that it
// has evicted again, and has no state from previous owners.
type Cache struct{ seen *lru.Cache[DedupKey, *Answer] }

// NewCache returns an empty cache for that many identifiers, at least one.
func NewCache(count int) *Cache {
	seen, _ := lru.New[DedupKey, *Answer](max(count, 1)) // the error is for sizes below one only
	return &Cache{seen: seen}
}

// Begin implements Deduplicator.
func (c *Cache) Begin(_ mtclock.Instant, _ time.Time, r Request, _ Waiter) Verdict {
	answer, ok := c.seen.Get(r.DedupKey)
	if !ok {
		c.seen.Add(r.DedupKey, nil)
		return Verdict{Kind: Run}
	}
	if answer == nil {
		return unknownVerdict(mtreply.CauseEarlier)
	}
	return Verdict{Kind: Replay, Answer: answer}
}

// End implements Deduplicator.
func (c *Cache) End(_ mtclock.Instant, key DedupKey, o Result) []Waiter {
	if o.Outcome == mtreply.NotRun {
		c.seen.Remove(key)
		return nil
	}
	c.seen.Add(key, o.Answer)
	return nil
}

// Grant implements Deduplicator.
func (*Cache) Grant(mtid.Point, mtid.Point, time.Time) error { return nil }

// Revoke implements Deduplicator.
func (*Cache) Revoke(mtid.Point, mtid.Point) {}

// Export implements Deduplicator.
func (*Cache) Export(_ mtclock.Instant, low, high mtid.Point) Handover {
	return Handover{Low: low, High: high}
}

// Import implements Deduplicator.
func (*Cache) Import(mtclock.Instant, Handover) error { return nil }
