// Package mtmember decides how a daemon writes its own record: how it registers
// under a new incarnation, changes its witnesses, offers or state, and finds
// out what became of a write whose answer was lost.
//
// # Usage
//
//	m := mtmember.New(profile, firstSequence)
//	switch step := m.Next(); step.Kind {
//	case mtmember.Read:  ... get the record: m.Seen(record, version) or m.Missing()
//	case mtmember.Fence: ... have the former life revoked by its witnesses: m.Fenced(version)
//	case mtmember.Write: ... swap: m.Landed, m.Seen (conflict), m.Unknown or m.Refused
//	case mtmember.Idle:  ... registered; m.Change to write something new
//	}
//
// A Member is a pure state machine, and not safe for concurrent use.
package mtmember

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

// Kind is what a member does next.
type Kind int

// The kinds of a step.
const (
	Read  Kind = iota // read the own record
	Fence             // have the former life revoked
	Write             // write Record, expecting Expected
	Idle              // nothing to do
)

// Step is what a member does next.
type Step struct {
	Kind Kind
	// Record and Expected are what to write, or whose life to fence.
	Record   *mtroster.Record
	Expected mtid.Version
}

// Profile is what a daemon knows of itself before it registers.
type Profile struct {
	Daemon mtid.Daemon
	Zone   mtid.Zone
	Region mtid.Region
	Relay  string
	Renew  string
	Caller string
	Admin  string
}

// attempt is a write whose outcome is not known yet.
type attempt struct {
	record   *mtroster.Record
	expected mtid.Version
	// doubt says that a try of it got no answer: it may still land.
	doubt bool
}

// Member is one process's knowledge of its own record.
type Member struct {
	profile  Profile
	sequence uint64

	known   bool // record and version are what the store last showed
	record  *mtroster.Record
	version mtid.Version
	fenced  mtid.Version // the version whose former life is fenced
	holder  mtid.Holder  // zero until registered
	revoked bool         // holder was revoked by a taker
	writing *attempt
	offers  []mtroster.Offer
	state   mtroster.State
}

// New returns the member of a process that just began. Its writes are numbered
// from first, which no other process of this daemon may reach: the present wall
// time in nanoseconds is.
func New(profile Profile, first uint64) *Member {
	return &Member{profile: profile, sequence: first}
}

// Holder returns the life under which the process is registered; zero if it is
// not, or if that life was revoked.
func (m *Member) Holder() mtid.Holder {
	if m.revoked {
		return mtid.Holder{}
	}
	return m.holder
}

// Record returns the own record as last known to stand in the store.
func (m *Member) Record() (*mtroster.Record, mtid.Version) { return m.record, m.version }

// Writing reports whether the outcome of a write is unknown or awaited.
func (m *Member) Writing() bool { return m.writing != nil }

// Next returns what to do now.
func (m *Member) Next() Step {
	switch {
	case m.writing != nil && m.writing.doubt && !m.known:
		return Step{Kind: Read}
	case m.writing != nil:
		return Step{Kind: Write, Record: m.writing.record, Expected: m.writing.expected}
	case !m.known:
		return Step{Kind: Read}
	case m.Holder() != mtid.Holder{}:
		return Step{Kind: Idle}
	case m.mustFence() && !m.published():
		m.try(m.publication())
	case m.mustFence():
		return Step{Kind: Fence, Record: m.record, Expected: m.version}
	default:
		m.try(m.registration())
	}
	return m.Next()
}

// Seen takes the record that stands in the store: after a read, or with the
// conflict that refused a write.
//
// While a write is in doubt, a record of the version that it expected proves
// nothing: the write may be on its way still, and a holder that took it for
// lost would act on a record that is about to change. Writing it again settles
// it, since of the two only one can succeed, and either makes the other fail.
func (m *Member) Seen(record *mtroster.Record, version mtid.Version) {
	if version < m.version {
		return
	}
	m.known = true
	w := m.writing
	if w != nil && version == w.expected {
		return
	}
	m.writing = nil
	m.stand(record, version)
	if w != nil && record.Stamp == w.record.Stamp {
		m.adopt()
	}
}

// Missing says that the store has no record of this daemon.
func (m *Member) Missing() {
	m.known = true
	if m.writing == nil {
		m.stand(nil, 0)
	}
}

// Stale says that the live state shows a version of the own record that this
// process did not write; the next step reads it.
func (m *Member) Stale(version mtid.Version) {
	if version > m.version {
		m.known = false
	}
}

// Landed says that the write succeeded and made that version.
func (m *Member) Landed(version mtid.Version) {
	w := m.writing
	m.writing = nil
	m.known = true
	m.stand(w.record, version)
	m.adopt()
}

// Unknown says that no answer to the write came back.
func (m *Member) Unknown() {
	m.writing.doubt = true
	m.known = false
}

// Refused says that the store did not take the write. An earlier try of it may
// still land all the same, and then it stays in doubt.
func (m *Member) Refused() {
	if m.writing.doubt {
		m.known = false
		return
	}
	m.writing = nil
}

// Fenced says that a majority of the witnesses of the former life agreed to
// revoke it under the record of that version.
func (m *Member) Fenced(version mtid.Version) { m.fenced = version }

// Change begins to write next, which is made from Record. It returns false if
// the process is not registered or another write is under way.
func (m *Member) Change(next *mtroster.Record) bool {
	if m.Holder().IsZero() || m.writing != nil || !m.known {
		return false
	}
	next.Holder = m.holder
	next.Stamp = mtroster.Stamp{Writer: m.holder}
	m.try(next)
	return true
}

// stand notes what the store holds.
func (m *Member) stand(record *mtroster.Record, version mtid.Version) {
	m.record, m.version = record, version
	if record == nil || m.holder.IsZero() {
		return
	}
	if record.Holder != m.holder || record.Revoked > m.holder.Incarnation {
		m.revoked = true
	}
}

// adopt takes over a registration of this process that stands in the store.
func (m *Member) adopt() {
	h := m.record.Holder
	registered := h.Daemon == m.profile.Daemon && m.record.Stamp.Writer == h && m.record.Live()
	if registered && m.Holder() != h {
		m.holder, m.revoked = h, false
	}
}

// try begins a write of next over what stands.
func (m *Member) try(next *mtroster.Record) {
	m.sequence++
	next.Stamp.Sequence = m.sequence
	m.writing = &attempt{record: next, expected: m.version}
}

// mustFence reports whether the record's life may still hold promises. One that
// never had a witness, left in order or was revoked can't.
func (m *Member) mustFence() bool {
	return m.record != nil && m.record.Live() && len(m.record.Witnesses) > 0 && m.fenced != m.version
}

// published reports whether the record shows where this process is reached.
func (m *Member) published() bool {
	return m.record.Relay == m.profile.Relay && m.record.Renew == m.profile.Renew
}

// publication is the former life's record with this process's addresses. When
// all VMs are replaced at once, each waits for others to revoke its former
// life, and none could be asked at the address in its old record.
func (m *Member) publication() *mtroster.Record {
	next := *m.record
	next.Stamp = mtroster.Stamp{Writer: mtid.Holder{Daemon: m.profile.Daemon}}
	m.locate(&next)
	return &next
}

// registration is the first record of a new life.
func (m *Member) registration() *mtroster.Record {
	next := &mtroster.Record{Offers: m.offers, State: m.state}
	m.locate(next)
	incarnation := mtid.Incarnation(1)
	if m.record != nil {
		incarnation = max(m.record.Holder.Incarnation+1, m.record.Revoked)
	}
	next.Holder = mtid.Holder{Daemon: m.profile.Daemon, Incarnation: incarnation}
	next.Revoked = incarnation
	next.Stamp.Writer = next.Holder
	return next
}

// Carry sets the offers and state of the next registration.
func (m *Member) Carry(offers []mtroster.Offer, state mtroster.State) {
	m.offers, m.state = offers, state
}

func (m *Member) locate(r *mtroster.Record) {
	r.Zone, r.Region = m.profile.Zone, m.profile.Region
	r.Relay, r.Renew = m.profile.Relay, m.profile.Renew
	r.Caller, r.Admin = m.profile.Caller, m.profile.Admin
}
