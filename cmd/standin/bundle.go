package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtstore"
	iostore "magnoliaturn/io/mtstore"
)

// storeTimeout limits the single store write of the bundle command.
const storeTimeout = 5 * time.Second

// bundleCommand writes the first bundle of a business to a store stand-in.
type bundleCommand struct {
	store string
	file  string
}

// Name implements subcommands.Command.
func (*bundleCommand) Name() string { return "bundle" }

// Synopsis implements subcommands.Command.
func (*bundleCommand) Synopsis() string { return "put a first bundle in force in a store stand-in" }

// Usage implements subcommands.Command.
func (*bundleCommand) Usage() string {
	return `bundle -store http://host:port -file bundle.ini
Writes the first bundle of a business as accepted, without signatures, for runs
that are not about operators. It is refused if the business has a bundle.
`
}

// SetFlags implements subcommands.Command.
func (c *bundleCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.store, "store", "http://127.0.0.1:7000", "base URL of the store stand-in")
	f.StringVar(&c.file, "file", "", "the bundle")
}

// Execute implements subcommands.Command.
func (c *bundleCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *bundleCommand) run(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return &FileError{Name: c.file, Err: err}
	}
	bundle, faults := mtbundle.Parse(c.file, text)
	if len(faults) > 0 {
		return &FlagError{Flag: "file", Value: c.file, Accept: fmt.Sprintf("a bundle without faults: %v", faults)}
	}
	stored := mtbundle.Stored{Business: bundle.Business, Version: bundle.Version, Text: text}
	value, err := stored.Encode()
	if err != nil {
		return err
	}
	client, cleanUp, err := iostore.NewClient(c.store, storeTimeout)
	if err != nil {
		return err
	}
	defer cleanUp()
	_, err = client.Swap(ctx, mtstore.BundleName(bundle.Business), 0, value, "")
	return err
}
