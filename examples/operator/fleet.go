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

// announceEvery is how often a backend server announces itself.
const announceEvery = 500 * time.Millisecond

// firstPort and lastPort bound the ports of the daemons. They lie below those that the
// system hands out by itself, to listeners that name no port and to outgoing connections:
// one of these was gone again before the daemon listened there, beside other programs.
const (
	firstPort = 20000
	lastPort  = 32000
)

// given counts the ports that were looked at, from a start drawn by lot: no two addresses
// of one tour are alike, and hardly any of two tours at the same time.
var given = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(lastPort - firstPort))
	return &n
}()

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	var err error
	for range lastPort - firstPort {
		var listener net.Listener
		port := firstPort + int(given.Add(1)%(lastPort-firstPort))
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// member is a VM: a daemon and the backend server beside it.
type member struct {
	settings *mtsetting.Settings
	stop     func()
}

// startMember starts both. The stop function ends them at once: with nobody
// left to hand over to, a graceful end would wait in vain.
func startMember(settings *mtsetting.Settings, store *mtstore.Memory) (*member, error) {
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{Settings: settings, Store: store, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { _ = daemon.Run(ctx) })
	stopServer, err := startServer(settings.Local)
	if err != nil {
		cleanUp()
		duties.Wait()
		cancel()
		return nil, err
	}
	return &member{settings: settings, stop: func() {
		cleanUp()
		duties.Wait()
		cancel()
		stopServer()
	}}, nil
}

// startServer starts a stand-in for a backend server, which announces itself to
// the daemon on its VM until it is stopped.
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
	var duties sync.WaitGroup
	duties.Go(func() { _ = server.Serve(listener) })
	duties.Go(func() { announce(ctx, local, listener.Addr().String()) })
	return func() {
		cancel()
		_ = server.Close()
		duties.Wait()
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
	ticker := time.NewTicker(announceEvery)
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

// callers send status checks until they are stopped, and count what they are
// told.
type callers struct {
	answered atomic.Int64
	refused  atomic.Int64 // proved not run
	unknown  atomic.Int64
	stop     func()
}

func startCallers(address string) *callers {
	c := &callers{}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	const senders = 4
	for i := range senders {
		duties.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.count(send(address, fmt.Sprintf("hotel-%d", (i+n)%50)))
			}
		})
	}
	c.stop = func() {
		cancel()
		duties.Wait()
	}
	return c
}

func (c *callers) count(outcome mtreply.Outcome) {
	switch outcome {
	case mtreply.Answered:
		c.answered.Add(1)
	case mtreply.NotRun:
		c.refused.Add(1)
	default:
		c.unknown.Add(1)
	}
}

// send sends one status check and returns what the caller is told.
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
