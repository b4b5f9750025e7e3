package mtlisten

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"magnoliaturn/core/mtclock"
)

// ConnTimes are times of a connection that a listener accepted. They are zero if unknown.
type ConnTimes struct {
	// NotBefore is when no connection waited to be accepted: the peer opened this one later.
	// It may have ended before Accepted, since the kernel completes connections by itself.
	NotBefore mtclock.Instant
	Accepted  mtclock.Instant
}

// TimesOf returns the times of the connection of a request, by Options.Clock.
func TimesOf(ctx context.Context) ConnTimes {
	times, _ := ctx.Value(timesKey{}).(ConnTimes)
	return times
}

// timesKey is the context key for the times of a connection.
type timesKey struct{}

const (
	// queueCheckInterval is how often a listener without new connections is found to have none
	// waiting.
	queueCheckInterval = 200 * time.Millisecond
	// longAgo precedes all connections. Zero would mean an unknown time.
	longAgo mtclock.Instant = 1
)

// clock provides the times of connections.
type clock interface{ Now() mtclock.Instant }

// socket is the part of a TCP listener by which its queue is checked.
type socket interface {
	SyscallConn() (syscall.RawConn, error)
	SetDeadline(t time.Time) error
}

// timedListener determines the times of the connections that it accepts.
type timedListener struct {
	net.Listener
	socket  socket
	clock   clock
	emptyAt mtclock.Instant // no connection waited then
	latest  ConnTimes       // of the connection accepted last
}

// newTimedListener returns a listener that accepts by an inner one, which passes on the
// connections of a socket.
func newTimedListener(inner, base net.Listener, clock clock) *timedListener {
	l := &timedListener{Listener: inner, clock: clock, emptyAt: longAgo}
	l.socket, _ = base.(socket)
	return l
}

// Accept implements net.Listener. The queue is checked between the attempts to accept: one that
// is found empty by another goroutine may have been emptied by this one.
func (l *timedListener) Accept() (net.Conn, error) {
	for {
		if l.socket != nil {
			now := l.clock.Now()
			if queueIsEmpty(l.socket) {
				l.emptyAt = now
			}
			_ = l.socket.SetDeadline(time.Now().Add(queueCheckInterval))
		}
		conn, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err == nil {
			l.latest = ConnTimes{NotBefore: l.emptyAt, Accepted: l.clock.Now()}
		}
		return conn, err
	}
}

// connContext is an http.Server.ConnContext function. The server calls it for each connection
// before it accepts the next.
func (l *timedListener) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, timesKey{}, l.latest)
}

// queueIsEmpty reports whether no connection waits to be accepted; false if that is unknown.
func queueIsEmpty(s socket) bool {
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		waiting, pollErr := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		empty = pollErr == nil && waiting == 0
	})
	return err == nil && empty
}
