package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtloss"
)

// lossesCommand prints how many requests were lost and why.
type lossesCommand struct{}

// Name implements subcommands.Command.
func (*lossesCommand) Name() string { return "losses" }

// Synopsis implements subcommands.Command.
func (*lossesCommand) Synopsis() string {
	return "tell from logs what requests were lost to, by second and route"
}

// Usage implements subcommands.Command.
func (*lossesCommand) Usage() string {
	return `losses FILE...
  Read the logs of all daemons and print, for each second and each route, how many
  requests were asked, answered in time, and lost to which cause; beside it how
  unevenly the servers were loaded, how many keys changed hands, and how many
  requests found the owner of their key not to be had. A file named - is standard
  input.

  Example: magnoliaturn losses vm1.log vm2.log

`
}

// SetFlags implements subcommands.Command.
func (*lossesCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "losses needs at least one file")
		return subcommands.ExitUsageError
	}
	logs, cleanUp, err := openLogs(f.Args())
	defer cleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	losses, err := mtloss.Read(logs...)
	if err == nil {
		err = losses.Print(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// openLogs opens log files for reading; - is standard input. The clean-up function
// closes the files and is valid even if openLogs fails.
func openLogs(names []string) (logs []io.Reader, cleanUp func(), err error) {
	var files []*os.File
	cleanUp = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return nil, cleanUp, err
		}
		files = append(files, file)
		logs = append(logs, file)
	}
	return logs, cleanUp, nil
}
