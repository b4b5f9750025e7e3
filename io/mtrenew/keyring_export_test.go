package mtrenew

import (
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

type Keyring struct{ k *keyring }

func NewKeyring(source func() [][]byte) Keyring {
	return Keyring{newKeyring(&Config{Secrets: source})}
}

func (k Keyring) Seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) { return k.k.seal(to, m) }

func (k Keyring) Open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	return k.k.open(self, packet)
}
