package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["rolling-stop"] = rollingStop }

const (
	longWork    = 5950 * time.Millisecond // of a request; the route's timeout is 6 s
	stopAfter   = 200 * time.Millisecond  // of the daemon beside the instance, once the requests are sent
	stopGap     = 1300 * time.Millisecond // until the machine of the clients is stopped
	grace       = 6 * time.Second
	stopRestart = 500 * time.Millisecond
)

// stop stops the daemon of a machine as the platform does, and starts it again.
func (n *node) stop() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.world.log.line("platform: the daemon of %s gets SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		n.world.log.line("platform: the daemon of %s gets SIGKILL", n.name)
		n.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(stopRestart)
	n.start()
}

// rollingStop: the machines of the system are stopped and started in turn. A request is at work at an instance whose
// daemon is stopped first, the machine of its client second. The daemon beside the instance gives the request up
// before the instance is done, and the client gets an answer of the system's own.
func rollingStop(w *world, trouble bool) bool {
	taker := w.addMachine(1, "bern-a", "huvo11a", false)
	first := w.addMachine(2, "bern-b", "wuno96b", false)
	other := w.addMachine(3, "bern-c", "wuno96b", false)
	first.instance.work, other.instance.work = longWork, longWork
	clusters := []cluster{{"huvo11a", false}, {"wuno96b", false}}
	w.configure(7, []route{{"r-look", "/lohu930/", "idempotent", "wuno96b", 6, 2}, {"r-pay", "/pufi791/", "non_idempotent", "wuno96b", 6, 2}}, clusters)
	w.startAll()
	time.Sleep(4 * time.Second)

	var requests, stops sync.WaitGroup
	var lost, served, atFirst atomic.Int64
	start := time.Now()
	for i := range 8 {
		requests.Go(func() {
			method, path := http.MethodGet, "/lohu930/2f"
			if i%2 == 1 {
				method, path = http.MethodPost, "/pufi791/2f"
			}
			transport := &http.Transport{MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			got := taker.send(transport, method, path, 12*time.Second, -1, nil)
			at := w.ranAt(got.id)
			name := "no instance"
			if at != nil {
				name = at.id
			}
			w.log.line("client of %s: %s %s, run by %s, ends after %.3f s with status %d, signature %q, error %v", taker.name, method, got.id, name, got.got.Sub(start).Seconds(), got.status, got.signature, got.err)
			if at == first.instance {
				atFirst.Add(1)
			}
			switch {
			case got.status == http.StatusOK && got.signature != "":
				served.Add(1)
			case at != nil && got.signature == "" && got.got.Sub(got.sent) < 6*time.Second:
				lost.Add(1)
				w.log.line("LOST: %s was given up while instance %s was at work on it, before its route's timeout of 6 s", got.id, name)
			}
		})
	}
	time.Sleep(stopAfter)
	if trouble {
		stops.Go(first.stop)
		time.Sleep(stopGap)
		stops.Go(taker.stop)
	}
	requests.Wait()
	stops.Wait()
	w.log.line("requests: 8, %d of them at %s; served: %d; given up while at work: %d", atFirst.Load(), first.instance.id, served.Load(), lost.Load())
	if atFirst.Load() == 0 {
		check(errNothingServed)
	}
	return lost.Load() > 0
}
