package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// newestConfiguration keeps the entry of the newest configuration that this daemon has received. The
// directory may have an older one after the store has come back from an older copy.
// It is safe for concurrent use.
type newestConfiguration struct {
	mu      sync.Mutex
	version mtid.Version  // the configuration's own, which the store's step back leaves as it is
	from    mtstore.Entry // from which it was read; without a name if none is known
}

// offer keeps the entry of a configuration unless one of the same or a later version is known.
func (n *newestConfiguration) offer(version mtid.Version, from mtstore.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from.Name == "" || version > n.version {
		n.version, n.from = version, from
	}
}

// entry returns the entry of the newest configuration, or false if none later than known has been
// received.
func (n *newestConfiguration) entry(known mtid.Version) (mtstore.Entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.from, n.from.Name != "" && n.version > known
}
