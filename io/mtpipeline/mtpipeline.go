// Package mtpipeline serves HTTP/1.1 connections on which callers send further requests
// before the first one is answered.
//
// The server of net/http reads the next request of a connection once the one before is
// answered, so that whoever sends three at once waits for the third as long as for all of
// them. Here requests that are safe to repeat and carry no body are served at the same
// time, and answered in the order in which they came. Any other request begins once those
// before it are answered, and nothing behind it begins before it is.
//
// Parsing and writing are those of net/http.
//
// # Usage
//
//	server := &mtpipeline.Server{Handler: handler, Limits: limits}
//	err := server.Serve(listener) // http.ErrServerClosed after Shutdown or Close
//
// An answer with the field "Connection: close" is the last one on its connection, but for
// those of requests that had been read by then: all of these are answered, and the last of
// them says that the connection closes.
package mtpipeline

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bound what a caller may use up.
type Limits struct {
	Header      int           // bytes of a request's header
	HeaderTime  time.Duration // for a request's header, from its first byte on
	IdleTime    time.Duration // for the next request on a connection
	Outstanding int           // requests of one connection that are served at once
}

// Server serves connections. Its fields are set before Serve, and not changed.
type Server struct {
	Handler http.Handler
	Limits  Limits
	Log     *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closing  bool
	ended    sync.WaitGroup // connections
}

// Serve serves what the listener accepts until Shutdown or Close, and returns
// http.ErrServerClosed then, or why the listener failed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closing := s.closing
	s.mu.Unlock()
	if closing {
		_ = l.Close()
		return http.ErrServerClosed
	}
	for {
		accepted, err := l.Accept()
		if err != nil {
			if s.ending() {
				return http.ErrServerClosed
			}
			return err
		}
		if c := s.add(accepted); c != nil {
			go c.serve()
		}
	}
}

// add takes in a connection, unless the server ends.
func (s *Server) add(accepted net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		_ = accepted.Close()
		return nil
	}
	c := newConn(s, accepted)
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	s.ended.Add(1)
	return c
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.ended.Done()
}

// ending reports whether the server has been told to end.
func (s *Server) ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// end closes the listener and returns the open connections.
func (s *Server) end() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	var open []*conn
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

// Shutdown takes no new connections and no new requests, and returns once those that have
// been read are answered, or with the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.end() {
		c.finish()
	}
	answered := make(chan struct{})
	go func() {
		s.ended.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cuts all connections off.
func (s *Server) Close() error {
	for _, c := range s.end() {
		c.abort()
	}
	return nil
}
