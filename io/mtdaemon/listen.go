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
	readTimeout  = 30 * time.Second // for a caller to send a whole request
	pingEvery    = 10 * time.Second // the shortest interval that a peer may ping at
	messageSpare = 512 << 10        // of a message between daemons beside its body
	connections  = 4096             // open at once on one listener
	streams      = 1024             // requests of one other daemon at once
)

// sockets are a daemon's open TCP addresses. They are opened before anything is
// told of them, so that a setting may name port 0, and a wrong address shows at
// the start.
type sockets struct {
	callers, peers, local, admin net.Listener
}

func (d *Daemon) open() error {
	s := d.config.Settings
	opened := &sockets{}
	for _, one := range []struct {
		purpose, address string
		into             *net.Listener
	}{
		{"callers", s.Caller, &opened.callers},
		{"daemons", s.Relay, &opened.peers},
		{"the backend server", s.Local, &opened.local},
		{"operators", s.Admin, &opened.admin},
	} {
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			opened.close()
			return &mtlisten.ListenError{Purpose: one.purpose, Address: one.address, Err: err}
		}
		*one.into = listener
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

// Addresses are where a daemon listens.
type Addresses struct{ Caller, Relay, Renew, Local, Admin string }

// Addresses returns where this daemon listens, with the ports that were chosen
// where the settings name port 0.
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

// listeners are the ways into a daemon.
type listeners struct {
	callers *mtlisten.Server
	local   *mtlisten.Server
	peers   net.Listener
	grpc    *grpc.Server
	once    sync.Once
	stop    chan struct{}
}

// newEcho returns an echo without its banner, which would go to the output.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// listen serves the sockets of callers, daemons and the backend server.
func (d *Daemon) listen() error {
	s := mtkernel.MustLookup[*sockets](d.kernel, NameSockets)
	options := mtlisten.Options{Connections: connections, Read: readTimeout}
	l := &listeners{
		callers: mtlisten.Start(s.callers, d.callers(), options),
		local:   mtlisten.Start(s.local, d.local(), options),
		peers:   mtlisten.Limit(s.peers, connections),
		grpc:    d.peers(),
		stop:    make(chan struct{}),
	}
	d.listeners = l
	return mtkernel.Register(d.kernel, NameListeners, l, l.close)
}

func (d *Daemon) callers() http.Handler {
	e := newEcho()
	mtcaller.Register(e, mtcaller.Config{
		Router:    mtkernel.MustLookup[*mtrouter.Router](d.kernel, NameRouter),
		Addresses: addresses{view: mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		Clock:     mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Body:      d.config.Settings.Body,
	})
	return e
}

// addresses finds where callers reach a daemon.
type addresses struct{ view *mtview.View }

// CallerAddress returns the address for callers of a live holder, or nothing.
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
	size := int(d.config.Settings.Body) + messageSpare
	server := grpc.NewServer(
		grpc.Creds(mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).server()),
		grpc.MaxRecvMsgSize(size),
		grpc.MaxSendMsgSize(size),
		grpc.MaxHeaderListSize(mtlisten.HeaderBytes),
		grpc.MaxConcurrentStreams(streams),
		// A client that connects and says nothing would else hold its place for
		// two minutes, and enough of them would shut the other daemons out.
		grpc.ConnectionTimeout(mtlisten.HeaderTime),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingEvery, PermitWithoutStream: true}),
	)
	view := mtkernel.MustLookup[*mtview.View](d.kernel, NameView)
	heard := d.listener()
	hint := func(frontier mtid.Revision, from mtid.Holder) { heard(from.Daemon, frontier) }
	relay := mtrelay.NewServer(mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner), view, mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock), hint)
	relay.Register(server)
	mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover).Register(server)
	mtkernel.MustLookup[*mtpoison.Detector](d.kernel, NamePoison).Register(server)
	mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew).ServeOn(server)
	mtwire.RegisterPlannerServer(server, mtkernel.MustLookup[*mtplanner.Planner](d.kernel, NamePlanner))
	mtwire.RegisterInformServer(server, mtkernel.MustLookup[*mtadmin.Server](d.kernel, NameAdmin).Informer())
	return server
}

// duties runs the listeners under the kernel.
func (l *listeners) duties(k *mtkernel.Kernel) {
	interrupt := func(error) { l.close() }
	k.AddTask(func() error { return l.untilStop(l.callers) }, interrupt)
	k.AddTask(func() error { return l.untilStop(l.local) }, interrupt)
	k.AddTask(l.servePeers, interrupt)
}

// untilStop waits for a server to fail or for the stop. After a graceful
// shutdown of one listener it goes on waiting: a duty that ends would end all
// others with it, and cut off what they have in flight.
func (l *listeners) untilStop(server *mtlisten.Server) error {
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

// closePeers lets relayed requests finish, and cuts off at the end of ctx.
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
