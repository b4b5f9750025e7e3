package main

import (
	"context"
	"flag"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtstandin"
)

// loadCommand sends requests at a fixed rate and records their outcomes.
type loadCommand struct {
	setting mtstandin.LoadSetting
	service string
	targets string
	classes string
	records string
	debug   string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "send requests at a fixed rate and record what became of them"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -service business/service -targets url,url -classes class,class [flags]
A class is name:kind:weight:timeout:body, with the kind once or idempotent and
the body's length in bytes; a body of 0 is a GET. For example
  -classes send:once:1:1s:64,status:idempotent:6:500ms:0
Latencies are counted from when a request was due.
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.service, "service", "", "business/service")
	f.StringVar(&c.targets, "targets", "", "base URLs to ask in turn, with commas")
	f.StringVar(&c.classes, "classes", "", "classes, with commas")
	f.BoolVar(&c.setting.Direct, "direct", false, "the targets are backend servers")
	f.Float64Var(&c.setting.Rate, "rate", 100, "requests a second")
	f.DurationVar(&c.setting.Duration, "duration", 10*time.Second, "how long to send")
	f.Uint64Var(&c.setting.Keys, "keys", 1000, "number of keys")
	f.Float64Var(&c.setting.Zipf, "zipf", 0, "exponent of the keys' popularity, above 1; 0 asks for all alike")
	f.StringVar(&c.setting.Rest, "rest", "run", "rest of the path, after the key")
	f.IntVar(&c.setting.Tries, "tries", 1, "how often a request is sent at most")
	f.BoolVar(&c.setting.Resend, "resend", false, "send non-idempotent requests again after an unknown outcome, with the same identifier")
	f.IntVar(&c.setting.Open, "open", 10000, "requests that may be open at once")
	f.Uint64Var(&c.setting.Seed, "seed", 1, "seed of keys and classes")
	f.StringVar(&c.records, "records", "", "file to append the records to; empty for none")
	f.StringVar(&c.debug, "debug", "", "address of counters and profiles; empty for none")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) error {
	var err error
	if c.setting.Service, err = parseService(c.service); err != nil {
		return err
	}
	if c.setting.Classes, err = parseClasses(c.classes); err != nil {
		return err
	}
	if c.targets != "" {
		c.setting.Targets = strings.Split(c.targets, ",")
	}
	to, closeRecords, err := openAppend(c.records)
	if err != nil {
		return err
	}
	defer closeRecords()
	records := mtstandin.NewJournal[mtaudit.Call](to)
	load, cleanUp, err := mtstandin.NewLoad(c.setting, records, nil)
	if err != nil {
		return err
	}
	defer cleanUp()
	serveDebug(c.debug)
	if err := load.Run(ctx).Print(os.Stdout); err != nil {
		return err
	}
	return records.Err()
}

// The request kinds accepted in the -classes flag.
const (
	kindOnce       = "once"
	kindIdempotent = "idempotent"
)

// parseClasses parses the -classes flag. It fails with a *FlagError.
func parseClasses(text string) ([]mtstandin.LoadClass, error) {
	const form = "name:once|idempotent:weight:timeout:body"
	var classes []mtstandin.LoadClass
	for part := range strings.SplitSeq(text, ",") {
		fault := &FlagError{Flag: "classes", Value: part, Accept: form}
		fields := strings.Split(part, ":")
		if len(fields) != strings.Count(form, ":")+1 {
			return nil, fault
		}
		weight, weightErr := strconv.ParseFloat(fields[2], 64)
		timeout, timeoutErr := time.ParseDuration(fields[3])
		body, bodyErr := strconv.Atoi(fields[4])
		kind := fields[1]
		if weightErr != nil || timeoutErr != nil || bodyErr != nil || (kind != kindOnce && kind != kindIdempotent) {
			return nil, fault
		}
		classes = append(classes, mtstandin.LoadClass{
			Name: mtid.Class(fields[0]), Idempotent: kind == kindIdempotent,
			Weight: weight, Timeout: timeout, Body: body,
		})
	}
	return classes, nil
}
