package mtmember_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtroster"
)

var profile = mtmember.Profile{Daemon: "d", Zone: "old-town", Region: "riga", Relay: "10.0.0.1:1", Renew: "10.0.0.1:2"}

func holder(n mtid.Incarnation) mtid.Holder { return mtid.Holder{Daemon: "d", Incarnation: n} }

// previous returns the record of a previous incarnation.
func previous(n mtid.Incarnation) *mtroster.Record {
	return &mtroster.Record{
		Holder: holder(n), Revoked: n, Relay: profile.Relay, Renew: profile.Renew,
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
	assert.Equal(t, m.Holder(), holder(1))
	return m
}

func TestFirstStepDependsOnPreviousRecord(t *testing.T) {
	moved := previous(4)
	moved.Relay = "10.9.9.9:1"
	left := previous(4)
	left.State = mtroster.Gone
	revoked := previous(4)
	revoked.Revoked = 6
	unwitnessed := previous(4)
	unwitnessed.Witnesses = nil
	tests := []struct {
		name   string
		record *mtroster.Record
		want   mtmember.Kind
		holder mtid.Holder // in the record that is written
	}{
		{"none", nil, mtmember.Write, holder(1)},
		{"may hold promises", previous(4), mtmember.Fence, holder(4)},
		{"has another address", moved, mtmember.Write, holder(4)},
		{"left", left, mtmember.Write, holder(5)},
		{"revoked", revoked, mtmember.Write, holder(6)},
		{"never had witnesses", unwitnessed, mtmember.Write, holder(5)},
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

// The witnesses revoked the previous incarnation under one version of its record,
// which has changed since. The new version may name other witnesses, which have not
// revoked anything.
func TestFenceAppliesToOneVersionOnly(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.Seen(previous(4), 9)
	m.Fenced(9)
	assert.Equal(t, m.Next().Record.Holder, holder(5))
	m.Seen(previous(4), 10)
	step := m.Next()
	assert.Equal(t, step.Kind, mtmember.Fence)
	assert.Equal(t, step.Expected, mtid.Version(10))
	m.Fenced(10)
	assert.Equal(t, m.Next().Record.Holder, holder(5))
}

// The response to a write is lost, and a read returns the old record. The write may
// still be applied. A member that abandoned it would rely on the old set of
// witnesses although the store names the new set later.
func TestUncertainWriteStaysPendingUntilVersionChanges(t *testing.T) {
	tests := []struct {
		name   string
		settle func(m *mtmember.Member, written *mtroster.Record)
		holder mtid.Holder
		zone   mtid.Zone
	}{
		{"first attempt succeeded", func(m *mtmember.Member, w *mtroster.Record) { m.Seen(w, 2) }, holder(1), "new"},
		{"second attempt succeeded", func(m *mtmember.Member, _ *mtroster.Record) { m.Landed(2) }, holder(1), "new"},
		{"revoked by a claimant", func(m *mtmember.Member, _ *mtroster.Record) {
			m.Seen(&mtroster.Record{Holder: holder(1), Revoked: 2}, 2)
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
			assert.Assert(t, m.Writing(), "rejection of the second attempt must not settle the first")
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

func TestRejectedWriteIsDropped(t *testing.T) {
	m := registered(t)
	record, _ := m.Record()
	next := *record
	m.Change(&next)
	m.Refused()
	assert.Assert(t, !m.Writing())
	assert.Equal(t, m.Next().Kind, mtmember.Idle)
}

// Two processes are started under the same name by mistake and register at the same
// time. The store accepts only one write. If the other process mistook that
// registration for its own, two processes would hold the same lease.
func TestOnlyOneOfTwoProcessesRegisters(t *testing.T) {
	first, second := mtmember.New(profile, 100), mtmember.New(profile, 5000)
	first.Missing()
	second.Missing()
	firstWrite, secondWrite := first.Next(), second.Next()
	assert.Equal(t, firstWrite.Record.Holder, secondWrite.Record.Holder)
	first.Landed(1)
	second.Seen(firstWrite.Record, 1)
	assert.Equal(t, first.Holder(), holder(1))
	assert.Assert(t, second.Holder().IsZero())
	assert.Equal(t, second.Next().Record.Holder, holder(2))
}

// A registration succeeded although its response was lost, and the incarnation was
// revoked before the daemon read the record. The daemon must not start to use an
// incarnation that is already revoked.
func TestRevokedRegistrationIsNotUsed(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.Missing()
	written := m.Next().Record
	m.Unknown()
	revoked := *written
	revoked.Revoked = 2
	m.Seen(&revoked, 2)
	assert.Assert(t, m.Holder().IsZero())
	assert.Equal(t, m.Next().Record.Holder, holder(2))
}

func TestReadOfAnOlderVersionIsIgnored(t *testing.T) {
	m := registered(t)
	m.Seen(&mtroster.Record{Holder: holder(1), Revoked: 2}, 0)
	assert.Equal(t, m.Holder(), holder(1))
}
