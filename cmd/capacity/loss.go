package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtfleet"
)

// lossCommand measures how long it takes after the loss of a VM, and of an
// availability zone, until every remaining daemon has a live owner for every key.
type lossCommand struct {
	sizes  string
	settle time.Duration
	rounds int
}

// Name implements subcommands.Command.
func (*lossCommand) Name() string { return "loss" }

// Synopsis implements subcommands.Command.
func (*lossCommand) Synopsis() string { return "measure the recovery from a lost VM and a lost zone" }

// Usage implements subcommands.Command.
func (*lossCommand) Usage() string {
	return "loss [-sizes 8,16,32] [-settle 40s] [-rounds 3]\n  Example: go run ./cmd/capacity loss -sizes 8,16,32\n"
}

// SetFlags implements subcommands.Command.
func (c *lossCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sizes, "sizes", "8,16,32", "`numbers` of daemons")
	f.DurationVar(&c.settle, "settle", 40*time.Second, "how long to wait after the start, until witnesses are paired")
	f.IntVar(&c.rounds, "rounds", 3, "how many VMs to lose one after another before the zone")
}

// Execute implements subcommands.Command.
func (c *lossCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return measureSizes("loss", c.sizes, 8, "daemons\tVM lost, median s\tlongest s\tzone: VMs lost\tzone lost s\t", c.measure)
}

func (c *lossCommand) measure(w *tabwriter.Writer, size int) error {
	f, cleanUp, err := mtfleet.New(deployment(size))
	if err != nil {
		return err
	}
	defer cleanUp()
	time.Sleep(c.settle)
	var singles []time.Duration
	for i := range c.rounds {
		// Daemons are assigned to the four zones round robin. The ones lost here
		// are not in the first zone, all of whose daemons are lost at the end.
		took, err := measureLoss(f, []int{1 + 4*i/3 + i%3})
		if err != nil {
			return err
		}
		singles = append(singles, took)
		time.Sleep(c.settle / 4)
	}
	var zone []int
	for i := 0; i < size; i += 4 {
		zone = append(zone, i)
	}
	took, err := measureLoss(f, zone)
	if err != nil {
		return err
	}
	slices.Sort(singles)
	_, err = fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%d\t%.2f\t\n", size, singles[len(singles)/2].Seconds(),
		singles[len(singles)-1].Seconds(), len(zone), took.Seconds())
	return err
}

// LossError reports that some keys still had no live owner when the time limit
// after a loss had passed.
type LossError struct{ After time.Duration }

// Error implements error.
func (e *LossError) Error() string {
	return fmt.Sprintf("some keys still had no live owner %s after the loss", e.After)
}

// measureLoss terminates daemons together with their servers and returns how long
// it took until all remaining daemons had a live owner for each shard.
func measureLoss(f *mtfleet.Fleet, indexes []int) (time.Duration, error) {
	lost := map[mtid.Holder]bool{}
	for _, i := range indexes {
		lost[f.Daemons()[i].Self()] = true
	}
	begin := time.Now()
	f.Kill(indexes...)
	for {
		if recovered(f, lost) {
			return time.Since(begin), nil
		}
		if time.Since(begin) > waitTimeout {
			return 0, &LossError{After: waitTimeout}
		}
		time.Sleep(pollInterval)
	}
}

// recovered reports whether no remaining daemon has a lost one as the owner of a
// shard.
func recovered(f *mtfleet.Fleet, lost map[mtid.Holder]bool) bool {
	ref := mtid.Ref{Business: business, Service: "dispatch"}
	for _, d := range f.Running() {
		view, err := mtkernel.Lookup[*mtview.View](d.Kernel(), mtdaemon.NameView)
		must(err)
		for _, table := range view.Snapshot().Tables(ref) {
			for _, shard := range table.Shards {
				if lost[shard.Owner] {
					return false
				}
			}
		}
	}
	return true
}
