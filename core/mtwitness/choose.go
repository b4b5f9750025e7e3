package mtwitness

import (
	"cmp"
	"slices"

	"magnoliaturn/core/mtid"
)

// SetSize is how many witnesses a daemon has where there are enough peers.
const SetSize = 3

// Candidate is a daemon that may be chosen as a witness, or that chooses.
type Candidate struct {
	Holder mtid.Holder
	Zone   mtid.Zone
	Region mtid.Region
	// Load is how many other daemons of the choosing one's availability zone
	// name it as a witness. A peer that none names yet will still choose one
	// there, and so may become mutual.
	Load int
	// Mutual says that it names the choosing daemon as its own witness: then
	// one datagram carries both renewals.
	Mutual bool
	// Single says that a witness of it in the choosing daemon's availability
	// zone does not name it back.
	Single bool
}

// place is where a witness should live, seen from the daemon it is for.
type place func(Candidate) bool

// Choose returns the witnesses for self among its peers, SetSize of them where
// there are enough: one in self's availability zone, one in another zone of the
// region, and one in a third zone, of the same region if that has three and
// else of another region. So no loss of a zone takes two of them, nor the
// daemon with a majority. A place that nobody fits goes to any peer left.
//
// Witnesses in keep stay chosen if they are among the peers. The choice is the
// same for the same input, and tends to be mutual, since two daemons rank each
// other by the same number.
func Choose(self Candidate, among []Candidate, keep []mtid.Holder) []mtid.Holder {
	peers := ranked(self, among)
	var chosen []Candidate
	for _, p := range peers {
		if slices.Contains(keep, p.Holder) && len(chosen) < SetSize {
			chosen = append(chosen, p)
		}
	}
	for _, fits := range places(self, among) {
		if len(chosen) < SetSize && !slices.ContainsFunc(chosen, fits) {
			chosen = add(chosen, peers, fits)
		}
	}
	for len(chosen) < min(SetSize, len(peers)) {
		chosen = add(chosen, peers, func(Candidate) bool { return true })
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.Holder.Daemon, b.Holder.Daemon) })
	set := make([]mtid.Holder, 0, len(chosen))
	for _, c := range chosen {
		set = append(set, c.Holder)
	}
	return set
}

// Pair returns set with one witness exchanged, so that it is mutual or may
// become so, or set as it is if there is nothing to gain. In place of a witness
// that doesn't name self comes a peer of the same availability zone that does;
// if there is none, one that is single there itself, which will find self the
// next time it pairs.
//
// It is called now and then, since daemons that choose at the same time choose
// past each other; an exchange costs one write and saves half of a pair's
// traffic for good.
func Pair(self Candidate, among []Candidate, set []mtid.Holder) []mtid.Holder {
	peers := ranked(self, among)
	mutual := func(p Candidate) bool { return p.Mutual }
	single := func(p Candidate) bool { return p.Single }
	for _, better := range []place{mutual, single} {
		for i, w := range set {
			at := slices.IndexFunc(peers, func(p Candidate) bool { return p.Holder == w })
			if at < 0 || peers[at].Mutual || better(peers[at]) {
				continue
			}
			beside := in(peers[at].Region, peers[at].Zone)
			j := slices.IndexFunc(peers, func(p Candidate) bool {
				return better(p) && beside(p) && !slices.Contains(set, p.Holder)
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

// add appends the best peer that fits and was not chosen yet, if there is one.
func add(chosen, peers []Candidate, fits place) []Candidate {
	i := slices.IndexFunc(peers, func(p Candidate) bool {
		return fits(p) && !slices.ContainsFunc(chosen, func(c Candidate) bool { return c.Holder == p.Holder })
	})
	if i < 0 {
		return chosen
	}
	return append(chosen, peers[i])
}

// places returns where the witnesses of self should live.
func places(self Candidate, among []Candidate) []place {
	zones := make(map[mtid.Zone]bool)
	for _, c := range among {
		if c.Region == self.Region && c.Zone != self.Zone {
			zones[c.Zone] = true
		}
	}
	others := make([]mtid.Zone, 0, len(zones))
	for z := range zones {
		others = append(others, z)
	}
	slices.Sort(others)
	own := func(c Candidate) bool { return c.Zone == self.Zone && c.Region == self.Region }
	abroad := func(c Candidate) bool { return c.Region != self.Region }
	switch len(others) {
	case 0:
		return []place{own, abroad}
	case 1:
		return []place{own, in(self.Region, others[0]), abroad}
	}
	// Which two of several other zones is drawn by rank, so that no zone bears
	// more than its share.
	slices.SortFunc(others, func(a, b mtid.Zone) int {
		return cmp.Compare(pairRank(string(a), string(self.Holder.Daemon)), pairRank(string(b), string(self.Holder.Daemon)))
	})
	return []place{own, in(self.Region, others[0]), in(self.Region, others[1])}
}

func in(region mtid.Region, zone mtid.Zone) place {
	return func(c Candidate) bool { return c.Region == region && c.Zone == zone }
}

// ranked returns the peers of self, the best first: mutual ones, then those
// with few wards, then by rank.
func ranked(self Candidate, among []Candidate) []Candidate {
	peers := slices.DeleteFunc(slices.Clone(among), func(c Candidate) bool {
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

// pairRank is a number that both of a pair compute alike.
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
