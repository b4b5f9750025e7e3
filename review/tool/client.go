package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id        string
	status    int // 0: the connection ended without an answer
	signature string
	bytes     int
	err       error
	retry     string
	sent, got time.Time
}

var requestID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", requestID.Add(1)+0x9c41d07be2a30000) }

// send sends one attempt of a client over a transport that keeps connections.
func (n *node) send(transport http.RoundTripper, method, path string, deadline time.Duration, key int, body io.Reader) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound()+path, body)
	check(err)
	request.Host = host
	request.GetBody = nil
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	response, err := transport.RoundTrip(request)
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		a.bytes, a.status, a.signature, a.retry = int(n), response.StatusCode, response.Header.Get("X-Response-Signature"), response.Header.Get("Retry-After")
	}
	a.got = time.Now()
	if err != nil {
		a.status, a.err = 0, err
	}
	return a
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitServed waits until requests for all keys are answered with success.
func (n *node) awaitServed(path string, limit time.Duration) {
	end := time.Now().Add(limit)
	for key := 0; key < keys; key += 1024 {
		for n.send(http.DefaultTransport, http.MethodGet, path, time.Second, key, nil).status != http.StatusOK {
			if time.Now().After(end) {
				check(fmt.Errorf("key %d isn't served", key))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	n.world.log.line("all keys are served")
}

var errNothingServed = fmt.Errorf("nothing was served")

// sendPath sends a request without a body whose target is written as given.
func (n *node) sendPath(path string, onID func(id string)) answer {
	a := answer{id: newID(), sent: time.Now()}
	onID(a.id)
	conn, err := net.DialTimeout("tcp", n.outbound(), time.Second)
	check(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", path, host, a.id)
	check(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return a
	}
	_, a.err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	a.status, a.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	return a
}

// logRequest writes a line for a request: where it was sent, which instance began it, and what its client got.
func (w *world) logRequest(n *node, method string, key int, got answer) {
	ran := "none"
	if i := w.ranAt(got.id); i != nil {
		ran = i.id
	}
	end := fmt.Sprintf("%d, %d bytes", got.status, got.bytes)
	if got.err != nil {
		end = got.err.Error()
	}
	w.log.line("%s %s key %d at %s, run by %s: %s", method, got.id, key, n.name, ran, end)
}

// ranAt returns the instance that has begun a request, or nil.
func (w *world) ranAt(id string) *instance {
	for _, n := range w.nodes {
		if n.instance.ran(id) {
			return n.instance
		}
	}
	return nil
}
