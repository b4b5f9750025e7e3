// Command capacity measures how the costs of the router grow with the size of the
// fleet. The capacity plan in docs/CAPACITY.md is calculated from its results.
//
// # Usage
//
//	go run ./cmd/capacity state   sizes, memory and times of the replicated state
//	go run ./cmd/capacity fleet   idle daemons, and the propagation of a change
//	go run ./cmd/capacity loss    recovery from the loss of a VM and of a zone
//	go run ./cmd/capacity moves   how long moving shards accept no requests
//
// Everything runs in this process and over loopback. Measured times depend on the
// machine, so only times of the same run are comparable.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&stateCommand{}, "")
	subcommands.Register(&fleetCommand{}, "")
	subcommands.Register(&lossCommand{}, "")
	subcommands.Register(&movesCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// measureSizes prints a table with the results of measure for each of the fleet sizes,
// which are comma-separated.
func measureSizes(command, sizes string, smallest int, columns string, measure func(w *tabwriter.Writer, size int) error) subcommands.ExitStatus {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	const padding = 2
	w := tabwriter.NewWriter(os.Stdout, 0, 0, padding, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, columns)
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil || size < smallest {
			fmt.Fprintf(os.Stderr, "sizes: %q: want an integer of at least %d\n", text, smallest)
			return subcommands.ExitUsageError
		}
		if err := measure(w, size); err != nil {
			fmt.Fprintln(os.Stderr, command+":", err)
			return subcommands.ExitFailure
		}
	}
	_ = w.Flush()
	return subcommands.ExitSuccess
}
