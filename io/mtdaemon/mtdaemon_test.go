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

// backend is a backend server that counts the runs of each key.
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
	daemon  *mtdaemon.Daemon
	backend *backend
	caller  string
	stop    func() // as SIGTERM does
	kill    func() // ends it without a word to anyone
	hush    func() // ends the backend server's announcements
	done    chan error
}

// anywhere is an address whose port the kernel chooses.
const anywhere = "127.0.0.1:0"

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
		Name: mtid.Daemon(name), Zone: zone, Region: "riga", Caller: anywhere, Relay: anywhere,
		Renew: anywhere, Local: anywhere, Admin: anywhere, MaxBodyBytes: 1 << 16,
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
	// Clean-up before cancel: a graceful shutdown would go on after the test,
	// and log to it.
	t.Cleanup(func() {
		cleanUp()
		<-ended
		cancel()
	})
	return m
}

// announce keeps a backend server announced until the test ends.
func (m *member) announce(t *testing.T, address func() string) {
	pool, err := mtkernel.Lookup[*mtserver.Pool](m.daemon.Kernel(), mtdaemon.NameServers)
	assert.NilError(t, err)
	a := mtannounce.Announcement{
		Business: "ratins", Service: "dispatch", Address: address(),
		Slots: 8, Connections: 16, State: mtannounce.Ready,
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	m.hush = sync.OnceFunc(func() {
		close(stop)
		<-done
	})
	t.Cleanup(m.hush)
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

// send sends one request by this daemon.
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

func accept(t *testing.T, store mtstore.Store) {
	t.Helper()
	stored := mtbundle.Stored{Business: "ratins", Version: 1, Text: []byte(bundleText)}
	value, err := stored.Encode()
	assert.NilError(t, err)
	_, err = store.Swap(context.Background(), mtstore.BundleName("ratins"), 0, value, "")
	assert.NilError(t, err)
}

// answers waits until a key is answered through a daemon.
func answers(t *testing.T, m *member, key string) {
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

func fleet(t *testing.T) (*iostore.Memory, []*member) {
	store := iostore.NewMemory(time.Now)
	accept(t, store)
	var members []*member
	for i, zone := range []mtid.Zone{"old-town", "centrs", "kipsala", "airport"} {
		members = append(members, start(t, store, fmt.Sprintf("d%d", i), zone))
	}
	return store, members
}

// Any daemon is asked for any key; the owner's backend server answers.
func TestAnyDaemonServesAnyKey(t *testing.T) {
	_, members := fleet(t)
	for _, m := range members {
		for i := range 8 {
			answers(t, m, fmt.Sprintf("room-%d", i))
		}
	}
}

// A daemon is told to stop while callers keep sending. Its shards go to others,
// and no request that it has taken is cut off or left without an answer.
func TestShutdownCutsNothingOff(t *testing.T) {
	_, members := fleet(t)
	for i := range 12 {
		answers(t, members[1], fmt.Sprintf("room-%d", i))
	}
	leaver := members[0]
	holder := leaver.daemon.Self()
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
	leaver.stop()
	assert.NilError(t, <-leaver.done)
	close(stopped)
	sending.Wait()
	assert.Equal(t, strings.Join(lost, "\n"), "")
	for _, table := range members[1].view(t).Snapshot().Tables(dispatch) {
		assert.Equal(t, len(table.OwnedBy(holder)), 0)
	}
}

// A caller sends the same payment twice by two daemons. It runs once, and both
// get the same answer.
func TestResendRunsOnce(t *testing.T) {
	_, members := fleet(t)
	answers(t, members[0], "room-1")
	id := "" // minted on the first try
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

// A VM is lost without a word. Its keys are served again by others, under a
// higher epoch, and a resend that the lost owner may have run is not run again.
func TestLostDaemonIsTakenOver(t *testing.T) {
	store, members := fleet(t)
	for i := range 12 {
		answers(t, members[1], fmt.Sprintf("room-%d", i))
	}
	lost := members[0].daemon.Self()
	key, epoch := owned(t, members[1], lost)
	response, _, err := members[1].send(key, "send", "")
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered")
	members[0].kill()
	answers(t, members[1], key)
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

// owned returns a key that holder owns, with its epoch.
func owned(t *testing.T, m *member, holder mtid.Holder) (string, mtid.Epoch) {
	for i := range 1000 {
		key := fmt.Sprintf("room-%d", i)
		if shard, _ := m.view(t).Snapshot().Lookup(dispatch, dispatch.Point(mtid.Key(key))); shard.Owner == holder {
			return key, shard.Epoch
		}
	}
	t.Fatalf("%s owns nothing", holder)
	return "", 0
}

// The platform's store is down for as long as it likes. Owners serve on, since
// nothing that they need for it hangs on the store.
func TestStoreOutageStopsNothing(t *testing.T) {
	store, members := fleet(t)
	for i := range 12 {
		answers(t, members[1], fmt.Sprintf("room-%d", i))
	}
	store.SetFaults(iostore.Faults{Down: true})
	// Longer than a lease: what a daemon held by the store would lapse.
	time.Sleep(2 * mtlease.Length)
	for i := range 12 {
		for _, m := range members {
			response, body, err := m.send(fmt.Sprintf("room-%d", i), "status", "")
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(mtheader.Outcome), "answered", body)
		}
	}
}

// A backend server's process ends while its daemon lives. The first request that
// finds it gone makes the daemon hand its shards over; without that the keys
// would be refused until the announcement ran out.
func TestLostServersKeysMove(t *testing.T) {
	_, members := fleet(t)
	answers(t, members[1], "room-1")
	holder := members[0].daemon.Self()
	key, _ := owned(t, members[1], holder)
	members[0].hush()
	members[0].backend.Close()
	answers(t, members[1], key)
	shard, _ := members[1].view(t).Snapshot().Lookup(dispatch, dispatch.Point(mtid.Key(key)))
	assert.Assert(t, shard.Owner != holder)
}
