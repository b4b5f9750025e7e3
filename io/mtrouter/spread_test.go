package mtrouter_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtretry"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	iopoison "magnoliaturn/io/mtpoison"
	"magnoliaturn/io/mtrouter"
)

const bundleText = `
[bundle]
business = ratins
version = 1
signatures = 1

[signer ilze]
key = b5Ca8hOzM60+lMucZwgxVNn86vXDCzMRpyfkG0pBfU0=
[signer janis]
key = fQ9h+N9+MdYZyolSdx8kdEqNOoLN9tbYf7t2+qlGzGs=

[service mapsvc]
kind = spread

[class mapsvc doors]
idempotent = yes
timeout = 5s
retries = 0.2

[class mapsvc lift]
idempotent = no
timeout = 5s

[service dispatch]
kind = keyed

[class dispatch status]
idempotent = yes
timeout = 5s
`

var mapsvc = mtid.Ref{Business: "ratins", Service: "mapsvc"}

// clock advances by a millisecond on each read.
type clock struct{ now mtclock.Instant }

func (c *clock) Now() mtclock.Instant {
	c.now = c.now.Add(time.Millisecond)
	return c.now
}

// peers counts the requests to each address and fails those to servers that are
// down.
type peers struct {
	requests map[string]int
	down     map[string]error
	next     []error // results of the next tries, at any address
}

func (p *peers) Relay(_ context.Context, address string, _ *mtrequest.Request, _ mtid.Revision, _ time.Duration) (*mtrequest.Reply, error) {
	p.requests[address]++
	if len(p.next) > 0 {
		err := p.next[0]
		p.next = p.next[1:]
		return nil, err
	}
	if err := p.down[address]; err != nil {
		return nil, err
	}
	return &mtrequest.Reply{Outcome: mtreply.Answered}, nil
}

// Conn implements the connections of the poison detector. No other daemon is reachable.
func (p *peers) Conn(address string) (*grpc.ClientConn, error) {
	return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: address}
}

// Serve implements the local owner, which these tests never use.
func (p *peers) Serve(context.Context, *mtrequest.Request) *mtrequest.Reply {
	panic("this daemon has no server of the service")
}

// newRouter returns a router in zone old-town and the peers a to f, of which a and b
// are in old-town too.
func newRouter(t *testing.T) (*mtrouter.Router, *peers) {
	t.Helper()
	view := mtview.New()
	stored := mtbundle.Stored{Business: "ratins", Version: 1, Text: []byte(bundleText)}
	value, err := stored.Encode()
	assert.NilError(t, err)
	items := []mtview.Item{{Name: mtstore.BundleName("ratins"), Version: 1, Revision: 1, Value: value}}
	for i, zone := range []mtid.Zone{"old-town", "old-town", "centrs", "centrs", "kipsala", "kipsala"} {
		name := string(rune('a' + i))
		record := &mtroster.Record{
			Holder: mtid.Holder{Daemon: mtid.Daemon(name), Incarnation: 1}, Zone: zone, RelayAddress: name,
			Offers: []mtroster.Offer{{Service: mapsvc, Slots: 12, Connections: 130}},
		}
		value, err := record.Encode()
		assert.NilError(t, err)
		items = append(items, mtview.Item{Name: mtstore.RosterName(record.Holder.Daemon), Version: 1, Revision: mtid.Revision(i + 2), Value: value})
	}
	_, err = view.Merge(mtview.Delta{Revision: 9, Items: items})
	assert.NilError(t, err)
	p := &peers{requests: map[string]int{}, down: map[string]error{}}
	self := func() mtid.Holder { return mtid.Holder{Daemon: "self", Incarnation: 1} }
	c := &clock{}
	ignore := func(string) {}
	detector, cleanUp := iopoison.New(iopoison.Config{Self: self, View: view, Conns: p, Clock: &clock{}, Log: slog.Default(), Count: ignore})
	t.Cleanup(cleanUp)
	r := mtrouter.New(mtrouter.Config{
		Self: self, Zone: "old-town", View: view, Owner: p, Peers: p, Clock: c, Poison: detector,
		Retry:          mtretry.NewBudgeted(rand.New(rand.NewPCG(1, 2))),
		OnPeerFrontier: func(string, mtid.Revision) {}, Count: ignore,
		OnDone: func(*mtrequest.Request, *mtrequest.Reply, time.Duration) {},
	})
	return r, p
}

// sendRequests sends the given number of different requests and returns how many
// were answered.
func sendRequests(r *mtrouter.Router, class mtid.Class, times int) int {
	answered := 0
	for i := range times {
		reply := r.Route(context.Background(), &mtrequest.Request{
			Service: mapsvc, Key: mtid.Key(fmt.Sprint("floor-", i)), Class: class, Minted: true,
		})
		if reply.Outcome == mtreply.Answered {
			answered++
		}
	}
	return answered
}

func TestSpreadPrefersOwnZone(t *testing.T) {
	r, p := newRouter(t)
	assert.Equal(t, sendRequests(r, "doors", 200), 200)
	assert.Equal(t, p.requests["a"]+p.requests["b"], 200)
	assert.Assert(t, p.requests["a"] > 50 && p.requests["b"] > 50, "%v", p.requests)
}

// A server in the router's own zone breaks its connections. Its idempotent requests
// are retried elsewhere, so every caller gets an answer, and the server receives
// little more than probes.
func TestSpreadAvoidsFailingServer(t *testing.T) {
	r, p := newRouter(t)
	p.down["a"] = &mtreply.UnknownError{Cause: mtreply.CauseLost}
	assert.Equal(t, sendRequests(r, "doors", 300), 300)
	assert.Assert(t, p.requests["a"] < 10, "%v", p.requests)
}

// A non-idempotent request that may have run is not sent to a second server.
func TestSpreadDoesNotRetryUnknownOutcome(t *testing.T) {
	r, p := newRouter(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		p.down[name] = &mtreply.UnknownError{Cause: mtreply.CauseLost}
	}
	assert.Equal(t, sendRequests(r, "lift", 1), 0)
	sum := 0
	for _, n := range p.requests {
		sum += n
	}
	assert.Equal(t, sum, 1)
}
