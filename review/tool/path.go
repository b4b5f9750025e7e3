package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["changed-path"] = changedPath }

// changedPath: a change of the configuration adds a route for all paths of a host. From then on an instance runs
// requests whose paths begin with two slashes and hold an escape, with another path than the client sent.
func changedPath(w *world, trouble bool) bool {
	a := w.addMachine(1, "bern-a", "huvo11a", false)
	b := w.addMachine(2, "bern-b", "wuno96b", false)
	clusters := []cluster{{"huvo11a", false}, {"wuno96b", false}}
	routes := []route{{"r-pay", "/pufi791/", "non_idempotent", "huvo11a", 0.8, 2}}

	var mu sync.Mutex
	sent := map[string]string{} // path by request id
	changed, same := 0, 0
	for _, n := range []*node{a, b} {
		i := n.instance
		i.answer = func(rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			defer mu.Unlock()
			switch want := sent[id]; want {
			case r.RequestURI:
				same++
				w.log.line("instance %s runs request %s with the path as sent: %s", i.id, id, want)
			default:
				changed++
				w.log.line("UNASKED: instance %s runs request %s with path %s; its client sent %s", i.id, id, r.RequestURI, want)
			}
			_, _ = rw.Write([]byte("ok\n"))
		}
	}
	w.configure(7, routes, clusters)
	w.startAll()
	time.Sleep(2 * time.Second)
	if trouble {
		w.configure(8, append(routes, route{"r-all", "/", "non_idempotent", "wuno96b", 0.8, 2}), clusters)
	}
	time.Sleep(2500 * time.Millisecond) // config_s is 2
	for range 5 {
		for _, path := range []string{"/pufi791/plain", "/pufi791/a%20b?x=%2F", "/pufi791//a%20b", "/other/a%20b", "//other/plain", "//other/a%20b", "//other/a%2Fb?x=1"} {
			got := a.sendPath(path, func(id string) {
				mu.Lock()
				sent[id] = path
				mu.Unlock()
			})
			w.log.line("client: request %s, path %s: status %d, signature %q, error %v", got.id, path, got.status, got.signature, got.err)
		}
	}
	w.log.line("runs with the path as sent: %d; with another path: %d", same, changed)
	if same == 0 {
		check(errNothingServed)
	}
	return changed > 0
}
