package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// simulation is a subcommand that compares policies in virtual time and prints a table
// for each load.
type simulation struct {
	name     string
	synopsis string
	seedOf   string        // what the seed determines
	length   time.Duration // default length of a run
	compare  func(w *tabwriter.Writer, seed uint64, length time.Duration)

	seed    uint64
	seconds int
}

// Name implements subcommands.Command.
func (s *simulation) Name() string { return s.name }

// Synopsis implements subcommands.Command.
func (s *simulation) Synopsis() string { return s.synopsis }

// Usage implements subcommands.Command.
func (s *simulation) Usage() string { return s.name + " [-seed n] [-seconds n]\n" }

// SetFlags implements subcommands.Command.
func (s *simulation) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&s.seed, "seed", 1, "seed of "+s.seedOf)
	f.IntVar(&s.seconds, "seconds", int(s.length.Seconds()), "length of each run in virtual seconds")
}

// Execute implements subcommands.Command.
func (s *simulation) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)
	s.compare(w, s.seed, time.Duration(s.seconds)*time.Second)
	_ = w.Flush()
	return subcommands.ExitSuccess
}

// printHeading prints the heading of the table for a load.
func printHeading(w *tabwriter.Writer, load string, seed uint64, length time.Duration, columns string) {
	_, _ = fmt.Fprintf(w, "\n%s, seed %d, %v\n", load, seed, length)
	_, _ = fmt.Fprintln(w, columns)
}
