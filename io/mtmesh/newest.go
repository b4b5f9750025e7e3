package mtmesh

import (
	"sync"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// newestConfiguration keeps the entry of the newest configuration that this daemon has received. The
// copy of the directory may have an older one after the store has come back from an older copy.
// It is safe for concurrent use.
type newestConfiguration struct {
	mu      sync.Mutex
	version mtid.Version // by which configurations are compared
	from    mtstore.Entry
}

// offer keeps the entry of a configuration unless one of the same or a later version is known.
func (n *newestConfiguration) offer(version mtid.Version, from mtstore.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from.Name == "" || version > n.version {
		n.version, n.from = version, from
	}
}

// entry returns the entry, or false if no configuration is known.
func (n *newestConfiguration) entry() (mtstore.Entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.from, n.from.Name != ""
}
