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

// Meters returns the load meters of this daemon, to which the gates add each request.
type Meters interface {
	// Meter returns the meter of a service, or nil if there is none.
	Meter(ref mtid.Ref) *mtload.Meter
}

// ReportSender sends load reports to other daemons.
type ReportSender interface {
	// Report sends a report and returns the reply.
	Report(ctx context.Context, to mtid.Holder, report *mtwire.LoadReport) (*mtwire.LoadReply, error)
}

// The interval and timeout of reports.
const (
	// measureInterval is the default interval at which the load is checked.
	measureInterval = time.Second
	// reportTimeout is the timeout of a report.
	reportTimeout = 2 * time.Second
)

// reporter sends the load of this daemon's shards to the leader of each service.
type reporter struct {
	config     Config
	view       View
	meters     Meters
	sender     ReportSender
	local      *Planner
	schedulers map[mtid.Ref]*mtload.ReportScheduler
}

// NewReporter starts to report the load of this daemon's shards to the leader of each
// service, through sender or, if this daemon is the leader, directly to local. It
// returns a function that stops this. It fails with a *ConfigError.
func NewReporter(config Config, view View, meters Meters, sender ReportSender, local *Planner) (func(), error) {
	if err := checkConfig(config); err != nil {
		return nil, err
	}
	r := &reporter{config: config, view: view, meters: meters, sender: sender, local: local, schedulers: make(map[mtid.Ref]*mtload.ReportScheduler)}
	tick := config.TickInterval
	if tick == 0 {
		tick = measureInterval
	}
	return mtduty.Every(tick, r.tick), nil
}

// tick checks every keyed service.
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
			r.reportService(ctx, self, ref, liveMembers(roster, ref))
		}
	}
}

// reportService computes the load of this daemon's shards of a service and sends a
// report if one is due.
func (r *reporter) reportService(ctx context.Context, self mtid.Holder, ref mtid.Ref, servers []*mtroster.Record) {
	meter := r.meters.Meter(ref)
	slots, ok := slotsOf(self, ref, servers)
	if meter == nil || !ok {
		delete(r.schedulers, ref)
		return
	}
	scheduler, ok := r.schedulers[ref]
	if !ok {
		scheduler = &mtload.ReportScheduler{}
		r.schedulers[ref] = scheduler
	}
	now := r.config.Now()
	report := meter.Report(now, self, ref, func(low mtid.Point) bool { return r.owns(self, ref, low) })
	leader := mtplan.Leader(ref, leaderCandidates(servers))
	load := report.Load / slots
	scheduler.SetShards(r.shardsFingerprint(self, ref))
	if !scheduler.Due(now, self, leader, load, mtload.SpreadTime(len(servers))) {
		return
	}
	scheduler.Sent(now, load)
	r.send(ctx, scheduler, leader, self, report)
}

// send sends a report and passes the reply to the scheduler. If there is no reply, or
// the receiver is not the leader, the scheduler lets the report be sent again.
func (r *reporter) send(ctx context.Context, scheduler *mtload.ReportScheduler, leader, self mtid.Holder, report *mtload.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply *mtwire.LoadReply
	var err error
	if leader == self {
		reply, err = r.local.Report(ctx, report.Wire())
	} else {
		reply, err = r.sender.Report(ctx, leader, report.Wire())
	}
	if err != nil {
		r.config.Log.Debug("load report failed", "service", report.Service, "leader", leader, "error", err)
		return
	}
	if parsed, ok := mtload.ReadReply(reply); ok {
		scheduler.ReplyReceived(parsed.Mean, parsed.Pause, parsed.Again)
	}
}

// owns reports whether a shard that this daemon owns begins at low.
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

// shardsFingerprint returns a fingerprint of the set of shards that this daemon owns.
func (r *reporter) shardsFingerprint(self mtid.Holder, ref mtid.Ref) uint64 {
	var fingerprint uint64
	for chunk := 0; ; chunk++ {
		table, ok := r.view.Table(ref, chunk)
		if !ok {
			return fingerprint
		}
		for i := range table.Shards {
			if table.Shards[i].Owner == self {
				fingerprint ^= uint64(table.Shards[i].Low)
			}
		}
	}
}

// slotsOf returns the number of slots of this daemon's server, at least 1, or false if
// the daemon does not offer the service.
func slotsOf(self mtid.Holder, ref mtid.Ref, servers []*mtroster.Record) (float64, bool) {
	for _, record := range servers {
		if record.Holder == self {
			offer, _ := record.Offer(ref)
			return float64(max(1, offer.Slots)), true
		}
	}
	return 0, false
}
