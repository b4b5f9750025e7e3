// Package mtdaemon puts a daemon together: it registers the services with the
// micro-kernel in the order in which they need each other, and runs them.
//
// # Usage
//
//	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{Settings: settings, Log: log})
//	defer cleanUp()
//	err = daemon.Run(ctx)
//
// When ctx ends, Run shuts down gracefully: no new work is taken, all shards
// are handed over, what is in flight finishes, and only then the process ends.
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

// Names under which the services of a daemon find each other.
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
	// leaveTimeout bounds the handing over of shards in a shutdown, and
	// finishTimeout what is in flight after it.
	leaveTimeout  = 20 * time.Second
	finishTimeout = 15 * time.Second
	goneTimeout   = 3 * time.Second
	expireEvery   = time.Second
)

// Config is what a daemon is made of.
type Config struct {
	Settings *mtsetting.Settings
	// Store replaces the client of Settings.Store, in examples and tests that
	// keep everything in one process. It may be nil.
	Store mtstore.Store
	Log   *slog.Logger
}

// Daemon is one router process.
type Daemon struct {
	config    Config
	kernel    *mtkernel.Kernel
	sequence  atomic.Uint64
	listeners *listeners
	stopped   *mtmetric.Times // of shards that were handed over
}

// New puts a daemon together, opens its listeners and starts its duties. The
// clean-up function ends them; Run calls it too.
func New(config Config) (*Daemon, func(), error) {
	d := &Daemon{config: config, kernel: mtkernel.New(), stopped: mtmetric.NewTimes()}
	steps := []func() error{
		d.addMetrics, d.addClock, d.addStore, d.addKeys, d.addView, d.addRelay, d.addSync, d.addServers,
		d.open, d.addRenew, d.addMember, d.addPoison, d.addOwner, d.addMover, d.addRouter, d.addFigures,
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

// Kernel returns the services, for the administration API and tests.
func (d *Daemon) Kernel() *mtkernel.Kernel { return d.kernel }

// Self returns the present life of this daemon; zero while not registered.
func (d *Daemon) Self() mtid.Holder {
	return mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Holder()
}

// Now returns the present instant of this daemon's clock.
func (d *Daemon) Now() mtclock.Instant {
	return mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock).Now()
}

// Stamp returns a stamp that no other write carries.
func (d *Daemon) Stamp() mtroster.WriteID {
	return mtroster.WriteID{Writer: d.Self(), Sequence: d.sequence.Add(1)}
}

func (d *Daemon) addMetrics() error {
	metrics, cleanUp := mtmetric.New()
	metrics.Gauge("move", "stopped", func() any { return d.stopped.Summary() })
	return mtkernel.Register(d.kernel, NameMetrics, metrics, cleanUp)
}

// counter returns the function by which a duty counts under its own name.
func (d *Daemon) counter(duty string) func(name string) {
	metrics := mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics)
	return func(name string) { metrics.Counter(duty, name).Add(1) }
}

// Stopped returns how long shards took no work while they were handed over.
func (d *Daemon) Stopped() *mtmetric.Times { return d.stopped }

// Counter returns the value of a duty's counter.
func (d *Daemon) Counter(duty, name string) int64 {
	return mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Counter(duty, name).Value()
}

// observer returns the function that notes what came of a caller's request. It
// keeps what it needs: the kernel's lookups are not for the path of a request.
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
	client, cleanUp := mtrelay.NewClient(mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).client(), d.config.Settings.Body)
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
	pool := mtserver.NewPool(clock, d.config.Settings.Body, d.config.Log, d.offersChanged)
	stop := mtduty.Every(expireEvery, func(context.Context) { pool.Expire(clock.Now()) })
	return mtkernel.Register(d.kernel, NameServers, pool, stop)
}

// listener returns the function that passes on what a datagram or a relayed
// request says of a peer's copy of the live state.
func (d *Daemon) listener() func(peer mtid.Daemon, frontier mtid.Revision) {
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
		View:    mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Lease:   mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew),
		Servers: mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers),
		Clock:   mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Log:     d.config.Log,
		Poison:  mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison),
		Quiet:   d.quiet,
	})
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).OnChange(func(names []string) {
		if slices.ContainsFunc(names, func(name string) bool { return strings.HasPrefix(name, mtstore.ShardPrefix) }) {
			owner.Adopt()
		}
	})
	return mtkernel.Register(d.kernel, NameOwner, owner, cleanUp)
}

// quiet passes on that a stopped range has nothing in flight.
func (d *Daemon) quiet(service mtid.Ref, low, high mtid.Point) {
	mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).RangeIdle(service, low, high)
}

func (d *Daemon) addMover() error {
	mover, cleanUp := mtmover.New(mtmover.Config{
		Self:           d.Self,
		NewWriteID:     d.Stamp,
		View:           mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Store:          mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore),
		Gates:          mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		RecentIDs:      mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		Conns:          mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		Offers:         mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Offers,
		Clock:          mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Log:            d.config.Log,
		Count:          d.counter("move"),
		RecordStopTime: d.stopped.Record,
		Refresh:        mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Refresh,
	})
	return mtkernel.Register(d.kernel, NameMover, mover, cleanUp)
}

func (d *Daemon) addRouter() error {
	router := mtrouter.New(mtrouter.Config{
		Zone:   d.config.Settings.Zone,
		Self:   mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).Holder,
		View:   mtkernel.MustLookup[*mtview.View](d.kernel, NameView),
		Owner:  mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner),
		Peers:  mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay),
		Clock:  mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Retry:  mtretry.NewBudgeted(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Poison: mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison),
		Hint:   mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Hint,
		Count:  d.counter("route"),
		Done:   d.observer(),
	})
	return mtkernel.Register(d.kernel, NameRouter, router, nil)
}

// Run serves until ctx ends and shuts down gracefully then. It returns early
// with the error of a listener that failed.
func (d *Daemon) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.kernel.AddTask(func() error {
		select {
		case <-ctx.Done():
			d.shutdown()
			return nil
		case <-inner.Done():
			return nil
		}
	}, func(error) { cancel() })
	d.listeners.duties(d.kernel)
	return d.kernel.Run(inner)
}

// shutdown hands everything over. Its order matters: callers are served until
// nothing is owned here; then the listener for callers closes and their last
// requests finish; then those that others relayed; the record goes last, since
// peers find this daemon by it.
func (d *Daemon) shutdown() {
	d.config.Log.Info("leaving")
	d.Leave(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	d.listeners.closeCallers(ctx)
	mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner).Drain(ctx)
	d.listeners.closePeers(ctx)
	goneCtx, cancelGone := context.WithTimeout(context.Background(), goneTimeout)
	defer cancelGone()
	d.enter(goneCtx, mtroster.Gone)
	d.config.Log.Info("left")
}

// Leave makes this daemon take no new shards and hands over those that it has.
// It is called in a shutdown, and by an operator's drain, after which the
// daemon goes on as an ingress.
func (d *Daemon) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.enter(ctx, mtroster.Leaving)
	if err := mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).Leave(ctx); err != nil {
		d.config.Log.Warn("not all shards were handed over", "error", err)
	}
}
