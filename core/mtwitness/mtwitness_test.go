package mtwitness_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtwitness"
)

const start = mtclock.Instant(time.Hour)

var (
	w1 = mtid.Holder{Daemon: "w", Incarnation: 2}
	d1 = mtid.Holder{Daemon: "d", Incarnation: 1}
	d2 = mtid.Holder{Daemon: "d", Incarnation: 2}
)

func at(d time.Duration) mtclock.Instant { return start.Add(d) }

func registered() *mtwitness.Witness {
	w := mtwitness.New(w1.Daemon, start)
	w.Register(w1.Incarnation)
	return w
}

func renewal(witness mtid.Holder, version mtid.Version) mtlease.RenewRequest {
	return mtlease.RenewRequest{Sequence: 1, Witness: witness, Version: version}
}

// A claimant sends requests at various times around the end of a promise. If the
// witness agreed while the holder still relies on the promise, a key would have
// two owners.
func TestRevokeWaitsForPromiseToEnd(t *testing.T) {
	w := registered()
	requested := 2 * time.Second
	assert.Equal(t, w.Renew(at(requested), d1, renewal(w1, 3), true).Refusal, mtlease.Granted)
	request := mtwitness.Request{Target: d1, Version: 3, Witness: w1}
	got := w.Revoke(at(requested+mtlease.Length), request)
	assert.DeepEqual(t, got, mtwitness.Reply{Wait: mtlease.WitnessLength - mtlease.Length})
	assert.Assert(t, !w.Revoke(at(requested+mtlease.WitnessLength-1), request).Granted)
	assert.Assert(t, w.Revoke(at(requested+mtlease.WitnessLength), request).Granted)
	refused := w.Renew(at(requested+mtlease.WitnessLength), d1, renewal(w1, 3), true)
	assert.DeepEqual(t, refused, mtlease.Answer{Sequence: 1, Refusal: mtlease.Revoked, Floor: 3})
	again := w.Renew(at(requested+mtlease.WitnessLength), d1, renewal(w1, 4), true)
	assert.DeepEqual(t, again, mtlease.Answer{Sequence: 1, Floor: 3})
}

// The witness restarts right after making a promise, and loses that state. A
// claimant sends a request to the new process at once.
func TestRestartedWitnessWaitsBeforeRevoking(t *testing.T) {
	w := mtwitness.New(w1.Daemon, start)
	previous := mtid.Holder{Daemon: w1.Daemon, Incarnation: 1}
	request := mtwitness.Request{Target: d1, Version: 3, Witness: previous}
	assert.Assert(t, !w.Revoke(at(mtlease.WitnessLength-1), request).Granted)
	assert.Assert(t, !at(mtlease.WitnessLength-1).After(w.Until(d1)), "no peer is suspected before the wait is over")
	assert.Assert(t, w.Revoke(at(mtlease.WitnessLength), request).Granted, "an unregistered process must answer for the previous incarnation")
}

// W1 and W2 revoke D. W1 restarts, and D requests a promise under the same set. If
// W1 promised, D would have W1 and W3 while the claimant's write takes effect, and
// a key would have two owners.
func TestNoPromiseUnderSetNamingPreviousIncarnation(t *testing.T) {
	previous := mtid.Holder{Daemon: w1.Daemon, Incarnation: 1}
	unregistered := mtwitness.New(w1.Daemon, start)
	assert.Equal(t, unregistered.Renew(at(0), d1, renewal(previous, 3), true).Refusal, mtlease.Incarnation)
	assert.Equal(t, registered().Renew(at(0), d1, renewal(previous, 3), true).Refusal, mtlease.Incarnation)
}

// A witness is fenced without noticing, as it is partitioned off together with a
// holder. After a while a claimant counts it as having agreed; by then it must have
// stopped making promises.
func TestNoPromiseUnlessConfirmed(t *testing.T) {
	w := registered()
	assert.Equal(t, w.Renew(at(0), d1, renewal(w1, 3), false).Refusal, mtlease.Unconfirmed)
	assert.Assert(t, !w.Until(d1).After(at(mtlease.WitnessLength)), "nothing was promised")
	assert.Equal(t, w.Renew(at(0), d1, renewal(w1, 3), true).Refusal, mtlease.Granted)
}

// Two processes run under one name by mistake. Promises to the newer incarnation
// must not hide that the previous one still relies on its own.
func TestRevokeWaitsForPreviousIncarnation(t *testing.T) {
	w := registered()
	w.Renew(at(2*time.Second), d1, renewal(w1, 3), true)
	w.Renew(at(2*time.Second+time.Millisecond), d2, renewal(w1, 4), true)
	request := mtwitness.Request{Target: d1, Version: 3, Witness: w1}
	assert.Assert(t, !w.Revoke(at(2*time.Second+mtlease.WitnessLength-1), request).Granted)
	w.Renew(at(3*time.Second), d2, renewal(w1, 4), true)
	assert.Assert(t, w.Revoke(at(2*time.Second+mtlease.WitnessLength), request).Granted)
	assert.Equal(t, w.Renew(at(3*time.Second), d1, renewal(w1, 9), true).Refusal, mtlease.Revoked)
	assert.Equal(t, w.Renew(at(3*time.Second), d2, renewal(w1, 4), true).Refusal, mtlease.Granted)
}

func fleet(zones map[mtid.Zone]mtid.Region, each int) []mtwitness.Candidate {
	var all []mtwitness.Candidate
	for _, zone := range []mtid.Zone{"a", "b", "c", "x", "y"} {
		region, ok := zones[zone]
		for i := range each {
			if ok {
				h := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("%s-%d", zone, i)), Incarnation: 1}
				all = append(all, mtwitness.Candidate{Holder: h, Zone: zone, Region: region})
			}
		}
	}
	return all
}

func TestChooseSpreadsOverZones(t *testing.T) {
	tests := []struct {
		name  string
		zones map[mtid.Zone]mtid.Region
		each  int
		want  int // different zones among the witnesses
		size  int
	}{
		{"three zones", map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "c": "r"}, 4, 3, 3},
		{"two zones and another region", map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "x": "s"}, 4, 3, 3},
		{"two zones", map[mtid.Zone]mtid.Region{"a": "r", "b": "r"}, 4, 2, 3},
		{"one zone", map[mtid.Zone]mtid.Region{"a": "r"}, 5, 1, 3},
		{"one daemon a zone", map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "c": "r"}, 1, 2, 2},
		{"alone", map[mtid.Zone]mtid.Region{"a": "r"}, 1, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := fleet(tt.zones, tt.each)
			chosen := mtwitness.Choose(all[0], all, nil)
			assert.Equal(t, len(chosen), tt.size)
			zones := make(map[mtid.Zone]bool)
			for _, c := range all {
				for _, h := range chosen {
					if c.Holder == h {
						zones[c.Zone] = true
					}
				}
			}
			assert.Equal(t, len(zones), tt.want)
		})
	}
}

func TestChooseRetainsKeptAndOmitsSelf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "c": "r"}, rapid.IntRange(2, 9).Draw(t, "each"))
		i := rapid.IntRange(0, len(all)-1).Draw(t, "self")
		keep := all[rapid.IntRange(0, len(all)-1).Draw(t, "keep")].Holder
		chosen := mtwitness.Choose(all[i], all, []mtid.Holder{keep})
		assert.Equal(t, len(chosen), mtwitness.SetSize)
		seen := map[mtid.Holder]bool{all[i].Holder: true}
		for _, h := range chosen {
			assert.Assert(t, !seen[h], "%v was selected twice, or selected itself", h)
			seen[h] = true
		}
		assert.Assert(t, seen[keep])
	})
}

// Daemons select witnesses all at once, without seeing each other's selections.
// Pairing must make most selections mutual afterwards, and must converge: otherwise
// the daemons would write records forever.
func TestPairingMakesMutualAndConverges(t *testing.T) {
	all := fleet(map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "c": "r"}, 16)
	chosen := make(map[mtid.Holder][]mtid.Holder)
	for _, self := range all {
		chosen[self.Holder] = mtwitness.Choose(self, all, nil)
	}
	peersOf := func(self mtwitness.Candidate) (peers []mtwitness.Candidate) {
		for _, p := range all {
			p.Mutual = slices.Contains(chosen[p.Holder], self.Holder)
			for _, w := range all {
				named := slices.Contains(chosen[p.Holder], w.Holder)
				p.Unpaired = p.Unpaired || (w.Zone == self.Zone && named && !slices.Contains(chosen[w.Holder], p.Holder))
			}
			peers = append(peers, p)
		}
		return peers
	}
	count := func() (mutual int) {
		for _, self := range all {
			for _, p := range peersOf(self) {
				if p.Mutual && slices.Contains(chosen[self.Holder], p.Holder) {
					mutual++
				}
			}
		}
		return mutual
	}
	before, writes := count(), 0
	for changed := true; changed; {
		changed = false
		for _, self := range all {
			next := mtwitness.Pair(self, peersOf(self), chosen[self.Holder])
			if !slices.Equal(next, chosen[self.Holder]) {
				chosen[self.Holder] = next
				changed = true
				writes++
			}
		}
		assert.Assert(t, writes <= 2*len(all)*mtwitness.SetSize, "pairing does not converge")
	}
	after := count()
	t.Logf("mutual of %d: %d before, %d after %d writes", len(all)*mtwitness.SetSize, before, after, writes)
	assert.Assert(t, after > before && after*10 > len(all)*mtwitness.SetSize*9)
}

// Daemons select witnesses one after another, and see the previous selections. If
// few of them were mutual, renewal would cost nearly twice as much.
func TestSequentialSelectionsAreMostlyMutual(t *testing.T) {
	all := fleet(map[mtid.Zone]mtid.Region{"a": "r", "b": "r", "c": "r"}, 16)
	chosen := make(map[mtid.Holder][]mtid.Holder)
	names := func(a, b mtid.Holder) bool {
		for _, h := range chosen[a] {
			if h == b {
				return true
			}
		}
		return false
	}
	for _, self := range all {
		peers := make([]mtwitness.Candidate, len(all))
		for i, p := range all {
			p.Mutual = names(p.Holder, self.Holder)
			for _, other := range all {
				if other.Zone == self.Zone && other.Holder != self.Holder && names(other.Holder, p.Holder) {
					p.Load++
				}
			}
			peers[i] = p
		}
		chosen[self.Holder] = mtwitness.Choose(self, peers, nil)
	}
	mutual, total := 0, 0
	for _, a := range all {
		for _, b := range chosen[a.Holder] {
			total++
			if names(b, a.Holder) {
				mutual++
			}
		}
	}
	t.Logf("%d of %d selections are mutual", mutual, total)
	assert.Assert(t, mutual*4 > total*3, "only %d of %d selections are mutual", mutual, total)
}
