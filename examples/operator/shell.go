package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtcommand"
)

// shell runs commands of the program in this process and prints them, as operators
// would type them, with their output.
type shell struct {
	out       io.Writer
	dir       string
	api       string // URL of the administration API to call
	authority string
}

// ExitError reports that a command returned an unexpected exit code.
type ExitError struct {
	Command string
	Got     subcommands.ExitStatus
	Want    subcommands.ExitStatus
	Printed string
}

// Error implements error.
func (e *ExitError) Error() string {
	return fmt.Sprintf("%s: exit code %d, not %d\n%s", e.Command, e.Got, e.Want, e.Printed)
}

// heading prints a heading that describes the next step.
func (s *shell) heading(format string, args ...any) {
	fmt.Fprintf(s.out, "\n# "+format+"\n", args...)
}

// run runs a command, prints it with its output, and checks its exit code.
func (s *shell) run(ctx context.Context, want subcommands.ExitStatus, args ...string) (string, error) {
	return s.execute(ctx, want, true, args...)
}

// runSilently runs a command without printing it, for polling.
func (s *shell) runSilently(ctx context.Context, args ...string) (string, error) {
	return s.execute(ctx, subcommands.ExitSuccess, false, args...)
}

func (s *shell) execute(ctx context.Context, want subcommands.ExitStatus, show bool, args ...string) (string, error) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("magnoliaturn", flag.ContinueOnError)
	flags.SetOutput(&errs)
	commander := subcommands.NewCommander(flags, "magnoliaturn")
	commander.Output, commander.Error = &out, &errs
	mtcommand.Register(commander, &out, &errs)
	got := subcommands.ExitUsageError
	if flags.Parse(args) == nil {
		got = commander.Execute(ctx)
	}
	printed := out.String() + errs.String()
	if show {
		line := strings.ReplaceAll(strings.Join(args, " "), s.dir+string(filepath.Separator), "")
		fmt.Fprintf(s.out, "$ magnoliaturn %s\n%s", line, strings.ReplaceAll(printed, s.dir+string(filepath.Separator), ""))
	}
	if got != want {
		return printed, &ExitError{Command: strings.Join(args, " "), Got: got, Want: want, Printed: printed}
	}
	return out.String(), nil
}

// as inserts the flags that identify an operator after the given number of leading
// arguments, which name the command.
func (s *shell) as(operator string, words int, args ...string) []string {
	command := append([]string{}, args[:words]...)
	command = append(command, "-api", s.api, "-token-file", s.file(operator+".token"), "-authority", s.authority)
	return append(command, args[words:]...)
}

func (s *shell) file(name string) string { return filepath.Join(s.dir, name) }

// write writes a file in the example's directory.
func (s *shell) write(name, text string) error {
	return os.WriteFile(s.file(name), []byte(text), 0o600)
}
