// Command magnoliaturn is the only binary of the router: it contains the daemon that
// runs next to each backend server and the operators' tools.
//
// # Usage
//
//	magnoliaturn serve -settings daemon.ini
//	magnoliaturn help
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 refused, 4 outcome unknown,
// 5 unavailable; see package mtcommand.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"magnoliaturn/io/mtcommand"
	_ "magnoliaturn/io/mtsignal" // SIGHUP may arrive before main is called
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

// groupedCommand is a command with the heading under which help lists it.
type groupedCommand struct {
	subcommands.Command
	group string
}

// commands returns the commands of the daemon and those that read its logs.
func commands() []groupedCommand {
	return []groupedCommand{
		{&serveCommand{}, "daemon"},
		{&platform.Command{}, "daemon"},
		{&explainCommand{}, "tools"},
		{&lossesCommand{}, "tools"},
	}
}
