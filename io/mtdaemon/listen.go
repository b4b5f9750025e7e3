package mtdaemon

import (
	"context"
	"errors"
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
	headerTimeout = 5 * time.Second  // for a caller to send its headers
	readTimeout   = 30 * time.Second // for a caller to send a whole request
	idleTimeout   = 2 * time.Minute  // of a caller's connection
	headerBytes   = 16 << 10         // of one request
	pingEvery     = 10 * time.Second // the shortest interval that a peer may ping at
	messageSpare  = 512 << 10        // of a message between daemons beside its body
	connections   = 4096             // open at once on one listener
)

// ListenError says that an address can't be listened on.
type ListenError struct {
	Purpose string
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "daemon: can't listen on " + e.Address + " for " + e.Purpose + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// listeners are the ways into a daemon.
type listeners struct {
	callers *httpListener
	local   *httpListener
	peers   net.Listener
	grpc    *grpc.Server
	once    sync.Once
	stop    chan struct{}
}

// httpListener is a listener with the server behind it.
type httpListener struct {
	listener net.Listener
	server   *http.Server
}

func newHTTP(purpose, address string, handler http.Handler) (*httpListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Purpose: purpose, Address: address, Err: err}
	}
	return &httpListener{listener: mtlisten.Limit(listener, connections), server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}}, nil
}

// serve serves until stop is closed. After a graceful shutdown of this listener
// it goes on waiting: a duty that ends would end all others with it, and cut
// off what they have in flight.
func (l *httpListener) serve(stop <-chan struct{}) error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stop
	return nil
}

// newEcho returns an echo without its banner, which would go to the output.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// listen opens all listeners, so that a wrong address shows at the start.
func (d *Daemon) listen() error {
	l := &listeners{stop: make(chan struct{})}
	s := d.config.Settings
	var err error
	if l.callers, err = newHTTP("callers", s.Caller, d.callers()); err != nil {
		return err
	}
	if l.local, err = newHTTP("the backend server", s.Local, d.local()); err != nil {
		return err
	}
	if l.peers, err = net.Listen("tcp", s.Relay); err != nil {
		return &ListenError{Purpose: "daemons", Address: s.Relay, Err: err}
	}
	l.peers = mtlisten.Limit(l.peers, connections)
	l.grpc = d.peers()
	d.listeners = l
	return mtkernel.Register(d.kernel, "listeners", l, l.close)
}

func (d *Daemon) callers() http.Handler {
	e := newEcho()
	mtcaller.Register(e, mtcaller.Config{
		Router:    need[*mtrouter.Router](d, NameRouter),
		Addresses: addresses{view: need[*mtview.View](d, NameView)},
		Clock:     need[*mttime.Clock](d, NameClock),
		Body:      d.config.Settings.Body,
	})
	return e
}

// addresses finds where callers reach a daemon.
type addresses struct{ view *mtview.View }

// CallerAddress returns the address for callers of a live holder, or nothing.
func (a addresses) CallerAddress(h mtid.Holder) string {
	record, _, ok := a.view.Now().Record(h.Daemon)
	if !ok || record.Holder != h {
		return ""
	}
	return record.Caller
}

func (d *Daemon) local() http.Handler {
	e := newEcho()
	e.POST(mtheader.AnnouncePath, need[*mtserver.Pool](d, NameServers).Announce)
	e.GET("/debug/vars", echo.WrapHandler(need[*mtmetric.Metrics](d, NameMetrics).Handler()))
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
		grpc.Creds(need[*credentialSet](d, NameKeys).server()),
		grpc.MaxRecvMsgSize(size),
		grpc.MaxSendMsgSize(size),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingEvery, PermitWithoutStream: true}),
	)
	view := need[*mtview.View](d, NameView)
	hint := func(frontier mtid.Revision, from mtid.Holder) { d.heard(from.Daemon, frontier) }
	relay := mtrelay.NewServer(need[*mtowner.Owner](d, NameOwner), view, need[*mttime.Clock](d, NameClock), hint)
	relay.Register(server)
	need[*mtmover.Mover](d, NameMover).Register(server)
	need[*mtpoison.Watch](d, NamePoison).Register(server)
	need[*mtrenew.Duty](d, NameRenew).ServeOn(server)
	mtwire.RegisterPlannerServer(server, need[*mtplanner.Planner](d, NamePlanner))
	mtwire.RegisterInformServer(server, need[*mtadmin.Server](d, NameAdmin).Informer())
	return server
}

// duties runs the listeners under the kernel.
func (l *listeners) duties(k *mtkernel.Kernel) {
	interrupt := func(error) { l.close() }
	k.Duty(func() error { return l.callers.serve(l.stop) }, interrupt)
	k.Duty(func() error { return l.local.serve(l.stop) }, interrupt)
	k.Duty(l.servePeers, interrupt)
}

func (l *listeners) servePeers() error {
	if err := l.grpc.Serve(l.peers); err != nil {
		return err
	}
	<-l.stop
	return nil
}

func (l *listeners) closeCallers(ctx context.Context) { _ = l.callers.server.Shutdown(ctx) }

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
		_ = l.callers.server.Close()
		_ = l.local.server.Close()
		l.grpc.Stop()
	})
}
