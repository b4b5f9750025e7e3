package mtdirectory

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtzone"
)

// View is an immutable snapshot of the copy.
type View struct {
	Members     map[mtid.Daemon]Member
	Assignments map[mtid.Service]Assignment
	// InvalidRecords contains the daemons under whose names there is an entry that no
	// daemon wrote, if no valid record of them is known. Such an entry identifies no
	// usable server, and it does not prove that a server has terminated.
	InvalidRecords map[mtid.Daemon]bool
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
