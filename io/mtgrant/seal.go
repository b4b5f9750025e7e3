package mtgrant

import (
	"context"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtseal"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
)

const (
	// sealDelay is how long after this daemon first knew of an era its claims may be written before the era is
	// sealed: servers that live and reach the store are back by then.
	sealDelay = storeSettleTime
	// lateSealDelay is the additional delay of a daemon whose own wait began with the era, after
	// those that know of an earlier beginning.
	lateSealDelay = 400 * time.Millisecond
	// sealWindow is how long after sealDelay an era is still sealed. A later seal would delay the
	// end of the wait.
	sealWindow = 1500 * time.Millisecond
	// minSealHold is the shortest wait for which an era is sealed.
	minSealHold = time.Second
)

// fallowLeft returns how long the fallow keys from low to high still wait for an owner; at most zero
// if they may be given to a server. No grant of an earlier era of the store may be in force:
// a daemon sends grants for up to a lease after its era has ended, as after the loss of its record.
// And where a seal shows other daemons that the keys have no owner, they must be able to rely on it.
func (g *Grants) fallowLeft(view *mtdirectory.View, now mtclock.Instant, low, high mtid.KeyNumber) time.Duration {
	due := view.Unowned[g.Service].Since(view.EraSince, low, high).Add(g.grantsExpireAfter())
	return max(due, view.Seals[g.Service].HoldsUntil()).Sub(now)
}

// sealed returns the condition under which keys that were fallow in a view may be given to a server: no other daemon
// relies on their having no owner.
func (g *Grants) sealed(view *mtdirectory.View) mtstore.Condition {
	return mtstore.Condition{Name: mtstore.SealName(view.Era(), g.Service), Version: view.Seals[g.Service].Version}
}

// sealEra seals the era of a view in which keys are fallow, after a delay that is longer for daemons of a
// higher rank.
func (g *Grants) sealEra(ctx context.Context, view *mtdirectory.View, a mtdirectory.Assignment, now mtclock.Instant, delay time.Duration) {
	hold, early := g.sealHold(view, a, now)
	if !early {
		delay += lateSealDelay
	}
	age := now.Sub(view.EraSince) - sealDelay
	_, known := view.Seals[g.Service]
	if known || g.unsettledClaims() || hold < minSealHold || age < delay || age > sealWindow {
		return
	}
	g.writeSeal(ctx, view.Era(), mtseal.Seal{Hold: min(hold, mtseal.MaxHold), By: g.Self})
}

// writeSeal writes the seal of an era, unless there is one.
func (g *Grants) writeSeal(ctx context.Context, era mtid.Era, seal mtseal.Seal) {
	value, err := seal.Encode()
	if err != nil {
		g.Log.Error("can't encode a seal", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	sent := g.Clock.Now()
	version, err := g.Store.SwapIf(ctx, nil, mtstore.SealName(era, g.Service), 0, value, "")
	if err != nil || version.Era() != era { // under a name that counts no more, if a later era has begun
		g.Log.Info("era not sealed", "service", g.Service, "era", era, "in", version.Era(), "error", err)
		return
	}
	g.Directory.Sealed(g.Service, seal, version, sent)
}

// sealTimeout bounds the write of a seal.
const sealTimeout = time.Second

// sealHold returns how long it takes until the first fallow keys may be given to a server, and whether
// some wait since before the era began.
func (g *Grants) sealHold(view *mtdirectory.View, a mtdirectory.Assignment, now mtclock.Instant) (hold time.Duration, early bool) {
	fallow := g.fallowRanges(view, a)
	if len(fallow) == 0 || a.Table == nil && !g.firstMayBeLost(view) {
		return 0, false
	}
	hold = g.grantsExpireAfter()
	for _, r := range fallow {
		hold = min(hold, g.fallowLeft(view, now, r.Low, r.High))
		early = early || view.Unowned[g.Service].Since(view.EraSince, r.Low, r.High) < view.EraSince
	}
	return hold, early
}

// fallowRanges returns the ranges of an assignment that are fallow in a view, or one of all keys if
// there is no assignment.
func (g *Grants) fallowRanges(view *mtdirectory.View, a mtdirectory.Assignment) []mtrange.Range {
	base, _ := a.Basis(view.Era())
	if base == nil {
		return []mtrange.Range{{High: mtid.LastKeyNumber}}
	}
	return slices.DeleteFunc(slices.Clone(base.Ranges), func(r mtrange.Range) bool { return !base.Fallow(r) })
}

// unsettledClaims reports whether this daemon has claims that are not settled.
func (g *Grants) unsettledClaims() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.claims) > 0
}
