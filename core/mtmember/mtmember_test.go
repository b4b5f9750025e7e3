package mtmember_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtroster"
)

var profile = mtmember.Profile{Daemon: "d", Zone: "old-town", Region: "riga", Relay: "10.0.0.1:1", Renew: "10.0.0.1:2"}

func life(n mtid.Incarnation) mtid.Holder { return mtid.Holder{Daemon: "d", Incarnation: n} }

// former is the record of an earlier life.
func former(n mtid.Incarnation) *mtroster.Record {
	return &mtroster.Record{
		Holder: life(n), Revoked: n, Relay: profile.Relay, Renew: profile.Renew,
		Witnesses: []mtid.Holder{{Daemon: "w", Incarnation: 1}},
	}
}

func registered(t *testing.T) *mtmember.Member {
	t.Helper()
	m := mtmember.New(profile, 100)
	m.Missing()
	step := m.Next()
	assert.Equal(t, step.Kind, mtmember.Write)
	m.Landed(1)
	assert.Equal(t, m.Holder(), life(1))
	return m
}

func TestRegistrationFollowsTheFormerLife(t *testing.T) {
	moved := former(4)
	moved.Relay = "10.9.9.9:1"
	gone := former(4)
	gone.State = mtroster.Gone
	revoked := former(4)
	revoked.Revoked = 6
	unwitnessed := former(4)
	unwitnessed.Witnesses = nil
	tests := []struct {
		name   string
		record *mtroster.Record
		want   mtmember.Kind
		holder mtid.Holder // in the record that is written
	}{
		{"none", nil, mtmember.Write, life(1)},
		{"one that may hold promises", former(4), mtmember.Fence, life(4)},
		{"one known at another address", moved, mtmember.Write, life(4)},
		{"one that left", gone, mtmember.Write, life(5)},
		{"one that was revoked", revoked, mtmember.Write, life(6)},
		{"one that never had a lease", unwitnessed, mtmember.Write, life(5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := mtmember.New(profile, 100)
			assert.Equal(t, m.Next().Kind, mtmember.Read)
			if tt.record == nil {
				m.Missing()
			} else {
				m.Seen(tt.record, 9)
			}
			step := m.Next()
			assert.Equal(t, step.Kind, tt.want)
			assert.Equal(t, step.Record.Holder, tt.holder)
			assert.Equal(t, step.Record.Relay, profile.Relay)
		})
	}
}

// Witnesses revoked the former life under one version of its record, and the
// record has moved on since. It may name others now, who were not asked.
func TestFenceCountsForItsVersionOnly(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.Seen(former(4), 9)
	m.Fenced(9)
	assert.Equal(t, m.Next().Record.Holder, life(5))
	m.Seen(former(4), 10)
	step := m.Next()
	assert.Equal(t, step.Kind, mtmember.Fence)
	assert.Equal(t, step.Expected, mtid.Version(10))
	m.Fenced(10)
	assert.Equal(t, m.Next().Record.Holder, life(5))
}

// The store's answer to a change is lost, and a read shows the old record. The
// write may still land. A member that gave it up would go by the old set of
// witnesses while the store comes to name the new one.
func TestWriteInDoubtStaysUntilTheVersionMoves(t *testing.T) {
	tests := []struct {
		name   string
		settle func(m *mtmember.Member, written *mtroster.Record)
		holder mtid.Holder
		zone   mtid.Zone
	}{
		{"it landed after all", func(m *mtmember.Member, w *mtroster.Record) { m.Seen(w, 2) }, life(1), "new"},
		{"the second try landed", func(m *mtmember.Member, _ *mtroster.Record) { m.Landed(2) }, life(1), "new"},
		{"a taker was first", func(m *mtmember.Member, _ *mtroster.Record) {
			m.Seen(&mtroster.Record{Holder: life(1), Revoked: 2}, 2)
		}, mtid.Holder{}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := registered(t)
			old, _ := m.Record()
			next := *old
			next.Zone = "new"
			assert.Assert(t, m.Change(&next))
			written := m.Next()
			m.Unknown()
			assert.Equal(t, m.Next().Kind, mtmember.Read)
			m.Seen(old, 1)
			assert.Assert(t, m.Writing())
			assert.DeepEqual(t, m.Next(), written)
			m.Refused()
			assert.Assert(t, m.Writing(), "a refused second try says nothing about the first")
			m.Seen(old, 1)
			assert.DeepEqual(t, m.Next(), written)
			tt.settle(m, written.Record)
			assert.Assert(t, !m.Writing())
			assert.Equal(t, m.Holder(), tt.holder)
			record, _ := m.Record()
			assert.Equal(t, record.Zone, tt.zone)
		})
	}
}

func TestRefusedWriteIsDropped(t *testing.T) {
	m := registered(t)
	record, _ := m.Record()
	next := *record
	m.Change(&next)
	m.Refused()
	assert.Assert(t, !m.Writing())
	assert.Equal(t, m.Next().Kind, mtmember.Idle)
}

// Two processes run under one name by mistake and register at the same time.
// The store lets one in. If the other took that registration for its own, two
// processes would hold one lease.
func TestOnlyOneOfTwoProcessesRegisters(t *testing.T) {
	first, second := mtmember.New(profile, 100), mtmember.New(profile, 5000)
	first.Missing()
	second.Missing()
	one, other := first.Next(), second.Next()
	assert.Equal(t, one.Record.Holder, other.Record.Holder)
	first.Landed(1)
	second.Seen(one.Record, 1)
	assert.Equal(t, first.Holder(), life(1))
	assert.Assert(t, second.Holder().IsZero())
	assert.Equal(t, second.Next().Record.Holder, life(2))
}

// A registration landed although its answer was lost, and the daemon was taken
// over before it looked. It must not enter a life that is revoked already.
func TestRegistrationRevokedBeforeItWasKnown(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.Missing()
	written := m.Next().Record
	m.Unknown()
	revoked := *written
	revoked.Revoked = 2
	m.Seen(&revoked, 2)
	assert.Assert(t, m.Holder().IsZero())
	assert.Equal(t, m.Next().Record.Holder, life(2))
}

func TestReadOfAnOlderVersionIsIgnored(t *testing.T) {
	m := registered(t)
	m.Seen(&mtroster.Record{Holder: life(1), Revoked: 2}, 0)
	assert.Equal(t, m.Holder(), life(1))
}
