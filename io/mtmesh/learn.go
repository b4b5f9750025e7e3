package mtmesh

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtwatch"
)

// Each change costs the store one answer for each watcher, and all calls are
// paid for: with 75 daemons that all watched, the calls of a calm day cost more
// than half of what its requests were worth. So in each availability zone one
// daemon watches, and the others learn from it.
const (
	// gather is how long a watcher waits after a change before it asks for the
	// next ones, so that changes that come together cost one answer.
	gather = 110 * time.Millisecond
	// teacherPause is how long a daemon that could not be learned from is passed
	// over.
	teacherPause = time.Second
	// learnWait is how long one question waits at a teacher. It is renewed at a
	// teacher that is silent for longer than a lost connection takes to show.
	learnWait = 10 * time.Second
)

// learner hears of changes: from the store itself, or from a daemon that does.
type learner struct {
	self  mtid.Daemon
	zone  mtid.Zone
	store mtwatch.Source
	peers *mtforward.Client
	view  func() *mtdirectory.View // nil while there is none
	// direct says that the last changes came from the store itself.
	direct atomic.Bool
	// paused are the addresses to pass over, until when. Only the goroutine that
	// watches looks.
	paused map[string]time.Time
}

func newLearner(self mtid.Daemon, zone mtid.Zone, store mtwatch.Source, peers *mtforward.Client) *learner {
	return &learner{self: self, zone: zone, store: store, peers: peers, paused: make(map[string]time.Time)}
}

// Watch implements mtwatch.Source.
func (l *learner) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if teacher, ok := l.teacher(time.Now()); ok {
		l.direct.Store(false)
		changes, err := l.learn(ctx, teacher, after, min(wait, learnWait))
		if err == nil {
			return changes, nil
		}
		if ctx.Err() != nil {
			return changes, err
		}
		l.paused[teacher] = time.Now().Add(teacherPause)
	}
	l.direct.Store(after != 0)
	changes, err := l.store.Watch(ctx, prefix, after, wait)
	if err != nil {
		l.direct.Store(false)
		return changes, err
	}
	if after != 0 && len(changes.Entries) > 0 {
		mtduty.Sleep(ctx, gather)
	}
	return changes, nil
}

// learn asks another daemon. For a reading of everything it has to know more than
// this daemon does: else the store itself must tell. A daemon that the store turns
// away can still read everything so.
func (l *learner) learn(ctx context.Context, teacher string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	view := l.view()
	if after != 0 {
		return l.peers.Learn(ctx, teacher, after, view.Epochs(), wait)
	}
	changes, err := l.peers.Learn(ctx, teacher, 0, nil, 0)
	if err == nil && changes.Revision <= view.Revision {
		return changes, &mtstore.UnavailableError{Op: "learn", Err: notWatching{}}
	}
	return changes, err
}

// teacher returns the address of the daemon to learn from, or false if this one
// watches the store itself: the first of its zone does, and whoever finds nobody
// who does.
func (l *learner) teacher(now time.Time) (string, bool) {
	view := l.view()
	if view == nil || view.Revision == 0 {
		return "", false
	}
	firsts := make(map[mtid.Zone]mtdirectory.Member)
	for _, m := range view.Members {
		if m.Lapsed || m.Leaving {
			continue
		}
		if first, ok := firsts[m.Zone]; !ok || ahead(m.Record, first.Record) {
			firsts[m.Zone] = m
		}
	}
	if own, ok := firsts[l.zone]; !ok || own.Daemon == l.self {
		return "", false
	}
	teachers := make([]mtdirectory.Member, 0, len(firsts))
	for _, m := range firsts {
		teachers = append(teachers, m)
	}
	slices.SortFunc(teachers, func(a, b mtdirectory.Member) int {
		return cmp.Or(cmp.Compare(far(a, l.zone), far(b, l.zone)), cmp.Compare(a.Daemon, b.Daemon))
	})
	for _, m := range teachers {
		if now.After(l.paused[m.Address]) {
			return m.Address, true
		}
	}
	return "", false
}

// ahead reports whether a is to watch the store rather than b: the one with the
// wider link, since it tells everything to all others of its zone.
func ahead(a, b mtbackend.Record) bool {
	return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(a.Daemon, b.Daemon)) < 0
}

// far is 0 for a member of the zone and 1 for others.
func far(m mtdirectory.Member, zone mtid.Zone) int {
	if m.Zone == zone {
		return 0
	}
	return 1
}

// notWatching says that a daemon can't teach.
type notWatching struct{}

// Error implements error.
func (notWatching) Error() string { return "this daemon does not watch the store" }

// inform tells a daemon of an assignment that gives it keys.
func (m *Mesh) inform(to mtid.Daemon, a mtdirectory.Assignment, since mtid.Epoch) {
	member, ok := m.directory.Load().Now().Members[to]
	if !ok {
		return
	}
	value, err := a.Since(since).Encode()
	if err != nil {
		m.config.Log.Error("word of an assignment can't be encoded", "service", a.Service, "error", err)
		return
	}
	entry := mtstore.Entry{Name: mtstore.RangeName(a.Service), Value: value, Version: a.Version}
	peers := mtkernel.Need[*mtforward.Client](m.kernel, NamePeers)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := peers.Inform(ctx, member.Address, entry); err != nil {
			m.config.Log.Info("daemon could not be told of its keys", "peer", to, "error", err)
		}
	}()
}

// teach waits for changes on behalf of another daemon.
func (m *Mesh) teach(ctx context.Context, after mtid.Revision, epochs map[string]mtid.Epoch, wait time.Duration) (mtstore.Changes, error) {
	directory := m.directory.Load()
	if directory == nil || !m.learner.direct.Load() {
		return mtstore.Changes{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
	}
	if _, up := directory.Up(); !up {
		return mtstore.Changes{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
	}
	return directory.Watch(ctx, after, epochs, wait), nil
}
