package mtmesh

import (
	"context"
	"errors"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtcommit"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
)

// delegateTimeout limits how long the primary watcher may take to write transfers for this
// daemon: a few writes of some milliseconds each. After that their outcome is unknown, or
// this daemon writes them itself if they were never sent.
const delegateTimeout = 500 * time.Millisecond

func (m *Mesh) addCommitter() error {
	committer, cleanUp := mtcommit.New(mtcommit.Config{
		Directory: m.directory.Load(), Store: m.config.Store, Log: m.config.Log, NotifyOwner: m.sendOwnershipUpdate,
	})
	return mtkernel.Register(m.kernel, NameCommitter, committer, cleanUp)
}

// delegate sends transfers to the primary watcher, which writes for all daemons. It returns
// false if this daemon has to write them itself: it is the primary watcher or has no record
// in the store, or the primary watcher is unresponsive, cannot be reached or has never answered.
func (m *Mesh) delegate(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	writer, ok := m.feed.tree().PrimaryWatcher()
	if !ok || writer.Daemon == m.config.Daemon || b.RecordVersion == 0 || peers.Unresponsive(writer.Address) {
		return nil, false
	}
	if !m.feed.silent.answered(writer) {
		m.feed.silent.suspect(writer)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	outcomes, entry, err := peers.Commit(ctx, writer.Address, b)
	if err == nil {
		m.directory.Load().ApplyPushedAssignment(entry)
		return outcomes, true
	}
	m.feed.silent.suspect(writer)
	m.config.Log.Warn("writing transfers through another daemon failed", "peer", writer.Daemon, "transfers", len(b.Transfers), "error", err)
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return nil, false
	}
	unknown := make([]mtrange.Outcome, len(b.Transfers))
	for i := range unknown {
		unknown[i] = mtrange.OutcomeUnknown
	}
	return unknown, true
}

// commitFor writes transfers on behalf of another daemon. It returns the outcomes, and the
// changes of the assignment since the epoch that the other daemon knows.
func (m *Mesh) commitFor(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, mtstore.Entry) {
	outcomes := mtkernel.MustLookup[*mtcommit.Committer](m.kernel, NameCommitter).CommitForPeer(ctx, b)
	assignment, ok := m.directory.Load().View().Assignments[b.Service]
	if !ok {
		return outcomes, mtstore.Entry{}
	}
	entry, err := patchEntry(assignment, min(b.KnownEpoch, assignment.Next))
	if err != nil {
		m.config.Log.Error("encoding an ownership update failed", "service", b.Service, "error", err)
	}
	return outcomes, entry
}

// patchEntry returns an entry with the changes of an assignment since an epoch.
func patchEntry(a mtdirectory.Assignment, since mtid.Epoch) (mtstore.Entry, error) {
	value, err := a.Since(since).Encode()
	return mtstore.Entry{Name: mtstore.RangeName(a.Era(), a.Service), Value: value, Version: a.Version}, err
}
