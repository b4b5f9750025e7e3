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
	f.wait("its shards to have other owners", func() bool { return !f.owns(holder) })
	// The witnesses agreed only after its lease had ended on its own clock.
	assert.Assert(t, !f.serving(lost))
	record, _, _ := f.store.Record(lost.name)
	assert.Assert(t, !record.MayHoldLease())
	f.start(lost)
	f.wait("it to register again", func() bool { return lost.member.Holder().Incarnation > holder.Incarnation })
	f.waitServing()
}

// All VMs are replaced at once: no process has any state, all addresses are new,
// and the records in the store name only previous incarnations as witnesses. The
// daemons wait for each other, and must not deadlock.
func TestFleetRecoversWhenAllVMsAreReplaced(t *testing.T) {
	f := newFleet(t, 6)
	f.waitServing()
	f.store.create(t, 24)
	previous := make(map[mtid.Daemon]mtid.Holder)
	for _, n := range f.nodes {
		previous[n.name] = n.member.Holder()
		n.stop()
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	f.wait("no previous incarnation to own a shard", func() bool {
		for _, h := range previous {
			if f.owns(h) {
				return false
			}
		}
		return true
	})
	f.waitServing()
}

// While the store is down, no daemon may stop serving. A daemon that is lost
// meanwhile must be taken over once the store is available again.
func TestStoreOutageStopsNoDaemon(t *testing.T) {
	f := newFleet(t, 6)
	f.waitSettled()
	f.store.create(t, 24)
	f.store.set(func(s *fakeStore) { s.down = true })
	lost := f.nodes[0]
	holder := lost.member.Holder()
	lost.stop()
	f.wait("a witness to attempt the takeover", func() bool {
		for _, n := range f.nodes[1:] {
			if n.member.Counters().StoreWrites.Value() > 0 && n.member.Counters().Suspicions.Value() > 0 {
				return true
			}
		}
		return false
	})
	for _, n := range f.nodes[1:] {
		f.wait("the others to serve without the store", func() bool { return f.serving(n) })
	}
	assert.Assert(t, f.owns(holder))
	f.store.set(func(s *fakeStore) { s.down = false })
	f.wait("its shards to have other owners", func() bool { return !f.owns(holder) })
}

// The store applies writes but the responses are lost, for a registration, a change
// of offers and a takeover. Each write must be recognized as applied, and not be
// repeated.
func TestWritesWithLostResponsesAreNotRepeated(t *testing.T) {
	f := newFleet(t, 4)
	f.waitServing()
	f.store.create(t, 16)
	n := f.nodes[0]
	f.store.set(func(s *fakeStore) { s.lostAnswers = 1 })
	n.member.SetOffers([]mtroster.Offer{{Service: ref, Slots: 99}})
	f.wait("the record to list the offer", func() bool {
		r, _, _ := f.store.Record(n.name)
		return r.Offers[0].Slots == 99
	})
	f.wait("the daemon to keep serving", func() bool { return f.serving(n) })
	lost := f.nodes[1]
	holder := lost.member.Holder()
	f.store.set(func(s *fakeStore) { s.lostAnswers = 2 })
	lost.stop()
	f.wait("its shards to have other owners", func() bool { return !f.owns(holder) })
	f.store.set(func(s *fakeStore) { s.lostAnswers = 1 })
	f.start(lost)
	f.wait("it to register", func() bool { return !lost.member.Holder().IsZero() })
	assert.Equal(t, lost.member.Holder().Incarnation, holder.Incarnation+1)
}

// A running daemon is revoked, as after a network partition. It must stop serving
// by itself, and register a new incarnation.
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
	f.wait("it to register a new incarnation", func() bool { return n.member.Holder().Incarnation == holder.Incarnation+1 })
	f.waitServing()
}

// A daemon shuts down cleanly. Other daemons take its record as proof that it no
// longer serves, so its lease must end before the record is written.
func TestLeaseEndsBeforeGoneIsWritten(t *testing.T) {
	f := newFleet(t, 4)
	f.waitServing()
	n := f.nodes[0]
	n.member.SetState(mtroster.Gone)
	f.wait("the record to have the state Gone", func() bool {
		r, _, _ := f.store.Record(n.name)
		return r.State == mtroster.Gone
	})
	assert.Assert(t, n.renewer.Until() == 0)
}
