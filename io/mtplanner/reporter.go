package mtplanner

import (
	"context"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtduty"
)

// Meters are the gates' counters on this daemon.
type Meters interface {
	// Meter returns the meter of a service, or nil if the daemon has none.
	Meter(ref mtid.Ref) *mtload.Meter
}

// Link carries a report to another daemon.
type Link interface {
	Report(ctx context.Context, to mtid.Holder, report *mtwire.LoadReport) (*mtwire.LoadReply, error)
}

// Times of reporting.
const (
	// measureTime is how often the load is looked at.
	measureTime = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 2 * time.Second
)

// reporter is the duty that reports the load of this daemon's shards.
type reporter struct {
	config Config
	view   View
	meters Meters
	link   Link
	local  *Planner
	paces  map[mtid.Ref]*mtload.ReportScheduler
}

// NewReporter starts the duty that reports the load of this daemon's shards to
// the leader of each service: over link, or to local if the daemon leads
// itself. It fails with a *ConfigError.
func NewReporter(config Config, view View, meters Meters, link Link, local *Planner) (func(), error) {
	if err := check(config); err != nil {
		return nil, err
	}
	r := &reporter{config: config, view: view, meters: meters, link: link, local: local, paces: make(map[mtid.Ref]*mtload.ReportScheduler)}
	tick := config.Tick
	if tick == 0 {
		tick = measureTime
	}
	return mtduty.Every(tick, r.tick), nil
}

// tick looks at every keyed service that this daemon serves.
func (r *reporter) tick(ctx context.Context) {
	self := r.config.Self()
	if self.IsZero() {
		return
	}
	roster := r.view.Roster()
	for _, bundle := range r.view.Bundles() {
		for i := range bundle.Services {
			if bundle.Services[i].Kind != mtbundle.Keyed {
				continue
			}
			ref := mtid.Ref{Business: bundle.Business, Service: bundle.Services[i].Name}
			r.measure(ctx, self, ref, members(roster, ref))
		}
	}
}

// measure reports the load of one service if that is due.
func (r *reporter) measure(ctx context.Context, self mtid.Holder, ref mtid.Ref, servers []*mtroster.Record) {
	meter := r.meters.Meter(ref)
	slots, ok := slotsOf(self, ref, servers)
	if meter == nil || !ok {
		delete(r.paces, ref)
		return
	}
	pace, ok := r.paces[ref]
	if !ok {
		pace = &mtload.ReportScheduler{}
		r.paces[ref] = pace
	}
	now := r.config.Now()
	report := meter.Report(now, self, ref, func(low mtid.Point) bool { return r.owns(self, ref, low) })
	leader := mtplan.Leader(ref, leaders(servers))
	load := report.Load / slots
	pace.SetShards(r.mark(self, ref))
	if !pace.Due(now, self, leader, load, mtload.SpreadTime(len(servers))) {
		return
	}
	pace.Sent(now, load)
	r.send(ctx, pace, leader, self, report)
}

// send sends a report and notes the answer. Without one, or with one from a
// daemon that does not lead, the pace has it sent again.
func (r *reporter) send(ctx context.Context, pace *mtload.ReportScheduler, leader, self mtid.Holder, report *mtload.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply *mtwire.LoadReply
	var err error
	if leader == self {
		reply, err = r.local.Report(ctx, report.Wire())
	} else {
		reply, err = r.link.Report(ctx, leader, report.Wire())
	}
	if err != nil {
		r.config.Log.Debug("load not reported", "service", report.Service, "leader", leader, "error", err)
		return
	}
	if heard, ok := mtload.ReadReply(reply); ok {
		pace.ReplyReceived(heard.Mean, heard.Pause, heard.Again)
	}
}

// owns reports whether a shard of this daemon begins at low.
func (r *reporter) owns(self mtid.Holder, ref mtid.Ref, low mtid.Point) bool {
	first, ok := r.view.Table(ref, 0)
	if !ok {
		return false
	}
	table, ok := r.view.Table(ref, mtshard.ChunkOf(low, first.Chunks))
	if !ok {
		return false
	}
	shard, ok := table.Lookup(low)
	return ok && shard.Low == low && shard.Owner == self
}

// mark returns a number that differs when this daemon's shards do.
func (r *reporter) mark(self mtid.Holder, ref mtid.Ref) uint64 {
	var lows uint64
	for chunk := 0; ; chunk++ {
		table, ok := r.view.Table(ref, chunk)
		if !ok {
			return lows
		}
		for i := range table.Shards {
			if table.Shards[i].Owner == self {
				lows ^= uint64(table.Shards[i].Low)
			}
		}
	}
}

// slotsOf returns the slots of this daemon's server.
func slotsOf(self mtid.Holder, ref mtid.Ref, servers []*mtroster.Record) (float64, bool) {
	for _, record := range servers {
		if record.Holder == self {
			offer, _ := record.Offer(ref)
			return float64(max(1, offer.Slots)), true
		}
	}
	return 0, false
}
