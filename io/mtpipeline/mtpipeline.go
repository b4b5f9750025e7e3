// Package mtpipeline is an HTTP/1.1 server that processes pipelined requests of a connection
// concurrently.
//
// The server of net/http reads the next request of a connection only after it has answered
// the previous one, so three pipelined requests take as long as the sum of all three. This
// server processes GET and HEAD requests without a body concurrently and answers them in
// the order of their arrival. Any other request starts only after all previous ones have
// been answered, and later requests start only after it has been answered.
//
// Requests are parsed and responses are written by net/http.
//
// # Usage
//
//	server := &mtpipeline.Server{Handler: handler, Limits: limits}
//	err := server.Serve(listener) // http.ErrServerClosed after Shutdown or Close
//
// A handler may pass a large body to the response writer's method SendBody, which sends it without a copy.
//
// A response with "Connection: close" closes its connection. Requests that have been read by
// then are still answered, and only the last response announces that the connection closes.
// Once Shutdown has been called, or while too many connections are open, every connection closes
// in this way.
package mtpipeline

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"magnoliaturn/io/mtdial"
)

// Limits bounds the resources that a caller may use.
type Limits struct {
	MaxHeaderBytes int           // maximum size of a request header, in bytes
	HeaderTimeout  time.Duration // timeout for a request header, from its first byte
	IdleTimeout    time.Duration // timeout for the next request on an idle connection
	// StallTimeout is how long the caller may send nothing of a body, or read nothing of a
	// response, before its connection is closed. The bytes of both are held until then.
	StallTimeout  time.Duration
	MaxConcurrent int // maximum number of concurrent requests of a connection
	// MaxKept is the number of open connections above which each response closes its
	// connection, so that those that callers keep without using them leave room for new ones.
	// Zero means that connections are always kept.
	MaxKept int
}

// Server serves HTTP/1.1 connections. Its exported fields must not be changed after Serve has
// been called.
type Server struct {
	Handler http.Handler
	Limits  Limits
	Log     *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closing  bool
	active   sync.WaitGroup // counts the open connections, and Serve while it accepts
}

// Serve accepts and serves connections until Shutdown or Close is called, and returns
// http.ErrServerClosed then. If the listener fails, it returns the error of the listener.
func (s *Server) Serve(l net.Listener) error {
	if !s.begin(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.active.Done()
	for {
		accepted, err := l.Accept()
		if err != nil {
			if s.isClosing() {
				return http.ErrServerClosed
			}
			return err
		}
		go s.track(accepted).serve()
	}
}

// begin registers the listener, unless the server is closing.
func (s *Server) begin(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.listener = l
	s.active.Add(1)
	return true
}

// track registers a connection. If the server is closing, the connection reads a final
// request at most.
func (s *Server) track(accepted net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newConn(s, accepted)
	c.closing = s.closing
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return c
}

// untrack unregisters a connection that has ended.
func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.active.Done()
}

// isClosing reports whether Shutdown or Close has been called.
func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// keepsConnections reports whether connections are kept after a response.
func (s *Server) keepsConnections() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closing && (s.Limits.MaxKept == 0 || len(s.conns) <= s.Limits.MaxKept)
}

// beginClose marks the server as closing. From here on every response announces the close, also
// on connections that have not been told to close yet.
func (s *Server) beginClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
}

// closeListener closes the listener and returns the open connections.
func (s *Server) closeListener() []*conn {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*conn
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// awaitAccepted waits until Serve has accepted the connections that wait for it.
func (s *Server) awaitAccepted(ctx context.Context) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	if err := mtdial.AwaitAccepted(ctx, listener); err != nil {
		s.Log.Info("connections that wait to be accepted may be reset", "error", err)
	}
}

// Shutdown accepts no new connections, reads no further requests than those that are just
// arriving on idle connections, and waits until those that have been read are answered. If ctx
// ends first, it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginClose()
	s.awaitAccepted(ctx)
	for _, c := range s.closeListener() {
		c.closeWhenAnswered()
	}
	answered := make(chan struct{})
	go func() {
		s.active.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.beginClose()
	for _, c := range s.closeListener() {
		c.abort()
	}
	return nil
}
