package mttakeover

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

// Stagger is the delay between the starts of a takeover by successive daemons in
// rank order. The first has usually finished by the time the second would start;
// if the first is lost too, the second proceeds. Starting all at once would also
// be safe, but cost three times the writes.
const Stagger = 150 * time.Millisecond

// maxClaimants is how many daemons at most attempt the same takeover or failover.
const maxClaimants = 3

// Roster holds the newest known record of each daemon.
type Roster map[mtid.Daemon]*mtroster.Record

// Fenced reports whether h can never serve again. A daemon without a record does
// not count as fenced: its record may not have arrived here yet.
func (r Roster) Fenced(h mtid.Holder) bool {
	record, ok := r[h.Daemon]
	if !ok {
		return false
	}
	return h.Incarnation < record.RevokedBelow || (record.State == mtroster.Gone && h.Incarnation <= record.Holder.Incarnation)
}

// live reports whether h is its daemon's current incarnation and may hold a lease.
func (r Roster) live(h mtid.Holder) bool {
	record, ok := r[h.Daemon]
	return ok && record.MayHoldLease() && record.Holder == h
}

// StartDelay returns how long self delays the takeover of record's daemon once
// it is permitted, or false if self does not attempt it. The claimants are the
// live witnesses that the record names, in the order of their rendezvous rank;
// if none of them is live, the highest-ranked of all live daemons.
func StartDelay(self mtid.Daemon, record *mtroster.Record, roster Roster) (time.Duration, bool) {
	var claimants []mtid.Daemon
	for _, w := range record.Witnesses {
		// A later incarnation of the witness counts too: it also notices that the
		// lost daemon no longer requests renewals from it.
		if other, ok := roster[w.Daemon]; ok && other.MayHoldLease() {
			claimants = append(claimants, w.Daemon)
		}
	}
	if len(claimants) == 0 {
		for d, other := range roster {
			if other.MayHoldLease() && d != record.Holder.Daemon {
				claimants = append(claimants, d)
			}
		}
	}
	return staggered(self, mtid.Point(mtid.Rank(record.Holder.Daemon, 0)), claimants)
}

// FailoverDelay returns how long self delays the failover of table's chunk once
// it is due, or false if self does not attempt it. The claimants are the
// highest-ranked live daemons.
func FailoverDelay(self mtid.Daemon, table *mtshard.Table, roster Roster) (time.Duration, bool) {
	var claimants []mtid.Daemon
	for d, record := range roster {
		if record.MayHoldLease() {
			claimants = append(claimants, d)
		}
	}
	return staggered(self, table.Service.Point("")+mtshard.ChunkLow(table.Chunk, table.Chunks), claimants)
}

// staggered returns the delay of self according to its rank at p among the given
// daemons, or false if its rank is too low to take part.
func staggered(self mtid.Daemon, p mtid.Point, daemons []mtid.Daemon) (time.Duration, bool) {
	slices.SortFunc(daemons, func(a, b mtid.Daemon) int {
		return cmp.Or(cmp.Compare(mtid.Rank(b, p), mtid.Rank(a, p)), cmp.Compare(a, b))
	})
	i := slices.Index(daemons, self)
	if i < 0 || i >= maxClaimants {
		return 0, false
	}
	return time.Duration(i) * Stagger, true
}

// Failover returns the op that assigns the shards of all fenced owners in table
// to some of the live daemons that offer the service, selected by their rank for
// the chunk (see mtshard.Table.Survivors). It returns false if no owner is fenced,
// or if no daemon can take over: the shards then stay unserved until one can.
func Failover(table *mtshard.Table, roster Roster) (mtshard.Failover, bool) {
	var op mtshard.Failover
	for _, s := range table.Shards {
		if roster.Fenced(s.Owner) && !slices.Contains(op.Lost, s.Owner) {
			op.Lost = append(op.Lost, s.Owner)
		}
	}
	if len(op.Lost) == 0 {
		return op, false
	}
	for _, record := range roster {
		_, offers := record.Offer(table.Service)
		if offers && record.State == mtroster.Serving && roster.live(record.Holder) {
			op.Survivors = append(op.Survivors, record.Holder)
		}
	}
	op.Survivors = table.Survivors(op.Survivors)
	slices.SortFunc(op.Lost, mtid.Holder.Compare)
	return op, len(op.Survivors) > 0
}
