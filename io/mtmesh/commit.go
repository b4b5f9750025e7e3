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

// delegateTimeout is how long another daemon may take to write for this one: a few writes,
// each of which takes some milliseconds. After that this daemon writes itself.
const delegateTimeout = 500 * time.Millisecond

func (m *Mesh) addCommitter() error {
	committer, cleanUp := mtcommit.New(mtcommit.Config{
		Directory: m.directory.Load(), Store: m.config.Store, Log: m.config.Log, Inform: m.inform,
	})
	return mtkernel.Register(m.kernel, NameCommitter, committer, cleanUp)
}

// delegate leaves changes of owners to the first source, which writes for all. It returns
// false if that is this daemon, or nobody can be asked.
func (m *Mesh) delegate(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, bool) {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	writer, ok := m.learner.tree().PrimaryWatcher()
	if !ok || writer.Daemon == m.config.Daemon || b.RecordVersion == 0 || peers.Unresponsive(writer.Address) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, delegateTimeout)
	defer cancel()
	outcomes, entry, err := peers.Commit(ctx, writer.Address, b)
	if err == nil {
		m.directory.Load().Inform(entry)
		return outcomes, true
	}
	m.config.Log.Warn("moves were not written by another daemon", "peer", writer.Daemon, "transfers", len(b.Transfers), "error", err)
	var refused *mtreply.RefusedError
	if errors.As(err, &refused) {
		return nil, false
	}
	doubtful := make([]mtrange.Outcome, len(b.Transfers))
	for i := range doubtful {
		doubtful[i] = mtrange.OutcomeUnknown
	}
	return doubtful, true
}

// commitFor writes changes of owners on behalf of another daemon.
func (m *Mesh) commitFor(ctx context.Context, b mtrange.Batch) ([]mtrange.Outcome, mtstore.Entry) {
	outcomes := mtkernel.MustLookup[*mtcommit.Committer](m.kernel, NameCommitter).Gather(ctx, b)
	assignment, ok := m.directory.Load().Now().Assignments[b.Service]
	if !ok {
		return outcomes, mtstore.Entry{}
	}
	entry, err := patchEntry(assignment, min(b.KnownEpoch, assignment.Next))
	if err != nil {
		m.config.Log.Error("word of an assignment can't be encoded", "service", b.Service, "error", err)
	}
	return outcomes, entry
}

// patchEntry returns what has changed of an assignment since an epoch.
func patchEntry(a mtdirectory.Assignment, since mtid.Epoch) (mtstore.Entry, error) {
	value, err := a.Since(since).Encode()
	return mtstore.Entry{Name: mtstore.RangeName(a.Service), Value: value, Version: a.Version}, err
}
