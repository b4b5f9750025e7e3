package mtrenew

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// tagSize is the length of the authentication tag that ends each datagram:
// HMAC-SHA256 cut to 128 bits.
const tagSize = 16

// maxPacket is the longest datagram that is read.
const maxPacket = 1024

// ForgedError says that a datagram is not from a daemon of this fleet, or not
// meant for this one.
type ForgedError struct{ Reason string }

// Error implements error.
func (e *ForgedError) Error() string { return "renew: datagram refused: " + e.Reason }

// sealer makes and checks datagrams. It is not safe for concurrent use.
type sealer struct {
	mac hash.Hash
	sum []byte
}

func newSealer(secret []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, secret)}
}

// tag returns the tag of body on its way to a daemon. The receiver's name is
// part of it, so that a datagram can't be replayed to another daemon.
func (s *sealer) tag(to mtid.Daemon, body []byte) []byte {
	s.mac.Reset()
	_, _ = s.mac.Write([]byte(to))
	_, _ = s.mac.Write([]byte{0})
	_, _ = s.mac.Write(body)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:tagSize]
}

// seal returns the datagram that carries m to a daemon.
func (s *sealer) seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(body, s.tag(to, body)...), nil
}

// open returns the message of a datagram that self received. It fails with a
// *ForgedError.
func (s *sealer) open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	if len(packet) < tagSize {
		return nil, &ForgedError{Reason: "too short"}
	}
	body, tag := packet[:len(packet)-tagSize], packet[len(packet)-tagSize:]
	if !hmac.Equal(tag, s.tag(self, body)) {
		return nil, &ForgedError{Reason: "wrong tag"}
	}
	m := &mtwire.Renew{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, &ForgedError{Reason: "not a renewal"}
	}
	return m, nil
}

// windowSize is how far behind the newest sequence a datagram may come.
const windowSize = 64

// window refuses datagrams of a peer that were seen before, are too old, or
// come from an earlier life of it. A replayed ask would prolong the promise to
// a daemon that is long lost, and so keep its keys from being served.
type window struct {
	incarnation mtid.Incarnation
	newest      uint64
	seen        uint64 // bit i: newest-i was seen
}

// accept reports whether the datagram is new, and notes it.
func (w *window) accept(incarnation mtid.Incarnation, sequence uint64) bool {
	if incarnation < w.incarnation {
		return false
	}
	if incarnation > w.incarnation {
		*w = window{incarnation: incarnation}
	}
	if sequence > w.newest {
		w.seen = w.seen<<min(sequence-w.newest, windowSize) | 1
		w.newest = sequence
		return true
	}
	behind := w.newest - sequence
	if behind >= windowSize || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
