package mtrecent

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
)

// Memory is the policy that keeps non-idempotent requests from running twice.
// Table is the one meant for service, Cache the plain one.
type Memory interface {
	// Begin returns the verdict on a request.
	Begin(now mtclock.Instant, wall time.Time, r Request, w Waiter) Verdict
	// End says how a request that was let run has ended, and returns the resends
	// that wait for it.
	End(now mtclock.Instant, name Name, o Outcome) []Waiter
	// Grant makes the memory answer for a range that was taken over.
	Grant(low, high mtid.Point, at time.Time) error
	// Revoke ends that it answers for a range.
	Revoke(low, high mtid.Point)
	// Export returns what it knows of a range.
	Export(now mtclock.Instant, low, high mtid.Point) Handover
	// Import makes it answer for a range with what another one knew.
	Import(now mtclock.Instant, h Handover) error
}

// Cache is the plain memory: the identifiers seen last, the oldest forgotten
// for the newest. It doesn't ask what it may have forgotten, and knows nothing
// of earlier owners.
type Cache struct{ seen *lru.Cache[Name, *Answer] }

// NewCache returns an empty cache of that many identifiers, at least one.
func NewCache(count int) *Cache {
	seen, _ := lru.New[Name, *Answer](max(count, 1)) // fails for a size below one only
	return &Cache{seen: seen}
}

// Begin implements Memory.
func (c *Cache) Begin(_ mtclock.Instant, _ time.Time, r Request, _ Waiter) Verdict {
	answer, ok := c.seen.Get(r.Name)
	if !ok {
		c.seen.Add(r.Name, nil)
		return Verdict{Kind: Run}
	}
	if answer == nil {
		return unknownVerdict(mtreply.CauseEarlier)
	}
	return Verdict{Kind: Replay, Answer: answer}
}

// End implements Memory.
func (c *Cache) End(_ mtclock.Instant, name Name, o Outcome) []Waiter {
	if o.What == mtreply.NotRun {
		c.seen.Remove(name)
		return nil
	}
	c.seen.Add(name, o.Answer)
	return nil
}

// Grant implements Memory.
func (*Cache) Grant(mtid.Point, mtid.Point, time.Time) error { return nil }

// Revoke implements Memory.
func (*Cache) Revoke(mtid.Point, mtid.Point) {}

// Export implements Memory.
func (*Cache) Export(_ mtclock.Instant, low, high mtid.Point) Handover {
	return Handover{Low: low, High: high}
}

// Import implements Memory.
func (*Cache) Import(mtclock.Instant, Handover) error { return nil }
