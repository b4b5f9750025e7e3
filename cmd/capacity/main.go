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
	"os"

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
