package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-takeover"] = lateTakeover }

const (
	longestCut  = 12 * time.Second       // of the first machine from the store
	beforeNext  = 900 * time.Millisecond // the cut begins so long after a renewal of the lease, of which there is one a second
	healAfter   = 100 * time.Millisecond // the cut ends so long after the takeover was sent
	killAfter   = 3400 * time.Millisecond
	lateBy      = 5600 * time.Millisecond // the store executes the takeover so late: 1 to 6 s are named
	downFor     = 3500 * time.Millisecond
	thaw        = 300 * time.Millisecond
	allowedBoth = 500 * time.Millisecond
)

// overlap watches which keys two instances hold at the same time.
type overlap struct {
	world   *world
	excused func(n *node, arrived time.Time) bool // grants that don't count

	since  map[int]time.Time // by key
	worst  time.Duration
	broken int // keys that two instances held for too long
	seen   map[int]bool
}

func (o *overlap) scan(now time.Time) {
	for key := 0; key < keys; key += 64 {
		var holders []string
		for _, n := range o.world.nodes {
			if !n.instance.sharded {
				continue
			}
			n.instance.mu.Lock()
			h := n.instance.holds[key]
			n.instance.mu.Unlock()
			if now.Before(h.until) && !o.excused(n, h.arrived) {
				holders = append(holders, n.instance.id)
			}
		}
		if len(holders) < 2 {
			delete(o.since, key)
			continue
		}
		since, ok := o.since[key]
		if !ok {
			o.since[key] = now
			continue
		}
		o.worst = max(o.worst, now.Sub(since))
		if now.Sub(since) > allowedBoth && !o.seen[key] {
			o.seen[key] = true
			if o.broken++; o.broken <= 5 {
				o.world.log.line("OWNER: instances %s have held key %d at the same time for over %s", strings.Join(holders, " and "), key, allowedBoth)
			}
		}
	}
}

// lateTakeover: a machine is cut off from the store until another one writes that it takes over its keys. The answer
// to that write is lost. The cut ends, and the machine's daemon grants the keys again; a little later its process is
// killed, and its record ends with its lease. Then the write is executed, as its condition holds again, while the
// grants of the killed daemon are in force at its instance, which has been up all the time.
func lateTakeover(w *world, trouble bool) bool {
	first := w.addMachine(1, "bern-a", "wuno96b", true)
	second := w.addMachine(2, "bern-b", "wuno96b", true)
	w.addMachine(3, "bern-c", "huvo11a", false)
	w.configure(7,
		[]route{{"r-pay", "/pufi791/", "non_idempotent", "huvo11a", 0.8, 2}, {"r-look", "/lohu930/", "idempotent", "wuno96b", 1.2, 2}},
		[]cluster{{"huvo11a", false}, {"wuno96b", true}})

	sent := make(chan time.Time, 1)
	var lateUsed atomic.Bool
	w.store.lateTxn = func(from string, t *txn) (time.Duration, bool) {
		if !trouble || from == first.name || lateUsed.Load() {
			return 0, false
		}
		for _, e := range t.Expect {
			if e.Revision == 0 && strings.HasSuffix(e.Key, first.name) && lateUsed.CompareAndSwap(false, true) {
				w.log.line("store: the answer to the takeover by %s is lost; expected:%s", from, t)
				sent <- time.Now()
				return lateBy, true
			}
		}
		return 0, false
	}
	w.startAll()
	w.nodes[2].awaitServed("/lohu930/2f", 15*time.Second)

	var healed atomic.Int64
	watch := &overlap{world: w, since: map[int]time.Time{}, seen: map[int]bool{}, excused: func(n *node, arrived time.Time) bool {
		h := healed.Load()
		return n == first && h != 0 && arrived.Before(time.Unix(0, h).Add(thaw))
	}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				watch.scan(time.Now())
			}
		}
	})
	var asked, served atomic.Int64
	for _, n := range []*node{second, w.nodes[2]} {
		running.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 4}
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				key := rand.IntN(keys)
				got := n.send(transport, http.MethodGet, "/lohu930/2f", 2500*time.Millisecond, key, nil)
				w.logRequest(n, "GET", key, got)
				asked.Add(1)
				if got.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	first.front.awaitRenewal(beforeNext)
	w.log.line("the cut of %s from the store begins: %v", first.name, trouble)
	first.front.setCut(trouble)
	wrote := time.Now()
	select {
	case wrote = <-sent:
		time.Sleep(healAfter)
	case <-time.After(longestCut):
	}
	healed.Store(time.Now().UnixNano())
	first.front.setCut(false)
	w.log.line("the cut of %s from the store ends", first.name)
	time.Sleep(time.Until(wrote.Add(killAfter)))
	if trouble {
		first.kill()
		time.Sleep(downFor)
		first.start()
	}
	time.Sleep(8 * time.Second)
	close(stop)
	running.Wait()
	w.log.line("lookups: %d sent, %d answered with success; takeover answered late: %v", asked.Load(), served.Load(), lateUsed.Load())
	w.log.line("of %d keys watched, %d were held by two instances for over %s; the longest time was %s", keys/64, watch.broken, allowedBoth, watch.worst)
	if served.Load() == 0 {
		check(errNothingServed)
	}
	return watch.broken > 0
}
