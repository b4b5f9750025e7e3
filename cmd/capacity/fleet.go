package main

import (
	"bytes"
	"context"
	"expvar"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/examples/bundles"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtfleet"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mtstandin"
)

const (
	business     = "ratins"
	waitTimeout  = 30 * time.Second
	pollInterval = time.Millisecond
	// changePause keeps consecutive changes from overlapping, because at 1,900 a
	// day they would not overlap either.
	changePause = 1230 * time.Millisecond
)

// fleetCommand measures complete daemons that all run in this process.
type fleetCommand struct {
	sizes   string
	settle  time.Duration
	rest    time.Duration
	changes int
}

// Name implements subcommands.Command.
func (*fleetCommand) Name() string { return "fleet" }

// Synopsis implements subcommands.Command.
func (*fleetCommand) Synopsis() string { return "measure idle daemons and the propagation of a change" }

// Usage implements subcommands.Command.
func (*fleetCommand) Usage() string {
	return "fleet [-sizes 6,12,24] [-settle 40s] [-rest 20s] [-changes 20]\n  Example: go run ./cmd/capacity fleet -sizes 6,12,24\n"
}

// SetFlags implements subcommands.Command.
func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sizes, "sizes", "6,12,24", "`numbers` of daemons")
	f.DurationVar(&c.settle, "settle", 40*time.Second, "how long to wait after the start, until shards have stopped moving")
	f.DurationVar(&c.rest, "rest", 20*time.Second, "how long to measure the idle fleet")
	f.IntVar(&c.changes, "changes", 20, "how many bundles to activate at each fleet size")
}

// Execute implements subcommands.Command.
func (c *fleetCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return measureSizes("fleet", c.sizes, 2, "daemons\tUDP B/s\tUDP msg/s\tCPU %\theap MB\tgoroutines\tstore calls/h\twatching\tin force p50 ms\tmax ms\tpulls/change\t", c.measure)
}

// deployment returns a fleet of the given size, distributed over the zones of the
// region "riga".
func deployment(size int) mtfleet.Deployment {
	return mtfleet.Deployment{
		Business: business, Bundle: bundles.Ratins, Region: "riga",
		Zones: []mtid.Zone{"old-town", "centrs", "kipsala", "airport"},
		Services: []mtfleet.Service{{
			Name: "dispatch", Instances: size, Slots: 12, Connections: 130,
			Time: mtstandin.ServiceTime{Shape: mtstandin.Fixed, Mean: time.Millisecond},
		}},
	}
}

func (c *fleetCommand) measure(w *tabwriter.Writer, size int) error {
	before := heap()
	f, cleanUp, err := mtfleet.New(deployment(size))
	if err != nil {
		return err
	}
	defer cleanUp()
	time.Sleep(c.settle)
	memory := heap() - before
	first := readCounters(f)
	time.Sleep(c.rest)
	last := readCounters(f)
	delays, err := c.activateBundles(f)
	if err != nil {
		return err
	}
	pulled := readCounters(f).pulls - last.pulls
	seconds := c.rest.Seconds()
	perDaemon := func(v float64) float64 { return v / float64(size) }
	const mega = 1 << 20
	_, err = fmt.Fprintf(w, "%d\t%.0f\t%.1f\t%.2f\t%.1f\t%d\t%.0f\t%d\t%.0f\t%.0f\t%.1f\t\n", size,
		perDaemon(float64(last.bytes-first.bytes))/seconds, perDaemon(float64(last.messages-first.messages))/seconds,
		perDaemon((last.cpu-first.cpu).Seconds())/seconds*100, perDaemon(float64(memory))/mega, runtime.NumGoroutine()/size,
		float64(last.calls-first.calls)/seconds*3600, last.watching,
		float64(delays[len(delays)/2].Milliseconds()), float64(delays[len(delays)-1].Milliseconds()),
		float64(pulled)/float64(c.changes))
	return err
}

// fleetCounters holds the counters of a fleet, summed over its daemons, at one time.
type fleetCounters struct {
	bytes, messages int64
	pulls           int64
	cpu             time.Duration
	calls           int64
	watching        int64
}

// readCounters sums the counters of all daemons and adds those of the store.
func readCounters(f *mtfleet.Fleet) fleetCounters {
	var r fleetCounters
	for _, d := range f.Daemons() {
		renewer, err := mtkernel.Lookup[*mtrenew.Renewer](d.Kernel(), mtdaemon.NameRenew)
		must(err)
		counters := renewer.Counters()
		r.bytes += counters.SentBytes.Value() + counters.ReceivedBytes.Value()
		r.messages += counters.SentMessages.Value() + counters.ReceivedMessages.Value()
		r.pulls += d.Counter("sync", "pulled")
	}
	f.Store().Vars().Do(func(kv expvar.KeyValue) {
		value, ok := kv.Value.(*expvar.Int)
		switch {
		case !ok:
		case kv.Key == "watching":
			r.watching = value.Value()
		case kv.Key == "get" || kv.Key == "swap" || kv.Key == "watch" || kv.Key == "grant" || kv.Key == "renew":
			r.calls += value.Value()
		}
	})
	r.cpu = cpuTime()
	return r
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	must(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// activateBundles activates bundles one after another and returns how long each took to
// reach every daemon, in ascending order.
func (c *fleetCommand) activateBundles(f *mtfleet.Fleet) ([]time.Duration, error) {
	var took []time.Duration
	for i := range c.changes {
		version := mtid.Version(i + 2)
		d, err := activateVersion(f, version)
		if err != nil {
			return nil, err
		}
		took = append(took, d)
		time.Sleep(changePause)
	}
	slices.Sort(took)
	return took, nil
}

// NotActivatedError reports that some daemon did not activate a bundle within
// waitTimeout.
type NotActivatedError struct{ Version mtid.Version }

// Error implements error.
func (e *NotActivatedError) Error() string {
	return fmt.Sprintf("bundle version %d was not active on every daemon after %s", e.Version, waitTimeout)
}

// activateVersion writes a bundle version to the store and returns how long it took
// until every daemon had activated it.
func activateVersion(f *mtfleet.Fleet, version mtid.Version) (time.Duration, error) {
	text := bytes.Replace(bundles.Ratins, []byte("version    = 1"), fmt.Appendf(nil, "version    = %d", version), 1)
	stored := mtbundle.Stored{Business: business, Version: version, Text: text, Accepted: time.Now()}
	value, err := stored.Encode()
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	if _, err := f.Store().Swap(context.Background(), mtstore.BundleName(business), version-1, value, ""); err != nil {
		return 0, err
	}
	for _, d := range f.Daemons() {
		view, err := mtkernel.Lookup[*mtview.View](d.Kernel(), mtdaemon.NameView)
		must(err)
		for !isActive(view, version) {
			if time.Since(begin) > waitTimeout {
				return 0, &NotActivatedError{Version: version}
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(begin), nil
}

// isActive reports whether a daemon's view has the bundle version or a newer one.
func isActive(view *mtview.View, version mtid.Version) bool {
	bundle, ok := view.Snapshot().Bundle(business)
	return ok && bundle.Version >= version
}
