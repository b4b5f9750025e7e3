package mtgrant

import (
	"maps"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/io/mtdirectory"
)

// Reason is why keys are granted to nobody yet, as logs and metrics name it.
type Reason string

// Reasons why keys of the service have no new owner yet.
const (
	ReasonUnread    Reason = "unread"    // the assignment has not been read from the store
	ReasonStoreDown Reason = "store"     // the store does not respond
	ReasonEra       Reason = "era"       // grants of an earlier era of the store may be in force
	ReasonRecord    Reason = "record"    // grants of a daemon whose record is absent may be in force
	ReasonUnsettled Reason = "unsettled" // records may return, since the store had an outage
	ReasonForeign   Reason = "foreign"   // another writer's entry stands in place of the owner's record
	ReasonNobody    Reason = "nobody"    // no server accepts work
	ReasonSpread    Reason = "spread"    // further servers may appear before the first assignment
	ReasonTurn      Reason = "turn"      // other daemons take the keys over first
)

// Reasons why keys of this daemon's server are not granted to it.
const (
	ReasonUncertain   Reason = "uncertain"   // this daemon's record is not certain to exist
	ReasonCopy        Reason = "copy"        // the copy of the assignment is older than the record
	ReasonUnconfirmed Reason = "unconfirmed" // another incarnation of the server may answer
	ReasonLeaving     Reason = "leaving"     // the server is leaving
	ReasonFormer      Reason = "former"      // the epoch is of an earlier era of the store
	ReasonUnanswered  Reason = "unanswered"  // the server has answered no command yet
)

// Wait sums up the keys that wait for one reason.
type Wait struct {
	Keys int           `json:"keys"`
	Left time.Duration `json:"left"` // the longest time until the reason ends by itself; zero if unknown
}

// Waits sums up the keys that nobody may serve, by reason.
type Waits map[Reason]Wait

// add adds keys that wait for a reason.
func (w Waits) add(reason Reason, keys int, left time.Duration) {
	sum := w[reason]
	w[reason] = Wait{Keys: sum.Keys + keys, Left: max(sum.Left, left)}
}

// same reports whether as many keys wait for the same reasons.
func (w Waits) same(other Waits) bool {
	return maps.EqualFunc(w, other, func(a, b Wait) bool { return a.Keys == b.Keys })
}

// Waiting returns which keys of the service have no owner, and which keys of this daemon's server
// are not granted to it, when that was last checked. The result must not be changed.
func (g *Grants) Waiting() (unowned, ungranted Waits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unowned, g.ungranted
}

// reportUnowned records which keys have no owner, and logs each change.
func (g *Grants) reportUnowned(waits Waits) {
	g.mu.Lock()
	changed := !waits.same(g.unowned)
	g.unowned = waits
	g.mu.Unlock()
	if changed {
		g.Log.Info("keys that have no owner", "service", g.Service, "waiting", waits)
	}
}

// reportUngranted records which keys of the server are not granted, and logs each change.
func (g *Grants) reportUngranted(record mtbackend.Record) {
	waits := g.ungrantedKeys(g.Clock.Now(), record)
	g.mu.Lock()
	changed := !waits.same(g.ungranted)
	g.ungranted = waits
	g.mu.Unlock()
	if changed {
		g.Log.Info("keys that are not granted", "server", record.Incarnation.String(), "waiting", waits)
	}
}

// ungrantedKeys returns which keys of the server are not granted.
func (g *Grants) ungrantedKeys(now mtclock.Instant, record mtbackend.Record) Waits {
	former, present := g.countUngranted(now)
	waits := Waits{}
	if former > 0 {
		waits.add(ReasonFormer, former, 0)
	}
	if present > 0 {
		waits.add(g.holdsBack(now, record), present, 0)
	}
	return waits
}

// countUngranted counts the keys of the server that are not granted: those under an epoch of a former
// era of the store, and the others.
func (g *Grants) countUngranted(now mtclock.Instant) (former, present int) {
	era := g.Directory.View().Era()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, held := range g.grants {
		switch {
		case held.moving, held.grantedAt != 0 && now.Before(held.grantedAt.Add(g.GrantDuration)):
		case held.Epoch.Era() != era:
			former += held.Keys()
		default:
			present += held.Keys()
		}
	}
	return former, present
}

// holdsBack returns why nothing is granted to the server, or ReasonUnanswered if commands are sent.
func (g *Grants) holdsBack(now mtclock.Instant, record mtbackend.Record) Reason {
	switch {
	case g.Directory.RecordValidUntil().Sub(now) <= commandTimeout:
		return ReasonUncertain
	case !g.Directory.Current():
		return ReasonCopy
	case record.State == mtbackend.Draining:
		return ReasonLeaving
	case !g.Host.ConnectedTo(record.Incarnation):
		return ReasonUnconfirmed
	}
	return ReasonUnanswered
}

// ownerWait returns why the keys of an owner may not be given to others yet, and for how long if that is
// known. It returns false if they may, or if the owner is present.
func (g *Grants) ownerWait(view *mtdirectory.View, now, steadySince mtclock.Instant, owner mtrange.Owner) (Reason, time.Duration, bool) {
	m, known := view.Members[owner.Daemon]
	stranger, unregistered := view.Strangers[owner.Daemon]
	absent := m.ExpiredSince
	switch {
	case view.InvalidRecords[owner.Daemon] && !unregistered:
		// Another writer overwrote the record. Its daemon may be alive and its server may hold keys.
		return ReasonForeign, 0, true
	case known && !m.Expired:
		return "", 0, false
	case now.Sub(steadySince) < storeSettleTime:
		// The record may return shortly.
		return ReasonUnsettled, storeSettleTime - now.Sub(steadySince), true
	case unregistered:
		absent = stranger.Since
	case !known:
		// This daemon has never seen the record, nor a registration that shows whether it has been
		// back. The time counts from when the store began to be watched without a gap.
		since, up := g.Directory.StoreUpSince()
		if !up {
			return ReasonStoreDown, 0, true
		}
		absent = since
	}
	left := g.grantsExpireAfter() - now.Sub(absent)
	return ReasonRecord, left, left > 0
}

// complete reports whether all keys of an assignment have an owner.
func (g *Grants) complete(view *mtdirectory.View, a mtdirectory.Assignment) bool {
	return a.Era() == view.Era() && !a.HasFallow() && g.allRecordsValid(view, a)
}

// unownedKeys returns which keys have no owner, with a number of servers that can be given some.
func (g *Grants) unownedKeys(view *mtdirectory.View, a mtdirectory.Assignment, now, steadySince mtclock.Instant, survivors int) Waits {
	eraLeft := g.fallowLeft(view, now, 0, mtid.LastKeyNumber)
	switch {
	case survivors == 0:
		return Waits{ReasonNobody: {Keys: allKeys}}
	case a.Table == nil && g.firstMayBeLost(view) && eraLeft > 0:
		return Waits{ReasonEra: {Keys: allKeys, Left: eraLeft}}
	case a.Table == nil:
		return Waits{ReasonSpread: {Keys: allKeys}}
	}
	waits := Waits{}
	base, _ := a.Basis(view.Era())
	for _, r := range base.Ranges {
		if reason, left, waiting := g.rangeWait(view, base, r, now, steadySince); waiting {
			waits.add(reason, r.Keys(), left)
		}
	}
	return waits
}

// rangeWait returns why a range has no owner and for how long if that is known, or false if it has one.
func (g *Grants) rangeWait(view *mtdirectory.View, t *mtrange.Table, r mtrange.Range, now, steadySince mtclock.Instant) (Reason, time.Duration, bool) {
	if t.Fallow(r) {
		if left := g.fallowLeft(view, now, r.Low, r.High); left > 0 {
			return ReasonEra, left, true
		}
		return ReasonTurn, 0, true
	}
	m, known := view.Members[r.Owner.Daemon]
	if known && !m.Expired && m.MayHoldKeys(r.Owner.Incarnation) {
		return "", 0, false
	}
	reason, left, waiting := g.ownerWait(view, now, steadySince, r.Owner)
	if !waiting {
		reason = ReasonTurn
	}
	return reason, left, true
}

// unreadable returns the keys that may have no owner while the store can't be read.
func (g *Grants) unreadable(view *mtdirectory.View) Waits {
	if a, ok := view.Assignments[g.Service]; ok && g.allRecordsValid(view, a) {
		return nil
	}
	if view.Revision == 0 {
		return Waits{ReasonUnread: {Keys: allKeys}}
	}
	return Waits{ReasonStoreDown: {Keys: allKeys}}
}

// allKeys are all keys of a service.
const allKeys = int(mtid.LastKeyNumber) + 1
