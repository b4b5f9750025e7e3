package mtrenew

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

const TagSize = tagSize

type Sealer struct{ s *sealer }

func NewSealer(secret []byte) Sealer { return Sealer{newSealer(secret)} }

func (s Sealer) Seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) { return s.s.seal(to, m) }

func (s Sealer) Open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	return s.s.open(self, packet)
}

type Window struct{ w window }

func (w *Window) Accept(i mtid.Incarnation, sequence uint64) bool { return w.w.accept(i, sequence) }
