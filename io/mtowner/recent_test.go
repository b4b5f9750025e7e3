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
	dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}
	self     = mtid.Holder{Daemon: "self", Incarnation: 1}
	other    = mtid.Holder{Daemon: "other", Incarnation: 1}
	gone     = mtid.Holder{Daemon: "gone", Incarnation: 1}
	none     = mtroster.WriteID{}
)

// clock stands still; its wall time is set by the test.
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

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall = c.wall.Add(d)
}

// lease is held by self for an hour, until a test ends it.
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

// bench is an Owner with its backend server.
type bench struct {
	*mtowner.Owner
	t     *testing.T
	clock *clock
	lease *lease
	view  *mtview.View
	// block makes the backend server hold each request until its caller goes
	// away or a value is sent.
	block chan struct{}
	rev   mtid.Revision
	mu    sync.Mutex
	runs  map[string]int
}

func newBench(t *testing.T) *bench {
	b := &bench{
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
	watch, cleanUpWatch := mtpoison.New(mtpoison.Config{
		Self: func() mtid.Holder { return self }, View: b.view, Conns: conns{}, Clock: b.clock, Log: log, Count: func(string) {},
	})
	t.Cleanup(cleanUpWatch)
	owner, cleanUp := mtowner.New(mtowner.Config{
		View: b.view, Lease: b.lease, Servers: pool, Clock: b.clock, Log: log, Poison: watch,
		Quiet: func(mtid.Ref, mtid.Point, mtid.Point) {},
	})
	t.Cleanup(cleanUp)
	b.Owner = owner
	stored := mtbundle.Stored{Business: "ratins", Version: 1, Text: []byte(bundleText)}
	value, err := stored.Encode()
	assert.NilError(t, err)
	b.put(mtstore.BundleName("ratins"), 1, value)
	return b
}

func (b *bench) put(name string, version mtid.Version, value []byte) {
	b.t.Helper()
	b.rev++
	item := mtview.Item{Name: name, Version: version, Revision: b.rev, Value: value}
	_, err := b.view.Merge(mtview.Delta{After: b.rev - 1, Revision: b.rev, Items: []mtview.Item{item}})
	assert.NilError(b.t, err)
}

// apply writes the next version of an assignment.
func (b *bench) apply(table *mtshard.Table, ops ...mtshard.Op) *mtshard.Table {
	b.t.Helper()
	next, err := table.Apply(none, ops...)
	assert.NilError(b.t, err)
	value, err := next.Encode()
	assert.NilError(b.t, err)
	b.put(mtstore.ShardName(dispatch, table.Chunk), next.Version, value)
	return next
}

// key returns one that lies in a chunk.
func key(chunk int) mtid.Key {
	for i := 0; ; i++ {
		k := mtid.Key(fmt.Sprint("room-", i))
		if mtshard.ChunkOf(dispatch.Point(k), 2) == chunk {
			return k
		}
	}
}

// order returns an order whose identifier is made now.
func (b *bench) order(chunk int) *mtrequest.Request {
	return &mtrequest.Request{
		ID: mtrequest.Mint(b.clock.Wall(), [10]byte{byte(chunk), 7}), Service: dispatch, Key: key(chunk), Class: "send",
		Method: "POST", Deadline: mtclock.Instant(5 * time.Second),
	}
}

// A shard's planned move is given up after the handover. Its owner goes on,
// runs an order, and is lost; the shard comes here by failover. Its new epoch
// happens to be the number of a shard in another chunk that is owned here. The
// desk sends the order again: it must not run a second time.
func TestEpochsOfTwoChunksAreNotMixedUp(t *testing.T) {
	b := newBench(t)
	first := b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{gone}})
	b.apply(first, mtshard.Failover{Lost: []mtid.Holder{gone}, Survivors: []mtid.Holder{self}})
	second := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
	b.clock.pass(time.Second)
	b.Serve(context.Background(), b.order(0)) // the memory answers for chunk 0

	low, high := second.Shards[0].Low, ^mtid.Point(0)
	memory := mtrecent.New(mtrecent.Limits{})
	assert.NilError(t, memory.Grant(low, high, time.Time{}))
	value, err := mtrecent.Encode(memory.Export(1, low, high))
	assert.NilError(t, err)
	assert.NilError(t, b.Import(dispatch, low, high, other, value))

	b.clock.pass(time.Second)
	order := b.order(1)
	name := mtrecent.DedupKey{Point: order.Point(), ID: uuid.UUID(order.ID)}
	verdict := memory.Begin(1, b.clock.Wall(), mtrecent.Request{DedupKey: name}, 1)
	assert.Equal(t, verdict.Kind, mtrecent.Run) // at the other owner, lost since

	b.clock.pass(2 * time.Second)
	b.apply(second, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}})
	reply := b.Serve(context.Background(), order)
	assert.Equal(t, b.runs[order.ID.String()], 0, "it ran again")
	assert.Equal(t, reply.Cause, mtreply.CauseTakenOver)
}

// The same with one chunk: the upper half of a shard was handed over in vain.
// The whole shard comes by failover, split again at the same place before this
// daemon looks, so that both halves are new and share their epoch.
func TestSplitOfAGainedShardIsNotKnown(t *testing.T) {
	b := newBench(t)
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
	order := b.order(1)
	middle, high := order.Point(), ^mtid.Point(0)
	memory := mtrecent.New(mtrecent.Limits{})
	assert.NilError(t, memory.Grant(middle, high, time.Time{}))
	value, err := mtrecent.Encode(memory.Export(1, middle, high))
	assert.NilError(t, err)
	assert.NilError(t, b.Import(dispatch, middle, high, other, value))

	// The other owner runs the order now, and is lost.
	b.clock.pass(2 * time.Second)
	b.apply(table, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}}, mtshard.Split{Point: middle})
	reply := b.Serve(context.Background(), order)
	assert.Equal(t, b.runs[order.ID.String()], 0, "it ran again")
	assert.Equal(t, reply.Cause, mtreply.CauseTakenOver)
}

// What is split and merged here keeps its memory: no order that nobody has run
// is answered as unknown for it.
func TestSplitAndMergeKeepTheMemory(t *testing.T) {
	b := newBench(t)
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	order := b.order(1)
	assert.Equal(t, b.Serve(context.Background(), order).Outcome, mtreply.Answered)
	table = b.apply(table, mtshard.Split{Point: order.Point()})
	late := b.order(1)
	late.ID[15] = 9
	assert.Equal(t, b.Serve(context.Background(), late).Outcome, mtreply.Answered)
	b.apply(table, mtshard.Merge{Low: order.Point()})
	late.ID[15] = 10
	assert.Equal(t, b.Serve(context.Background(), late).Outcome, mtreply.Answered)
	assert.Equal(t, b.Serve(context.Background(), order).Outcome, mtreply.Answered)
	assert.Equal(t, b.runs[order.ID.String()], 1, "it ran again")
}

// A shard came from a lost daemon. What may have taken that VM down runs alone
// and under a peer's eyes, which the marks on the request say.
func TestWhatIsExposed(t *testing.T) {
	tests := []struct {
		name    string
		class   mtid.Class
		age     time.Duration // of the identifier, over the takeover
		minted  bool
		after   time.Duration // of the request, over the takeover
		exposed bool
		suspect bool
	}{
		{"identifier from before", "status", time.Second, false, time.Second, true, true},
		{"identifier from before, made by the ingress", "status", time.Second, true, time.Second, true, false},
		{"identifier from before, not idempotent", "send", time.Second, false, time.Second, true, false},
		{"identifier from after", "status", -time.Second, false, 2 * time.Second, true, false},
		{"long after", "status", time.Second, false, time.Minute, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
			table := b.apply(mtshard.New(dispatch, 1, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{other}})
			b.apply(table, mtshard.Failover{Lost: []mtid.Holder{other}, Survivors: []mtid.Holder{self}})
			b.Adopt()
			r := b.order(1)
			r.ID = mtrequest.Mint(b.clock.Wall().Add(-tt.age), [10]byte{1})
			r.Class, r.Minted = tt.class, tt.minted
			b.clock.pass(tt.after)
			b.Serve(context.Background(), r)
			assert.Equal(t, r.RecentTakeover, tt.exposed)
			assert.Equal(t, r.Suspect, tt.suspect)
		})
	}
}
