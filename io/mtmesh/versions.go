package mtmesh

import (
	"context"
	"iter"
	"slices"
	"strings"
	"sync"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtgate"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

// A watch of the store may deliver nothing for seconds although changes are made. So a few
// daemons regularly poll the store for the configuration, and all daemons attach the
// versions that they know to the messages between them.
const (
	// minPollCheck and maxPollCheck limit the time between two checks whether a poll is
	// due. The poll schedule of this daemon may change in the meantime.
	minPollCheck = 50 * time.Millisecond
	maxPollCheck = 400 * time.Millisecond
	// configCheckDelay is how long to wait, after another daemon has reported a newer
	// configuration, for the watch of this daemon to deliver it, which usually takes some
	// milliseconds.
	configCheckDelay = 150 * time.Millisecond
	// recordCheckDelay is the same for newer records and assignments. A daemon knows its
	// own write at once, but others receive it over two hops, and reading everything again
	// costs the store a call and the link a hundred kilobytes.
	recordCheckDelay = 700 * time.Millisecond
	// The checks of daemons that do not watch the store are delayed further, so that the
	// watchers check first: by the time within which a configuration must be in force,
	// divided by deferralDivisor, for daemons that relay updates, and by twice that for all
	// others. A watch that delivers nothing usually belongs to a watcher, and once that one
	// has read everything again, no other daemon needs to.
	deferralDivisor = 8
	// notifyTimeout limits a notification of one other daemon.
	notifyTimeout = 500 * time.Millisecond
	// maxConfigurationSources is how many daemons are asked for a configuration. The next report
	// of it starts anew, with others.
	maxConfigurationSources = 8
	// askDelay is how long a daemon has for its answer before the next one is asked too. The answers
	// share this VM's link, and the first one is enough.
	askDelay = 150 * time.Millisecond
	// searchTimeout limits a search for a configuration at others.
	searchTimeout = 3 * time.Second
)

// exchange returns the functions by which versions are exchanged with other daemons.
func (m *Mesh) exchange() mtforward.StateExchange {
	return mtforward.StateExchange{Summarize: m.knownVersions, Receive: m.compareVersions}
}

// knownVersions returns the versions that this daemon knows, to be sent to another daemon.
func (m *Mesh) knownVersions() mtforward.StateSummary {
	var versions mtforward.StateSummary
	// The age first: if a later configuration comes in between, its confirmation must not be taken for
	// one of the version before.
	versions.Age = m.freshness.age(m.now())
	if directory := m.directory.Load(); directory != nil {
		versions.NewestVersion = directory.NewestVersion()
		versions.Zones = directory.View().OutOfService.Digest()
	}
	if c := m.configuration(); c != nil {
		versions.ConfigVersion = c.Version
	}
	return versions
}

// compareVersions compares the versions that another daemon has sent with those of this
// daemon. Where the other's are newer, it schedules a check that reads the store unless the
// watch has delivered them by then.
func (m *Mesh) compareVersions(theirs mtforward.StateSummary, sent mtclock.Instant) {
	own := m.knownVersions()
	if sent != 0 && own.Zones == theirs.Zones {
		m.freshness.observe(own.ConfigVersion, theirs.ConfigVersion, theirs.Age, sent)
	}
	if own.ConfigVersion < theirs.ConfigVersion {
		m.arrivals.report(m.now(), own.ConfigVersion, theirs.ConfigVersion)
		m.freshness.report(theirs.ConfigVersion)
		m.configCheck.report(theirs.ConfigVersion, configCheckDelay+m.deferral(), m.checkConfiguration)
	}
	if own.NewestVersion < theirs.NewestVersion {
		m.recordCheck.report(theirs.NewestVersion, recordCheckDelay+m.deferral(), m.checkRecords)
	}
}

// deferral returns how much longer than a watcher this daemon waits before it reads the
// store for a version that another daemon has reported.
func (m *Mesh) deferral() time.Duration {
	tree, step := m.feed.tree(), m.config.ConfigDeadline/deferralDivisor
	switch {
	case tree.WatchesStore(m.config.Daemon):
		return 0
	case tree.PollSchedule(m.config.Daemon) == mtroute.PollRelay:
		return step
	}
	return 2 * step
}

// checkConfiguration fetches a configuration that another daemon has reported and that still has not
// arrived. A daemon that passes changes on polls the store first, which shows whether its watch has
// failed silently. All others ask other daemons first, whose answers are smaller and cost the store
// nothing.
func (m *Mesh) checkConfiguration(reported mtid.Version) checkResult {
	if own := m.knownVersions(); own.ConfigVersion < reported {
		m.config.Log.Warn("another daemon has a newer configuration", "own", uint64(own.ConfigVersion), "newest", uint64(reported), "age", own.Age, "behind", m.arrivals.behind(m.now(), own.ConfigVersion))
	}
	fetch := []func() bool{m.pollStore, func() bool { return m.pullConfiguration(reported) }}
	if m.feed.pollSchedule() == mtroute.PollFallback {
		slices.Reverse(fetch)
	}
	answered := false
	for _, f := range fetch {
		if m.knownVersions().ConfigVersion < reported {
			answered = f() || answered
		}
	}
	switch {
	case m.knownVersions().ConfigVersion >= reported:
		return versionArrived
	case answered:
		return versionAbsent
	}
	return versionUnknown
}

// pullConfiguration takes a configuration of at least the given version from other daemons. The store may
// have come back from a copy without it: a daemon that has just started could otherwise bring a
// configuration back into force that had been replaced. Daemons that have restarted too may not have it
// either. It reports whether it was told of a configuration, or by most that they have none.
func (m *Mesh) pullConfiguration(wanted mtid.Version) bool {
	peers, started := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers), m.now()
	without, failed := 0, 0
	for a := range askForConfiguration(peers, m.configurationSources()) {
		took := m.now().Sub(started)
		if a.err != nil {
			failed++
			m.arrivals.fail(mtstore.WayAsk)
			m.config.Log.Info("operators' entries could not be taken from a daemon", "peer", a.from.Daemon, "after", took, "error", a.err)
			continue
		}
		if len(a.entries) == 0 {
			without++
			m.config.Log.Info("a daemon has no newer configuration", "peer", a.from.Daemon, "wanted", uint64(wanted))
			continue
		}
		for _, e := range (mtstore.Changes{Entries: a.entries}).From(mtstore.Origin{Way: mtstore.WayAsk, Peer: a.from.Address, Took: took}).Entries {
			if !strings.HasPrefix(e.Name, mtstore.LivePrefix) {
				m.config.OnOtherEntry(e) // passes over an older configuration than the one in force
			}
		}
		own := m.knownVersions().ConfigVersion
		m.config.Log.Info("operators' entries taken from a daemon", "peer", a.from.Daemon, "configuration", uint64(own), "wanted", uint64(wanted))
		if own >= wanted {
			return true
		}
	}
	lost := without > failed
	if lost {
		m.config.Log.Warn("the newer configuration is lost: served on by the one in force", "wanted", uint64(wanted))
		m.freshness.forget(wanted)
	}
	return lost
}

// configurationAnswer is the answer of a daemon that was asked for its configuration.
type configurationAnswer struct {
	from    mtspread.Node
	entries []mtstore.Entry
	err     error
}

// askForConfiguration asks the daemons for a newer configuration than this one's, and returns their
// answers as they arrive. The next daemon is asked once the previous one has answered, or has taken
// askDelay: an unresponsive one delays the others by no more than that, and the link isn't shared
// without need. Nothing else is requested: the whole live state has a hundred kilobytes. Calls without
// an answer are canceled when the iteration ends.
func askForConfiguration(peers upstreamClient, sources []mtspread.Node) iter.Seq[configurationAnswer] {
	return func(yield func(configurationAnswer) bool) {
		ctx, cancel := context.WithTimeout(context.Background(), searchTimeout)
		defer cancel()
		answers := make(chan configurationAnswer, len(sources))
		ask := func(n mtspread.Node) {
			reply, err := peers.PullChanges(ctx, n.Address, mtforward.ChangesRequest{Configuration: true})
			answers <- configurationAnswer{from: n, entries: reply.Changes.Entries, err: err}
		}
		next := time.NewTimer(0)
		defer next.Stop()
		for asked, answered := 0, 0; answered < len(sources); {
			select {
			case <-next.C:
				if asked < len(sources) {
					go ask(sources[asked])
					asked++
					next.Reset(askDelay)
				}
			case a := <-answers:
				answered++
				if !yield(a) {
					return
				}
				next.Reset(0)
			}
		}
	}
}

// configurationSources returns the daemons to ask for a configuration: those that distribute changes, and
// some others in random order.
func (m *Mesh) configurationSources() []mtspread.Node {
	tree := m.feed.tree()
	sources := append(tree.OtherWatchers(m.config.Daemon), tree.Upstreams(m.config.Daemon, m.config.Zone)...)
	for _, member := range m.directory.Load().View().Members { // in random order
		chosen := slices.ContainsFunc(sources, func(n mtspread.Node) bool { return n.Daemon == member.Daemon })
		if member.Reachable() && !chosen && member.Daemon != m.config.Daemon && !m.feed.silent.has(member.Address) {
			sources = append(sources, mtspread.Node{Daemon: member.Daemon, Address: member.Address})
		}
		if len(sources) >= maxConfigurationSources {
			break
		}
	}
	return sources
}

// pollStore polls the store for the configuration and the zones that are out of service. If
// the store has changes that the watch has not delivered, the watch has failed silently. A
// daemon from which others pull then reads everything again, since they miss the changes
// too. It reports whether the store has answered.
func (m *Mesh) pollStore() bool {
	directory := mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory)
	started, before := m.now(), m.knownVersions().ConfigVersion
	read, err := m.config.Refresh()
	if err != nil {
		m.arrivals.fail(mtstore.WayPoll)
		m.config.Log.Warn("polling the store for the configuration failed", "after", m.now().Sub(started), "error", err)
		return false
	}
	if read.Revision.Era() > directory.View().Era() {
		directory.Resync() // the watch may wait for changes after a revision that is given out again
	}
	zonesChanged := directory.ApplyZones(read)
	for _, e := range read.From(mtstore.Origin{Way: mtstore.WayPoll, Took: m.now().Sub(started), Sent: started}).Entries {
		m.config.OnOtherEntry(e)
	}
	m.freshness.confirm(started)
	newer := m.knownVersions().ConfigVersion > before && before != 0
	if (newer || zonesChanged) && m.feed.pollSchedule() != mtroute.PollFallback {
		directory.Resync()
	}
	return true
}

// now returns the current time by the clock that is used for ages.
func (m *Mesh) now() mtclock.Instant {
	return mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Now()
}

// checkRecords reads everything again if the newer records still have not arrived. It doesn't wait for
// that, and reports that they arrive.
func (m *Mesh) checkRecords(reported mtid.Version) checkResult {
	if own := m.knownVersions(); own.NewestVersion < reported {
		m.config.Log.Warn("another daemon has seen newer records", "own", uint64(own.NewestVersion), "newest", uint64(reported))
		mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).Resync()
	}
	return versionArrived
}

// addConfigPoller adds the task that polls the store for the configuration.
func (m *Mesh) addConfigPoller() error {
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() {
		for mtduty.Sleep(ctx, m.untilNextPoll()) {
			if m.freshness.startPoll(m.now(), m.feed.pollSchedule()) {
				m.pollStore()
			}
		}
	})
	stop := func() {
		cancel()
		task.Wait()
	}
	return mtkernel.Register(m.kernel, NameConfigPoller, stop, stop)
}

// untilNextPoll returns how long to wait before checking again whether a poll is due.
func (m *Mesh) untilNextPoll() time.Duration {
	due := m.freshness.nextPoll(m.feed.pollSchedule())
	return min(max(due.Sub(m.now()), minPollCheck), maxPollCheck)
}

// Configure puts a configuration in force, unless a newer one is. The entry is the one from which it
// was read, which other daemons may take from this one. Watchers of the store then notify all other
// daemons, which may not have received it yet.
func (m *Mesh) Configure(c *mtroute.Config, from mtstore.Entry) {
	m.newest.offer(c.Version, from) // first: whoever reports a version can hand it over
	if old := m.configuration(); old == nil || old.Version < c.Version {
		m.arrivals.log(m.now(), c.Version, from, m.freshness.age(m.now()))
	}
	if !m.Ingress().Configure(c) {
		return
	}
	m.freshness.adopt()
	if from.Origin.Sent != 0 {
		m.freshness.confirm(from.Origin.Sent)
	}
	m.Host().Declare(c.Routes())
	m.Host().Warmup(mtgate.StartRate(m.config.Warmup.Limit(c.Services[m.config.Service].ColdRate)))
	if m.feed.tree().WatchesStore(m.config.Daemon) {
		go m.notifyPeers()
	}
}

// PassOver tells that a configuration has been received that can't be used: the daemon serves by the one in
// force until Configure is called.
func (m *Mesh) PassOver() { m.freshness.passOver() }

// outdated reports whether no requests may be served by the configuration in force.
func (m *Mesh) outdated() bool {
	c := m.configuration()
	return c != nil && m.freshness.outdated(m.now(), c.Version)
}

// notifyPeers sends the versions that this daemon knows to all other live daemons.
func (m *Mesh) notifyPeers() {
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	for name, member := range mtkernel.MustLookup[*mtdirectory.Directory](m.kernel, NameDirectory).View().Members {
		if name == m.config.Daemon || !member.Reachable() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if err := peers.QueryLoad(ctx, name, member.Address); err != nil {
				m.config.Log.Info("sending known versions to a daemon failed", "peer", name, "error", err)
			}
		}()
	}
}
