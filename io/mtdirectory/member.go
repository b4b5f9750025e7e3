package mtdirectory

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtwatch"
)

// Member is the record of a daemon and the state of its lease.
type Member struct {
	mtbackend.Record
	Version mtid.Version
	// Expired reports that the record is no longer in the store. ExpiredSince is the
	// latest time at which it can have disappeared, by the steady clock of this daemon.
	Expired      bool
	ExpiredSince mtclock.Instant
	// Former reports that the record is of an earlier era of the store and has not been written in
	// this one. It proves nothing, and serves to reach the daemon until it has written its record.
	Former bool
	// Overwritten reports that another writer's entry has stood in place of the record for a lease. Its daemon would have
	// written it again if it could, and may hold keys.
	Overwritten bool
	// lease is that of the record, if the store has shown it, and registered the version of its daemon's registration then.
	lease      mtstore.LeaseID
	registered mtid.Version
	// deletedAt is the store revision at which the record was last known to be absent.
	deletedAt mtid.Revision
}

// Reachable reports whether the daemon may be running, by its record. One of an earlier era of the
// store doesn't show that the daemon has ended, although it counts as expired.
func (m Member) Reachable() bool { return !m.Expired || m.Former }

// AcceptsWork reports whether the server accepts new work, by its record.
func (m Member) AcceptsWork() bool { return m.Record.AcceptsWork() && !m.Overwritten }

// markExpired returns the member with its record deleted at a revision, reported now.
// If the record was already known to be absent at an earlier revision, it has been
// present in between, and its daemon may have sent grants until just now. When the
// time was counted from the first deletion, keys were taken over while the last of
// those grants was in force.
func (m Member) markExpired(now mtclock.Instant, revision mtid.Revision) Member {
	m.Expired, m.ExpiredSince, m.deletedAt = true, now, revision
	return m
}

// deletedEntries returns the deletions that a full read reveals: known entries that no
// longer exist, records that are still absent, because those may have been present
// in between, and records of registered daemons that were never seen. entered reports that the
// read begins an era of the store. It is called with mu held.
func (d *Directory) deletedEntries(u mtwatch.Update, v *View, entered bool) []mtstore.Entry {
	if !u.Snapshot || !entered && u.Changes.Revision <= v.Revision {
		return nil
	}
	present := make(map[string]bool, len(u.Changes.Entries))
	for _, e := range u.Changes.Entries {
		present[e.Name] = true
	}
	var deleted []mtstore.Entry
	for name, e := range d.entries {
		if e.Revision > u.Changes.Revision {
			continue // received after the read began
		}
		if present[name] || e.Version == 0 && !strings.HasPrefix(name, mtstore.BackendPrefix) {
			continue
		}
		gone := mtstore.Entry{Name: name, Revision: u.Changes.Revision}
		if e.Revision.Era() < gone.Revision.Era() && d.doubt(gone) {
			continue
		}
		d.entries[name] = gone
		deleted = append(deleted, gone)
	}
	for _, e := range u.Changes.Entries {
		name, ok := registeredRecord(e, v.Era())
		_, known := d.entries[name]
		// A full read is no snapshot: a later registration may have come with its record, which was
		// read before.
		if !ok || known || present[name] || e.Revision > u.Changes.Revision {
			continue
		}
		gone := mtstore.Entry{Name: name, Revision: u.Changes.Revision}
		d.entries[name] = gone
		deleted = append(deleted, gone)
	}
	return deleted
}

// registeredRecord returns the name of the record that was created with a registration, or false if the
// entry is no registration of an era.
func registeredRecord(e mtstore.Entry, era mtid.Era) (string, bool) {
	registered, daemon, ok := mtstore.SplitRegistrationName(e.Name)
	if !ok || registered != era || e.Version == 0 {
		return "", false
	}
	return mtstore.BackendName(era, daemon), true
}

// AddressError reports a record whose address is not an IP address and a port. The settings of daemons that read a store
// name an IP address.
type AddressError struct {
	Daemon  mtid.Daemon
	Address string
}

// Error implements error.
func (e *AddressError) Error() string {
	return fmt.Sprintf("directory: record of daemon %q has the address %.80q", e.Daemon, e.Address)
}

// decodeRecord decodes an entry that stands in place of a record. It fails if no daemon wrote it.
func decodeRecord(e mtstore.Entry) (mtbackend.Record, error) {
	record, err := mtbackend.Decode(e.Value)
	switch {
	case err != nil:
		return mtbackend.Record{}, err
	case e.Lease == mtstore.Unleased:
		return mtbackend.Record{}, &mtbackend.UnleasedError{}
	case unchecked(e) && !record.NamesIP():
		return mtbackend.Record{}, &AddressError{Daemon: record.Daemon, Address: record.Address}
	}
	return record, nil
}

// unchecked reports whether no other daemon has checked an entry: it was read from the store, which may show nothing of
// leases, or leave out that there is none.
func unchecked(e mtstore.Entry) bool { return e.Lease != mtstore.LeaseUnknown || e.Origin.FromStore() }

// showsUnleased reports whether an entry that stands in place of a record has no lease: the store shows it, or
// another daemon that has read it there.
func showsUnleased(e mtstore.Entry) bool {
	_, err := decodeRecord(e)
	var unleased *mtbackend.UnleasedError
	return e.Lease == mtstore.Unleased || errors.As(err, &unleased)
}

// registrationsFirst returns the entries with the registrations before all others: a record is judged by whether
// its daemon is registered, and both are written in one step.
func registrationsFirst(entries []mtstore.Entry) []mtstore.Entry {
	ordered := make([]mtstore.Entry, 0, len(entries))
	for _, registration := range []bool{true, false} {
		for _, e := range entries {
			if strings.HasPrefix(e.Name, mtstore.RegistrationPrefix) == registration {
				ordered = append(ordered, e)
			}
		}
	}
	return ordered
}

// copyMembersOnce prepares a new view for the first change of Members, InvalidRecords,
// Registrations, Strangers or OutOfService. It copies the maps, which the view shares with its predecessor
// until then, and increments MembershipVersion.
func (d *Directory) copyMembersOnce(v *View) {
	if old := d.view.Load(); v.MembershipVersion == old.MembershipVersion {
		v.Members, v.InvalidRecords, v.Registrations = maps.Clone(old.Members), maps.Clone(old.InvalidRecords), maps.Clone(old.Registrations)
		v.Strangers = maps.Clone(old.Strangers)
		v.MembershipVersion++
	}
}

// applyRecordEntry applies a written or deleted record of a daemon. It fails if no daemon wrote it.
func (d *Directory) applyRecordEntry(v *View, now mtclock.Instant, e mtstore.Entry) error {
	era, name, _ := mtstore.SplitBackendName(e.Name)
	if era != v.Era() {
		d.applyFormerRecord(name, e)
		return nil
	}
	d.copyMembersOnce(v)
	stranger := v.Strangers[name]
	delete(v.InvalidRecords, name)
	delete(v.Strangers, name)
	if e.Version == 0 {
		// A deletion is also stored for an unknown record. The record may have been
		// present between the last full read and now, while this daemon received no
		// changes. Its daemon sent grants until then, so a claimant that counts
		// from that read takes the keys over while the last grant is in force.
		m, ok := v.Members[name]
		if !ok {
			m.Daemon = name
		}
		if name == d.Self {
			d.publisher.onDeleted(e.Revision)
		}
		if m.Expired && e.Revision <= m.deletedAt {
			return nil
		}
		if v.absentSinceRegistered(m) {
			m.deletedAt = e.Revision
			v.Members[name] = m
			return nil
		}
		if stranger.Since != 0 && v.Registrations[name] == 0 {
			// No daemon was there, neither before nor now.
			m.Expired, m.ExpiredSince, m.deletedAt = true, stranger.Since, e.Revision
			v.Members[name] = m
			return nil
		}
		v.Members[name] = m.markExpired(now, e.Revision)
		d.Log.Info("record of backend server gone", "peer", name, "server", m.Incarnation.String(), "known", ok, "revision", e.Revision.Number())
		return nil
	}
	old, known := v.Members[name]
	record, err := decodeRecord(e)
	if err == nil && record.Daemon != name {
		err = &mtbackend.DecodeError{Err: &nameMismatchError{name: name, daemon: record.Daemon}}
	}
	if err == nil && unchecked(e) && v.Registrations[name] == 0 {
		err = &UnregisteredError{Daemon: name}
	}
	if err == nil && v.underOtherLease(old, e) {
		err = &OtherLeaseError{Daemon: name}
	}
	if err != nil {
		// The last valid record remains in effect. A takeover is conditional on its
		// version, so it fails while this entry exists.
		if !known || old.Expired {
			v.InvalidRecords[name] = true
		} else {
			d.awaitRecord(old)
		}
		switch {
		case v.absentSinceRegistered(old):
			// Its daemon would have changed the registration.
			v.Strangers[name] = Stranger{Version: e.Version, Since: old.ExpiredSince}
		case showsUnleased(e) && v.Registrations[name] == 0 && (!known || old.Expired):
			since := now
			if known {
				since = old.ExpiredSince // a registration would have restarted it
			}
			v.Strangers[name] = stranger.renewed(e.Version, since)
		case v.Registrations[name] == 0:
			v.restartAbsence(name, now) // under a lease, it may be a daemon's of a release that writes no registration
		}
		if name == d.Self {
			d.publisher.onOverwritten(e.Version)
			var unregistered *UnregisteredError
			if errors.As(err, &unregistered) {
				d.publisher.onUnregistered(e.Revision + 1) // after this version was written
			}
		}
		return err
	}
	if !known || old.Record != record || old.Expired {
		d.Log.Info("backend server", "peer", name, "server", record.Incarnation.String(), "service", record.Service,
			"state", record.State, "leaving", record.Leaving, "version", e.Version.Number())
	}
	next := Member{Record: record, Version: e.Version, lease: v.leaseOf(old, e), registered: v.Registrations[name]}
	if uint64(next.registered) > uint64(e.Version) {
		next.lease = "" // a full read is no snapshot: the record that was written with the registration follows
	}
	v.Members[name] = next
	return nil
}

// underOtherLease reports whether an entry that replaces a daemon's record has another lease, although the daemon's registration
// is the same: a daemon writes its record under a new lease in one step with its registration.
func (v *View) underOtherLease(old Member, e mtstore.Entry) bool {
	same := !old.Expired && old.registered == v.Registrations[old.Daemon]
	return same && old.lease != "" && e.LeaseID != "" && e.LeaseID != old.lease
}

// leaseOf returns the lease of a record that replaces another one: the shown one, or the same as before if it can't have changed.
func (v *View) leaseOf(old Member, e mtstore.Entry) mtstore.LeaseID {
	if e.LeaseID == "" && !old.Expired && old.registered == v.Registrations[old.Daemon] {
		return old.lease
	}
	return e.LeaseID
}

// OtherLeaseError reports a record of a daemon under a lease that the daemon doesn't have.
type OtherLeaseError struct{ Daemon mtid.Daemon }

// Error implements error.
func (e *OtherLeaseError) Error() string {
	return fmt.Sprintf("directory: record of daemon %q has another lease than before, and the same registration", e.Daemon)
}

// awaitRecord marks a member as overwritten unless its daemon writes its record again within a lease. It is called with mu
// held.
func (d *Directory) awaitRecord(m Member) {
	waiting, ok := d.overwritten[m.Daemon]
	if ok && waiting.version == m.Version {
		return
	}
	if ok {
		waiting.timer.Stop()
	}
	timer := time.AfterFunc(d.Lease, func() {
		d.update(func(v *View) bool {
			now := v.Members[m.Daemon]
			if now.Version != m.Version || now.Expired {
				return false
			}
			d.Log.Warn("record of backend server stays overwritten: it gets no new work", "peer", m.Daemon, "version", m.Version.Number())
			d.copyMembersOnce(v)
			now.Overwritten = true
			v.Members[m.Daemon] = now
			return true
		})
	})
	d.overwritten[m.Daemon] = overwrittenRecord{version: m.Version, timer: timer}
}

// overwrittenRecord is the last valid record of a daemon in place of which another writer's entry was found.
type overwrittenRecord struct {
	version mtid.Version
	timer   *time.Timer
}

// stopAwaiting stops waiting for records that were overwritten.
func (d *Directory) stopAwaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, waiting := range d.overwritten {
		waiting.timer.Stop()
	}
}

// UnregisteredError reports a record without a registration: daemons write both in one step.
type UnregisteredError struct{ Daemon mtid.Daemon }

// Error implements error.
func (e *UnregisteredError) Error() string {
	return fmt.Sprintf("directory: daemon %q has no registration", e.Daemon)
}

// renewed returns the stranger with a version of its entry, under a name that has had no daemon since a time. Whatever
// stood there in between was no daemon's: that would have left a registration.
func (s Stranger) renewed(version mtid.Version, since mtclock.Instant) Stranger {
	if s.Since == 0 {
		s.Since = since
	}
	s.Version = version
	return s
}

// applyRegistrationEntry applies a registration. If its daemon's record is known to be absent, it
// has been present in between: the time since which it has been absent begins anew. A registration
// that another writer has deleted proves nothing more.
func (d *Directory) applyRegistrationEntry(v *View, now mtclock.Instant, e mtstore.Entry) {
	era, name, _ := mtstore.SplitRegistrationName(e.Name)
	if era != v.Era() {
		delete(d.entries, e.Name)
		return
	}
	d.copyMembersOnce(v)
	if e.Version == 0 {
		d.Log.Error("registration of a daemon was deleted by another writer", "peer", name, "revision", e.Revision.Number())
		delete(v.Registrations, name)
		if name == d.Self {
			d.publisher.onUnregistered(e.Revision)
		}
		v.restartAbsence(name, now)
		return
	}
	if v.Registrations[name] == e.Version {
		return
	}
	v.Registrations[name] = e.Version
	delete(v.Strangers, name)
	v.restartAbsence(name, now)
}

// absentSinceRegistered reports whether a record was found absent after the present registration of its
// daemon was written. Had it been back since, the registration would have changed.
func (v *View) absentSinceRegistered(m Member) bool {
	registered := v.Registrations[m.Daemon]
	return m.Expired && registered != 0 && uint64(registered) <= uint64(m.deletedAt)
}

// restartAbsence restarts the time since which a record has been absent, if it is known to be. It is no proof of
// the absence, so deletedAt stays.
func (v *View) restartAbsence(name mtid.Daemon, now mtclock.Instant) {
	if m, known := v.Members[name]; known && m.Expired {
		m.ExpiredSince = now
		v.Members[name] = m
	}
}

// applyFormerRecord applies a record that was written in an earlier era of the store. That of this
// daemon shows what its previous process knew; others count as absent until they are written anew.
func (d *Directory) applyFormerRecord(name mtid.Daemon, e mtstore.Entry) {
	delete(d.entries, e.Name)
	if name == d.Self && e.Version != 0 {
		d.publisher.reportPrevious(e)
	}
}

// nameMismatchError reports that a record is stored under the name of another daemon.
type nameMismatchError struct{ name, daemon mtid.Daemon }

// Error implements error.
func (e *nameMismatchError) Error() string {
	return fmt.Sprintf("record of daemon %q is stored under the name of daemon %q", e.daemon, e.name)
}
