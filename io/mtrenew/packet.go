package mtrenew

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"

	"google.golang.org/protobuf/proto"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// tagSize is the length of the authentication tag at the end of each datagram:
// HMAC-SHA256 truncated to 128 bits.
const tagSize = 16

// maxDatagramSize is the size of the read buffer. A longer datagram is truncated, and
// fails authentication.
const maxDatagramSize = 1024

// ForgedError reports that a datagram was not sent by a daemon of this fleet, or not
// to this daemon.
type ForgedError struct{ Reason string }

// Error implements error.
func (e *ForgedError) Error() string { return "renew: datagram rejected: " + e.Reason }

// sealer encodes and authenticates datagrams with one shared secret. It is not safe
// for concurrent use.
type sealer struct {
	mac hash.Hash
	sum []byte
}

func newSealer(secret []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, secret)}
}

// tag returns the authentication tag of body for a receiver. The tag covers the name
// of the receiver, so that a datagram cannot be replayed to another daemon.
func (s *sealer) tag(to mtid.Daemon, body []byte) []byte {
	s.mac.Reset()
	_, _ = s.mac.Write([]byte(to))
	_, _ = s.mac.Write([]byte{0})
	_, _ = s.mac.Write(body)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:tagSize]
}

// seal encodes m as a datagram to a daemon.
func (s *sealer) seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append(body, s.tag(to, body)...), nil
}

// open authenticates and decodes a datagram that self received. It fails with a
// *ForgedError.
func (s *sealer) open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	if len(packet) < tagSize {
		return nil, &ForgedError{Reason: "shorter than an authentication tag"}
	}
	body, tag := packet[:len(packet)-tagSize], packet[len(packet)-tagSize:]
	if !hmac.Equal(tag, s.tag(self, body)) {
		return nil, &ForgedError{Reason: "authentication tag does not match"}
	}
	m := &mtwire.Renew{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, &ForgedError{Reason: "body is not a valid renewal message"}
	}
	return m, nil
}

// windowSize is how far behind the newest sequence a datagram is still accepted.
const windowSize = 64

// window is the replay window of a peer. It rejects datagrams that were received
// before, are too old, or come from a previous incarnation of the peer. A replayed
// request would extend the promise to a daemon that was lost long ago, and so prevent
// a new owner from serving its keys.
type window struct {
	incarnation mtid.Incarnation
	newest      uint64
	seen        uint64 // bit i: newest-i was received
}

// accept reports whether the datagram is new, and records it.
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
