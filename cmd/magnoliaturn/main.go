// Command magnoliaturn is the router's one program: the daemon that runs beside
// each backend server, and the tools of operators.
//
// # Usage
//
//	magnoliaturn serve -settings daemon.ini
//	magnoliaturn help
//
// Exit codes: 0 done, 1 failed, 2 wrong usage; 3 refused, 4 outcome not known
// and 5 not available, see package mtcommand.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtcommand"
	"magnoliaturn/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "help")
	subcommands.Register(subcommands.FlagsCommand(), "help")
	for _, command := range commands() {
		subcommands.Register(command.Command, command.group)
	}
	mtcommand.Register(subcommands.DefaultCommander, os.Stdout, os.Stderr)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// grouped is a command with the heading that help lists it under.
type grouped struct {
	subcommands.Command
	group string
}

// commands returns all commands of the program.
func commands() []grouped {
	return []grouped{
		{&serveCommand{}, "daemon"},
		{&platform.Command{}, "daemon"},
		{&explainCommand{}, "tools"},
		{&lossesCommand{}, "tools"},
	}
}
