// Package mtfleet runs a whole deployment in one process for the examples: an
// in-memory store, daemons with simulated backend servers, load generators, and
// an audit of the journals that servers and callers write.
//
// # Usage
//
//	err := mtfleet.Run(ctx, mtfleet.Deployment{...}, os.Stdout)
//
// Run returns an *AuditError if the audit finds a violated guarantee.
package mtfleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mtstandin"
	iostore "magnoliaturn/io/mtstore"
)

// Deployment describes the services, zones and load that an example runs.
type Deployment struct {
	Business mtid.Business
	Bundle   []byte
	Region   mtid.Region
	Zones    []mtid.Zone
	Services []Service
	// Duration is how long callers send. The shard move and the loss of a VM fall
	// within it.
	Duration time.Duration
}

// Service describes the servers and the load of one service.
type Service struct {
	Name        mtid.Service
	Instances   int
	Slots       int
	Connections int
	Time        mtstandin.ServiceTime
	Rate        float64 // requests a second over all daemons
	Keys        uint64
	Classes     []mtstandin.LoadClass
}

const (
	bodyLimit         = 1 << 20
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	maxOpenCalls      = 4096
	loadSeed          = 7
)

// AuditError reports that guarantees were violated while an example ran.
type AuditError struct{ Findings int }

// Error implements error.
func (e *AuditError) Error() string {
	return fmt.Sprintf("the audit found %d broken promises", e.Findings)
}

// ReadyError reports that a service got no shards within the start timeout.
type ReadyError struct{ Service mtid.Ref }

// Error implements error.
func (e *ReadyError) Error() string {
	return "no shards of " + e.Service.String() + " were assigned in time"
}

// node is a VM that runs a daemon and a backend server.
type node struct {
	name    mtid.Daemon
	service Service
	daemon  *mtdaemon.Daemon
	caller  string
	stop    func()
	done    chan error
	kill    func() // ends daemon and server without a graceful shutdown
	killed  bool
}

// Fleet is a running deployment. Its methods must be called from one goroutine.
type Fleet struct {
	Deployment
	store         *iostore.Memory
	nodes         []*node
	events        bytes.Buffer
	calls         bytes.Buffer
	serverJournal *mtstandin.Journal[mtaudit.Event]
	callerJournal *mtstandin.Journal[mtaudit.Call]
	marks         []mtaudit.Mark
	cleanUps      []func()
}

// New starts a deployment, waits until every daemon knows the owner of every key
// and returns the fleet with its clean-up function. It returns a *ReadyError if
// that takes too long, or the error of the component that did not start.
func New(d Deployment) (*Fleet, func(), error) {
	f := &Fleet{Deployment: d, store: iostore.NewMemory(time.Now)}
	f.serverJournal = mtstandin.NewJournal[mtaudit.Event](&f.events)
	f.callerJournal = mtstandin.NewJournal[mtaudit.Call](&f.calls)
	if err := f.start(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

// Daemons returns all daemons, including killed ones, in start order.
func (f *Fleet) Daemons() []*mtdaemon.Daemon {
	var out []*mtdaemon.Daemon
	for _, n := range f.nodes {
		out = append(out, n.daemon)
	}
	return out
}

// Running returns the daemons that were not killed.
func (f *Fleet) Running() []*mtdaemon.Daemon {
	var out []*mtdaemon.Daemon
	for _, n := range f.nodes {
		if !n.killed {
			out = append(out, n.daemon)
		}
	}
	return out
}

// Kill ends the daemon and server of the VMs with these indexes at the same time
// and without a graceful shutdown.
func (f *Fleet) Kill(indexes ...int) {
	var group sync.WaitGroup
	for _, i := range indexes {
		f.nodes[i].killed = true
		group.Go(f.nodes[i].kill)
	}
	group.Wait()
}

// Store returns the in-memory store of the daemons.
func (f *Fleet) Store() *iostore.Memory { return f.store }

func (f *Fleet) close() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}

func (f *Fleet) mark(name string) {
	f.marks = append(f.marks, mtaudit.Mark{Name: name, At: time.Now()})
}

// start starts everything and waits until each service has its shards.
func (f *Fleet) start() error {
	if err := f.acceptBundle(); err != nil {
		return err
	}
	for _, s := range f.Services {
		for i := range s.Instances {
			if err := f.addNode(s, i); err != nil {
				return err
			}
		}
	}
	for _, s := range f.Services {
		if err := f.awaitShards(s); err != nil {
			return err
		}
	}
	return nil
}

// acceptBundle puts the bundle in force.
func (f *Fleet) acceptBundle() error {
	stored := mtbundle.Stored{Business: f.Business, Version: 1, Text: f.Bundle, Accepted: time.Now()}
	value, err := stored.Encode()
	if err != nil {
		return err
	}
	_, err = f.store.Swap(context.Background(), mtstore.BundleName(f.Business), 0, value, "")
	return err
}

// ephemeralAddress is a loopback address whose port the kernel chooses.
const ephemeralAddress = "127.0.0.1:0"

func (f *Fleet) newSettings(name mtid.Daemon, zone mtid.Zone) *mtsetting.Settings {
	return &mtsetting.Settings{
		Name: name, Zone: zone, Region: f.Region, MaxBodyBytes: bodyLimit, Log: slog.LevelWarn,
		Caller: ephemeralAddress, Relay: ephemeralAddress, Renew: ephemeralAddress, Local: ephemeralAddress, Admin: ephemeralAddress,
	}
}

// addNode starts the daemon and the server of one VM. Instances are placed in the
// zones in turn.
func (f *Fleet) addNode(s Service, i int) error {
	n := &node{name: mtid.Daemon(fmt.Sprintf("%s-%d", s.Name, i+1)), service: s, done: make(chan error, 1)}
	settings := f.newSettings(n.name, f.Zones[i%len(f.Zones)])
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{
		Settings: settings, Store: f.store, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	n.daemon, n.caller = daemon, daemon.Addresses().Caller
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- daemon.Run(ctx) }()
	killServer, err := f.startServer(n, daemon.Addresses().Local)
	if err != nil {
		cancel()
		return err
	}
	n.kill = sync.OnceFunc(func() {
		killServer()
		cleanUp()
	})
	f.nodes = append(f.nodes, n)
	f.cleanUps = append(f.cleanUps, cancel, n.kill)
	return nil
}

// startServer starts the backend server of a node and returns a function that
// kills it.
func (f *Fleet) startServer(n *node, local string) (func(), error) {
	listener, err := net.Listen("tcp", ephemeralAddress)
	if err != nil {
		return nil, err
	}
	server, cleanUp, err := mtstandin.NewServer(mtstandin.ServerSetting{
		Name: string(n.name), Service: mtid.Ref{Business: f.Business, Service: n.service.Name},
		Address: listener.Addr().String(), Daemon: "http://" + local,
		Slots: n.service.Slots, Connections: n.service.Connections, Epochs: true, Deadlines: true,
		Time: n.service.Time, ColdFactor: 1, Reply: 64, Seed: uint64(len(f.nodes) + 1),
	}, f.serverJournal, func() {})
	if err != nil {
		return nil, err
	}
	backend := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = backend.Serve(listener) }()
	return func() {
		cleanUp()
		_ = backend.Close()
	}, nil
}

// awaitShards waits until every daemon knows all shards of a service.
func (f *Fleet) awaitShards(s Service) error {
	ref := mtid.Ref{Business: f.Business, Service: s.Name}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for !hasAllShards(n, ref) {
			if time.Now().After(deadline) {
				return &ReadyError{Service: ref}
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func hasAllShards(n *node, ref mtid.Ref) bool {
	view, err := mtkernel.Lookup[*mtview.View](n.daemon.Kernel(), mtdaemon.NameView)
	if err != nil {
		return false
	}
	tables := view.Snapshot().Tables(ref)
	for _, table := range tables {
		if table == nil || len(table.Shards) == 0 {
			return false
		}
	}
	return len(tables) > 0
}
