// Package mtspread decides from which daemon each daemon receives changes of
// the store, so that the number of calls to the store does not grow with the
// number of daemons.
//
// Two daemons, the watchers, watch the store, and the first of them regularly
// polls it for the configuration. In each availability zone one daemon, the
// distributor, pulls updates from a watcher, and the other daemons of the zone
// pull from their distributor. The watchers are themselves distributors, of two
// zones if there are that many. The distributor of a zone is the daemon with
// the fastest link, since it sends every update to all others of its zone.
//
// Each daemon builds the tree from its own view of the live daemons. Where two
// views differ, two daemons may each take the other for a watcher. A daemon that
// passes updates on must therefore know that it receives them from the store, or
// from a daemon that does.
//
// # Usage
//
//	tree := mtspread.New(nodes)
//	for _, upstream := range tree.Upstreams(self, zone) { ... } // none: watch the store
//	schedule := tree.PollSchedule(self) // when to poll the store
//
// A Tree is immutable and safe for concurrent use.
package mtspread

import (
	"cmp"
	"maps"
	"slices"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroute"
)

// Node is a daemon that receives changes of the store.
type Node struct {
	Daemon  mtid.Daemon
	Zone    mtid.Zone
	Address string // where other daemons reach it
	Link    mtbackend.Bandwidth
}

// watcherCount is how many daemons watch the store, so that one of them may be
// lost or disconnected.
const watcherCount = 2

// Tree defines which daemon receives updates from which; see the package
// documentation.
type Tree struct {
	watchers     []Node
	distributors []Node // one for each availability zone, sorted by zone
}

// New returns the Tree of the live daemons.
func New(nodes []Node) *Tree {
	best := make(map[mtid.Zone][]Node)
	for _, n := range nodes {
		best[n.Zone] = insertBest(best[n.Zone], n)
	}
	t := &Tree{}
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		t.distributors = append(t.distributors, best[zone][0])
	}
	for _, n := range t.distributors {
		t.watchers = insertBest(t.watchers, n)
	}
	if len(t.distributors) == 1 {
		t.watchers = best[t.distributors[0].Zone]
	}
	return t
}

// insertBest inserts n into nodes, which holds the best watcherCount daemons in
// the order of compareNodes.
func insertBest(nodes []Node, n Node) []Node {
	i, _ := slices.BinarySearchFunc(nodes, n, compareNodes)
	if i >= watcherCount {
		return nodes
	}
	nodes = slices.Insert(nodes, i, n)
	return nodes[:min(len(nodes), watcherCount)]
}

// compareNodes orders daemons by link rate, the fastest first, and by name.
func compareNodes(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Daemon, b.Daemon))
}

// PollSchedule returns the schedule by which a daemon polls the store for the
// configuration.
func (t *Tree) PollSchedule(self mtid.Daemon) mtroute.PollSchedule {
	switch {
	case t.WatchesStore(self) && t.watchers[0].Daemon == self:
		return mtroute.PollPrimary
	case t.WatchesStore(self) || contains(t.distributors, self):
		return mtroute.PollRelay
	}
	return mtroute.PollFallback
}

// WatchesStore reports whether a daemon watches the store on behalf of others.
func (t *Tree) WatchesStore(self mtid.Daemon) bool { return contains(t.watchers, self) }

// PrimaryWatcher returns the first watcher, or false if there are no daemons.
func (t *Tree) PrimaryWatcher() (Node, bool) {
	if len(t.watchers) == 0 {
		return Node{}, false
	}
	return t.watchers[0], true
}

// OtherWatchers returns the daemons from which a watcher pulls while the store turns it away.
func (t *Tree) OtherWatchers(self mtid.Daemon) []Node {
	return slices.DeleteFunc(slices.Clone(t.watchers), func(n Node) bool { return n.Daemon == self })
}

// Upstreams returns the daemons to pull updates from, the best one first. There
// are none for a watcher, and none for a daemon in whose zone no daemon is
// known.
func (t *Tree) Upstreams(self mtid.Daemon, zone mtid.Zone) []Node {
	own := slices.IndexFunc(t.distributors, func(n Node) bool { return n.Zone == zone })
	switch {
	case own < 0 || t.WatchesStore(self):
		return nil
	case t.distributors[own].Daemon == self:
		return t.watchers
	}
	return append([]Node{t.distributors[own]}, slices.Delete(slices.Clone(t.distributors), own, own+1)...)
}

func contains(nodes []Node, daemon mtid.Daemon) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.Daemon == daemon })
}
