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

var errFull = errors.New("no room")

// member is a mover with a gate and a memory that note what they are told.
type member struct {
	*mtmover.Mover
	t       *testing.T
	view    *mtview.View
	events  chan string
	refuses atomic.Bool // imports
}

// Stop implements the gates. Nothing is in flight, so the range is quiet.
func (m *member) Stop(ref mtid.Ref, low, high mtid.Point) {
	m.note("stop")
	m.Quiet(ref, low, high)
}

// Resume implements the gates.
func (m *member) Resume(mtid.Ref, mtid.Point, mtid.Point) { m.note("resume") }

// Release implements the gates. It notes who owns the shard by this daemon's
// own copy: a held request that is sent on goes by that.
func (m *member) Release(ref mtid.Ref, low, _ mtid.Point) {
	shard, _ := m.view.Snapshot().Lookup(ref, low)
	m.note("release to " + string(shard.Owner.Daemon))
}

// Export implements the memory.
func (m *member) Export(mtid.Ref, mtid.Point, mtid.Point) ([]byte, error) { return []byte("seen"), nil }

// Import implements the memory.
func (m *member) Import(_ mtid.Ref, _, _ mtid.Point, from mtid.Holder, value []byte) error {
	if m.refuses.Load() {
		return errFull
	}
	m.note(fmt.Sprintf("import %s of %s", value, from.Daemon))
	return nil
}

// note keeps an event. What nobody waits for must not hold the duty up.
func (m *member) note(event string) {
	select {
	case m.events <- event:
	default:
	}
}

// hears waits for the next event, which must be want.
func (m *member) hears(want string) {
	m.t.Helper()
	select {
	case got := <-m.events:
		assert.Equal(m.t, got, want)
	case <-time.After(20 * time.Second):
		m.t.Fatalf("got nothing, want %q", want)
	}
}

// pair is two daemons that share a store; a owns everything.
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
		Stamp: func() mtroster.WriteID {
			return mtroster.WriteID{Writer: self, Sequence: sequence.Add(1)}
		},
		View: m.view, Store: p.store, Gates: m, Recents: m, Conns: client, Clock: mttime.New(),
		Offers: func() []mtroster.Offer { return offers }, Log: slog.New(slog.DiscardHandler),
		Count: func(string) {}, Stopped: func(time.Duration) {}, Refresh: func() {},
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

// owner returns the owner of everything in the store.
func (p *pair) owner(t *testing.T) mtid.Holder {
	t.Helper()
	entry, err := p.store.Get(context.Background(), mtstore.ShardName(ref, 0))
	assert.NilError(t, err)
	table, err := mtshard.Decode(entry.Value)
	assert.NilError(t, err)
	return table.Shards[0].Owner
}

// The planner, on another daemon, asks for a move. The new owner has the memory
// before it is named, and both copies name it before what was held is sent on.
func TestMoveByPlan(t *testing.T) {
	p := newPair(t)
	assert.NilError(t, p.b.Move(context.Background(), a, ref, 0, b))
	p.a.hears("stop")
	p.b.hears("import seen of a")
	p.a.hears("release to b")
	assert.Equal(t, p.owner(t), b)
	shard, _ := p.b.view.Snapshot().Lookup(ref, 0)
	assert.Equal(t, shard.Owner, b)
}

// The write of a move takes effect and its answer is lost. The old owner must
// not serve on: the store names another. It writes again, is refused, and learns.
func TestLostAnswerDoesNotResume(t *testing.T) {
	p := newPair(t)
	p.store.SetFaults(iostore.Faults{LoseAnswers: true, Times: 1})
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.hears("stop")
	p.a.hears("release to b")
	assert.Equal(t, p.owner(t), b)
}

// The store does not take the write. Nothing was written and nothing will be, so
// the shard goes on where it is.
func TestStoreDownResumes(t *testing.T) {
	p := newPair(t)
	p.store.SetFaults(iostore.Faults{Down: true})
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.hears("stop")
	p.a.hears("resume")
	p.store.SetFaults(iostore.Faults{})
	assert.Equal(t, p.owner(t), a)
}

// The new owner has no room for the recent identifiers. Named all the same, it
// would run a resend a second time.
func TestRefusedHandoverResumes(t *testing.T) {
	p := newPair(t)
	p.b.refuses.Store(true)
	assert.NilError(t, p.a.Move(context.Background(), a, ref, 0, b))
	p.a.hears("stop")
	p.a.hears("resume")
	assert.Equal(t, p.owner(t), a)
}

// The new owner was replaced while a handover was on its way to it. The new life
// must refuse what is meant for the former one: it would be named as an owner
// that does not exist any more.
func TestHandoverToAnEarlierLifeIsRefused(t *testing.T) {
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

func TestWishesThatDoNotFit(t *testing.T) {
	p := newPair(t)
	tests := []struct {
		name  string
		owner mtid.Holder
		low   mtid.Point
		to    mtid.Holder
	}{
		{"to a daemon that nobody knows", a, 0, mtid.Holder{Daemon: "x", Incarnation: 1}},
		{"to an earlier life", a, 0, mtid.Holder{Daemon: "b", Incarnation: 7}},
		{"of no shard", a, 5, b},
		{"asked of who is not the owner", b, 0, a},
		{"asked of another life", mtid.Holder{Daemon: "a", Incarnation: 9}, 0, b},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := p.b.Move(context.Background(), tt.owner, ref, tt.low, tt.to)
			assert.Assert(t, err != nil)
			assert.Equal(t, len(p.a.events), 0)
		})
	}
}

// A daemon is told to stop. It hands over what it owns; the last of all, with
// nobody left to take over, must not wait until its time is up.
func TestLeaving(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, p.a.Leave(ctx))
	assert.Equal(t, p.owner(t), b)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if shard, _ := p.b.view.Snapshot().Lookup(ref, 0); shard.Owner == b {
			return poll.Success()
		}
		return poll.Continue("the new owner does not know yet")
	})
	gone := mtroster.Record{Holder: a, State: mtroster.Gone}
	value, err := gone.Encode()
	assert.NilError(t, err)
	_, err = p.b.view.ApplyWrite(mtview.Item{Name: mtstore.RosterName("a"), Version: 2, Value: value})
	assert.NilError(t, err)
	var left *mtmover.LeaveError
	assert.Assert(t, errors.As(p.b.Leave(ctx), &left))
	assert.Equal(t, left.Owned, 1)
}
