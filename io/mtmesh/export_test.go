package mtmesh

import (
	"context"
	"log/slog"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtrange"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

// Feed exports changeFeed to tests.
type Feed struct{ *changeFeed }

// NewFeed returns the Feed of a daemon with a fixed distribution tree.
func NewFeed(n mtspread.Node, tree *mtspread.Tree, store mtwatch.Source, peers upstreamClient, directory func() *mtdirectory.Directory, configured bool) Feed {
	clock := mttime.New()
	freshness := newFreshness(clock.Now(), 2*time.Second, newBroadcast())
	return Feed{&changeFeed{
		self: n.Daemon, zone: n.Zone, store: store, peers: peers, clock: clock, freshness: freshness, directory: directory,
		changed: freshness.changed, pausedUntil: make(map[string]time.Time), configured: func() bool { return configured },
		tree: func() *mtspread.Tree { return tree }, newestConfiguration: func(mtid.Version) (mtstore.Entry, bool) { return mtstore.Entry{}, false },
	}}
}

// OfferConfiguration makes the feed's daemon receive the entries of configurations, by version.
func (f Feed) OfferConfiguration(entries map[mtid.Version]mtstore.Entry) {
	var newest newestConfiguration
	for version, e := range entries {
		newest.offer(version, e)
	}
	f.newestConfiguration = newest.entry
}

// Serve answers a pull of another daemon.
func (f Feed) Serve(ctx context.Context, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	return f.serve(ctx, q)
}

// AskForConfiguration passes the answers of daemons on, with the daemon's name, until a call returns false.
func AskForConfiguration(peers upstreamClient, sources []mtspread.Node, yield func(mtid.Daemon, []mtstore.Entry, error) bool) {
	for a := range askForConfiguration(peers, sources) {
		if !yield(a.from.Daemon, a.entries, a.err) {
			return
		}
	}
}

// AdoptsPeerFreshness reports whether a daemon without a configuration, for which all zones
// are in service, adopts the freshness in a reply of another daemon to a message sent just
// now.
func AdoptsPeerFreshness(theirs mtforward.StateSummary) (bool, error) {
	m := &Mesh{kernel: mtkernel.New()}
	if err := m.addClock(); err != nil {
		return false, err
	}
	before := m.freshness.at()
	m.compareVersions(theirs, m.now())
	return m.freshness.at() > before, nil
}

// NewDelayedCheck returns the report function of a delayedCheck with a fixed delay, whose check returns
// whether the version has arrived.
func NewDelayedCheck(after time.Duration, check func(mtid.Version) bool) func(mtid.Version) {
	return NewFailingCheck(after, func(v mtid.Version) (arrived, answered bool) { return check(v), true })
}

// NewFailingCheck is like NewDelayedCheck. Its check also returns whether the store or others have answered.
func NewFailingCheck(after time.Duration, check func(mtid.Version) (arrived, answered bool)) func(mtid.Version) {
	d := &delayedCheck{}
	return func(v mtid.Version) {
		d.report(v, after, func(v mtid.Version) checkResult {
			switch arrived, answered := check(v); {
			case arrived:
				return versionArrived
			case answered:
				return versionAbsent
			}
			return versionUnknown
		})
	}
}

// Unexported functions that the tests of the package use.
var (
	SlowStart     = slowStart
	RecoverPanics = recoverPanics
)

// ChooseSurveyed returns the daemons that are asked for a load report, of those without a recent one.
func ChooseSurveyed(stale []mtdirectory.Member, unreported []mtrange.Owner) []mtdirectory.Member {
	return chooseSurveyed(nil, stale, unreported)
}

// NewSilentPeers returns the functions of a silentPeers: which addresses are passed over, and a report of a daemon
// that has not answered; and its clean-up function.
func NewSilentPeers(log *slog.Logger, ask func(context.Context, mtspread.Node) error) (has func(string) bool, suspect func(mtspread.Node), stop func()) {
	s := newSilentPeers(log, ask)
	return s.has, s.suspect, s.stop
}

// CheckPeers makes the feed check by a call whether other daemons answer, and returns the clean-up function.
func (f Feed) CheckPeers(ask func(context.Context, mtspread.Node) error) func() {
	f.silent = newSilentPeers(slog.New(slog.DiscardHandler), ask)
	return f.silent.stop
}
