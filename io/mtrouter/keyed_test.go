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

// Nobody remembers the identifiers of a spread service. A caller's resend of a
// request that must not run twice may reach a server that never saw the first
// one, so it is refused before it is sent to any.
func TestResendToSpreadServiceIsRefused(t *testing.T) {
	r, p := newRouter(t)
	reply := r.Route(context.Background(), &mtrequest.Request{Service: mapsvc, Key: "floor-1", Class: "lift"})
	assert.Equal(t, reply.Outcome, mtreply.NotRun)
	assert.Equal(t, reply.Cause, mtreply.CauseMalformed)
	assert.Equal(t, len(p.asked), 0)
}

// stale is a fleet of two daemons. The one that is asked first is not the owner;
// it names another and says how far its copy of the live state is.
type stale struct {
	*peers
	names    mtid.Holder
	frontier mtid.Revision
	order    []string
}

func (s *stale) Relay(_ context.Context, address string, _ *mtrequest.Request, _ mtid.Revision, _ time.Duration) (*mtrequest.Reply, error) {
	s.order = append(s.order, address)
	if len(s.order) == 1 {
		return &mtrequest.Reply{Outcome: mtreply.NotRun, Cause: mtreply.CauseStaleRoute, Owner: s.names, Frontier: s.frontier}, nil
	}
	return &mtrequest.Reply{Outcome: mtreply.Answered}, nil
}

// A daemon that was made the owner a moment ago has yet to learn of it, and names
// its predecessor. Followed there, a caller would be refused by a lost daemon; the
// one that was asked knows better after a pull. One that knows more is followed.
func TestCorrectionByWhoKnowsMore(t *testing.T) {
	a, b := mtid.Holder{Daemon: "a", Incarnation: 1}, mtid.Holder{Daemon: "b", Incarnation: 1}
	tests := []struct {
		name     string
		frontier mtid.Revision
		want     []string
	}{
		{"knows more", 20, []string{"a", "b"}},
		{"knows as much", 10, []string{"a", "b"}},
		{"knows less", 9, []string{"a", "a"}},
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
			s := &stale{peers: p, names: b, frontier: tt.frontier}
			r.Peers = s
			reply := r.Route(context.Background(), &mtrequest.Request{Service: table.Service, Key: "room-1", Class: "status", Minted: true})
			assert.Equal(t, reply.Outcome, mtreply.Answered)
			assert.DeepEqual(t, s.order, tt.want)
		})
	}
}
