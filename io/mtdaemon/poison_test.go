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

// fragile is a backend server that the key "poison" crashes. It comes back at
// another address, as a restarted process does.
type fragile struct {
	t       *testing.T
	crashed func() // what else falls with the server; may be nil
	mu      sync.Mutex
	server  *http.Server
	address string
	crashes int
	ran     []string
}

func newFragile(t *testing.T) *fragile {
	f := &fragile{t: t}
	f.serve()
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.server.Close()
	})
	return f
}

// serve begins a life of the server.
func (f *fragile) serve() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server = &http.Server{Handler: http.HandlerFunc(f.handle), ReadHeaderTimeout: time.Minute}
	f.address = l.Addr().String()
	go func(s *http.Server) { _ = s.Serve(l) }(f.server)
}

func (f *fragile) at() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

func (f *fragile) handle(w http.ResponseWriter, r *http.Request) {
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

func (f *fragile) crash() {
	f.mu.Lock()
	f.crashes++
	f.mu.Unlock()
	if f.crashed != nil {
		// The daemon first: it must not see its server's connections break and
		// tell others, as it couldn't if the VM were gone.
		f.crashed()
	}
	f.mu.Lock()
	_ = f.server.Close()
	f.mu.Unlock()
	if f.crashed == nil {
		f.serve()
	}
}

// fragileFleet is a fleet of daemons with such servers.
func fragileFleet(t *testing.T, store mtstore.Store, size int, vm bool) ([]*member, []*fragile) {
	t.Helper()
	var members []*member
	var servers []*fragile
	zones := []mtid.Zone{"old-town", "centrs", "kipsala", "airport"}
	for i := range size {
		m := startDaemon(t, store, fmt.Sprintf("d%d", i), zones[i%len(zones)])
		f := newFragile(t)
		if vm {
			f.crashed = m.kill
		}
		m.announce(t, f.at)
		members = append(members, m)
		servers = append(servers, f)
	}
	return members, servers
}

func crashes(servers []*fragile) int {
	sum := 0
	for _, f := range servers {
		f.mu.Lock()
		sum += f.crashes
		f.mu.Unlock()
	}
	return sum
}

// quarantined sends the poison request through the members in turn until it is
// refused as what it is.
func quarantined(t *testing.T, members []*member) {
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

// A status check crashes the server that answers it, and the desk asks again
// through every daemon in turn. The second server is the last to fall, and the
// other rooms' requests, in flight all the while, are answered in the end.
func TestPoisonRequestCrashesTwoServersAtMost(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	accept(t, store)
	members, servers := fragileFleet(t, store, 4, false)
	for i := range 8 {
		answers(t, members[0], fmt.Sprintf("room-%d", i))
	}
	stop := make(chan struct{})
	var innocent sync.WaitGroup
	for i := range 4 {
		innocent.Go(func() {
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
	quarantined(t, members)
	close(stop)
	innocent.Wait()
	// Once more through each daemon: all of them must know by now.
	for _, m := range members {
		response, _, err := m.send("poison", "status", "")
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(mtheader.Cause), "quarantined")
	}
	assert.Equal(t, crashes(servers), 2)
	for i := range 8 {
		answers(t, members[0], fmt.Sprintf("room-%d", i))
	}
}

// The same, but each crash takes the whole VM with it, daemon and all. What is
// known of it then is what the ingress had relayed there.
func TestPoisonRequestTakesTwoMachinesAtMost(t *testing.T) {
	store := iostore.NewMemory(time.Now)
	accept(t, store)
	_, servers := fragileFleet(t, store, 5, true)
	// Two daemons without a backend server, so that callers have somebody to ask
	// who doesn't fall with it.
	ingresses := []*member{startDaemon(t, store, "d5", "centrs"), startDaemon(t, store, "d6", "kipsala")}
	answers(t, ingresses[0], "room-1")
	quarantined(t, ingresses)
	for _, m := range ingresses {
		response, _, err := m.send("poison", "status", "")
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(mtheader.Cause), "quarantined")
	}
	assert.Equal(t, crashes(servers), 2)
}

// The desk asks the owner's own daemon, as the reply's Request-Owner invites it
// to, and each crash takes that whole VM. No ingress is left that knows of it.
// With the identifier of the first try, the second VM is the last; without any,
// the third is.
func TestPoisonRequestStraightToItsOwner(t *testing.T) {
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
			accept(t, store)
			members, servers := fragileFleet(t, store, 6, true)
			answers(t, members[0], "room-1")
			point := dispatch.Point("poison")
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				owner, alive := owning(t, members, servers, point)
				if owner == nil {
					return poll.Continue("%d of the members live", alive)
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
			assert.Equal(t, crashes(servers), tt.want)
		})
	}
}

// owning returns the live member that owns a point by its own view.
func owning(t *testing.T, members []*member, servers []*fragile, point mtid.Point) (*member, int) {
	alive := 0
	for i, m := range members {
		servers[i].mu.Lock()
		gone := servers[i].crashes > 0
		servers[i].mu.Unlock()
		if gone {
			continue
		}
		alive++
		shard, ok := m.view(t).Snapshot().Lookup(dispatch, point)
		if ok && shard.Owner == m.daemon.Self() {
			return m, alive
		}
	}
	return nil, alive
}
