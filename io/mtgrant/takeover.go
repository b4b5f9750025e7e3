package mtgrant

import (
	"context"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
)

const (
	// takeoverPeriod is the interval of the loop that checks for lost owners.
	takeoverPeriod = 200 * time.Millisecond
	// storeSettleTime is how long the store has to be without an outage before a
	// missing record counts: records that expired while the store was unavailable are back
	// within two seconds of its return.
	storeSettleTime = 2500 * time.Millisecond
	// firstAssignmentDelay is how long the first assignment waits for further servers after
	// the last one appeared. Daemons that are started together come up within a second.
	firstAssignmentDelay = 1200 * time.Millisecond
	// maxFirstAssignmentDelay is the same, counted from when the first server appeared: they may come and
	// go all the time.
	maxFirstAssignmentDelay = 4 * time.Second
	// rankDelay is the additional delay of each daemon after the one before it in rank, so
	// that usually one daemon writes and the others see its write.
	rankDelay = 300 * time.Millisecond
)

// assignKeys writes the first assignment, and later reassigns the keys of lost servers.
func (g *Grants) assignKeys(ctx context.Context) {
	if !g.Keyed() {
		return
	}
	view := g.Directory.View()
	steadySince, ok := g.Directory.StoreSteadySince()
	if view.Revision == 0 || !ok {
		g.reportUnowned(g.unreadable(view))
		return
	}
	now := g.Clock.Steady()
	assignment, assigned := view.Assignments[g.Service]
	if assigned && g.complete(view, assignment) {
		g.lostSince = nil
		g.reportUnowned(nil)
		return
	}
	survivors := g.survivors(view)
	g.reportUnowned(g.unownedKeys(view, assignment, now, steadySince, len(survivors)))
	rank := slices.IndexFunc(survivors, func(o mtrange.Owner) bool { return o.Daemon == g.Self })
	if rank < 0 {
		return
	}
	delay := time.Duration(rank) * rankDelay
	g.sealEra(ctx, view, assignment, now, delay)
	if !assigned {
		g.writeFirst(ctx, view, now, survivors, delay)
		return
	}
	lost := g.dueLosses(now, g.lostAndFallow(view, assignment, now, steadySince), delay)
	for chunk := range slices.Chunk(lost, ownersPerWrite) {
		if !g.takeOver(ctx, g.Directory.View(), chunk, survivors) {
			return // the remaining owners are handled in the next run
		}
	}
}

// lostAndFallow returns the owners whose keys may be given to others, with fallow among them if fallow ranges may.
func (g *Grants) lostAndFallow(view *mtdirectory.View, a mtdirectory.Assignment, now, steadySince mtclock.Instant) []mtrange.Owner {
	var lost []mtrange.Owner
	if !g.allRecordsValid(view, a) {
		lost = g.lostOwners(view, now, steadySince)
	}
	if g.fallowDue(view, a, now) {
		lost = append(lost, fallow)
	}
	return lost
}

// ownersPerWrite is how many lost owners a takeover covers: each is two conditions of the write.
const ownersPerWrite = mtstore.MaxConditions / 2

// fallow stands for the owners of fallow ranges among lost ones: the newest changes of owners were
// lost with an era of the store, so it is not known who they were.
var fallow = mtrange.Owner{}

// fallowDue reports whether some fallow ranges of an assignment may be given to servers.
func (g *Grants) fallowDue(view *mtdirectory.View, a mtdirectory.Assignment, now mtclock.Instant) bool {
	return slices.ContainsFunc(g.fallowRanges(view, a), func(r mtrange.Range) bool { return g.fallowLeft(view, now, r.Low, r.High) <= 0 })
}

// survivors returns the servers of the service that can be given keys, in the same order on
// all daemons.
func (g *Grants) survivors(view *mtdirectory.View) []mtrange.Owner {
	var out []mtrange.Owner
	for _, m := range view.Serving(g.Service) {
		out = append(out, m.Owner())
	}
	slices.SortFunc(out, mtrange.Owner.Compare)
	return out
}

// writeFirst writes the first assignment once no further servers appear.
//
// Where the store has come back from an older copy, or may have, an assignment may have been
// written and lost. Then nobody is granted keys before the grants by it must have expired.
func (g *Grants) writeFirst(ctx context.Context, view *mtdirectory.View, now mtclock.Instant, survivors []mtrange.Owner, delay time.Duration) {
	var unsealed []mtstore.Condition
	if g.firstMayBeLost(view) {
		if g.fallowLeft(view, now, 0, mtid.LastKeyNumber) > 0 {
			return
		}
		unsealed = append(unsealed, g.sealed(view))
	}
	g.mu.Lock()
	if len(survivors) != g.survivorCount {
		g.survivorCount, g.survivorCountSince = len(survivors), now
	}
	if g.firstSurvivorSince == 0 {
		g.firstSurvivorSince = now
	}
	settled := now.Sub(g.survivorCountSince) >= firstAssignmentDelay+delay || now.Sub(g.firstSurvivorSince) >= maxFirstAssignmentDelay+delay
	g.mu.Unlock()
	if !settled {
		return
	}
	table, err := mtrange.Spread(g.Service, view.Era(), survivors)
	if err != nil {
		g.Log.Warn("can't create the first assignment", "service", g.Service, "error", err)
		return
	}
	g.Committer.Write(ctx, unsealed, table, 0, "first assignment")
}

// firstMayBeLost reports whether an assignment may have been written and lost by the store.
func (g *Grants) firstMayBeLost(view *mtdirectory.View) bool {
	return !g.Bootstrap || view.FormerRevision != 0
}

// dueLosses returns the lost owners that have been lost for at least the delay that this
// daemon's rank requires. All daemons see a loss at the same time. Without the delay all of
// them would write: 39 writes had 38 conflicts.
func (g *Grants) dueLosses(now mtclock.Instant, lost []mtrange.Owner, delay time.Duration) []mtrange.Owner {
	lostSince := make(map[mtrange.Owner]mtclock.Instant, len(lost))
	var due []mtrange.Owner
	for _, owner := range lost {
		since, known := g.lostSince[owner]
		if !known {
			since = now
		}
		lostSince[owner] = since
		if now.Sub(since) >= delay {
			due = append(due, owner)
		}
	}
	g.lostSince = lostSince
	return due
}

// allRecordsValid reports whether every owner has a record that still allows it to hold
// keys. The result is cached until a record or the table changes, which is far less often
// than the takeover loop runs.
func (g *Grants) allRecordsValid(view *mtdirectory.View, a mtdirectory.Assignment) bool {
	sameOwners := g.ownersTable == a.Table && g.ownersEra == view.Era()
	if sameOwners && g.recordsVersion == view.MembershipVersion {
		return g.recordsValid
	}
	if !sameOwners {
		base, _ := a.Basis(view.Era())
		g.ownersTable, g.ownersEra, g.owners = a.Table, view.Era(), base.Owners()
	}
	g.recordsVersion, g.recordsValid = view.MembershipVersion, true
	for _, owner := range g.owners {
		m, known := view.Members[owner.Daemon]
		g.recordsValid = g.recordsValid && known && !m.Expired && m.MayHoldKeys(owner.Incarnation)
	}
	return g.recordsValid
}

// lostOwners returns the owners whose keys may be given to others.
func (g *Grants) lostOwners(view *mtdirectory.View, now, steadySince mtclock.Instant) []mtrange.Owner {
	var lost []mtrange.Owner
	for _, owner := range g.owners {
		if m, known := view.Members[owner.Daemon]; known && !m.Expired && !view.InvalidRecords[owner.Daemon] {
			if !m.MayHoldKeys(owner.Incarnation) {
				lost = append(lost, owner)
			}
			continue
		}
		if _, _, waiting := g.ownerWait(view, now, steadySince, owner); !waiting {
			lost = append(lost, owner)
		}
	}
	return lost
}

// grantsExpireAfter returns how long a record has to be missing until no grant of its
// daemon can be in effect. A daemon sends grants for up to a lease after its last renewal.
// Others don't know when that renewal was; they only see when the record is removed. A
// record that expires with its lease is removed a lease after the renewal, but one that was
// deleted earlier is not: without the lease in the sum, two servers held keys for up to a
// lease. The lease lengthens the takeover of every server that is really lost, which is why
// leases are short.
func (g *Grants) grantsExpireAfter() time.Duration {
	return g.Directory.Lease + g.maxGrantDuration() + takeoverMargin
}

// takeOver writes new owners for the keys of the lost ones, on condition that their daemons' records
// and registrations have not changed since the decision: a daemon that has become available again in
// the meantime has written both before granting anything. It reports whether the keys have new
// owners.
//
// A write whose answer is lost may be executed seconds later. By then, an absent record may have been
// present and be absent again, while the grants of that time are in effect. The registration shows
// that, since it doesn't expire with the record.
func (g *Grants) takeOver(ctx context.Context, view *mtdirectory.View, lost, survivors []mtrange.Owner) bool {
	a := view.Assignments[g.Service]
	base, expected := a.Basis(view.Era())
	now := g.Clock.Steady()
	conditions := stillLost(view, lost)
	if slices.Contains(lost, fallow) {
		conditions = append(conditions, g.sealed(view))
	}
	isLost := func(r mtrange.Range) bool {
		if base.Fallow(r) {
			return slices.Contains(lost, fallow) && g.fallowLeft(view, now, r.Low, r.High) <= 0
		}
		return slices.Contains(lost, r.Owner)
	}
	next, err := base.TakeOver(isLost, survivors)
	if err == nil {
		if answering := g.answeringSurvivors(ctx, base, next, survivors); len(answering) < len(survivors) {
			next, err = base.TakeOver(isLost, answering)
		}
	}
	if err != nil {
		g.Log.Warn("can't reassign the keys of lost servers", "service", g.Service, "lost", len(lost), "error", err)
		return false
	}
	for _, owner := range lost {
		absent := time.Duration(0)
		stranger, unregistered := view.Strangers[owner.Daemon]
		if m := view.Members[owner.Daemon]; unregistered {
			absent = now.Sub(stranger.Since)
		} else if m.Expired {
			absent = now.Sub(m.ExpiredSince)
		}
		g.Log.Warn("taking over keys of a lost server", "owner", owner.Daemon, "server", owner.Incarnation.String(), "keys", a.Keys(owner), "fallow", owner == fallow,
			"registered", view.Registrations[owner.Daemon].Number(), "stranger", unregistered, "absent", absent, "survivors", len(survivors))
	}
	if next.Next == base.Next {
		return true // all ranges of the lost owners are fallow
	}
	return g.Committer.Write(ctx, conditions, next, expected, "takeover") == mtrange.Written
}

// stillLost returns the conditions that hold as long as nothing about the lost owners has changed. In place of a record
// may stand what another writer left (View.Strangers): no daemon has granted anything under the name since.
func stillLost(view *mtdirectory.View, lost []mtrange.Owner) []mtstore.Condition {
	var conditions []mtstore.Condition
	add := func(c mtstore.Condition) {
		if !slices.Contains(conditions, c) {
			conditions = append(conditions, c)
		}
	}
	for _, owner := range lost {
		if owner == fallow {
			continue
		}
		record := mtstore.Condition{Name: mtstore.BackendName(view.Era(), owner.Daemon)}
		if m, ok := view.Members[owner.Daemon]; ok && !m.Expired {
			record.Version = m.Version
		} else if stranger, ok := view.Strangers[owner.Daemon]; ok {
			record.Version = stranger.Version
		}
		add(record)
		add(mtstore.Condition{Name: mtstore.RegistrationName(view.Era(), owner.Daemon), Version: view.Registrations[owner.Daemon]})
	}
	return conditions
}
