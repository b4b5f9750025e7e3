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

// school is daemons that learn from each other.
type school struct {
	t     *testing.T
	store *mtstandin.Revisions
	open  sync.Map // of mtmesh.Learner, by address
	// starting says that no configuration is known yet.
	starting bool
}

// PullChanges implements the way to another daemon.
func (s *school) PullChanges(ctx context.Context, address string, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+time.Second)
	defer cancel()
	learner, ok := s.open.Load(address)
	if !ok {
		return mtforward.ChangesReply{}, &mtstore.UnavailableError{Op: "learn"}
	}
	return learner.(mtmesh.Learner).Teach(ctx, q)
}

// join adds a daemon that goes by a tree, and returns its directory.
func (s *school) join(n mtspread.Node, tree *mtspread.Tree) *mtdirectory.Directory {
	var directory atomic.Pointer[mtdirectory.Directory]
	learner := mtmesh.NewLearner(n, tree, s.store, s, directory.Load, !s.starting)
	s.open.Store(n.Address, learner)
	d, cleanUp := mtdirectory.New(mtdirectory.Config{
		Self: n.Daemon, Store: s.store, Clock: mttime.New(), Lease: time.Minute, Log: slog.New(slog.DiscardHandler), Source: learner,
	})
	directory.Store(d)
	s.t.Cleanup(cleanUp)
	return d
}

// write writes the record of a daemon that is no part of the school.
func (s *school) write(name mtid.Daemon) {
	value, err := mtbackend.Record{Daemon: name, Address: "x:1", Service: "maps", State: mtbackend.Unknown}.Encode()
	assert.NilError(s.t, err)
	_, err = s.store.Swap(context.Background(), mtstore.BackendName(name), 0, value, "")
	assert.NilError(s.t, err)
}

func node(name string, zone mtid.Zone) mtspread.Node {
	return mtspread.Node{Daemon: mtid.Daemon(name), Zone: zone, Address: name + ":1", Link: 10}
}

// The views of two daemons differ for a while, and each takes the other for the source.
// Both waited for what the other would tell, and heard of nothing as long as their
// questions waited.
func TestTwoThatTakeEachOtherForTheSourceStillHear(t *testing.T) {
	for name, zone := range map[string]mtid.Zone{"of two zones": "zone-2", "of one zone": "zone-1"} {
		t.Run(name, func(t *testing.T) {
			s := &school{t: t, store: mtstandin.NewRevisions(time.Now)}
			a, b := node("a", "zone-1"), node("b", zone)
			others := []mtspread.Node{node("0", "zone-0"), node("00", "zone-00")}
			alone := func(n, not mtspread.Node) *mtspread.Tree {
				wide := not
				wide.Link = 100
				return mtspread.New(append([]mtspread.Node{n, wide}, others...))
			}
			directories := []*mtdirectory.Directory{s.join(a, alone(a, b)), s.join(b, alone(b, a))}
			for i := range 20 {
				name := mtid.Daemon(fmt.Sprintf("record-%d", i))
				s.write(name)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					for _, d := range directories {
						if _, known := d.Now().Members[name]; !known {
							return poll.Continue("%s has not heard of %s", d.Self, name)
						}
					}
					return poll.Success()
				}, poll.WithTimeout(5*time.Second), poll.WithDelay(2*time.Millisecond))
			}
		})
	}
}

// The whole system starts, and the daemon to learn from does not hear of anything yet. All
// the others watched the store meanwhile, each woken by every record that was written.
func TestThoseWhoAreToLearnDoNotWatchAtAStart(t *testing.T) {
	var watches atomic.Int32
	s := &school{t: t, store: mtstandin.NewRevisions(time.Now), starting: true}
	s.write("first")
	s.store.Fail(func(op, _ string) error {
		if op == "watch" {
			watches.Add(1)
		}
		return nil
	})
	source, pupil := node("a", "zone"), node("c", "zone")
	tree := mtspread.New([]mtspread.Node{source, node("b", "zone"), pupil})
	learns := s.join(pupil, tree)
	hears := func(d *mtdirectory.Directory, name mtid.Daemon) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, known := d.Now().Members[name]; known {
				return poll.Success()
			}
			return poll.Continue("not heard of %s yet", name)
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(2*time.Millisecond))
	}
	hears(learns, "first")
	read := watches.Load()
	s.join(source, tree)
	s.write("second")
	hears(learns, "second")
	assert.Assert(t, read <= 1, "the store was watched %d times before anybody heard of anything", read)
}
