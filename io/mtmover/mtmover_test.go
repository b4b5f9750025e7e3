package mtmover_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtrelay"
	iostore "magnoliaturn/io/mtstore"
	"magnoliaturn/io/mttime"
)

var (
	ref = mtid.Ref{Business: "ratins", Service: "dispatch"}
	a   = mtid.Holder{Daemon: "a", Incarnation: 1}
	b   = mtid.Holder{Daemon: "b", Incarnation: 1}
)

var errFull = errors.New("no capacity for recent identifiers")

// member is a Mover whose gates and recent identifiers are fakes that record calls.
type member struct {
	*mtmover.Mover
	t       *testing.T
	view    *mtview.View
	events  chan string
	refuses atomic.Bool // whether Import fails
}

// Stop implements gates. No request is in flight, so the range is idle at once.
func (m *member) Stop(ref mtid.Ref, low, high mtid.Point) {
	m.note("stop")
	m.RangeIdle(ref, low, high)
}

// Resume implements gates.
func (m *member) Resume(mtid.Ref, mtid.Point, mtid.Point) { m.note("resume") }

// Release implements gates. It records the owner of the shard in this daemon's view,
// since that determines where the requests that were held back are forwarded.
func (m *member) Release(ref mtid.Ref, low, _ mtid.Point) {
	shard, _ := m.view.Snapshot().Lookup(ref, low)
	m.note("release to " + string(shard.Owner.Daemon))
}

// Export implements recents.
func (m *member) Export(mtid.Ref, mtid.Point, mtid.Point) ([]byte, error) { return []byte("seen"), nil }

// Import implements recents.
func (m *member) Import(_ mtid.Ref, _, _ mtid.Point, from mtid.Holder, value []byte) error {
	if m.refuses.Load() {
		return errFull
	}
	m.note(fmt.Sprintf("import %s of %s", value, from.Daemon))
	return nil
}

// note records an event, or drops it if the channel is full, so that events that no
// test waits for do not block the mover.
func (m *member) note(event string) {
	select {
	case m.events <- event:
	default:
	}
}

// expect waits for the next event, which must be want.
func (m *member) expect(want string) {
	m.t.Helper()
	select {
	case got := <-m.events:
		assert.Equal(m.t, got, want)
	case <-time.After(20 * time.Second):
		m.t.Fatalf("got no event, want %q", want)
	}
}

// pair is two daemons that share a store. Daemon a owns the only shard.
type pair struct {
	store *iostore.Memory
	a, b  *member
}

func newPair(t *testing.T) *pair {
	p := &pair{store: iostore.NewMemory(time.Now)}
	table, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 1, Holders: []mtid.Holder{a}})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	p.put(t, mtstore.ShardName(ref, 0), value)
	p.a, p.b = p.member(t, a), p.member(t, b)
	for _, m := range []*member{p.a, p.b} {
		changes, err := p.store.Watch(context.Background(), mtstore.LivePrefix, 0, 0)
		assert.NilError(t, err)
		_, err = m.view.Merge(mtview.FromStore(0, changes))
		assert.NilError(t, err)
	}
	return p
}

func (p *pair) put(t *testing.T, name string, value []byte) {
	t.Helper()
	_, err := p.store.Swap(context.Background(), name, 0, value, "")
	assert.NilError(t, err)
}

func (p *pair) member(t *testing.T, self mtid.Holder) *member {
	t.Helper()
	m := &member{t: t, view: mtview.New(), events: make(chan string, 64)}
	client, closeClient := mtrelay.NewClient(insecure.NewCredentials(), 1<<16)
	t.Cleanup(closeClient)
	var sequence atomic.Uint64
	offers := []mtroster.Offer{{Service: ref, Slots: 4, Connections: 4}}
	mover, cleanUp := mtmover.New(mtmover.Config{
		Self: func() mtid.Holder { return self },
		NewWriteID: func() mtroster.WriteID {
			return mtroster.WriteID{Writer: self, Sequence: sequence.Add(1)}
		},
		View: m.view, Store: p.store, Gates: m, RecentIDs: m, Conns: client, Clock: mttime.New(),
		Offers: func() []mtroster.Offer { return offers }, Log: slog.New(slog.DiscardHandler),
		Count: func(string) {}, RecordStopTime: func(time.Duration) {}, Refresh: func() {},
	})
	t.Cleanup(sync.OnceFunc(cleanUp))
	m.Mover = mover
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	mover.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	record := mtroster.Record{Holder: self, RelayAddress: listener.Addr().String(), Offers: offers}
	value, err := record.Encode()
	assert.NilError(t, err)
	p.put(t, mtstore.RosterName(self.Daemon), value)
	return m
}

// owner returns the owner of the only shard according to the store.
func (p *pair) owner(t *testing.T) mtid.Holder {
	t.Helper()
	entry, err := p.store.Get(context.Background(), mtstore.ShardName(ref, 0))
	assert.NilError(t, err)
	table, err := mtshard.Decode(entry.Value)
	assert.NilError(t, err)
	return table.Shards[0].Owner
}

// A planner on another daemon requests a move. The new owner must have the recent
// identifiers before the table names it, and the views of both daemons must name it
// before the requests that were held back are released.
func TestMoveRequestedByPeer(t *testing.T) {
	p := newPair(t)
	assert.NilError(t, p.b.Move(context.Background(), a, ref, 0, b))
	p.a.expect("stop")
	p.b.expect("import seen of a")
	p.a.expect("release to b")
	assert.Equal(t, p.owner(t), b)
	shard, _ := p.b.view.Snapshot().Lookup(ref, 0)
	assert.Equal(t, shard.Owner, b)
}

// The write of a move takes effect but its reply is lost. The previous owner must not
// resume the shard, since the store has another owner. It repeats the write, which
// conflicts, and reads the table.
func TestLostWriteReplyDoesNotResume(t *testing.T) {
	p := newPair(t)
	p.store.SetFaults(iostore.Faults{LoseAnswers: true, Times: 1})
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.expect("stop")
	p.a.expect("release to b")
	assert.Equal(t, p.owner(t), b)
}

// The store is unavailable and does not accept the write. As the write can't take
// effect later either, the shard must be resumed at its owner.
func TestUnavailableStoreResumes(t *testing.T) {
	p := newPair(t)
	p.store.SetFaults(iostore.Faults{Down: true})
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.expect("stop")
	p.a.expect("resume")
	p.store.SetFaults(iostore.Faults{})
	assert.Equal(t, p.owner(t), a)
}

// The new owner refuses the recent identifiers for lack of capacity. If it became the
// owner nevertheless, it would run a resent request a second time.
func TestRefusedHandoverResumes(t *testing.T) {
	p := newPair(t)
	p.b.refuses.Store(true)
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.expect("stop")
	p.a.expect("resume")
	assert.Equal(t, p.owner(t), a)
}

// The new owner restarts while a handover to it is in transit. Its new incarnation
// must refuse the handover, or the table would name the previous incarnation, which
// no longer exists, as the owner.
func TestHandoverToPreviousIncarnationIsRefused(t *testing.T) {
	p := newPair(t)
	record, _, _ := p.a.view.Snapshot().Record("b")
	conn, err := grpc.NewClient("passthrough:///"+record.RelayAddress, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	reply, err := mtwire.NewMoverClient(conn).Handover(context.Background(), &mtwire.HandoverRequest{
		Business: "ratins", Service: "dispatch", From: mtroster.HolderToWire(a),
		To: mtroster.HolderToWire(mtid.Holder{Daemon: "b", Incarnation: 7}),
	})
	assert.NilError(t, err)
	assert.Assert(t, !reply.GetTaken())
	assert.Equal(t, len(p.b.events), 0)
}

// A move is requested with outdated or wrong arguments. It must be refused before the
// shard is stopped.
func TestInvalidMoveRequestsAreRefused(t *testing.T) {
	p := newPair(t)
	tests := []struct {
		name  string
		owner mtid.Holder
		low   mtid.Point
		to    mtid.Holder
	}{
		{"new owner is not in the roster", a, 0, mtid.Holder{Daemon: "x", Incarnation: 1}},
		{"new owner is a previous incarnation", a, 0, mtid.Holder{Daemon: "b", Incarnation: 7}},
		{"no shard begins at this point", a, 5, b},
		{"request sent to a daemon that is not the owner", b, 0, a},
		{"request names another incarnation of the owner", mtid.Holder{Daemon: "a", Incarnation: 9}, 0, b},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := p.b.Move(context.Background(), tt.owner, ref, tt.low, tt.to)
			assert.Assert(t, err != nil)
			assert.Equal(t, len(p.a.events), 0)
		})
	}
}

// A daemon that shuts down hands over its shards. The last daemon, without another
// one that could own them, must return at once instead of waiting for its timeout.
func TestLeaveHandsOverShards(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, p.a.Leave(ctx))
	assert.Equal(t, p.owner(t), b)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if shard, _ := p.b.view.Snapshot().Lookup(ref, 0); shard.Owner == b {
			return poll.Success()
		}
		return poll.Continue("the view of the new owner does not have the move yet")
	})
	removed := mtroster.Record{Holder: a, State: mtroster.Gone}
	value, err := removed.Encode()
	assert.NilError(t, err)
	_, err = p.b.view.ApplyWrite(mtview.Item{Name: mtstore.RosterName("a"), Version: 2, Value: value})
	assert.NilError(t, err)
	var leaveErr *mtmover.LeaveError
	assert.Assert(t, errors.As(p.b.Leave(ctx), &leaveErr))
	assert.Equal(t, leaveErr.Owned, 1)
}
