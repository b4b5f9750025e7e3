// Package mtmesh assembles the daemon for a platform on which every VM runs a backend
// server and a daemon, and nothing else. The daemon accepts the requests of callers on its
// own VM by host and path, forwards each to a backend server on any VM, and serves the
// requests for the backend server on its own VM.
//
// It needs no witnesses, bundles or certificates: the platform's store holds the
// configuration, the records and the assignments. Everything specific to the platform is
// supplied by the code that uses this package: a store, a port for grants and the names of
// headers in the Config, and heartbeats and configurations as they arrive.
//
// # Usage
//
//	mesh, cleanUp, err := mtmesh.New(config)
//	defer cleanUp()
//	mesh.Configure(configuration, entry)
//	err = mesh.Host().ObserveHeartbeat(heartbeat)
//	err = mesh.Run(ctx)
//
// When ctx ends, Run shuts down gracefully: it notifies the other daemons, serves callers
// until they have switched to another daemon, and lets requests in flight finish.
package mtmesh

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtmemory"
	"magnoliaturn/core/mtoverload"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtzone"
	iobackend "magnoliaturn/io/mtbackend"
	"magnoliaturn/io/mtcommit"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtgrant"
	"magnoliaturn/io/mthost"
	"magnoliaturn/io/mtingress"
	"magnoliaturn/io/mtlisten"
	iomemory "magnoliaturn/io/mtmemory"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mttime"
)

// Names under which the components of a daemon are registered in its kernel.
const (
	NameClock        mtkernel.Name = "clock"
	NameMetrics      mtkernel.Name = "metrics"
	NameMemory       mtkernel.Name = "memory"
	NamePorts        mtkernel.Name = "ports"
	NameDirectory    mtkernel.Name = "directory"
	NamePeers        mtkernel.Name = "peers"
	NameClient       mtkernel.Name = "client"
	NameHost         mtkernel.Name = "host"
	NameGrants       mtkernel.Name = "grants"
	NameCommitter    mtkernel.Name = "committer"
	NameIngress      mtkernel.Name = "ingress"
	NameConfigPoller mtkernel.Name = "news"
	NameSummary      mtkernel.Name = "sums"
	NameListeners    mtkernel.Name = "listeners"
)

// Config defines the identity, the addresses, the time limits and the dependencies of a
// Mesh.
type Config struct {
	Daemon        mtid.Daemon
	Zone          mtid.Zone
	Link          mtbackend.Bandwidth // of this VM
	Memory        mtmemory.Bytes      // that the process may use; zero if that is not known
	Service       mtid.Service        // of the backend server on this VM
	ServerAddress string              // address of the backend server
	CallerAddress string              // address on which to accept requests of callers on this VM
	PeerAddress   string              // address on which to accept calls of other daemons
	SparePeers    []string            // replace PeerAddress if it is in use at the start, the first free one
	// HeartbeatPort is where heartbeats of the backend server arrive; nil if they come in another way.
	// As long as it isn't open, a former process of this daemon may go on under its name: the record
	// isn't written then.
	HeartbeatPort *mtlisten.Port
	Dial          mtdial.Func // opens connections to other daemons; nil stands for mtdial.Dial
	Store         mtstore.ConditionalStore
	Port          mtgrant.ServerClient
	Names         mtheader.Names
	// ReadSignals reads from the header of a response what the backend server reports about
	// itself. It may be nil.
	ReadSignals func(http.Header) mtbackend.Signals
	// Lease is how long the daemon's record in the store outlives the daemon, and
	// GrantDuration is how long a grant lasts. Their sum limits how long the keys of a lost
	// VM are unserved, and how long the store may be unavailable.
	Lease         time.Duration
	GrantDuration time.Duration
	Drain         time.Duration // how long new requests may still reach a draining server
	Grace         time.Duration // from the request to stop until the process is killed
	// ConfigDeadline is the time within which a configuration must be in force on all
	// daemons; zero stands for mtroute.DefaultPropagationLimit.
	ConfigDeadline time.Duration
	Log            *slog.Logger
	// ZoneOutDeadline is the time within which a zone that is taken out of service must
	// receive no new requests; zero stands for mtzone.DefaultCloseTime.
	ZoneOutDeadline time.Duration
	// Bootstrap reports that the whole system starts for the first time.
	Bootstrap bool
	// Warmup defines by how much the rate of a cold server may be exceeded.
	Warmup mtbackend.Allowance
	// Overload holds the policies for overload that are switched on.
	Overload mtoverload.Policies
	// Retries are the limits on the repeats of a service, for all daemons together.
	Retries mtretry.Limits
	// Refresh reads everything again that operators have written. It is called if another
	// daemon has a newer configuration, and regularly in case the watches no longer deliver
	// changes. It fails if the store did not answer.
	Refresh func() (mtstore.Changes, error)
	// OnOtherEntry is called with every entry of the store that is neither a record nor an
	// assignment.
	OnOtherEntry func(mtstore.Entry)
	// StoreCalls returns how often the store was called since the previous call, by
	// purpose. It may be nil.
	StoreCalls func() map[string]int
}

// Mesh is the daemon of one VM. See the package comment.
type Mesh struct {
	config  Config
	kernel  *mtkernel.Kernel
	callers *mtlisten.Server
	peers   *grpc.Server
	// callerPort and peerPort are the listeners of callers and peers.
	callerPort *mtlisten.Port
	peerPort   *mtlisten.Port
	// retryCounts returns the totals of the retry quota.
	retryCounts func() mtretry.Counts
	recorder    *recorder
	ready       atomic.Bool
	// configCheck and recordCheck are made after another daemon has reported a newer configuration
	// or newer records.
	configCheck delayedCheck
	recordCheck delayedCheck
	freshness   *freshness
	newest      newestConfiguration
	arrivals    *arrivals
	feed        *changeFeed
	previous    deferred[mtbackend.Record] // of previous incarnations of this daemon, for the host
	losses      deferred[mtpoison.Loss]    // for the host
	zoneState   zoneState
	host        atomic.Pointer[mthost.Host]
	// These are read for each message between daemons, for which lookups in the kernel are
	// too slow.
	directory atomic.Pointer[mtdirectory.Directory]
	ingress   atomic.Pointer[mtingress.Ingress]
}

// New assembles a daemon, opens its ports, or later those that are in use, and starts its background
// tasks. The clean-up function stops them; Run calls it too.
func New(config Config) (*Mesh, func(), error) {
	if config.ConfigDeadline <= 0 {
		config.ConfigDeadline = mtroute.DefaultPropagationLimit
	}
	if config.Dial == nil {
		config.Dial = mtdial.Dial
	}
	if config.ZoneOutDeadline <= 0 {
		config.ZoneOutDeadline = mtzone.DefaultCloseTime
	}
	m := &Mesh{config: config, kernel: mtkernel.New()}
	steps := []func() error{
		m.addClock, m.addMetrics, m.addMemory, m.addPorts, m.addPeers, m.addDirectory, m.addCommitter, m.addHost, m.addIngress, m.addConfigPoller, m.addSummary, m.listen,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			m.kernel.Close()
			return nil, nil, err
		}
	}
	m.ready.Store(true)
	return m, m.kernel.Close, nil
}

// Host returns the component that manages the backend server on this VM.
func (m *Mesh) Host() *mthost.Host { return mtkernel.MustLookup[*mthost.Host](m.kernel, NameHost) }

// Ingress returns the component that accepts the requests of callers.
func (m *Mesh) Ingress() *mtingress.Ingress {
	return mtkernel.MustLookup[*mtingress.Ingress](m.kernel, NameIngress)
}

// Metrics returns the metrics of the daemon.
func (m *Mesh) Metrics() *mtmetric.Metrics {
	return mtkernel.MustLookup[*mtmetric.Metrics](m.kernel, NameMetrics)
}

// Kernel returns the registry of the daemon's components, to which more can be added.
func (m *Mesh) Kernel() *mtkernel.Kernel { return m.kernel }

// Ready reports whether callers should send requests to this daemon: a configuration is in
// force that isn't known to be outdated, the other servers are known, the port for callers
// is open, and the daemon is not shutting down.
func (m *Mesh) Ready() bool {
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	return m.ready.Load() && m.callerPort.IsOpen() && m.Ingress().Configuration() != nil && !m.outdated() && directory.View().Revision != 0
}

func (m *Mesh) addClock() error {
	clock := mttime.New()
	m.freshness = newFreshness(clock.Now(), m.config.ConfigDeadline, newBroadcast())
	return mtkernel.Register(m.kernel, NameClock, clock, nil)
}

func (m *Mesh) addMetrics() error {
	metrics, cleanUp := mtmetric.New()
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	m.arrivals = newArrivals(metrics, m.config.Log)
	m.recorder = newRecorder(metrics, clock, m.config.Service, m.config.Log, func() (configuration, seen mtid.Version) {
		versions := m.knownVersions()
		return versions.ConfigVersion, versions.NewestVersion
	})
	return mtkernel.Register(m.kernel, NameMetrics, metrics, cleanUp)
}

// addMemory adds the memory budget of the requests and answers that the daemon holds.
func (m *Mesh) addMemory() error {
	memory := iomemory.New(m.config.Memory)
	m.Metrics().Gauge("memory", "held", func() any { return memory.Held() })
	return mtkernel.Register(m.kernel, NameMemory, memory, nil)
}

func (m *Mesh) memory() *iomemory.Budget {
	return mtkernel.MustLookup[*iomemory.Budget](m.kernel, NameMemory)
}

func (m *Mesh) addPeers() error {
	client, cleanUp := mtforward.NewClient(mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock), m.config.Dial, m.exchange(), m.memory())
	return mtkernel.Register(m.kernel, NamePeers, client, cleanUp)
}

func (m *Mesh) addDirectory() error {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	m.feed = &changeFeed{
		self:        m.config.Daemon,
		zone:        m.config.Zone,
		store:       m.config.Store,
		peers:       peers,
		clock:       mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock),
		freshness:   m.freshness,
		changed:     m.freshness.changed,
		pausedUntil: make(map[string]time.Time),
		directory:   m.directory.Load,
		configured:  func() bool { return m.configuration() != nil },
	}
	m.feed.silent = newSilentPeers(m.config.Log, func(ctx context.Context, n mtspread.Node) error {
		err := peers.QueryLoad(ctx, n.Daemon, n.Address)
		var other *mtforward.OtherDaemonError
		if errors.As(err, &other) {
			return nil // changes are the same from any daemon
		}
		return err
	})
	m.feed.newestConfiguration = m.newest.entry
	m.feed.tree = m.feed.memberTree
	directory, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self:             m.config.Daemon,
		Store:            m.config.Store,
		Clock:            mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock),
		Lease:            m.config.Lease,
		Log:              m.config.Log,
		Source:           m.feed,
		OnOtherEntry:     m.config.OnOtherEntry,
		OnPreviousRecord: m.previous.receive,
		OnLoss:           m.losses.receive,
		OnUpdate:         m.feed.applied,
		OnEra:            m.enterEra,
	})
	m.directory.Store(directory)
	m.Metrics().Gauge("store", "odd-entries", func() any { return directory.OddEntries() })
	m.Metrics().Gauge("peers", "silent", func() any { return m.feed.silent.count() })
	return mtkernel.Register(m.kernel, NameDirectory, directory, func() {
		cleanUp()
		m.feed.silent.stop()
	})
}

// enterEra makes a daemon that watches the store read everything again once the store has begun a
// new era. Its watch may wait for changes after a revision that has been given out again. Daemons
// that pull from it follow. A copy that is of the era already, or not read yet, is left alone.
func (m *Mesh) enterEra(era mtid.Era) {
	directory := m.directory.Load()
	if directory == nil || !m.feed.tree().WatchesStore(m.config.Daemon) {
		return
	}
	if view := directory.View(); view.Revision != 0 && view.Era() < era {
		directory.Resync()
	}
}

// addHost adds the host of the backend server on this VM and the grants of its keys, which
// depend on each other.
func (m *Mesh) addHost() error {
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	client, closeClient := iobackend.New(iobackend.Config{Names: m.config.Names, Clock: clock, ReadSignals: m.config.ReadSignals, Memory: m.memory()})
	if err := mtkernel.Register(m.kernel, NameClient, client, closeClient); err != nil {
		return err
	}
	var grants atomic.Pointer[mtgrant.Grants]
	host, closeHost := mthost.New(mthost.Config{
		Daemon:      m.config.Daemon,
		Zone:        m.config.Zone,
		Link:        m.config.Link,
		Service:     m.config.Service,
		Address:     m.config.ServerAddress,
		PeerAddress: m.peerPort.Addr().String(),
		DrainPeriod: m.config.Drain,
		Overload:    m.config.Overload,
		Clock:       clock,
		Client:      client,
		Log:         m.config.Log,
		Health:      m.healthPath,
		IsDeclared:  m.declares,
		Keyed:       m.keyed,
		Publish:     m.holdRecord(directory.Publish),
		PublishLoss: m.publishLoss,
		CheckGrant: func(incarnation mtid.ServerIncarnation, key mtid.KeyNumber) error {
			return grants.Load().CheckGranted(incarnation, key)
		},
		OnKeyDenied: func(key mtid.KeyNumber) { grants.Load().Regrant(key) },
		ClearGrants: func(ctx context.Context, incarnation mtid.ServerIncarnation, address string) error {
			return grants.Load().ReleaseUnowned(ctx, incarnation, address)
		},
		CommandExpiry: func() mtclock.Instant { return grants.Load().LastExpiry() },
		OnChange: func() {
			if g := grants.Load(); g != nil {
				g.Wake()
			}
		},
	})
	created, closeGrants := mtgrant.New(mtgrant.Config{
		Self:          m.config.Daemon,
		Bootstrap:     m.config.Bootstrap,
		Service:       m.config.Service,
		Keyed:         m.keyed,
		GrantDuration: m.config.GrantDuration,
		Directory:     directory,
		Store:         m.config.Store,
		Host:          host,
		Client:        m.config.Port,
		Clock:         clock,
		Log:           m.config.Log,
		LoadReports:   m.loadReports,
		QueryLoads:    m.survey,
		Answers:       m.answers,
		NotifyOwner:   m.sendOwnershipUpdate,
		Committer:     mtkernel.MustLookup[*mtcommit.Committer](m.kernel, NameCommitter),
		Delegate:      m.delegate,
	})
	grants.Store(created)
	m.previous.attach(host.ProcessPreviousRecord)
	m.host.Store(host)
	m.losses.attach(host.MergeLoss)
	directory.OnChange(m.applyZone)
	m.applyZone()
	m.Metrics().Gauge("host", "status", func() any { return host.Status() })
	if err := mtkernel.Register(m.kernel, NameHost, host, closeHost); err != nil {
		return err
	}
	return mtkernel.Register(m.kernel, NameGrants, created, closeGrants)
}

// configuration returns the configuration in force. It returns nil if there is none, or if
// the daemon is still being assembled.
func (m *Mesh) configuration() *mtroute.Config {
	ingress := m.ingress.Load()
	if ingress == nil {
		return nil
	}
	return ingress.Configuration()
}

// healthPath returns the path of the health check of the backend server on this VM.
func (m *Mesh) healthPath() string {
	configuration := m.configuration()
	if configuration == nil {
		return ""
	}
	return configuration.Services[m.config.Service].HealthPath
}

// declares reports whether the configuration in force declares a service.
func (m *Mesh) declares(service mtid.Service) bool {
	configuration := m.configuration()
	if configuration == nil {
		return false
	}
	_, ok := configuration.Services[service]
	return ok
}

// keyed reports whether the service of this VM is partitioned by key.
func (m *Mesh) keyed() bool {
	configuration := m.configuration()
	return configuration != nil && configuration.Services[m.config.Service].Keyed
}

func (m *Mesh) addIngress() error {
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	sender := mtingress.NewSender(mtingress.SenderConfig{
		Self:      m.config.Daemon,
		Zone:      m.config.Zone,
		Grace:     m.config.Grace,
		Overload:  m.config.Overload,
		Retries:   m.config.Retries,
		Start:     m.startKind(),
		Directory: mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory),
		Host:      m.Host(),
		Peers:     mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers),
		Clock:     clock,
		Steady:    clock.Steady,
		Log:       m.config.Log,
		Random:    random,
	})
	ingress := mtingress.New(mtingress.Config{
		HeaderNames:  m.config.Names,
		Service:      m.config.Service,
		Parent:       m.Host().Parent,
		ConfigFresh:  m.freshness.mayDenyRoute,
		Outdated:     m.freshness.outdated,
		Sender:       sender,
		Memory:       m.memory(),
		Clock:        clock,
		Log:          m.config.Log,
		OnCompletion: m.recorder.done,
	})
	m.ingress.Store(ingress)
	m.retryCounts = sender.RetryCounts
	m.Metrics().Gauge("retries", "quota", func() any { return sender.RetryCounts() })
	return mtkernel.Register(m.kernel, NameIngress, ingress, nil)
}

// startKind tells the retry quota whether repeats may have been made before this process started.
func (m *Mesh) startKind() mtretry.Start {
	if m.config.Bootstrap {
		return mtretry.FirstStart
	}
	return mtretry.Restart
}

// addSummary adds the task that logs a summary of the requests in each interval.
func (m *Mesh) addSummary() error {
	grants := mtkernel.MustLookup[*mtgrant.Grants](m.kernel, NameGrants)
	m.Metrics().Gauge("keys", "unowned", func() any {
		unowned, _ := grants.Waiting()
		return unowned
	})
	m.Metrics().Gauge("keys", "ungranted", func() any {
		_, ungranted := grants.Waiting()
		return ungranted
	})
	stop := mtduty.Every(summaryInterval, func(context.Context) {
		m.recorder.logSummary(m.Host().Load(), m.Host().Status(), m.retryCounts(), grants.TakeMovedCount(), m.storeCalls())
	})
	return mtkernel.Register(m.kernel, NameSummary, stop, stop)
}

// storeCalls returns how often the store was called since the previous call, by purpose.
func (m *Mesh) storeCalls() map[string]int {
	if m.config.StoreCalls == nil {
		return nil
	}
	return m.config.StoreCalls()
}
