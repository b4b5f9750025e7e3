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

// figuresEvery is how often the figures of the services are brought up to date.
const figuresEvery = time.Second

// figures keeps a meter for each service that has an assignment, and the rate
// at which the backend server beside this daemon ends requests.
type figures struct {
	mu     sync.Mutex
	meters map[mtid.Ref]*mtmetric.Meter
	rates  map[mtid.Ref]rate
	loads  map[mtid.Ref]seenLoads
}

// seenLoads are the loads of a service's holders, in shares of their slots, as
// the planner saw them. Only the daemon that plans for the service has them.
type seenLoads struct {
	at    mtclock.Instant
	loads map[mtid.Holder]float64
}

// seenLife is how long such loads are shown: a few rounds of planning. After
// it another daemon plans for the service.
const seenLife = 4 * mtplanner.RoundInterval

// planned takes in what a round of planning was decided from.
func (f *figures) planned(now mtclock.Instant, ref mtid.Ref, state *mtplan.State) {
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
	f.loads[ref] = seenLoads{at: now, loads: loads}
}

// load returns what is known of the holders' loads.
func (f *figures) load(now mtclock.Instant, ref mtid.Ref) func(mtid.Holder) (float64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, ok := f.loads[ref]
	if !ok || now.Sub(seen.at) > seenLife {
		return func(mtid.Holder) (float64, bool) { return 0, false }
	}
	return func(h mtid.Holder) (float64, bool) {
		v, known := seen.loads[h]
		return v, known
	}
}

// rate is how fast a counter grew between the last two looks at it.
type rate struct {
	count     uint64
	at        mtclock.Instant
	perSecond float64
}

// see takes in a counter of a service.
func (f *figures) see(ref mtid.Ref, now mtclock.Instant, count uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before, ok := f.rates[ref]
	next := rate{count: count, at: now}
	if passed := now.Sub(before.at); ok && passed > 0 && count >= before.count {
		next.perSecond = float64(count-before.count) / passed.Seconds()
	}
	f.rates[ref] = next
}

// rate returns how many requests of a service end here in a second.
func (f *figures) rate(ref mtid.Ref) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rates[ref].perSecond
}

// All returns the present figures of every service.
func (f *figures) All() map[mtid.Ref]mtmetric.Figures {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[mtid.Ref]mtmetric.Figures, len(f.meters))
	for ref, meter := range f.meters {
		out[ref] = meter.Figures()
	}
	return out
}

func (f *figures) meter(ref mtid.Ref) *mtmetric.Meter {
	f.mu.Lock()
	defer f.mu.Unlock()
	meter, ok := f.meters[ref]
	if !ok {
		meter = mtmetric.NewMeter()
		f.meters[ref] = meter
	}
	return meter
}

// addFigures starts the duty that measures the services as this daemon sees
// them.
func (d *Daemon) addFigures() error {
	f := &figures{
		meters: make(map[mtid.Ref]*mtmetric.Meter),
		rates:  make(map[mtid.Ref]rate),
		loads:  make(map[mtid.Ref]seenLoads),
	}
	mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Gauge("figures", "services", func() any {
		out := make(map[string]mtmetric.Figures)
		for ref, figure := range f.All() {
			out[ref.String()] = figure
		}
		return out
	})
	return mtkernel.Register(d.kernel, NameFigures, f, mtduty.Every(figuresEvery, func(context.Context) { d.measure(f) }))
}

// vars is a service that has counters of its own.
type vars interface{ Vars() *expvar.Map }

// publish shows the counters of the duties that keep their own. It is called
// once all of them are registered.
func (d *Daemon) publish() {
	metrics := mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics)
	metrics.Publish("renew", mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).Vars())
	metrics.Publish("member", mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Vars())
	if store, ok := mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore).(vars); ok {
		metrics.Publish("store", store.Vars())
	}
	metrics.Gauge("lease", "leftNs", d.leaseLeft)
	metrics.Gauge("view", "frontier", func() any { return mtkernel.MustLookup[*mtview.View](d.kernel, NameView).Snapshot().Frontier() })
	metrics.Gauge("owner", "gates", d.gates)
	if keys := mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).tls; keys != nil {
		wall := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Wall
		metrics.Gauge("keys", "secondsLeft", func() any { return int64(keys.Expires().Sub(wall()).Seconds()) })
	}
}

// leaseLeft returns for how long this daemon may still serve, negative if it
// may not.
func (d *Daemon) leaseLeft() any {
	return mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).Until().Sub(mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Now())
}

// gateFigures are the counters of one service's gate.
type gateFigures struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (d *Daemon) gates() any {
	out := make(map[string]gateFigures)
	owner := mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner)
	for _, a := range mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Announcements() {
		ref := mtid.Ref{Business: a.Business, Service: a.Service}
		counts := owner.Counts(ref)
		out[ref.String()] = gateFigures{Slots: a.Slots, Running: counts.Running, Waiting: counts.Waiting}
	}
	return out
}

// measure looks at every service once.
func (d *Daemon) measure(f *figures) {
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
		f.see(ref, now, ended)
	}
}
