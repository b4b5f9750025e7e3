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
func (r *registrar) run() {
	for {
		wait := r.step()
		r.syncLease()
		r.confirm()
		if !r.sleep(wait) {
			return
		}
	}
}

// step executes one step and returns how long to wait before the next.
func (r *registrar) step() time.Duration {
	offers, state := r.desired()
	r.machine.PrepareRegistration(offers, state)
	next := r.machine.Next()
	switch next.Kind {
	case mtmember.Read:
		return r.read()
	case mtmember.Fence:
		return r.fencePrevious(next)
	case mtmember.Write:
		return r.write(next)
	}
	if _, version, ok := r.config.View.Record(r.config.Profile.Daemon); ok {
		r.machine.ObserveVersion(version)
	}
	r.updateRecord(offers, state)
	return recordInterval
}

func (r *registrar) name() string { return mtstore.RosterName(r.config.Profile.Daemon) }

// nextBackoff returns a delay that doubles with each consecutive failure.
func (r *registrar) nextBackoff() time.Duration {
	pause := r.backoff
	r.backoff = min(2*r.backoff, maxBackoff)
	return pause
}

func (r *registrar) read() time.Duration {
	r.lastCall = r.config.Clock.Now()
	entry, err := r.store.get(r.ctx, r.name())
	if isNotFound(err) {
		r.machine.ObserveMissing()
		return 0
	}
	if err != nil {
		return r.nextBackoff()
	}
	return r.observe(entry)
}

func (r *registrar) observe(entry mtstore.Entry) time.Duration {
	record, err := mtroster.Decode(entry.Value)
	if err != nil {
		r.config.Log.Error("member: failed to decode own record", "err", err)
		return r.nextBackoff()
	}
	r.backoff = minBackoff
	r.machine.Observe(record, entry.Version)
	r.confirmed = true
	r.reportEntry(entry.Name, entry.Version, entry.Value)
	return 0
}

func (r *registrar) write(next mtmember.Step) time.Duration {
	value, err := next.Record.Encode()
	if err != nil {
		r.config.Log.Error("member: failed to encode own record", "err", err)
		return r.nextBackoff()
	}
	if next.Record.State == mtroster.Gone {
		r.config.Lease.Close()
	}
	r.config.Lease.Attempt()
	r.lastCall = r.config.Clock.Now()
	version, err := r.store.swap(r.ctx, r.name(), next.Expected, value)
	switch outcomeOf(err) {
	case succeeded:
		r.backoff = minBackoff
		r.machine.WriteSucceeded(version)
		r.confirmed = true
		r.reportEntry(r.name(), version, value)
		return 0
	case conflicted:
		return r.observe(conflictingEntry(err))
	case notApplied:
		r.machine.WriteRejected()
	default:
		r.machine.WriteUnknown()
	}
	return r.nextBackoff()
}

// fencePrevious asks the witnesses of the previous incarnation to revoke it.
func (r *registrar) fencePrevious(next mtmember.Step) time.Duration {
	now := r.config.Clock.Steady()
	if r.fence == nil || r.fence.Version() != next.Expected {
		r.fence = mttakeover.New(next.Record, next.Expected)
		r.fenceDeadline = now.Add(fenceTimeout)
	}
	step := r.fence.Next(now)
	switch step.Kind {
	case mttakeover.Ask:
		if r.revokeAll(r.fence, step.Witnesses) {
			// A promise to the previous incarnation is still valid: wait until it
			// expires.
			r.fenceDeadline = max(r.fenceDeadline, now.Add(fenceTimeout/2))
		}
		return 0
	case mttakeover.Write, mttakeover.Done:
		r.machine.MarkFenced(next.Expected)
		return 0
	}
	if now.After(r.fenceDeadline) {
		r.config.Log.Warn("member: registering without the witnesses of the previous incarnation", "former", next.Record.Holder)
		r.machine.MarkFenced(next.Expected)
		return 0
	}
	return min(step.Wait, recordInterval)
}

// syncLease updates the lease to the known state of the record.
func (r *registrar) syncLease() {
	holder := r.machine.Holder()
	if holder != r.holder {
		r.setHolder(holder)
		return
	}
	if holder.IsZero() || r.machine.WritePending() {
		return
	}
	record, version := r.machine.Record()
	if version != r.setVersion {
		r.setVersion, r.proposed = version, nil
		r.counters.SetChanges.Add(1)
		r.config.Lease.Settle(mtlease.Set{Version: version, Witnesses: record.Witnesses})
	}
}

// confirm lets this daemon continue to make promises as a witness once the store
// has confirmed its incarnation. A valid lease confirms it as well, so an idle
// daemon makes no store calls; without one, the record is read repeatedly.
func (r *registrar) confirm() {
	if r.holder.IsZero() {
		return
	}
	if r.confirmed {
		r.confirmed = false
		r.config.Lease.Confirm(r.lastCall)
	}
	if r.config.Lease.ConfirmedUntil().Sub(r.config.Clock.Now()) < mtlease.ConfirmationTTL/2 && !r.machine.WritePending() {
		_, version := r.machine.Record()
		r.machine.ObserveVersion(version + 1)
	}
}

// setHolder starts or ends an incarnation.
func (r *registrar) setHolder(holder mtid.Holder) {
	previous := r.holder
	r.holder, r.proposed = holder, nil
	if holder.IsZero() {
		r.config.Log.Warn("member: incarnation was revoked, registering again", "holder", previous)
		r.config.Lease.Close()
		r.Member.holder.Store(&holder)
		return
	}
	record, version := r.machine.Record()
	r.setVersion = version
	r.counters.Registrations.Add(1)
	r.config.Lease.Register(holder, mtlease.Set{Version: version, Witnesses: record.Witnesses})
	r.Member.holder.Store(&holder)
	r.config.Log.Info("member: registered", "holder", holder)
	// This registration fences the previous incarnation, and no claimant has been
	// notified of that.
	r.fenced.Store(holder.Daemon, record)
	r.queueFailover()
	if r.config.Registered != nil {
		r.config.Registered(holder)
	}
}

// updateRecord proposes a record with the desired contents, and has it written
// once its witnesses have promised.
func (r *registrar) updateRecord(offers []mtroster.Offer, state mtroster.State) {
	now := r.config.Clock.Steady()
	if r.proposed == nil {
		r.propose(now, offers, state)
		return
	}
	current, _ := r.machine.Record()
	sameSet := slices.Equal(r.proposed.Witnesses, current.Witnesses)
	late := now.Sub(r.proposedAt) > proposalTimeout
	_, unpromised := r.config.Lease.Defects()
	urgent := !r.config.Clock.Now().Before(r.config.Lease.Until())
	switch {
	case r.config.Lease.Ready() && (urgent || len(unpromised) == 0), sameSet && late:
		// Without a lease, a majority is enough. With one, it is better to wait
		// for all: replacing a witness that did not answer takes another write.
		//
		// Offers and state must be published even while there is no majority.
		// That is safe, but may interrupt serving: both sets count until the
		// outcome of the write is known.
		r.machine.Change(r.proposed)
	case late:
		r.suspect(now, unpromised)
		r.proposed = nil
		r.config.Lease.Withdraw()
	}
}

// propose starts to request promises from the witnesses of the desired record, if
// it differs from the stored one.
func (r *registrar) propose(now mtclock.Instant, offers []mtroster.Offer, state mtroster.State) {
	current, version := r.machine.Record()
	next := *current
	next.Offers, next.State = offers, state
	defects, _ := r.config.Lease.Defects()
	next.Witnesses = r.chooseWitnesses(now, current, defects)
	changed := defects.Revoked || !slices.Equal(next.Offers, current.Offers) || next.State != current.State ||
		!slices.Equal(next.Witnesses, current.Witnesses)
	if !changed {
		return
	}
	if r.config.Lease.Propose(mtlease.Set{Version: version + 1, Witnesses: next.Witnesses}) {
		r.proposed, r.proposedAt = &next, now
	}
}

// suspect excludes witnesses that made no promise from the next proposals.
func (r *registrar) suspect(now mtclock.Instant, unpromised []mtid.Holder) {
	for _, w := range unpromised {
		r.suspects[w] = now.Add(suspectExpiry)
	}
}

// chooseWitnesses returns the witnesses that the record should name: the current
// ones that are usable, and replacements for the others.
func (r *registrar) chooseWitnesses(now mtclock.Instant, current *mtroster.Record, defects mtlease.Defects) []mtid.Holder {
	if len(defects.Lost) == 0 && now.Before(r.nextPairing) && r.hasLiveWitnesses(current) {
		return current.Witnesses
	}
	for _, w := range defects.Lost {
		r.suspects[w] = now.Add(suspectExpiry)
	}
	for w, until := range r.suspects {
		if now.After(until) {
			delete(r.suspects, w)
		}
	}
	self, peers := r.candidates()
	usable := slices.DeleteFunc(slices.Clone(current.Witnesses), func(w mtid.Holder) bool {
		return !slices.ContainsFunc(peers, func(c mtwitness.Candidate) bool { return c.Holder == w })
	})
	if len(peers) == 0 {
		return current.Witnesses
	}
	if len(usable) == mtwitness.SetSize {
		return r.pair(now, self, peers, current.Witnesses)
	}
	chosen := mtwitness.Choose(self, peers, usable)
	if len(chosen) == len(current.Witnesses) && len(usable) == len(chosen) {
		return current.Witnesses
	}
	return chosen
}

// hasLiveWitnesses reports whether the record names a full set of live witnesses.
// With this check an idle daemon does not scan the whole roster at each interval.
func (r *registrar) hasLiveWitnesses(current *mtroster.Record) bool {
	for _, w := range current.Witnesses {
		record, _, ok := r.config.View.Record(w.Daemon)
		if !ok || record.Holder != w || !record.MayHoldLease() {
			return false
		}
	}
	return len(current.Witnesses) == mtwitness.SetSize
}

// pair returns the set with one witness replaced by a mutual one, if there is any.
// The interval is random, so that two daemons that missed each other do not search
// at the same time again.
func (r *registrar) pair(now mtclock.Instant, self mtwitness.Candidate, peers []mtwitness.Candidate, set []mtid.Holder) []mtid.Holder {
	if now.Before(r.nextPairing) {
		return set
	}
	first := r.nextPairing == 0
	r.nextPairing = now.Add(minPairInterval + rand.N(2*minPairInterval))
	if first {
		return set
	}
	return mtwitness.Pair(self, peers, set)
}

// candidates returns this daemon and its live peers, excluding suspects.
func (r *registrar) candidates() (mtwitness.Candidate, []mtwitness.Candidate) {
	profile := r.config.Profile
	self := mtwitness.Candidate{Holder: r.holder, Zone: profile.Zone, Region: profile.Region}
	roster := r.config.View.Roster()
	load := make(map[mtid.Holder]int)
	sameZone := make(map[mtid.Holder]*mtroster.Record) // of this daemon's zone
	for _, record := range roster {
		if record.Zone == profile.Zone && record.MayHoldLease() {
			sameZone[record.Holder] = record
		}
		if record.Zone != profile.Zone || !record.MayHoldLease() || record.Holder.Daemon == profile.Daemon {
			continue
		}
		for _, w := range record.Witnesses {
			load[w]++
		}
	}
	var peers []mtwitness.Candidate
	for _, record := range roster {
		_, suspect := r.suspects[record.Holder]
		if suspect || !record.MayHoldLease() || record.Holder.Daemon == profile.Daemon {
			continue
		}
		peers = append(peers, mtwitness.Candidate{
			Holder:   record.Holder,
			Zone:     record.Zone,
			Region:   record.Region,
			Load:     load[record.Holder],
			Mutual:   slices.Contains(record.Witnesses, r.holder),
			Unpaired: isUnpaired(record, sameZone),
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
