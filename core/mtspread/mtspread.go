// Package mtspread decides who hears of the store's changes from whom, so that the
// calls to the store don't grow with the number of daemons.
//
// Two sources watch the store, and the first of them asks it for the configuration. In each
// availability zone one daemon, the first, learns from a source, and the others learn from the first
// of their zone. Sources are firsts too, of two zones where there are that many. The
// first of a zone is the one with the widest link, since it tells everything to all
// others of its zone.
//
// Each daemon decides by its own view of who is there. Where two views differ, two
// daemons may take each other for a source: whoever teaches must know that it hears
// from the store itself, or from one that does.
//
// # Usage
//
//	tree := mtspread.New(nodes)
//	for _, teacher := range tree.Teachers(self, zone) { ... } // none: watch the store
//	certainty.Ask(now, tree.Turn(self))
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

// Node is a daemon that takes part.
type Node struct {
	Daemon  mtid.Daemon
	Zone    mtid.Zone
	Address string // for other daemons
	Link    mtbackend.Rate
}

// sources is how many daemons watch the store: one may be lost or cut off.
const sources = 2

// Tree says who hears from whom. See the package comment.
type Tree struct {
	sources []Node
	firsts  []Node // by availability zone
}

// New returns the Tree of the daemons that are there.
func New(nodes []Node) *Tree {
	best := make(map[mtid.Zone][]Node)
	for _, n := range nodes {
		best[n.Zone] = lead(best[n.Zone], n)
	}
	t := &Tree{}
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		t.firsts = append(t.firsts, best[zone][0])
	}
	for _, n := range t.firsts {
		t.sources = lead(t.sources, n)
	}
	if len(t.firsts) == 1 {
		t.sources = best[t.firsts[0].Zone]
	}
	return t
}

// lead adds a node to the leading ones, the first of which goes ahead of all others.
func lead(nodes []Node, n Node) []Node {
	i, _ := slices.BinarySearchFunc(nodes, n, ahead)
	if i >= sources {
		return nodes
	}
	nodes = slices.Insert(nodes, i, n)
	return nodes[:min(len(nodes), sources)]
}

// ahead orders the daemons by how well they can tell others.
func ahead(a, b Node) int {
	return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Daemon, b.Daemon))
}

// Turn returns when it is a daemon's turn to ask the store for the configuration.
func (t *Tree) Turn(self mtid.Daemon) mtroute.PollSchedule {
	switch {
	case t.Source(self) && t.sources[0].Daemon == self:
		return mtroute.PollPrimary
	case t.Source(self) || holds(t.firsts, self):
		return mtroute.PollRelay
	}
	return mtroute.PollFallback
}

// Source reports whether a daemon watches the store for others.
func (t *Tree) Source(self mtid.Daemon) bool { return holds(t.sources, self) }

// First returns the first source, or false if nobody is there.
func (t *Tree) First() (Node, bool) {
	if len(t.sources) == 0 {
		return Node{}, false
	}
	return t.sources[0], true
}

// Teachers returns the daemons to learn from, the best one first. There are none for a
// source, and for a daemon in whose zone nobody is known.
func (t *Tree) Teachers(self mtid.Daemon, zone mtid.Zone) []Node {
	own := slices.IndexFunc(t.firsts, func(n Node) bool { return n.Zone == zone })
	switch {
	case own < 0 || t.Source(self):
		return nil
	case t.firsts[own].Daemon == self:
		return t.sources
	}
	return append([]Node{t.firsts[own]}, slices.Delete(slices.Clone(t.firsts), own, own+1)...)
}

func holds(nodes []Node, daemon mtid.Daemon) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.Daemon == daemon })
}
