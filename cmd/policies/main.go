// Command policies compares the decision policies with their baselines and
// prints the tables.
//
// # Usage
//
//	go run ./cmd/policies help
//
// Every subcommand is deterministic for a given -seed.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// reports are the subcommands; each file of this command adds its own.
var reports []subcommands.Command

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, report := range reports {
		subcommands.Register(report, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
