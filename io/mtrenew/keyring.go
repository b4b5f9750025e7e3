package mtrenew

import (
	"bytes"
	"slices"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// keyring seals with the newest shared secret and opens with any, so that the
// secret can be replaced without a moment at which all daemons change at once.
// It is not safe for concurrent use.
type keyring struct {
	source  func() [][]byte // newest first
	secrets [][]byte        // those that sealers were made of
	sealers []*sealer
}

// newKeyring returns the keyring of a configuration.
func newKeyring(config *Config) *keyring {
	if config.Secrets != nil {
		return &keyring{source: config.Secrets}
	}
	return &keyring{source: func() [][]byte { return [][]byte{config.Secret} }}
}

// refresh takes up secrets that changed since the last datagram.
func (k *keyring) refresh() {
	now := k.source()
	if k.sealers != nil && slices.EqualFunc(now, k.secrets, bytes.Equal) {
		return
	}
	k.secrets = now
	k.sealers = make([]*sealer, len(now))
	for i, secret := range now {
		k.sealers[i] = newSealer(secret)
	}
}

// seal returns the datagram that carries m to a daemon.
func (k *keyring) seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) {
	k.refresh()
	if len(k.sealers) == 0 {
		return nil, &ForgedError{Reason: "no secret to seal with"}
	}
	return k.sealers[0].seal(to, m)
}

// open returns the message of a datagram that self received. It fails with a
// *ForgedError.
func (k *keyring) open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	k.refresh()
	var failed error = &ForgedError{Reason: "no secret to open with"}
	for _, s := range k.sealers {
		m, err := s.open(self, packet)
		if err == nil {
			return m, nil
		}
		failed = err
	}
	return nil, failed
}
