package mtlisten

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"magnoliaturn/io/mtdial"
)

// Bounds of the pause between two attempts to open a port, or to accept a connection at it.
const (
	minPortPause = 10 * time.Millisecond
	maxPortPause = 100 * time.Millisecond
)

// ListenFunc opens a listener, as mtdial.Listen does.
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)

// Listen is the ListenFunc of package net.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Port is a listener whose address may be in use by somebody else at first. It opens as soon as it
// can, and again after its socket has failed. Accept waits meanwhile and fails only once the port
// has been closed.
type Port struct {
	purpose string
	address string
	listen  ListenFunc
	log     *slog.Logger
	ctx     context.Context // ends when the port is closed
	cancel  context.CancelFunc
	opened  chan struct{} // closed when the port is open for the first time

	mu       sync.Mutex
	inner    net.Listener // nil while the port isn't open
	deadline time.Time
}

// Open opens the first of the addresses that is free. If none is, it returns a port that opens the
// first one later.
func Open(purpose string, listen ListenFunc, log *slog.Logger, addresses ...string) *Port {
	p := &Port{purpose: purpose, address: addresses[0], listen: listen, log: log, opened: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	for _, address := range addresses {
		inner, err := listen(p.ctx, address)
		if err == nil {
			p.address, p.inner = address, inner
			close(p.opened)
			break
		}
		log.Warn("port can't be opened yet", "purpose", purpose, "address", address, "error", err)
	}
	return p
}

// IsOpen reports whether the kernel accepts connections to the port.
func (p *Port) IsOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inner != nil
}

// Opened returns a channel that is closed when the port is open for the first time.
func (p *Port) Opened() <-chan struct{} { return p.opened }

// Closed returns a channel that is closed when the port is closed.
func (p *Port) Closed() <-chan struct{} { return p.ctx.Done() }

// Accept implements net.Listener.
func (p *Port) Accept() (net.Conn, error) {
	for pause := minPortPause; ; pause = min(2*pause, maxPortPause) {
		inner, err := p.await()
		if err != nil {
			return nil, err
		}
		conn, err := inner.Accept()
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case p.ctx.Err() != nil:
			return nil, net.ErrClosed
		}
		p.log.Warn("port fails to accept a connection", "purpose", p.purpose, "address", p.address, "error", err)
		if isSocketBroken(err) {
			p.discard(inner)
		}
		p.sleep(pause)
	}
}

// isSocketBroken reports whether a listener can accept no connections any more. Otherwise it lacks
// descriptors or memory, or the error is one of the connection.
func isSocketBroken(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return errors.Is(err, net.ErrClosed)
}

// await returns the open listener. It opens the port if need be, until that succeeds or the port is
// closed.
func (p *Port) await() (net.Listener, error) {
	for pause := minPortPause; ; pause = min(2*pause, maxPortPause) {
		p.mu.Lock()
		inner := p.inner
		p.mu.Unlock()
		if p.ctx.Err() != nil {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		opened, err := p.listen(p.ctx, p.address)
		if err != nil {
			p.sleep(pause)
			continue
		}
		p.adopt(opened)
	}
}

// adopt makes an opened listener that of the port, unless the port has been closed.
func (p *Port) adopt(opened net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = opened.Close()
		return
	}
	p.inner = opened
	select {
	case <-p.opened:
	default:
		close(p.opened)
	}
	_ = setDeadline(opened, p.deadline)
	p.log.Info("port is open", "purpose", p.purpose, "address", p.address)
}

// discard closes a listener that has failed.
func (p *Port) discard(inner net.Listener) {
	_ = inner.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner = nil
}

// sleep waits for a duration, or until the port is closed.
func (p *Port) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

// Close implements net.Listener.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	inner := p.inner
	p.inner = nil
	if inner == nil {
		return nil
	}
	return inner.Close()
}

// Addr implements net.Listener. The address is a mtdial.Unopened while the port isn't open.
func (p *Port) Addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inner == nil {
		return mtdial.Unopened(p.address)
	}
	return p.inner.Addr()
}

// SetDeadline sets the time at which a waiting Accept fails with os.ErrDeadlineExceeded. A port that
// isn't open waits longer, until it has been opened.
func (p *Port) SetDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	if p.inner == nil {
		return nil
	}
	return setDeadline(p.inner, t)
}

// setDeadline sets the deadline of a listener, if it has deadlines.
func setDeadline(l net.Listener, t time.Time) error {
	if timed, ok := l.(interface{ SetDeadline(t time.Time) error }); ok {
		return timed.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn. It fails with errors.ErrUnsupported while the port isn't open.
func (p *Port) SyscallConn() (syscall.RawConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if socket, ok := p.inner.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
