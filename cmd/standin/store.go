package main

import (
	"context"
	"expvar"
	"flag"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtstore"
)

// storeCommand serves an in-memory stand-in for the platform's store.
type storeCommand struct {
	listen string
	debug  string
}

// Name implements subcommands.Command.
func (*storeCommand) Name() string { return "store" }

// Synopsis implements subcommands.Command.
func (*storeCommand) Synopsis() string { return "take the place of the platform's key-value store" }

// Usage implements subcommands.Command.
func (*storeCommand) Usage() string {
	return `store [-listen host:port]
Faults are switched by POST /admin/faults with a form, for example
  curl -d down=true http://127.0.0.1:7000/admin/faults
  curl -d 'lose-answers=true&times=3' http://127.0.0.1:7000/admin/faults
  curl -d '' http://127.0.0.1:7000/admin/faults
`
}

// SetFlags implements subcommands.Command.
func (c *storeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "address to listen on")
	f.StringVar(&c.debug, "debug", "", "address of counters and profiles; empty for none")
}

// Execute implements subcommands.Command.
func (c *storeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	memory := mtstore.NewMemory(time.Now)
	expvar.Publish("store", memory.Vars())
	serveDebug(c.debug)
	if err := listenAndServe(ctx, c.listen, mtstore.NewHandler(memory)); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
