package mtdaemon

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtcaller"
	"magnoliaturn/io/mtlisten"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtplanner"
	"magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtrelay"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mtrouter"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mttime"
)

const (
	readTimeout     = 30 * time.Second // for reading a whole request of a caller
	minPingInterval = 10 * time.Second // minimum interval of keepalive pings from a peer
	messageOverhead = 512 << 10        // size of a message between daemons beyond its body
	maxConnections  = 4096             // concurrent connections per listener
	maxStreams      = 1024             // concurrent requests per connection from another daemon
)

// sockets holds a daemon's TCP listeners. They are opened before their addresses
// are published, so that the settings may use port 0 and an invalid address
// fails at startup.
type sockets struct {
	callers, peers, local, admin net.Listener
}

func (d *Daemon) openSockets() error {
	s := d.config.Settings
	opened := &sockets{}
	for _, socket := range []struct {
		purpose, address string
		listener         *net.Listener
	}{
		{"callers", s.Caller, &opened.callers},
		{"daemons", s.Relay, &opened.peers},
		{"the backend server", s.Local, &opened.local},
		{"operators", s.Admin, &opened.admin},
	} {
		listener, err := net.Listen("tcp", socket.address)
		if err != nil {
			opened.close()
			return &mtlisten.ListenError{Purpose: socket.purpose, Address: socket.address, Err: err}
		}
		*socket.listener = listener
	}
	return mtkernel.Register(d.kernel, NameSockets, opened, opened.close)
}

func (s *sockets) close() {
	for _, l := range []net.Listener{s.callers, s.peers, s.local, s.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses holds the host:port of each listener of a daemon.
type Addresses struct{ Caller, Relay, Renew, Local, Admin string }

// Addresses returns the addresses on which this daemon listens. Where the
// settings have port 0, they contain the port that the kernel assigned.
func (d *Daemon) Addresses() Addresses {
	s := mtkernel.MustLookup[*sockets](d.kernel, NameSockets)
	return Addresses{
		Caller: s.callers.Addr().String(),
		Relay:  s.peers.Addr().String(),
		Renew:  mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).Address(),
		Local:  s.local.Addr().String(),
		Admin:  s.admin.Addr().String(),
	}
}

// listeners holds the servers for callers, the local backend server and other
// daemons.
type listeners struct {
	callers *mtlisten.Server
	local   *mtlisten.Server
	peers   net.Listener
	grpc    *grpc.Server
	once    sync.Once
	stop    chan struct{}
}

// newEcho returns an echo server that does not print its banner to standard
// output.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// listen starts the servers for callers, other daemons and the backend server.
func (d *Daemon) listen() error {
	s := mtkernel.MustLookup[*sockets](d.kernel, NameSockets)
	options := mtlisten.Options{MaxConnections: maxConnections, ReadTimeout: readTimeout, Log: d.config.Log}
	l := &listeners{
		callers: mtlisten.Start(s.callers, d.callers(), options),
		local:   mtlisten.Start(s.local, d.local(), options),
		peers:   mtlisten.LimitConnections(s.peers, maxConnections),
		grpc:    d.peers(),
		stop:    make(chan struct{}),
	}
	d.listeners = l
	return mtkernel.Register(d.kernel, NameListeners, l, l.close)
}

func (d *Daemon) callers() http.Handler {
	e := newEcho()
	mtcaller.Register(e, mtcaller.Config{
		Router:      mtkernel.MustLookup[*mtrouter.Router](d.kernel, NameRouter),
		Addresses:   addresses{view: mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		Clock:       mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		MaxBodySize: d.config.Settings.MaxBodyBytes,
	})
	return e
}

// addresses resolves a holder to its address for callers.
type addresses struct{ view *mtview.View }

// CallerAddress returns the address for callers of a holder, or an empty string
// if the roster has no record of this incarnation of the daemon.
func (a addresses) CallerAddress(h mtid.Holder) string {
	record, _, ok := a.view.Snapshot().Record(h.Daemon)
	if !ok || record.Holder != h {
		return ""
	}
	return record.CallerAddress
}

func (d *Daemon) local() http.Handler {
	e := newEcho()
	e.POST(mtheader.AnnouncePath, mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Announce)
	e.GET("/debug/vars", echo.WrapHandler(mtkernel.MustLookup[*mtmetric.Metrics](d.kernel, NameMetrics).Handler()))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:name", func(c echo.Context) error {
		pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

func (d *Daemon) peers() *grpc.Server {
	size := int(d.config.Settings.MaxBodyBytes) + messageOverhead
	server := grpc.NewServer(
		grpc.Creds(mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).server()),
		grpc.MaxRecvMsgSize(size),
		grpc.MaxSendMsgSize(size),
		grpc.MaxHeaderListSize(mtlisten.MaxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		// The default timeout is two minutes. Clients that connect without
		// starting a handshake would use up the connection limit for that time
		// and lock out other daemons.
		grpc.ConnectionTimeout(mtlisten.HeaderTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	view := mtkernel.MustLookup[*mtview.View](d.kernel, NameView)
	onFrontier := d.frontierHint()
	hint := func(frontier mtid.Revision, from mtid.Holder) { onFrontier(from.Daemon, frontier) }
	relay := mtrelay.NewServer(mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner), view, mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock), hint)
	relay.Register(server)
	mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).Register(server)
	mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison).Register(server)
	mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).ServeOn(server)
	mtwire.RegisterPlannerServer(server, mtkernel.MustLookup[*mtplanner.Planner](d.kernel, NamePlanner))
	mtwire.RegisterInformServer(server, mtkernel.MustLookup[*mtadmin.Server](d.kernel, NameAdmin).Informer())
	return server
}

// addTasks adds the servers to the kernel as tasks.
func (l *listeners) addTasks(k *mtkernel.Kernel) {
	interrupt := func(error) { l.close() }
	k.AddTask(func() error { return l.waitFailureOrStop(l.callers) }, interrupt)
	k.AddTask(func() error { return l.waitFailureOrStop(l.local) }, interrupt)
	k.AddTask(l.servePeers, interrupt)
}

// waitFailureOrStop waits until a server fails or all listeners are closed. It
// does not return when only this server has shut down: the kernel stops all tasks as
// soon as one returns, which would abort requests in flight on the other listeners.
func (l *listeners) waitFailureOrStop(server *mtlisten.Server) error {
	select {
	case err := <-server.Failed():
		return err
	case <-l.stop:
		return nil
	}
}

func (l *listeners) servePeers() error {
	if err := l.grpc.Serve(l.peers); err != nil {
		return err
	}
	<-l.stop
	return nil
}

func (l *listeners) closeCallers(ctx context.Context) { l.callers.Shutdown(ctx) }

// closePeers waits for relayed requests to finish and aborts those that are
// still in flight when ctx is done.
func (l *listeners) closePeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		l.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		l.grpc.Stop()
	}
}

func (l *listeners) close() {
	l.once.Do(func() {
		close(l.stop)
		l.callers.Close()
		l.local.Close()
		l.grpc.Stop()
	})
}
