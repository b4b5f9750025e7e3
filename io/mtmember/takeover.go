package mtmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mttakeover"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/core/mtwitness"
)

const (
	// takeoverTimeout limits one attempt at a takeover while witnesses refuse. After
	// it, the daemon is assumed to be alive, or cut off from this one only.
	takeoverTimeout = time.Second
	// maxChunkWrites limits the consecutive writes of one chunk. Failovers that
	// remain are detected again by the search of the tables.
	maxChunkWrites = 20
	// maxConflictDelay is the maximum delay after a chunk write lost to another one.
	maxConflictDelay = 60 * time.Millisecond
)

// job is a takeover to run. Without a record, only tables are failed over.
type job struct {
	record  *mtroster.Record
	version mtid.Version
	// expired are the witnesses whose promises have expired since they were fenced.
	expired []mtid.Holder
}

// runJobs runs jobs until the member stops.
func (m *Member) runJobs() {
	for {
		j, ok := m.jobs.Take(m.ctx.Done())
		if !ok {
			return
		}
		if j.record == nil {
			m.failOverTables()
			m.inProgress.Delete(mtid.Holder{})
			continue
		}
		if m.fenceLost(j) {
			m.failOverTables()
		}
		m.inProgress.Delete(j.record.Holder)
	}
}

// fenceLost runs a takeover until the lost incarnation is fenced. It returns false
// if the incarnation seems to be alive or the store is unavailable.
func (m *Member) fenceLost(j job) bool {
	m.counters.Suspicions.Add(1)
	t := mttakeover.New(j.record, j.version)
	for _, w := range j.expired {
		t.CountAsAgreed(w)
	}
	end := m.config.Clock.Steady().Add(takeoverTimeout)
	for !m.config.Clock.Steady().After(end) {
		switch step := t.Next(m.config.Clock.Steady()); step.Kind {
		case mttakeover.Done:
			return true
		case mttakeover.Ask:
			m.revokeAll(t, step.Witnesses)
		case mttakeover.Wait:
			if !m.sleep(min(step.Wait, takeoverTimeout/4)) {
				return false
			}
		case mttakeover.Write:
			if !m.writeRevoked(t) {
				return false
			}
		}
	}
	return false
}

// writeRevoked writes the record that fences an incarnation, and passes the record
// that is then in the store to t. It returns false if the store is unavailable.
func (m *Member) writeRevoked(t *mttakeover.Takeover) bool {
	record := t.RevokedRecord(m.newWriteID())
	value, err := record.Encode()
	if err != nil {
		m.config.Log.Error("member: failed to encode the revoked record", "target", t.Target(), "err", err)
		return false
	}
	name := mtstore.RosterName(t.Target().Daemon)
	version, err := m.store.swap(m.ctx, name, t.Version(), value)
	entry := mtstore.Entry{Name: name, Version: version, Value: value}
	switch outcomeOf(err) {
	case succeeded:
		m.counters.Takeovers.Add(1)
		m.config.Log.Info("member: revoked a lost daemon", "target", t.Target())
	case conflicted:
		entry = conflictingEntry(err)
	default:
		if entry, err = m.store.get(m.ctx, name); err != nil {
			return false
		}
	}
	current, err := mtroster.Decode(entry.Value)
	if err != nil {
		return false
	}
	t.Observe(current, entry.Version)
	m.fenced.Store(current.Holder.Daemon, current)
	m.reportEntry(entry.Name, entry.Version, entry.Value)
	return true
}

// revokeAll sends revocation requests to the witnesses in parallel, and reports
// whether any of them refused.
func (m *Member) revokeAll(t *mttakeover.Takeover, witnesses []mtid.Holder) bool {
	replies := make([]*mtwitness.Reply, len(witnesses))
	var requests sync.WaitGroup
	for i, w := range witnesses {
		request := t.Request(w)
		requests.Go(func() { replies[i] = m.revoke(request) })
	}
	requests.Wait()
	refused := false
	now := m.config.Clock.Steady()
	for i, w := range witnesses {
		if replies[i] == nil {
			t.Failed(now, t.Request(w))
			continue
		}
		refused = refused || !replies[i].Granted
		t.Replied(now, t.Request(w), *replies[i])
	}
	return refused
}

// revoke sends a revocation request to one witness. It returns nil if the witness
// cannot be reached.
func (m *Member) revoke(r mtwitness.Request) *mtwitness.Reply {
	if r.Witness.Daemon == m.config.Profile.Daemon {
		reply := m.config.Lease.Revoke(r)
		return &reply
	}
	ctx, cancel := context.WithTimeout(m.ctx, revokeTimeout)
	defer cancel()
	address, ok := m.addressOf(r.Witness.Daemon)
	if !ok {
		return nil
	}
	conn, err := m.config.Dial(address)
	if err != nil {
		return nil
	}
	got, err := mtwire.NewWitnessClient(conn).Revoke(ctx, &mtwire.RevokeRequest{
		Target:  mtroster.HolderToWire(r.Target),
		Version: uint64(r.Version),
		Witness: mtroster.HolderToWire(r.Witness),
	})
	if err != nil {
		m.config.Log.Debug("member: revocation request failed", "witness", r.Witness, "err", err)
		return nil
	}
	return &mtwitness.Reply{Granted: got.GetGranted(), Wait: time.Duration(got.GetWaitNs())}
}

// addressOf returns the relay address of a daemon. A process that has just started
// may have no live state yet, and then reads the record from the store.
func (m *Member) addressOf(d mtid.Daemon) (string, bool) {
	if record, _, ok := m.config.View.Record(d); ok {
		return record.RelayAddress, true
	}
	entry, err := m.store.get(m.ctx, mtstore.RosterName(d))
	if err != nil {
		return "", false
	}
	record, err := mtroster.Decode(entry.Value)
	if err != nil {
		return "", false
	}
	return record.RelayAddress, true
}

// roster returns the live records, updated by the revocations of this process that
// the live state does not have yet.
func (m *Member) roster() mttakeover.Roster {
	roster := make(mttakeover.Roster)
	for _, r := range m.config.View.Roster() {
		roster[r.Holder.Daemon] = r
	}
	m.fenced.Range(func(key, value any) bool {
		d, record := key.(mtid.Daemon), value.(*mtroster.Record)
		if known, ok := roster[d]; ok && known.RevokedBelow >= record.RevokedBelow {
			m.fenced.Delete(d)
			return true
		}
		roster[d] = record
		return true
	})
	return roster
}

// newWriteID returns the ID of this process's next write.
func (m *Member) newWriteID() mtroster.WriteID {
	return mtroster.WriteID{Writer: m.Holder(), Sequence: uint64(m.config.Clock.Wall().UnixNano())}
}

// queueFailover queues a failover of the chunks that name a fenced owner, unless one
// is already queued or running.
func (m *Member) queueFailover() {
	if _, running := m.inProgress.LoadOrStore(mtid.Holder{}, struct{}{}); !running {
		m.jobs.Put(job{})
	}
}

// failOverTables fails over each chunk that names a fenced owner.
func (m *Member) failOverTables() {
	for _, table := range m.config.View.Tables() {
		m.failOverChunk(table)
	}
}

// failOverChunk writes the failover of a chunk until nothing is left to do. The op
// covers every owner that is known to be fenced, so if many claimants race for a
// chunk, the write that wins also does the work of the others.
func (m *Member) failOverChunk(table *mtshard.Table) {
	for range maxChunkWrites {
		op, ok := mttakeover.Failover(table, m.roster())
		if !ok {
			return
		}
		writeID := m.newWriteID()
		next, err := table.Apply(writeID, table.CompactFailover(op))
		if err != nil {
			m.config.Log.Error("member: failover cannot be applied to the table", "service", table.Service, "err", err)
			return
		}
		after, done := m.writeChunk(table, next, writeID)
		if done || after == nil {
			return
		}
		table = after
	}
}

// writeChunk replaces table by next in the store, and reports whether the write took
// effect. If not, it returns the table that is in the store, or nil if the store is
// unavailable.
func (m *Member) writeChunk(table, next *mtshard.Table, writeID mtroster.WriteID) (current *mtshard.Table, done bool) {
	value, err := next.Encode()
	if err != nil {
		m.config.Log.Error("member: failed to encode chunk", "service", table.Service, "err", err)
		return nil, false
	}
	name := mtstore.ShardName(table.Service, table.Chunk)
	version, err := m.store.swap(m.ctx, name, table.Version, value)
	entry := mtstore.Entry{Name: name, Version: version, Value: value}
	switch outcomeOf(err) {
	case succeeded:
		m.counters.Failovers.Add(1)
		m.reportEntry(name, version, value)
		return next, true
	case conflicted:
		entry = conflictingEntry(err)
		m.sleep(rand.N(maxConflictDelay))
	default:
		if entry, err = m.store.get(m.ctx, name); err != nil {
			return nil, false
		}
	}
	current, err = mtshard.Decode(entry.Value)
	if err != nil {
		return nil, false
	}
	m.reportEntry(entry.Name, entry.Version, entry.Value)
	// A write whose response was lost is recognized by its write ID. If the old
	// version is still in the store, the caller repeats the write: only one of the
	// two can succeed.
	_, wrote := current.FindStep(writeID)
	return current, wrote
}
