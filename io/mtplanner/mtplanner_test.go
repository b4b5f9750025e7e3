package mtplanner_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtload"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtplanner"
)

var ref = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// fakeStore is a store of chunks that injects faults. It implements View by reading
// itself, and Mover by writing moves at once.
type fakeStore struct {
	mtstore.Store
	mu           sync.Mutex
	roster       []*mtroster.Record
	bundles      []*mtbundle.Bundle
	entries      map[string]mtstore.Entry
	loseReplies  int // number of next writes that take effect but whose replies are lost
	swaps        int
	moveRequests int
	refuseMoves  bool
	leaving      mtid.Daemon
}

func (f *fakeStore) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.swaps++
	current := f.entries[name]
	if current.Version != expected {
		return 0, &mtstore.ConflictError{Name: name, Expected: expected, Current: current}
	}
	f.entries[name] = mtstore.Entry{Name: name, Value: value, Version: expected + 1}
	if f.loseReplies > 0 {
		f.loseReplies--
		return 0, &mtstore.UnknownError{Op: "swap", Name: name, Err: context.DeadlineExceeded}
	}
	return expected + 1, nil
}

func (f *fakeStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.entries[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

func (f *fakeStore) Roster() []*mtroster.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.roster)
}

// setLeaving sets the state of the first daemon other than the leader to Leaving.
func (f *fakeStore) setLeaving(leader mtid.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.roster {
		if r.Holder.Daemon == leader {
			continue
		}
		next := *r
		next.State = mtroster.Leaving
		f.roster[i] = &next
		f.leaving = r.Holder.Daemon
		return
	}
}

func (f *fakeStore) Bundles() []*mtbundle.Bundle { return f.bundles }

func (f *fakeStore) Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool) {
	entry, err := f.Get(context.Background(), mtstore.ShardName(ref, chunk))
	if err != nil {
		return nil, false
	}
	table, err := mtshard.Decode(entry.Value)
	return table, err == nil
}

func record(name mtid.Daemon) *mtroster.Record {
	return &mtroster.Record{
		Holder: mtid.Holder{Daemon: name, Incarnation: 1},
		Offers: []mtroster.Offer{{Service: ref, Slots: 12}},
	}
}

func newStore(names ...mtid.Daemon) *fakeStore {
	f := &fakeStore{entries: make(map[string]mtstore.Entry)}
	for _, name := range names {
		f.roster = append(f.roster, record(name))
	}
	f.bundles = []*mtbundle.Bundle{{Business: ref.Business, Services: []mtbundle.Service{
		{Name: ref.Service, Kind: mtbundle.Keyed, Shards: 60, Chunks: 3},
		{Name: "dispatch", Kind: mtbundle.Spread},
	}}}
	return f
}

// clock advances by a second each time it is read.
type clock struct {
	mu  sync.Mutex
	now mtclock.Instant
}

func (c *clock) Now() mtclock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Second)
	return c.now
}

// startPlanner starts the planner of a daemon.
func startPlanner(t *testing.T, f *fakeStore, name mtid.Daemon) *mtplanner.Planner {
	t.Helper()
	self := mtid.Holder{Daemon: name, Incarnation: 1}
	var sequence uint64
	p, cleanUp, err := mtplanner.New(mtplanner.Config{
		Self: func() mtid.Holder { return self },
		NewWriteID: func() mtroster.WriteID {
			sequence++
			return mtroster.WriteID{Writer: self, Sequence: sequence}
		},
		Now:          (&clock{}).Now,
		Log:          slog.New(slog.DiscardHandler),
		TickInterval: time.Millisecond,
	}, f, f, f)
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	return p
}

// waitForTables polls until all chunks exist.
func waitForTables(t *testing.T, f *fakeStore, chunks int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for chunk := range chunks {
			if _, ok := f.Table(ref, chunk); !ok {
				return poll.Continue("chunk %d is missing", chunk)
			}
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// All daemons of a new keyed service start at the same time. The leader must write
// every chunk of the initial assignment, and each chunk must be written only once.
func TestInitialChunksAreWrittenOnce(t *testing.T) {
	f := newStore("a", "b", "c")
	for _, name := range []mtid.Daemon{"a", "b", "c"} {
		startPlanner(t, f, name)
	}
	waitForTables(t, f, 3)
	for chunk := range 3 {
		table, _ := f.Table(ref, chunk)
		assert.Equal(t, table.Version, mtid.Version(1))
		assert.Equal(t, table.Chunks, 3)
		assert.Equal(t, len(table.Shards), 20)
	}
	_, ok := f.Table(mtid.Ref{Business: "ratins", Service: "dispatch"}, 0)
	assert.Assert(t, !ok, "a spread service must not have a table")
}

// The write of a chunk takes effect but its reply is lost. The planner must find its
// own write and must not write the chunk again, since its owners may already serve.
func TestLostWriteReplyDoesNotRepeatWrite(t *testing.T) {
	f := newStore("a")
	f.loseReplies = 2
	startPlanner(t, f, "a")
	waitForTables(t, f, 3)
	for chunk := range 3 {
		table, _ := f.Table(ref, chunk)
		assert.Equal(t, table.Version, mtid.Version(1))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.swaps, 3)
}

// A required field of the Config is not set. The error must name it.
func TestNewReportsMissingField(t *testing.T) {
	_, _, err := mtplanner.New(mtplanner.Config{}, nil, nil, nil)
	got, ok := err.(*mtplanner.ConfigError)
	assert.Assert(t, ok, "got %v, want a ConfigError", err)
	assert.Equal(t, got.Field, "Self")
}

// Move implements Mover. It executes the move at once unless refuseMoves is set.
func (f *fakeStore) Move(_ context.Context, owner mtid.Holder, service mtid.Ref, low mtid.Point, to mtid.Holder) error {
	f.mu.Lock()
	f.moveRequests++
	refuse := f.refuseMoves
	f.mu.Unlock()
	if refuse {
		return &mtreply.RefusedError{Cause: mtreply.CauseStopping}
	}
	for {
		first, _ := f.Table(service, 0)
		table, _ := f.Table(service, mtshard.ChunkOf(low, first.Chunks))
		shard, _ := table.Lookup(low)
		if shard.Low != low || shard.Owner != owner {
			return &mtreply.RefusedError{Cause: mtreply.CauseStaleRoute}
		}
		next, err := table.Apply(mtroster.WriteID{}, mtshard.Move{Low: low, To: to})
		if err != nil {
			return err
		}
		value, err := next.Encode()
		if err != nil {
			return err
		}
		_, err = f.Swap(context.Background(), mtstore.ShardName(service, table.Chunk), table.Version, value, "")
		if _, conflict := err.(*mtstore.ConflictError); !conflict {
			return err
		}
	}
}

// owned returns the number of shards that each daemon owns.
func (f *fakeStore) owned() map[mtid.Daemon]int {
	counts := make(map[mtid.Daemon]int)
	for chunk := range 3 {
		table, ok := f.Table(ref, chunk)
		if !ok {
			continue
		}
		for _, shard := range table.Shards {
			counts[shard.Owner.Daemon]++
		}
	}
	return counts
}

// shardOf returns the shard that contains a point, and its last point.
func (f *fakeStore) shardOf(p mtid.Point) (shard mtshard.Shard, high mtid.Point) {
	table, ok := f.Table(ref, mtshard.ChunkOf(p, 3))
	if !ok {
		return mtshard.Shard{}, 0
	}
	shard, _ = table.Lookup(p)
	high, _ = table.High(shard.Low)
	return shard, high
}

// leaderOf returns the daemon that leads the service.
func leaderOf(f *fakeStore) mtid.Daemon {
	var live []mtid.Holder
	for _, r := range f.Roster() {
		live = append(live, r.Holder)
	}
	return mtplan.Leader(ref, live).Daemon
}

// waitFor polls until done returns true. what describes the state until then.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond))
}

// reportAll sends a load report of every daemon to the planner, according to the
// current assignment. The load is equal on all shards except that of one hot key.
func reportAll(t *testing.T, f *fakeStore, p *mtplanner.Planner, sequence uint64, hot mtid.Point) {
	t.Helper()
	for _, record := range f.Roster() {
		r := &mtload.Report{From: record.Holder, Service: ref, Sequence: sequence}
		for chunk := range 3 {
			table, _ := f.Table(ref, chunk)
			for _, shard := range table.OwnedBy(record.Holder) {
				load := 0.1
				if covering, _ := table.Lookup(hot); mtshard.ChunkOf(hot, 3) == chunk && covering.Low == shard.Low {
					load = 4
					r.Points = []mtload.PointLoad{{Point: hot, Load: 3.9}}
				}
				r.Load += load
				r.Shards = append(r.Shards, mtload.ShardLoad{Low: shard.Low, Load: load})
			}
		}
		r.Shards, r.Points = mtload.Truncate(r.Shards, r.Points)
		_, err := p.Report(t.Context(), r.Wire())
		assert.NilError(t, err)
	}
}

// One key has more load than all others on its server together. It must get a shard
// of its own, and other shards of the server must be moved away through their owner.
func TestHotKeyIsIsolatedAndItsServerOffloaded(t *testing.T) {
	f := newStore("a", "b", "c", "d")
	p := startPlanner(t, f, leaderOf(f))
	waitForTables(t, f, 3)
	hot := ref.Point("hotel-7/wing-2")
	sequence := uint64(0)
	waitFor(t, "the hot key has no shard of its own or its server still owns 10 shards or more", func() bool {
		sequence++
		reportAll(t, f, p, sequence, hot)
		shard, high := f.shardOf(hot)
		return shard.Low == hot && high == hot && f.owned()[shard.Owner.Daemon] < 10
	})
}

// A server is leaving. All of its shards must be moved away although no load was ever
// reported.
func TestLeavingServerIsEmptied(t *testing.T) {
	f := newStore("a", "b", "c", "d")
	leader := leaderOf(f)
	startPlanner(t, f, leader)
	waitForTables(t, f, 3)
	f.setLeaving(leader)
	waitFor(t, "the leaving server still owns shards", func() bool {
		counts := f.owned()
		return counts[f.leaving] == 0 && counts["a"]+counts["b"]+counts["c"]+counts["d"] == 60
	})
}

// Owners refuse moves because they are shutting down. The planner must request the
// moves again later and must not count the shards as moved.
func TestRefusedMovesAreRequestedAgain(t *testing.T) {
	f := newStore("a", "b", "c", "d")
	leader := leaderOf(f)
	startPlanner(t, f, leader)
	waitForTables(t, f, 3)
	f.mu.Lock()
	f.refuseMoves = true
	f.mu.Unlock()
	f.setLeaving(leader)
	waitFor(t, "refused moves are not requested again", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.moveRequests > 60
	})
}

// A daemon with an outdated view sends its load report to a daemon that does not lead
// the service. The reply must say so. Otherwise the sender considers the report
// delivered, and the leader never receives it.
func TestOnlyLeaderAcceptsReports(t *testing.T) {
	f := newStore("a", "b")
	leader := leaderOf(f)
	other := mtid.Daemon("a")
	if leader == "a" {
		other = "b"
	}
	first, second := startPlanner(t, f, leader), startPlanner(t, f, other)
	waitForTables(t, f, 3)
	r := &mtload.Report{From: mtid.Holder{Daemon: "a", Incarnation: 1}, Service: ref, Sequence: 1}
	got, err := second.Report(t.Context(), r.Wire())
	assert.NilError(t, err)
	assert.Assert(t, !got.GetLeader())
	waitFor(t, "the leader does not accept the report", func() bool {
		got, err := first.Report(t.Context(), r.Wire())
		return err == nil && got.GetLeader()
	})
}

// meters implements Meters with a single meter.
type meters struct{ meter *mtload.Meter }

func (m meters) Meter(mtid.Ref) *mtload.Meter { return m.meter }

// localSender implements ReportSender for planners in the same process.
type localSender map[mtid.Daemon]*mtplanner.Planner

func (l localSender) Report(ctx context.Context, to mtid.Holder, report *mtwire.LoadReport) (*mtwire.LoadReply, error) {
	return l[to.Daemon].Report(ctx, report)
}

// Requests for a hot key are counted by the meter of its owner. The reporter must send
// the load to the leader, and the leader must split off a shard for that key alone.
func TestReportedHotKeyIsSplitOff(t *testing.T) {
	f := newStore("a", "b", "c")
	hot := ref.Point("hotel-7/wing-2")
	planners := make(localSender)
	for _, record := range f.Roster() {
		planners[record.Holder.Daemon] = startPlanner(t, f, record.Holder.Daemon)
	}
	waitForTables(t, f, 3)
	shard, _ := f.shardOf(hot)
	for _, record := range f.Roster() {
		self := record.Holder
		meter := mtload.NewMeter()
		c := &clock{}
		meter.Finish(100 * time.Millisecond)
		for i := range 400 {
			at := mtclock.Instant(0).Add(time.Duration(i) * 10 * time.Millisecond)
			if shard.Owner == self {
				meter.Arrive(at, shard.Low, hot)
			}
			if i%20 == 0 {
				table, _ := f.Table(ref, 0)
				if owned := table.OwnedBy(self); len(owned) > 0 {
					meter.Arrive(at, owned[0].Low, owned[0].Low)
				}
			}
		}
		cleanUp, err := mtplanner.NewReporter(mtplanner.Config{
			Self:         func() mtid.Holder { return self },
			NewWriteID:   func() mtroster.WriteID { return mtroster.WriteID{} },
			Now:          c.Now,
			Log:          slog.New(slog.DiscardHandler),
			TickInterval: time.Millisecond,
		}, f, meters{meter}, planners, planners[self.Daemon])
		assert.NilError(t, err)
		t.Cleanup(cleanUp)
	}
	waitFor(t, "the hot key has no shard of its own", func() bool {
		s, high := f.shardOf(hot)
		return s.Low == hot && high == hot
	})
}
