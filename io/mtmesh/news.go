package mtmesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// A watch of the store may hear nothing for seconds while changes are made. So a
// few daemons ask for the configuration regularly, and all tell each other in
// passing what they have seen.
const (
	// askLook is the least time, and lookAgain the most, until it is looked again whether
	// the store is to be asked for the configuration: whose turn it is may change.
	askLook   = 50 * time.Millisecond
	lookAgain = 400 * time.Millisecond
	// doubtAfter is how long a daemon that hears of a newer configuration waits
	// for its own watch to bring it, which usually takes some milliseconds.
	doubtAfter = 150 * time.Millisecond
	// recordsDoubt is the same for newer records and assignments. Another daemon
	// learns of its own write at once, others over two hops, and reading
	// everything anew costs the store a call and the link a hundred kilobytes.
	recordsDoubt = 700 * time.Millisecond
	// doubtPart is by how much longer those doubt whom others tell, one over it of the time
	// in which a configuration has to be in force: once for those who tell others in turn,
	// twice for all others. Where a watch is deaf it is mostly a source's, and once that
	// one has read everything anew, nobody else needs to.
	doubtPart = 8
	// tellTimeout bounds the telling of one other daemon.
	tellTimeout = 500 * time.Millisecond
)

// exchange returns how this daemon takes part in the news.
func (m *Mesh) exchange() mtforward.StateExchange {
	return mtforward.StateExchange{Summarize: m.tell, Receive: m.hear}
}

// tell returns what this daemon has seen.
func (m *Mesh) tell() mtforward.StateSummary {
	var news mtforward.StateSummary
	if directory := m.directory.Load(); directory != nil {
		news.NewestVersion = directory.Seen()
		news.Zones = directory.Now().Out.Digest()
	}
	if c := m.configuration(); c != nil {
		news.ConfigVersion = c.Version
	}
	news.Age = m.certainty.age(m.steady())
	return news
}

// hear compares what another daemon has seen, and asks the store if the own
// watches don't bring it soon.
func (m *Mesh) hear(theirs mtforward.StateSummary, sent mtclock.Instant) {
	own := m.tell()
	if sent != 0 && own.Zones == theirs.Zones {
		m.certainty.hear(own.ConfigVersion, theirs.ConfigVersion, theirs.Age, sent)
	}
	if own.ConfigVersion < theirs.ConfigVersion {
		soon(&m.asking, doubtAfter+m.deference(), func() { m.doubtConfiguration(theirs) })
	}
	if own.NewestVersion < theirs.NewestVersion {
		soon(&m.doubting, recordsDoubt+m.deference(), func() { m.doubtRecords(theirs) })
	}
}

// deference is how much longer this daemon waits than a source before it asks the store
// for what it has heard of.
func (m *Mesh) deference() time.Duration {
	tree, step := m.learner.tree(), m.config.Within/doubtPart
	switch {
	case tree.WatchesStore(m.config.Daemon):
		return 0
	case tree.PollSchedule(m.config.Daemon) == mtroute.PollRelay:
		return step
	}
	return 2 * step
}

// soon looks after a while, unless a look is pending already.
func soon(pending *atomic.Bool, after time.Duration, look func()) {
	if !pending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(after, func() {
		defer pending.Store(false)
		look()
	})
}

// doubtConfiguration asks for the configuration if nothing has brought it.
func (m *Mesh) doubtConfiguration(theirs mtforward.StateSummary) {
	if own := m.tell(); own.ConfigVersion < theirs.ConfigVersion {
		m.config.Log.Warn("another daemon has a newer configuration", "own", uint64(own.ConfigVersion), "newest", uint64(theirs.ConfigVersion))
		m.refresh()
	}
}

// refresh asks the store for the configuration and the zones that are out of service. If
// it has what the watch has not brought, the watch is deaf, and others that learn from it
// with it.
func (m *Mesh) refresh() {
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	begun, before := m.steady(), m.tell().ConfigVersion
	read, err := m.config.Refresh()
	if err != nil {
		m.config.Log.Warn("configuration could not be asked for", "error", err)
		return
	}
	for _, e := range read.Entries {
		m.config.Other(e)
	}
	news := directory.Recheck(read)
	m.certainty.confirm(begun)
	newer := m.tell().ConfigVersion > before && before != 0
	if (newer || news) && m.learner.turn() != mtroute.PollFallback {
		directory.Resync()
	}
}

// steady returns the instant by which ages are counted.
func (m *Mesh) steady() mtclock.Instant {
	return mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
}

// doubtRecords reads everything anew if nothing has brought the newer records.
func (m *Mesh) doubtRecords(theirs mtforward.StateSummary) {
	if own := m.tell(); own.NewestVersion < theirs.NewestVersion {
		m.config.Log.Warn("another daemon has seen newer records", "own", uint64(own.NewestVersion), "newest", uint64(theirs.NewestVersion))
		mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).Resync()
	}
}

// addNews adds the duty that asks for the configuration.
func (m *Mesh) addNews() error {
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() {
		for mtduty.Sleep(ctx, m.untilDue()) {
			if m.certainty.ask(m.steady(), m.learner.turn()) {
				m.refresh()
			}
		}
	})
	stop := func() {
		cancel()
		duty.Wait()
	}
	return mtkernel.Register(m.kernel, NameNews, stop, stop)
}

// untilDue returns when to look again whether the store is to be asked.
func (m *Mesh) untilDue() time.Duration {
	due := m.certainty.due(m.learner.turn())
	return min(max(due.Sub(m.steady()), askLook), lookAgain)
}

// Configure puts a configuration in force, unless a newer one is. Those that ask
// for it tell all others, since nobody else may have heard of it.
func (m *Mesh) Configure(c *mtroute.Config) {
	if !m.Ingress().Configure(c) {
		return
	}
	m.Host().Declare(c.Routes())
	m.Host().Warmup(mtgate.StartRate(m.config.Warmup.Limit(c.Services[m.config.Service].ColdRate)))
	if m.learner.tree().WatchesStore(m.config.Daemon) {
		go m.spread()
	}
}

// spread tells all other daemons what this one has seen.
func (m *Mesh) spread() {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	for name, member := range mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).Now().Members {
		if name == m.config.Daemon || member.Lapsed {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			if err := peers.QueryLoad(ctx, name, member.Address); err != nil {
				m.config.Log.Info("daemon could not be told", "peer", name, "error", err)
			}
		}()
	}
}
