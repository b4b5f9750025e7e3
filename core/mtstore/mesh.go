package mtstore

import (
	"strconv"
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
)

// Prefixes of the names that daemons without witnesses use. Below BackendPrefix are
// the records of backend servers, written under leases. Below RangePrefix are the
// assignments of numbered keys. Below ZonePrefix is one entry for each availability
// zone that is out of service; only operators write it, and it exists for as long as
// the zone is out of service. Below LossPrefix is one entry for each recent loss of a backend
// server, under a lease that nobody renews. Below RegistrationPrefix is one entry for each daemon,
// written without a lease whenever its record is created. Below SealPrefix is one entry for each service
// with numbered keys and era of the store in which keys had no owner.
const (
	BackendPrefix      = LivePrefix + "backend/"
	RangePrefix        = LivePrefix + "range/"
	ZonePrefix         = LivePrefix + "zone/"
	LossPrefix         = LivePrefix + "loss/"
	RegistrationPrefix = LivePrefix + "registration/"
	SealPrefix         = LivePrefix + "seal/"
)

// BackendName returns the name, in an era of the store, of the record of the backend server that
// runs on the VM of a daemon.
//
// Records and assignments have other names in each era. After the store has come back from an
// older copy, a write that was sent before may still be executed, and its condition may hold by
// accident, since versions are given out again. Under a name of an earlier era it does no harm.
func BackendName(era mtid.Era, d mtid.Daemon) string {
	return BackendPrefix + eraPart(era) + string(d)
}

// RangeName returns the name, in an era of the store, of the assignment of a service with
// numbered keys.
func RangeName(era mtid.Era, s mtid.Service) string {
	return RangePrefix + eraPart(era) + string(s)
}

// SealName returns the name of the seal of an era of the store for a service (see package mtseal).
func SealName(era mtid.Era, s mtid.Service) string {
	return SealPrefix + eraPart(era) + string(s)
}

// SplitSealName returns the era and the service of the name of a seal, or false for another name.
func SplitSealName(name string) (mtid.Era, mtid.Service, bool) {
	era, service, ok := splitName(name, SealPrefix)
	return era, mtid.Service(service), ok
}

func eraPart(era mtid.Era) string { return strconv.FormatUint(uint64(era), 10) + "/" }

// RegistrationName returns the name, in an era of the store, of the registration of a daemon. Its
// version shows when the daemon's record was created last, also once the record has expired.
//
// A write that demands that a record is absent may be executed seconds after it was sent, when the
// record has been present and is absent again. On condition that the registration has not changed,
// it is not.
func RegistrationName(era mtid.Era, d mtid.Daemon) string {
	return RegistrationPrefix + eraPart(era) + string(d)
}

// SplitRegistrationName returns the era and the daemon of the name of a registration, or false for
// another name.
func SplitRegistrationName(name string) (mtid.Era, mtid.Daemon, bool) {
	era, daemon, ok := splitName(name, RegistrationPrefix)
	return era, mtid.Daemon(daemon), ok
}

// SplitBackendName returns the era and the daemon of the name of a record, or false for another
// name.
func SplitBackendName(name string) (mtid.Era, mtid.Daemon, bool) {
	era, daemon, ok := splitName(name, BackendPrefix)
	return era, mtid.Daemon(daemon), ok
}

// SplitRangeName returns the era and the service of the name of an assignment, or false for
// another name.
func SplitRangeName(name string) (mtid.Era, mtid.Service, bool) {
	era, service, ok := splitName(name, RangePrefix)
	return era, mtid.Service(service), ok
}

// splitName returns the era and the rest of a name, or false if no daemon writes under it. There is
// one name for each era and rest: "00/maps" is not the one of "0/maps".
func splitName(name, prefix string) (mtid.Era, string, bool) {
	inEra, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, "", false
	}
	number, rest, _ := strings.Cut(inEra, "/")
	era, err := strconv.ParseUint(number, 10, 32)
	if err != nil || mtid.Era(era) > mtid.MaxEra || rest == "" || eraPart(mtid.Era(era))+rest != inEra {
		return 0, "", false
	}
	return mtid.Era(era), rest, true
}

// ZoneName returns the name of the entry that takes an availability zone out of
// service.
func ZoneName(z mtid.Zone) string { return ZonePrefix + string(z) }

// LossName returns the name of the entry about the loss of a backend server.
func LossName(l mtpoison.LossID) string { return LossPrefix + l.String() }
