package mthost_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
)

// process listens as a server does, and ends as one does.
type process struct {
	listener net.Listener
	accepted chan net.Conn
}

// newProcess listens at an address; an empty one is free.
func newProcess(t *testing.T, address string) *process {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	p := &process{listener: listener, accepted: make(chan net.Conn, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				close(p.accepted)
				return
			}
			p.accepted <- conn
		}
	}()
	t.Cleanup(p.end)
	return p
}

func (p *process) address() string { return p.listener.Addr().String() }

// end closes the listener and all connections.
func (p *process) end() {
	_ = p.listener.Close()
	for conn := range p.accepted {
		_ = conn.Close()
	}
}

// A server crashes and another life starts at its address before any beat tells. The
// next renewal of a grant would reach the new life, which obeys it. No order goes out
// from the moment at which the process has ended.
func TestNoOrderIsSentOnceTheProcessHasEnded(t *testing.T) {
	first := newProcess(t, "")
	s := newStand(t, first.address())
	one := mtid.ServerIncarnation{Server: "one"}
	s.server.runs = "one"
	former := s.beat("one", 1)
	former.Address = first.address()
	s.hear(former)
	s.until("the life is bound", func(mtbackend.Record) bool { return s.host.Bound(one) })
	assert.Assert(t, !s.host.Bound(mtid.ServerIncarnation{Server: "one", Started: 1}))
	s.server.mu.Lock()
	s.server.runs = "two"
	s.server.mu.Unlock()
	first.end()
	newProcess(t, first.address())
	s.until("the end shows", func(mtbackend.Record) bool { return !s.host.Bound(one) })
	b := s.beat("two", 1)
	b.Address = first.address()
	s.hear(b)
	s.until("the new life is bound", func(mtbackend.Record) bool { return s.host.Bound(mtid.ServerIncarnation{Server: "two"}) })
	assert.Assert(t, !s.host.Bound(one))
}

// Its own connection to the server is reset, and the server has not ended. Where the
// name tells lives apart the server is asked; where it does not, its next beat tells.
func TestALifeIsKnownAgainAfterAReset(t *testing.T) {
	for name, born := range map[string]mtid.StartTime{"by its name": 0, "by its birth": 100} {
		t.Run(name, func(t *testing.T) {
			p := newProcess(t, "")
			s := newStand(t, p.address())
			life := mtid.ServerIncarnation{Server: "one", Started: born}
			s.server.runs = "one"
			beat := func(sequence uint64) mtbackend.Heartbeat {
				b := s.born(born, sequence)
				b.Address, b.Connected = p.address(), s.clock.Now()
				return b
			}
			s.hear(beat(1))
			s.until("the life is bound", func(mtbackend.Record) bool { return s.host.Bound(life) })
			assert.NilError(t, (<-p.accepted).Close())
			s.until("the reset shows", func(mtbackend.Record) bool { return !s.host.Bound(life) || born == 0 })
			if born != 0 {
				time.Sleep(500 * time.Millisecond) // the connection is open again, and the server could be asked
				assert.Assert(t, !s.host.Bound(life), "known again by a name that its next life has too")
			}
			sequence := uint64(2)
			s.until("the life is known again", func(mtbackend.Record) bool {
				if born != 0 {
					s.hear(beat(sequence))
					sequence++
				}
				return s.host.Bound(life)
			})
			assert.Equal(t, s.record().State, mtbackend.Ready)
		})
	}
}

// A server crashes and starts again under its name. Its daemon opens a connection to the
// new life, and then a beat of the former one comes, held up on its way. Taken for a word
// of the life at the end of that connection, it let a renewal reach the new life, under
// the epoch of the former one.
func TestALateBeatDoesNotTellWhoAnswers(t *testing.T) {
	first := newProcess(t, "")
	s := newStand(t, first.address())
	s.server.runs = "one"
	former := mtid.ServerIncarnation{Server: "one", Started: 100}
	beat := func(born mtid.StartTime, sequence uint64) mtbackend.Heartbeat {
		b := s.born(born, sequence)
		b.Address = first.address()
		return b
	}
	s.hear(beat(100, 1))
	s.until("the life is bound", func(mtbackend.Record) bool { return s.host.Bound(former) })
	first.end()
	s.until("the end shows", func(mtbackend.Record) bool { return !s.host.Bound(former) })
	second := newProcess(t, first.address())
	conn := <-second.accepted // by the daemon
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // the daemon has noted that it is open
	s.hear(beat(100, 2))
	assert.Assert(t, !s.host.Bound(former), "a late beat passed for one of the life that answers")
	s.hear(beat(200, 1))
	s.until("the new life is bound", func(mtbackend.Record) bool { return s.host.Bound(mtid.ServerIncarnation{Server: "one", Started: 200}) })
}
