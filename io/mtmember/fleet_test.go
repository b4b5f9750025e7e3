package mtmember_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	core "magnoliaturn/core/mtmember"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwitness"
	"magnoliaturn/io/mtmember"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mttime"
)

var ref = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// fakeStore is an in-memory platform store that can be down or lose responses. It
// also serves as the live state of its fleet, propagated without delay.
type fakeStore struct {
	mu          sync.Mutex
	entries     map[string]mtstore.Entry
	revision    mtid.Revision
	down        bool
	lostAnswers int // number of upcoming writes whose responses are lost
	writes      int
	reads       int

	records []*mtroster.Record
	tables  []*mtshard.Table
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]mtstore.Entry)} }

func (s *fakeStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return mtstore.Entry{}, &mtstore.UnavailableError{Op: "get"}
	}
	entry, ok := s.entries[name]
	if !ok {
		return mtstore.Entry{}, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

func (s *fakeStore) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return 0, &mtstore.UnavailableError{Op: "swap"}
	}
	current := s.entries[name]
	if current.Version != expected {
		return 0, &mtstore.ConflictError{Name: name, Expected: expected, Current: current}
	}
	s.revision++
	s.entries[name] = mtstore.Entry{Name: name, Value: value, Version: expected + 1, Revision: s.revision}
	s.decode()
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, &mtstore.UnknownError{Op: "swap", Name: name}
	}
	return expected + 1, nil
}

func (*fakeStore) Watch(context.Context, string, mtid.Revision, time.Duration) (mtstore.Changes, error) {
	return mtstore.Changes{}, &mtstore.UnavailableError{Op: "watch"}
}

func (*fakeStore) Grant(context.Context, time.Duration) (mtstore.LeaseID, error) {
	return "", &mtstore.UnavailableError{Op: "grant"}
}

func (*fakeStore) Renew(context.Context, mtstore.LeaseID) error {
	return &mtstore.UnavailableError{Op: "renew"}
}

func (s *fakeStore) decode() {
	s.records, s.tables = nil, nil
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(name, mtstore.RosterPrefix) {
			if r, err := mtroster.Decode(s.entries[name].Value); err == nil {
				s.records = append(s.records, r)
			}
			continue
		}
		if t, err := mtshard.Decode(s.entries[name].Value); err == nil {
			s.tables = append(s.tables, t)
		}
	}
}

func (s *fakeStore) Roster() []*mtroster.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

func (s *fakeStore) Tables() []*mtshard.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables
}

func (s *fakeStore) Record(d mtid.Daemon) (*mtroster.Record, mtid.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if r.Holder.Daemon == d {
			return r, s.entries[mtstore.RosterName(d)].Version, true
		}
	}
	return nil, 0, false
}

func (s *fakeStore) Frontier() mtid.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *fakeStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func (s *fakeStore) set(f func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// create writes a table that distributes shards among all registered daemons.
func (s *fakeStore) create(t testing.TB, shards int) {
	t.Helper()
	var holders []mtid.Holder
	for _, r := range s.Roster() {
		holders = append(holders, r.Holder)
	}
	table, err := mtshard.New(ref, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: shards, Holders: holders})
	assert.NilError(t, err)
	value, err := table.Encode()
	assert.NilError(t, err)
	_, err = s.Swap(t.Context(), mtstore.ShardName(ref, 0), 0, value, "")
	assert.NilError(t, err)
}

// node is one daemon process of a fleet.
type node struct {
	name    mtid.Daemon
	zone    mtid.Zone
	renewer *mtrenew.Renewer
	member  *mtmember.Member
	stop    func()
}

type fleet struct {
	t     testing.TB
	store *fakeStore
	clock *mttime.Clock
	nodes []*node

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// newFleet starts n daemons in three availability zones.
func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: newFakeStore(), clock: mttime.New(), conns: make(map[string]*grpc.ClientConn)}
	zones := []mtid.Zone{"old-town", "centrs", "kipsala"}
	for i := range n {
		node := &node{name: mtid.Daemon(fmt.Sprintf("%s-%d", zones[i%3], i/3)), zone: zones[i%3]}
		f.nodes = append(f.nodes, node)
		f.start(node)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
		for _, c := range f.conns {
			_ = c.Close()
		}
	})
	return f
}

func (f *fleet) dial(address string) (grpc.ClientConnInterface, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err == nil {
		f.conns[address] = c
	}
	return c, err
}

// start starts a process of a daemon at new addresses.
func (f *fleet) start(n *node) {
	f.t.Helper()
	renewer, stopRenewer, err := mtrenew.New(mtrenew.Config{
		Self: n.name, Listen: "127.0.0.1:0", Secret: []byte("test"), Clock: f.clock, View: f.store,
	})
	assert.NilError(f.t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	server := grpc.NewServer()
	renewer.ServeOn(server)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	member, stopMember := mtmember.New(mtmember.Config{
		Profile: core.Profile{
			Daemon: n.name, Zone: n.zone, Region: "riga", RelayAddress: listener.Addr().String(), RenewAddress: renewer.Address(),
		},
		Store: f.store, View: f.store, Lease: renewer, Clock: f.clock, Dial: f.dial,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	member.SetOffers([]mtroster.Offer{{Service: ref, Slots: 12}})
	n.renewer, n.member = renewer, member
	n.stop = sync.OnceFunc(func() {
		server.Stop()
		<-served
		stopMember()
		stopRenewer()
	})
}

func (f *fleet) wait(what string, check func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *fleet) serving(n *node) bool { return f.clock.Now().Before(n.renewer.Until()) }

func (f *fleet) waitServing() {
	f.t.Helper()
	f.wait("all daemons to serve", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool { return !f.serving(n) })
	})
}

// waitSettled waits until each daemon serves with a full set of witnesses, so that
// it keeps a majority if one is lost.
func (f *fleet) waitSettled() {
	f.t.Helper()
	f.waitServing()
	f.wait("all daemons to have a full set of witnesses", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *node) bool {
			r, _, ok := f.store.Record(n.name)
			return !ok || r.Holder != n.member.Holder() || len(r.Witnesses) < mtwitness.SetSize
		})
	})
	f.waitServing()
}

// owns reports whether the stored tables give any shard to h.
func (f *fleet) owns(h mtid.Holder) bool {
	return slices.ContainsFunc(f.store.Tables(), func(t *mtshard.Table) bool { return len(t.OwnedBy(h)) > 0 })
}
