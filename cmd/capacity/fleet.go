package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type fleetCommand struct{}

func (*fleetCommand) Name() string { return "fleet" }

func (*fleetCommand) Synopsis() string { return "" }

func (*fleetCommand) Usage() string                                                         { return "" }
func (*fleetCommand) SetFlags(*flag.FlagSet)                                                {}
func (*fleetCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus { return 0 }
