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
	// patience is how long one try of a takeover goes on while witnesses
	// refuse: then the daemon is alive, or cut off from this one only.
	patience = time.Second
	// tries bounds the writes of one chunk in a row. What is left is seen again
	// from the tables.
	tries = 20
	// conflictPause is the longest pause after a lost race for a chunk.
	conflictPause = 60 * time.Millisecond
)

// job is a takeover to run; one without a record fails over tables only.
type job struct {
	record  *mtroster.Record
	version mtid.Version
	// silent are the witnesses that were fenced long ago.
	silent []mtid.Holder
}

// takeOver runs jobs until the member stops.
func (m *Member) takeOver() {
	for {
		j, ok := m.running.Take(m.stop.Done())
		if !ok {
			return
		}
		if j.record == nil {
			m.failOver()
			m.busy.Delete(mtid.Holder{})
			continue
		}
		if m.fenceLost(j) {
			m.failOver()
		}
		m.busy.Delete(j.record.Holder)
	}
}

// fenceLost runs a takeover until the lost life is fenced, or returns false if
// it seems alive or the store doesn't answer.
func (m *Member) fenceLost(j job) bool {
	m.counters.Suspicions.Add(1)
	t := mttakeover.New(j.record, j.version)
	for _, w := range j.silent {
		t.CountAsAgreed(w)
	}
	end := m.config.Clock.Steady().Add(patience)
	for !m.config.Clock.Steady().After(end) {
		switch step := t.Next(m.config.Clock.Steady()); step.Kind {
		case mttakeover.Done:
			return true
		case mttakeover.Ask:
			m.askAll(t, step.Witnesses)
		case mttakeover.Wait:
			if !m.sleep(min(step.Wait, patience/4)) {
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

// writeRevoked writes the record that fences a life, and tells t what stands.
// It returns false if the store can't be reached.
func (m *Member) writeRevoked(t *mttakeover.Takeover) bool {
	record := t.RevokedRecord(m.stamp())
	value, err := record.Encode()
	if err != nil {
		m.config.Log.Error("member: record can't be written", "target", t.Target(), "err", err)
		return false
	}
	name := mtstore.RosterName(t.Target().Daemon)
	version, err := m.store.swap(m.stop, name, t.Version(), value)
	entry := mtstore.Entry{Name: name, Version: version, Value: value}
	switch outcomeOf(err) {
	case landed:
		m.counters.Takeovers.Add(1)
		m.config.Log.Info("member: took over", "target", t.Target())
	case lost:
		entry = currentOf(err)
	default:
		if entry, err = m.store.get(m.stop, name); err != nil {
			return false
		}
	}
	current, err := mtroster.Decode(entry.Value)
	if err != nil {
		return false
	}
	t.Observe(current, entry.Version)
	m.fenced.Store(current.Holder.Daemon, current)
	m.wrote(entry.Name, entry.Version, entry.Value)
	return true
}

// askAll asks witnesses to revoke, all at once, and reports whether any of them
// refused.
func (m *Member) askAll(t *mttakeover.Takeover, witnesses []mtid.Holder) bool {
	replies := make([]*mtwitness.Reply, len(witnesses))
	var asks sync.WaitGroup
	for i, w := range witnesses {
		request := t.Request(w)
		asks.Go(func() { replies[i] = m.ask(request) })
	}
	asks.Wait()
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

// ask asks one witness, or returns nil if it can't be reached.
func (m *Member) ask(r mtwitness.Request) *mtwitness.Reply {
	if r.Witness.Daemon == m.config.Profile.Daemon {
		reply := m.config.Lease.Revoke(r)
		return &reply
	}
	ctx, cancel := context.WithTimeout(m.stop, askTimeout)
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
		m.config.Log.Debug("member: witness can't be asked", "witness", r.Witness, "err", err)
		return nil
	}
	return &mtwitness.Reply{Granted: got.GetGranted(), Wait: time.Duration(got.GetWaitNs())}
}

// addressOf returns where a daemon is asked. A process that has just begun may
// have no live state yet, and then reads the record.
func (m *Member) addressOf(d mtid.Daemon) (string, bool) {
	if record, _, ok := m.config.View.Record(d); ok {
		return record.RelayAddress, true
	}
	entry, err := m.store.get(m.stop, mtstore.RosterName(d))
	if err != nil {
		return "", false
	}
	record, err := mtroster.Decode(entry.Value)
	if err != nil {
		return "", false
	}
	return record.RelayAddress, true
}

// roster returns the live records, with what this process revoked itself.
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

// stamp returns the mark of this process's next write.
func (m *Member) stamp() mtroster.WriteID {
	return mtroster.WriteID{Writer: m.Holder(), Sequence: uint64(m.config.Clock.Wall().UnixNano())}
}

// fail has the chunks failed over that name a fenced owner.
func (m *Member) fail() {
	if _, running := m.busy.LoadOrStore(mtid.Holder{}, struct{}{}); !running {
		m.running.Put(job{})
	}
}

// failOver writes each chunk that names a fenced owner.
func (m *Member) failOver() {
	for _, table := range m.config.View.Tables() {
		m.failOverChunk(table)
	}
}

// failOverChunk writes the failover of a chunk until nothing is left to do. The
// op covers every owner that is known to be fenced, so that of many takers who
// race for a chunk each winner does the work of others too.
func (m *Member) failOverChunk(table *mtshard.Table) {
	for range tries {
		op, ok := mttakeover.Failover(table, m.roster())
		if !ok {
			return
		}
		stamp := m.stamp()
		next, err := table.Apply(stamp, table.CompactFailover(op))
		if err != nil {
			m.config.Log.Error("member: failover does not fit", "service", table.Service, "err", err)
			return
		}
		after, done := m.writeChunk(table, next, stamp)
		if done || after == nil {
			return
		}
		table = after
	}
}

// writeChunk writes next over table. It returns done if the write took effect,
// and else what stands; nil if the store can't be reached.
func (m *Member) writeChunk(table, next *mtshard.Table, stamp mtroster.WriteID) (current *mtshard.Table, done bool) {
	value, err := next.Encode()
	if err != nil {
		m.config.Log.Error("member: chunk can't be written", "service", table.Service, "err", err)
		return nil, false
	}
	name := mtstore.ShardName(table.Service, table.Chunk)
	version, err := m.store.swap(m.stop, name, table.Version, value)
	entry := mtstore.Entry{Name: name, Version: version, Value: value}
	switch outcomeOf(err) {
	case landed:
		m.counters.Failovers.Add(1)
		m.wrote(name, version, value)
		return next, true
	case lost:
		entry = currentOf(err)
		m.sleep(rand.N(conflictPause))
	default:
		if entry, err = m.store.get(m.stop, name); err != nil {
			return nil, false
		}
	}
	current, err = mtshard.Decode(entry.Value)
	if err != nil {
		return nil, false
	}
	m.wrote(entry.Name, entry.Version, entry.Value)
	// A write whose answer was lost shows by its stamp. If the old version
	// still stands, the write is made again: of the two only one can succeed.
	_, wrote := current.FindStep(stamp)
	return current, wrote
}
