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
	"magnoliaturn/io/mtdial"
)

// ConnTimes are times of a connection that a listener accepted. They are zero if unknown.
type ConnTimes struct {
	// OpenedAfter is the latest time at which no connection was found waiting to be accepted, so
	// the peer opened this one later. Accepted may be much later: the kernel completes
	// connections by itself, and the peer may have ended while this one waited.
	OpenedAfter mtclock.Instant
	Accepted    mtclock.Instant
}

// TimesOf returns the times of the connection of a request, by Options.Clock.
func TimesOf(ctx context.Context) ConnTimes {
	times, _ := ctx.Value(timesKey{}).(ConnTimes)
	return times
}

// timesKey is the context key for the times of a connection.
type timesKey struct{}

const (
	// queueCheckInterval is how often the queue is checked while no connections arrive.
	queueCheckInterval = 200 * time.Millisecond
	// longAgo is before all connections were opened. It isn't zero, which means unknown.
	longAgo mtclock.Instant = 1
)

// clock provides the times of connections.
type clock interface{ Now() mtclock.Instant }

// socket is the part of a TCP listener by which its queue is checked.
type socket interface {
	syscall.Conn
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

// newTimedListener returns a listener that accepts from inner, which wraps base. The times of
// connections are known only if base is a TCP listener.
func newTimedListener(inner, base net.Listener, clock clock) *timedListener {
	l := &timedListener{Listener: inner, clock: clock, emptyAt: longAgo}
	l.socket, _ = base.(socket)
	return l
}

// Accept implements net.Listener. The queue is checked between the attempts to accept, by the same
// goroutine. Otherwise the queue could be found empty because a connection had just been taken from
// it, and that connection would seem to have been opened later.
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
			l.latest = ConnTimes{OpenedAfter: l.emptyAt, Accepted: l.clock.Now()}
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
	waiting, err := mtdial.Poll(s, unix.POLLIN)
	return err == nil && !waiting
}
