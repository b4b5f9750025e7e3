// Command capacity measures the slopes that docs/CAPACITY.md is worked out from.
//
// # Usage
//
//	go run ./cmd/capacity state   sizes, memory and time of the copied state
//	go run ./cmd/capacity fleet   daemons at rest, and the spread of a change
//	go run ./cmd/capacity loss    recovery from a lost VM and a lost zone
//	go run ./cmd/capacity moves   how long moving shards take no work
//
// Everything runs in this process and on loopback. Figures of time depend on
// the machine; compare only within one run.
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
