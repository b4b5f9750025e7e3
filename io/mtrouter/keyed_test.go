package mtrouter_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
)

// The servers of a spread service share no record of identifiers. When a caller
// resends a non-idempotent request, it may reach a server that never saw the first
// try, so the router refuses it before sending it to any server.
func TestResendToSpreadServiceIsRefused(t *testing.T) {
	r, p := newRouter(t)
	reply := r.Route(context.Background(), &mtrequest.Request{Service: mapsvc, Key: "floor-1", Class: "lift"})
	assert.Equal(t, reply.Outcome, mtreply.NotRun)
	assert.Equal(t, reply.Cause, mtreply.CauseMalformed)
	assert.Equal(t, len(p.requests), 0)
}

// stalePeers simulates two daemons. The first one that receives a request is not
// the owner: it replies with another owner and with the frontier of its own view.
type stalePeers struct {
	*peers
	namedOwner mtid.Holder
	frontier   mtid.Revision
	addresses  []string
}

func (s *stalePeers) Relay(_ context.Context, address string, _ *mtrequest.Request, _ mtid.Revision, _ time.Duration) (*mtrequest.Reply, error) {
	s.addresses = append(s.addresses, address)
	if len(s.addresses) == 1 {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseStaleRoute, Owner: s.namedOwner, Frontier: s.frontier}, nil
	}
	return &mtrequest.Reply{Outcome: mtreply.Answered}, nil
}

// A daemon that has just become the owner may not have received the ownership update
// yet, and names its lost predecessor. Following that redirect would end in a
// refusal, so the router ignores redirects from daemons whose view is older than its
// own and retries the same daemon, which is up to date after a pull. Other redirects
// are followed.
func TestRedirectFromOutdatedDaemonIsIgnored(t *testing.T) {
	a, b := mtid.Holder{Daemon: "a", Incarnation: 1}, mtid.Holder{Daemon: "b", Incarnation: 1}
	tests := []struct {
		name     string
		frontier mtid.Revision
		want     []string
	}{
		{"newer view", 20, []string{"a", "b"}},
		{"same view", 10, []string{"a", "b"}},
		{"older view", 9, []string{"a", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, p := newRouter(t)
			table, err := mtshard.New(mtid.Ref{Business: "ratins", Service: "dispatch"}, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 1, Holders: []mtid.Holder{a}})
			assert.NilError(t, err)
			value, err := table.Encode()
			assert.NilError(t, err)
			item := mtview.Item{Name: mtstore.ShardName(table.Service, 0), Version: 1, Revision: 10, Value: value}
			_, err = r.View.Merge(mtview.Delta{After: 9, Revision: 10, Items: []mtview.Item{item}})
			assert.NilError(t, err)
			s := &stalePeers{peers: p, namedOwner: b, frontier: tt.frontier}
			r.Peers = s
			reply := r.Route(context.Background(), &mtrequest.Request{Service: table.Service, Key: "room-1", Class: "status", Minted: true})
			assert.Equal(t, reply.Outcome, mtreply.Answered)
			assert.DeepEqual(t, s.addresses, tt.want)
		})
	}
}
