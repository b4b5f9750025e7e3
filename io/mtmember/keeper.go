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
	shortestPause = 100 * time.Millisecond
	longestPause  = 5 * time.Second
	// proposalTime is how long the witnesses of a proposal have to promise.
	proposalTime = 2 * mtlease.Period
	// suspectTime is how long a witness that did not is left out.
	suspectTime = 10 * time.Second
	// pairTime is the shortest time between two looks for a mutual witness.
	pairTime = 5 * time.Second
	// successorWait is after how long a process that can't reach a majority of
	// its former life's witnesses registers without them. Its own start proves
	// that the former life has stopped, by the same property of the platform
	// that lets a witness answer for its predecessor; the witnesses are asked
	// first in case two processes run under one name by mistake. Without this
	// a daemon whose witnesses never return could never register again.
	successorWait = 10 * time.Second
)

// keeper is the duty that keeps the own record.
type keeper struct {
	*Member
	own      *mtmember.Member
	holder   mtid.Holder
	pause    time.Duration
	fence    *mttakeover.Takeover
	fenceEnd mtclock.Instant // when the witnesses are waited for no longer
	// proposed is the record that waits for promises before it is written.
	proposed   *mtroster.Record
	proposedAt mtclock.Instant
	standing   mtid.Version // of the set that the lease goes by
	suspects   map[mtid.Holder]mtclock.Instant
	pairAt     mtclock.Instant // when a mutual witness is looked for again
	called     mtclock.Instant // when the last call to the store was sent
	shown      bool            // it showed or took the own record
}

func newKeeper(m *Member) *keeper {
	return &keeper{
		Member:   m,
		own:      mtmember.New(m.config.Profile, uint64(m.config.Clock.Wall().UnixNano())),
		pause:    shortestPause,
		suspects: make(map[mtid.Holder]mtclock.Instant),
	}
}

// run takes steps until the member stops.
func (k *keeper) run() {
	for {
		wait := k.step()
		k.settle()
		k.vouch()
		if !k.sleep(wait) {
			return
		}
	}
}

// step takes one step and returns how long to wait before the next.
func (k *keeper) step() time.Duration {
	offers, state := k.desired()
	k.own.PrepareRegistration(offers, state)
	next := k.own.Next()
	switch next.Kind {
	case mtmember.Read:
		return k.read()
	case mtmember.Fence:
		return k.fenceFormer(next)
	case mtmember.Write:
		return k.write(next)
	}
	if _, version, ok := k.config.View.Record(k.config.Profile.Daemon); ok {
		k.own.ObserveVersion(version)
	}
	k.improve(offers, state)
	return keepTick
}

func (k *keeper) name() string { return mtstore.RosterName(k.config.Profile.Daemon) }

// backOff returns a pause that doubles with each failure in a row.
func (k *keeper) backOff() time.Duration {
	pause := k.pause
	k.pause = min(2*k.pause, longestPause)
	return pause
}

func (k *keeper) read() time.Duration {
	k.called = k.config.Clock.Now()
	entry, err := k.store.get(k.stop, k.name())
	if missing(err) {
		k.own.ObserveMissing()
		return 0
	}
	if err != nil {
		return k.backOff()
	}
	return k.seen(entry)
}

func (k *keeper) seen(entry mtstore.Entry) time.Duration {
	record, err := mtroster.Decode(entry.Value)
	if err != nil {
		k.config.Log.Error("member: own record can't be read", "err", err)
		return k.backOff()
	}
	k.pause = shortestPause
	k.own.Observe(record, entry.Version)
	k.shown = true
	k.wrote(entry.Name, entry.Version, entry.Value)
	return 0
}

func (k *keeper) write(next mtmember.Step) time.Duration {
	value, err := next.Record.Encode()
	if err != nil {
		k.config.Log.Error("member: own record can't be written", "err", err)
		return k.backOff()
	}
	if next.Record.State == mtroster.Gone {
		k.config.Lease.Close()
	}
	k.config.Lease.Attempt()
	k.called = k.config.Clock.Now()
	version, err := k.store.swap(k.stop, k.name(), next.Expected, value)
	switch outcomeOf(err) {
	case landed:
		k.pause = shortestPause
		k.own.WriteSucceeded(version)
		k.shown = true
		k.wrote(k.name(), version, value)
		return 0
	case lost:
		return k.seen(currentOf(err))
	case refused:
		k.own.WriteRejected()
	default:
		k.own.WriteUnknown()
	}
	return k.backOff()
}

// fenceFormer has the former life revoked by its witnesses.
func (k *keeper) fenceFormer(next mtmember.Step) time.Duration {
	now := k.config.Clock.Steady()
	if k.fence == nil || k.fence.Version() != next.Expected {
		k.fence = mttakeover.New(next.Record, next.Expected)
		k.fenceEnd = now.Add(successorWait)
	}
	step := k.fence.Next(now)
	switch step.Kind {
	case mttakeover.Ask:
		if k.askAll(k.fence, step.Witnesses) {
			// Some promise to the former life is alive: wait for it to lapse.
			k.fenceEnd = max(k.fenceEnd, now.Add(successorWait/2))
		}
		return 0
	case mttakeover.Write, mttakeover.Done:
		k.own.MarkFenced(next.Expected)
		return 0
	}
	if now.After(k.fenceEnd) {
		k.config.Log.Warn("member: registering without the former life's witnesses", "former", next.Record.Holder)
		k.own.MarkFenced(next.Expected)
		return 0
	}
	return min(step.Wait, keepTick)
}

// settle brings the lease in line with what is known of the record.
func (k *keeper) settle() {
	holder := k.own.Holder()
	if holder != k.holder {
		k.enter(holder)
		return
	}
	if holder.IsZero() || k.own.WritePending() {
		return
	}
	record, version := k.own.Record()
	if version != k.standing {
		k.standing, k.proposed = version, nil
		k.counters.SetChanges.Add(1)
		k.config.Lease.Settle(mtlease.Set{Version: version, Witnesses: record.Witnesses})
	}
}

// vouch lets this daemon go on promising to others after the store showed that
// its life stands. While it has no lease that would say the same, it reads its
// record time and again; at rest that costs nothing.
func (k *keeper) vouch() {
	if k.holder.IsZero() {
		return
	}
	if k.shown {
		k.shown = false
		k.config.Lease.Vouch(k.called)
	}
	if k.config.Lease.Vouched().Sub(k.config.Clock.Now()) < mtlease.ConfirmationTTL/2 && !k.own.WritePending() {
		_, version := k.own.Record()
		k.own.ObserveVersion(version + 1)
	}
}

// enter begins or ends a life.
func (k *keeper) enter(holder mtid.Holder) {
	former := k.holder
	k.holder, k.proposed = holder, nil
	if holder.IsZero() {
		k.config.Log.Warn("member: was taken over, registering again", "holder", former)
		k.config.Lease.Close()
		k.Member.holder.Store(&holder)
		return
	}
	record, version := k.own.Record()
	k.standing = version
	k.counters.Registrations.Add(1)
	k.config.Lease.Register(holder, mtlease.Set{Version: version, Witnesses: record.Witnesses})
	k.Member.holder.Store(&holder)
	k.config.Log.Info("member: registered", "holder", holder)
	// The former life is fenced by this registration, and no taker knows.
	k.fenced.Store(holder.Daemon, record)
	k.fail()
	if k.config.Registered != nil {
		k.config.Registered(holder)
	}
}

// improve proposes a record that says what it should, and has it written once
// its witnesses have promised.
func (k *keeper) improve(offers []mtroster.Offer, state mtroster.State) {
	now := k.config.Clock.Steady()
	if k.proposed == nil {
		k.propose(now, offers, state)
		return
	}
	current, _ := k.own.Record()
	sameSet := slices.Equal(k.proposed.Witnesses, current.Witnesses)
	late := now.Sub(k.proposedAt) > proposalTime
	_, doubtful := k.config.Lease.Wants()
	urgent := !k.config.Clock.Now().Before(k.config.Lease.Until())
	switch {
	case k.config.Lease.Ready() && (urgent || len(doubtful) == 0), sameSet && late:
		// Without a lease a majority is enough. With one, a witness that did
		// not answer would only have to be replaced by another write.
		//
		// Offers and state must get through even while there is no lease. That
		// is safe, only not seamless: both sets count until the write settles.
		k.own.Change(k.proposed)
	case late:
		k.suspect(now, doubtful)
		k.proposed = nil
		k.config.Lease.Withdraw()
	}
}

// propose begins to ask the witnesses of the record that should be written, if
// it differs from the one that stands.
func (k *keeper) propose(now mtclock.Instant, offers []mtroster.Offer, state mtroster.State) {
	current, version := k.own.Record()
	next := *current
	next.Offers, next.State = offers, state
	want, _ := k.config.Lease.Wants()
	next.Witnesses = k.choose(now, current, want)
	changed := want.Revoked || !slices.Equal(next.Offers, current.Offers) || next.State != current.State ||
		!slices.Equal(next.Witnesses, current.Witnesses)
	if !changed {
		return
	}
	if k.config.Lease.Propose(mtlease.Set{Version: version + 1, Witnesses: next.Witnesses}) {
		k.proposed, k.proposedAt = &next, now
	}
}

// suspect leaves witnesses that gave no promise out of the next proposals.
func (k *keeper) suspect(now mtclock.Instant, doubtful []mtid.Holder) {
	for _, w := range doubtful {
		k.suspects[w] = now.Add(suspectTime)
	}
}

// choose returns the witnesses that the record should name: the present ones
// that are good, and others in place of those that are not.
func (k *keeper) choose(now mtclock.Instant, current *mtroster.Record, want mtlease.Defects) []mtid.Holder {
	if len(want.Lost) == 0 && now.Before(k.pairAt) && k.sound(current) {
		return current.Witnesses
	}
	for _, w := range want.Lost {
		k.suspects[w] = now.Add(suspectTime)
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

// sound reports whether the record names a full set of living witnesses. It
// spares a daemon at rest a look at the whole roster at each tick.
func (k *keeper) sound(current *mtroster.Record) bool {
	for _, w := range current.Witnesses {
		record, _, ok := k.config.View.Record(w.Daemon)
		if !ok || record.Holder != w || !record.MayHoldLease() {
			return false
		}
	}
	return len(current.Witnesses) == mtwitness.SetSize
}

// pair returns the set with a mutual witness in place of another, at times that
// differ from daemon to daemon, so that two don't look past each other again.
func (k *keeper) pair(now mtclock.Instant, self mtwitness.Candidate, peers []mtwitness.Candidate, set []mtid.Holder) []mtid.Holder {
	if now.Before(k.pairAt) {
		return set
	}
	first := k.pairAt == 0
	k.pairAt = now.Add(pairTime + rand.N(2*pairTime))
	if first {
		return set
	}
	return mtwitness.Pair(self, peers, set)
}

// candidates returns this daemon and its live peers, without the suspects.
func (k *keeper) candidates() (mtwitness.Candidate, []mtwitness.Candidate) {
	profile := k.config.Profile
	self := mtwitness.Candidate{Holder: k.holder, Zone: profile.Zone, Region: profile.Region}
	roster := k.config.View.Roster()
	load := make(map[mtid.Holder]int)
	near := make(map[mtid.Holder]*mtroster.Record) // of the own zone
	for _, r := range roster {
		if r.Zone == profile.Zone && r.MayHoldLease() {
			near[r.Holder] = r
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
			Unpaired: single(r, near),
		})
	}
	return self, peers
}

// single reports whether a witness of record among near doesn't name it back.
func single(record *mtroster.Record, near map[mtid.Holder]*mtroster.Record) bool {
	return slices.ContainsFunc(record.Witnesses, func(w mtid.Holder) bool {
		other, ok := near[w]
		return ok && !slices.Contains(other.Witnesses, record.Holder)
	})
}
