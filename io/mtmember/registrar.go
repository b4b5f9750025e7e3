package mtmember

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mttakeover"
	"magnoliaturn/core/mtwitness"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// proposalTimeout is how long the witnesses of a proposed set have to promise.
	proposalTimeout = 2 * mtlease.Period
	// suspectExpiry is how long a witness that did not promise in time is left out
	// of proposals.
	suspectExpiry = 10 * time.Second
	// minPairInterval is the minimum time between two searches for a mutual
	// witness.
	minPairInterval = 5 * time.Second
	// fenceTimeout is how long a process tries to reach a majority of its previous
	// incarnation's witnesses before it registers without them. Its own start
	// proves that the previous incarnation has stopped, by the same property of
	// the platform that lets a witness answer for its predecessor. The witnesses
	// are asked first in case two processes run under one name by mistake.
	// Without the timeout, a daemon whose witnesses never return could never
	// register again.
	fenceTimeout = 10 * time.Second
)

// registrar maintains this daemon's record in the store: its registration,
// witnesses, offers and state.
type registrar struct {
	*Member
	machine       *mtmember.Member
	holder        mtid.Holder
	backoff       time.Duration
	fence         *mttakeover.Takeover
	fenceDeadline mtclock.Instant // when waiting for the witnesses ends
	// proposed is the record that is written once its witnesses have promised.
	proposed    *mtroster.Record
	proposedAt  mtclock.Instant
	setVersion  mtid.Version // of the witness set that the lease uses
	suspects    map[mtid.Holder]mtclock.Instant
	nextPairing mtclock.Instant // when to search for a mutual witness again
	lastCall    mtclock.Instant // when the last store call was sent
	confirmed   bool            // that call returned or accepted this daemon's record
}

func newRegistrar(m *Member) *registrar {
	return &registrar{
		Member:   m,
		machine:  mtmember.New(m.config.Profile, uint64(m.config.Clock.Wall().UnixNano())),
		backoff:  minBackoff,
		suspects: make(map[mtid.Holder]mtclock.Instant),
	}
}

// run executes steps until the member stops.
func (k *registrar) run() {
	for {
		wait := k.step()
		k.syncLease()
		k.confirm()
		if !k.sleep(wait) {
			return
		}
	}
}

// step executes one step and returns how long to wait before the next.
func (k *registrar) step() time.Duration {
	offers, state := k.desired()
	k.machine.PrepareRegistration(offers, state)
	next := k.machine.Next()
	switch next.Kind {
	case mtmember.Read:
		return k.read()
	case mtmember.Fence:
		return k.fencePrevious(next)
	case mtmember.Write:
		return k.write(next)
	}
	if _, version, ok := k.config.View.Record(k.config.Profile.Daemon); ok {
		k.machine.ObserveVersion(version)
	}
	k.updateRecord(offers, state)
	return recordInterval
}

func (k *registrar) name() string { return mtstore.RosterName(k.config.Profile.Daemon) }

// nextBackoff returns a delay that doubles with each consecutive failure.
func (k *registrar) nextBackoff() time.Duration {
	pause := k.backoff
	k.backoff = min(2*k.backoff, maxBackoff)
	return pause
}

func (k *registrar) read() time.Duration {
	k.lastCall = k.config.Clock.Now()
	entry, err := k.store.get(k.ctx, k.name())
	if isNotFound(err) {
		k.machine.ObserveMissing()
		return 0
	}
	if err != nil {
		return k.nextBackoff()
	}
	return k.observe(entry)
}

func (k *registrar) observe(entry mtstore.Entry) time.Duration {
	record, err := mtroster.Decode(entry.Value)
	if err != nil {
		k.config.Log.Error("member: failed to decode own record", "err", err)
		return k.nextBackoff()
	}
	k.backoff = minBackoff
	k.machine.Observe(record, entry.Version)
	k.confirmed = true
	k.reportEntry(entry.Name, entry.Version, entry.Value)
	return 0
}

func (k *registrar) write(next mtmember.Step) time.Duration {
	value, err := next.Record.Encode()
	if err != nil {
		k.config.Log.Error("member: failed to encode own record", "err", err)
		return k.nextBackoff()
	}
	if next.Record.State == mtroster.Gone {
		k.config.Lease.Close()
	}
	k.config.Lease.Attempt()
	k.lastCall = k.config.Clock.Now()
	version, err := k.store.swap(k.ctx, k.name(), next.Expected, value)
	switch outcomeOf(err) {
	case succeeded:
		k.backoff = minBackoff
		k.machine.WriteSucceeded(version)
		k.confirmed = true
		k.reportEntry(k.name(), version, value)
		return 0
	case conflicted:
		return k.observe(conflictingEntry(err))
	case notApplied:
		k.machine.WriteRejected()
	default:
		k.machine.WriteUnknown()
	}
	return k.nextBackoff()
}

// fencePrevious asks the witnesses of the previous incarnation to revoke it.
func (k *registrar) fencePrevious(next mtmember.Step) time.Duration {
	now := k.config.Clock.Steady()
	if k.fence == nil || k.fence.Version() != next.Expected {
		k.fence = mttakeover.New(next.Record, next.Expected)
		k.fenceDeadline = now.Add(fenceTimeout)
	}
	step := k.fence.Next(now)
	switch step.Kind {
	case mttakeover.Ask:
		if k.revokeAll(k.fence, step.Witnesses) {
			// A promise to the previous incarnation is still valid: wait until it
			// expires.
			k.fenceDeadline = max(k.fenceDeadline, now.Add(fenceTimeout/2))
		}
		return 0
	case mttakeover.Write, mttakeover.Done:
		k.machine.MarkFenced(next.Expected)
		return 0
	}
	if now.After(k.fenceDeadline) {
		k.config.Log.Warn("member: registering without the witnesses of the previous incarnation", "former", next.Record.Holder)
		k.machine.MarkFenced(next.Expected)
		return 0
	}
	return min(step.Wait, recordInterval)
}

// syncLease updates the lease to the known state of the record.
func (k *registrar) syncLease() {
	holder := k.machine.Holder()
	if holder != k.holder {
		k.setHolder(holder)
		return
	}
	if holder.IsZero() || k.machine.WritePending() {
		return
	}
	record, version := k.machine.Record()
	if version != k.setVersion {
		k.setVersion, k.proposed = version, nil
		k.counters.SetChanges.Add(1)
		k.config.Lease.Settle(mtlease.Set{Version: version, Witnesses: record.Witnesses})
	}
}

// confirm lets this daemon continue to make promises as a witness once the store
// has confirmed its incarnation. A valid lease confirms it as well, so an idle
// daemon makes no store calls; without one, the record is read repeatedly.
func (k *registrar) confirm() {
	if k.holder.IsZero() {
		return
	}
	if k.confirmed {
		k.confirmed = false
		k.config.Lease.Confirm(k.lastCall)
	}
	if k.config.Lease.ConfirmedUntil().Sub(k.config.Clock.Now()) < mtlease.ConfirmationTTL/2 && !k.machine.WritePending() {
		_, version := k.machine.Record()
		k.machine.ObserveVersion(version + 1)
	}
}

// setHolder starts or ends an incarnation.
func (k *registrar) setHolder(holder mtid.Holder) {
	previous := k.holder
	k.holder, k.proposed = holder, nil
	if holder.IsZero() {
		k.config.Log.Warn("member: incarnation was revoked, registering again", "holder", previous)
		k.config.Lease.Close()
		k.Member.holder.Store(&holder)
		return
	}
	record, version := k.machine.Record()
	k.setVersion = version
	k.counters.Registrations.Add(1)
	k.config.Lease.Register(holder, mtlease.Set{Version: version, Witnesses: record.Witnesses})
	k.Member.holder.Store(&holder)
	k.config.Log.Info("member: registered", "holder", holder)
	// This registration fences the previous incarnation, and no claimant has been
	// notified of that.
	k.fenced.Store(holder.Daemon, record)
	k.queueFailover()
	if k.config.Registered != nil {
		k.config.Registered(holder)
	}
}

// updateRecord proposes a record with the desired contents, and has it written
// once its witnesses have promised.
func (k *registrar) updateRecord(offers []mtroster.Offer, state mtroster.State) {
	now := k.config.Clock.Steady()
	if k.proposed == nil {
		k.propose(now, offers, state)
		return
	}
	current, _ := k.machine.Record()
	sameSet := slices.Equal(k.proposed.Witnesses, current.Witnesses)
	late := now.Sub(k.proposedAt) > proposalTimeout
	_, unpromised := k.config.Lease.Defects()
	urgent := !k.config.Clock.Now().Before(k.config.Lease.Until())
	switch {
	case k.config.Lease.Ready() && (urgent || len(unpromised) == 0), sameSet && late:
		// Without a lease, a majority is enough. With one, it is better to wait
		// for all: replacing a witness that did not answer takes another write.
		//
		// Offers and state must be published even while there is no majority.
		// That is safe, but may interrupt serving: both sets count until the
		// outcome of the write is known.
		k.machine.Change(k.proposed)
	case late:
		k.suspect(now, unpromised)
		k.proposed = nil
		k.config.Lease.Withdraw()
	}
}

// propose starts to request promises from the witnesses of the desired record, if
// it differs from the stored one.
func (k *registrar) propose(now mtclock.Instant, offers []mtroster.Offer, state mtroster.State) {
	current, version := k.machine.Record()
	next := *current
	next.Offers, next.State = offers, state
	defects, _ := k.config.Lease.Defects()
	next.Witnesses = k.chooseWitnesses(now, current, defects)
	changed := defects.Revoked || !slices.Equal(next.Offers, current.Offers) || next.State != current.State ||
		!slices.Equal(next.Witnesses, current.Witnesses)
	if !changed {
		return
	}
	if k.config.Lease.Propose(mtlease.Set{Version: version + 1, Witnesses: next.Witnesses}) {
		k.proposed, k.proposedAt = &next, now
	}
}

// suspect excludes witnesses that made no promise from the next proposals.
func (k *registrar) suspect(now mtclock.Instant, unpromised []mtid.Holder) {
	for _, w := range unpromised {
		k.suspects[w] = now.Add(suspectExpiry)
	}
}

// chooseWitnesses returns the witnesses that the record should name: the current
// ones that are usable, and replacements for the others.
func (k *registrar) chooseWitnesses(now mtclock.Instant, current *mtroster.Record, defects mtlease.Defects) []mtid.Holder {
	if len(defects.Lost) == 0 && now.Before(k.nextPairing) && k.hasLiveWitnesses(current) {
		return current.Witnesses
	}
	for _, w := range defects.Lost {
		k.suspects[w] = now.Add(suspectExpiry)
	}
	for w, until := range k.suspects {
		if now.After(until) {
			delete(k.suspects, w)
		}
	}
	self, peers := k.candidates()
	keep := slices.DeleteFunc(slices.Clone(current.Witnesses), func(w mtid.Holder) bool {
		return !slices.ContainsFunc(peers, func(c mtwitness.Candidate) bool { return c.Holder == w })
	})
	if len(peers) == 0 {
		return current.Witnesses
	}
	if len(keep) == mtwitness.SetSize {
		return k.pair(now, self, peers, current.Witnesses)
	}
	chosen := mtwitness.Choose(self, peers, keep)
	if len(chosen) == len(current.Witnesses) && len(keep) == len(chosen) {
		return current.Witnesses
	}
	return chosen
}

// hasLiveWitnesses reports whether the record names a full set of live witnesses.
// With this check an idle daemon does not scan the whole roster at each interval.
func (k *registrar) hasLiveWitnesses(current *mtroster.Record) bool {
	for _, w := range current.Witnesses {
		record, _, ok := k.config.View.Record(w.Daemon)
		if !ok || record.Holder != w || !record.MayHoldLease() {
			return false
		}
	}
	return len(current.Witnesses) == mtwitness.SetSize
}

// pair returns the set with one witness replaced by a mutual one, if there is any.
// The interval is random, so that two daemons that missed each other do not search
// at the same time again.
func (k *registrar) pair(now mtclock.Instant, self mtwitness.Candidate, peers []mtwitness.Candidate, set []mtid.Holder) []mtid.Holder {
	if now.Before(k.nextPairing) {
		return set
	}
	first := k.nextPairing == 0
	k.nextPairing = now.Add(minPairInterval + rand.N(2*minPairInterval))
	if first {
		return set
	}
	return mtwitness.Pair(self, peers, set)
}

// candidates returns this daemon and its live peers, excluding suspects.
func (k *registrar) candidates() (mtwitness.Candidate, []mtwitness.Candidate) {
	profile := k.config.Profile
	self := mtwitness.Candidate{Holder: k.holder, Zone: profile.Zone, Region: profile.Region}
	roster := k.config.View.Roster()
	load := make(map[mtid.Holder]int)
	sameZone := make(map[mtid.Holder]*mtroster.Record) // of this daemon's zone
	for _, r := range roster {
		if r.Zone == profile.Zone && r.MayHoldLease() {
			sameZone[r.Holder] = r
		}
		if r.Zone != profile.Zone || !r.MayHoldLease() || r.Holder.Daemon == profile.Daemon {
			continue
		}
		for _, w := range r.Witnesses {
			load[w]++
		}
	}
	var peers []mtwitness.Candidate
	for _, r := range roster {
		_, suspect := k.suspects[r.Holder]
		if suspect || !r.MayHoldLease() || r.Holder.Daemon == profile.Daemon {
			continue
		}
		peers = append(peers, mtwitness.Candidate{
			Holder:   r.Holder,
			Zone:     r.Zone,
			Region:   r.Region,
			Load:     load[r.Holder],
			Mutual:   slices.Contains(r.Witnesses, k.holder),
			Unpaired: isUnpaired(r, sameZone),
		})
	}
	return self, peers
}

// isUnpaired reports whether record names a witness among sameZone that does not
// name record's daemon in turn.
func isUnpaired(record *mtroster.Record, sameZone map[mtid.Holder]*mtroster.Record) bool {
	return slices.ContainsFunc(record.Witnesses, func(w mtid.Holder) bool {
		other, ok := sameZone[w]
		return ok && !slices.Contains(other.Witnesses, record.Holder)
	})
}
