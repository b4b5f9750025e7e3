package mtrenew

import (
	"bytes"
	"slices"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// keyring seals datagrams with the newest shared secret and opens them with any of
// the secrets, so that daemons need not all switch to a new secret at the same time.
// It is not safe for concurrent use.
type keyring struct {
	source  func() [][]byte // newest first
	current [][]byte        // the secrets of sealers
	sealers []*sealer
}

// newKeyring returns a keyring of the secrets in config, which may change later.
func newKeyring(config *Config) *keyring {
	if config.Secrets != nil {
		return &keyring{source: config.Secrets}
	}
	return &keyring{source: func() [][]byte { return [][]byte{config.Secret} }}
}

// refresh creates new sealers if the secrets changed since the last datagram.
func (k *keyring) refresh() {
	now := k.source()
	if k.sealers != nil && slices.EqualFunc(now, k.current, bytes.Equal) {
		return
	}
	k.current = now
	k.sealers = make([]*sealer, len(now))
	for i, secret := range now {
		k.sealers[i] = newSealer(secret)
	}
}

// seal encodes m as a datagram to a daemon.
func (k *keyring) seal(to mtid.Daemon, m *mtwire.Renew) ([]byte, error) {
	k.refresh()
	if len(k.sealers) == 0 {
		return nil, &ForgedError{Reason: "no shared secret is configured"}
	}
	return k.sealers[0].seal(to, m)
}

// open authenticates and decodes a datagram that self received. It fails with a
// *ForgedError.
func (k *keyring) open(self mtid.Daemon, packet []byte) (*mtwire.Renew, error) {
	k.refresh()
	var failed error = &ForgedError{Reason: "no shared secret is configured"}
	for _, s := range k.sealers {
		m, err := s.open(self, packet)
		if err == nil {
			return m, nil
		}
		failed = err
	}
	return nil, failed
}
