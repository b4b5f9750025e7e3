package mtmesh_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtspread"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// Guards against a daemon that is passed over for good because it was frozen once, and against calls without end to
// the address of a record behind which nobody is.
func TestSilentDaemonIsPassedOverUntilItAnswers(t *testing.T) {
	var answers atomic.Bool
	var asked atomic.Int32
	silent, suspect, stop := mtmesh.NewSilentPeers(slog.New(slog.DiscardHandler), func(ctx context.Context, _ mtspread.Node) error {
		asked.Add(1)
		if answers.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	})
	defer stop()
	ghost := node("ghost", "zone")
	await := func(want bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if silent(ghost.Address) == want {
				return poll.Success()
			}
			return poll.Continue("passed over: %v", !want)
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	}
	assert.Assert(t, !silent(ghost.Address))
	for range 10 {
		suspect(ghost)
	}
	await(true)
	assert.Assert(t, asked.Load() <= 3, "%d calls", asked.Load())
	answers.Store(true)
	await(false)
	suspect(ghost)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if asked.Load() >= 4 {
			return poll.Success()
		}
		return poll.Continue("it isn't checked again")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	assert.Assert(t, !silent(ghost.Address))
}

// Guards against a daemon that restarts, whose VM refuses connections meanwhile, and is passed over.
func TestDaemonThatFailsAtOnceIsNotPassedOver(t *testing.T) {
	var asked atomic.Int32
	silent, suspect, stop := mtmesh.NewSilentPeers(slog.New(slog.DiscardHandler), func(context.Context, mtspread.Node) error {
		asked.Add(1)
		return errors.New("refused")
	})
	defer stop()
	restarting := node("a", "zone")
	for n := range int32(5) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			suspect(restarting)
			if asked.Load() > n {
				return poll.Success()
			}
			return poll.Continue("it isn't asked")
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
		assert.Assert(t, !silent(restarting.Address))
	}
}

// countingPeers counts the pulls at each address. Nobody answers them.
type countingPeers struct{ pulls sync.Map }

// PullChanges implements the client of a feed.
func (p *countingPeers) PullChanges(ctx context.Context, address string, _ mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	p.pulls.Store(address, true)
	<-ctx.Done()
	return mtforward.ChangesReply{}, ctx.Err()
}

// Guards against a daemon that waits for changes at the address of a record behind which nobody answers, while the
// store would answer.
func TestNoChangesAreAwaitedWhereNobodyAnswers(t *testing.T) {
	store, peers := mtstandin.NewRevisionStore(time.Now), &countingPeers{}
	self, ghosts := node("a", "zone-0"), []mtspread.Node{node("ghost-0", "zone-0"), node("ghost-1", "zone-1")}
	for i := range ghosts {
		ghosts[i].Link = 1000
	}
	var directory atomic.Pointer[mtdirectory.Directory]
	feed := mtmesh.NewFeed(self, mtspread.New(append(ghosts, self)), store, peers, directory.Load, true)
	defer feed.CheckPeers(func(ctx context.Context, _ mtspread.Node) error {
		<-ctx.Done()
		return ctx.Err()
	})()
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: self.Daemon, Store: store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler), Source: feed,
	})
	defer cleanUp()
	directory.Store(d)
	for range 3 {
		mark := store.Put("mark", nil)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if uint64(d.View().Revision) >= uint64(mark) {
				return poll.Success()
			}
			return poll.Continue("the change has not arrived")
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	}
	for _, ghost := range ghosts {
		_, pulled := peers.pulls.Load(ghost.Address)
		assert.Assert(t, !pulled, "changes were awaited at %s", ghost.Address)
	}
}
