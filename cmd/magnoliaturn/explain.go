package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtexplain"
)

// explainCommand prints the log lines of several daemons about one request.
type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell from logs what became of a request, and why" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain ID FILE...
  Read the logs of one or more daemons and print every line about the request,
  in order of time, after what the daemons concerned went by at that time. A
  file named - is standard input.

  Example: magnoliaturn explain 9c41d07be2a35f68 vm1.log vm2.log

`
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "explain needs an identifier and at least one file")
		return subcommands.ExitUsageError
	}
	logs, cleanUp, err := openLogs(f.Args()[1:])
	defer cleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	timeline, err := mtexplain.Read(f.Arg(0), logs...)
	if err == nil {
		err = timeline.Print(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
