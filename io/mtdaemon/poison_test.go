package mtdaemon_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtrequest"
	"magnoliaturn/core/mtstore"
	iostore "magnoliaturn/io/mtstore"
)

// crashingServer is a backend server that crashes on a request for the key "poison".
// Unless its VM crashes with it, it restarts at another address.
type crashingServer struct {
	t       *testing.T
	crashVM func() // ends the daemon on the same VM; nil if only the server crashes
	mu      sync.Mutex
	server  *http.Server
	address string
	crashes int
	ran     []string
}

func newCrashingServer(t *testing.T) *crashingServer {
	f := &crashingServer{t: t}
	f.serve()
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.server.Close()
	})
	return f
}

// serve starts a new incarnation of the server.
func (f *crashingServer) serve() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = &http.Server{Handler: http.HandlerFunc(f.handle), ReadHeaderTimeout: time.Minute}
	f.address = l.Addr().String()
	go func(s *http.Server) { _ = s.Serve(l) }(f.server)
}

func (f *crashingServer) currentAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

func (f *crashingServer) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/poison" {
		f.crash()
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	f.ran = append(f.ran, r.URL.Path)
	f.mu.Unlock()
	w.Header().Set(mtheader.ID, r.Header.Get(mtheader.ID))
	_, _ = w.Write(body)
}

func (f *crashingServer) crash() {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	if f.crashVM != nil {
		// Stop the daemon first: otherwise it would detect the broken connections
		// to its server and notify other daemons, which a lost VM can't do.
		f.crashVM()
	}
	f.mu.Lock()
	_ = f.server.Close()
	f.mu.Unlock()
	if f.crashVM == nil {
		f.serve()
	}
}

// startCrashingFleet starts daemons whose servers crash on the poison request. If
// vm is true, a crash of a server ends its daemon as well.
func startCrashingFleet(t *testing.T, store mtstore.Store, size int, vm bool) ([]*member, []*crashingServer) {
	t.Helper()
	var members []*member
	var servers []*crashingServer
	zones := []mtid.Zone{"old-town", "centrs", "kipsala", "airport"}
	for i := range size {
		m := startDaemon(t, store, fmt.Sprintf("d%d", i), zones[i%len(zones)])
		f := newCrashingServer(t)
		if vm {
			f.crashVM = m.kill
		}
		m.announce(t, f.currentAddress)
		members = append(members, m)
		servers = append(servers, f)
	}
	return members, servers
}

func totalCrashes(servers []*crashingServer) int {
	sum := 0
	for _, f := range servers {
		f.mu.Lock()
		sum += f.crashes
		f.mu.Unlock()
	}
	return sum
}

// waitQuarantined sends the poison request through the members in turn until it is
// refused as quarantined.
func waitQuarantined(t *testing.T, members []*member) {
	t.Helper()
	next := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		m := members[next%len(members)]
		next++
		response, body, err := m.send("poison", "status", "")
		if err != nil {
			return poll.Continue("%v", err)
		}
		if response.Header.Get(mtheader.Cause) != "quarantined" {
			return poll.Continue("%s %s", response.Header.Get(mtheader.Cause), body)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

// A request crashes the server that runs it, and the caller retries it through
// every daemon in turn. No more than two servers may crash. Concurrent requests
// for other keys must not be quarantined, and must be answered in the end.
func TestPoisonRequestCrashesTwoServersAtMost(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	storeBundle(t, store)
	members, servers := startCrashingFleet(t, store, 4, false)
	for i := range 8 {
		waitAnswered(t, members[0], fmt.Sprintf("room-%d", i))
	}
	stop := make(chan struct{})
	var unaffected sync.WaitGroup
	for i := range 4 {
		unaffected.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				response, _, err := members[i].send(fmt.Sprintf("room-%d", n%8), "status", "")
				if err == nil && response.Header.Get(mtheader.Cause) == "quarantined" {
					t.Errorf("room-%d is quarantined", n%8)
				}
			}
		})
	}
	waitQuarantined(t, members)
	close(stop)
	unaffected.Wait()
	// By now, every daemon must refuse the request.
	for _, m := range members {
		response, _, err := m.send("poison", "status", "")
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(mtheader.Cause), "quarantined")
	}
	assert.Equal(t, totalCrashes(servers), 2)
	for i := range 8 {
		waitAnswered(t, members[0], fmt.Sprintf("room-%d", i))
	}
}

// Each crash ends the whole VM, including its daemon. The ingress must detect the
// poison request from the requests that it had relayed to the lost daemons.
func TestPoisonRequestCrashesTwoVMsAtMost(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	storeBundle(t, store)
	_, servers := startCrashingFleet(t, store, 5, true)
	// Two daemons without a backend server, which the poison request can't crash.
	ingresses := []*member{startDaemon(t, store, "d5", "centrs"), startDaemon(t, store, "d6", "kipsala")}
	waitAnswered(t, ingresses[0], "room-1")
	waitQuarantined(t, ingresses)
	for _, m := range ingresses {
		response, _, err := m.send("poison", "status", "")
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(mtheader.Cause), "quarantined")
	}
	assert.Equal(t, totalCrashes(servers), 2)
}

// The caller sends the request to the daemon of the key's owner, which it knows
// from the Request-Owner header, and each crash ends that whole VM. No ingress
// remains that has relayed the request. If retries have the identifier of the
// first attempt, two VMs crash; without an identifier, three do.
func TestPoisonRequestSentDirectlyToOwner(t *testing.T) {
	tests := []struct {
		name string
		id   string
		want int
	}{
		{"with its first identifier", mtrequest.Mint(time.Now(), [10]byte{1}).String(), 2},
		{"without an identifier", "", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := iostore.NewMemory(time.Now)
			storeBundle(t, store)
			members, servers := startCrashingFleet(t, store, 6, true)
			waitAnswered(t, members[0], "room-1")
			point := dispatch.Point("poison")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				owner, running := findOwner(t, members, servers, point)
				if owner == nil {
					return poll.Continue("none of the %d running members owns the key", running)
				}
				response, body, err := owner.send("poison", "status", tt.id)
				if err != nil {
					return poll.Continue("%v", err)
				}
				if response.Header.Get(mtheader.Cause) != "quarantined" {
					return poll.Continue("%s %s", response.Header.Get(mtheader.Cause), body)
				}
				return poll.Success()
			}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
			assert.Equal(t, totalCrashes(servers), tt.want)
		})
	}
}

// findOwner returns the running member that owns the point according to its own
// copy of the live state, and the number of running members.
func findOwner(t *testing.T, members []*member, servers []*crashingServer, point mtid.Point) (*member, int) {
	running := 0
	for i, m := range members {
		servers[i].mu.Lock()
		crashed := servers[i].crashes > 0
		servers[i].mu.Unlock()
		if crashed {
			continue
		}
		running++
		shard, ok := m.view(t).Snapshot().Lookup(dispatch, point)
		if ok && shard.Owner == m.daemon.Self() {
			return m, running
		}
	}
	return nil, running
}
