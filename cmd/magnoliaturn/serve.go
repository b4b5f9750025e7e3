package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtdaemon"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtsetting"
)

// serveCommand runs one daemon until SIGTERM or an interrupt.
type serveCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run the daemon beside a backend server" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -settings FILE
  Run the daemon beside a backend server until SIGTERM or SIGINT, then hand
  over its shards, finish what is in flight and exit.

  Example: magnoliaturn serve -settings /etc/magnoliaturn/daemon.ini

`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "daemon.ini", "the settings `file`")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, faults := mtsetting.Load(c.settings)
	if len(faults) > 0 {
		fmt.Fprintln(os.Stderr, faults)
		return subcommands.ExitUsageError
	}
	// The runtime would end the process once the reader of the logs is gone.
	signal.Ignore(syscall.SIGPIPE)
	log := mtmetric.Logger(os.Stderr, settings.Log)
	log = log.With("daemon", string(settings.Name), "zone", string(settings.Zone))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	daemon, cleanUp, err := mtdaemon.New(mtdaemon.Config{Settings: settings, Log: log})
	if err != nil {
		log.Error("daemon failed to start", "error", err)
		return subcommands.ExitFailure
	}
	defer cleanUp()
	if err := daemon.Run(ctx); err != nil {
		log.Error("daemon failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
