package mtdaemon

import (
	"context"
	"expvar"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtmember"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtplanner"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mttime"
)

// statsInterval is how often the statistics of the services are updated.
const statsInterval = time.Second

// serviceStats holds a meter for each service that has an assignment, and the rate
// at which the backend server of this daemon completes requests.
type serviceStats struct {
	mu     sync.Mutex
	meters map[mtid.Ref]*mtmetric.Meter
	rates  map[mtid.Ref]rate
	loads  map[mtid.Ref]plannedLoads
}

// plannedLoads holds the load of each holder of a service, as a fraction of its
// slots, in the last planning round. Only the daemon that plans for the service
// has them.
type plannedLoads struct {
	at    mtclock.Instant
	loads map[mtid.Holder]float64
}

// plannedLoadsMaxAge is the age up to which loads are reported: four planning
// rounds. If they are older, another daemon plans for the service now.
const plannedLoadsMaxAge = 4 * mtplanner.RoundInterval

// setPlannedLoads stores the loads on which a planning round was based.
func (f *serviceStats) setPlannedLoads(now mtclock.Instant, ref mtid.Ref, state *mtplan.State) {
	loads := make(map[mtid.Holder]float64, len(state.Servers))
	for _, shard := range state.Shards {
		if shard.Owner < 0 {
			continue
		}
		server := &state.Servers[shard.Owner]
		loads[server.Holder] += shard.Load / max(1, server.Slots)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[ref] = plannedLoads{at: now, loads: loads}
}

// load returns a function that looks up the load of a holder and reports whether
// it is known.
func (f *serviceStats) load(now mtclock.Instant, ref mtid.Ref) func(mtid.Holder) (float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	planned, ok := f.loads[ref]
	if !ok || now.Sub(planned.at) > plannedLoadsMaxAge {
		return func(mtid.Holder) (float64, bool) { return 0, false }
	}
	return func(h mtid.Holder) (float64, bool) {
		v, known := planned.loads[h]
		return v, known
	}
}

// rate is the increase of a counter per second between its last two samples.
type rate struct {
	count     uint64
	at        mtclock.Instant
	perSecond float64
}

// updateRate updates the rate of a service from the number of requests completed
// so far. The rate is 0 if the counter was reset.
func (f *serviceStats) updateRate(ref mtid.Ref, now mtclock.Instant, count uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, ok := f.rates[ref]
	next := rate{count: count, at: now}
	if elapsed := now.Sub(before.at); ok && elapsed > 0 && count >= before.count {
		next.perSecond = float64(count-before.count) / elapsed.Seconds()
	}
	f.rates[ref] = next
}

// rate returns how many requests of a service this daemon completes per second.
func (f *serviceStats) rate(ref mtid.Ref) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates[ref].perSecond
}

// All returns the current statistics of every service.
func (f *serviceStats) All() map[mtid.Ref]mtmetric.ServiceStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[mtid.Ref]mtmetric.ServiceStats, len(f.meters))
	for ref, meter := range f.meters {
		out[ref] = meter.Stats()
	}
	return out
}

func (f *serviceStats) meter(ref mtid.Ref) *mtmetric.Meter {
	f.mu.Lock()
	defer f.mu.Unlock()
	meter, ok := f.meters[ref]
	if !ok {
		meter = mtmetric.NewMeter()
		f.meters[ref] = meter
	}
	return meter
}

// addServiceStats starts the background task that computes the statistics of all
// services from this daemon's copy of the live state.
func (d *Daemon) addServiceStats() error {
	f := &serviceStats{
		meters: make(map[mtid.Ref]*mtmetric.Meter),
		rates:  make(map[mtid.Ref]rate),
		loads:  make(map[mtid.Ref]plannedLoads),
	}
	mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Gauge("figures", "services", func() any {
		out := make(map[string]mtmetric.ServiceStats)
		for ref, figure := range f.All() {
			out[ref.String()] = figure
		}
		return out
	})
	return mtkernel.Register(d.kernel, NameServiceStats, f, mtduty.Every(statsInterval, func(context.Context) { d.measure(f) }))
}

// varsProvider is implemented by services that maintain their own expvar counters.
type varsProvider interface{ Vars() *expvar.Map }

// publishMetrics adds the counters and gauges of the other services to the
// metrics. It must be called after they are registered.
func (d *Daemon) publishMetrics() {
	metrics := mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics)
	metrics.Publish("renew", mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).Vars())
	metrics.Publish("member", mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Vars())
	if store, ok := mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore).(varsProvider); ok {
		metrics.Publish("store", store.Vars())
	}
	metrics.Gauge("lease", "leftNs", d.leaseRemaining)
	metrics.Gauge("view", "frontier", func() any { return mtkernel.MustLookup[*mtview.View](d.kernel, NameView).Snapshot().Frontier() })
	metrics.Gauge("owner", "gates", d.gates)
	if keys := mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).tls; keys != nil {
		wall := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Wall
		metrics.Gauge("keys", "secondsLeft", func() any { return int64(keys.Expires().Sub(wall()).Seconds()) })
	}
}

// leaseRemaining returns the remaining time of this daemon's lease; it is negative
// if the lease has expired.
func (d *Daemon) leaseRemaining() any {
	return mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).Until().Sub(mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Now())
}

// gateCounts holds the counters of one service's gate.
type gateCounts struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (d *Daemon) gates() any {
	out := make(map[string]gateCounts)
	owner := mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner)
	for _, a := range mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Announcements() {
		ref := mtid.Ref{Business: a.Business, Service: a.Service}
		counts := owner.Counts(ref)
		out[ref.String()] = gateCounts{Slots: a.Slots, Running: counts.Running, Waiting: counts.Waiting}
	}
	return out
}

// measure updates the statistics of every service and the completion rates of
// the services that the local backend server has announced.
func (d *Daemon) measure(f *serviceStats) {
	snapshot := mtkernel.MustLookup[*mtview.View](d.kernel, NameView).Snapshot()
	now := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Now()
	live := func(h mtid.Holder) bool {
		record, _, ok := snapshot.Record(h.Daemon)
		return ok && record.Holder == h && record.MayHoldLease()
	}
	for _, ref := range snapshot.Services() {
		f.meter(ref).Observe(now, snapshot.Tables(ref), live, f.load(now, ref))
	}
	owner := mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner)
	for _, a := range mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Announcements() {
		ref := mtid.Ref{Business: a.Business, Service: a.Service}
		var ended uint64
		for _, flow := range owner.Counts(ref).Flows {
			ended += flow.Ended
		}
		f.updateRate(ref, now, ended)
	}
}
