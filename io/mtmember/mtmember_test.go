package mtmember_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
)

func TestLostDaemonIsTakenOver(t *testing.T) {
	f := newFleet(t, 6)
	f.waitServing()
	f.store.create(t, 24)
	lost := f.nodes[2]
	holder := lost.member.Holder()
	assert.Assert(t, f.owns(holder))
	lost.stop()
	f.wait("its shards have other owners", func() bool { return !f.owns(holder) })
	// The witnesses agreed only after its lease had ended by its own clock.
	assert.Assert(t, !f.serving(lost))
	record, _, _ := f.store.Record(lost.name)
	assert.Assert(t, !record.MayHoldLease())
	f.start(lost)
	f.wait("it registered again", func() bool { return lost.member.Holder().Incarnation > holder.Incarnation })
	f.waitServing()
}

// All VMs are replaced at once: no process remembers anything, all addresses
// are new, and the store names only former lives as witnesses. Each daemon
// waits for others that wait as well. The fleet must come up by itself.
func TestColdStartOfTheWholeFleet(t *testing.T) {
	f := newFleet(t, 6)
	f.waitServing()
	f.store.create(t, 24)
	former := make(map[mtid.Daemon]mtid.Holder)
	for _, n := range f.nodes {
		former[n.name] = n.member.Holder()
		n.stop()
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.wait("no former life owns a shard", func() bool {
		for _, h := range former {
			if f.owns(h) {
				return false
			}
		}
		return true
	})
	f.waitServing()
}

// The store is down for a while. Nobody may stop serving for it, and a daemon
// that is lost meanwhile is taken over once the store is back.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 6)
	f.waitSettled()
	f.store.create(t, 24)
	f.store.set(func(s *fakeStore) { s.down = true })
	lost := f.nodes[0]
	holder := lost.member.Holder()
	lost.stop()
	f.wait("the witnesses tried", func() bool {
		for _, n := range f.nodes[1:] {
			if n.member.Counters().StoreWrites.Value() > 0 && n.member.Counters().Suspicions.Value() > 0 {
				return true
			}
		}
		return false
	})
	for _, n := range f.nodes[1:] {
		f.wait("others serve without the store", func() bool { return f.serving(n) })
	}
	assert.Assert(t, f.owns(holder))
	f.store.set(func(s *fakeStore) { s.down = false })
	f.wait("its shards have other owners", func() bool { return !f.owns(holder) })
}

// The store takes writes and loses its answers, for a registration, a change of
// offers and a takeover. Each must be found to have landed, not be made twice.
func TestAnswersOfWritesLost(t *testing.T) {
	f := newFleet(t, 4)
	f.waitServing()
	f.store.create(t, 16)
	n := f.nodes[0]
	f.store.set(func(s *fakeStore) { s.deaf = 1 })
	n.member.Offer([]mtroster.Offer{{Service: ref, Slots: 99}})
	f.wait("the offer is in the record", func() bool {
		r, _, _ := f.store.Record(n.name)
		return r.Offers[0].Slots == 99
	})
	f.wait("and the lease goes on", func() bool { return f.serving(n) })
	lost := f.nodes[1]
	holder := lost.member.Holder()
	f.store.set(func(s *fakeStore) { s.deaf = 2 })
	lost.stop()
	f.wait("its shards have other owners", func() bool { return !f.owns(holder) })
	f.store.set(func(s *fakeStore) { s.deaf = 1 })
	f.start(lost)
	f.wait("it registered", func() bool { return !lost.member.Holder().IsZero() })
	assert.Equal(t, lost.member.Holder().Incarnation, holder.Incarnation+1)
}

// A daemon is revoked although it runs, as after a partition. It must stop by
// itself, and come back as another life.
func TestRevokedDaemonRegistersAgain(t *testing.T) {
	f := newFleet(t, 4)
	f.waitServing()
	n := f.nodes[3]
	holder := n.member.Holder()
	record, version, _ := f.store.Record(n.name)
	revoked := *record
	revoked.RevokedBelow = holder.Incarnation + 1
	value, err := revoked.Encode()
	assert.NilError(t, err)
	for {
		if _, err = f.store.Swap(t.Context(), mtstore.RosterName(n.name), version, value, ""); err == nil {
			break
		}
		_, version, _ = f.store.Record(n.name)
	}
	f.wait("it is another life", func() bool { return n.member.Holder().Incarnation == holder.Incarnation+1 })
	f.waitServing()
}

// A daemon leaves in order: its record then is proof enough that it serves no
// more, so its lease must have ended before.
func TestGoneEndsTheLeaseFirst(t *testing.T) {
	f := newFleet(t, 4)
	f.waitServing()
	n := f.nodes[0]
	n.member.Enter(mtroster.Gone)
	f.wait("the record says so", func() bool {
		r, _, _ := f.store.Record(n.name)
		return r.State == mtroster.Gone
	})
	assert.Assert(t, n.duty.Until() == 0)
}
