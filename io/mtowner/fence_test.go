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

// requestTimeout is reached only in a test that fails.
const requestTimeout = 20 * time.Second

// statusRequest returns an idempotent request, whose identifier depends on chunk and
// n.
func (b *harness) statusRequest(chunk int, n byte) *mtrequest.Request {
	return &mtrequest.Request{
		ID: mtrequest.Mint(b.clock.Wall(), [10]byte{byte(chunk), n}), Minted: true, Service: dispatch, Key: key(chunk),
		Class: "status", Method: "GET", Deadline: mtclock.Instant(requestTimeout),
	}
}

// runCount returns the number of requests that the backend server has started to
// run.
func (b *harness) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

func TestOnlyOwnerWithLeaseServes(t *testing.T) {
	later := mtid.Holder{Daemon: self.Daemon, Incarnation: self.Incarnation + 1}
	tests := []struct {
		name  string
		owner mtid.Holder // owner of the shard; zero for none
		ended bool        // whether the lease has ended
		cause mtreply.Cause
	}{
		{"own shard", self, false, ""},
		{"shard of another daemon", other, false, mtreply.CauseStaleRoute},
		{"shard of another incarnation of this daemon", later, false, mtreply.CauseStaleRoute},
		{"shard without an owner", mtid.Holder{}, false, mtreply.CauseNoOwner},
		{"own shard without a lease", self, true, mtreply.CauseNoLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newHarness(t)
			if !tt.owner.IsZero() {
				b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{tt.owner}})
			}
			if tt.ended {
				b.lease.end()
			}
			reply := b.Serve(context.Background(), b.statusRequest(0, 1))
			assert.Equal(t, reply.Cause, tt.cause)
			if tt.cause == "" {
				assert.Equal(t, b.runCount(), 1)
				return
			}
			assert.Equal(t, reply.Outcome, mtreply.NotRun)
			assert.Equal(t, reply.Owner, tt.owner)
			assert.Equal(t, b.runCount(), 0)
		})
	}
}

// The daemon loses its lease while a long request runs, since a majority of its
// witnesses is unreachable. Another daemon may own the key from then on, so the run
// is canceled and its outcome is unknown.
func TestEndOfLeaseCancelsRun(t *testing.T) {
	b := newHarness(t)
	b.block = make(chan struct{})
	b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	replies := make(chan *mtrequest.Reply, 1)
	go func() { replies <- b.Serve(context.Background(), b.statusRequest(0, 1)) }()
	b.waitForRuns(1)
	b.lease.end()
	reply := <-replies
	assert.Equal(t, reply.Outcome, mtreply.Unknown)
	assert.Equal(t, reply.Cause, mtreply.CauseGone, "want the run canceled by the lease check, not by its deadline")
}

// waitForRuns waits until the backend server has started to run n requests.
func (b *harness) waitForRuns(n int) {
	b.t.Helper()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		if b.runCount() >= n {
			return poll.Success()
		}
		return poll.Continue("%d of %d requests have started", b.runCount(), n)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// All slots are busy and one more request waits at the gate when its shard moves to
// another daemon. Once a slot is free the request must not run here, since the new
// owner may already be running the key.
func TestOwnershipIsRecheckedAfterAdmission(t *testing.T) {
	const slots = 4 // as announced by the harness
	b := newHarness(t)
	b.block = make(chan struct{})
	table := b.apply(mtshard.New(dispatch, 0, 2), mtshard.Create{Shards: 1, Holders: []mtid.Holder{self}})
	busy := make(chan *mtrequest.Reply, slots)
	for n := range slots {
		go func() { busy <- b.Serve(context.Background(), b.statusRequest(0, byte(n))) }()
	}
	b.waitForRuns(slots)
	waiting := make(chan *mtrequest.Reply, 1)
	go func() { waiting <- b.Serve(context.Background(), b.statusRequest(0, slots)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.Counts(dispatch).Waiting == 1 {
			return poll.Success()
		}
		return poll.Continue("the request is not waiting at the gate yet")
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
	assert.Equal(t, b.runCount(), slots)
}
