package mtscene

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtshard"
)

// deliver hands the reports that have arrived to the book.
func (r *run[P]) deliver() {
	for len(r.reports) > 0 && r.reports[0].at <= r.at {
		report := r.reports[0].report
		r.reports = r.reports[1:]
		again := r.book.AddReport(r.now(), report, r.owned(report.From))
		server := r.places[report.From]
		load := report.Load / r.slots(server)
		pause := r.throttle.Arrived(r.now(), load > r.mean*(1+mtload.Band))
		r.paces[server].ReplyReceived(r.mean, pause, again)
	}
}

func (r *run[P]) owned(holder mtid.Holder) []mtshard.Shard {
	var found []mtshard.Shard
	for _, s := range r.table {
		if s.shard.Owner == holder {
			found = append(found, s.shard)
		}
	}
	return found
}

// report lets each server's daemon report if it is due.
func (r *run[P]) report() {
	byServer := make([][]ownedLoad, len(r.scene.Servers))
	for _, s := range r.table {
		if i, ok := r.places[s.shard.Owner]; ok {
			byServer[i] = append(byServer[i], s)
		}
	}
	for i := range r.scene.Servers {
		if r.lives[i] != serving && r.lives[i] != leaving {
			continue
		}
		load := r.claimed(i, byServer[i]) / r.slots(i)
		r.paces[i].SetShards(mark(byServer[i]))
		if !r.paces[i].Due(r.now(), r.holder(i), r.holder(0), load, mtload.SpreadTime(len(r.scene.Servers))) {
			continue
		}
		r.paces[i].Sent(r.now(), load)
		report := r.measured(i, byServer[i])
		r.reports = append(r.reports, delivery{at: r.at + r.scene.Faults.Late, report: report})
		r.totals.perMinute[int(r.at/time.Minute)] += reportBytes(report)
	}
}

// mark returns a number that differs when the shards do.
func mark(shards []ownedLoad) uint64 {
	var lows uint64
	for _, s := range shards {
		lows ^= uint64(s.shard.Low)
	}
	return lows
}

// reportBytes returns what a report costs the planner's daemon on the wire.
func reportBytes(report *mtload.Report) float64 {
	return float64(proto.Size(report.Wire()) + mtload.ReportHeaders)
}

// isFrozen reports whether a server repeats an old report.
func (r *run[P]) isFrozen(server int) bool {
	frozen := r.scene.Faults.Frozen
	return frozen != nil && frozen(server, r.at) && r.frozen[server] != nil
}

// factor returns what a server's reports multiply its load by.
func (r *run[P]) factor(server int) float64 {
	if r.scene.Faults.Lies == nil {
		return 1
	}
	return r.scene.Faults.Lies(server)
}

// claimed returns the load that a server's report would state.
func (r *run[P]) claimed(server int, shards []ownedLoad) float64 {
	if r.isFrozen(server) {
		return r.frozen[server].Load
	}
	short, long := 0.0, 0.0
	for _, s := range shards {
		short += s.seen
		long += s.slow
	}
	return r.steady(short, long) * r.factor(server)
}

// measured returns a server's report, with the faults of the scene.
func (r *run[P]) measured(server int, shards []ownedLoad) *mtload.Report {
	if r.isFrozen(server) {
		return r.frozen[server]
	}
	factor := r.factor(server)
	r.sequence[server]++
	report := &mtload.Report{From: r.holder(server), Service: r.scene.Ref, Sequence: r.sequence[server]}
	sum := 0.0
	for _, s := range shards {
		load := r.steady(s.seen, s.slow) * factor
		sum += load
		report.Shards = append(report.Shards, mtload.ShardLoad{Low: s.shard.Low, Load: load})
		report.Points = r.hottest(report.Points, s, factor)
	}
	report.Load = r.claimed(server, shards)
	report.Shards = mtload.ScaleLoads(report.Shards, report.Load, sum)
	report.Shards, report.Points = mtload.Truncate(report.Shards, report.Points)
	r.frozen[server] = report
	return report
}

// hottest adds the keys of a shard that a sketch would find.
func (r *run[P]) hottest(points []mtload.PointLoad, s ownedLoad, factor float64) []mtload.PointLoad {
	const visible = 0.02 // slots
	if s.seen < visible {
		return points
	}
	high, _ := r.tables[s.chunk].High(s.shard.Low)
	first, _ := slices.BinarySearch(r.scene.Keys, s.shard.Low)
	for k := first; k < len(r.scene.Keys) && r.scene.Keys[k] <= high; k++ {
		if r.short.seen[k] >= visible {
			points = append(points, mtload.PointLoad{Point: r.scene.Keys[k], Load: r.short.seen[k] * factor})
		}
	}
	return points
}
