// Package mtcommand implements the operator subcommands of the magnoliaturn
// program: check, bundle, show, drain, keygen and version.
//
// # Usage
//
//	commander := subcommands.NewCommander(flag.CommandLine, "magnoliaturn")
//	mtcommand.Register(commander, os.Stdout, os.Stderr)
//	os.Exit(int(commander.Execute(ctx)))
//
// Commands that call a daemon read its address, the operator's token and the
// certificate authority from flags or from the environment (MAGNOLIATURN_API,
// MAGNOLIATURN_TOKEN_FILE, MAGNOLIATURN_AUTHORITY). They print a table for
// people or, with -json, JSON for programs.
//
// # Exit codes
//
//	0  success
//	1  failed for a reason not listed below
//	2  invalid flags or arguments
//	3  refused because of faults, a conflict, or a missing role or signature;
//	   nothing was changed
//	4  outcome unknown: repeat the same command to find out
//	5  unavailable: nothing was changed, try again later; or a bundle was accepted
//	   but not in force everywhere within -wait
package mtcommand

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtini"
	"magnoliaturn/io/mtadmin"
)

// Exit codes in addition to those of the subcommands library (0, 1 and 2).
const (
	ExitRefused     subcommands.ExitStatus = 3
	ExitUnknown     subcommands.ExitStatus = 4
	ExitUnavailable subcommands.ExitStatus = 5
)

// UsageError reports invalid flags or arguments.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// RefusedError reports that a command was rejected before it changed anything.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Register adds the commands to commander. They write results to out and
// errors to errs.
func Register(commander *subcommands.Commander, out, errs io.Writer) {
	c := &console{out: out, errs: errs}
	for _, cmd := range []*command{
		checkCommand(c), bundleCommand(c), showCommand(c), drainCommand(c), keygenCommand(c), versionCommand(c),
	} {
		commander.Register(cmd, "operators")
	}
}

// console formats results and errors and writes them to the output streams.
type console struct {
	out, errs io.Writer
	json      bool
}

// command implements subcommands.Command. It has either a run function or
// children.
type command struct {
	console  *console
	name     string
	synopsis string
	usage    string // the arguments after the flags
	help     string
	example  string
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, args []string) error
	children []*command
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s\n\n%s\n\n", c.name, c.usage, c.help)
	if len(c.children) > 0 {
		b.WriteString("Subcommands:\n")
		for _, child := range c.children {
			fmt.Fprintf(&b, "  %-12s %s\n", child.name, child.synopsis)
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "Example:\n  %s\n\n", strings.ReplaceAll(c.example, "\n", "\n  "))
	return b.String()
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.console.errs)
	if len(c.children) > 0 {
		return
	}
	f.BoolVar(&c.console.json, "json", false, "print JSON for programs")
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(c.children) == 0 {
		return c.console.exit(c.run(ctx, f.Args()))
	}
	commander := subcommands.NewCommander(f, c.name)
	commander.Output, commander.Error = c.console.out, c.console.errs
	commander.Register(commander.HelpCommand(), "")
	for _, child := range c.children {
		commander.Register(child, "")
	}
	return commander.Execute(ctx)
}

// exit prints err, if any, and returns the matching exit code.
func (c *console) exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	c.explain(err)
	var (
		usage   *UsageError
		refused *RefusedError
		faults  mtini.Faults
		lost    *mtadmin.NoResponseError
		problem *mtadmin.Problem
		slow    *NotInForceError
	)
	switch {
	case errors.As(err, &slow):
		return ExitUnavailable
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &refused), errors.As(err, &faults):
		return ExitRefused
	case errors.As(err, &lost):
		return ExitUnknown
	case errors.As(err, &problem):
		return exitStatusOf(problem)
	}
	return subcommands.ExitFailure
}

// exitStatusOf maps a problem document to an exit code. 503, 429 and 502 mean
// that nothing was changed and the command can be retried.
func exitStatusOf(p *mtadmin.Problem) subcommands.ExitStatus {
	switch {
	case p.Reason() == mtadmin.ReasonOutcomeUnknown:
		return ExitUnknown
	case p.Status == http.StatusServiceUnavailable, p.Status == http.StatusTooManyRequests, p.Status == http.StatusBadGateway:
		return ExitUnavailable
	case p.Status < http.StatusInternalServerError:
		return ExitRefused
	}
	return subcommands.ExitFailure
}

// explain prints err as text or, with -json, its problem document or faults as
// JSON.
func (c *console) explain(err error) {
	var faults mtini.Faults
	var problem *mtadmin.Problem
	switch {
	case errors.As(err, &problem) && c.json:
		c.encode(c.errs, problem)
	case errors.As(err, &faults) && c.json:
		c.encode(c.errs, faults)
	case errors.As(err, &problem):
		fmt.Fprintln(c.errs, problem.Error())
		if len(problem.Faults) > 0 {
			fmt.Fprintln(c.errs, problem.Faults.Error())
		}
	default:
		fmt.Fprintln(c.errs, err.Error())
	}
}

func (c *console) encode(w io.Writer, v any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v) // fails if the reader closed the pipe
}

// show prints v as JSON with -json, and otherwise rows as a table with an
// optional heading.
func (c *console) show(v any, heading []string, rows [][]string) {
	if c.json {
		c.encode(c.out, v)
		return
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	if len(heading) > 0 {
		fmt.Fprintln(w, strings.Join(heading, "\t"))
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush() // fails if the reader closed the pipe
}

// checkArgCount returns a *UsageError unless there are low to high arguments.
func checkArgCount(args []string, low, high int, usage string) error {
	if len(args) < low || len(args) > high {
		return &UsageError{Reason: "wrong number of arguments, expected: " + usage}
	}
	return nil
}
