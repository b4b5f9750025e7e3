package mtmember_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtroster"
)

var profile = mtmember.Profile{Daemon: "d", Zone: "old-town", Region: "riga", RelayAddress: "10.0.0.1:1", RenewAddress: "10.0.0.1:2"}

func holder(n mtid.Incarnation) mtid.Holder { return mtid.Holder{Daemon: "d", Incarnation: n} }

// previous returns the record of a previous incarnation.
func previous(n mtid.Incarnation) *mtroster.Record {
	return &mtroster.Record{
		Holder: holder(n), RevokedBelow: n, RelayAddress: profile.RelayAddress, RenewAddress: profile.RenewAddress,
		Witnesses: []mtid.Holder{{Daemon: "w", Incarnation: 1}},
	}
}

func registered(t *testing.T) *mtmember.Member {
	t.Helper()
	m := mtmember.New(profile, 100)
	m.ObserveMissing()
	step := m.Next()
	assert.Equal(t, step.Kind, mtmember.Write)
	m.WriteSucceeded(1)
	assert.Equal(t, m.Holder(), holder(1))
	return m
}

func TestFirstStepDependsOnPreviousRecord(t *testing.T) {
	moved := previous(4)
	moved.RelayAddress = "10.9.9.9:1"
	left := previous(4)
	left.State = mtroster.Gone
	revoked := previous(4)
	revoked.RevokedBelow = 6
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
				m.ObserveMissing()
			} else {
				m.Observe(tt.record, 9)
			}
			step := m.Next()
			assert.Equal(t, step.Kind, tt.want)
			assert.Equal(t, step.Record.Holder, tt.holder)
			assert.Equal(t, step.Record.RelayAddress, profile.RelayAddress)
		})
	}
}

// The witnesses revoked the previous incarnation under one version of its record,
// which has changed since. The new version may name other witnesses, which have not
// revoked anything.
func TestFenceAppliesToOneVersionOnly(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.Observe(previous(4), 9)
	m.MarkFenced(9)
	assert.Equal(t, m.Next().Record.Holder, holder(5))
	m.Observe(previous(4), 10)
	step := m.Next()
	assert.Equal(t, step.Kind, mtmember.Fence)
	assert.Equal(t, step.Expected, mtid.Version(10))
	m.MarkFenced(10)
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
		{"first attempt succeeded", func(m *mtmember.Member, w *mtroster.Record) { m.Observe(w, 2) }, holder(1), "new"},
		{"second attempt succeeded", func(m *mtmember.Member, _ *mtroster.Record) { m.WriteSucceeded(2) }, holder(1), "new"},
		{"revoked by a claimant", func(m *mtmember.Member, _ *mtroster.Record) {
			m.Observe(&mtroster.Record{Holder: holder(1), RevokedBelow: 2}, 2)
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
			m.WriteUnknown()
			assert.Equal(t, m.Next().Kind, mtmember.Read)
			m.Observe(old, 1)
			assert.Assert(t, m.WritePending())
			assert.DeepEqual(t, m.Next(), written)
			m.WriteRejected()
			assert.Assert(t, m.WritePending(), "rejection of the second attempt must not settle the first")
			m.Observe(old, 1)
			assert.DeepEqual(t, m.Next(), written)
			tt.settle(m, written.Record)
			assert.Assert(t, !m.WritePending())
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
	m.WriteRejected()
	assert.Assert(t, !m.WritePending())
	assert.Equal(t, m.Next().Kind, mtmember.Idle)
}

// Two processes are started under the same name by mistake and register at the same
// time. The store accepts only one write. If the other process mistook that
// registration for its own, two processes would hold the same lease.
func TestOnlyOneOfTwoProcessesRegisters(t *testing.T) {
	first, second := mtmember.New(profile, 100), mtmember.New(profile, 5000)
	first.ObserveMissing()
	second.ObserveMissing()
	firstWrite, secondWrite := first.Next(), second.Next()
	assert.Equal(t, firstWrite.Record.Holder, secondWrite.Record.Holder)
	first.WriteSucceeded(1)
	second.Observe(firstWrite.Record, 1)
	assert.Equal(t, first.Holder(), holder(1))
	assert.Assert(t, second.Holder().IsZero())
	assert.Equal(t, second.Next().Record.Holder, holder(2))
}

// A registration succeeded although its response was lost, and the incarnation was
// revoked before the daemon read the record. The daemon must not start to use an
// incarnation that is already revoked.
func TestRevokedRegistrationIsNotUsed(t *testing.T) {
	m := mtmember.New(profile, 100)
	m.ObserveMissing()
	written := m.Next().Record
	m.WriteUnknown()
	revoked := *written
	revoked.RevokedBelow = 2
	m.Observe(&revoked, 2)
	assert.Assert(t, m.Holder().IsZero())
	assert.Equal(t, m.Next().Record.Holder, holder(2))
}

func TestReadOfAnOlderVersionIsIgnored(t *testing.T) {
	m := registered(t)
	m.Observe(&mtroster.Record{Holder: holder(1), RevokedBelow: 2}, 0)
	assert.Equal(t, m.Holder(), holder(1))
}
