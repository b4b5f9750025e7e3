package mtstore

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtstore"
)

// Watch implements the Store interface of core/mtstore.
func (m *Memory) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	m.counts.call(opWatch)
	m.counts.watching.Add(1)
	defer m.counts.watching.Add(-1)
	changes, err := m.watch(ctx, prefix, after, wait)
	if err != nil {
		m.counts.fail(err)
	}
	return changes, err
}

func (m *Memory) watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if err := checkWait(wait); err != nil {
		return mtstore.Changes{}, err
	}
	if err := m.admitRead(ctx, opWatch); err != nil {
		return mtstore.Changes{}, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for last := false; ; {
		snap, err := m.snapshot(prefix, after)
		if err != nil {
			return mtstore.Changes{}, err
		}
		if last || after == 0 || len(snap.changes.Entries) > 0 {
			return m.report(ctx, snap)
		}
		due := time.NewTimer(snap.due)
		select {
		case <-snap.changed:
		case <-due.C:
		case <-end.C:
			last = true
		case <-ctx.Done():
			due.Stop()
			return mtstore.Changes{}, &mtstore.UnavailableError{Op: opWatch, Err: ctx.Err()}
		}
		due.Stop()
	}
}

// watchSnapshot is the state that a watch has read.
type watchSnapshot struct {
	changes mtstore.Changes
	changed <-chan struct{}
	due     time.Duration // until a lease expires or a late write is applied
	delay   time.Duration
}

func (m *Memory) snapshot(prefix string, after mtid.Revision) (watchSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	m.applyDue(now)
	if m.faults.Down {
		return watchSnapshot{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldDown}}
	}
	if m.faults.CutWatches {
		return watchSnapshot{}, &mtstore.UnavailableError{Op: opWatch, Err: &FaultError{Fault: fieldCutWatches}}
	}
	return watchSnapshot{
		changes: m.changesAfter(prefix, after),
		changed: m.changed,
		due:     m.nextDue(now),
		delay:   m.faults.LateWatches,
	}, nil
}

// report returns the result of a watch, after the delay of LateWatches.
func (m *Memory) report(ctx context.Context, snap watchSnapshot) (mtstore.Changes, error) {
	if err := pause(ctx, snap.delay); err != nil {
		return mtstore.Changes{}, &mtstore.UnavailableError{Op: opWatch, Err: err}
	}
	return snap.changes, nil
}

// changesAfter returns the changes after a revision, truncated at the size limit.
func (m *Memory) changesAfter(prefix string, after mtid.Revision) mtstore.Changes {
	var entries []mtstore.Entry
	for name, it := range m.items {
		deleted := it.entry.Version == 0
		if it.entry.Revision <= after || !strings.HasPrefix(name, prefix) || (deleted && after == 0) {
			continue
		}
		entry := it.entry
		entry.Value = bytes.Clone(entry.Value)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b mtstore.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	size := 0
	for i, entry := range entries {
		size += len(entry.Name) + len(entry.Value)
		if i > 0 && size > mtstore.MaxValue {
			return mtstore.Changes{Entries: entries[:i], Revision: entries[i-1].Revision, More: true}
		}
	}
	return mtstore.Changes{Entries: entries, Revision: max(m.revision, after)}
}

// notifyWatches makes waiting watches read the state again.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
