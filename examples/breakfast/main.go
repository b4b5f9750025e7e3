// Command breakfast demonstrates load balancing by shard placement. It runs the
// dispatch service of the Riga deployment with five servers in one process and
// sends a load in which a few hotel rooms receive most of the requests. Every five
// seconds it prints the load of each server, the ratio of the highest load to the
// mean, and the number of shards. The planner splits and moves shards until the
// load is balanced. The exit code is 0 only if the audit of all requests finds no
// violated guarantee.
//
// # Usage
//
//	go run ./examples/breakfast
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtview"
	"magnoliaturn/examples/bundles"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtfleet"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtstandin"
)

const (
	loadDuration   = 60 * time.Second
	reportInterval = 5 * time.Second
	zipfExponent   = 1.05
)

var dispatch = mtid.Ref{Business: "ratins", Service: "dispatch"}

func main() {
	// The simulated servers log failed connections until their daemon listens.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "breakfast:", err)
		os.Exit(1)
	}
}

func service() mtfleet.Service {
	return mtfleet.Service{
		Name: dispatch.Service, Instances: 5, Slots: 12, Connections: 130, Rate: 900, Keys: 400,
		Time: mtstandin.ServiceTime{Shape: mtstandin.Exponential, Mean: 5 * time.Millisecond},
		Classes: []mtstandin.LoadClass{
			{Name: "status", Idempotent: true, Weight: 9, Timeout: 400 * time.Millisecond},
			{Name: "send", Weight: 1, Timeout: 3 * time.Second, Body: 32},
		},
	}
}

func run(ctx context.Context) error {
	s := service()
	fleet, cleanUp, err := mtfleet.New(mtfleet.Deployment{
		Business: dispatch.Business, Bundle: bundles.Ratins, Region: "riga",
		Zones:    []mtid.Zone{"old-town", "centrs", "kipsala", "airport"},
		Services: []mtfleet.Service{s},
	})
	if err != nil {
		return err
	}
	defer cleanUp()
	done := make(chan error, 1)
	go func() {
		summary, err := fleet.Send(ctx, s, loadDuration, zipfExponent)
		if err == nil {
			err = summary.Print(os.Stdout)
		}
		done <- err
	}()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	begin := time.Now()
	for {
		select {
		case err := <-done:
			if err != nil {
				return err
			}
			return fleet.Audit(os.Stdout)
		case <-ticker.C:
			if err := printLoads(fleet, time.Since(begin)); err != nil {
				return err
			}
		}
	}
}

// printLoads prints one line with the load of each server.
func printLoads(fleet *mtfleet.Fleet, elapsed time.Duration) error {
	total, highest := 0.0, 0.0
	line := ""
	for _, d := range fleet.Daemons() {
		load, err := busySlots(d)
		if err != nil {
			return err
		}
		total += load
		highest = max(highest, load)
		line += fmt.Sprintf(" %5.2f", load)
	}
	view, err := mtkernel.Lookup[*mtview.View](fleet.Daemons()[0].Kernel(), mtdaemon.NameView)
	if err != nil {
		return err
	}
	shards, versions := 0, mtid.Version(0)
	for _, table := range view.Snapshot().Tables(dispatch) {
		shards += len(table.Shards)
		versions += table.Version
	}
	mean := total / float64(len(fleet.Daemons()))
	fmt.Printf("%3.0f s  slots in use:%s  max/mean %.2f  shards %d  versions %d\n", elapsed.Seconds(), line, highest/max(mean, 0.001), shards, versions)
	return nil
}

// busySlots returns the number of slots in use by the keys that a daemon owns.
func busySlots(d *mtdaemon.Daemon) (float64, error) {
	owner, err := mtkernel.Lookup[*mtowner.Owner](d.Kernel(), mtdaemon.NameOwner)
	if err != nil {
		return 0, err
	}
	view, err := mtkernel.Lookup[*mtview.View](d.Kernel(), mtdaemon.NameView)
	if err != nil {
		return 0, err
	}
	owns := func(low mtid.Point) bool {
		shard, ok := view.Snapshot().Lookup(dispatch, low)
		return ok && shard.Owner == d.Self()
	}
	return owner.Meter(dispatch).Report(d.Now(), d.Self(), dispatch, owns).Load, nil
}
