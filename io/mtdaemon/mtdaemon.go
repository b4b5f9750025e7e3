// Package mtdaemon assembles a daemon: it registers the services with the
// micro-kernel in the order of their dependencies, and runs them.
//
// # Usage
//
//	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{Settings: settings, Log: log})
//	defer cleanUp()
//	err = daemon.Run(ctx)
//
// When ctx is done, Run shuts down gracefully: it accepts no new shards, hands
// over all shards, and waits for requests in flight before it returns.
package mtdaemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtmember"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtrelay"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mtrouter"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mtsync"
	"magnoliaturn/io/mttime"
)

// Names under which the services of a daemon are registered with the kernel.
const (
	NameClock   mtkernel.Name = "clock"
	NameStore   mtkernel.Name = "store"
	NameView    mtkernel.Name = "view"
	NameRelay   mtkernel.Name = "relay"
	NameSync    mtkernel.Name = "sync"
	NameServers mtkernel.Name = "servers"
	NameRenew   mtkernel.Name = "renew"
	NameMember  mtkernel.Name = "member"
	NamePoison  mtkernel.Name = "poison"
	NameOwner   mtkernel.Name = "owner"
	NameMover   mtkernel.Name = "mover"
	NameRouter  mtkernel.Name = "router"
	NamePlanner mtkernel.Name = "planner"
	NameKeys    mtkernel.Name = "keys"
	NameMetrics mtkernel.Name = "metrics"
	NameSockets mtkernel.Name = "sockets"

	NameListeners mtkernel.Name = "listeners"
)

const (
	storeTimeout = 2 * time.Second
	// leaveTimeout bounds the handover of shards in a shutdown or drain,
	// finishTimeout the time after it for requests in flight, and recordTimeout the
	// final write of the record.
	leaveTimeout   = 20 * time.Second
	finishTimeout  = 15 * time.Second
	recordTimeout  = 3 * time.Second
	expireInterval = time.Second
)

// Config configures a daemon.
type Config struct {
	Settings *mtsetting.Settings
	// Store replaces the client of Settings.Store in examples and tests that run
	// in one process. If it is nil, the daemon connects to Settings.Store.
	Store mtstore.Store
	Log   *slog.Logger
}

// Daemon is one router process.
type Daemon struct {
	config    Config
	kernel    *mtkernel.Kernel
	sequence  atomic.Uint64
	listeners *listeners
	stopTimes *mtmetric.Durations // how long ranges were stopped by handovers
}

// New assembles a daemon, opens its listeners and starts its background tasks.
// The clean-up function stops them; Run calls it too.
func New(config Config) (*Daemon, func(), error) {
	d := &Daemon{config: config, kernel: mtkernel.New(), stopTimes: mtmetric.NewDurations()}
	steps := []func() error{
		d.addMetrics, d.addClock, d.addStore, d.addKeys, d.addView, d.addRelay, d.addSync, d.addServers,
		d.openSockets, d.addRenew, d.addMember, d.addPoison, d.addOwner, d.addMover, d.addRouter, d.addServiceStats,
		d.addPlanner, d.addAdmin, d.listen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			d.kernel.Close()
			return nil, nil, err
		}
	}
	return d, d.kernel.Close, nil
}

// Kernel returns the kernel, in which commands, examples and tests look up the
// services of the daemon.
func (d *Daemon) Kernel() *mtkernel.Kernel { return d.kernel }

// Self returns the current incarnation of this daemon. It is zero while the
// daemon is not registered.
func (d *Daemon) Self() mtid.Holder {
	return mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Holder()
}

// Now returns the current instant of this daemon's clock.
func (d *Daemon) Now() mtclock.Instant {
	return mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Now()
}

// NewWriteID returns a write ID that is unique among the writes of all daemons.
func (d *Daemon) NewWriteID() mtroster.WriteID {
	return mtroster.WriteID{Writer: d.Self(), Sequence: d.sequence.Add(1)}
}

func (d *Daemon) addMetrics() error {
	metrics, cleanUp := mtmetric.New()
	metrics.Gauge("move", "stopped", func() any { return d.stopTimes.Summary() })
	return mtkernel.Register(d.kernel, NameMetrics, metrics, cleanUp)
}

// counter returns a function that increments a named counter of a component.
func (d *Daemon) counter(component string) func(name string) {
	metrics := mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics)
	return func(name string) { metrics.Counter(component, name).Add(1) }
}

// StopTimes returns the distribution of how long ranges accepted no requests while
// they were handed over.
func (d *Daemon) StopTimes() *mtmetric.Durations { return d.stopTimes }

// Counter returns the value of a component's counter.
func (d *Daemon) Counter(component, name string) int64 {
	return mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Counter(component, name).Value()
}

// observer returns a function that records the outcome and times of a caller's
// request. It looks up the metrics only once, because lookups in the kernel are
// too slow for the request path.
func (d *Daemon) observer() func(q *mtrequest.Request, reply *mtrequest.Reply, took time.Duration) {
	metrics := mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics)
	return func(q *mtrequest.Request, reply *mtrequest.Reply, took time.Duration) {
		sample := mtmetric.Sample{
			Service: q.Service, Class: q.Class, Outcome: reply.Outcome, Cause: reply.Cause,
			Total: took, Queue: reply.Queued, Server: reply.Served,
		}
		sample.Relay = max(took-reply.Queued-reply.Served, 0)
		metrics.Record(sample)
	}
}

func (d *Daemon) addClock() error {
	return mtkernel.Register(d.kernel, NameClock, mttime.New(), nil)
}

func (d *Daemon) addView() error {
	return mtkernel.Register(d.kernel, NameView, mtview.New(), nil)
}

func (d *Daemon) addRelay() error {
	client, cleanUp := mtrelay.NewClient(mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).client(), d.config.Settings.MaxBodyBytes)
	return mtkernel.Register(d.kernel, NameRelay, client, cleanUp)
}

func (d *Daemon) addSync() error {
	sync, cleanUp := mtsync.New(mtsync.Config{
		Self:  d.config.Settings.Name,
		Zone:  d.config.Settings.Zone,
		Seeds: d.config.Settings.Seeds,
		Store: mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore),
		Peers: mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		View:  mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Count: d.counter("sync"),
		Log:   d.config.Log,
	})
	return mtkernel.Register(d.kernel, NameSync, sync, cleanUp)
}

func (d *Daemon) addServers() error {
	clock := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock)
	pool := mtserver.NewPool(clock, d.config.Settings.MaxBodyBytes, d.config.Log, d.publishOffers)
	stop := mtduty.Every(expireInterval, func(context.Context) { pool.Expire(clock.Now()) })
	return mtkernel.Register(d.kernel, NameServers, pool, stop)
}

// frontierHint returns a function that hands the frontier in a peer's datagram or
// relayed request to Sync, which pulls from peers with a newer live state.
func (d *Daemon) frontierHint() func(peer mtid.Daemon, frontier mtid.Revision) {
	view := mtkernel.MustLookup[*mtview.View](d.kernel, NameView)
	sync := mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync)
	return func(peer mtid.Daemon, frontier mtid.Revision) {
		if record, _, ok := view.Snapshot().Record(peer); ok {
			sync.Hint(record.RelayAddress, frontier)
		}
	}
}

func (d *Daemon) addPoison() error {
	watch, cleanUp := mtpoison.New(mtpoison.Config{
		Self:  mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Holder,
		View:  mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Conns: mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		Clock: mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Log:   d.config.Log,
		Count: d.counter("poison"),
	})
	return mtkernel.Register(d.kernel, NamePoison, watch, cleanUp)
}

func (d *Daemon) addOwner() error {
	owner, cleanUp := mtowner.New(mtowner.Config{
		View:        mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Lease:       mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew),
		Servers:     mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers),
		Clock:       mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Log:         d.config.Log,
		Poison:      mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison),
		OnRangeIdle: d.rangeIdle,
	})
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).OnChange(func(names []string) {
		if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, mtstore.ShardPrefix) }) {
			owner.SyncOwnedShards()
		}
	})
	return mtkernel.Register(d.kernel, NameOwner, owner, cleanUp)
}

// rangeIdle notifies the mover that a stopped range has no requests in flight.
func (d *Daemon) rangeIdle(service mtid.Ref, low, high mtid.Point) {
	mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).RangeIdle(service, low, high)
}

func (d *Daemon) addMover() error {
	mover, cleanUp := mtmover.New(mtmover.Config{
		Self:           d.Self,
		NewWriteID:     d.NewWriteID,
		View:           mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Store:          mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore),
		Gates:          mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		RecentIDs:      mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		Conns:          mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		Offers:         mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Offers,
		Clock:          mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Log:            d.config.Log,
		Count:          d.counter("move"),
		RecordStopTime: d.stopTimes.Record,
		Refresh:        mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Refresh,
	})
	return mtkernel.Register(d.kernel, NameMover, mover, cleanUp)
}

func (d *Daemon) addRouter() error {
	router := mtrouter.New(mtrouter.Config{
		Zone:           d.config.Settings.Zone,
		Self:           mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Holder,
		View:           mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Owner:          mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		Peers:          mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		Clock:          mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Retry:          mtretry.NewBudgeted(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Poison:         mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison),
		OnPeerFrontier: mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Hint,
		Count:          d.counter("route"),
		OnDone:         d.observer(),
	})
	return mtkernel.Register(d.kernel, NameRouter, router, nil)
}

// Run serves until ctx is done, then shuts down gracefully. If a listener fails,
// Run returns its error without a graceful shutdown.
func (d *Daemon) Run(ctx context.Context) error {
	kernelCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.kernel.AddTask(func() error {
		select {
		case <-ctx.Done():
			d.shutdown()
			return nil
		case <-kernelCtx.Done():
			return nil
		}
	}, func(error) { cancel() })
	d.listeners.addTasks(d.kernel)
	return d.kernel.Run(kernelCtx)
}

// shutdown hands over all shards and closes the listeners. The order matters:
// callers are served until this daemon owns no shards; then the listener for
// callers closes and their last requests finish; then requests relayed by other
// daemons finish. The record is set to Gone last, since peers find this daemon
// through it.
func (d *Daemon) shutdown() {
	d.config.Log.Info("leaving")
	d.Leave(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	d.listeners.closeCallers(ctx)
	mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner).Drain(ctx)
	d.listeners.closePeers(ctx)
	recordCtx, cancelRecord := context.WithTimeout(context.Background(), recordTimeout)
	defer cancelRecord()
	d.enterState(recordCtx, mtroster.Gone)
	d.config.Log.Info("left")
}

// Leave stops this daemon from receiving new shards and hands over those that it
// owns. It is called by a shutdown and by an operator's drain; after a drain the
// daemon continues as an ingress.
func (d *Daemon) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.enterState(ctx, mtroster.Leaving)
	if err := mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).Leave(ctx); err != nil {
		d.config.Log.Warn("not all shards were handed over", "error", err)
	}
}
