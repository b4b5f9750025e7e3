// Package mtlisten opens the HTTP listeners of a daemon with limits on connections,
// header sizes and times, so that a slow, unresponsive or malicious client can't exhaust
// a small VM.
//
// # Usage
//
//	server, cleanUp, err := mtlisten.Serve(settings.Admin, api.Handler(), mtlisten.Options{
//		MaxConnections: 256,
//		TLS:            credentials.Admin(), // nil for plain HTTP
//	})
//	defer cleanUp()
//
// The clean-up stops accepting connections, waits up to Options.Grace for requests in
// flight, and then closes the remaining connections.
//
// A daemon that goes on without one of its listeners as long as the address is in use opens a Port:
//
//	port := mtlisten.Open("callers", mtlisten.Listen, log, settings.Callers)
//	server := mtlisten.Start(port, handler, options)
package mtlisten

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/io/mtdial"
	"magnoliaturn/io/mtpipeline"
)

// Limits that apply to every listener.
const (
	HeaderTimeout  = 5 * time.Second  // timeout for a request header
	IdleTimeout    = 60 * time.Second // timeout for the next request on a connection
	StallTimeout   = 30 * time.Second // timeout for progress of a body or a response, if pipelined
	MaxHeaderBytes = 16 << 10         // maximum size of a request header
	DefaultGrace   = 10 * time.Second // how long a shutdown waits for requests in flight

	defaultConnections = 1024
	// maxPipelined is how many pipelined requests of a connection are processed at once.
	maxPipelined = 32
)

// ListenError reports that a listener could not be opened, or that it failed later.
type ListenError struct {
	Purpose string // who the listener is for; may be empty
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	where := "listen on " + e.Address
	if e.Purpose != "" {
		where += " for " + e.Purpose
	}
	return where + ": " + e.Err.Error()
}

// Unwrap returns the error of the network listener or of the server.
func (e *ListenError) Unwrap() error { return e.Err }

// Options are the settings that differ between listeners.
type Options struct {
	MaxConnections int           // maximum number of open connections; 0 means 1024
	ReadTimeout    time.Duration // timeout for a whole request; 0 means no limit
	WriteTimeout   time.Duration // timeout for a whole response; 0 means no limit
	Grace          time.Duration // how long a shutdown waits for requests; 0 means DefaultGrace
	TLS            *tls.Config
	// Pipelined processes pipelined requests concurrently, with package mtpipeline. TLS,
	// ReadTimeout, WriteTimeout and Clock are ignored then.
	Pipelined bool
	Log       *slog.Logger // nil means slog.Default()
	// Clock is the clock for TimesOf; nil if it is not used.
	Clock interface{ Now() mtclock.Instant }
}

// Server is an open listener and the HTTP server that handles its connections.
type Server struct {
	listener  net.Listener
	engine    engine
	accepting chan struct{} // closed when the engine begins to accept connections
	failed    chan error
	done      chan struct{}
}

// engine is an HTTP server, either *httpServer or *mtpipeline.Server.
type engine interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Address returns the address of the listener. If it was opened with port 0, this is the
// port that the kernel chose.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns a channel that receives a *ListenError if the server ends before it is shut
// down.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops accepting connections and waits for requests in flight. When ctx is done,
// it closes the remaining connections. It must be called only once.
func (s *Server) Shutdown(ctx context.Context) {
	// An engine that is shut down before it accepts would close the listener at once, which resets
	// the connections that wait to be accepted.
	select {
	case <-s.accepting:
	case <-s.done:
	case <-ctx.Done():
	}
	if s.engine.Shutdown(ctx) != nil {
		_ = s.engine.Close()
	}
	<-s.done
}

// Close closes the listener and all connections at once. It may be called at any time, also
// after Shutdown.
func (s *Server) Close() { _ = s.engine.Close() }

// Serve listens on a TCP address and serves handler until the clean-up function is called,
// which shuts the server down gracefully. Serve fails with a *ListenError.
func Serve(address string, handler http.Handler, options Options) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, &ListenError{Address: address, Err: err}
	}
	s := Start(listener, handler, options)
	return s, s.cleanUp(options.Grace), nil
}

// ServePort serves handler on a port until the clean-up function is called, which shuts the server
// down gracefully.
func ServePort(port *Port, handler http.Handler, options Options) (cleanUp func()) {
	return Start(port, handler, options).cleanUp(options.Grace)
}

// cleanUp returns a function that shuts the server down.
func (s *Server) cleanUp(grace time.Duration) func() {
	if grace == 0 {
		grace = DefaultGrace
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		s.Shutdown(ctx)
	}
}

// Start serves handler on an open listener until Shutdown or Close is called.
func Start(listener net.Listener, handler http.Handler, options Options) *Server {
	if options.MaxConnections == 0 {
		options.MaxConnections = defaultConnections
	}
	if options.Log == nil {
		options.Log = slog.Default()
	}
	s := &Server{listener: listener, accepting: make(chan struct{}), failed: make(chan error, 1), done: make(chan struct{})}
	var accepted net.Listener = &watchedListener{
		Listener: LimitConnections(listener, options.MaxConnections),
		onAccept: sync.OnceFunc(func() { close(s.accepting) }),
	}
	var connContext func(context.Context, net.Conn) context.Context
	if options.Clock != nil && !options.Pipelined {
		timed := newTimedListener(accepted, listener, options.Clock)
		accepted, connContext = timed, timed.connContext
	}
	s.engine = newEngine(handler, options, connContext)
	go func() {
		defer close(s.done)
		if err := s.engine.Serve(accepted); err != http.ErrServerClosed {
			s.failed <- &ListenError{Address: s.Address(), Err: err}
		}
	}()
	return s
}

// keptDivisor divides the limit of a listener's connections to give how many are kept after
// their responses, at least one. The rest is left for callers that open new ones.
const keptDivisor = 2

func newEngine(handler http.Handler, options Options, connContext func(context.Context, net.Conn) context.Context) engine {
	if options.Pipelined {
		limits := mtpipeline.Limits{MaxHeaderBytes: MaxHeaderBytes, HeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout, StallTimeout: StallTimeout, MaxConcurrent: maxPipelined, MaxKept: max(options.MaxConnections/keptDivisor, 1)}
		return &mtpipeline.Server{Handler: handler, Limits: limits, Log: options.Log}
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout:       options.ReadTimeout,
		WriteTimeout:      options.WriteTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		TLSConfig:         options.TLS,
		ConnContext:       connContext,
	}
	return &httpServer{Server: server, tls: options.TLS != nil, log: options.Log}
}

// httpServer is an engine that is a server of net/http.
type httpServer struct {
	*http.Server
	tls      bool
	log      *slog.Logger
	listener atomic.Pointer[net.Listener]
}

// Serve implements engine.
func (s *httpServer) Serve(l net.Listener) error {
	s.listener.Store(&l)
	if s.tls {
		return s.ServeTLS(l, "", "")
	}
	return s.Server.Serve(l)
}

// Shutdown implements engine. It first lets the server accept the connections that wait, whose
// responses announce the close.
func (s *httpServer) Shutdown(ctx context.Context) error {
	s.SetKeepAlivesEnabled(false)
	if listener := s.listener.Load(); listener != nil {
		if err := mtdial.AwaitAccepted(ctx, *listener); err != nil {
			s.log.Info("connections that wait to be accepted may be reset", "address", (*listener).Addr().String(), "error", err)
		}
	}
	return s.Server.Shutdown(ctx)
}

// LimitConnections returns a listener that accepts at most maxConnections concurrent
// connections and closes any further one immediately. If it stopped accepting instead, new
// clients would wait in the accept queue of the kernel behind idle connections. A closed
// connection makes them try another daemon.
func LimitConnections(listener net.Listener, maxConnections int) net.Listener {
	return &limitedListener{Listener: listener, tokens: make(chan struct{}, maxConnections)}
}

// watchedListener calls onAccept before it waits for each connection.
type watchedListener struct {
	net.Listener
	onAccept func()
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	l.onAccept()
	return l.Listener.Accept()
}

type limitedListener struct {
	net.Listener
	tokens chan struct{} // holds one token for each open connection
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.tokens })}, nil
		default:
			_ = conn.Close()
		}
	}
}

// countedConn is a connection that returns its token when it is first closed.
type countedConn struct {
	net.Conn
	release func()
}

// CloseWrite closes the write side. It fails with errors.ErrUnsupported if the connection
// can't be half-closed.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn. It fails with errors.ErrUnsupported if the connection has
// no socket.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
