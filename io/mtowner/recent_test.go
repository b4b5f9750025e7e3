package mtowner_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrecent"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtserver"
)

const bundleText = `
[bundle]
business = ratins
version = 1
signatures = 1

[signer ilze]
key = b5Ca8hOzM60+lMucZwgxVNn86vXDCzMRpyfkG0pBfU0=
[signer janis]
key = fQ9h+N9+MdYZyolSdx8kdEqNOoLN9tbYf7t2+qlGzGs=

[service dispatch]
kind = keyed
shards = 2
chunks = 2

[class dispatch send]
idempotent = no
timeout = 5s

[class dispatch status]
idempotent = yes
timeout = 5s
`

var (
	dispatch  = mtid.Ref{Business: "ratins", Service: "dispatch"}
	self      = mtid.Holder{Daemon: "self", Incarnation: 1}
	other     = mtid.Holder{Daemon: "other", Incarnation: 1}
	lost      = mtid.Holder{Daemon: "gone", Incarnation: 1}
	noWriteID = mtroster.WriteID{}
)

// clock is a monotonic clock that never advances, with a wall clock that the test
// advances.
type clock struct {
	mu   sync.Mutex
	wall time.Time
}

func (*clock) Now() mtclock.Instant { return 1 }

func (*clock) Steady() mtclock.Instant { return 1 }

func (*clock) Boot() int64 { return 1 }

func (c *clock) Wall() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wall
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall = c.wall.Add(d)
}

// lease is held by self for an hour or until the test ends it.
type lease struct {
	mu    sync.Mutex
	ended bool
}

func (l *lease) Permit() (mtid.Holder, mtclock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return self, 0
	}
	return self, mtclock.Instant(time.Hour)
}

func (l *lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

type conns struct{}

func (conns) Conn(address string) (*grpc.ClientConn, error) {
	return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: address}
}

// harness is an Owner with its backend server.
type harness struct {
	*mtowner.Owner
	t     *testing.T
	clock *clock
	lease *lease
	view  *mtview.View
	// block makes the backend server hold each request until a value is sent or the
	// request is canceled.
	block chan struct{}
	rev   mtid.Revision
	mu    sync.Mutex
	runs  map[string]int
}

func newHarness(t *testing.T) *harness {
	b := &harness{
		t: t, clock: &clock{wall: time.UnixMilli(1_800_000_000_000)}, lease: &lease{}, view: mtview.New(), runs: map[string]int{},
	}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs[r.Header.Get(mtheader.ID)]++
		b.mu.Unlock()
		if b.block != nil {
			select {
			case <-b.block:
			case <-r.Context().Done():
			}
		}
		w.Header().Set(mtheader.ID, r.Header.Get(mtheader.ID))
	}))
	t.Cleanup(backend.Close)
	log := slog.New(slog.DiscardHandler)
	pool := mtserver.NewPool(b.clock, 1<<16, log, func() {})
	pool.Put(mtannounce.Announcement{
		Business: dispatch.Business, Service: dispatch.Service, Address: backend.Listener.Addr().String(),
		Slots: 4, Connections: 4, State: mtannounce.Ready,
	})
	detector, cleanUpDetector := mtpoison.New(mtpoison.Config{
		Self: func() mtid.Holder { return self }, View: b.view, Conns: conns{}, Clock: b.clock, Log: log, Count: func(string) {},
	})
	t.Cleanup(cleanUpDetector)
	owner, cleanUp := mtowner.New(mtowner.Config{
		View: b.view, Lease: b.lease, Servers: pool, Clock: b.clock, Log: log, Poison: detector,
		OnRangeIdle: func(mtid.Ref, mtid.Point, mtid.Point) {},
	})
	t.Cleanup(cleanUp)
	b.Owner = owner
	stored := mtbundle.Stored{Business: "ratins", Version: 1, Text: []byte(bundleText)}
	value, err := stored.Encode()
	assert.NilError(t, err)
	b.put(mtstore.BundleName("ratins"), 1, value)
	return b
}

func (b *harness) put(name string, version mtid.Version, value []byte) {
	b.t.Helper()
	b.rev++
	item := mtview.Item{Name: name, Version: version, Revision: b.rev, Value: value}
	_, err := b.view.Merge(mtview.Delta{After: b.rev - 1, Revision: b.rev, Items: []mtview.Item{item}})
	assert.NilError(b.t, err)
}

// apply writes the next version of an assignment.
func (b *harness) apply(table *mtshard.Table, ops ...mtshard.Op) *mtshard.Table {
	b.t.Helper()
	next, err := table.Apply(noWriteID, ops...)
	assert.NilError(b.t, err)
	value, err := next.Encode()
	assert.NilError(b.t, err)
	b.put(mtstore.ShardName(dispatch, table.Chunk), next.Version, value)
	return next
}

// key returns a key that lies in the given chunk.
func key(chunk int) mtid.Key {
	for i := 0; ; i++ {
		k := mtid.Key(fmt.Sprint("room-", i))
		if mtshard.ChunkOf(dispatch.Point(k), 2) == chunk {
			return k
		}
	}
}

// sendRequest returns a non-idempotent request whose identifier is minted now.
func (b *harness) sendRequest(chunk int) *mtrequest.Request {
	return &mtrequest.Request{
		ID: mtrequest.Mint(b.clock.Wall(), [10]byte{byte(chunk), 7}), Service: dispatch, Key: key(chunk), Class: "send",
		Method: "POST", Deadline: mtclock.Instant(5 * time.Second),
	}
}

// handOverFromOther imports the deduplication entries that the other owner hands over for the
// range from low to the end of the ring, and returns its table, still without entries.
func (b *harness) handOverFromOther(low mtid.Point) *mtrecent.Table {
	b.t.Helper()
	high := ^mtid.Point(0)
	otherTable := mtrecent.New(mtrecent.Limits{})
	assert.NilError(b.t, otherTable.Grant(low, high, time.Time{}))
	value, err := mtrecent.Encode(otherTable.Export(1, low, high))
	assert.NilError(b.t, err)
	assert.NilError(b.t, b.Import(dispatch, low, high, other, value))
	return otherTable
}

// A planned move of a shard is abandoned after the handover. Its owner continues to
// serve, runs a request and is lost, and the shard arrives here by failover. Its new
// epoch equals that of a shard in another chunk that is owned here. The resent
// request must not run a second time.
func TestEqualEpochsInTwoChunksAreIndependent(t *testing.T) {
	b := newHarness(t)
	first := b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{lost}})
	b.apply(first, mtshard.Failover{Lost: []mtid.Holder{lost}, Survivors: []mtid.Holder{self}})
	second := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
	b.clock.advance(time.Second)
	b.Serve(context.Background(), b.sendRequest(0)) // makes the deduplicator cover chunk 0

	otherTable := b.handOverFromOther(second.Shards[0].Low)

	b.clock.advance(time.Second)
	request := b.sendRequest(1)
	dedupKey := mtrecent.DedupKey{Point: request.Point(), ID: uuid.UUID(request.ID)}
	verdict := otherTable.Begin(1, b.clock.Wall(), mtrecent.Request{DedupKey: dedupKey}, 1)
	assert.Equal(t, verdict.Kind, mtrecent.Run) // at the other owner, which is lost afterwards

	b.clock.advance(2 * time.Second)
	b.apply(second, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}})
	reply := b.Serve(context.Background(), request)
	assert.Equal(t, b.runs[request.ID.String()], 0, "the request ran a second time")
	assert.Equal(t, reply.Cause, mtreply.CauseTakenOver)
}

// The same failure within one chunk: the upper half of a shard is handed over, but
// the move is abandoned. The whole shard then arrives by failover and is split at
// the same point before this daemon processes the assignment, so that both halves
// are new and have the same epoch.
func TestSplitShardFromFailoverIgnoresEarlierHandover(t *testing.T) {
	b := newHarness(t)
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
	request := b.sendRequest(1)
	middle := request.Point()
	b.handOverFromOther(middle)

	// The other owner runs the request now, and is lost.
	b.clock.advance(2 * time.Second)
	b.apply(table, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}}, mtshard.Split{Point: middle})
	reply := b.Serve(context.Background(), request)
	assert.Equal(t, b.runs[request.ID.String()], 0, "the request ran a second time")
	assert.Equal(t, reply.Cause, mtreply.CauseTakenOver)
}

// A shard that is split or merged on its owner keeps its deduplication entries: a
// request that has never run must not be answered as unknown.
func TestSplitAndMergeKeepDedupEntries(t *testing.T) {
	b := newHarness(t)
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	request := b.sendRequest(1)
	assert.Equal(t, b.Serve(context.Background(), request).Outcome, mtreply.Answered)
	table = b.apply(table, mtshard.Split{Point: request.Point()})
	fresh := b.sendRequest(1)
	fresh.ID[15] = 9
	assert.Equal(t, b.Serve(context.Background(), fresh).Outcome, mtreply.Answered)
	b.apply(table, mtshard.Merge{Low: request.Point()})
	fresh.ID[15] = 10
	assert.Equal(t, b.Serve(context.Background(), fresh).Outcome, mtreply.Answered)
	assert.Equal(t, b.Serve(context.Background(), request).Outcome, mtreply.Answered)
	assert.Equal(t, b.runs[request.ID.String()], 1, "the request ran a second time")
}

// A shard was taken over from a lost daemon. Requests that may have crashed that
// daemon's VM are marked as suspects, so that they run alone; RecentTakeover makes a
// peer observe the run.
func TestRequestsAfterTakeoverAreMarked(t *testing.T) {
	tests := []struct {
		name           string
		class          mtid.Class
		age            time.Duration // of the identifier when the takeover happens
		minted         bool
		after          time.Duration // time from the takeover to the request
		recentTakeover bool
		suspect        bool
	}{
		{"identifier predates takeover", "status", time.Second, false, time.Second, true, true},
		{"identifier predates takeover, minted by the ingress", "status", time.Second, true, time.Second, true, false},
		{"identifier predates takeover, not idempotent", "send", time.Second, false, time.Second, true, false},
		{"identifier postdates takeover", "status", -time.Second, false, 2 * time.Second, true, false},
		{"long after takeover", "status", time.Second, false, time.Minute, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
			table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
			b.apply(table, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}})
			b.SyncOwnedShards()
			r := b.sendRequest(1)
			r.ID = mtrequest.Mint(b.clock.Wall().Add(-tt.age), [10]byte{1})
			r.Class, r.Minted = tt.class, tt.minted
			b.clock.advance(tt.after)
			b.Serve(context.Background(), r)
			assert.Equal(t, r.RecentTakeover, tt.recentTakeover)
			assert.Equal(t, r.Suspect, tt.suspect)
		})
	}
}
