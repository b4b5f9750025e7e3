package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or an event about one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_at,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's store, written from PROTOCOL.md. All machines reach it at an address of
// their own (front), so that a machine can be cut off from it.
type store struct {
	log *record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	nextID   uint64
	events   []item
	changed  chan struct{}
	// lateTxn decides whether the answer of a conditional write is lost, and how long after its arrival it is
	// executed if its condition still holds. It is called without mu held.
	lateTxn func(from string, t *txn) (late time.Duration, lost bool)
}

func newStore(log *record) *store {
	s := &store{log: log, revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, nextID: 100, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of leases that have ended. It is called with mu held.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id, "lease ran out")
		}
	}
}

func (s *store) endLease(id uint64, why string) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.log.line("store: %s is gone (%s)", key, why)
			s.remove(key)
		}
	}
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.event(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) event(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.event(i)
}

// write is a write of the operator.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

type txn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

// execute runs a transaction. It returns the status and the body of the answer.
func (s *store) execute(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			now := []item{}
			for _, e := range t.Expect {
				if i, ok := s.items[e.Key]; ok {
					now = append(now, i)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": now}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// front is the address at which one machine reaches the store.
type front struct {
	store   *store
	name    string
	address string

	mu  sync.Mutex
	cut chan struct{} // closed when the cut has ended; nil without a cut
	// renewed is when the machine renewed its lease last.
	renewed time.Time
}

func (s *store) serve(name, address string) *front {
	f := &front{store: s, name: name, address: address}
	listener, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(listener, f) }()
	return f
}

func (f *front) setCut(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == (f.cut != nil) {
		return
	}
	if on {
		f.cut = make(chan struct{})
		return
	}
	close(f.cut)
	f.cut = nil
}

// awaitRenewal waits until a while after the machine has renewed its lease.
func (f *front) awaitRenewal(after time.Duration) {
	begun := time.Now()
	for {
		f.mu.Lock()
		renewed := f.renewed
		f.mu.Unlock()
		if renewed.After(begun) {
			time.Sleep(time.Until(renewed.Add(after)))
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// lost waits while the machine is cut off, and reports whether it was: the call or its answer is lost then.
func (f *front) lost(r *http.Request) bool {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if cut == nil {
		return false
	}
	select {
	case <-cut:
	case <-r.Context().Done():
	}
	return true
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.lost(r) {
		panic(http.ErrAbortHandler)
	}
	status, body := f.call(r)
	if status == 0 || f.lost(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (f *front) call(r *http.Request) (int, any) {
	s, q := f.store, r.URL.Query()
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]any{"as_of": s.revision}
		}
		return http.StatusOK, i
	case r.Method == http.MethodGet && r.URL.Path == "/kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case r.Method == http.MethodGet && r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("path_prefix"), after, time.Duration(ms)*time.Millisecond)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Puts)+len(t.Remove) > 32 {
			return http.StatusBadRequest, map[string]any{}
		}
		if s.lateTxn != nil {
			if late, lost := s.lateTxn(f.name, &t); lost {
				time.AfterFunc(late, func() {
					status, _ := s.execute(&t)
					s.log.line("store: the write of %s by %s whose answer was lost is executed %.1f s after its arrival: status %d", t.Puts[0].Key, f.name, late.Seconds(), status)
				})
				<-r.Context().Done() // no answer
				return 0, nil
			}
		}
		return s.execute(&t)
	case r.Method == http.MethodPost && r.URL.Path == "/kv-lease":
		var body struct {
			TTL float64 `json:"ttl_s_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := time.Duration(body.TTL * float64(time.Second))
		s.leases[s.nextID] = lease{ttl: ttl, until: time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.nextID, "ttl_s_time": body.TTL}
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire(time.Now())
		l, ok := s.leases[id]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
		f.mu.Lock()
		f.renewed = time.Now()
		f.mu.Unlock()
		return http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()}
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id, "lease ended by "+f.name)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, map[string]any{}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return http.StatusOK, map[string]any{"items": found, "more_pages": false, "as_of": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			return http.StatusGone, map[string]any{}
		}
		if len(found) > 0 {
			return http.StatusOK, map[string]any{"events": found, "as_of": revision}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, map[string]any{"events": found, "as_of": revision}
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

func (t *txn) String() string {
	var b strings.Builder
	for _, e := range t.Expect {
		fmt.Fprintf(&b, " %s@%d", e.Key, e.Revision)
	}
	return b.String()
}
