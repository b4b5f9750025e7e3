package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtview"
	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtfleet"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtstandin"
	iostore "magnoliaturn/io/mtstore"
)

// movesCommand measures how long a shard accepts no requests while it moves.
type movesCommand struct {
	size  int
	moves int
	slow  time.Duration
	rate  float64
}

// Name implements subcommands.Command.
func (*movesCommand) Name() string { return "moves" }

// Synopsis implements subcommands.Command.
func (*movesCommand) Synopsis() string { return "measure how long moving shards accept no requests" }

// Usage implements subcommands.Command.
func (*movesCommand) Usage() string {
	return "moves [-size 8] [-moves 500] [-slow 3ms] [-rate 800]\n  Example: go run ./cmd/capacity moves -slow 3ms\n"
}

// SetFlags implements subcommands.Command.
func (c *movesCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.size, "size", 8, "daemons")
	f.IntVar(&c.moves, "moves", 500, "shards to move, one after another")
	f.DurationVar(&c.slow, "slow", 3*time.Millisecond, "how long each call of the store takes")
	f.Float64Var(&c.rate, "rate", 800, "requests per second during the moves")
}

// Execute implements subcommands.Command.
func (c *movesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if err := c.measure(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "moves:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	movePause   = 25 * time.Millisecond // pause after each move, and the time that send allows for one
	movesSettle = 15 * time.Second
	moveSeed    = 3
)

func (c *movesCommand) measure(ctx context.Context) error {
	f, cleanUp, err := mtfleet.New(deployment(c.size))
	if err != nil {
		return err
	}
	defer cleanUp()
	time.Sleep(movesSettle)
	f.Store().SetFaults(iostore.Faults{Slow: c.slow})
	before := stopTimes(f)
	done := make(chan error, 1)
	go func() {
		done <- c.send(ctx, f)
	}()
	refused := c.move(ctx, f)
	if err := <-done; err != nil {
		return err
	}
	after := stopTimes(f).Summary()
	const padding = 2
	w := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "asked\trefused\tmoved\tstopped p50 ms\tp99 ms\tlongest ms\t")
	_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", c.moves, refused, after.Count-before.Summary().Count,
		milliseconds(after.P50), milliseconds(after.P99), milliseconds(after.Max))
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Audit(os.Stdout)
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// send sends requests at the configured rate for about as long as the moves take.
func (c *movesCommand) send(ctx context.Context, f *mtfleet.Fleet) error {
	s := deployment(c.size).Services[0]
	s.Rate, s.Keys = c.rate, 500
	s.Classes = []mtstandin.LoadClass{
		{Name: "status", Idempotent: true, Weight: 4, Timeout: 400 * time.Millisecond},
		{Name: "send", Weight: 1, Timeout: 3 * time.Second, Body: 32},
	}
	summary, err := f.Send(ctx, s, time.Duration(c.moves)*movePause+time.Second, 0)
	if err != nil {
		return err
	}
	return summary.Print(os.Stdout)
}

// move requests random moves one after another and returns how many were refused.
func (c *movesCommand) move(ctx context.Context, f *mtfleet.Fleet) int {
	random := rand.New(rand.NewPCG(moveSeed, moveSeed))
	daemons := f.Daemons()
	ref := mtid.Ref{Business: business, Service: "dispatch"}
	mover, err := mtkernel.Lookup[*mtmover.Mover](daemons[0].Kernel(), mtdaemon.NameMover)
	must(err)
	refused := 0
	for range c.moves {
		shard := randomShard(random, daemons[0], ref)
		to := daemons[random.IntN(len(daemons))].Self()
		if to == shard.Owner || mover.Move(ctx, shard.Owner, ref, shard.Low, to) != nil {
			refused++
		}
		time.Sleep(movePause)
	}
	return refused
}

// randomShard returns a random shard from a daemon's view.
func randomShard(random *rand.Rand, d *mtdaemon.Daemon, ref mtid.Ref) mtshard.Shard {
	view, err := mtkernel.Lookup[*mtview.View](d.Kernel(), mtdaemon.NameView)
	must(err)
	tables := view.Snapshot().Tables(ref)
	table := tables[random.IntN(len(tables))]
	return table.Shards[random.IntN(len(table.Shards))]
}

// stopTimes merges the stop times of shards that all daemons recorded.
func stopTimes(f *mtfleet.Fleet) *mtmetric.Durations {
	all := mtmetric.NewDurations()
	for _, d := range f.Daemons() {
		all.Merge(d.StopTimes())
	}
	return all
}
