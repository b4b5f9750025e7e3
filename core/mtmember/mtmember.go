// Package mtmember decides how a daemon writes its own record: how it registers
// a new incarnation, changes its witnesses, offers or state, and determines the
// outcome of a write whose response was lost.
//
// # Usage
//
//	m := mtmember.New(profile, firstSequence)
//	switch step := m.Next(); step.Kind {
//	case mtmember.Read:  ... get the record: m.Observe(record, version) or m.ObserveMissing()
//	case mtmember.Fence: ... have the previous incarnation revoked by its witnesses: m.MarkFenced(version)
//	case mtmember.Write: ... swap: m.WriteSucceeded, m.Observe (conflict), m.WriteUnknown or m.WriteRejected
//	case mtmember.Idle:  ... registered; m.Change to start another write
//	}
//
// A Member is a state machine without I/O. It is not safe for concurrent use.
package mtmember

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
)

// Kind is the action that a Step requests.
type Kind int

// The kinds of a step.
const (
	Read  Kind = iota // read the daemon's record
	Fence             // have the previous incarnation revoked
	Write             // write Record, expecting Expected
	Idle              // nothing to do
)

// Step is the next action of a member.
type Step struct {
	Kind Kind
	// For Write: the record to write and the version that it replaces. For
	// Fence: the record of the previous incarnation and its version.
	Record   *mtroster.Record
	Expected mtid.Version
}

// Profile holds the configured identity and addresses of a daemon, which are known
// before it registers.
type Profile struct {
	Daemon        mtid.Daemon
	Zone          mtid.Zone
	Region        mtid.Region
	RelayAddress  string
	RenewAddress  string
	CallerAddress string
	AdminAddress  string
}

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	record   *mtroster.Record
	expected mtid.Version
	// uncertain is set once an attempt got no response: it may still be applied.
	uncertain bool
}

// Member tracks the record of a daemon for one process of that daemon.
type Member struct {
	profile  Profile
	sequence uint64

	known   bool // record and version are current; if false, they have to be read again
	record  *mtroster.Record
	version mtid.Version
	fenced  mtid.Version // version of the record under which the previous incarnation was fenced
	holder  mtid.Holder  // zero until registered
	revoked bool         // holder was revoked or replaced
	writing *pendingWrite
	offers  []mtroster.Offer
	state   mtroster.State
}

// New returns the member of a process that has just started. Its writes are
// numbered upwards from first. The numbers must not overlap with those of another
// process of this daemon, so callers pass the current wall time in nanoseconds.
func New(profile Profile, first uint64) *Member {
	return &Member{profile: profile, sequence: first}
}

// Holder returns the incarnation under which the process is registered. It is
// zero if the process is not registered or the incarnation was revoked.
func (m *Member) Holder() mtid.Holder {
	if m.revoked {
		return mtid.Holder{}
	}
	return m.holder
}

// Record returns the daemon's record and its version, as last known from the
// store.
func (m *Member) Record() (*mtroster.Record, mtid.Version) { return m.record, m.version }

// WritePending reports whether a write is pending or its outcome is unknown.
func (m *Member) WritePending() bool { return m.writing != nil }

// Next returns the next action. It is Idle only while the process is registered
// and has nothing to write.
func (m *Member) Next() Step {
	switch {
	case m.writing != nil && m.writing.uncertain && !m.known:
		return Step{Kind: Read}
	case m.writing != nil:
		return Step{Kind: Write, Record: m.writing.record, Expected: m.writing.expected}
	case !m.known:
		return Step{Kind: Read}
	case m.Holder() != mtid.Holder{}:
		return Step{Kind: Idle}
	case m.mustFence() && !m.published():
		m.startWrite(m.publication())
	case m.mustFence():
		return Step{Kind: Fence, Record: m.record, Expected: m.version}
	default:
		m.startWrite(m.registration())
	}
	return m.Next()
}

// Observe processes the record that was read from the store, or that the store
// returned with the conflict of a write.
//
// While the outcome of a write is unknown, a record at the version that the
// write expected proves nothing: the write may still be in transit, and a holder
// that considered it failed would act on a record that is about to change.
// Repeating the write determines the outcome, since only one of the two attempts
// can succeed and makes the other one fail.
func (m *Member) Observe(record *mtroster.Record, version mtid.Version) {
	if version < m.version {
		return
	}
	m.known = true
	w := m.writing
	if w != nil && version == w.expected {
		return
	}
	m.writing = nil
	m.setStored(record, version)
	if w != nil && record.WriteID == w.record.WriteID {
		m.register()
	}
}

// ObserveMissing reports that the store has no record of this daemon.
func (m *Member) ObserveMissing() {
	m.known = true
	if m.writing == nil {
		m.setStored(nil, 0)
	}
}

// ObserveVersion reports the version that the live state has of the daemon's record.
// If it is newer than the known one, the record is read again once no other write is
// in progress.
func (m *Member) ObserveVersion(version mtid.Version) {
	if version > m.version {
		m.known = false
	}
}

// WriteSucceeded reports that the write succeeded and created a version.
func (m *Member) WriteSucceeded(version mtid.Version) {
	w := m.writing
	m.writing = nil
	m.known = true
	m.setStored(w.record, version)
	m.register()
}

// WriteUnknown reports that no response to the write was received.
func (m *Member) WriteUnknown() {
	m.writing.uncertain = true
	m.known = false
}

// WriteRejected reports that the store rejected the write. If an earlier attempt got
// no response, that one may still be applied, and the outcome remains unknown.
func (m *Member) WriteRejected() {
	if m.writing.uncertain {
		m.known = false
		return
	}
	m.writing = nil
}

// MarkFenced reports that the previous incarnation is fenced: a majority of the
// witnesses that its record names at this version agreed to revoke it.
func (m *Member) MarkFenced(version mtid.Version) { m.fenced = version }

// Change starts to write next, which has to be a modified copy of the record that
// Record returns. It returns false if the process is not registered or another
// write is pending.
func (m *Member) Change(next *mtroster.Record) bool {
	if m.Holder().IsZero() || m.writing != nil || !m.known {
		return false
	}
	next.Holder = m.holder
	next.WriteID = mtroster.WriteID{Writer: m.holder}
	m.startWrite(next)
	return true
}

// setStored updates what is known of the store, and detects that the incarnation
// of this process was revoked or replaced.
func (m *Member) setStored(record *mtroster.Record, version mtid.Version) {
	m.record, m.version = record, version
	if record == nil || m.holder.IsZero() {
		return
	}
	if record.Holder != m.holder || record.RevokedBelow > m.holder.Incarnation {
		m.revoked = true
	}
}

// register switches to the incarnation in the record if the record is a valid
// registration by this process.
func (m *Member) register() {
	h := m.record.Holder
	registered := h.Daemon == m.profile.Daemon && m.record.WriteID.Writer == h && m.record.MayHoldLease()
	if registered && m.Holder() != h {
		m.holder, m.revoked = h, false
	}
}

// startWrite starts to write next over the version that is in the store.
func (m *Member) startWrite(next *mtroster.Record) {
	m.sequence++
	next.WriteID.Sequence = m.sequence
	m.writing = &pendingWrite{record: next, expected: m.version}
}

// mustFence reports whether the incarnation in the record may still hold promises
// of its witnesses. One that never had witnesses, shut down cleanly or was revoked
// cannot.
func (m *Member) mustFence() bool {
	return m.record != nil && m.record.MayHoldLease() && len(m.record.Witnesses) > 0 && m.fenced != m.version
}

// published reports whether the record has the addresses of this process.
func (m *Member) published() bool {
	return m.record.RelayAddress == m.profile.RelayAddress && m.record.RenewAddress == m.profile.RenewAddress
}

// publication returns the record of the previous incarnation with the addresses of
// this process. If all VMs are replaced at once, each daemon waits for witnesses to
// revoke its previous incarnation, and none of those witnesses could be reached at
// the address in its old record.
func (m *Member) publication() *mtroster.Record {
	next := *m.record
	next.WriteID = mtroster.WriteID{Writer: mtid.Holder{Daemon: m.profile.Daemon}}
	m.setAddresses(&next)
	return &next
}

// registration returns the first record of a new incarnation.
func (m *Member) registration() *mtroster.Record {
	next := &mtroster.Record{Offers: m.offers, State: m.state}
	m.setAddresses(next)
	incarnation := mtid.Incarnation(1)
	if m.record != nil {
		incarnation = max(m.record.Holder.Incarnation+1, m.record.RevokedBelow)
	}
	next.Holder = mtid.Holder{Daemon: m.profile.Daemon, Incarnation: incarnation}
	next.RevokedBelow = incarnation
	next.WriteID.Writer = next.Holder
	return next
}

// PrepareRegistration sets the offers and the state that the next registration
// will publish.
func (m *Member) PrepareRegistration(offers []mtroster.Offer, state mtroster.State) {
	m.offers, m.state = offers, state
}

func (m *Member) setAddresses(r *mtroster.Record) {
	r.Zone, r.Region = m.profile.Zone, m.profile.Region
	r.RelayAddress, r.RenewAddress = m.profile.RelayAddress, m.profile.RenewAddress
	r.CallerAddress, r.AdminAddress = m.profile.CallerAddress, m.profile.AdminAddress
}
