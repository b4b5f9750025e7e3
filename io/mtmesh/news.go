package mtmesh

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
)

// A watch of the store may hear nothing for seconds while changes are made. So a
// few daemons ask for the configuration regularly, and all tell each other in
// passing what they have seen.
const (
	// askEvery is how often the configuration is asked for. It has to be in
	// force everywhere within two seconds: asked for in half of that, told and
	// read in the rest.
	askEvery = 800 * time.Millisecond
	// askers is how many daemons do so: one may be lost or cut off.
	askers = 2
	// doubtAfter is how long a daemon that hears of a newer configuration waits
	// for its own watch to bring it, which usually takes some milliseconds.
	doubtAfter = 150 * time.Millisecond
	// recordsDoubt is the same for newer records and assignments. Another daemon
	// learns of its own write at once, others over two hops, and reading
	// everything anew costs the store a call and the link a hundred kilobytes:
	// with the shorter time 75 daemons did so 500 times in ten seconds.
	recordsDoubt = 700 * time.Millisecond
	// tellTimeout bounds the telling of one other daemon.
	tellTimeout = 500 * time.Millisecond
)

// exchange returns how this daemon takes part in the news.
func (m *Mesh) exchange() mtforward.Exchange {
	return mtforward.Exchange{Tell: m.tell, Hear: m.hear}
}

// tell returns what this daemon has seen.
func (m *Mesh) tell() mtforward.News {
	var news mtforward.News
	if directory := m.directory.Load(); directory != nil {
		news.Seen = directory.Seen()
	}
	if c := m.configuration(); c != nil {
		news.Config = c.Version
	}
	return news
}

// hear compares what another daemon has seen, and asks the store if the own
// watches don't bring it soon.
func (m *Mesh) hear(theirs mtforward.News) {
	own := m.tell()
	if own.Config < theirs.Config {
		soon(&m.asking, doubtAfter, func() { m.doubtConfiguration(theirs) })
	}
	if own.Seen < theirs.Seen {
		soon(&m.doubting, recordsDoubt, func() { m.doubtRecords(theirs) })
	}
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
func (m *Mesh) doubtConfiguration(theirs mtforward.News) {
	if own := m.tell(); own.Config < theirs.Config {
		m.config.Log.Warn("another daemon has a newer configuration", "own", uint64(own.Config), "newest", uint64(theirs.Config))
		m.config.Refresh()
	}
}

// doubtRecords reads everything anew if nothing has brought the newer records.
func (m *Mesh) doubtRecords(theirs mtforward.News) {
	if own := m.tell(); own.Seen < theirs.Seen {
		m.config.Log.Warn("another daemon has seen newer records", "own", uint64(own.Seen), "newest", uint64(theirs.Seen))
		mtkernel.Need[*mtdirectory.Directory](m.kernel, NameDirectory).Resync()
	}
}

// addNews adds the duty that asks for the configuration.
func (m *Mesh) addNews() error {
	stop := mtduty.Every(askEvery, func(context.Context) {
		if m.asker() {
			m.config.Refresh()
		}
	})
	return mtkernel.Register(m.kernel, NameNews, stop, stop)
}

// asker reports whether this daemon is one of those that ask.
func (m *Mesh) asker() bool {
	var live []mtid.Daemon
	for name, member := range mtkernel.Need[*mtdirectory.Directory](m.kernel, NameDirectory).Now().Members {
		if !member.Lapsed && !member.Leaving {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	return slices.Contains(live[:min(askers, len(live))], m.config.Daemon)
}

// Configure puts a configuration in force, unless a newer one is. Those that ask
// for it tell all others, since nobody else may have heard of it.
func (m *Mesh) Configure(c *mtroute.Config) {
	if !m.Ingress().Configure(c) {
		return
	}
	m.Host().Declare(c.Routes())
	if m.asker() {
		go m.spread()
	}
}

// spread tells all other daemons what this one has seen.
func (m *Mesh) spread() {
	peers := mtkernel.Need[*mtforward.Client](m.kernel, NamePeers)
	for name, member := range mtkernel.Need[*mtdirectory.Directory](m.kernel, NameDirectory).Now().Members {
		if name == m.config.Daemon || member.Lapsed {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			if err := peers.Observe(ctx, name, member.Address); err != nil {
				m.config.Log.Info("daemon could not be told", "peer", name, "error", err)
			}
		}()
	}
}
