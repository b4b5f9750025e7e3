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
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtmover"
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
}

// run is one run of a deployment.
type run struct {
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

// Run brings a deployment up, sends load through every daemon, moves a shard,
// loses a VM, shuts everything down and prints what became of all requests.
func Run(ctx context.Context, d Deployment, out io.Writer) error {
	r := &run{Deployment: d, store: iostore.NewMemory(time.Now)}
	r.server = mtstandin.NewJournal[mtaudit.Event](&r.events)
	r.caller = mtstandin.NewJournal[mtaudit.Call](&r.calls)
	defer r.close()
	if err := r.up(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: %d daemons in %d availability zones of %s\n", d.Business, len(r.nodes), len(d.Zones), d.Region)
	summaries, err := r.load(ctx, out)
	if err != nil {
		return err
	}
	r.shutdown()
	for i, s := range summaries {
		_, _ = fmt.Fprintf(out, "\n%s/%s: ", d.Business, d.Services[i].Name)
		if err := s.Print(out); err != nil {
			return err
		}
	}
	return r.audit(out)
}

func (r *run) close() {
	for i := len(r.clean) - 1; i >= 0; i-- {
		r.clean[i]()
	}
}

func (r *run) mark(name string) { r.marks = append(r.marks, mtaudit.Mark{Name: name, At: time.Now()}) }

// up starts everything and waits until each service has its shards.
func (r *run) up() error {
	if err := r.accept(); err != nil {
		return err
	}
	for _, s := range r.Services {
		for i := range s.Instances {
			if err := r.add(s, i); err != nil {
				return err
			}
		}
	}
	for _, s := range r.Services {
		if err := r.ready(s); err != nil {
			return err
		}
	}
	return nil
}

// accept puts the bundle in force.
func (r *run) accept() error {
	stored := mtbundle.Stored{Business: r.Business, Version: 1, Text: r.Bundle, Accepted: time.Now()}
	value, err := stored.Encode()
	if err != nil {
		return err
	}
	_, err = r.store.Swap(context.Background(), mtstore.BundleName(r.Business), 0, value, "")
	return err
}

// freeAddress returns an address of the loopback that nothing listens on now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (r *run) settings(name mtid.Daemon, zone mtid.Zone) (*mtsetting.Settings, error) {
	s := &mtsetting.Settings{Name: name, Zone: zone, Region: r.Region, Body: bodyLimit, Log: slog.LevelWarn}
	for _, field := range []*string{&s.Caller, &s.Relay, &s.Renew, &s.Local, &s.Admin} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*field = address
	}
	return s, nil
}

// add starts one VM's daemon and server. Instances go round the zones.
func (r *run) add(s Service, i int) error {
	n := &node{name: mtid.Daemon(fmt.Sprintf("%s-%d", s.Name, i+1)), service: s, done: make(chan error, 1)}
	settings, err := r.settings(n.name, r.Zones[i%len(r.Zones)])
	if err != nil {
		return err
	}
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{
		Settings: settings, Store: r.store, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	n.daemon, n.caller = daemon, settings.Caller
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- daemon.Run(ctx) }()
	loseServer, err := r.serve(n, settings.Local)
	if err != nil {
		cancel()
		return err
	}
	n.lose = func() {
		loseServer()
		cleanUp()
	}
	r.nodes = append(r.nodes, n)
	r.clean = append(r.clean, cancel, n.lose)
	return nil
}

// serve starts the backend server of a node and returns what ends it at once.
func (r *run) serve(n *node, local string) (func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server, cleanUp, err := mtstandin.NewServer(mtstandin.ServerSetting{
		Name: string(n.name), Service: mtid.Ref{Business: r.Business, Service: n.service.Name},
		Address: listener.Addr().String(), Daemon: "http://" + local,
		Slots: n.service.Slots, Connections: n.service.Connections, Epochs: true, Deadlines: true,
		Time: n.service.Time, ColdFactor: 1, Reply: 64, Seed: uint64(len(r.nodes) + 1),
	}, r.server, func() {})
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
func (r *run) ready(s Service) error {
	ref := mtid.Ref{Business: r.Business, Service: s.Name}
	deadline := time.Now().Add(readyWithin)
	for _, n := range r.nodes {
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
	tables := view.Now().Tables(ref)
	for _, table := range tables {
		if table == nil || len(table.Shards) == 0 {
			return false
		}
	}
	return len(tables) > 0
}

// load sends through every daemon while a shard moves and a VM is lost.
func (r *run) load(ctx context.Context, out io.Writer) ([]mtstandin.Summary, error) {
	var targets []string
	for _, n := range r.nodes {
		targets = append(targets, "http://"+n.caller)
	}
	loads := make([]*mtstandin.Load, len(r.Services))
	for i, s := range r.Services {
		load, cleanUp, err := mtstandin.NewLoad(mtstandin.LoadSetting{
			Service: mtid.Ref{Business: r.Business, Service: s.Name}, Targets: targets,
			Rate: s.Rate, Duration: r.Length, Keys: s.Keys, Classes: s.Classes, Tries: 1, Open: openCalls, Seed: loadSeed,
		}, r.caller, nil)
		if err != nil {
			return nil, err
		}
		r.clean = append(r.clean, cleanUp)
		loads[i] = load
	}
	results := make(chan struct{}, len(loads))
	summaries := make([]mtstandin.Summary, len(loads))
	for i, load := range loads {
		go func() {
			summaries[i] = load.Run(ctx)
			results <- struct{}{}
		}()
	}
	r.disturb(ctx, out)
	for range loads {
		<-results
	}
	return summaries, nil
}

// disturb moves a shard after a third of the run and loses a VM after two.
func (r *run) disturb(ctx context.Context, out io.Writer) {
	const parts = 3
	time.Sleep(r.Length / parts)
	r.mark("move")
	if err := r.move(ctx); err != nil {
		_, _ = fmt.Fprintln(out, "the shard was not moved:", err)
	}
	time.Sleep(r.Length / parts)
	r.mark("loss of a VM")
	r.nodes[0].lose()
}

// move moves one shard of the first service from its first instance to the
// second, as a planner would.
func (r *run) move(ctx context.Context) error {
	ref := mtid.Ref{Business: r.Business, Service: r.Services[0].Name}
	from, to := r.nodes[0].daemon.Self(), r.nodes[1].daemon.Self()
	view, err := mtkernel.Lookup[*mtview.View](r.nodes[0].daemon.Kernel(), mtdaemon.NameView)
	if err != nil {
		return err
	}
	mover, err := mtkernel.Lookup[*mtmover.Mover](r.nodes[1].daemon.Kernel(), mtdaemon.NameMover)
	if err != nil {
		return err
	}
	for _, table := range view.Now().Tables(ref) {
		for _, shard := range table.Owned(from) {
			return mover.Move(ctx, from, ref, shard.Low, to)
		}
	}
	return nil
}

// shutdown stops every daemon that is left, gracefully and one at a time, the
// way an upgrade does.
func (r *run) shutdown() {
	r.mark("shutdown")
	for _, n := range r.nodes[1:] {
		n.stop()
		<-n.done
	}
}

// audit joins the journals and prints the report.
func (r *run) audit(out io.Writer) error {
	events, err := mtstandin.ReadJournal[mtaudit.Event](&r.events)
	if err != nil {
		return err
	}
	calls, err := mtstandin.ReadJournal[mtaudit.Call](&r.calls)
	if err != nil {
		return err
	}
	report := mtaudit.Audit(mtaudit.Input{Events: events, Calls: calls, Marks: r.marks})
	_, _ = fmt.Fprintf(out, "\naudit: %d runs, %d calls, %d findings\n", report.Runs, report.Calls, len(report.Findings))
	for _, p := range report.Phases {
		_, _ = fmt.Fprintf(out, "  %-14s a key was unavailable for at least %s, at most %s (%s)\n",
			p.Name, p.Longest.AtLeast.Round(time.Millisecond), p.Longest.AtMost.Round(time.Millisecond), counts(p))
	}
	for _, f := range report.Findings {
		_, _ = fmt.Fprintln(out, " ", f)
	}
	if len(report.Findings) > 0 {
		return &AuditError{Findings: len(report.Findings)}
	}
	return nil
}

// counts lists how the calls of a phase ended.
func counts(p mtaudit.Phase) string {
	var parts []string
	for _, c := range p.Counts {
		parts = append(parts, strings.TrimSpace(fmt.Sprintf("%d %s %s", c.Calls, c.Outcome, c.Cause)))
	}
	return strings.Join(parts, ", ")
}
