// Package mtlisten opens the HTTP listeners of a daemon with limits on
// connections, headers and time, so that a client that is slow, silent or
// hostile can't use up a small VM.
//
// # Usage
//
//	server, cleanUp, err := mtlisten.Serve(settings.Admin, api.Handler(), mtlisten.Options{
//		Connections: 256,
//		TLS:         held.Admin(), // nil for plain HTTP
//	})
//	defer cleanUp()
//
// The clean-up stops accepting, lets requests that are being served end within
// Grace, and then closes what is left.
package mtlisten

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"magnoliaturn/io/mtpipeline"
)

// Limits of every listener.
const (
	HeaderTime  = 5 * time.Second  // for a request's header
	IdleTime    = 60 * time.Second // for the next request on a connection
	HeaderBytes = 16 << 10
	Grace       = 10 * time.Second

	defaultConnections = 1024
	// outstanding is how many requests of one connection are served at once.
	outstanding = 32
)

// ListenError says that an address can't be listened on.
type ListenError struct {
	Purpose string // may be empty
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

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Options are the limits that differ between listeners.
type Options struct {
	Connections int           // open at once; 0 is 1024
	Read        time.Duration // for a whole request; 0 is no limit
	Write       time.Duration // for a whole reply; 0 is no limit
	Grace       time.Duration // for requests that run at the end; 0 is Grace
	TLS         *tls.Config
	// Pipelined serves requests at the same time that were sent before the first of them
	// was answered (mtpipeline). It goes without TLS, Read, Write and ConnContext.
	Pipelined bool
	Log       *slog.Logger // of a pipelined server
	// ConnContext is that of net/http: it adds to the context of what comes on a new
	// connection. It may be nil.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
}

// Server is an open listener.
type Server struct {
	listener net.Listener
	engine   engine
	failed   chan error
	done     chan struct{}
}

// engine serves connections; *http.Server is one.
type engine interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Address returns where the server listens, with the port that was chosen if
// the address named port 0.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Failed returns a channel on which the server's end is told, if it comes
// before the clean-up.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown takes no new connections, lets the requests that are being served
// end, and cuts off what is left when ctx is done. It is called once.
func (s *Server) Shutdown(ctx context.Context) {
	if s.engine.Shutdown(ctx) != nil {
		_ = s.engine.Close()
	}
	<-s.done
}

// Close cuts everything off. It may be called at any time, also after Shutdown.
func (s *Server) Close() { _ = s.engine.Close() }

// Serve listens on address and serves handler until the clean-up, which is
// graceful. It fails with a *ListenError.
func Serve(address string, handler http.Handler, options Options) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, &ListenError{Address: address, Err: err}
	}
	if options.Grace == 0 {
		options.Grace = Grace
	}
	s := Start(listener, handler, options)
	return s, func() {
		ctx, cancel := context.WithTimeout(context.Background(), options.Grace)
		defer cancel()
		s.Shutdown(ctx)
	}, nil
}

// Start serves handler on a listener until Shutdown or Close.
func Start(listener net.Listener, handler http.Handler, options Options) *Server {
	if options.Connections == 0 {
		options.Connections = defaultConnections
	}
	s := &Server{listener: listener, failed: make(chan error, 1), done: make(chan struct{}), engine: newEngine(handler, options)}
	bounded := Limit(listener, options.Connections)
	go func() {
		defer close(s.done)
		if err := s.engine.Serve(bounded); err != http.ErrServerClosed {
			s.failed <- &ListenError{Address: s.Address(), Err: err}
		}
	}()
	return s
}

func newEngine(handler http.Handler, options Options) engine {
	if options.Pipelined {
		limits := mtpipeline.Limits{Header: HeaderBytes, HeaderTime: HeaderTime, IdleTime: IdleTime, Outstanding: outstanding}
		return &mtpipeline.Server{Handler: handler, Limits: limits, Log: options.Log}
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTime,
		ReadTimeout:       options.Read,
		WriteTimeout:      options.Write,
		IdleTimeout:       IdleTime,
		MaxHeaderBytes:    HeaderBytes,
		TLSConfig:         options.TLS,
		ConnContext:       options.ConnContext,
	}
	if options.TLS != nil {
		return &secured{Server: server}
	}
	return server
}

// secured serves over TLS.
type secured struct{ *http.Server }

// Serve implements engine.
func (s *secured) Serve(l net.Listener) error { return s.ServeTLS(l, "", "") }

// Limit returns a listener that closes connections past most at once. A
// listener that stopped accepting instead would leave new clients waiting in
// the kernel's queue behind silent ones; so they learn that they must go
// elsewhere.
func Limit(listener net.Listener, most int) net.Listener {
	return &limited{Listener: listener, free: make(chan struct{}, most)}
}

type limited struct {
	net.Listener
	free chan struct{} // holds a token for each open connection
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &counted{Conn: conn, release: sync.OnceFunc(func() { <-l.free })}, nil
		default:
			_ = conn.Close()
		}
	}
}

// counted gives its place back when it is closed, once.
type counted struct {
	net.Conn
	release func()
}

// CloseWrite ends the sending half, where the connection has two.
func (c *counted) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *counted) Close() error {
	defer c.release()
	return c.Conn.Close()
}
