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

// rig is one duty whose only witness is a socket in the hands of the test.
type rig struct {
	t      *testing.T
	clock  *mttime.Clock
	duty   *mtrenew.Duty
	socket *net.UDPConn
	sealer mtrenew.Sealer
	to     net.Addr
}

func newRig(t *testing.T) *rig {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	// A duty that sends nothing fails the test instead of hanging it.
	assert.NilError(t, socket.SetReadDeadline(time.Now().Add(30*time.Second)))
	w := mtid.Holder{Daemon: "w", Incarnation: 1}
	v := &view{records: map[mtid.Daemon]*mtroster.Record{
		"w": {Holder: w, RenewAddress: socket.LocalAddr().String()},
	}}
	r := &rig{t: t, clock: mttime.New(), socket: socket, sealer: mtrenew.NewSealer([]byte("test"))}
	duty, cleanUp, err := mtrenew.New(mtrenew.Config{
		Self: "d", Listen: "127.0.0.1:0", Secret: []byte("test"), Clock: r.clock, View: own{v, &atomic.Uint64{}},
	})
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	r.duty = duty
	r.to, err = net.ResolveUDPAddr("udp", duty.Address())
	assert.NilError(t, err)
	duty.Register(mtid.Holder{Daemon: "d", Incarnation: 2}, mtlease.Set{Version: 3, Witnesses: []mtid.Holder{w}})
	return r
}

// receive returns the next datagram that the duty sent.
func (r *rig) receive() *mtwire.Renew {
	r.t.Helper()
	buffer := make([]byte, 1024)
	n, err := r.socket.Read(buffer)
	assert.NilError(r.t, err)
	m, err := r.sealer.Open("w", buffer[:n])
	assert.NilError(r.t, err)
	return m
}

func (r *rig) send(m *mtwire.Renew) []byte {
	r.t.Helper()
	m.From, m.FromIncarnation = "w", 1
	packet, err := r.sealer.Seal("d", m)
	assert.NilError(r.t, err)
	r.sendRaw(packet)
	return packet
}

func (r *rig) sendRaw(packet []byte) {
	r.t.Helper()
	_, err := r.socket.WriteTo(packet, r.to)
	assert.NilError(r.t, err)
}

// A daemon restarts and counts its sequences from the start again. An answer to
// its former life arrives late and names a sequence that is in use again. Taken
// as its own, it would be a promise that no witness gave.
func TestAnswerToFormerLifeIsDropped(t *testing.T) {
	r := newRig(t)
	ask := r.receive()
	assert.Equal(t, ask.GetAsk(), uint64(3))
	r.send(&mtwire.Renew{Sequence: 1, ToIncarnation: 1, Answer: ask.GetSequence()})
	// The duty handles datagrams in order: once it has answered this ask, it has
	// seen the one before.
	r.send(&mtwire.Renew{Sequence: 2, ToIncarnation: 77, Ask: 9})
	for r.receive().GetAnswer() != 2 {
		continue
	}
	assert.Assert(t, r.duty.Until() == 0)
	r.send(&mtwire.Renew{Sequence: 3, ToIncarnation: 2, Answer: ask.GetSequence()})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.duty.Until() > 0 {
			return poll.Success()
		}
		return poll.Continue("no lease yet")
	})
}

// A lost daemon's last datagram is recorded and sent again and again. If the
// witness took it each time, its promise would never lapse.
func TestReplayedAskIsRefused(t *testing.T) {
	r := newRig(t)
	packet := r.send(&mtwire.Renew{Sequence: 5, ToIncarnation: 1, Ask: 9})
	for range 3 {
		r.sendRaw(packet)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.duty.Counters().Refused.Value() == 3 {
			return poll.Success()
		}
		return poll.Continue("%d of 3 refused", r.duty.Counters().Refused.Value())
	})
}
