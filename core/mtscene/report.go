package mtscene

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtshard"
)

// deliverReports adds the reports that have arrived to the load estimates.
func (r *run[P]) deliverReports() {
	for len(r.reports) > 0 && r.reports[0].at <= r.at {
		report := r.reports[0].report
		r.reports = r.reports[1:]
		needsAnother := r.estimates.AddReport(r.now(), report, r.owned(report.From))
		server := r.serverIndex[report.From]
		load := report.Load / r.slots(server)
		pause := r.throttle.Arrived(r.now(), load > r.mean*(1+mtload.Band))
		r.schedulers[server].ReplyReceived(r.mean, pause, needsAnother)
	}
}

func (r *run[P]) owned(holder mtid.Holder) []mtshard.Shard {
	var found []mtshard.Shard
	for _, s := range r.shardLoads {
		if s.shard.Owner == holder {
			found = append(found, s.shard)
		}
	}
	return found
}

// sendReports sends a load report for each server whose schedule requires one.
func (r *run[P]) sendReports() {
	byServer := make([][]ownedLoad, len(r.scenario.Servers))
	for _, s := range r.shardLoads {
		if i, ok := r.serverIndex[s.shard.Owner]; ok {
			byServer[i] = append(byServer[i], s)
		}
	}
	for i := range r.scenario.Servers {
		if r.states[i] != serving && r.states[i] != leaving {
			continue
		}
		load := r.reportedLoad(i, byServer[i]) / r.slots(i)
		r.schedulers[i].SetShards(shardSetHash(byServer[i]))
		if !r.schedulers[i].Due(r.now(), r.holder(i), r.holder(0), load, mtload.SpreadTime(len(r.scenario.Servers))) {
			continue
		}
		r.schedulers[i].Sent(r.now(), load)
		report := r.buildReport(i, byServer[i])
		r.reports = append(r.reports, delivery{at: r.at + r.scenario.Faults.ReportDelay, report: report})
		r.totals.perMinute[int(r.at/time.Minute)] += reportBytes(report)
	}
}

// shardSetHash returns a hash of the set of shards.
func shardSetHash(shards []ownedLoad) uint64 {
	var lows uint64
	for _, s := range shards {
		lows ^= uint64(s.shard.Low)
	}
	return lows
}

// reportBytes returns the size on the wire of a report, including headers.
func reportBytes(report *mtload.Report) float64 {
	return float64(proto.Size(report.Wire()) + mtload.ReportHeaders)
}

// isFrozen reports whether a server repeats its last report at present.
func (r *run[P]) isFrozen(server int) bool {
	frozen := r.scenario.Faults.Frozen
	return frozen != nil && frozen(server, r.at) && r.lastReports[server] != nil
}

// loadFactor returns the factor by which a server's reports scale its load.
func (r *run[P]) loadFactor(server int) float64 {
	if r.scenario.Faults.LoadFactor == nil {
		return 1
	}
	return r.scenario.Faults.LoadFactor(server)
}

// reportedLoad returns the total load that a server would report at present.
func (r *run[P]) reportedLoad(server int, shards []ownedLoad) float64 {
	if r.isFrozen(server) {
		return r.lastReports[server].Load
	}
	short, long := 0.0, 0.0
	for _, s := range shards {
		short += s.short
		long += s.long
	}
	return r.smoothedLoad(short, long) * r.loadFactor(server)
}

// buildReport returns a server's load report, subject to the faults of the
// scenario.
func (r *run[P]) buildReport(server int, shards []ownedLoad) *mtload.Report {
	if r.isFrozen(server) {
		return r.lastReports[server]
	}
	loadFactor := r.loadFactor(server)
	r.sequence[server]++
	report := &mtload.Report{From: r.holder(server), Service: r.scenario.Ref, Sequence: r.sequence[server]}
	sum := 0.0
	for _, s := range shards {
		load := r.smoothedLoad(s.short, s.long) * loadFactor
		sum += load
		report.Shards = append(report.Shards, mtload.ShardLoad{Low: s.shard.Low, Load: load})
		report.Points = r.appendHotKeys(report.Points, s, loadFactor)
	}
	report.Load = r.reportedLoad(server, shards)
	report.Shards = mtload.ScaleLoads(report.Shards, report.Load, sum)
	report.Shards, report.Points = mtload.Truncate(report.Shards, report.Points)
	r.lastReports[server] = report
	return report
}

// appendHotKeys appends the keys of a shard that are hot enough for the meter's
// sketch to find.
func (r *run[P]) appendHotKeys(points []mtload.PointLoad, s ownedLoad, loadFactor float64) []mtload.PointLoad {
	const visible = 0.02 // in slots; the least load that the sketch finds
	if s.short < visible {
		return points
	}
	high, _ := r.tables[s.chunk].High(s.shard.Low)
	first, _ := slices.BinarySearch(r.scenario.Keys, s.shard.Low)
	for k := first; k < len(r.scenario.Keys) && r.scenario.Keys[k] <= high; k++ {
		if r.short.measured[k] >= visible {
			points = append(points, mtload.PointLoad{Point: r.scenario.Keys[k], Load: r.short.measured[k] * loadFactor})
		}
	}
	return points
}
