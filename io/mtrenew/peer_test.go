package mtrenew_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mttime"
)

// fixture is one renewer whose only witness is a socket that the test controls.
type fixture struct {
	t       *testing.T
	clock   *mttime.Clock
	renewer *mtrenew.Renewer
	socket  *net.UDPConn
	sealer  mtrenew.Sealer
	to      net.Addr
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	// If the renewer sends nothing, the test fails instead of blocking forever.
	assert.NilError(t, socket.SetReadDeadline(time.Now().Add(30*time.Second)))
	w := mtid.Holder{Daemon: "w", Incarnation: 1}
	v := &view{records: map[mtid.Daemon]*mtroster.Record{
		"w": {Holder: w, RenewAddress: socket.LocalAddr().String()},
	}}
	r := &fixture{t: t, clock: mttime.New(), socket: socket, sealer: mtrenew.NewSealer([]byte("test"))}
	renewer, cleanUp, err := mtrenew.New(mtrenew.Config{
		Self: "d", Listen: "127.0.0.1:0", Secret: []byte("test"), Clock: r.clock, View: daemonView{v, &atomic.Uint64{}},
	})
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	r.renewer = renewer
	r.to, err = net.ResolveUDPAddr("udp", renewer.Address())
	assert.NilError(t, err)
	renewer.Register(mtid.Holder{Daemon: "d", Incarnation: 2}, mtlease.Set{Version: 3, Witnesses: []mtid.Holder{w}})
	return r
}

// receive returns the next datagram that the renewer sent.
func (r *fixture) receive() *mtwire.Renew {
	r.t.Helper()
	buffer := make([]byte, 1024)
	n, err := r.socket.Read(buffer)
	assert.NilError(r.t, err)
	m, err := r.sealer.Open("w", buffer[:n])
	assert.NilError(r.t, err)
	return m
}

func (r *fixture) send(m *mtwire.Renew) []byte {
	r.t.Helper()
	m.From, m.FromIncarnation = "w", 1
	packet, err := r.sealer.Seal("d", m)
	assert.NilError(r.t, err)
	r.sendRaw(packet)
	return packet
}

func (r *fixture) sendRaw(packet []byte) {
	r.t.Helper()
	_, err := r.socket.WriteTo(packet, r.to)
	assert.NilError(r.t, err)
}

// A daemon restarts and numbers its requests from the start again. An answer to its
// previous incarnation arrives late, with a sequence that is in use again. If it were
// accepted, it would count as a promise that no witness made.
func TestAnswerToPreviousIncarnationIsDropped(t *testing.T) {
	r := newFixture(t)
	request := r.receive()
	assert.Equal(t, request.GetAsk(), uint64(3))
	r.send(&mtwire.Renew{Sequence: 1, ToIncarnation: 1, Answer: request.GetSequence()})
	// Datagrams are handled in order: once this request is answered, the datagram
	// before it has been handled.
	r.send(&mtwire.Renew{Sequence: 2, ToIncarnation: 77, Ask: 9})
	for r.receive().GetAnswer() != 2 {
		continue
	}
	assert.Assert(t, r.renewer.Until() == 0)
	r.send(&mtwire.Renew{Sequence: 3, ToIncarnation: 2, Answer: request.GetSequence()})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.renewer.Until() > 0 {
			return poll.Success()
		}
		return poll.Continue("the daemon has no lease yet")
	})
}

// The last datagram of a lost daemon is recorded and replayed repeatedly. If the
// witness accepted it each time, its promise would never expire.
func TestReplayedRequestIsRejected(t *testing.T) {
	r := newFixture(t)
	packet := r.send(&mtwire.Renew{Sequence: 5, ToIncarnation: 1, Ask: 9})
	for range 3 {
		r.sendRaw(packet)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.renewer.Counters().Refused.Value() == 3 {
			return poll.Success()
		}
		return poll.Continue("%d of 3 replayed datagrams were rejected", r.renewer.Counters().Refused.Value())
	})
}
