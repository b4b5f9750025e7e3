package mtwitness

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtid"
)

// SetSize is the number of witnesses of a daemon that has enough peers.
const SetSize = 3

// Candidate is a daemon that can be selected as a witness, or that selects its own.
type Candidate struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Region mtid.Region
	// Load is the number of other daemons in the selecting daemon's availability
	// zone that name this peer as a witness. A peer that none of them names may
	// still select a witness in that zone, and so become mutual.
	Load int
	// Mutual is true if this peer names the selecting daemon as its own witness.
	// One datagram then carries the renewals of both.
	Mutual bool
	// Unpaired is true if this peer has a witness in the selecting daemon's
	// availability zone that does not name it in return.
	Unpaired bool
}

// filter reports whether a candidate qualifies, for example by its availability
// zone.
type filter func(Candidate) bool

// Choose selects the witnesses for self from its peers, SetSize of them if there
// are enough: one in self's availability zone, one in another zone of the region,
// and one in a third zone, which is in another region if the region has fewer than
// three. Then the loss of a zone takes out at most one of the witnesses, and never
// the daemon together with a majority. If no peer matches a location, any
// remaining peer is selected instead.
//
// Witnesses in keep remain selected if they are among the peers. The selection is
// deterministic, and tends to be mutual because two daemons rank each other by the
// same number.
func Choose(self Candidate, candidates []Candidate, keep []mtid.Holder) []mtid.Holder {
	peers := ranked(self, candidates)
	var chosen []Candidate
	for _, p := range peers {
		if slices.Contains(keep, p.Holder) && len(chosen) < SetSize {
			chosen = append(chosen, p)
		}
	}
	for _, matches := range locations(self, candidates) {
		if len(chosen) < SetSize && !slices.ContainsFunc(chosen, matches) {
			chosen = appendBest(chosen, peers, matches)
		}
	}
	for len(chosen) < min(SetSize, len(peers)) {
		chosen = appendBest(chosen, peers, func(Candidate) bool { return true })
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.Holder.Daemon, b.Holder.Daemon) })
	set := make([]mtid.Holder, 0, len(chosen))
	for _, c := range chosen {
		set = append(set, c.Holder)
	}
	return set
}

// Pair replaces one witness of set with one that is mutual or may become so, or
// returns set unchanged if no replacement helps. It replaces a witness that does
// not name self with a peer in that witness's availability zone that does. If
// there is none, it uses a peer that is itself Unpaired in self's zone, which will
// in turn find self the next time it calls Pair.
//
// It is called periodically, since daemons that select at the same time don't see
// each other's selections. A replacement costs one write, and halves the renewal
// traffic between the two daemons from then on.
func Pair(self Candidate, candidates []Candidate, set []mtid.Holder) []mtid.Holder {
	peers := ranked(self, candidates)
	mutual := func(p Candidate) bool { return p.Mutual }
	unpaired := func(p Candidate) bool { return p.Unpaired }
	for _, better := range []filter{mutual, unpaired} {
		for i, w := range set {
			at := slices.IndexFunc(peers, func(p Candidate) bool { return p.Holder == w })
			if at < 0 || peers[at].Mutual || better(peers[at]) {
				continue
			}
			sameZone := inZone(peers[at].Region, peers[at].Zone)
			j := slices.IndexFunc(peers, func(p Candidate) bool {
				return better(p) && sameZone(p) && !slices.Contains(set, p.Holder)
			})
			if j >= 0 {
				next := slices.Clone(set)
				next[i] = peers[j].Holder
				return next
			}
		}
	}
	return set
}

// appendBest appends the highest-ranked matching peer that is not in chosen, if
// there is one.
func appendBest(chosen, peers []Candidate, matches filter) []Candidate {
	i := slices.IndexFunc(peers, func(p Candidate) bool {
		return matches(p) && !slices.ContainsFunc(chosen, func(c Candidate) bool { return c.Holder == p.Holder })
	})
	if i < 0 {
		return chosen
	}
	return append(chosen, peers[i])
}

// locations returns a filter for each location where self should have a witness.
func locations(self Candidate, candidates []Candidate) []filter {
	zones := make(map[mtid.Zone]bool)
	for _, c := range candidates {
		if c.Region == self.Region && c.Zone != self.Zone {
			zones[c.Zone] = true
		}
	}
	others := make([]mtid.Zone, 0, len(zones))
	for z := range zones {
		others = append(others, z)
	}
	slices.Sort(others)
	ownZone := func(c Candidate) bool { return c.Zone == self.Zone && c.Region == self.Region }
	otherRegion := func(c Candidate) bool { return c.Region != self.Region }
	switch len(others) {
	case 0:
		return []filter{ownZone, otherRegion}
	case 1:
		return []filter{ownZone, inZone(self.Region, others[0]), otherRegion}
	}
	// The two zones are selected by rank, so that no zone gets more than its share
	// of the witnesses.
	slices.SortFunc(others, func(a, b mtid.Zone) int {
		return cmp.Compare(pairRank(string(a), string(self.Holder.Daemon)), pairRank(string(b), string(self.Holder.Daemon)))
	})
	return []filter{ownZone, inZone(self.Region, others[0]), inZone(self.Region, others[1])}
}

func inZone(region mtid.Region, zone mtid.Zone) filter {
	return func(c Candidate) bool { return c.Region == region && c.Zone == zone }
}

// ranked returns the peers of self, best first: mutual ones before others, then
// those with less load, then by rank.
func ranked(self Candidate, candidates []Candidate) []Candidate {
	peers := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return c.Holder.Daemon == self.Holder.Daemon
	})
	slices.SortFunc(peers, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(b.Mutual, a.Mutual),
			cmp.Compare(a.Load, b.Load),
			cmp.Compare(rankOf(self, b), rankOf(self, a)),
			cmp.Compare(a.Holder.Daemon, b.Holder.Daemon),
		)
	})
	return peers
}

func rankOf(a, b Candidate) uint64 {
	return pairRank(string(a.Holder.Daemon), string(b.Holder.Daemon))
}

// pairRank returns the rank of a pair of names. It is the same in either order.
func pairRank(a, b string) uint64 {
	low, high := min(a, b), max(a, b)
	return mtid.Rank(mtid.Daemon(low), mtid.Point(mtid.Rank(mtid.Daemon(high), 0)))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
