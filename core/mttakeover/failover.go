package mttakeover

import (
	"cmp"
	"slices"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
)

// Stagger is how much later each next daemon in rank starts a takeover. The
// first is usually done by then; if it is lost too, the next takes over from
// it. All at once would be safe as well, but cost three times the writes.
const Stagger = 150 * time.Millisecond

// helpers is how many daemons stand ready for one matter.
const helpers = 3

// Roster is what is known of the daemons: the newest record of each.
type Roster map[mtid.Daemon]*mtroster.Record

// Fenced reports whether h can never serve again. A daemon without a record
// isn't: the record may just not be known here yet.
func (r Roster) Fenced(h mtid.Holder) bool {
	record, ok := r[h.Daemon]
	if !ok {
		return false
	}
	return h.Incarnation < record.Revoked || (record.State == mtroster.Gone && h.Incarnation <= record.Holder.Incarnation)
}

// live reports whether the roster names h as a daemon's present life.
func (r Roster) live(h mtid.Holder) bool {
	record, ok := r[h.Daemon]
	return ok && record.Live() && record.Holder == h
}

// Turn returns how long self waits before it takes over the daemon of record,
// after it may, or false if that is for others. It is for the witnesses that
// the record names, by rendezvous rank; where none of them lives any more, for
// the first few of all daemons.
func Turn(self mtid.Daemon, record *mtroster.Record, roster Roster) (time.Duration, bool) {
	var ready []mtid.Daemon
	for _, w := range record.Witnesses {
		// The witness's next life knows as well that it is asked no more.
		if other, ok := roster[w.Daemon]; ok && other.Live() {
			ready = append(ready, w.Daemon)
		}
	}
	if len(ready) == 0 {
		for d, other := range roster {
			if other.Live() && d != record.Holder.Daemon {
				ready = append(ready, d)
			}
		}
	}
	return turn(self, mtid.Point(mtid.Rank(record.Holder.Daemon, 0)), ready)
}

// ChunkTurn returns how long self waits before it writes the failover of a
// chunk, after it sees that one is due, or false if that is for others.
func ChunkTurn(self mtid.Daemon, table *mtshard.Table, roster Roster) (time.Duration, bool) {
	var ready []mtid.Daemon
	for d, record := range roster {
		if record.Live() {
			ready = append(ready, d)
		}
	}
	return turn(self, table.Service.Point("")+mtshard.ChunkLow(table.Chunk, table.Chunks), ready)
}

// turn returns the delay of self by its rank among the daemons.
func turn(self mtid.Daemon, p mtid.Point, among []mtid.Daemon) (time.Duration, bool) {
	slices.SortFunc(among, func(a, b mtid.Daemon) int {
		return cmp.Or(cmp.Compare(mtid.Rank(b, p), mtid.Rank(a, p)), cmp.Compare(a, b))
	})
	i := slices.Index(among, self)
	if i < 0 || i >= helpers {
		return 0, false
	}
	return time.Duration(i) * Stagger, true
}

// Failover returns the op that gives the shards of all fenced owners in table
// to some of the live daemons that offer the service, by their rank for the chunk
// (see mtshard.Table.Survivors). It returns false if no owner is
// fenced, or if no daemon could take over: then the shards wait for one.
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
