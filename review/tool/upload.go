package main

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["upload"] = upload }

const (
	uploadBytes  = 5 << 20 // of a body; max_body_bytes of the configuration is 64 MB
	recoverAfter = 15 * time.Second
	downTime     = time.Second
)

// upload: clients upload bodies of five megabytes, and all are served. The day ends with a final fault: a
// configuration that moves their route to another service is acknowledged, and all processes are killed. The service
// is there and well, and none of the uploads is served any more.
func upload(w *world, trouble bool) bool {
	a := w.addMachine(1, "bern-a", "huvo11a", false)
	w.addMachine(2, "bern-b", "wuno96b", false)
	w.addMachine(3, "bern-c", "wuno96b", false)
	clusters := []cluster{{"huvo11a", false}, {"wuno96b", false}}
	routes := func(service string) []route {
		return []route{{"r-upload", "/trace/", "upload", service, 3, 2}}
	}
	w.configure(7, routes("huvo11a"), clusters)
	w.startAll()
	time.Sleep(2 * time.Second)

	var before, after, servedBefore, servedAfter atomic.Int64
	var phase atomic.Int32 // 0 before the fault, 1 until recover_s has passed, 2 then
	stop := make(chan struct{})
	var clients sync.WaitGroup
	body := make([]byte, uploadBytes)
	for range 2 {
		clients.Go(func() {
			transport := &http.Transport{MaxConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				at := phase.Load()
				got := a.send(transport, http.MethodPost, "/trace/7", 4*time.Second, -1, bytes.NewReader(body))
				served := got.status == http.StatusOK && got.signature != ""
				w.log.line("client: upload %s of %d bytes: status %d, signature %q, error %v", got.id, uploadBytes, got.status, got.signature, got.err)
				switch {
				case at == 0:
					before.Add(1)
					if served {
						servedBefore.Add(1)
					}
				case at == 2:
					after.Add(1)
					if served {
						servedAfter.Add(1)
					}
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	phase.Store(1)
	if trouble {
		w.configure(8, routes("wuno96b"), clusters)
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(downTime)
		for _, n := range w.nodes {
			n.start()
		}
		for _, n := range w.nodes {
			n.awaitReady(10 * time.Second)
		}
	}
	w.log.line("all machines are back")
	time.Sleep(recoverAfter)
	phase.Store(2)
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	w.log.line("before the final fault: %d uploads, %d served; later than recover_s after it: %d uploads, %d served", before.Load(), servedBefore.Load(), after.Load(), servedAfter.Load())
	if 4*servedBefore.Load() < before.Load() || after.Load() == 0 {
		check(errNothingServed)
	}
	return 4*servedAfter.Load() < after.Load()
}
