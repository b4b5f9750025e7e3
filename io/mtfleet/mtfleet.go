// Package mtfleet runs a whole deployment in one process for the examples: a
// store stand-in, daemons with their backend-server stand-ins, callers, and the
// audit that joins what all of them wrote down.
//
// # Usage
//
//	err := mtfleet.Run(ctx, mtfleet.Deployment{...}, os.Stdout)
//
// Run fails with an *AuditError if a promise was broken.
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

// Deployment is what an example runs.
type Deployment struct {
	Business mtid.Business
	Bundle   []byte
	Region   mtid.Region
	Zones    []mtid.Zone
	Services []Service
	// Length is how long callers send, the moment of each event included.
	Length time.Duration
}

// Service is one service of a deployment.
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
	bodyLimit   = 1 << 20
	readyWithin = 30 * time.Second
	readyPoll   = 20 * time.Millisecond
	openCalls   = 4096
	loadSeed    = 7
)

// AuditError says that a promise was broken while an example ran.
type AuditError struct{ Findings int }

// Error implements error.
func (e *AuditError) Error() string {
	return fmt.Sprintf("the audit found %d broken promises", e.Findings)
}

// ReadyError says that a deployment did not come up.
type ReadyError struct{ Service mtid.Ref }

// Error implements error.
func (e *ReadyError) Error() string {
	return "no shards of " + e.Service.String() + " were assigned in time"
}

// node is a VM: a daemon with the backend server beside it.
type node struct {
	name    mtid.Daemon
	service Service
	daemon  *mtdaemon.Daemon
	caller  string
	stop    func()
	done    chan error
	lose    func() // daemon and server end without a word
	lost    bool
}

// Fleet is a deployment that is up. Its methods are called from one goroutine.
type Fleet struct {
	Deployment
	store  *iostore.Memory
	nodes  []*node
	events bytes.Buffer
	calls  bytes.Buffer
	server *mtstandin.Journal[mtaudit.Event]
	caller *mtstandin.Journal[mtaudit.Call]
	marks  []mtaudit.Mark
	clean  []func()
}

// New brings a deployment up and returns it with its clean-up function, once
// every daemon knows the owner of every key. It fails with a *ReadyError, or
// with the error of what could not be started.
func New(d Deployment) (*Fleet, func(), error) {
	f := &Fleet{Deployment: d, store: iostore.NewMemory(time.Now)}
	f.server = mtstandin.NewJournal[mtaudit.Event](&f.events)
	f.caller = mtstandin.NewJournal[mtaudit.Call](&f.calls)
	if err := f.up(); err != nil {
		f.close()
		return nil, nil, err
	}
	return f, f.close, nil
}

// Daemons returns the daemons in the order of their start.
func (f *Fleet) Daemons() []*mtdaemon.Daemon {
	var out []*mtdaemon.Daemon
	for _, n := range f.nodes {
		out = append(out, n.daemon)
	}
	return out
}

// Living returns the daemons that were not lost.
func (f *Fleet) Living() []*mtdaemon.Daemon {
	var out []*mtdaemon.Daemon
	for _, n := range f.nodes {
		if !n.lost {
			out = append(out, n.daemon)
		}
	}
	return out
}

// Lose ends VMs, daemon and server, all at once and without a word to anyone.
func (f *Fleet) Lose(places ...int) {
	var losing sync.WaitGroup
	for _, i := range places {
		f.nodes[i].lost = true
		losing.Go(f.nodes[i].lose)
	}
	losing.Wait()
}

// Store returns the store stand-in.
func (f *Fleet) Store() *iostore.Memory { return f.store }

func (f *Fleet) close() {
	for i := len(f.clean) - 1; i >= 0; i-- {
		f.clean[i]()
	}
}

func (f *Fleet) mark(name string) {
	f.marks = append(f.marks, mtaudit.Mark{Name: name, At: time.Now()})
}

// up starts everything and waits until each service has its shards.
func (f *Fleet) up() error {
	if err := f.accept(); err != nil {
		return err
	}
	for _, s := range f.Services {
		for i := range s.Instances {
			if err := f.add(s, i); err != nil {
				return err
			}
		}
	}
	for _, s := range f.Services {
		if err := f.ready(s); err != nil {
			return err
		}
	}
	return nil
}

// accept puts the bundle in force.
func (f *Fleet) accept() error {
	stored := mtbundle.Stored{Business: f.Business, Version: 1, Text: f.Bundle, Accepted: time.Now()}
	value, err := stored.Encode()
	if err != nil {
		return err
	}
	_, err = f.store.Swap(context.Background(), mtstore.BundleName(f.Business), 0, value, "")
	return err
}

// anywhere is an address of the loopback whose port the kernel chooses.
const anywhere = "127.0.0.1:0"

func (f *Fleet) settings(name mtid.Daemon, zone mtid.Zone) *mtsetting.Settings {
	return &mtsetting.Settings{
		Name: name, Zone: zone, Region: f.Region, Body: bodyLimit, Log: slog.LevelWarn,
		Caller: anywhere, Relay: anywhere, Renew: anywhere, Local: anywhere, Admin: anywhere,
	}
}

// add starts one VM's daemon and server. Instances go round the zones.
func (f *Fleet) add(s Service, i int) error {
	n := &node{name: mtid.Daemon(fmt.Sprintf("%s-%d", s.Name, i+1)), service: s, done: make(chan error, 1)}
	settings := f.settings(n.name, f.Zones[i%len(f.Zones)])
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
	loseServer, err := f.serve(n, daemon.Addresses().Local)
	if err != nil {
		cancel()
		return err
	}
	n.lose = sync.OnceFunc(func() {
		loseServer()
		cleanUp()
	})
	f.nodes = append(f.nodes, n)
	f.clean = append(f.clean, cancel, n.lose)
	return nil
}

// serve starts the backend server of a node and returns what ends it at once.
func (f *Fleet) serve(n *node, local string) (func(), error) {
	listener, err := net.Listen("tcp", anywhere)
	if err != nil {
		return nil, err
	}
	server, cleanUp, err := mtstandin.NewServer(mtstandin.ServerSetting{
		Name: string(n.name), Service: mtid.Ref{Business: f.Business, Service: n.service.Name},
		Address: listener.Addr().String(), Daemon: "http://" + local,
		Slots: n.service.Slots, Connections: n.service.Connections, Epochs: true, Deadlines: true,
		Time: n.service.Time, ColdFactor: 1, Reply: 64, Seed: uint64(len(f.nodes) + 1),
	}, f.server, func() {})
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

// ready waits until every daemon knows all shards of a service.
func (f *Fleet) ready(s Service) error {
	ref := mtid.Ref{Business: f.Business, Service: s.Name}
	deadline := time.Now().Add(readyWithin)
	for _, n := range f.nodes {
		for !known(n, ref) {
			if time.Now().After(deadline) {
				return &ReadyError{Service: ref}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func known(n *node, ref mtid.Ref) bool {
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
