package mtdaemon_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtlease"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtserver"
	"magnoliaturn/io/mtsetting"
	iostore "magnoliaturn/io/mtstore"
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

[service dispatch]
kind = keyed
shards = 12

[class dispatch status]
idempotent = yes
timeout = 5s
retries = 1

[class dispatch send]
idempotent = no
timeout = 5s
`

var dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}

// backend is a backend server that counts how often each request ID was run.
type backend struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
}

func newBackend(t *testing.T) *backend {
	b := &backend{runs: map[string]int{}}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.runs[r.Header.Get(mtheader.ID)]++
		b.mu.Unlock()
		w.Header().Set(mtheader.ID, r.Header.Get(mtheader.ID))
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
	}))
	t.Cleanup(b.Close)
	return b
}

// member is a daemon with its backend server.
type member struct {
	daemon         *mtdaemon.Daemon
	backend        *backend
	caller         string
	stop           func() // starts a graceful shutdown, as SIGTERM does
	kill           func() // ends the daemon without a graceful shutdown
	stopAnnouncing func() // stops the announcements of the backend server
	done           chan error
}

// anyPort is a listen address whose port the operating system chooses.
const anyPort = "127.0.0.1:0"

func start(t *testing.T, store mtstore.Store, name string, zone mtid.Zone) *member {
	t.Helper()
	m := startDaemon(t, store, name, zone)
	m.backend = newBackend(t)
	m.announce(t, func() string { return m.backend.Listener.Addr().String() })
	return m
}

// startDaemon starts a daemon without a backend server.
func startDaemon(t *testing.T, store mtstore.Store, name string, zone mtid.Zone) *member {
	t.Helper()
	settings := &mtsetting.Settings{
		Name: mtid.Daemon(name), Zone: zone, Region: "riga", Caller: anyPort, Relay: anyPort,
		Renew: anyPort, Local: anyPort, Admin: anyPort, MaxBodyBytes: 1 << 16,
	}
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{
		Settings: settings, Store: store, Log: slog.New(slog.NewTextHandler(t.Output(), nil)).With("daemon", name),
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{daemon: daemon, caller: daemon.Addresses().Caller, stop: cancel, kill: cleanUp, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.done <- daemon.Run(ctx)
	}()
	// cleanUp comes before cancel, which would start a graceful shutdown that
	// outlasts the test and writes to its log.
	t.Cleanup(func() {
		cleanUp()
		<-ended
		cancel()
	})
	return m
}

// announce announces a backend server periodically until the test ends.
func (m *member) announce(t *testing.T, address func() string) {
	pool, err := mtkernel.Lookup[*mtserver.Pool](m.daemon.Kernel(), mtdaemon.NameServers)
	assert.NilError(t, err)
	a := mtannounce.Announcement{
		Business: "ratins", Service: "dispatch", Address: address(),
		Slots: 8, Connections: 16, State: mtannounce.Ready,
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	m.stopAnnouncing = sync.OnceFunc(func() {
		close(stop)
		<-done
	})
	t.Cleanup(m.stopAnnouncing)
	go func() {
		defer close(done)
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			a.Address = address()
			pool.Put(a)
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
}

func (m *member) view(t *testing.T) *mtview.View {
	view, err := mtkernel.Lookup[*mtview.View](m.daemon.Kernel(), mtdaemon.NameView)
	assert.NilError(t, err)
	return view
}

// send sends one request through this daemon.
func (m *member) send(key, class, id string) (*http.Response, string, error) {
	request, _ := http.NewRequest("POST", "http://"+m.caller+"/v1/ratins/dispatch/"+key, strings.NewReader("tray"))
	request.Header.Set(mtheader.Class, class)
	if id != "" {
		request.Header.Set(mtheader.Key, id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func storeBundle(t *testing.T, store mtstore.Store) {
	t.Helper()
	stored := mtbundle.Stored{Business: "ratins", Version: 1, Text: []byte(bundleText)}
	value, err := stored.Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BundleName("ratins"), 0, value, "")
	assert.NilError(t, err)
}

// waitAnswered waits until a request for the key, sent through the daemon, is
// answered.
func waitAnswered(t *testing.T, m *member, key string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, body, err := m.send(key, "status", "")
		if err != nil {
			return poll.Continue("%v", err)
		}
		if response.Header.Get(mtheader.Outcome) != "answered" {
			return poll.Continue("%s %s", response.Header.Get(mtheader.Cause), body)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func startFleet(t *testing.T) (*iostore.Memory, []*member) {
	store := iostore.NewMemory(time.Now)
	storeBundle(t, store)
	var members []*member
	for i, zone := range []mtid.Zone{"old-town", "centrs", "kipsala", "airport"} {
		members = append(members, start(t, store, fmt.Sprintf("d%d", i), zone))
	}
	return store, members
}

// Requests for each key are sent through each daemon. The owner's backend server
// must answer all of them.
func TestAnyDaemonServesAnyKey(t *testing.T) {
	_, members := startFleet(t)
	for _, m := range members {
		for i := range 8 {
			waitAnswered(t, m, fmt.Sprintf("room-%d", i))
		}
	}
}

// A daemon shuts down while callers keep sending requests. It must hand over all
// its shards, and no request may fail or go unanswered.
func TestShutdownFailsNoRequest(t *testing.T) {
	_, members := startFleet(t)
	for i := range 12 {
		waitAnswered(t, members[1], fmt.Sprintf("room-%d", i))
	}
	leaving := members[0]
	holder := leaving.daemon.Self()
	stopped := make(chan struct{})
	var lost []string
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
			}
			response, body, err := members[1].send(fmt.Sprintf("room-%d", i%12), "status", "")
			if err != nil || response.Header.Get(mtheader.Outcome) != "answered" {
				lost = append(lost, fmt.Sprint(err, response.Header, body))
			}
		}
	})
	leaving.stop()
	assert.NilError(t, <-leaving.done)
	close(stopped)
	sending.Wait()
	assert.Equal(t, strings.Join(lost, "\n"), "")
	for _, table := range members[1].view(t).Snapshot().Tables(dispatch) {
		assert.Equal(t, len(table.OwnedBy(holder)), 0)
	}
}

// A caller sends the same payment through two daemons. It must run once, and
// both replies must be the same.
func TestResendRunsOnce(t *testing.T) {
	_, members := startFleet(t)
	waitAnswered(t, members[0], "room-1")
	id := "" // the daemon generates one for the first attempt
	response, first, err := members[0].send("room-1", "send", id)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered")
	id = response.Header.Get(mtheader.ID)
	response, second, err := members[2].send("room-1", "send", id)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered", response.Header.Get(mtheader.Cause))
	assert.Equal(t, first, second)
	runs := 0
	for _, m := range members {
		m.backend.mu.Lock()
		runs += m.backend.runs[id]
		m.backend.mu.Unlock()
	}
	assert.Equal(t, runs, 1)
}

// A VM fails without a graceful shutdown. Other daemons must take over its keys
// under a higher epoch, and a resent request that the lost owner may have run
// must not run again.
func TestLostDaemonIsTakenOver(t *testing.T) {
	store, members := startFleet(t)
	for i := range 12 {
		waitAnswered(t, members[1], fmt.Sprintf("room-%d", i))
	}
	lost := members[0].daemon.Self()
	key, epoch := keyOwnedBy(t, members[1], lost)
	response, _, err := members[1].send(key, "send", "")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered")
	members[0].kill()
	waitAnswered(t, members[1], key)
	shard, _ := members[1].view(t).Snapshot().Lookup(dispatch, dispatch.Point(mtid.Key(key)))
	assert.Assert(t, shard.Owner != lost)
	assert.Assert(t, shard.Epoch > epoch)
	resent, _, err := members[2].send(key, "send", response.Header.Get(mtheader.ID))
	assert.NilError(t, err)
	assert.Equal(t, resent.Header.Get(mtheader.Outcome), "unknown")
	assert.Equal(t, resent.Header.Get(mtheader.Cause), "taken-over")
	entry, err := store.Get(context.Background(), mtstore.RosterName(lost.Daemon))
	assert.NilError(t, err)
	record, err := mtroster.Decode(entry.Value)
	assert.NilError(t, err)
	assert.Assert(t, !record.MayHoldLease())
}

// keyOwnedBy returns a key that the holder owns and the epoch of its shard.
func keyOwnedBy(t *testing.T, m *member, holder mtid.Holder) (string, mtid.Epoch) {
	for i := range 1000 {
		key := fmt.Sprintf("room-%d", i)
		if shard, _ := m.view(t).Snapshot().Lookup(dispatch, dispatch.Point(mtid.Key(key))); shard.Owner == holder {
			return key, shard.Epoch
		}
	}
	t.Fatalf("%s owns nothing", holder)
	return "", 0
}

// The store is unavailable for a long time. Owners must continue to serve, since
// neither routing nor the renewal of leases depends on the store.
func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	store, members := startFleet(t)
	for i := range 12 {
		waitAnswered(t, members[1], fmt.Sprintf("room-%d", i))
	}
	store.SetFaults(iostore.Faults{Down: true})
	// Longer than a lease, so that a lease renewed through the store would expire.
	time.Sleep(2 * mtlease.Length)
	for i := range 12 {
		for _, m := range members {
			response, body, err := m.send(fmt.Sprintf("room-%d", i), "status", "")
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered", body)
		}
	}
}

// The process of a backend server ends while its daemon keeps running. The first
// request that fails to reach it must make the daemon hand over its shards;
// otherwise the keys would be refused until the announcement expired.
func TestKeysMoveFromLostServer(t *testing.T) {
	_, members := startFleet(t)
	waitAnswered(t, members[1], "room-1")
	holder := members[0].daemon.Self()
	key, _ := keyOwnedBy(t, members[1], holder)
	members[0].stopAnnouncing()
	members[0].backend.Close()
	waitAnswered(t, members[1], key)
	shard, _ := members[1].view(t).Snapshot().Lookup(dispatch, dispatch.Point(mtid.Key(key)))
	assert.Assert(t, shard.Owner != holder)
}
