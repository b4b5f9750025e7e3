// Package mtmesh puts a daemon together that stands beside a backend server on a
// platform which has no other tier: it takes the requests of callers on its own
// VM by host and path, sees them to a backend server anywhere, and answers for
// the one on its VM.
//
// It needs no witnesses, no bundles and no certificates: the platform's store
// holds the configuration, the records and the assignments. What the platform
// calls things, and how it is spoken to, is the caller's of this package: it
// gives a store, a port for grants, header names, and tells beats and
// configurations.
//
// # Usage
//
//	mesh, cleanUp, err := mtmesh.New(config)
//	defer cleanUp()
//	mesh.Ingress().Configure(configuration)
//	mesh.Host().Beat(beat)
//	err = mesh.Run(ctx)
//
// When ctx ends, Run shuts down gracefully: others are told, callers are served
// until they have gone elsewhere, and what is in flight finishes.
package mtmesh

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
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
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mttime"
)

// Names under which the services of a daemon find each other.
const (
	NameClock     mtkernel.Name = "clock"
	NameMetrics   mtkernel.Name = "metrics"
	NameDirectory mtkernel.Name = "directory"
	NamePeers     mtkernel.Name = "peers"
	NameClient    mtkernel.Name = "client"
	NameHost      mtkernel.Name = "host"
	NameGrants    mtkernel.Name = "grants"
	NameCommitter mtkernel.Name = "committer"
	NameIngress   mtkernel.Name = "ingress"
	NameNews      mtkernel.Name = "news"
	NameSums      mtkernel.Name = "sums"
	NameListeners mtkernel.Name = "listeners"
)

// Config is what a Mesh is made of.
type Config struct {
	Daemon  mtid.Daemon
	Zone    mtid.Zone
	Link    mtbackend.Bandwidth // of this VM
	Service mtid.Service        // of the backend server on this VM
	Server  string              // address of the backend server
	Callers string              // where callers on this VM send requests
	Peers   string              // where other daemons send calls
	Store   mtstore.ConditionalStore
	Port    mtgrant.Port
	Names   mtheader.Names
	// Slowness reads from an answer of the server how long work takes on its machine; it may
	// be nil.
	Slowness func(http.Header) float64
	// Lease is how long the daemon's record in the store outlives it, and Hold
	// how long a grant lasts. Their sum bounds for how long keys of a lost VM
	// are unavailable, and for how long the store may be away.
	Lease time.Duration
	Hold  time.Duration
	Drain time.Duration // new work may reach a leaving server for so long
	Grace time.Duration // from the order to stop until the process is ended
	// Within is within which time a configuration has to be in force everywhere; zero
	// stands for mtroute.DefaultPropagationLimit.
	Within time.Duration
	Log    *slog.Logger
	// Close is within which time a zone that is taken out of service gets no new work;
	// zero stands for mtzone.DefaultCloseTime.
	Close time.Duration
	// Warmup is by how much the rate of a cold server may be exceeded.
	Warmup mtbackend.Allowance
	// Refresh reads anew all that operators have written: another daemon has a newer
	// configuration, or the store is to be asked in case its watches have gone deaf.
	// It fails if the store did not answer.
	Refresh func() (mtstore.Changes, error)
	// Other is told of every entry of the store that is not the product's own.
	Other func(mtstore.Entry)
	// Calls returns how often the store was called since it was last asked for, by what
	// the calls were for. It may be nil.
	Calls func() map[string]int
}

// Mesh is one daemon.
type Mesh struct {
	config  Config
	kernel  *mtkernel.Kernel
	callers *mtlisten.Server
	peers   *grpc.Server
	record  *recorder
	ready   atomic.Bool
	// The store is asked for what another daemon has seen: a configuration, and
	// records.
	asking    atomic.Bool
	certainty *certainty
	doubting  atomic.Bool
	learner   *learner
	former    former
	zone      zone
	host      atomic.Pointer[mthost.Host]
	// The news go with each message, and the kernel's lookups are not for that.
	directory atomic.Pointer[mtdirectory.Directory]
	ingress   atomic.Pointer[mtingress.Ingress]
}

// New puts a daemon together, opens its listeners and starts its duties. The
// clean-up function ends them; Run calls it too.
func New(config Config) (*Mesh, func(), error) {
	if config.Within <= 0 {
		config.Within = mtroute.DefaultPropagationLimit
	}
	if config.Close <= 0 {
		config.Close = mtzone.DefaultCloseTime
	}
	m := &Mesh{config: config, kernel: mtkernel.New()}
	steps := []func() error{
		m.addClock, m.addMetrics, m.addPeers, m.addDirectory, m.addCommitter, m.addHost, m.addIngress, m.addNews, m.addSums, m.listen,
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

// Host returns the backend server on this VM.
func (m *Mesh) Host() *mthost.Host { return mtkernel.MustLookup[*mthost.Host](m.kernel, NameHost) }

// Ingress returns the way in for callers.
func (m *Mesh) Ingress() *mtingress.Ingress {
	return mtkernel.MustLookup[*mtingress.Ingress](m.kernel, NameIngress)
}

// Metrics returns the figures of the daemon.
func (m *Mesh) Metrics() *mtmetric.Metrics {
	return mtkernel.MustLookup[*mtmetric.Metrics](m.kernel, NameMetrics)
}

// Kernel returns the services, for more duties.
func (m *Mesh) Kernel() *mtkernel.Kernel { return m.kernel }

// Ready reports whether callers should be sent here: a configuration is in
// force, the other servers are known, and the daemon does not shut down.
func (m *Mesh) Ready() bool {
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	return m.ready.Load() && m.Ingress().Configuration() != nil && directory.Now().Revision != 0
}

func (m *Mesh) addClock() error {
	clock := mttime.New()
	m.certainty = newCertainty(clock.Now(), m.config.Within, newBeacon())
	return mtkernel.Register(m.kernel, NameClock, clock, nil)
}

func (m *Mesh) addMetrics() error {
	metrics, cleanUp := mtmetric.New()
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	m.record = newRecorder(metrics, clock, m.config.Service, m.config.Log, func() (configuration, seen mtid.Version) {
		news := m.tell()
		return news.ConfigVersion, news.NewestVersion
	})
	return mtkernel.Register(m.kernel, NameMetrics, metrics, cleanUp)
}

func (m *Mesh) addPeers() error {
	client, cleanUp := mtforward.NewClient(mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock), m.exchange())
	return mtkernel.Register(m.kernel, NamePeers, client, cleanUp)
}

func (m *Mesh) addDirectory() error {
	m.learner = &learner{
		self:      m.config.Daemon,
		zone:      m.config.Zone,
		store:     m.config.Store,
		peers:     mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers),
		clock:     mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock),
		certainty: m.certainty,
		stirred:   m.certainty.stirred,
		paused:    make(map[string]time.Time),
		directory: m.directory.Load,

		configured: func() bool { return m.configuration() != nil },
	}
	m.learner.tree = m.learner.plan
	directory, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self:   m.config.Daemon,
		Store:  m.config.Store,
		Clock:  mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock),
		Lease:  m.config.Lease,
		Log:    m.config.Log,
		Source: m.learner,
		Other:  m.config.Other,
		Former: m.former.hear,
		Heard:  m.heard,

		Applied: m.learner.applied,
	})
	m.directory.Store(directory)
	return mtkernel.Register(m.kernel, NameDirectory, directory, cleanUp)
}

// addHost adds the backend server on this VM and the grants of its keys, which
// need each other.
func (m *Mesh) addHost() error {
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	client, closeClient := iobackend.New(iobackend.Config{Names: m.config.Names, Clock: clock, Slowness: m.config.Slowness})
	if err := mtkernel.Register(m.kernel, NameClient, client, closeClient); err != nil {
		return err
	}
	var grants atomic.Pointer[mtgrant.Grants]
	host, closeHost := mthost.New(mthost.Config{
		Daemon:  m.config.Daemon,
		Zone:    m.config.Zone,
		Link:    m.config.Link,
		Service: m.config.Service,
		Address: m.config.Server,
		Peer:    m.config.Peers,
		Drain:   m.config.Drain,
		Clock:   clock,
		Client:  client,
		Log:     m.config.Log,
		Health:  m.health,
		Named:   m.named,
		Keyed:   m.keyed,
		Publish: directory.Publish,
		Holds:   func(life mtid.ServerIncarnation, key mtid.KeyNumber) error { return grants.Load().Holds(life, key) },
		Fenced:  func(key mtid.KeyNumber) { grants.Load().Fenced(key) },
		Clear: func(ctx context.Context, life mtid.ServerIncarnation, address string) error {
			return grants.Load().Clear(ctx, life, address)
		},
		Lasts: func() mtclock.Instant { return grants.Load().Lasts() },
		Changed: func() {
			if g := grants.Load(); g != nil {
				g.Wake()
			}
		},
	})
	held, closeGrants := mtgrant.New(mtgrant.Config{
		Self:      m.config.Daemon,
		Service:   m.config.Service,
		Keyed:     m.keyed,
		Hold:      m.config.Hold,
		Directory: directory,
		Store:     m.config.Store,
		Host:      host,
		Port:      m.config.Port,
		Clock:     clock,
		Log:       m.config.Log,
		Standings: m.standings,
		Survey:    m.survey,
		Inform:    m.inform,
		Committer: mtkernel.MustLookup[*mtcommit.Committer](m.kernel, NameCommitter),
		Delegate:  m.delegate,
	})
	grants.Store(held)
	m.former.follow(host)
	m.host.Store(host)
	for _, member := range directory.Now().Members {
		host.Heard(member.Record)
	}
	directory.OnChange(m.zones)
	m.zones()
	m.Metrics().Gauge("host", "status", func() any { return host.Status() })
	if err := mtkernel.Register(m.kernel, NameHost, host, closeHost); err != nil {
		return err
	}
	return mtkernel.Register(m.kernel, NameGrants, held, closeGrants)
}

// heard passes on what another daemon suspects. What is heard before the host stands is
// read once it does.
func (m *Mesh) heard(r mtbackend.Record) {
	if host := m.host.Load(); host != nil {
		host.Heard(r)
	}
}

// configuration returns what is in force, or nil if nothing is, or while the
// daemon is still being put together.
func (m *Mesh) configuration() *mtroute.Config {
	ingress := m.ingress.Load()
	if ingress == nil {
		return nil
	}
	return ingress.Configuration()
}

// health returns the path of the health check of this VM's server.
func (m *Mesh) health() string {
	configuration := m.configuration()
	if configuration == nil {
		return ""
	}
	return configuration.Services[m.config.Service].HealthPath
}

// named reports whether the configuration in force declares a service.
func (m *Mesh) named(service mtid.Service) bool {
	configuration := m.configuration()
	if configuration == nil {
		return false
	}
	_, ok := configuration.Services[service]
	return ok
}

// keyed reports whether the service of this VM is divided by key.
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
		IsNested:     m.Host().Parent,
		ConfigFresh:  m.certainty.denies,
		Sender:       sender,
		Clock:        clock,
		Log:          m.config.Log,
		OnCompletion: m.record.done,
	})
	m.ingress.Store(ingress)
	return mtkernel.Register(m.kernel, NameIngress, ingress, nil)
}

// addSums adds the duty that sums up what became of requests.
func (m *Mesh) addSums() error {
	grants := mtkernel.MustLookup[*mtgrant.Grants](m.kernel, NameGrants)
	stop := mtduty.Every(tallyEvery, func(context.Context) { m.record.sum(m.Host().Load(), grants.TakeMoved(), m.calls()) })
	return mtkernel.Register(m.kernel, NameSums, stop, stop)
}

// calls returns how often the store was called since the last time, by purpose.
func (m *Mesh) calls() map[string]int {
	if m.config.Calls == nil {
		return nil
	}
	return m.config.Calls()
}

const (
	// linger is how long callers are served after the order to stop: until they
	// have been told at least twice, a second apart, to go elsewhere.
	linger = 2600 * time.Millisecond
	// spare is kept free before the process is ended, for the clean-ups, which
	// may have to wait for a store that does not answer.
	spare = 700 * time.Millisecond
	// lastWord is how long before that the final answers are given.
	lastWord = 200 * time.Millisecond
	// connections is how many callers may be connected, and streams how many
	// calls of one other daemon may be under way.
	connections = 3000
	streams     = 4096
)

// listen opens the ways in.
func (m *Mesh) listen() error {
	peers, err := mtdial.Listen(context.Background(), m.config.Peers)
	if err != nil {
		return &mtlisten.ListenError{Purpose: "other daemons", Address: m.config.Peers, Err: err}
	}
	callers, err := net.Listen("tcp", m.config.Callers)
	if err != nil {
		_ = peers.Close()
		return &mtlisten.ListenError{Purpose: "callers", Address: m.config.Callers, Err: err}
	}
	m.peers = grpc.NewServer(grpc.MaxConcurrentStreams(streams),
		grpc.InitialWindowSize(mtforward.FlowWindow), grpc.InitialConnWindowSize(mtforward.FlowWindow),
		grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer), grpc.SharedWriteBuffer(true))
	mtforward.Register(m.peers, mtforward.Server{
		Host: m.Host(), Clock: mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock), Exchange: m.exchange(), ServeChanges: m.learner.teach, ReceiveAssignment: m.directory.Load().Inform, Commit: m.commitFor,
	})
	go func() {
		if err := m.peers.Serve(peers); err != nil {
			m.config.Log.Error("listener for daemons ended", "error", err)
		}
	}()
	router := echo.New()
	router.HideBanner = true
	router.Any("/*", m.Ingress().Handle)
	m.callers = mtlisten.Start(callers, router, mtlisten.Options{MaxConnections: connections, Pipelined: true, Log: m.config.Log})
	return mtkernel.Register(m.kernel, NameListeners, m, func() {
		m.callers.Close()
		m.peers.Stop()
	})
}

// peerBuffer is the size of the buffers of a connection from another daemon, in
// bytes.
const peerBuffer = 8 << 10

// Run serves until ctx ends and shuts down gracefully then.
func (m *Mesh) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.kernel.AddTask(func() error {
		select {
		case <-ctx.Done():
			m.shutdown()
			return nil
		case err := <-m.callers.Failed():
			return err
		case <-inner.Done():
			return nil
		}
	}, func(error) { cancel() })
	return m.kernel.Run(inner)
}

// shutdown lets everybody go elsewhere before it ends what is left.
func (m *Mesh) shutdown() {
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	left := m.config.Grace - spare
	end := time.Now().Add(left)
	m.config.Log.Info("stopping", "grace", m.config.Grace)
	m.ready.Store(false)
	m.Ingress().BeginShutdown(clock.Now().Add(left - lastWord))
	m.Host().Retire()
	time.Sleep(min(linger, left/2))
	m.Host().Close()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	m.callers.Shutdown(ctx)
	stopped := make(chan struct{})
	go func() {
		m.peers.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		m.config.Log.Warn("calls of other daemons were cut off")
	}
	m.record.figures()
	m.config.Log.Info("stopped")
}

// Handler answers whether the daemon is ready: 200 or 503.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if m.Ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}
