package mtmesh

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtshutdown"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtlisten"
	"magnoliaturn/io/mttime"
)

const (
	// maxCallerConnections limits the connections of callers, and maxPeerStreams the
	// concurrent calls of one other daemon.
	maxCallerConnections = 3000
	maxPeerStreams       = 4096
)

// addPorts opens the ports for callers and for other daemons. The latter's address is part of this
// daemon's record, so it is chosen before the host is added.
func (m *Mesh) addPorts() error {
	peers := append([]string{m.config.PeerAddress}, m.config.SparePeers...)
	m.peerPort = m.OpenPort("peers", mtdial.Listen, peers...)
	m.callerPort = m.OpenPort("callers", mtlisten.Listen, m.config.CallerAddress)
	if m.config.HeartbeatPort != nil {
		m.watchPort("beats", m.config.HeartbeatPort)
	}
	return mtkernel.Register(m.kernel, NamePorts, m, func() {
		_ = m.callerPort.Close()
		_ = m.peerPort.Close()
		if m.config.HeartbeatPort != nil {
			_ = m.config.HeartbeatPort.Close()
		}
	})
}

// OpenPort opens the first free one of the addresses, with a metric that tells whether the port is
// open.
func (m *Mesh) OpenPort(purpose string, listen mtlisten.ListenFunc, addresses ...string) *mtlisten.Port {
	port := mtlisten.Open(purpose, listen, m.config.Log, addresses...)
	m.watchPort(purpose, port)
	return port
}

// watchPort adds a metric that tells whether a port is open.
func (m *Mesh) watchPort(purpose string, port *mtlisten.Port) {
	m.Metrics().Gauge("open", purpose, func() any { return port.IsOpen() })
}

// listen serves callers and other daemons.
func (m *Mesh) listen() error {
	m.peers = grpc.NewServer(append(recoverPanics(m.config.Log), grpc.MaxConcurrentStreams(maxPeerStreams), grpc.MaxHeaderListSize(mtlisten.MaxHeaderBytes),
		grpc.InitialWindowSize(mtforward.StreamWindow), grpc.InitialConnWindowSize(mtforward.ConnWindow),
		grpc.ReadBufferSize(peerBufferSize), grpc.WriteBufferSize(peerBufferSize), grpc.SharedWriteBuffer(true))...)
	mtforward.Register(m.peers, mtforward.Server{
		Self: m.config.Daemon, Host: m.Host(), Clock: mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock), Exchange: m.exchange(), ServeChanges: m.feed.serve, ReceiveEntry: m.receivePushed, Commit: m.commitFor,
		ReserveLink: m.Host().ReserveLink, Withdraw: m.Host().Withdraw, Memory: m.memory(),
	})
	go func() {
		if err := m.peers.Serve(m.peerPort); err != nil {
			m.config.Log.Error("listener for other daemons failed", "error", err)
		}
	}()
	router := echo.New()
	router.HideBanner = true
	router.Any("/*", m.Ingress().Handle)
	m.callers = mtlisten.Start(m.callerPort, router, mtlisten.Options{MaxConnections: maxCallerConnections, Pipelined: true, Log: m.config.Log})
	return mtkernel.Register(m.kernel, NameListeners, m, func() {
		m.callers.Close()
		m.peers.Stop()
	})
}

// peerBufferSize is the size in bytes of the read and write buffers of a connection from
// another daemon.
const peerBufferSize = 8 << 10

// Run serves until ctx ends, and then shuts down gracefully.
func (m *Mesh) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.kernel.AddTask(func() error {
		select {
		case <-ctx.Done():
			m.shutdown()
		case <-inner.Done():
		}
		return nil
	}, func(error) { cancel() })
	return m.kernel.Run(inner)
}

// shutdown gives callers and other daemons time to switch to another daemon, and then
// closes the remaining connections.
func (m *Mesh) shutdown() {
	clock := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock)
	now := clock.Now()
	schedule := mtshutdown.New(now, m.config.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), schedule.Close.Sub(now))
	defer cancel()
	m.config.Log.Info("stopping", "grace", m.config.Grace)
	m.ready.Store(false)
	m.Ingress().BeginShutdown(schedule)
	m.Host().BeginShutdown(schedule)
	mtduty.Sleep(ctx, m.leaveAt(now, schedule).Sub(now))
	m.config.Log.Info("server leaves", "after", clock.Now().Sub(now))
	m.Host().Retire()
	mtduty.Sleep(ctx, schedule.Retire.Sub(clock.Now()))
	m.Host().Close()
	// A poll of a store that does not answer takes longer than the clean-up may.
	go mtkernel.MustLookup[func()](m.kernel, NameConfigPoller)()
	// The server may make nested calls, on new connections too, as long as it runs a call.
	select {
	case <-m.Host().Idle():
	case <-time.After(schedule.LastAnswers.Sub(clock.Now())):
	}
	m.callers.Shutdown(ctx)
	stopped := make(chan struct{})
	go func() {
		m.peers.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		m.config.Log.Warn("calls of other daemons were still in flight at the shutdown deadline")
	}
	m.recorder.logTotals()
	m.config.Log.Info("stopped")
}

// leaveAt returns when the server on this VM stops getting work in a shutdown that begins now. It
// stops at once while the store is unavailable, since its keys may take long to move then.
func (m *Mesh) leaveAt(now mtclock.Instant, schedule mtshutdown.Schedule) mtclock.Instant {
	configuration := m.configuration()
	if !m.config.Overload.Linger || configuration == nil || !m.directory.Load().StoreAvailable() {
		return now
	}
	return schedule.LeaveAt(configuration.LongestTimeout(m.config.Service), m.keyed())
}

// Handler returns a readiness check: 200 if the daemon is ready, 503 otherwise.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if m.Ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}
