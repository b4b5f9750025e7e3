// Command policies runs the router's decision policies and simpler baselines
// on simulated loads and prints the results as tables.
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

// commands lists the subcommands. Each subcommand adds itself in an init function.
var commands []subcommands.Command

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, command := range commands {
		subcommands.Register(command, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
