package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliaturn/core/mtannounce"
	"magnoliaturn/core/mtheader"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mtstore"
)

// announceInterval is the interval at which backend servers announce themselves.
const announceInterval = 500 * time.Millisecond

// firstPort and lastPort bound the ports of the daemons. The range lies below the system's
// ephemeral ports, which it assigns to outgoing connections and to listeners without a
// fixed port: another program could take such a port between its check and the daemon's start.
const (
	firstPort = 20000
	lastPort  = 32000
)

// portCounter numbers the ports tried, from a random start. Addresses within one run are distinct,
// and concurrent runs rarely try the same ones.
var portCounter = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(lastPort - firstPort))
	return &n
}()

// freeAddress returns a loopback address that was free when checked.
func freeAddress() (string, error) {
	var err error
	for range lastPort - firstPort {
		var listener net.Listener
		port := firstPort + int(portCounter.Add(1)%(lastPort-firstPort))
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// vm is a VM that runs a daemon and a backend server.
type vm struct {
	settings *mtsetting.Settings
	stop     func()
}

// startVM starts a daemon and its backend server. The stop function ends them
// immediately: once no other daemon is left to take the shards, a graceful shutdown
// would only wait for its timeout.
func startVM(settings *mtsetting.Settings, store *mtstore.Memory) (*vm, error) {
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{Settings: settings, Store: store, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = daemon.Run(ctx) })
	stopServer, err := startServer(settings.Local)
	if err != nil {
		cleanUp()
		tasks.Wait()
		cancel()
		return nil, err
	}
	return &vm{settings: settings, stop: func() {
		cleanUp()
		tasks.Wait()
		cancel()
		stopServer()
	}}, nil
}

// startServer starts a simulated backend server, which announces itself to the
// daemon on its VM until the returned function stops it.
func startServer(local string) (func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(mtheader.ID, r.Header.Get(mtheader.ID))
		_, _ = io.WriteString(w, "robot on its way to "+r.URL.Path)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(listener) })
	tasks.Go(func() { announce(ctx, local, listener.Addr().String()) })
	return func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	}, nil
}

func announce(ctx context.Context, local, address string) {
	body, err := json.Marshal(mtannounce.Announcement{
		Business: "ratins", Service: "dispatch", Address: address,
		Slots: 12, Connections: 130, State: mtannounce.Ready,
	})
	if err != nil {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		response, err := http.Post("http://"+local+mtheader.AnnouncePath, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// callers sends status checks until stopped and counts the reported outcomes.
type callers struct {
	answered atomic.Int64
	notRun   atomic.Int64 // rejected with proof that the request did not run
	unknown  atomic.Int64
	stop     func()
}

func startCallers(address string) *callers {
	c := &callers{}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	const senders = 4
	for i := range senders {
		tasks.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.count(send(address, fmt.Sprintf("hotel-%d", (i+n)%50)))
			}
		})
	}
	c.stop = func() {
		cancel()
		tasks.Wait()
	}
	return c
}

func (c *callers) count(outcome mtreply.Outcome) {
	switch outcome {
	case mtreply.Answered:
		c.answered.Add(1)
	case mtreply.NotRun:
		c.notRun.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// send sends one status check and returns the outcome in the reply. A request
// without a complete reply has the outcome Unknown.
func send(address, key string) mtreply.Outcome {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+mtheader.Prefix+"/ratins/dispatch/"+key, nil)
	if err != nil {
		return mtreply.Unknown
	}
	request.Header.Set(mtheader.Class, "status")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return mtreply.Unknown
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return mtreply.Unknown
	}
	return mtreply.Outcome(response.Header.Get(mtheader.Outcome))
}
