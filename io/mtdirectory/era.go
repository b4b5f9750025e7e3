package mtdirectory

import (
	"strings"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// Tenure is a time in which this daemon's record has let an incarnation of its server hold keys,
// without a gap, in one era of the store. Nobody can have taken those keys from it.
type Tenure struct {
	Incarnation mtid.ServerIncarnation
	Since       mtid.Version    // of the record
	Until       mtclock.Instant // the record was certain to exist until then
}

// Era returns the era of the store.
func (t Tenure) Era() mtid.Era { return t.Since.Era() }

// FormerTenure returns the last tenure that the end of its era has ended, or false.
func (d *Directory) FormerTenure() (Tenure, bool) {
	tenure := d.publisher.former.Load()
	if tenure == nil {
		return Tenure{}, false
	}
	return *tenure, true
}

// enterEra begins the era of a revision, if it is later than that of the copy: all records count
// as absent until they are written in it. It reports whether an earlier era has ended. It is called
// with mu held.
func (d *Directory) enterEra(v *View, revision mtid.Revision, now mtclock.Instant) bool {
	era := revision.Era()
	if v.Revision != 0 && era <= v.Era() {
		return false
	}
	if v.Revision == 0 {
		v.EraSince = now
		v.Revision = mtid.RevisionOf(era, 1) // the copy is empty, and complete up to the first one
		return false
	}
	d.endSeals(v, era)
	v.EraSince = now
	v.FormerRevision, d.eraEntered = v.Revision, revision
	d.Log.Warn("copy enters a new era of the store", "era", era, "before", v.Era(), "revision", revision.Number(), "known", v.Revision.Number())
	v.Revision = mtid.RevisionOf(era, 1)
	d.copyMembersOnce(v)
	for name, m := range v.Members {
		if !m.Expired {
			m.Former = true
			v.Members[name] = m.markExpired(now, 0)
		}
	}
	clear(v.InvalidRecords)
	clear(v.Registrations)
	clear(v.Strangers)
	for name := range d.entries {
		if namedByEra(name) {
			delete(d.entries, name) // of the era that has ended
		}
	}
	clear(d.doubtful)
	clear(d.odd)
	d.publisher.runNow()
	return true
}

// namedByEra reports whether an entry has another name in each era of the store.
func namedByEra(name string) bool {
	return strings.HasPrefix(name, mtstore.BackendPrefix) || strings.HasPrefix(name, mtstore.RangePrefix) || strings.HasPrefix(name, mtstore.RegistrationPrefix) || strings.HasPrefix(name, mtstore.SealPrefix)
}

// SettleTime is how long after the beginning of an era of the store the operators' last known
// orders and configuration remain in force where the copy has older ones. The operators write
// again what was lost.
const SettleTime = 2 * time.Second

// settling reports whether the operators may not have written everything again.
func (d *Directory) settling(now mtclock.Instant, v *View) bool {
	return v.FormerRevision != 0 && now.Sub(v.EraSince) < SettleTime
}

// rereadOfCopy reports whether an entry of a further full read of an era may still be the one of the
// store's older copy: the operators may not have written everything again, what is known of it is
// of an earlier era, and the entry was not written after the first update of this one. It is called
// with mu held.
func (d *Directory) rereadOfCopy(now mtclock.Instant, v *View, e mtstore.Entry) bool {
	ofCopy := e.Version == 0 || e.Revision <= d.eraEntered
	return d.settling(now, v) && d.entries[e.Name].Revision.Era() < e.Revision.Era() && ofCopy
}

// doubt reports whether an operators' entry that was read at the beginning of an era contradicts a
// later one that is known from the era before: then it is only the copy's. If nothing newer
// arrives, it is applied after a while. It is called with mu held.
func (d *Directory) doubt(e mtstore.Entry) bool {
	known, ok := d.entries[e.Name]
	switch {
	case !ok || strings.HasPrefix(e.Name, mtstore.LivePrefix) && !strings.HasPrefix(e.Name, mtstore.ZonePrefix):
		return false // nothing that operators write
	case known.Version != 0 && e.Version != 0 && strings.HasPrefix(e.Name, mtstore.ZonePrefix):
		return false // the order stands, by either
	case e.Version != 0 && e.Revision.Number() >= known.Revision.Number():
		return false // written later
	case e.Version == 0 && known.Version == 0:
		return false
	}
	d.Log.Warn("entry of the copy contradicts a later one, which stays in force for now", "name", e.Name, "present", e.Version != 0, "revision", e.Revision.Number(), "known", known.Revision.Number())
	d.doubtful[e.Name] = e
	if d.settleTimer != nil {
		d.settleTimer.Stop()
	}
	d.settleTimer = time.AfterFunc(SettleTime, d.applyDoubtful)
	return true
}

// applyDoubtful applies the entries of the copy that nothing newer has replaced.
func (d *Directory) applyDoubtful() {
	now := d.Clock.Steady()
	var others []mtstore.Entry
	d.update(func(v *View) bool {
		for name, e := range d.doubtful {
			d.Log.Warn("entry of the copy comes into force", "name", name, "present", e.Version != 0, "revision", e.Revision.Number())
			if !d.applyAndKeep(v, now, e) {
				others = append(others, e)
			}
		}
		changed := len(d.doubtful) > 0
		clear(d.doubtful)
		return changed
	})
	for _, e := range others {
		if d.OnOtherEntry != nil {
			d.OnOtherEntry(e)
		}
	}
}

// stopSettling stops the timer that applies doubtful entries.
func (d *Directory) stopSettling() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.settleTimer != nil {
		d.settleTimer.Stop()
	}
}
