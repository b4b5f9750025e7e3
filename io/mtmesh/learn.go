package mtmesh

import (
	"context"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtroute"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtwatch"
)

// Each change costs the store one answer for each watcher, and all calls are paid for.
// So two daemons watch, and the others learn from them (core/mtspread).
const (
	// gather is how long a watcher waits after a change before it asks for the
	// next ones, so that changes that come together cost one answer.
	gather = 110 * time.Millisecond
	// gatherIdle is the same while no configuration is known: nobody is served yet, and
	// all daemons write their records at once when the whole system starts.
	gatherIdle = 500 * time.Millisecond
	// teacherPause is how long a daemon that could not be learned from is passed
	// over.
	teacherPause = time.Second
	// mostTeachers is how many daemons are asked in turn before the store is. When the first
	// of a zone is restarted, all others of the zone need somebody else for a second.
	mostTeachers = 2
	// learnPause is the least time between two questions that bring no changes. A teacher
	// that is certain of a configuration which this daemon does not have yet would answer
	// each of them at once.
	learnPause = 50 * time.Millisecond
	// deferPause is how long a daemon that is to learn from others waits for them when
	// the whole system starts, and mostDeferred how often.
	deferPause   = 300 * time.Millisecond
	mostDeferred = 8
	// learnWait is how long one question waits at a teacher. It is renewed at a
	// teacher that is silent for longer than a lost connection takes to show.
	learnWait = 10 * time.Second
	// farthest is how many hops from the store a daemon may be that teaches others: two
	// that learned from each other would be further and further away, and know nothing.
	farthest = 2
)

// teachers are the daemons to learn from.
type teachers interface {
	PullChanges(ctx context.Context, address string, q mtforward.ChangesRequest) (mtforward.ChangesReply, error)
}

// learner hears of changes: from the store itself, or from a daemon that does.
type learner struct {
	self      mtid.Daemon
	zone      mtid.Zone
	store     mtwatch.Source
	peers     teachers
	clock     clock
	certainty *certainty
	directory func() *mtdirectory.Directory // nil while there is none
	// configured reports whether a configuration is in force.
	configured func() bool
	// hops is how far from the store this daemon hears of changes: one, if from the
	// store itself, or zero while it does not.
	hops atomic.Int32
	// stirred is told of what those who learn here may wait for.
	stirred *beacon
	// tree returns who hears from whom, as this daemon knows.
	tree    func() *mtspread.Tree
	planned atomic.Pointer[plan]
	// read is when the last reading of everything from the store itself began.
	read atomic.Int64
	// paused are the addresses to pass over, until when. Only the goroutine that
	// watches looks.
	paused   map[string]time.Time
	deferred int // looks at others before there was a configuration
}

// plan is who hears from whom among the members of a view.
type plan struct {
	roll uint64
	tree *mtspread.Tree
}

// view returns what is known, or nil while there is nothing.
func (l *learner) view() *mtdirectory.View {
	directory := l.directory()
	if directory == nil {
		return nil
	}
	return directory.Now()
}

// plan returns who hears from whom among the members that are known.
func (l *learner) plan() *mtspread.Tree {
	view := l.view()
	if view == nil {
		return mtspread.New(nil)
	}
	if p := l.planned.Load(); p != nil && p.roll == view.Roll {
		return p.tree
	}
	nodes := make([]mtspread.Node, 0, len(view.Members))
	for _, m := range view.Members {
		if !m.Lapsed && !m.Leaving {
			nodes = append(nodes, mtspread.Node{Daemon: m.Daemon, Zone: m.Zone, Address: m.Address, Link: m.Link})
		}
	}
	p := &plan{roll: view.Roll, tree: mtspread.New(nodes)}
	l.planned.Store(p)
	return p.tree
}

// turn returns when it is this daemon's turn to ask the store.
func (l *learner) turn() mtroute.PollSchedule { return l.tree().PollSchedule(l.self) }

// Watch implements mtwatch.Source.
func (l *learner) Watch(ctx context.Context, prefix string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	for range mostTeachers {
		teacher, ok := l.teacher(time.Now())
		if !ok {
			break
		}
		changes, err := l.learn(ctx, teacher, after, min(wait, learnWait))
		if err == nil || ctx.Err() != nil {
			return changes, err
		}
		l.paused[teacher] = time.Now().Add(teacherPause)
	}
	if after == 0 {
		return l.readAll(ctx, prefix)
	}
	if l.defers() {
		mtduty.Sleep(ctx, deferPause)
		return mtstore.Changes{Revision: after}, nil
	}
	l.move(1)
	changes, err := l.store.Watch(ctx, prefix, after, wait)
	if err != nil {
		l.move(0)
		return changes, err
	}
	if len(changes.Entries) > 0 {
		mtduty.Sleep(ctx, l.gather())
	}
	return changes, nil
}

// defers reports whether this daemon waits for others to hear of changes first, and looks
// again then who could tell it. When the whole system starts nobody hears of anything yet,
// and all watched the store in the meantime, woken by each other's records.
func (l *learner) defers() bool {
	if l.configured() || l.turn() != mtroute.PollFallback || l.deferred >= mostDeferred {
		return false
	}
	l.deferred++
	return true
}

// gather returns how long to wait after a change before asking for the next ones.
func (l *learner) gather() time.Duration {
	if l.configured() {
		return gather
	}
	return gatherIdle
}

// readAll reads everything from the store.
func (l *learner) readAll(ctx context.Context, prefix string) (mtstore.Changes, error) {
	begun := l.clock.Now()
	changes, err := l.store.Watch(ctx, prefix, 0, 0)
	if err == nil {
		l.read.Store(int64(begun))
	}
	return changes, err
}

// applied notes that what was read has been taken in: the configuration with it.
func (l *learner) applied(u mtwatch.Update) {
	if begun := mtclock.Instant(l.read.Swap(0)); u.Whole && begun != 0 {
		l.certainty.confirm(begun)
	}
}

// move notes how far from the store this daemon hears of changes. Those who learn here
// have to go elsewhere if that is too far.
func (l *learner) move(hops int) {
	if l.hops.Swap(int32(hops)) != int32(hops) {
		l.stirred.fire()
	}
}

// learn asks another daemon. For a reading of everything it has to know more than
// this daemon does: else the store itself must tell. A daemon that the store turns
// away can still read everything so.
func (l *learner) learn(ctx context.Context, teacher string, after mtid.Revision, wait time.Duration) (mtstore.Changes, error) {
	if l.hops.Load() == 1 {
		// The store is not watched any more. Those who relied on that go elsewhere; this
		// daemon might be going to learn from one of them.
		l.move(0)
	}
	view := l.view()
	q := mtforward.ChangesRequest{After: after, Relays: l.turn() != mtroute.PollFallback, Age: l.certainty.age(l.clock.Now())}
	if after != 0 {
		q.Epochs, q.Wait = view.Epochs(), wait
	}
	begun := l.clock.Now()
	lesson, err := l.peers.PullChanges(ctx, teacher, q)
	if err != nil {
		l.move(0)
		return lesson.Changes, err
	}
	l.move(lesson.Hops + 1)
	if took := l.clock.Now().Sub(begun); len(lesson.Changes.Entries) == 0 && took < learnPause {
		mtduty.Sleep(ctx, learnPause-took)
	}
	if after == 0 && lesson.Changes.Revision <= view.Revision {
		return lesson.Changes, &mtstore.UnavailableError{Op: "learn", Err: notWatching{}}
	}
	return lesson.Changes, nil
}

// teacher returns the address of the daemon to learn from, or false if this one
// watches the store itself: it is a source, or finds nobody who does.
func (l *learner) teacher(now time.Time) (string, bool) {
	if view := l.view(); view == nil || view.Revision == 0 {
		return "", false
	}
	for _, n := range l.tree().Upstreams(l.self, l.zone) {
		if now.After(l.paused[n.Address]) {
			return n.Address, true
		}
	}
	return "", false
}

// teaches reports whether this daemon hears of changes from close enough to tell others,
// who relay them or not.
func (l *learner) teaches(relays bool) bool {
	hops := int(l.hops.Load())
	if relays {
		return hops == 1
	}
	return hops > 0 && hops <= farthest
}

// teach waits for changes on behalf of another daemon, or until this one is certain of its
// configuration for so much longer that the other should hear of it.
func (l *learner) teach(ctx context.Context, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	directory := l.directory()
	theirs := l.clock.Now().Add(-q.Age)
	for {
		stirred := l.stirred.wait()
		if directory == nil || !l.teaches(q.Relays) {
			return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
		}
		if _, up := directory.Up(); !up {
			return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "teach", Err: notWatching{}}
		}
		changes, next := directory.Since(q.After, q.Epochs)
		lesson := mtforward.ChangesReply{Changes: changes, Hops: int(l.hops.Load())}
		if len(changes.Entries) > 0 || l.certainty.fresher(theirs) {
			return lesson, nil
		}
		select {
		case <-next:
		case <-stirred:
		case <-ctx.Done():
			return lesson, nil
		}
	}
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
	entry, err := patchEntry(a, since)
	if err != nil {
		m.config.Log.Error("word of an assignment can't be encoded", "service", a.Service, "error", err)
		return
	}
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := peers.PushAssignment(ctx, member.Address, entry); err != nil {
			m.config.Log.Info("daemon could not be told of its keys", "peer", to, "error", err)
		}
	}()
}
