package mtmesh_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtbackend"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mtmesh"
	"magnoliaturn/io/mtstandin"
	"magnoliaturn/io/mttime"
)

// cluster is a set of daemons that pull changes from each other.
type cluster struct {
	t     *testing.T
	store *mtstandin.RevisionStore
	feeds sync.Map // of mtmesh.Feed, by address
	// starting is set if no configuration is in force yet.
	starting bool
}

// PullChanges passes a pull directly to the feed of the daemon at the address.
func (c *cluster) PullChanges(ctx context.Context, address string, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+time.Second)
	defer cancel()
	feed, ok := c.feeds.Load(address)
	if !ok {
		return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "learn"}
	}
	return feed.(mtmesh.Feed).Serve(ctx, q)
}

// join adds a daemon that uses the given tree, and returns its directory.
func (c *cluster) join(n mtspread.Node, tree *mtspread.Tree) *mtdirectory.Directory {
	var directory atomic.Pointer[mtdirectory.Directory]
	feed := mtmesh.NewFeed(n, tree, c.store, c, directory.Load, !c.starting)
	c.feeds.Store(n.Address, feed)
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: n.Daemon, Store: c.store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler), Source: feed,
	})
	directory.Store(d)
	c.t.Cleanup(cleanUp)
	return d
}

// write writes the record of a daemon outside the cluster.
func (c *cluster) write(name mtid.Daemon) {
	value, err := mtbackend.Record{Daemon: name, Address: "192.0.2.1:1", Service: "maps", State: mtbackend.Unknown}.Encode()
	assert.NilError(c.t, err)
	record, registration := mtstore.BackendName(0, name), mtstore.RegistrationName(0, name)
	_, err = c.store.Commit(context.Background(), []mtstore.Condition{{Name: record}}, mtstore.Put{Name: record, Value: value}, mtstore.Put{Name: registration, Value: []byte(name)})
	assert.NilError(c.t, err)
}

func node(name string, zone mtid.Zone) mtspread.Node {
	return mtspread.Node{Daemon: mtid.Daemon(name), Zone: zone, Address: name + ":1", Link: 10}
}

// The views of two daemons differ for a while, and each considers the other a watcher. If
// each waited for the other's changes, both would receive none until their pulls time out.
func TestMutualUpstreamsStillReceiveChanges(t *testing.T) {
	for name, zone := range map[string]mtid.Zone{"in two zones": "zone-2", "in one zone": "zone-1"} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{t: t, store: mtstandin.NewRevisionStore(time.Now)}
			a, b := node("a", "zone-1"), node("b", zone)
			others := []mtspread.Node{node("0", "zone-0"), node("00", "zone-00")}
			viewOf := func(self, watcher mtspread.Node) *mtspread.Tree {
				fast := watcher
				fast.Link = 100
				return mtspread.New(append([]mtspread.Node{self, fast}, others...))
			}
			directories := []*mtdirectory.Directory{c.join(a, viewOf(a, b)), c.join(b, viewOf(b, a))}
			for i := range 20 {
				name := mtid.Daemon(fmt.Sprintf("record-%d", i))
				c.write(name)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					for _, d := range directories {
						if _, known := d.View().Members[name]; !known {
							return poll.Continue("%s has not received the record of %s yet", d.Self, name)
						}
					}
					return poll.Success()
				}, poll.WithTimeout(5*time.Second), poll.WithDelay(2*time.Millisecond))
			}
		})
	}
}

// When the whole system starts, the upstream receives no changes yet. If all other daemons
// watched the store meanwhile, each would be woken by every record that is written.
func TestPullingDaemonsDoNotWatchAtStartup(t *testing.T) {
	var watches atomic.Int32
	c := &cluster{t: t, store: mtstandin.NewRevisionStore(time.Now), starting: true}
	c.write("first")
	c.store.Fail(func(op, _ string) error {
		if op == "watch" {
			watches.Add(1)
		}
		return nil
	})
	watcher, member := node("a", "zone"), node("c", "zone")
	tree := mtspread.New([]mtspread.Node{watcher, node("b", "zone"), member})
	directory := c.join(member, tree)
	waitFor := func(d *mtdirectory.Directory, name mtid.Daemon) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, known := d.View().Members[name]; known {
				return poll.Success()
			}
			return poll.Continue("the record of %s has not been received yet", name)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	}
	waitFor(directory, "first")
	read := watches.Load()
	c.join(watcher, tree)
	c.write("second")
	waitFor(directory, "second")
	assert.Assert(t, read <= 1, "the store was watched %d times before any daemon received changes", read)
}

// Guards against a daemon that reports a configuration and hands over an older one, because its
// copy has followed a store that came back from an older copy.
func TestNewestConfigurationIsHandedOver(t *testing.T) {
	c := &cluster{t: t, store: mtstandin.NewRevisionStore(time.Now)}
	c.store.Put("op/routes", []byte("older"))
	copied := c.store.Copy()
	watcher := node("a", "zone")
	directory := c.join(watcher, mtspread.New([]mtspread.Node{watcher}))
	waitFor := func(what string, done func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if done() {
				return poll.Success()
			}
			return poll.Continue("%s", what)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	}
	pull := func(after mtid.Revision) (values []string) {
		reply, err := c.PullChanges(t.Context(), watcher.Address, mtforward.ChangesRequest{After: after})
		assert.NilError(t, err)
		for _, e := range reply.Changes.Entries {
			values = append(values, string(e.Value))
		}
		return values
	}
	known := func(value string) func() bool {
		return func() bool {
			changes, _ := directory.ChangesSince(0, nil)
			return len(changes.Entries) == 1 && string(changes.Entries[0].Value) == value
		}
	}
	waitFor("the first configuration is known", known("older"))
	feed, _ := c.feeds.Load(watcher.Address)
	older, _ := directory.ChangesSince(0, nil)
	c.store.Put("op/routes", []byte("newest"))
	waitFor("the second configuration is known", known("newest"))
	newest, _ := directory.ChangesSince(0, nil)
	feed.(mtmesh.Feed).OfferConfiguration(map[mtid.Version]mtstore.Entry{7: older.Entries[0], 12: newest.Entries[0]})
	c.store.StepBack(copied)
	waitFor("the copy has followed the store", known("older"))
	assert.DeepEqual(t, pull(0), []string{"newest"})
	assert.DeepEqual(t, pull(directory.View().Revision), []string(nil))
}

// Guards against a newest configuration that is lost because only daemons far from the store still have it, and against everything else being sent with it.
func TestEveryDaemonHandsOverNewestConfiguration(t *testing.T) {
	c := &cluster{t: t, store: mtstandin.NewRevisionStore(time.Now)}
	member := node("c", "zone")
	tree := mtspread.New([]mtspread.Node{node("a", "zone"), node("b", "zone"), member})
	feed := mtmesh.NewFeed(member, tree, c.store, c, func() *mtdirectory.Directory { return nil }, true)
	c.feeds.Store(member.Address, feed)
	_, err := c.PullChanges(t.Context(), member.Address, mtforward.ChangesRequest{})
	assert.ErrorContains(t, err, "does not watch the store")
	pull := func(known mtid.Version) []mtstore.Entry {
		reply, err := c.PullChanges(t.Context(), member.Address, mtforward.ChangesRequest{Configuration: true, Known: known})
		assert.NilError(t, err)
		return reply.Changes.Entries
	}
	assert.Equal(t, len(pull(0)), 0)
	newest := mtstore.Entry{Name: "op/routes", Value: []byte("newest"), Version: 3}
	feed.OfferConfiguration(map[mtid.Version]mtstore.Entry{12: newest})
	assert.DeepEqual(t, pull(0), []mtstore.Entry{newest})
	assert.DeepEqual(t, pull(11), []mtstore.Entry{newest})
	assert.Equal(t, len(pull(12)), 0)
}
