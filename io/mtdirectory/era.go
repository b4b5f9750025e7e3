package mtdirectory

import (
	"strings"

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
// as absent until they are written in it. It is called with mu held.
func (d *Directory) enterEra(v *View, revision mtid.Revision, now mtclock.Instant) {
	era := revision.Era()
	if v.Revision != 0 && era <= v.Era() {
		return
	}
	v.EraSince = now
	if v.Revision == 0 {
		v.Revision = mtid.RevisionOf(era, 1) // the copy is empty, and complete up to the first one
		return
	}
	v.FormerRevision = v.Revision
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
	for name := range d.entries {
		if strings.HasPrefix(name, mtstore.BackendPrefix) || strings.HasPrefix(name, mtstore.RangePrefix) {
			delete(d.entries, name) // names of the era that has ended
		}
	}
	d.publisher.runNow()
}
