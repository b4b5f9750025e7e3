package mtdirectory

import (
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtseal"
	"magnoliaturn/core/mtzone"
)

// View is an immutable snapshot of the copy.
type View struct {
	Members map[mtid.Daemon]Member
	// Assignments holds the newest known assignment of each service. While the store's era has
	// none yet, it is the last one of an earlier era.
	Assignments map[mtid.Service]Assignment
	// Former holds, for each service, the last assignment of the era before that of Assignments.
	Former map[mtid.Service]Assignment
	// EraSince is when this daemon first knew of the store's era, by the steady clock. Whatever
	// was lost with the era before was written earlier.
	EraSince mtclock.Instant
	// FormerRevision is the revision up to which the copy was complete at the end of the last era
	// that it has seen; zero if it has seen one only.
	FormerRevision mtid.Revision
	// Seals holds the seals of the store's era, by service, and Unowned what is known of the eras just
	// before it.
	Seals   map[mtid.Service]mtseal.Observed
	Unowned map[mtid.Service]mtseal.History
	// InvalidRecords contains the daemons under whose names there is an entry that no
	// daemon wrote, if no valid record of them is known. Such an entry identifies no
	// usable server, and it does not prove that a server has terminated.
	InvalidRecords map[mtid.Daemon]bool
	// Strangers contains those names of InvalidRecords under which no daemon has written since: there is no registration
	// in the store's era, or its record has been absent since it was registered. So no daemon grants keys under them.
	Strangers map[mtid.Daemon]Stranger
	// Registrations holds the versions of the daemons' registrations in the store's era. It is
	// complete up to Revision.
	Registrations map[mtid.Daemon]mtid.Version
	// OutOfService contains the availability zones that the operators have taken out of
	// service. It is complete up to Revision, and may be newer.
	OutOfService mtzone.OutOfService
	// Revision is the store revision up to which the copy is complete; zero if nothing
	// has been read yet.
	Revision mtid.Revision
	// MembershipVersion counts the changes of Members, InvalidRecords and
	// OutOfService. Values that are derived only from these need not be recomputed
	// after each move of a key.
	MembershipVersion uint64
	newestVersion     mtid.Version // of all members and assignments
}

// Stranger is an entry that no daemon wrote, under a name whose daemon has no record.
type Stranger struct {
	Version mtid.Version
	Since   mtclock.Instant // it has been known, or its daemon's record absent, by the steady clock
}

// Era returns the era of the store that the copy is from.
func (v *View) Era() mtid.Era { return v.Revision.Era() }

// RevisionIn returns the revision up to which the copy was complete in an era, or zero if it is
// not known.
func (v *View) RevisionIn(era mtid.Era) mtid.Revision {
	for _, revision := range []mtid.Revision{v.Revision, v.FormerRevision} {
		if revision.Era() == era {
			return revision
		}
	}
	return 0
}

// Serving returns the members whose servers accept new work for a service, in zones
// that are in service.
func (v *View) Serving(service mtid.Service) []Member {
	var serving []Member
	for _, m := range v.Members {
		if m.Service == service && m.AcceptsWork() && !m.Expired && !v.OutOfService.Has(m.Zone) {
			serving = append(serving, m)
		}
	}
	return serving
}

// newestVersion returns the highest version of all members and assignments in a view.
func newestVersion(v *View) mtid.Version {
	var newest mtid.Version
	for _, m := range v.Members {
		newest = max(newest, m.Version)
	}
	for _, a := range v.Assignments {
		newest = max(newest, a.Version)
	}
	return newest
}
