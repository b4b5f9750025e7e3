package mtadmin_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtoperator"
	"magnoliaturn/io/mtrollout"
	"magnoliaturn/io/mttls"
)

var dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}

// memoryStore implements the store methods that rollouts use.
type memoryStore struct {
	mtstore.Store
	mu      sync.Mutex
	entries map[string]mtstore.Entry
	down    bool
}

func (s *memoryStore) Get(_ context.Context, name string) (mtstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return mtstore.Entry{}, &mtstore.UnavailableError{Op: "get", Err: context.DeadlineExceeded}
	}
	entry, ok := s.entries[name]
	if !ok {
		return entry, &mtstore.NotFoundError{Name: name}
	}
	return entry, nil
}

func (s *memoryStore) Swap(_ context.Context, name string, expected mtid.Version, value []byte, _ mtstore.LeaseID) (mtid.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[name]; current.Version != expected {
		return 0, &mtstore.ConflictError{Name: name, Expected: expected, Current: current}
	}
	s.entries[name] = mtstore.Entry{Name: name, Value: value, Version: expected + 1}
	return expected + 1, nil
}

// daemon implements the parts of a daemon that the API uses.
type daemon struct {
	holder  mtid.Holder
	fleet   *fleet
	bundles []*mtbundle.Bundle
	drained int
}

func (d *daemon) Roster() []*mtroster.Record  { return d.fleet.records }
func (d *daemon) Bundles() []*mtbundle.Bundle { return d.bundles }
func (d *daemon) Table(mtid.Ref, int) (*mtshard.Table, bool) {
	return d.fleet.table, d.fleet.table != nil
}
func (d *daemon) Frontier() mtid.Revision     { return 17 }
func (d *daemon) Holder() mtid.Holder         { return d.holder }
func (d *daemon) Drain(context.Context) error { d.drained++; return nil }
func (d *daemon) Loads() []mtadmin.Load {
	return []mtadmin.Load{{Service: dispatch, Slots: 12, Running: 5}}
}

func (d *daemon) Dial(r *mtroster.Record) (grpc.ClientConnInterface, error) {
	return d.fleet.connections[r.RelayAddress], nil
}

func (d *daemon) Suspects() []mtadmin.Suspect {
	return []mtadmin.Suspect{
		{Service: dispatch, Fingerprint: 0xabc, Refused: 2, Until: time.UnixMilli(5000)},
		{Service: mtid.Ref{Business: "bundesamt", Service: "loan-desk"}, Fingerprint: 0xdef, Refused: 2},
	}
}

// fleet is a set of daemons that are connected by gRPC.
type fleet struct {
	records     []*mtroster.Record
	table       *mtshard.Table
	connections map[string]grpc.ClientConnInterface
	daemons     []*daemon
	urls        []string
	store       *memoryStore
}

// operators returns a directory with an operator for each role for ratins, and
// operators with all roles: beat for bundesamt, janis for ratins, ilze for both.
func operators(t *testing.T) *mtoperator.Directory {
	t.Helper()
	var b strings.Builder
	for _, role := range mtoperator.Roles {
		fmt.Fprintf(&b, "[operator %s]\ntoken-sha256 = %s\n[grant %s ratins]\nroles = %s\n", role, mttls.HashToken(string(role)), role, role)
	}
	all := "view, propose, sign, accept, drain"
	fmt.Fprintf(&b, "[operator beat]\ntoken-sha256 = %s\n[grant beat bundesamt]\nroles = %s\n", mttls.HashToken("beat"), all)
	fmt.Fprintf(&b, "[operator ilze]\ntoken-sha256 = %s\n[grant ilze ratins]\nroles = %s\n[grant ilze bundesamt]\nroles = %s\n", mttls.HashToken("ilze"), all, all)
	fmt.Fprintf(&b, "[operator janis]\ntoken-sha256 = %s\n[grant janis ratins]\nroles = %s\n", mttls.HashToken("janis"), all)
	file := t.TempDir() + "/operators.ini"
	assert.NilError(t, os.WriteFile(file, []byte(b.String()), 0o600))
	directory, cleanUp, err := mtoperator.Open(file, func(error) {})
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	return directory
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	return newFleetWithRate(t, size, 1e6)
}

// newFleetWithRate returns a fleet whose daemons accept at most rate requests per
// second of a client.
func newFleetWithRate(t *testing.T, size int, rate float64) *fleet {
	t.Helper()
	f := &fleet{connections: make(map[string]grpc.ClientConnInterface), store: &memoryStore{entries: make(map[string]mtstore.Entry)}}
	directory := operators(t)
	var holders []mtid.Holder
	for i := range size {
		holder := mtid.Holder{Daemon: mtid.Daemon(fmt.Sprintf("d%02d", i)), Incarnation: 3}
		holders = append(holders, holder)
		d := &daemon{holder: holder, fleet: f}
		f.daemons = append(f.daemons, d)
		server := mtadmin.New(mtadmin.Config{
			View: d, Self: d, Peers: d, Operators: directory,
			Rollout: mtrollout.New(f.store, d.Holder, nil),
			ServiceStats: func() map[mtid.Ref]mtmetric.ServiceStats {
				return map[mtid.Ref]mtmetric.ServiceStats{dispatch: {KeyImbalance: 1.25}}
			},
			Now:    func() time.Time { return time.UnixMilli(1_700_000_000_000) },
			Rate:   rate,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		relay := f.relay(t, server)
		web := httptest.NewServer(server.Handler())
		t.Cleanup(web.Close)
		f.urls = append(f.urls, web.URL)
		f.records = append(f.records, &mtroster.Record{
			Holder: holder, Zone: "old-town", RelayAddress: relay, CallerAddress: "127.0.0.1:1",
			Offers: []mtroster.Offer{{Service: dispatch, Slots: 12, Connections: 130}},
		})
	}
	table, err := mtshard.New(dispatch, 0, 1).Apply(mtroster.WriteID{}, mtshard.Create{Shards: 8, Holders: holders})
	assert.NilError(t, err)
	f.table = table
	return f
}

// relay starts a daemon's gRPC server, connects to it and returns its address.
func (f *fleet) relay(t *testing.T, server *mtadmin.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := grpc.NewServer()
	mtwire.RegisterInformServer(peer, server.Informer())
	go func() { _ = peer.Serve(listener) }()
	t.Cleanup(peer.Stop)
	address := listener.Addr().String()
	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	f.connections[address] = connection
	return address
}

func (f *fleet) client(token string, i int) *mtadmin.Client {
	return mtadmin.NewClient(f.urls[i], token, nil)
}

func key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func text(version int, note string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n[bundle]\nbusiness = ratins\nversion = %d\n", note, version)
	for _, s := range []string{"ilze", "janis", "marta"} {
		fmt.Fprintf(&b, "[signer %s]\nkey = %s\n", s, base64.StdEncoding.EncodeToString(key(s).Public().(ed25519.PublicKey)))
	}
	b.WriteString("[service dispatch]\n[class dispatch send]\n")
	return []byte(b.String())
}

func signature(d mtadmin.BundleDocument, text []byte, signer string) mtadmin.SignatureDocument {
	sig := mtbundle.Sign(signer, key(signer), mtbundle.DigestOf(d.Business, d.Version, text))
	return mtadmin.SignatureDocument{Signer: sig.Signer, Value: sig.Value}
}

// prepare proposes a bundle as ilze and signs it as janis.
func (f *fleet) prepare(t *testing.T, version int, note string) mtadmin.BundleDocument {
	t.Helper()
	body := text(version, note)
	d, err := f.client("ilze", 0).Propose(t.Context(), "ratins", body)
	assert.NilError(t, err)
	assert.Equal(t, d.Proposer, "ilze")
	d, err = f.client("janis", 0).Sign(t.Context(), "ratins", d.Version, d.Digest, signature(d, body, "janis"))
	assert.NilError(t, err)
	return d
}

func reasonOf(err error) mtadmin.Reason {
	var p *mtadmin.Problem
	if errors.As(err, &p) {
		return p.Reason()
	}
	return ""
}

func TestRollout(t *testing.T) {
	f := newFleet(t, 2)
	ctx := t.Context()
	d := f.prepare(t, 1, "first")
	drafts, err := f.client("ilze", 1).Drafts(ctx, "ratins")
	assert.NilError(t, err)
	assert.Equal(t, len(drafts.Items), 1)
	assert.DeepEqual(t, drafts.Items[0].Signed, []string{"janis"})
	assert.Equal(t, drafts.Items[0].Needed, 1)
	accepted, err := f.client("janis", 1).Accept(ctx, "ratins", 1, d.Digest)
	assert.NilError(t, err)
	assert.Equal(t, accepted.Accepter, "janis")
	// Repeating the request at another daemon is not a conflict.
	_, err = f.client("janis", 0).Accept(ctx, "ratins", 1, d.Digest)
	assert.NilError(t, err)
	got, err := f.client("view", 0).Bundle(ctx, "ratins")
	assert.NilError(t, err)
	assert.Equal(t, got.Text, string(text(1, "first")))

	// Two proposals compete for version 2.
	one, two := f.prepare(t, 2, "one"), f.prepare(t, 2, "two")
	_, err = f.client("ilze", 0).Accept(ctx, "ratins", 2, one.Digest)
	assert.NilError(t, err)
	_, err = f.client("janis", 1).Accept(ctx, "ratins", 2, two.Digest)
	var p *mtadmin.Problem
	assert.Assert(t, errors.As(err, &p), "%v", err)
	assert.Equal(t, p.Reason(), mtadmin.ReasonConflict)
	assert.Equal(t, p.Status, http.StatusConflict)
	assert.DeepEqual(t, p.Winner, &mtadmin.Winner{Version: 2, Digest: one.Digest, Proposer: "ilze", Accepter: "ilze"})

	history, err := f.client("view", 0).History(ctx, "ratins")
	assert.NilError(t, err)
	assert.Equal(t, len(history.Items), 2)
	assert.Equal(t, history.Items[1].Digest, d.Digest)
	previous, err := f.client("view", 0).Version(ctx, "ratins", 1)
	assert.NilError(t, err)
	assert.Equal(t, previous.Text, string(text(1, "first")))
}

func TestProblemReasons(t *testing.T) {
	f := newFleet(t, 1)
	ctx := t.Context()
	ilze, janis := f.client("ilze", 0), f.client("janis", 0)
	d, err := ilze.Propose(ctx, "ratins", text(1, "first"))
	assert.NilError(t, err)
	tests := []struct {
		name string
		do   func() error
		want mtadmin.Reason
	}{
		{"faults", func() error { _, err := ilze.Propose(ctx, "ratins", []byte("[bundle]")); return err }, mtadmin.ReasonFaults},
		{"other business", func() error { _, err := ilze.Propose(ctx, "bundesamt", text(1, "x")); return err }, mtadmin.ReasonBusiness},
		{"version gap", func() error { _, err := ilze.Propose(ctx, "ratins", text(3, "x")); return err }, mtadmin.ReasonConflict},
		{"no signature", func() error { _, err := janis.Accept(ctx, "ratins", 1, d.Digest); return err }, mtadmin.ReasonUnsigned},
		{"own signature", func() error {
			_, err := ilze.Sign(ctx, "ratins", 1, d.Digest, signature(d, text(1, "first"), "ilze"))
			return err
		}, mtadmin.ReasonSignature},
		{"signature of another text", func() error {
			_, err := ilze.Sign(ctx, "ratins", 1, d.Digest, signature(d, text(1, "other"), "janis"))
			return err
		}, mtadmin.ReasonSignature},
		{"unknown proposal", func() error { _, err := janis.Accept(ctx, "ratins", 1, "00"); return err }, mtadmin.ReasonMissing},
		{"nothing in force", func() error { _, err := ilze.Bundle(ctx, "ratins"); return err }, mtadmin.ReasonMissing},
		{"version not kept", func() error { _, err := ilze.Version(ctx, "ratins", 9); return err }, mtadmin.ReasonMissing},
		{"unknown service", func() error { _, err := ilze.Owner(ctx, dispatch, "k"); return err }, mtadmin.ReasonMissing},
		{"unknown daemon", func() error { _, err := ilze.Drain(ctx, "d99"); return err }, mtadmin.ReasonMissing},
		{"store down", func() error {
			f.store.down = true
			defer func() { f.store.down = false }()
			_, err := ilze.Bundle(ctx, "ratins")
			return err
		}, mtadmin.ReasonStore},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, reasonOf(test.do()), test.want)
		})
	}
}

// Operators of one business must not be able to view or change another one, and a
// role must not permit a request that requires another role.
func TestRouteAuthorization(t *testing.T) {
	const (
		view    = "view"
		propose = "propose"
		sign    = "sign"
		accept  = "accept"
		drain   = "drain"
		all     = "view propose sign accept drain"
	)
	routes := []struct {
		method, path string
		may          string // single-role operators of ratins that are allowed
		bundesamt    bool   // whether the operator of bundesamt is allowed
	}{
		{"GET", "/", view, true},
		{"GET", "/metrics", view, true},
		{"GET", "/v1/status", view, true},
		{"GET", "/v1/roster", view, true},
		{"GET", "/v1/businesses/ratins/bundle", view, false},
		{"GET", "/v1/businesses/ratins/force", view, false},
		{"GET", "/v1/businesses/ratins/history", view, false},
		{"GET", "/v1/businesses/ratins/history/1", view, false},
		{"GET", "/v1/businesses/ratins/drafts", view, false},
		{"GET", "/v1/businesses/ratins/drafts/1/00", view, false},
		{"GET", "/v1/businesses/ratins/quarantine", view, false},
		{"GET", "/v1/businesses/ratins/services/dispatch/assignment", view, false},
		{"GET", "/v1/businesses/ratins/services/dispatch/owner?key=k", view, false},
		{"POST", "/v1/businesses/ratins/drafts", propose, false},
		{"POST", "/v1/businesses/ratins/drafts/1/00/signatures", sign, false},
		{"POST", "/v1/businesses/ratins/drafts/1/00/accept", accept, false},
		{"POST", "/v1/daemons/d00/drain", drain, false},
		{"GET", "/v1/businesses/bundesamt/bundle", "", true},
		{"GET", "/v1/businesses/bundesamt/quarantine", "", true},
		{"POST", "/v1/businesses/bundesamt/drafts", "", true},
		{"POST", "/v1/businesses/bundesamt/drafts/1/00/accept", "", true},
	}
	f := newFleet(t, 1)
	send := func(method, path, authorization string) int {
		request, err := http.NewRequestWithContext(t.Context(), method, f.urls[0]+path, nil)
		assert.NilError(t, err)
		if authorization != "" {
			request.Header.Set("Authorization", authorization)
		}
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Assert(t, response.StatusCode != http.StatusTooManyRequests, "rate limited before authorization")
		return response.StatusCode
	}
	allowed := func(status int) bool {
		return status != http.StatusUnauthorized && status != http.StatusForbidden
	}
	for _, route := range routes {
		t.Run(route.method+" "+route.path, func(t *testing.T) {
			for _, invalid := range []string{"", "Bearer ", "Bearer nobody", "Basic eDp5"} {
				assert.Equal(t, send(route.method, route.path, invalid), http.StatusUnauthorized, invalid)
			}
			for _, role := range strings.Fields(all) {
				got := allowed(send(route.method, route.path, "Bearer "+role))
				assert.Equal(t, got, strings.Contains(route.may, role), role)
			}
			assert.Equal(t, allowed(send(route.method, route.path, "Bearer beat")), route.bundesamt)
			// Browsers add basic authentication to requests forged by other
			// sites, so it must only permit reading.
			basic := "Basic " + base64.StdEncoding.EncodeToString([]byte("x:"+strings.SplitN(route.may+" beat", " ", 2)[0]))
			if route.may == "" {
				basic = "Basic " + base64.StdEncoding.EncodeToString([]byte("x:beat"))
			}
			assert.Equal(t, allowed(send(route.method, route.path, basic)), route.method == "GET")
		})
	}
	assert.Equal(t, f.daemons[0].drained, 1)
}

func TestForceQueriesAllDaemons(t *testing.T) {
	f := newFleet(t, 3)
	inForce, faults := mtbundle.Parse("x", text(4, "x"))
	assert.NilError(t, faults.Err())
	f.daemons[0].bundles = []*mtbundle.Bundle{inForce}
	f.daemons[2].bundles = []*mtbundle.Bundle{inForce}
	// A fourth daemon is in the roster but cannot be reached.
	lost := *f.records[0]
	lost.Holder.Daemon = "lost"
	lost.RelayAddress = f.unreachableRelay(t)
	f.records = append(f.records, &lost)
	page, err := f.client("view", 1).VersionsInForce(t.Context(), "ratins")
	assert.NilError(t, err)
	var got []string
	for _, d := range page.Items {
		got = append(got, fmt.Sprint(d.Daemon, " ", d.Version, " ", d.Error != ""))
	}
	assert.DeepEqual(t, got, []string{"d00 4 false", "d01 0 false", "d02 4 false", "lost 0 true"})
	assert.DeepEqual(t, page.Failed, []mtid.Daemon{"lost"})
}

// unreachableRelay connects to an address without a listener and returns it.
func (f *fleet) unreachableRelay(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	f.connections[address] = connection
	return address
}

func TestLiveState(t *testing.T) {
	f := newFleet(t, 3)
	ctx := t.Context()
	inForce, faults := mtbundle.Parse("x", text(4, "x"))
	assert.NilError(t, faults.Err())
	f.daemons[0].bundles = []*mtbundle.Bundle{inForce}
	client := f.client("view", 0)
	owner, err := client.Owner(ctx, dispatch, "hotel-7/room-214")
	assert.NilError(t, err)
	shard, ok := f.table.Lookup(dispatch.Point("hotel-7/room-214"))
	assert.Assert(t, ok)
	assert.Equal(t, owner.Shard.Owner, shard.Owner.Daemon)
	assert.Equal(t, owner.Shard.Epoch, shard.Epoch)
	assert.Assert(t, owner.Live)
	assignment, err := client.Assignment(ctx, dispatch)
	assert.NilError(t, err)
	assert.Equal(t, len(assignment.Items), 8)
	roster, err := client.Roster(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(roster.Items), 3)
	assert.Equal(t, len(roster.Items[0].Offers), 1)
	// Operators of the other business see the daemon, but not its backend server.
	roster, err = f.client("beat", 0).Roster(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(roster.Items[0].Offers), 0)
	suspects, err := client.Quarantine(ctx, "ratins")
	assert.NilError(t, err)
	assert.Equal(t, len(suspects.Items), 3)
	assert.Equal(t, suspects.Items[0].Fingerprint, "0000000000000abc")
	status, err := client.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, status.Bundles["ratins"], mtid.Version(4))
	// A revoked incarnation of the owner must not be shown as live.
	for _, r := range f.records {
		r.RevokedBelow = 4
	}
	owner, err = client.Owner(ctx, dispatch, "hotel-7/room-214")
	assert.NilError(t, err)
	assert.Assert(t, !owner.Live)
}

func TestRosterPages(t *testing.T) {
	f := newFleet(t, 5)
	var names []string
	after := ""
	for {
		body, _ := fetch(t, f.urls[0]+"/v1/roster?limit=2&after="+after)
		var page mtadmin.Page[mtadmin.DaemonDocument]
		assert.NilError(t, json.Unmarshal(body, &page))
		assert.Assert(t, len(page.Items) <= 2)
		for _, d := range page.Items {
			names = append(names, string(d.Daemon))
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	assert.DeepEqual(t, names, []string{"d00", "d01", "d02", "d03", "d04"})
	for _, limit := range []string{"0", "-1", "501", "x"} {
		_, status := fetch(t, f.urls[0]+"/v1/roster?limit="+limit)
		assert.Equal(t, status, http.StatusBadRequest)
	}
}

func TestAssignmentPages(t *testing.T) {
	f := newFleet(t, 3)
	inForce, faults := mtbundle.Parse("x", text(4, "x"))
	assert.NilError(t, faults.Err())
	f.daemons[0].bundles = []*mtbundle.Bundle{inForce}
	const path = "/v1/businesses/ratins/services/dispatch/assignment"
	for limit := 1; limit <= 9; limit++ {
		var lows []string
		for after := ""; ; {
			body, _ := fetch(t, fmt.Sprintf("%s%s?limit=%d&after=%s", f.urls[0], path, limit, after))
			var page mtadmin.Page[mtadmin.ShardDocument]
			assert.NilError(t, json.Unmarshal(body, &page))
			for _, d := range page.Items {
				lows = append(lows, d.Low)
			}
			if after = page.Next; after == "" {
				break
			}
		}
		assert.Equal(t, len(lows), len(f.table.Shards), limit)
		for i, shard := range f.table.Shards {
			assert.Equal(t, lows[i], fmt.Sprintf("%016x", uint64(shard.Low)))
		}
	}
	for _, after := range []string{"x", "ffffffffffffffff", "-1"} {
		_, status := fetch(t, f.urls[0]+path+"?after="+after)
		assert.Equal(t, status, http.StatusBadRequest)
	}
}

// A drain request for a daemon that has restarted in the meantime must not take the
// new incarnation out of service. Draining also needs the role for every business
// with a backend server on the VM.
func TestDrain(t *testing.T) {
	f := newFleet(t, 2)
	ctx := t.Context()
	d, err := f.client("drain", 0).Drain(ctx, "d01")
	assert.NilError(t, err)
	assert.Equal(t, d.State, "leaving")
	assert.Equal(t, f.daemons[1].drained, 1)
	f.daemons[1].holder.Incarnation++
	_, err = f.client("drain", 0).Drain(ctx, "d01")
	assert.Equal(t, reasonOf(err), mtadmin.ReasonUnreachable)
	assert.Equal(t, f.daemons[1].drained, 1)
	// With a server of the other business on the VM, the role for ratins is not enough.
	f.records[0].Offers = append(f.records[0].Offers, mtroster.Offer{Service: mtid.Ref{Business: "bundesamt", Service: "loan-desk"}})
	_, err = f.client("drain", 0).Drain(ctx, "d00")
	assert.Equal(t, reasonOf(err), mtadmin.ReasonRole)
	_, err = f.client("ilze", 0).Drain(ctx, "d00")
	assert.NilError(t, err)
	f.records[0].State = mtroster.Leaving
	_, err = f.client("ilze", 0).Drain(ctx, "d00")
	assert.NilError(t, err)
	assert.Equal(t, f.daemons[0].drained, 1)
}

func TestIfMatchAndETags(t *testing.T) {
	f := newFleet(t, 1)
	d := f.prepare(t, 1, "first")
	post := func(match string) *http.Response {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.urls[0]+"/v1/businesses/ratins/drafts/1/"+d.Digest+"/accept", nil)
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer ilze")
		request.Header.Set("If-Match", match)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response
	}
	response := post(`"7"`)
	assert.Equal(t, response.StatusCode, http.StatusPreconditionFailed)
	assert.Equal(t, response.Header.Get("Content-Type"), mtadmin.ProblemType)
	response = post(`"0"`)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("ETag"), `"1"`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.urls[0]+"/v1/businesses/ratins/bundle", nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer view")
	request.Header.Set("If-None-Match", `"1"`)
	response, err = http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotModified)
}

// Any client that reaches the port can send large bodies or floods of requests;
// both must be refused at little cost to the daemon.
func TestBodyAndRateLimits(t *testing.T) {
	f := newFleet(t, 1)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.urls[0]+"/v1/businesses/ratins/drafts", bytes.NewReader(make([]byte, mtadmin.MaxBody+1)))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer ilze")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	f = newFleetWithRate(t, 1, 1e-9)
	for i := range mtadmin.DefaultBurst + 20 {
		_, status := fetch(t, f.urls[0]+"/v1/status")
		assert.Equal(t, status == http.StatusTooManyRequests, i >= mtadmin.DefaultBurst, i)
	}
}

// Names on the status page come from bundles and servers, and must not be
// interpreted as markup.
func TestPageIsEscaped(t *testing.T) {
	f := newFleet(t, 2)
	f.records[0].Zone = `<script>alert("x")</script>`
	inForce, faults := mtbundle.Parse("x", text(4, "x"))
	assert.NilError(t, faults.Err())
	f.daemons[0].bundles = []*mtbundle.Bundle{inForce}
	body, status := fetch(t, f.urls[0]+"/")
	assert.Equal(t, status, http.StatusOK)
	page := string(body)
	assert.Assert(t, !strings.Contains(page, "<script"))
	for _, want := range []string{"ratins/dispatch", "d01@3", "bundle 4 in force", "1.25", "&lt;script&gt;"} {
		assert.Assert(t, strings.Contains(page, want), want)
	}
}

// fetch sends a GET request as the operator with the view role for ratins, and
// returns the body and the status.
func fetch(t *testing.T, url string) ([]byte, int) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer view")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body, response.StatusCode
}
