package mtowner_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtshard"
)

// longest is how long a request may take here. It only ends a test that fails.
const longest = 20 * time.Second

// status returns a request that may be repeated, with an identifier of its own.
func (b *bench) status(chunk int, n byte) *mtrequest.Request {
	return &mtrequest.Request{
		ID: mtrequest.Mint(b.clock.Wall(), [10]byte{byte(chunk), n}), Minted: true, Service: dispatch, Key: key(chunk),
		Class: "status", Method: "GET", Deadline: mtclock.Instant(longest),
	}
}

// ran returns how many requests the backend server has begun.
func (b *bench) ran() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

func TestOnlyTheOwnerServes(t *testing.T) {
	later := mtid.Holder{Daemon: self.Daemon, Incarnation: self.Incarnation + 1}
	tests := []struct {
		name  string
		owner mtid.Holder // of the shard; zero for none
		ended bool        // the lease
		cause mtreply.Cause
	}{
		{"own shard", self, false, ""},
		{"another's shard", other, false, mtreply.CauseStaleRoute},
		{"a shard of another life of this daemon", later, false, mtreply.CauseStaleRoute},
		{"nobody's shard", mtid.Holder{}, false, mtreply.CauseNoOwner},
		{"own shard without a lease", self, true, mtreply.CauseNoLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			if !tt.owner.IsZero() {
				b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{tt.owner}})
			}
			if tt.ended {
				b.lease.end()
			}
			reply := b.Serve(context.Background(), b.status(0, 1))
			assert.Equal(t, reply.Cause, tt.cause)
			if tt.cause == "" {
				assert.Equal(t, b.ran(), 1)
				return
			}
			assert.Equal(t, reply.Outcome, mtreply.NotRun)
			assert.Equal(t, reply.Owner, tt.owner)
			assert.Equal(t, b.ran(), 0)
		})
	}
}

// A long request runs when the daemon's lease ends: a majority of its witnesses
// is cut off. Another daemon may own the key from now on, so the backend server
// is told to stop, and the caller hears that the outcome is unknown.
func TestRunEndsWithTheLease(t *testing.T) {
	b := newBench(t)
	b.block = make(chan struct{})
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	replies := make(chan *mtrequest.Reply, 1)
	go func() { replies <- b.Serve(context.Background(), b.status(0, 1)) }()
	b.begun(1)
	b.lease.end()
	reply := <-replies
	assert.Equal(t, reply.Outcome, mtreply.Unknown)
	assert.Equal(t, reply.Cause, mtreply.CauseGone, "ended by its deadline")
}

// begun waits until the backend server has begun so many requests.
func (b *bench) begun(n int) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.ran() >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d are begun", b.ran(), n)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// All slots are busy, and one more request waits at the gate. Meanwhile its
// shard goes to another daemon. When a slot gets free the request must not run
// here: the new owner may be running the key already.
func TestOwnershipIsLookedAtAgainAfterTheGate(t *testing.T) {
	const slots = 4 // that the bench announces
	b := newBench(t)
	b.block = make(chan struct{})
	table := b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	busy := make(chan *mtrequest.Reply, slots)
	for n := range slots {
		go func() { busy <- b.Serve(context.Background(), b.status(0, byte(n))) }()
	}
	b.begun(slots)
	waiting := make(chan *mtrequest.Reply, 1)
	go func() { waiting <- b.Serve(context.Background(), b.status(0, slots)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Counts(dispatch).Waiting == 1 {
			return poll.Success()
		}
		return poll.Continue("the request does not wait yet")
	}, poll.WithDelay(time.Millisecond))
	b.apply(table, mtshard.Move{Low: 0, To: other})
	b.block <- struct{}{}
	reply := <-waiting
	assert.Equal(t, reply.Outcome, mtreply.NotRun)
	assert.Equal(t, reply.Cause, mtreply.CauseStaleRoute)
	assert.Equal(t, reply.Owner, other)
	close(b.block)
	for range slots {
		assert.Equal(t, (<-busy).Outcome, mtreply.Answered)
	}
	assert.Equal(t, b.ran(), slots)
}
