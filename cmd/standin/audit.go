package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtaudit"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtstandin"
)

// auditCommand checks the journals of servers against the records of callers and
// prints every contradiction.
type auditCommand struct {
	journals string
	records  string
	marks    string
	spread   string
	shown    int
}

// Name implements subcommands.Command.
func (*auditCommand) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*auditCommand) Synopsis() string { return "hold servers' journals against callers' records" }

// Usage implements subcommands.Command.
func (*auditCommand) Usage() string {
	return `audit -journals pattern -records pattern [-marks file] [-spread business/service,...]
Ends 0 only if nothing was found. Marks are JSON lines {"name": ..., "at": RFC 3339}
that begin the phases of the run.
`
}

// SetFlags implements subcommands.Command.
func (c *auditCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.journals, "journals", "", "pattern of the servers' journals")
	f.StringVar(&c.records, "records", "", "pattern of the callers' records")
	f.StringVar(&c.marks, "marks", "", "file of the marks; empty for none")
	f.StringVar(&c.spread, "spread", "", "services whose keys have no owner, with commas")
	f.IntVar(&c.shown, "shown", 20, "findings to print")
}

// Execute implements subcommands.Command.
func (c *auditCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	in, err := c.input()
	if err != nil {
		return fail(err)
	}
	report := mtaudit.Audit(in)
	c.print(report)
	if len(report.Findings) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *auditCommand) input() (mtaudit.Input, error) {
	in := mtaudit.Input{Spread: make(map[mtid.Ref]bool)}
	var err error
	if in.Events, err = readAll[mtaudit.Event]("journals", c.journals); err != nil {
		return in, err
	}
	if in.Calls, err = readAll[mtaudit.Call]("records", c.records); err != nil {
		return in, err
	}
	if c.marks != "" {
		if in.Marks, err = readAll[mtaudit.Mark]("marks", c.marks); err != nil {
			return in, err
		}
	}
	if c.spread == "" {
		return in, nil
	}
	for text := range strings.SplitSeq(c.spread, ",") {
		service, err := parseService(text)
		if err != nil {
			return in, err
		}
		in.Spread[service] = true
	}
	return in, nil
}

// readAll returns the records of all files that match the pattern. It fails if no
// file matches, because an audit without input would report no findings.
func readAll[T any](name, pattern string) ([]T, error) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		return nil, &FlagError{Flag: name, Value: pattern, Accept: "a pattern of files that exist"}
	}
	var all []T
	for _, file := range files {
		records, err := readFile[T](file)
		if err != nil {
			return nil, &FileError{Name: file, Err: err}
		}
		all = append(all, records...)
	}
	return all, nil
}

// FileError reports a file that could not be read.
type FileError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Name + ": " + e.Err.Error() }

// Unwrap returns the error of opening or decoding the file.
func (e *FileError) Unwrap() error { return e.Err }

func readFile[T any](name string) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return mtstandin.ReadJournal[T](file)
}

func (c *auditCommand) print(r mtaudit.Report) {
	fmt.Printf("%d calls in %d tries, %d runs of which %d were cut off\n", r.Calls, r.Tries, r.Runs, r.Unfinished)
	for _, p := range r.Phases {
		fmt.Printf("phase %s: answers p50 %s, p99 %s, slowest %s\n", p.Name, round(p.P50), round(p.P99), round(p.Slowest))
		for _, count := range p.Counts {
			fmt.Printf("  %-9s %-12s %d\n", count.Outcome, count.Cause, count.Calls)
		}
		if p.Outages == 0 {
			continue
		}
		o := p.Longest
		fmt.Printf("  %d outages of single keys, the longest from %s to %s: %s %q from %s, %d calls failed, ended: %t\n",
			p.Outages, round(o.AtLeast), round(o.AtMost), o.Service, o.Key, o.From.Format(time.RFC3339Nano), o.Failed, !o.Open)
	}
	fmt.Printf("findings: %d\n", len(r.Findings))
	for i, f := range r.Findings {
		if i == c.shown {
			fmt.Printf("  and %d more\n", len(r.Findings)-i)
			return
		}
		fmt.Println("  " + f.String())
	}
}

// round rounds a duration to the precision that the report shows.
func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
