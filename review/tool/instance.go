package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hold is a key that an instance holds.
type hold struct {
	fence   uint64
	arrived time.Time // of the command
	until   time.Time
}

// instance is a stand-in of an application instance, written from PROTOCOL.md.
type instance struct {
	log     *record
	id      string
	service string
	zone    string
	address string
	slots   int
	sharded bool
	work    time.Duration
	// answer writes the answer of a request that has run; nil for a short one.
	answer func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	holds    []hold // by key
	fences   []uint64
	running  map[string]int
	began    map[string]time.Time // by request id
	sequence int
	onBegin  func(key int, id string) // called when a request begins
}

const keys = 65536

func (i *instance) serve() {
	i.holds, i.fences = make([]hold, keys), make([]uint64, keys)
	i.running, i.began = map[string]int{}, map[string]time.Time{}
	listener, err := net.Listen("tcp", i.address)
	check(err)
	go func() { _ = http.Serve(listener, i) }()
}

// beat sends a heartbeat about once in a second and a half, as the site file says.
func (i *instance) beat(control string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		i.mu.Lock()
		i.sequence++
		body, _ := json.Marshal(map[string]any{
			"address": i.address,
			"info":    map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "slots": i.slots},
			"status":  map[string]any{"state": "ready", "sequence": i.sequence, "cold_remaining_s": 0},
		})
		i.mu.Unlock()
		response, err := client.Post("http://"+control+"/rpc?call=instances.heartbeat&of="+i.id, "application/json", bytes.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		pause := 1500 * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", i.id)
		return
	case "/grant":
		i.grant(w, r)
		return
	case "/release":
		i.release(w, r)
		return
	}
	i.request(w, r)
}

type command struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold_s"`
}

func readCommand(r *http.Request) (c command, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&c)
	return c, err == nil && c.From >= 0 && c.From <= c.To && c.To < keys
}

func (i *instance) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, ok := readCommand(r)
	if !ok || c.Hold > 10 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for k := c.From; k <= c.To; k++ {
		if i.fences[k] > c.Fence {
			i.log.line("instance %s refuses a grant of %d to %d, fence %d: 409", i.id, c.From, c.To, c.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for k := c.From; k <= c.To; k++ {
		i.fences[k] = c.Fence
		i.holds[k] = hold{fence: c.Fence, arrived: arrived, until: arrived.Add(time.Duration(c.Hold * float64(time.Second)))}
	}
	i.log.line("instance %s is granted %d to %d, fence %d, for %.1f s", i.id, c.From, c.To, c.Fence, c.Hold)
}

func (i *instance) release(w http.ResponseWriter, r *http.Request) {
	c, ok := readCommand(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	for k := c.From; k <= c.To; k++ {
		i.holds[k] = hold{}
	}
	i.mu.Unlock()
	i.log.line("instance %s releases %d to %d, fence %d", i.id, c.From, c.To, c.Fence)
	w.Header().Set("X-Handover", "5c0e7a21d94b36f8")
}

func (i *instance) holding(key int, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Before(i.holds[key].until)
}

func (i *instance) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		w.Header().Set("X-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if i.sharded {
		key, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
		if err != nil || !i.holding(key, time.Now()) {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if i.onBegin != nil {
			i.onBegin(key, id)
		}
	}
	i.mu.Lock()
	i.running[id]++
	i.began[id] = time.Now()
	runs := i.running[id]
	i.mu.Unlock()
	_ = runs
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Signature", "sig."+i.id+"."+id)
	if i.answer != nil {
		i.answer(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s\n", i.id, id)
}

// ran reports whether the instance has begun a request.
func (i *instance) ran(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running[id] > 0
}
